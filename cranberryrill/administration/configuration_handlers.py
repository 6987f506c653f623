"""Administration API: the configuration document and its history."""

import asyncio
import hashlib

import result

from cranberryrill import clock, failures
from cranberryrill.administration import base_handler, refusals, requests
from cranberryrill.configuration import document, printer, validation
from cranberryrill.state import commands_pb2


class ConfigurationHandler(base_handler.AdministrationHandler):
    """Handler of `/admin/v1/configuration`."""

    async def get(self) -> None:
        """Return the document in force and its revision."""
        if not await self.require_current():
            return
        state = self.operations.state
        self.finish(
            {
                'revision': state.configuration.revision,
                'document': printer.print_document(state.document()),
            },
        )

    async def post(self) -> None:
        """Check a document and commit its difference from the one in force."""
        request = self.read_body(requests.ApplyRequest)
        if request is None:
            return
        # Checking a large document on the event loop would delay heartbeats
        # beyond their limit.
        checked = await asyncio.to_thread(
            validation.read_document,
            request.document,
            'document',
        )
        if isinstance(checked, result.Err):
            await self._refuse_unless_known(request, str(checked.err_value))
            return
        failure = await self._wait_for_revision(request.base_revision)
        if failure is not None:
            self.refuse(failure)
            return
        command = commands_pb2.Command(
            apply_configuration=self._apply_command(request, checked.ok_value),
        )
        await self.answer_change(
            await self.operations.commit_change(command), request.wait
        )

    async def _refuse_unless_known(
        self, request: requests.ApplyRequest, faults: str
    ) -> None:
        """Refuse an invalid document, or answer a repeated change.

        An earlier version of this program may have accepted the change.
        """
        if not await self.require_current():
            return
        operations = self.operations
        known = operations.state.find_outcome(
            request.change_id, _request_digest(request)
        )
        if known is None:
            self.refuse(refusals.InvalidConfiguration(faults))
            return
        await self.answer_change(operations.result_of(known), request.wait)

    async def _wait_for_revision(
        self, revision: int
    ) -> failures.Failure | None:
        """Wait until this member has `revision`, the base of the difference.

        Return None once it has, or the failure to refuse with.
        """
        configuration = self.operations.state.configuration
        if configuration.revision >= revision:
            return None
        current = await self.operations.wait_until_current(
            clock.monotonic_seconds(),
        )
        if isinstance(current, result.Err):
            return current.err_value
        if current.ok_value >= revision:
            return None
        return refusals.StaleRevision(
            f'revision {current.ok_value} is in force',
        )

    def _apply_command(
        self,
        request: requests.ApplyRequest,
        new_document: document.Document,
    ) -> commands_pb2.ApplyConfiguration:
        return commands_pb2.ApplyConfiguration(
            change_id=request.change_id,
            base_revision=request.base_revision,
            changes=self.operations.state.changes_to(new_document),
            operator=request.operator,
            request_digest=_request_digest(request),
        )


def _request_digest(request: requests.ApplyRequest) -> bytes:
    return hashlib.sha256(
        f'{request.base_revision}\n{request.document}'.encode(),
    ).digest()


class HistoryHandler(base_handler.AdministrationHandler):
    """Handler of `/admin/v1/configuration/history`."""

    async def get(self) -> None:
        """Return the accepted changes, newest first."""
        if not await self.require_current():
            return
        changes = [
            {
                'revision': record.revision,
                'unix_ms': record.unix_ms,
                'operator': record.operator,
                'change_id': record.change_id,
                'changed': list(record.changed),
                'changed_count': record.changed_count,
            }
            for record in reversed(self.operations.state.records)
        ]
        self.finish({'changes': changes})

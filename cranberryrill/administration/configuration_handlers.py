"""Show and change the configuration."""

import asyncio
import hashlib

import result

from cranberryrill import clock, failures
from cranberryrill.administration import base_handler, refusals, requests
from cranberryrill.configuration import document, printer, validation
from cranberryrill.state import commands_pb2


class ConfigurationHandler(base_handler.AdministrationHandler):
    """Answer `/admin/v1/configuration`."""

    async def get(self) -> None:
        """Show the document in force."""
        if not await self.require_current():
            return
        held = self.operations.state
        self.finish(
            {
                'revision': held.configuration.revision,
                'document': printer.print_document(held.document()),
            },
        )

    async def post(self) -> None:
        """Put a document in force."""
        asked = self.read_body(requests.ApplyRequest)
        if asked is None:
            return
        # A large document takes longer than a heartbeat may be late.
        checked = await asyncio.to_thread(
            validation.read_document,
            asked.document,
            'document',
        )
        if isinstance(checked, result.Err):
            self.refuse(refusals.InvalidConfiguration(str(checked.err_value)))
            return
        based = await self._catch_up(asked.base_revision)
        if based is not None:
            self.refuse(based)
            return
        command = commands_pb2.Command(
            apply_configuration=self._change(asked, checked.ok_value),
        )
        await self.answer_change(
            await self.operations.commit_change(command), asked.wait
        )

    async def _catch_up(self, revision: int) -> failures.Failure | None:
        """Wait for the revision that the difference is taken against."""
        held = self.operations.state.configuration
        if held.revision >= revision:
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

    def _change(
        self,
        asked: requests.ApplyRequest,
        wanted: document.Document,
    ) -> commands_pb2.ApplyConfiguration:
        digest = hashlib.sha256(
            f'{asked.base_revision}\n{asked.document}'.encode(),
        ).digest()
        return commands_pb2.ApplyConfiguration(
            change_id=asked.change_id,
            base_revision=asked.base_revision,
            changes=self.operations.state.changes_to(wanted),
            operator=asked.operator,
            request_digest=digest,
        )


class HistoryHandler(base_handler.AdministrationHandler):
    """Answer `/admin/v1/configuration/history`."""

    async def get(self) -> None:
        """List the accepted changes, newest first."""
        if not await self.require_current():
            return
        listed = [
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
        self.finish({'changes': listed})

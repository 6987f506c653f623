"""Hold what all requests of operators have in common."""

import hmac
import logging
import typing

import pydantic
import result
from tornado import web

from cranberryrill import clock, failures, identifiers
from cranberryrill.administration import operations, refusals
from cranberryrill.keys import digests
from cranberryrill.membership import timing as membership_timing

LOGGER = logging.getLogger(__name__)
Revised = result.Result[int, failures.Failure]


class AdministrationHandler(web.RequestHandler):
    """Check the operators' token."""

    def initialize(self, held: operations.Operations) -> None:
        """Take what the administration acts on."""
        self.operations = held
        self.request_id = identifiers.new_identifier('adm')

    def prepare(self) -> None:
        """Refuse whoever has no valid token."""
        header = self.request.headers.get('Authorization', '')
        digest = digests.bearer_digest(header) or b''
        wanted = bytes.fromhex(self.operations.token_sha256)
        if not hmac.compare_digest(digest, wanted):
            self.refuse(
                refusals.NotAuthorised("the operators' token is needed")
            )

    def refuse(self, failure: failures.Failure) -> None:
        """Answer with a typed error."""
        self.set_status(failure.status)
        self.finish(failures.error_body(failure, self.request_id))

    def read_body(self, shape: type[typing.Any]) -> typing.Any:
        """Return the body as `shape`, or refuse and return nothing."""
        try:
            return pydantic.TypeAdapter(shape).validate_json(self.request.body)
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            place = '.'.join(str(part) for part in first['loc']) or 'body'
            self.refuse(
                failures.MalformedRequest(f'{place}: {first["msg"]}'),
            )
        return None

    async def require_current(self) -> bool:
        """Wait until this member is proved current, or refuse."""
        held = await self.operations.wait_until_current(
            clock.monotonic_seconds()
        )
        if isinstance(held, result.Err):
            self.refuse(held.err_value)
            return False
        return True

    async def answer_change(
        self,
        changed: Revised,
        wait: bool,
        **shown: str,
    ) -> None:
        """Answer with the revision of a change, or why there is none."""
        if isinstance(changed, result.Err):
            self.refuse(changed.err_value)
            return
        if wait:
            deadline = (
                clock.monotonic_seconds() + membership_timing.MAX_LEASE_SECONDS
            )
            await self.operations.wait_in_force(changed.ok_value, deadline)
        LOGGER.info(
            'change accepted',
            extra={
                'revision': changed.ok_value,
                'request_id': self.request_id,
            },
        )
        self.finish({'revision': changed.ok_value, 'in_force': wait, **shown})

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Answer an unforeseen error with a typed body."""
        failure = failures.Failure('an internal error', failures.Ran.unknown)
        if not self._finished:
            self.finish(failures.error_body(failure, self.request_id))

"""Base class of the administration API's request handlers."""

import hmac
import logging
import typing

import pydantic
import result
from tornado import web

from cranberryrill import clock, failures, identifiers, strict_json
from cranberryrill.administration import operations, refusals
from cranberryrill.keys import digests
from cranberryrill.membership import timing as membership_timing

LOGGER = logging.getLogger(__name__)
# The revision that a change made, or why it was not made.
ChangeResult = result.Result[int, failures.Failure]


class AdministrationHandler(web.RequestHandler):
    """Request handler that requires the operators' bearer token."""

    def initialize(self, admin_operations: operations.Operations) -> None:
        """Set the operations to run and a new request id."""
        self.operations = admin_operations
        self.request_id = identifiers.new_identifier('adm')

    def prepare(self) -> None:
        """Refuse a request without the operators' token."""
        header = self.request.headers.get('Authorization', '')
        digest = digests.bearer_digest(header) or b''
        expected = bytes.fromhex(self.operations.token_sha256)
        if not hmac.compare_digest(digest, expected):
            self.refuse(
                refusals.NotAuthorised("the operators' token is needed")
            )

    def refuse(self, failure: failures.Failure) -> None:
        """Respond with the error body and status of `failure`."""
        self.set_status(failure.status)
        self.finish(failures.error_body(failure, self.request_id))

    def read_body(self, body_type: type[typing.Any]) -> typing.Any:
        """Return the JSON body as `body_type`.

        Refuse the request and return None when the body is invalid.
        """
        try:
            strict_json.parse(self.request.body)
        except strict_json.Malformed as malformed:
            self.refuse(failures.MalformedRequest(f'body: {malformed}'))
            return None
        try:
            return pydantic.TypeAdapter(body_type).validate_json(
                self.request.body
            )
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            location = '.'.join(str(part) for part in first['loc']) or 'body'
            self.refuse(
                failures.MalformedRequest(f'{location}: {first["msg"]}'),
            )
        return None

    async def require_current(self) -> bool:
        """Return True once this member is proved current.

        Refuse the request and return False when that takes too long.
        """
        current = await self.operations.wait_until_current(
            clock.monotonic_seconds()
        )
        if isinstance(current, result.Err):
            self.refuse(current.err_value)
            return False
        return True

    async def answer_change(
        self,
        outcome: ChangeResult,
        wait: bool,
        **extra_fields: str,
    ) -> None:
        """Respond with the revision that a change made, or refuse.

        With `wait`, respond once the revision is in force in every process,
        at the latest when the longest serving lease has passed.
        """
        if isinstance(outcome, result.Err):
            self.refuse(outcome.err_value)
            return
        if wait:
            deadline = (
                clock.monotonic_seconds() + membership_timing.MAX_LEASE_SECONDS
            )
            await self.operations.wait_in_force(outcome.ok_value, deadline)
        LOGGER.info(
            'change accepted',
            extra={
                'revision': outcome.ok_value,
                'request_id': self.request_id,
            },
        )
        self.finish(
            {'revision': outcome.ok_value, 'in_force': wait, **extra_fields}
        )

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Respond to an unhandled exception with a typed error body."""
        failure = failures.Failure('an internal error', failures.Ran.unknown)
        if not self._finished:
            self.finish(failures.error_body(failure, self.request_id))

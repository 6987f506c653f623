"""HTTP client of the administration API that fails over between members."""

import asyncio
import dataclasses
import json
import pathlib
import typing
from collections import abc

import result
from tornado import curl_httpclient, httpclient

from cranberryrill import clock, response_syntax, strict_fetch

# A change may wait for an election and then for every process's lease.
ATTEMPT_TIMEOUT_SECONDS = 12.0
TOTAL_TIMEOUT_SECONDS = 30.0
RETRY_PAUSE_SECONDS = 0.2
MIN_SERVER_ERROR_STATUS = 500
OK_STATUS = 200
API_PREFIX = '/admin/v1'
JsonObject = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No member answered in time; a change may have been accepted."""

    cause: str

    def __str__(self) -> str:
        """Return a one-line message."""
        return f'no control member answered in time: {self.cause}'


@dataclasses.dataclass(frozen=True)
class Refused:
    """A member refused the request, which is not sent to another."""

    code: str
    message: str

    def __str__(self) -> str:
        """Return a one-line message."""
        return f'{self.code}: {self.message}'


Failure = Unreachable | Refused
Response = result.Result[JsonObject, Failure]


@dataclasses.dataclass(frozen=True)
class Request:
    """Request to the administration API; `path` is relative to its root."""

    method: str
    path: str
    body: abc.Mapping[str, typing.Any] | None = None


class Client:
    """Client of the administration API with a list of members to try."""

    def __init__(
        self,
        members: abc.Sequence[str],
        token: str,
        authority: pathlib.Path | None,
    ) -> None:
        self.members = tuple(
            member.rstrip('/').removesuffix(API_PREFIX) for member in members
        )
        self.token = token
        self.authority = authority

    def send(self, request: Request) -> Response:
        """Send the request to one member after another until one answers.

        The request is sent again after a lost response, so a change must
        carry its own change id. Return the last failure when no member
        answered within `TOTAL_TIMEOUT_SECONDS`.
        """
        return asyncio.run(self._send_until_answered(request))

    def send_to_each(self, request: Request) -> list[Response]:
        """Send the request to every member once.

        Return their responses in the order of `members`.
        """
        return asyncio.run(self._send_to_all(request))

    async def _send_to_all(self, request: Request) -> list[Response]:
        attempts = [self._attempt(member, request) for member in self.members]
        return list(await asyncio.gather(*attempts))

    async def _send_until_answered(self, request: Request) -> Response:
        deadline = clock.monotonic_seconds() + TOTAL_TIMEOUT_SECONDS
        while True:
            for member in self.members:
                response = await self._attempt(member, request)
                if _is_final(response):
                    return response
            if clock.monotonic_seconds() >= deadline:
                return response
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def _attempt(self, member: str, request: Request) -> Response:
        client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
        body = request.body
        http_request = httpclient.HTTPRequest(
            f'{member}{API_PREFIX}/{request.path}',
            method=request.method,
            headers={'Authorization': f'Bearer {self.token}'},
            body=None if body is None else json.dumps(dict(body)),
            allow_nonstandard_methods=True,
            request_timeout=ATTEMPT_TIMEOUT_SECONDS,
            follow_redirects=False,
            ca_certs=str(self.authority) if self.authority else None,
        )
        received = bytearray()
        try:
            head = await strict_fetch.fetch(
                client, http_request, received.extend
            )
        except (
            response_syntax.MalformedResponse,
            httpclient.HTTPError,
            OSError,
        ) as error:
            return result.Err(Unreachable(f'{member}: {error}'))
        finally:
            client.close()
        return _parse_response(member, head.status, bytes(received))


def _parse_response(member: str, status: int, body: bytes) -> Response:
    try:
        content = json.loads(body)
    except ValueError:
        return result.Err(
            Unreachable(f'{member}: status {status} without JSON'),
        )
    if status == OK_STATUS:
        return result.Ok(content)
    error = content.get('error', {})
    code = str(error.get('code', status))
    message = str(error.get('message', ''))
    if status >= MIN_SERVER_ERROR_STATUS:
        return result.Err(Unreachable(f'{member}: {code}: {message}'))
    return result.Err(Refused(code, message))


def _is_final(response: Response) -> bool:
    """Return whether the response is final, so that no retry follows."""
    if isinstance(response, result.Ok):
        return True
    return isinstance(response.err_value, Refused)

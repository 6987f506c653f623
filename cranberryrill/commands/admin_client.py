"""Ask the control members, one after another, until one answers."""

import asyncio
import dataclasses
import json
import pathlib
import typing
from collections import abc

import result
from tornado import curl_httpclient, httpclient

from cranberryrill import clock

# A change may wait for a new leader and then for every process's lease.
ATTEMPT_TIMEOUT_SECONDS = 12.0
TOTAL_TIMEOUT_SECONDS = 30.0
RETRY_PAUSE_SECONDS = 0.2
SERVER_ERROR = 500
OK = 200
API_PREFIX = '/admin/v1'
JsonObject = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No member answered in time; a change may have been accepted."""

    cause: str

    def __str__(self) -> str:
        """Explain the failure in one line."""
        return f'no control member answered in time: {self.cause}'


@dataclasses.dataclass(frozen=True)
class Refused:
    """A member refused for good."""

    code: str
    message: str

    def __str__(self) -> str:
        """Explain the failure in one line."""
        return f'{self.code}: {self.message}'


Failure = Unreachable | Refused
Response = result.Result[JsonObject, Failure]


@dataclasses.dataclass(frozen=True)
class Request:
    """Hold one request to the administration API."""

    method: str
    path: str
    body: abc.Mapping[str, typing.Any] | None = None


class Client:
    """Speak to the administration API through whichever member answers."""

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

    def send(self, question: Request) -> Response:
        """Ask until a member answers; a change must carry its own id.

        The same question is sent again after a lost answer.
        """
        return asyncio.run(self._ask_until(question))

    def send_to_each(self, question: Request) -> list[Response]:
        """Ask every member once, in their order."""
        return asyncio.run(self._ask_all(question))

    async def _ask_all(self, question: Request) -> list[Response]:
        asked = [self._attempt(member, question) for member in self.members]
        return list(await asyncio.gather(*asked))

    async def _ask_until(self, question: Request) -> Response:
        deadline = clock.monotonic_seconds() + TOTAL_TIMEOUT_SECONDS
        while True:
            for member in self.members:
                asked = await self._attempt(member, question)
                if _is_final(asked):
                    return asked
            if clock.monotonic_seconds() >= deadline:
                return asked
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def _attempt(self, member: str, question: Request) -> Response:
        client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
        body = question.body
        request = httpclient.HTTPRequest(
            f'{member}{API_PREFIX}/{question.path}',
            method=question.method,
            headers={'Authorization': f'Bearer {self.token}'},
            body=None if body is None else json.dumps(dict(body)),
            allow_nonstandard_methods=True,
            request_timeout=ATTEMPT_TIMEOUT_SECONDS,
            follow_redirects=False,
            ca_certs=str(self.authority) if self.authority else None,
        )
        try:
            answer = await client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            return result.Err(Unreachable(f'{member}: {error}'))
        finally:
            client.close()
        return _read(member, answer)


def _read(member: str, answer: httpclient.HTTPResponse) -> Response:
    try:
        content = json.loads(answer.body)
    except ValueError:
        return result.Err(
            Unreachable(f'{member}: status {answer.code} without JSON'),
        )
    if answer.code == OK:
        return result.Ok(content)
    error = content.get('error', {})
    code = str(error.get('code', answer.code))
    message = str(error.get('message', ''))
    if answer.code >= SERVER_ERROR:
        return result.Err(Unreachable(f'{member}: {code}: {message}'))
    return result.Err(Refused(code, message))


def _is_final(asked: Response) -> bool:
    """Say whether asking another member would change nothing."""
    if isinstance(asked, result.Ok):
        return True
    return isinstance(asked.err_value, Refused)

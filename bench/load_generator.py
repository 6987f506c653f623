"""Send seeded open-loop traffic and measure latency as callers see it.

Arrivals are sampled before the run and sent when they are due, however many
requests are open. Each latency counts from the time when its request was due,
so that it includes the delay of a generator that falls behind.
"""

import asyncio
import dataclasses
import json
import random
import time
from collections import abc

from bench import web

REQUEST_ID_HEADER = b'x-request-id:'
CONNECTION_ERRORS = (OSError, EOFError, ValueError)
HTTP_OK = 200
EVENT_PREFIX = b'data: '
END_EVENT = b'[DONE]'


@dataclasses.dataclass(frozen=True)
class Flow:
    """Poisson arrivals of one organisation's requests in one class.

    Times are seconds since the start of the run.
    """

    organisation: str
    class_name: str
    model: str
    requests_per_second: float
    start_seconds: float
    end_seconds: float
    mean_tokens: float
    prompt_words: int = 40
    # Lengths of answers are exponential, up to this limit.
    max_tokens: int = 400
    sessions: int = 8


@dataclasses.dataclass(frozen=True)
class Request:
    """One arrival; `due_seconds` counts from the start of the run."""

    due_seconds: float
    flow: Flow
    entry_port: int
    tokens: int
    session: int


@dataclasses.dataclass
class Outcome:
    """Result of one request; times are seconds since it was due."""

    request: Request
    status: int = 0
    request_id: str = ''
    code: str = ''
    first_token: float = 0
    ended: float = 0
    tokens: int = 0
    complete: bool = False
    gaps: list[float] = dataclasses.field(default_factory=list)
    words: list[str] = dataclasses.field(default_factory=list)


def sample_requests(
    flows: abc.Sequence[Flow],
    entries: abc.Sequence[int],
    seed: int,
) -> list[Request]:
    """Return the arrivals of all flows, in order of time.

    Each request goes to a random one of `entries`, the entries' ports.
    """
    requests: list[Request] = []
    for number, flow in enumerate(flows):
        rng = random.Random(f'{seed}-{number}')
        due = flow.start_seconds + rng.expovariate(flow.requests_per_second)
        while due < flow.end_seconds:
            tokens = 1 + int(rng.expovariate(1 / flow.mean_tokens))
            requests.append(
                Request(
                    due,
                    flow,
                    rng.choice(entries),
                    min(tokens, flow.max_tokens),
                    rng.randrange(flow.sessions),
                ),
            )
            due += rng.expovariate(flow.requests_per_second)
    return sorted(requests, key=lambda request: request.due_seconds)


class LoadGenerator:
    """Sender of requests at their due times, which records the outcomes.

    `keys` maps each organisation to its key.
    """

    def __init__(self, keys: abc.Mapping[str, str]) -> None:
        self.keys = keys
        self.outcomes: list[Outcome] = []
        self.open: set[asyncio.Task[None]] = set()

    async def run(
        self,
        requests: abc.Sequence[Request],
        duration: float,
    ) -> list[Outcome]:
        """Send all requests and return their outcomes after `duration` seconds.

        Requests that are open then stay open; `cancel_open` ends them.
        """
        started = time.monotonic()
        for request in requests:
            pause = started + request.due_seconds - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            outcome = Outcome(request)
            self.outcomes.append(outcome)
            sending = self._send(outcome, started + request.due_seconds)
            self.open.add(asyncio.create_task(sending))
        await asyncio.sleep(max(started + duration - time.monotonic(), 0))
        return self.outcomes

    async def cancel_open(self) -> None:
        """Cancel all requests that are still open."""
        for task in self.open:
            task.cancel()
        await asyncio.gather(*self.open, return_exceptions=True)

    async def _send(self, outcome: Outcome, due_at: float) -> None:
        try:
            await self._exchange(outcome, due_at)
        except CONNECTION_ERRORS as error:
            outcome.code = outcome.code or type(error).__name__
        outcome.ended = time.monotonic() - due_at

    async def _exchange(self, outcome: Outcome, due_at: float) -> None:
        reader, writer = await asyncio.open_connection(
            web.HOST,
            outcome.request.entry_port,
        )
        try:
            writer.write(self._encode(outcome.request))
            await writer.drain()
            await self._read(reader, outcome, due_at)
        finally:
            writer.close()

    def _encode(self, request: Request) -> bytes:
        flow = request.flow
        words = ' '.join(
            f'{flow.organisation}-{request.session}-{number}'
            for number in range(flow.prompt_words)
        )
        body = json.dumps(
            {
                'messages': [{'role': 'user', 'content': words}],
                'model': flow.model,
                'max_tokens': request.tokens,
                'stream': True,
            },
        ).encode()
        lines = (
            'POST /v1/chat/completions HTTP/1.1',
            'Host: entry',
            'Connection: close',
            'Content-Type: application/json',
            f'Content-Length: {len(body)}',
            f'Authorization: Bearer {self.keys[flow.organisation]}',
            f'X-Request-Class: {flow.class_name}',
            '\r\n',
        )
        return '\r\n'.join(lines).encode() + body

    async def _read(
        self,
        reader: asyncio.StreamReader,
        outcome: Outcome,
        due_at: float,
    ) -> None:
        status = await reader.readline()
        outcome.status = int(status.split()[1])
        recorder = StreamRecorder(outcome, due_at)
        async for line in reader:
            if line.lower().startswith(REQUEST_ID_HEADER):
                outcome.request_id = line.decode().split()[1]
            elif outcome.status != HTTP_OK:
                outcome.code = _error_code(line) or outcome.code
            elif line.startswith(EVENT_PREFIX):
                recorder.record_event(line.removeprefix(EVENT_PREFIX).strip())


class StreamRecorder:
    """Recorder of the tokens and times of one streamed answer."""

    def __init__(self, outcome: Outcome, due_at: float) -> None:
        self.outcome = outcome
        self.due_at = due_at
        self.last_token_at = 0.0

    def record_event(self, event: bytes) -> None:
        """Record the data of one event, at the current time."""
        now = time.monotonic()
        if event == END_EVENT:
            self.outcome.complete = True
            return
        parsed = json.loads(event)
        if parsed.get('error'):
            self.outcome.code = parsed['error']['code']
        if not parsed.get('choices'):
            return
        if self.last_token_at:
            self.outcome.gaps.append(now - self.last_token_at)
        else:
            self.outcome.first_token = now - self.due_at
        self.last_token_at = now
        self.outcome.tokens += 1
        delta = parsed['choices'][0]['delta']
        self.outcome.words.append(delta['content'].strip())


def _error_code(line: bytes) -> str:
    if not line.startswith(b'{'):
        return ''
    try:
        return str(json.loads(line)['error']['code'])
    except (ValueError, KeyError):
        return ''

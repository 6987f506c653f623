"""Ask for streamed answers at a given rate and time their tokens."""

import asyncio
import dataclasses
import json
import random
import time

from hdrh import histogram
from tornado import httpclient

from cranberryrill import identifiers

LEAST_MICROSECONDS = 1
MOST_MICROSECONDS = 600_000_000
DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1000
ANSWER_SECONDS = 120
MOST_OPEN = 4096


@dataclasses.dataclass(frozen=True)
class Plan:
    """Say what to ask for, and how often."""

    urls: tuple[str, ...]
    key: str
    model: str
    requests_per_second: float
    duration_seconds: float
    tokens: int
    seed: int


class Timings:
    """Collect durations in microseconds."""

    def __init__(self) -> None:
        self.first_token = _histogram()
        self.between_tokens = _histogram()
        self.answered = 0
        self.failed = 0
        self.tokens = 0

    def first_token_ms(self, percent: float) -> float:
        """Return this percentile of the time to the first token."""
        return _milliseconds(self.first_token, percent)

    def between_tokens_ms(self, percent: float) -> float:
        """Return this percentile of the time between tokens."""
        return _milliseconds(self.between_tokens, percent)


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        LEAST_MICROSECONDS,
        MOST_MICROSECONDS,
        DIGITS,
    )


def _milliseconds(known: histogram.HdrHistogram, percent: float) -> float:
    value = float(known.get_value_at_percentile(percent))
    return value / MICROSECONDS_PER_MILLISECOND


class TokenTimer:
    """Time one streamed answer, from when it was due."""

    def __init__(self, timings: Timings, due_at: float) -> None:
        self.timings = timings
        self.last_at = due_at
        self.seen = False

    def record_chunk(self, content: bytes) -> None:
        """Take a part of the body."""
        arrived = content.count(b'"content"')
        if not arrived:
            return
        now = time.monotonic()
        elapsed = int((now - self.last_at) * MICROSECONDS_PER_SECOND)
        known = (
            self.timings.between_tokens
            if self.seen
            else self.timings.first_token
        )
        known.record_value(max(elapsed, LEAST_MICROSECONDS))
        self.seen = True
        self.last_at = now
        self.timings.tokens += arrived


async def run(plan: Plan) -> Timings:
    """Carry the plan out; a late start counts as waiting."""
    rng = random.Random(plan.seed)
    timings = Timings()
    client = httpclient.AsyncHTTPClient(
        force_instance=True,
        max_clients=MOST_OPEN,
    )
    started = time.monotonic()
    due_at = started
    asked: list[asyncio.Task[None]] = []
    while due_at < started + plan.duration_seconds:
        due_at += rng.expovariate(plan.requests_per_second)
        await asyncio.sleep(max(due_at - time.monotonic(), 0))
        url = plan.urls[len(asked) % len(plan.urls)]
        asked.append(
            asyncio.create_task(_ask(client, plan, url, timings, due_at)),
        )
    await asyncio.gather(*asked)
    client.close()
    return timings


async def _ask(
    client: httpclient.AsyncHTTPClient,
    plan: Plan,
    url: str,
    timings: Timings,
    due_at: float,
) -> None:
    body = {
        'model': plan.model,
        'messages': [{'role': 'user', 'content': 'the table rocks'}],
        'max_tokens': plan.tokens,
        'stream': True,
    }
    request = httpclient.HTTPRequest(
        f'{url}/v1/chat/completions',
        method='POST',
        headers={
            'Authorization': f'Bearer {plan.key}',
            'Content-Type': 'application/json',
            # Engines tell requests apart by it; an entry names its own.
            'X-Request-Id': identifiers.new_identifier('straight'),
        },
        body=json.dumps(body),
        request_timeout=ANSWER_SECONDS,
        streaming_callback=TokenTimer(timings, due_at).record_chunk,
    )
    try:
        await client.fetch(request)
    except (httpclient.HTTPError, OSError):
        timings.failed += 1
    else:
        timings.answered += 1

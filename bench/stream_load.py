"""Request streamed answers at a given rate and time their tokens."""

import asyncio
import dataclasses
import json
import random
import time

from ddsketch import ddsketch
from tornado import httpclient

from cranberryrill import identifiers

RELATIVE_ACCURACY = 0.001
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1000
ANSWER_TIMEOUT_SECONDS = 120
MAX_OPEN_REQUESTS = 4096


@dataclasses.dataclass(frozen=True)
class Plan:
    """Content, rate and duration of the requests.

    `urls` are used in turn; `tokens` is the length of each answer.
    """

    urls: tuple[str, ...]
    key: str
    model: str
    requests_per_second: float
    duration_seconds: float
    tokens: int
    seed: int


class Timings:
    """Token durations in microseconds, with counts of requests and tokens."""

    def __init__(self) -> None:
        self.first_token = ddsketch.DDSketch(RELATIVE_ACCURACY)
        self.between_tokens = ddsketch.DDSketch(RELATIVE_ACCURACY)
        self.answered = 0
        self.failed = 0
        self.tokens = 0

    def first_token_ms(self, percent: float) -> float:
        """Return a percentile of the time to the first token."""
        return _milliseconds(self.first_token, percent)

    def between_tokens_ms(self, percent: float) -> float:
        """Return a percentile of the time between two tokens."""
        return _milliseconds(self.between_tokens, percent)


def _milliseconds(durations: ddsketch.DDSketch, percent: float) -> float:
    """Return a percentile in milliseconds; 0 without any duration."""
    value = durations.get_quantile_value(percent / 100) or 0
    return float(value) / MICROSECONDS_PER_MILLISECOND


class TokenTimer:
    """Times the tokens of one answer, from when its request was due."""

    def __init__(self, timings: Timings, due_at: float) -> None:
        self.timings = timings
        self.last_at = due_at
        self.has_token = False

    def record_chunk(self, content: bytes) -> None:
        """Record the tokens in one chunk of the body as one interval."""
        token_count = content.count(b'"content"')
        if not token_count:
            return
        now = time.monotonic()
        elapsed = int((now - self.last_at) * MICROSECONDS_PER_SECOND)
        durations = (
            self.timings.between_tokens
            if self.has_token
            else self.timings.first_token
        )
        durations.add(elapsed)
        self.has_token = True
        self.last_at = now
        self.timings.tokens += token_count


async def run(plan: Plan) -> Timings:
    """Send the requests of the plan and wait for all answers.

    Requests follow a Poisson process. Each is timed from when it was due, so
    that the delay of a late start is included.
    """
    rng = random.Random(plan.seed)
    timings = Timings()
    client = httpclient.AsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_OPEN_REQUESTS,
    )
    started = time.monotonic()
    due_at = started
    answers: list[asyncio.Task[None]] = []
    while due_at < started + plan.duration_seconds:
        due_at += rng.expovariate(plan.requests_per_second)
        await asyncio.sleep(max(due_at - time.monotonic(), 0))
        url = plan.urls[len(answers) % len(plan.urls)]
        answers.append(
            asyncio.create_task(
                _send_request(client, plan, url, timings, due_at)
            ),
        )
    await asyncio.gather(*answers)
    client.close()
    return timings


async def _send_request(
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
            # Engines identify requests by this; an entry sets its own value.
            'X-Request-Id': identifiers.new_identifier('straight'),
        },
        body=json.dumps(body),
        request_timeout=ANSWER_TIMEOUT_SECONDS,
        streaming_callback=TokenTimer(timings, due_at).record_chunk,
    )
    try:
        await client.fetch(request)
    except (httpclient.HTTPError, OSError):
        timings.failed += 1
    else:
        timings.answered += 1

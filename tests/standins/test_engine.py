"""Test the stand-in engine's timing, resumption, prefix cache and reports."""

import asyncio
import time

import pytest

from standins import engine, prefix_cache, sequences


def make_sequence(request_id: str, **fields: int) -> sequences.Sequence:
    ledger_line = sequences.LedgerLine(
        request_id,
        priority=fields.get('priority', 1),
        prompt_tokens=fields.get('prompt', 8),
        resumed_from=fields.get('resumed_from', 0),
    )
    return sequences.Sequence(
        ledger_line,
        requested_tokens=fields.get('requested', 4),
        arrival_number=0,
    )


async def receive_tokens(one: sequences.Sequence, count: int) -> list[int]:
    return [
        await asyncio.wait_for(one.token_numbers.get(), 5) for _ in range(count)
    ]


@pytest.fixture
def model() -> engine.Engine:
    """Return an engine whose batch holds at most one sequence."""
    return engine.Engine(
        engine.EngineSettings(model='wobble', batch_limit=1),
    )


async def test_step_grows_with_batch(model: engine.Engine) -> None:
    model.settings = engine.EngineSettings(
        model='wobble', step_seconds=0.01, sequence_seconds=0.005
    )
    engine_task = asyncio.create_task(model.run())
    batch = [
        make_sequence(f'req-{number}', requested=10) for number in range(8)
    ]
    for added in batch:
        model.add(added)
    started_at = time.monotonic()
    await asyncio.gather(*(receive_tokens(each, 10) for each in batch))
    engine_task.cancel()
    # Ten steps of 10 ms + 8 x 5 ms each; with a batch of one sequence only,
    # ten steps take 150 ms.
    elapsed_ms = round(1000 * (time.monotonic() - started_at))
    assert elapsed_ms >= 450


async def test_waiting_sequences_are_ordered_by_priority(
    model: engine.Engine,
) -> None:
    for name, priority in (('low', 6), ('middle', 3), ('high', 1)):
        model.add(make_sequence(name, priority=priority))
    order = [one.ledger_line.request_id for one in model.waiting]
    assert order == ['high', 'middle', 'low']


async def test_resumed_request_continues_after_the_last_received_token(
    model: engine.Engine,
) -> None:
    engine_task = asyncio.create_task(model.run())
    first = make_sequence('req', requested=50)
    model.add(first)
    assert await receive_tokens(first, 3) == [1, 2, 3]
    assert model.cancel_request('req')
    resuming = make_sequence('req', requested=50, resumed_from=2)
    model.add(resuming)
    assert await receive_tokens(resuming, 48) == list(range(3, 51))
    engine_task.cancel()
    assert first.ledger_line.wasted_tokens() == 0
    assert first.ledger_line.produced + resuming.ledger_line.produced == 50


async def test_tokens_of_a_cancelled_request_are_wasted(
    model: engine.Engine,
) -> None:
    engine_task = asyncio.create_task(model.run())
    only = make_sequence('req', requested=50)
    model.add(only)
    await receive_tokens(only, 3)
    model.cancel(only)
    engine_task.cancel()
    assert only.ledger_line.produced >= 3
    assert only.ledger_line.wasted_tokens() == only.ledger_line.produced


def test_prefix_cache_evicts_the_least_recently_used() -> None:
    cache = prefix_cache.PrefixCache(max_blocks=2, seed=1)
    words = [str(number) for number in range(48)]
    first = prefix_cache.digest_blocks(words[:32])
    cache.store(first, now=1)
    assert cache.match(first) == 32
    cache.store(prefix_cache.digest_blocks(['x', *words[:31]]), now=2)
    assert cache.match(first) == 0


def test_cache_events_are_delayed_and_have_gaps() -> None:
    cache = prefix_cache.PrefixCache(max_blocks=1000, seed=1)
    words = [str(number) for number in range(16 * 200)]
    cache.store(prefix_cache.digest_blocks(words), now=5)
    assert cache.events_before(5) == []
    logged = len(cache.events_before(6))
    assert 100 < logged
    assert logged < 200


def test_load_report_lags() -> None:
    model = engine.Engine(
        engine.EngineSettings(model='wobble', report_lag_seconds=2),
    )
    model.reports.append(engine.LoadReport(10, 1, 0, 0.01))
    model.reports.append(engine.LoadReport(11.5, 8, 9, 0.01))
    assert model.delayed_report(12).running == 1
    assert model.delayed_report(13.5).running == 8


async def test_resumption_cancels_the_request_still_running(
    model: engine.Engine,
) -> None:
    engine_task = asyncio.create_task(model.run())
    first = make_sequence('req', requested=50)
    model.add(first)
    await receive_tokens(first, 3)
    resuming = make_sequence('req', requested=50, resumed_from=3)
    assert model.add(resuming)
    assert await receive_tokens(resuming, 47) == list(range(4, 51))
    engine_task.cancel()
    assert first.cancelled


def test_resuming_an_unknown_request_is_refused(model: engine.Engine) -> None:
    assert not model.add(make_sequence('req', resumed_from=3))
    assert not model.ledger

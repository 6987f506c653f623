"""Hold the stand-in engine to what it claims of itself."""

import asyncio
import time

import pytest

from standins import engine, prefix_cache, sequences


def sequence(request_id: str, **fields: int) -> sequences.Sequence:
    line = sequences.LedgerLine(
        request_id,
        priority=fields.get('priority', 1),
        prompt_tokens=fields.get('prompt', 8),
        resumed_from=fields.get('resumed_from', 0),
    )
    return sequences.Sequence(
        line, wanted_tokens=fields.get('wanted', 4), order=0
    )


async def tokens(one: sequences.Sequence, count: int) -> list[int]:
    return [await asyncio.wait_for(one.tokens.get(), 5) for _ in range(count)]


@pytest.fixture
def model() -> engine.Engine:
    """Return an engine with one place."""
    return engine.Engine(
        engine.EngineSettings(model='wobble', batch_limit=1),
    )


async def test_step_grows_with_batch(model: engine.Engine) -> None:
    model.settings = engine.EngineSettings(
        model='wobble', step_seconds=0.01, sequence_seconds=0.005
    )
    running = asyncio.create_task(model.run())
    batch = [sequence(f'req-{number}', wanted=10) for number in range(8)]
    for added in batch:
        model.add(added)
    began = time.monotonic()
    await asyncio.gather(*(tokens(each, 10) for each in batch))
    running.cancel()
    # Ten steps of 10 ms and 8 x 5 ms each; one place alone takes 150 ms.
    elapsed_ms = round(1000 * (time.monotonic() - began))
    assert elapsed_ms >= 450


async def test_priority_first(model: engine.Engine) -> None:
    for name, priority in (('low', 6), ('middle', 3), ('high', 1)):
        model.add(sequence(name, priority=priority))
    order = [one.line.request_id for one in model.waiting]
    assert order == ['high', 'middle', 'low']


async def test_resumes_where_it_was_cut(model: engine.Engine) -> None:
    running = asyncio.create_task(model.run())
    first = sequence('req', wanted=50)
    model.add(first)
    assert await tokens(first, 3) == [1, 2, 3]
    assert model.cancel_request('req')
    again = sequence('req', wanted=50, resumed_from=2)
    model.add(again)
    assert await tokens(again, 48) == list(range(3, 51))
    running.cancel()
    assert first.line.wasted_tokens() == 0
    assert first.line.produced + again.line.produced == 50


async def test_cancelled_work_is_wasted(model: engine.Engine) -> None:
    running = asyncio.create_task(model.run())
    only = sequence('req', wanted=50)
    model.add(only)
    await tokens(only, 3)
    model.cancel(only)
    running.cancel()
    assert only.line.produced >= 3
    assert only.line.wasted_tokens() == only.line.produced


def test_prefix_cache_forgets_the_oldest() -> None:
    cache = prefix_cache.PrefixCache(limit_blocks=2, seed=1)
    words = [str(number) for number in range(48)]
    first = prefix_cache.block_digests(words[:32])
    cache.store(first, now=1)
    assert cache.match(first) == 32
    cache.store(prefix_cache.block_digests(['x', *words[:31]]), now=2)
    assert cache.match(first) == 0


def test_cache_events_are_late_and_have_gaps() -> None:
    cache = prefix_cache.PrefixCache(limit_blocks=1000, seed=1)
    words = [str(number) for number in range(16 * 200)]
    cache.store(prefix_cache.block_digests(words), now=5)
    assert cache.events_before(5) == []
    told = len(cache.events_before(6))
    assert 100 < told
    assert told < 200


def test_report_lags() -> None:
    model = engine.Engine(
        engine.EngineSettings(model='wobble', report_lag_seconds=2),
    )
    model.reports.append(engine.LoadReport(10, 1, 0, 0.01))
    model.reports.append(engine.LoadReport(11.5, 8, 9, 0.01))
    assert model.delayed_report(12).running == 1
    assert model.delayed_report(13.5).running == 8


async def test_resumes_before_the_old_connection_ended(
    model: engine.Engine,
) -> None:
    running = asyncio.create_task(model.run())
    first = sequence('req', wanted=50)
    model.add(first)
    await tokens(first, 3)
    again = sequence('req', wanted=50, resumed_from=3)
    assert model.add(again)
    assert await tokens(again, 47) == list(range(4, 51))
    running.cancel()
    assert first.cancelled


def test_unknown_request_is_not_resumed(model: engine.Engine) -> None:
    assert not model.add(sequence('req', resumed_from=3))
    assert not model.ledger

"""Bodies wait for room in order, and give it back in every case."""

import asyncio

from cranberryrill.limits import body_budget

LONG_SECONDS = 5.0


async def test_bodies_wait_in_order() -> None:
    budget = body_budget.BodyBudget(100)
    assert await budget.hold(80, LONG_SECONDS)
    order: list[int] = []

    async def hold(size: int) -> None:
        assert await budget.hold(size, LONG_SECONDS)
        order.append(size)

    waiting = [asyncio.create_task(hold(size)) for size in (50, 10, 40)]
    await asyncio.sleep(0)
    # The small one doesn't overtake.
    assert not order
    budget.release(80)
    await asyncio.gather(*waiting)
    assert order == [50, 10, 40]
    assert budget.held_bytes == 100


async def test_body_that_waits_too_long_is_given_up() -> None:
    budget = body_budget.BodyBudget(100)
    assert await budget.hold(80, LONG_SECONDS)
    assert not await budget.hold(30, 0.01)
    assert not budget.waiters
    budget.release(80)
    assert not budget.held_bytes
    assert await budget.hold(100, 0.01)


async def test_caller_that_leaves_gives_its_place_back() -> None:
    budget = body_budget.BodyBudget(100)
    assert await budget.hold(100, LONG_SECONDS)
    leaving = asyncio.create_task(budget.hold(60, LONG_SECONDS))
    staying = asyncio.create_task(budget.hold(60, LONG_SECONDS))
    await asyncio.sleep(0)
    budget.release(100)
    # Admitted, but its task has not gone on yet.
    leaving.cancel()
    await asyncio.gather(leaving, return_exceptions=True)
    assert await staying
    assert budget.held_bytes == 60


async def test_body_larger_than_the_limit_is_held_alone() -> None:
    budget = body_budget.BodyBudget(100)
    assert await budget.hold(500, LONG_SECONDS)
    assert not await budget.hold(1, 0.01)
    budget.release(500)
    assert await budget.hold(1, 0.01)

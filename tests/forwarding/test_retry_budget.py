"""Repeats of all processes together stay within one budget."""

import random

from cranberryrill.forwarding import retry_budget

BOUNDS = retry_budget.RetryLimits(ratio=0.2, slack=60, window_seconds=10)


def spend_all(
    held: retry_budget.RetryBudget, now: float, processes: int
) -> int:
    spent = 0
    while held.try_spend(now, processes):
        spent += 1
    return spent


def test_all_processes_together_stay_within_slack_and_ratio() -> None:
    processes = 8
    spent = 0
    for _ in range(processes):
        held = retry_budget.RetryBudget(BOUNDS, 0)
        for _ in range(50):
            held.record_request(100)
        spent += spend_all(held, 100, processes)
    assert spent <= 0.2 * 50 * processes + 60


def test_restarted_process_does_not_spend_the_slack_again() -> None:
    first = retry_budget.RetryBudget(BOUNDS, 0)
    spent = spend_all(first, 100, 4)
    second = retry_budget.RetryBudget(BOUNDS, 101)
    spent += spend_all(second, 101, 4)
    assert spent <= 60 / 4


def test_every_window_keeps_the_bound_while_callers_repeat_at_once() -> None:
    rng = random.Random(5)
    held = retry_budget.RetryBudget(BOUNDS, 0)
    requests: list[float] = []
    repeats: list[float] = []
    now = 20.0
    while now < 60:
        now += rng.expovariate(30)
        held.record_request(now)
        requests.append(now)
        while held.try_spend(now, 1):
            repeats.append(now)
    for end in range(30, 60):
        in_window = sum(end - 10 < at <= end for at in repeats)
        paid = sum(end - 20 < at <= end for at in requests)
        assert in_window <= 0.2 * paid + 60

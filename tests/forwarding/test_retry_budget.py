"""Retries of all processes together stay within one budget."""

import random

from cranberryrill.forwarding import retry_budget

LIMITS = retry_budget.RetryLimits(ratio=0.2, slack=60, window_seconds=10)


def spend_all(
    budget: retry_budget.RetryBudget, now: float, processes: int
) -> int:
    spent = 0
    while budget.try_spend(now, processes):
        spent += 1
    return spent


def test_all_processes_together_stay_within_ratio_and_slack() -> None:
    processes = 8
    spent = 0
    for _ in range(processes):
        budget = retry_budget.RetryBudget(LIMITS, 0)
        for _ in range(50):
            budget.record_request(100)
        spent += spend_all(budget, 100, processes)
    assert spent <= 0.2 * 50 * processes + 60


def test_restarted_process_does_not_spend_the_slack_again() -> None:
    first = retry_budget.RetryBudget(LIMITS, 0)
    spent = spend_all(first, 100, 4)
    second = retry_budget.RetryBudget(LIMITS, 101)
    spent += spend_all(second, 101, 4)
    assert spent <= 60 / 4


def test_every_window_stays_within_limit_under_constant_retries() -> None:
    rng = random.Random(5)
    budget = retry_budget.RetryBudget(LIMITS, 0)
    requests: list[float] = []
    retries: list[float] = []
    now = 20.0
    while now < 60:
        now += rng.expovariate(30)
        budget.record_request(now)
        requests.append(now)
        while budget.try_spend(now, 1):
            retries.append(now)
    for end in range(30, 60):
        # A retry at the start of the window may draw on requests that are up to
        # one window older.
        retries_in_window = sum(end - 10 < at <= end for at in retries)
        counted_requests = sum(end - 20 < at <= end for at in requests)
        assert retries_in_window <= 0.2 * counted_requests + 60

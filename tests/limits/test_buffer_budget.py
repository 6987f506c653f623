"""The sum over all responses is bounded, at the cost of the largest."""

from cranberryrill.limits import buffer_budget


class Response:
    """Response that records whether it was ended."""

    def __init__(self) -> None:
        self.exceeded_limits: list[int] = []

    def exceed(self, limit_bytes: int) -> None:
        self.exceeded_limits.append(limit_bytes)


def test_largest_response_is_ended_and_the_others_go_on() -> None:
    budget = buffer_budget.BufferBudget(100)
    small, large, other = Response(), Response(), Response()
    budget.hold(small, 10)
    budget.hold(large, 70)
    budget.hold(other, 20)
    assert not large.exceeded_limits
    budget.hold(small, 11)
    assert large.exceeded_limits == [100]
    assert not small.exceeded_limits and not other.exceeded_limits
    assert budget.total_bytes == 31
    assert budget.exceeded_count == 1


def test_bytes_that_were_read_count_no_longer() -> None:
    budget = buffer_budget.BufferBudget(100)
    response = Response()
    for _ in range(50):
        budget.hold(response, 90)
        budget.hold(response, 0)
    budget.release(response)
    assert budget.total_bytes == 0
    assert not response.exceeded_limits


def test_response_larger_than_the_limit_is_ended_alone() -> None:
    budget = buffer_budget.BufferBudget(100)
    small, large = Response(), Response()
    budget.hold(small, 60)
    budget.hold(large, 101)
    assert large.exceeded_limits and not small.exceeded_limits
    budget.release(large)
    assert budget.total_bytes == 60

"""Retry budget that bounds the retries of an entry."""

RETRIES_PER_REQUEST = 0.1
# Unused retries are saved up to this many, for failures after low traffic.
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Allowance of retries that grows with requests, not with refusals."""

    def __init__(self) -> None:
        self.saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add the share of a retry that one new request earns."""
        self.saved = min(self.saved + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Spend one retry; return False when the budget is exhausted."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True

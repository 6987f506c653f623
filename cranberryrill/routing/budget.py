"""Bound how many requests are asked for again."""

# Each request earns this part of a retry.
RETRIES_PER_REQUEST = 0.1
# As many retries can be saved up, for a failure after a quiet time.
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Let retries grow with requests, never with refusals."""

    def __init__(self) -> None:
        self.saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count one request."""
        self.saved = min(self.saved + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry, and say whether there was one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True

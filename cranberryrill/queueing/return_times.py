"""Decide when refused callers should come back.

A caller that comes back goes before new requests of its organisation. Part of
what the organisation gets is therefore promised to its refused callers, one
after another: those that are refused together return one by one.
"""

from cranberryrill.queueing import wait_prediction, waiting

# Share of what an organisation gets that is promised to refused callers.
PROMISED_SHARE = 0.5
# A caller that comes back when its wait has fallen to this share of what it
# may wait has time left for what has come before it in the meantime.
WAIT_SHARE_AT_RETURN = 0.5
MIN_RETRY_SECONDS = 0.05
# Retries are put off by up to this share, so that those of several entries
# don't coincide.
JITTER_SHARE = 0.2
# Capacity is promised for at most so long. Rates measured while nothing could
# be sent would otherwise keep callers away long after that.
MAX_PROMISED_SECONDS = 5.0
# Callers honour a Retry-After up to a third of the time that they have left.
HONOURED_SHARE = 1 / 3
# Organisations and ranks that are remembered.
MAX_REMEMBERED = 4096
User = tuple[int, str]


class ReturnTimes:
    """When the next refused caller of each rank and organisation returns."""

    def __init__(self) -> None:
        self.next_at: dict[User, float] = {}

    def retry_after(
        self,
        request: waiting.WaitingRequest,
        wait: wait_prediction.PredictedWait,
        seconds_left: float,
        now: float,
        sampled: float,
    ) -> float:
        """Return the seconds after which there is capacity for the caller.

        `seconds_left` is the time that the caller has left; `sampled` is a
        random number from 0 to 1. A caller that won't wait for so long is
        promised nothing.
        """
        user = (request.rank, request.organisation)
        promised_rate = PROMISED_SHARE * wait.own_per_second
        excess = (
            wait.in_time_seconds
            - WAIT_SHARE_AT_RETURN * request.max_wait_seconds
        )
        room_at = max(
            now + excess,
            now + wait.typical_work / promised_rate,
            self.next_at.get(user, now),
            now + MIN_RETRY_SECONDS,
        )
        room_at = min(room_at, now + MAX_PROMISED_SECONDS)
        delay = (room_at - now) * (1 + JITTER_SHARE * sampled)
        if delay <= seconds_left * HONOURED_SHARE:
            self._forget_past(now)
            self.next_at[user] = min(
                room_at + request.work / promised_rate,
                now + MAX_PROMISED_SECONDS,
            )
        return delay

    def _forget_past(self, now: float) -> None:
        if len(self.next_at) >= MAX_REMEMBERED:
            self.next_at = {
                user: room_at
                for user, room_at in self.next_at.items()
                if room_at > now
            }

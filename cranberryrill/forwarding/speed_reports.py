"""Reports of one entry to the others on the speed of upstreams."""

import math

from cranberryrill.engine_model import upstream_model
from cranberryrill.forwarding import loads_pb2, upstream_pool

# Reports are sent at most this often. They describe averages over seconds.
PERIOD_SECONDS = 0.5
# A speed that differs by less than this share from the one sent is no news.
MIN_CHANGE = 0.05
# A speed that is measured anew is sent again after this time, even if it is
# unchanged: others let a report decay.
REPEAT_SECONDS = 3.0
# With a report of about 45 bytes and 24 watchers, this many in each period are
# 9 KB/s at most. With more watchers, the period is longer in proportion.
MAX_REPORTS = 4
WATCHERS_PER_PERIOD = 24
# Fewer measurements say too little.
MIN_SAMPLES = 0.5
NOTHING = upstream_model.Measured()
# Values outside this range are taken as malformed.
MIN_VALUE = 1e-6
MAX_VALUE = 1e6
MAX_SAMPLES = 1000


class Sender:
    """Select and encode the speeds that one other entry lacks."""

    def __init__(self, pool: upstream_pool.Pool) -> None:
        self.pool = pool
        self.sent: dict[str, upstream_model.Measured] = {}
        self.sent_at = float('-inf')

    def next_reports(
        self, now: float, watchers: int = 1
    ) -> list[loads_pb2.UpstreamSpeed]:
        """Return the speeds that are news, and take them for sent.

        Those that have changed most go first, if there are too many.
        `watchers` counts the entries that are sent reports.
        """
        period = PERIOD_SECONDS * max(watchers / WATCHERS_PER_PERIOD, 1)
        if self.pool.models is None or now < self.sent_at + period:
            return []
        self.sent_at = now
        news = []
        for upstream in self.pool.by_id.values():
            sent = self.sent.get(upstream.id, NOTHING)
            model = upstream.model
            if model is None or model.recorded_at <= sent.measured_at:
                continue
            measured = model.own(now)
            if measured.samples < MIN_SAMPLES:
                continue
            change = _change(sent, measured)
            if change >= MIN_CHANGE:
                news.append((change, upstream.id, measured))
        news.sort(key=lambda report: report[0], reverse=True)
        chosen = {name: measured for _, name, measured in news[:MAX_REPORTS]}
        self.sent.update(chosen)
        for gone in self.sent.keys() - self.pool.by_id.keys():
            self.sent.pop(gone)
        return [encode(name, measured) for name, measured in chosen.items()]


def encode(
    upstream: str, measured: upstream_model.Measured
) -> loads_pb2.UpstreamSpeed:
    """Return the message for what this process has measured."""
    message = loads_pb2.UpstreamSpeed(
        upstream=upstream, samples=max(round(measured.samples), 1)
    )
    if measured.prefill_ms_per_token is not None:
        message.prefill_tokens_per_ms = 1 / measured.prefill_ms_per_token
    if measured.event_gap_ms is not None:
        message.event_gap_ms = measured.event_gap_ms
    return message


def decode(
    message: loads_pb2.UpstreamSpeed, now: float
) -> upstream_model.Measured:
    """Return the measurements of a message; malformed values are missing."""
    prefill_ms_per_token = None
    if _is_sound(message.prefill_tokens_per_ms):
        prefill_ms_per_token = 1 / message.prefill_tokens_per_ms
    event_gap_ms = None
    if _is_sound(message.event_gap_ms):
        event_gap_ms = message.event_gap_ms
    return upstream_model.Measured(
        prefill_ms_per_token,
        event_gap_ms,
        min(message.samples, MAX_SAMPLES),
        now,
    )


def apply(
    pool: upstream_pool.Pool,
    entry: str,
    message: loads_pb2.UpstreamSpeed,
    now: float,
) -> None:
    """Apply the report of another entry on an upstream."""
    target = pool.by_id.get(message.upstream)
    if target is not None and target.model is not None:
        target.model.record_peer(entry, decode(message, now))


def forget(pool: upstream_pool.Pool, entry: str) -> None:
    """Remove the reports of an entry that is gone or not connected."""
    for upstream in pool.by_id.values():
        if upstream.model is not None:
            upstream.model.by_entry.pop(entry, None)


def _is_sound(figure: float) -> bool:
    return math.isfinite(figure) and MIN_VALUE <= figure <= MAX_VALUE


def _change(
    previous: upstream_model.Measured, measured: upstream_model.Measured
) -> float:
    """Return the share by which measurements differ from those sent."""
    if measured.measured_at >= previous.measured_at + REPEAT_SECONDS:
        return math.inf
    return max(
        _relative(previous.prefill_ms_per_token, measured.prefill_ms_per_token),
        _relative(previous.event_gap_ms, measured.event_gap_ms),
    )


def _relative(previous: float | None, measured: float | None) -> float:
    if measured is None:
        return 0
    if previous is None:
        return math.inf
    return abs(measured / previous - 1)

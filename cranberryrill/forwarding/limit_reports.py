"""Reports of one entry to the others on upstreams that name limits."""

import math
from collections import abc

from cranberryrill.forwarding import (
    allowance,
    loads_pb2,
    upstream_pool,
    upstreams,
)

MILLISECONDS_PER_SECOND = 1000
# A response that names the same limit as before is news after this time.
REPEAT_SECONDS = 0.5
# A later end of a cold time is news from this difference on. The end is
# reported later by as much, so that the others never know a shorter time.
COLD_MARGIN_SECONDS = 0.25
Reports = dict[str, allowance.EntryReport]


def current_reports(
    all_upstreams: abc.Iterable[upstreams.Upstream], now: float
) -> Reports:
    """Return this process's reports at the time `now`, by upstream.

    An upstream that never named a limit and isn't cold is left out.
    """
    return {
        upstream.id: upstream.allowance.own_report()
        for upstream in all_upstreams
        if upstream.allowance.was_named
        or upstream.allowance.limit(now) is not None
    }


class Sender:
    """Select and encode the reports that one other entry lacks."""

    def __init__(self, pool: upstream_pool.Pool) -> None:
        self.pool = pool
        self.sent: Reports = {}

    def next_reports(self, now: float) -> list[loads_pb2.UpstreamLimit]:
        """Return the reports that are news, and take them for sent."""
        news = {
            name: report
            for name, report in current_reports(
                self.pool.by_id.values(), now
            ).items()
            if name not in self.sent or _is_news(self.sent[name], report)
        }
        self.sent.update(news)
        return [encode(name, report, now) for name, report in news.items()]


def encode(
    upstream: str, report: allowance.EntryReport, now: float
) -> loads_pb2.UpstreamLimit:
    """Return the message for a report at the time `now`."""
    message = loads_pb2.UpstreamLimit(upstream=upstream, sent=report.sent)
    if report.named.per_second is not None:
        message.per_second = report.named.per_second
    if report.named.named_at > -math.inf:
        age_ms = (now - report.named.named_at) * MILLISECONDS_PER_SECOND
        message.named_age_ms = max(int(age_ms), 0)
    if report.cold_until > now:
        cold_seconds = report.cold_until - now + COLD_MARGIN_SECONDS
        message.cold_ms = math.ceil(cold_seconds * MILLISECONDS_PER_SECOND)
    return message


def decode(
    message: loads_pb2.UpstreamLimit, now: float
) -> allowance.EntryReport:
    """Return the report of a message that is received at the time `now`."""
    per_second = None
    if message.HasField('per_second'):
        per_second = message.per_second
    named_at = -math.inf
    if message.HasField('named_age_ms'):
        named_at = now - message.named_age_ms / MILLISECONDS_PER_SECOND
    cold_until = -math.inf
    if message.cold_ms:
        cold_until = now + message.cold_ms / MILLISECONDS_PER_SECOND
    return allowance.EntryReport(
        allowance.NamedLimit(per_second, named_at), message.sent, cold_until
    )


def _is_news(
    previous: allowance.EntryReport, report: allowance.EntryReport
) -> bool:
    if previous.sent != report.sent:
        return True
    if previous.named.per_second != report.named.per_second:
        return True
    if report.cold_until > previous.cold_until + COLD_MARGIN_SECONDS:
        return True
    return report.named.named_at > previous.named.named_at + REPEAT_SECONDS

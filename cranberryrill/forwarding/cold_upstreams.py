"""Find out which upstreams are cold, from what this entry learns of them.

The state is kept by upstream id, also while an upstream isn't registered: one
that was unreachable for long has probably restarted.
"""

import collections
import dataclasses
from collections import abc as collection_types

from cranberryrill.evacuation import withdrawal
from cranberryrill.forwarding import allowance, cold_start, upstreams
from cranberryrill.registry import registry_pb2
from cranberryrill.traffic import document

MILLISECONDS_PER_SECOND = 1000
# Clocks of VMs differ by so much. An upstream that is this much older than the
# cold time by its own clock may still be cold.
CLOCK_TOLERANCE_SECONDS = 5.0
# Bounds the state; more than the upstreams of the largest deployment.
MAX_KNOWN = 4096


@dataclasses.dataclass
class KnownUpstream:
    """Newest registration of an upstream, and its allowance."""

    registration: registry_pb2.Registration
    allowance: allowance.Allowance


class ColdUpstreams:
    """Cold times of all upstreams that this entry has known, by id."""

    def __init__(self) -> None:
        self.rules: dict[str, cold_start.ColdRule] = {}
        # The one least recently registered first.
        self.known: collections.OrderedDict[str, KnownUpstream] = (
            collections.OrderedDict()
        )
        # Whether other entries have told what they know, if there are any.
        self.is_informed = False

    def update(
        self,
        services: collection_types.Iterable[document.Service],
        registered: collection_types.Collection[upstreams.Upstream],
        now: float,
        unix_ms: int,
    ) -> None:
        """Apply the newest configuration and registrations."""
        self.rules = {
            service.name: cold_start.ColdRule(
                service.cold_seconds, service.cold_per_second
            )
            for service in services
            if service.cold_per_second
        }
        was_serving = bool(self.known)
        for upstream in registered:
            self._update_one(upstream, now, unix_ms, was_serving=was_serving)
        while len(self.known) > max(MAX_KNOWN, len(registered)):
            self.known.popitem(last=False)

    def record_evacuations(
        self,
        registered: collection_types.Iterable[upstreams.Upstream],
        evacuations: withdrawal.Withdrawal,
    ) -> None:
        """Count upstreams as cold from the end of their evacuation on.

        Must come before they are opened again.
        """
        for upstream in registered:
            ended_at = evacuations.ended_at.get(
                upstream.registration.data_centre
            )
            if ended_at is not None:
                period = upstream.allowance.cold
                period.rule = self._rule(upstream)
                period.record_restart(ended_at)

    def record_informed(self) -> None:
        """Record that other entries have reported, or that there are none."""
        if self.is_informed:
            return
        self.is_informed = True
        for known in self.known.values():
            known.allowance.cold.assumed_until = cold_start.NEVER

    def _update_one(
        self,
        upstream: upstreams.Upstream,
        now: float,
        unix_ms: int,
        *,
        was_serving: bool,
    ) -> None:
        registration = upstream.registration
        known = self.known.get(upstream.id)
        if known is None:
            known = KnownUpstream(registration, upstream.allowance)
            self.known[upstream.id] = known
            is_news, is_unknown_start = True, was_serving
        else:
            # Each registration that is received is an object of its own.
            is_news = known.registration is not registration
            is_unknown_start = (
                known.registration.started_unix_ms
                != registration.started_unix_ms
            )
            known.registration = registration
        period = known.allowance.cold
        period.rule = self._rule(upstream)
        if known.allowance is not upstream.allowance:
            if period.rule.per_second:
                upstream.allowance.inherit(known.allowance)
            known.allowance = upstream.allowance
            period = upstream.allowance.cold
            period.rule = self._rule(upstream)
        if is_news:
            self.known.move_to_end(upstream.id)
            period.extend(
                registration.warm_up_ms / MILLISECONDS_PER_SECOND, now
            )
        if is_unknown_start:
            period.extend(_remaining(period.rule, registration, unix_ms), now)
        if is_news and not self.is_informed:
            period.assumed_until = now + period.rule.seconds

    def _rule(self, upstream: upstreams.Upstream) -> cold_start.ColdRule:
        return self.rules.get(
            upstream.registration.service, cold_start.NEVER_COLD
        )


def _remaining(
    rule: cold_start.ColdRule,
    registration: registry_pb2.Registration,
    unix_ms: int,
) -> float:
    """Return the rest of the cold time of an upstream that has started."""
    age = (unix_ms - registration.started_unix_ms) / MILLISECONDS_PER_SECOND
    return rule.seconds - max(age - CLOCK_TOLERANCE_SECONDS, 0)

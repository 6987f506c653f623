"""Uses of each service by organisations, through all entries.

Handles the load in which organisations ask for more than there is, through
entries of unequal load: the queue of each entry sees only a part of what an
organisation gets. Uses are in memory x time: token-seconds of engines, and
slot-seconds of plain services.
"""

import dataclasses
import math
import typing
from collections import abc

from cranberryrill.shares import decay, heaviest

# Name of the sum over the organisations that are not listed.
REST = ''
# Callers without a key count as one organisation of this name.
ANONYMOUS = '(anonymous)'
# A summary that claims more is wrong: 1,600 engines of 10 million tokens come
# to a quarter of it.
MAX_USED = 1e12
MAX_NAME_LENGTH = 256
# Of the target size, 18 services, with room; more are left out.
MAX_SERVICES = 64
# Entries whose uses are kept, gone ones included. An entry watches 24 others,
# each of which may restart within the time in which its use decays.
MAX_ENTRIES = 64
# Sums are added up anew after this time, since sums that are only changed grow
# out of their precision.
MAX_TOTALS_SECONDS = 60.0
# An entry that is gone is forgotten after this time; 1.6 % of its use is left.
GONE_SECONDS = 6 * decay.HALF_LIFE_SECONDS


@dataclasses.dataclass(frozen=True)
class Usage:
    """What an organisation has used of a service, decayed to some time."""

    service: str
    # `REST` for the sum over all organisations that are not listed.
    organisation: str
    used: float


Summary = abc.Sequence[Usage]


class UsageSource(typing.Protocol):
    """What a queue needs to know of the shares."""

    def used(self, service: str, organisation: str, now: float) -> float:
        """Return what an organisation has used of a service."""


class ReceivedUses:
    """Uses of one service through one other entry."""

    def __init__(self) -> None:
        self.by_organisation: dict[str, decay.DecayingSum] = {}

    def set(self, organisation: str, used: float, now: float) -> None:
        """Replace what an organisation has used; 0 if it isn't listed now."""
        if not used:
            self.by_organisation.pop(organisation, None)
            return
        is_known = organisation in self.by_organisation
        # One more is the rest.
        if is_known or len(self.by_organisation) <= heaviest.MAX_LISTED:
            self.by_organisation[organisation] = decay.DecayingSum(used, now)


class Totals:
    """Sums over the other entries for one service, at the time `at`.

    A change of one entry's uses takes out the former ones and adds the new
    ones, since it costs a millisecond to add up those of all entries.
    """

    def __init__(self, at: float) -> None:
        self.at = at
        self.listed: dict[str, float] = {}
        # Sum of the equal parts of the rests of all entries.
        self.equal_part = 0.0
        # Equal parts of those entries that list the organisation.
        self.parts_not_due: dict[str, float] = {}

    def add(
        self,
        uses: ReceivedUses,
        organisations: int,
        now: float,
        *,
        sign: int = 1,
    ) -> None:
        """Add the uses through one entry, or take them out."""
        weight = sign / decay.factor(now - self.at)
        values = {
            name: counted.value(now) * weight
            for name, counted in uses.by_organisation.items()
        }
        rest = values.pop(REST, 0)
        listed = [used * sign for used in values.values()]
        part = equal_part(rest * sign, listed, organisations) * sign
        self.equal_part += part
        for name, used in values.items():
            self.listed[name] = self.listed.get(name, 0) + used
            self.parts_not_due[name] = self.parts_not_due.get(name, 0) + part

    def used(self, organisation: str, now: float) -> float:
        """Return what an organisation has used through the other entries."""
        at_sum = (
            self.listed.get(organisation, 0)
            + self.equal_part
            - self.parts_not_due.get(organisation, 0)
        )
        return max(at_sum, 0) * decay.factor(now - self.at)


class Shares:
    """Uses through this entry, and what others say of theirs.

    The interface to a queue is `used`. Nothing is counted twice: a summary
    holds only what was used through this entry, and replaces an earlier one of
    the same entry.
    """

    def __init__(self) -> None:
        # Number of organisations that the configuration lists.
        self.organisations = 0
        self.own: dict[str, heaviest.HeaviestUsers] = {}
        # Uses by entry and service, and when each entry last sent some.
        self.received: dict[str, dict[str, ReceivedUses]] = {}
        self.received_at: dict[str, float] = {}
        # Sums over the other entries, by service; made when they are needed.
        self.totals: dict[str, Totals] = {}

    def update_organisations(self, count: int) -> None:
        """Apply the number of organisations that the configuration lists."""
        if count != self.organisations:
            self.organisations = count
            self.totals.clear()

    def record(
        self, service: str, organisation: str, used: float, now: float
    ) -> None:
        """Record what an organisation has used through this entry."""
        if used <= 0 or not math.isfinite(used):
            return
        users = self.own.setdefault(service, heaviest.HeaviestUsers())
        users.add(organisation or ANONYMOUS, used, now)

    def used(self, service: str, organisation: str, now: float) -> float:
        """Return what an organisation has used of a service.

        One that is not listed counts as an equal part of the rest.
        """
        name = organisation or ANONYMOUS
        return self._own_used(service, name, now) + self._totals(
            service, now
        ).used(name, now)

    def summary(self, now: float) -> list[Usage]:
        """Return what has been used through this entry."""
        uses: list[Usage] = []
        for service, users in self.own.items():
            uses.extend(
                Usage(service, name, counted.value(now))
                for name, counted in users.listed.items()
            )
            rest = users.rest.value(now)
            if rest > 0:
                uses.append(Usage(service, REST, rest))
        return uses

    def merge(
        self,
        entry: str,
        summary: Summary,
        now: float,
        *,
        is_complete: bool = True,
    ) -> None:
        """Replace what an entry has said before.

        Only the organisations in the summary are replaced unless it is
        complete. Uses that can't be true are left out.
        """
        if is_complete:
            self.forget(entry)
        self._make_room(entry)
        services = self.received.setdefault(entry, {})
        self.received_at[entry] = now
        for service, credible in _credible_by_service(summary).items():
            if service not in services and len(services) >= MAX_SERVICES:
                continue
            uses = services.setdefault(service, ReceivedUses())
            totals = self._recent_totals(service, now)
            if totals is not None:
                totals.add(uses, self.organisations, now, sign=-1)
            for usage in credible:
                uses.set(usage.organisation, usage.used, now)
            if totals is not None:
                totals.add(uses, self.organisations, now)

    def received_summary(self, entry: str, now: float) -> list[Usage]:
        """Return what an entry has said, decayed to the time `now`."""
        return [
            Usage(service, name, counted.value(now))
            for service, uses in self.received.get(entry, {}).items()
            for name, counted in uses.by_organisation.items()
        ]

    def forget(self, entry: str) -> None:
        """Forget what was used through an entry."""
        self.received_at.pop(entry, None)
        for service in self.received.pop(entry, {}):
            self.totals.pop(service, None)

    def forget_gone(self, connected: abc.Collection[str], now: float) -> None:
        """Forget the entries that have been gone for some half-lives."""
        for entry, received_at in list(self.received_at.items()):
            if entry not in connected and now > received_at + GONE_SECONDS:
                self.forget(entry)

    def services(self) -> set[str]:
        """Return the services that have been used."""
        return self.own.keys() | {
            service
            for services in self.received.values()
            for service in services
        }

    def by_organisation(self, service: str, now: float) -> dict[str, float]:
        """Return the uses of a service by the listed organisations.

        The rest is under the name `REST`.
        """
        received = [
            services[service].by_organisation
            for services in self.received.values()
            if service in services
        ]
        users = self.own.get(service)
        if users is not None:
            received.append({**users.listed, REST: users.rest})
        sums: dict[str, float] = {}
        for uses in received:
            for name, counted in uses.items():
                sums[name] = sums.get(name, 0) + counted.value(now)
        return sums

    def _own_used(self, service: str, name: str, now: float) -> float:
        users = self.own.get(service)
        if users is None:
            return 0
        counted = users.listed.get(name)
        if counted is not None:
            return counted.value(now)
        rest = users.rest.value(now)
        if rest <= 0:
            return 0
        listed = [known.value(now) for known in users.listed.values()]
        return equal_part(rest, listed, self.organisations)

    def _recent_totals(self, service: str, now: float) -> Totals | None:
        """Return the sums that may still be changed; forget older ones."""
        totals = self.totals.get(service)
        if totals is not None and now > totals.at + MAX_TOTALS_SECONDS:
            del self.totals[service]
            return None
        return totals

    def _totals(self, service: str, now: float) -> Totals:
        totals = self._recent_totals(service, now)
        if totals is None:
            totals = Totals(now)
            for services in self.received.values():
                uses = services.get(service)
                if uses is not None:
                    totals.add(uses, self.organisations, now)
            self.totals[service] = totals
        return totals

    def _make_room(self, entry: str) -> None:
        """Forget the entry that has been silent for longest, if need be."""
        if entry in self.received or len(self.received) < MAX_ENTRIES:
            return
        self.forget(min(self.received_at, key=self.received_at.__getitem__))


def equal_part(
    rest: float, listed: abc.Collection[float], organisations: int
) -> float:
    """Return the part of one organisation that is not listed.

    It is at most that of the least of the listed ones.
    """
    part = rest / max(organisations - len(listed), 1)
    return min(part, min(listed, default=part))


def _credible_by_service(summary: Summary) -> dict[str, list[Usage]]:
    """Return the uses that may be true."""
    by_service: dict[str, list[Usage]] = {}
    for usage in summary:
        if _is_credible(usage):
            by_service.setdefault(usage.service, []).append(usage)
    return by_service


def _is_credible(usage: Usage) -> bool:
    """Return whether a use may be true; NaN may not."""
    if len(usage.service) > MAX_NAME_LENGTH:
        return False
    if len(usage.organisation) > MAX_NAME_LENGTH:
        return False
    return 0 <= usage.used <= MAX_USED

"""Admit and dismiss voters automatically, to replace lost members."""

import asyncio
import dataclasses
import logging
from collections import abc

from cranberryrill import clock
from cranberryrill.replication import groups, member, voter_admission

LOGGER = logging.getLogger(__name__)
CHECK_PERIOD_SECONDS = 0.3
# A voter that has not answered for this long is replaced by a member that
# answers. Longer than an election, shorter than the time between two losses.
REPLACE_AFTER_SECONDS = 2.5
# A member that answered within this time counts as reachable.
CONTACT_WINDOW_SECONDS = 0.7


@dataclasses.dataclass(frozen=True)
class PeerStatus:
    """State of one other member, as observed by the leader.

    `silent_for` is in seconds.
    """

    name: str
    identity: str
    silent_for: float
    caught_up: bool

    @property
    def is_eligible(self) -> bool:
        """Return whether the member could become a voter now."""
        return self.caught_up and self.silent_for <= CONTACT_WINDOW_SECONDS


@dataclasses.dataclass(frozen=True)
class Admit:
    """Make the data folder that answers as `name` a voter."""

    name: str


@dataclasses.dataclass(frozen=True)
class Dismiss:
    """Remove the voter called `name`."""

    name: str


Change = Admit | Dismiss


def decide_change(
    leader: str,
    voters: abc.Mapping[str, str],
    statuses: abc.Sequence[PeerStatus],
    target_voters: int,
) -> Change | None:
    """Return the next change of voters, or None if none is due.

    Handles a voter that lost its disk, a voter that is lost for good, and a
    group that was founded with fewer than `target_voters`.
    """
    for status in statuses:
        replaced = voters.get(status.name) not in {None, status.identity}
        if replaced and status.identity and status.is_eligible:
            return Admit(status.name)
    eligible = sorted(
        peer.name
        for peer in statuses
        if peer.is_eligible and peer.name not in voters
    )
    if eligible and len(voters) < target_voters:
        return Admit(eligible[0])
    lost = _longest_silent(leader, voters, statuses)
    if lost is None:
        return None
    if len(voters) > target_voters:
        return Dismiss(lost)
    return Admit(eligible[0]) if eligible else None


def _longest_silent(
    leader: str,
    voters: abc.Mapping[str, str],
    statuses: abc.Sequence[PeerStatus],
) -> str | None:
    silence = {peer.name: peer.silent_for for peer in statuses}
    others = [name for name in voters if name != leader]
    if not others:
        return None
    longest = max(others, key=lambda name: silence.get(name, 0))
    return longest if silence.get(longest, 0) >= REPLACE_AFTER_SECONDS else None


class VoterManager:
    """Admit and dismiss voters while this member leads."""

    def __init__(
        self,
        local: member.Member,
        admission: voter_admission.Admission,
        target_voters: int,
    ) -> None:
        self.member = local
        self.admission = admission
        self.target_voters = target_voters

    async def run(self) -> None:
        """Check the voters periodically and carry out changes that are due."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_SECONDS)
            local = self.member
            if not local.holds_lease(clock.monotonic_seconds()):
                continue
            change = decide_change(
                local.name,
                groups.identities(local.group),
                self.peer_statuses(clock.monotonic_seconds()),
                self.target_voters,
            )
            if change is not None:
                await self._apply_change(change)

    def peer_statuses(self, now: float) -> list[PeerStatus]:
        """Return the status of every other member."""
        local = self.member
        leading_since = now - self._led_for(now)
        return [
            PeerStatus(
                name=name,
                identity=progress.identity,
                silent_for=now - max(progress.confirmed_at, leading_since),
                caught_up=progress.match_index >= local.commit_index - 1,
            )
            for name, progress in local.progress.items()
        ]

    def _led_for(self, now: float) -> float:
        # A new leader has no answers yet, so silence counts from its election.
        return max(now - self.member.leader_since, 0)

    async def _apply_change(self, change: Change) -> None:
        if isinstance(change, Admit):
            changed = await self.admission.admit(change.name)
        else:
            changed = await self.admission.dismiss(change.name)
        LOGGER.info(
            'change of voters',
            extra={
                'change': type(change).__name__.lower(),
                'peer': change.name,
                'outcome': 'ok' if changed.is_ok() else str(changed.err()),
            },
        )

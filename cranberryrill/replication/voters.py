"""Decide who votes, so that lost members are replaced without an operator."""

import asyncio
import dataclasses
import logging
from collections import abc

from cranberryrill import clock
from cranberryrill.replication import groups, member, voter_admission

LOGGER = logging.getLogger(__name__)
CHECK_PERIOD_SECONDS = 0.3
# A voter that was silent for this long gives its vote to one that answers;
# longer than an election, shorter than the time between two losses.
REPLACE_AFTER_SECONDS = 2.5
# Whoever answered within this time is there.
CONTACT_WINDOW_SECONDS = 0.7


@dataclasses.dataclass(frozen=True)
class PeerStatus:
    """Hold what the leader sees of one member at one moment."""

    name: str
    identity: str
    silent_for: float
    caught_up: bool

    @property
    def is_candidate(self) -> bool:
        """Say whether the member could vote from now on."""
        return self.caught_up and self.silent_for <= CONTACT_WINDOW_SECONDS


@dataclasses.dataclass(frozen=True)
class Admit:
    """Let the data folder that answers under `name` vote."""

    name: str


@dataclasses.dataclass(frozen=True)
class Dismiss:
    """Let nobody vote under `name`."""

    name: str


Change = Admit | Dismiss


def decide_change(
    leader: str,
    voters: abc.Mapping[str, str],
    seen: abc.Sequence[PeerStatus],
    wanted: int,
) -> Change | None:
    """Return the next change of voters, if one is due.

    Answers the loss of a voter's disk, of a voter for good, and a group that
    was founded smaller than it should be.
    """
    for one in seen:
        replaced = voters.get(one.name) not in {None, one.identity}
        if replaced and one.identity and one.is_candidate:
            return Admit(one.name)
    candidates = sorted(
        known.name
        for known in seen
        if known.is_candidate and known.name not in voters
    )
    if candidates and len(voters) < wanted:
        return Admit(candidates[0])
    lost = _longest_silent(leader, voters, seen)
    if lost is None:
        return None
    if len(voters) > wanted:
        return Dismiss(lost)
    return Admit(candidates[0]) if candidates else None


def _longest_silent(
    leader: str,
    voters: abc.Mapping[str, str],
    seen: abc.Sequence[PeerStatus],
) -> str | None:
    silence = {known.name: known.silent_for for known in seen}
    others = [name for name in voters if name != leader]
    if not others:
        return None
    longest = max(others, key=lambda name: silence.get(name, 0))
    return longest if silence.get(longest, 0) >= REPLACE_AFTER_SECONDS else None


class VoterManager:
    """Change the group as its leader sees fit."""

    def __init__(
        self,
        local: member.Member,
        admission: voter_admission.Admission,
        wanted: int,
    ) -> None:
        self.member = local
        self.admission = admission
        self.target_voters = wanted

    async def run(self) -> None:
        """Keep enough voters that answer, while this member leads."""
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
                await self._carry_out(change)

    def peer_statuses(self, now: float) -> list[PeerStatus]:
        """Return what this leader sees of every other member."""
        local = self.member
        led_since = now - self._led_for(now)
        return [
            PeerStatus(
                name=name,
                identity=known.identity,
                silent_for=now - max(known.confirmed_at, led_since),
                caught_up=known.match_index >= local.commit_index - 1,
            )
            for name, known in local.progress.items()
        ]

    def _led_for(self, now: float) -> float:
        # A new leader has heard nobody; their silence counts from its start.
        return max(now - self.member.leader_since, 0)

    async def _carry_out(self, change: Change) -> None:
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

"""Stand for election, and catch up with terms that others have seen."""

import dataclasses
import random
import typing

from cranberryrill.replication import election, member, replication_pb2, timing

LATER = timing.VOTE_SILENCE_SECONDS + timing.MAX_ELECTION_TIMEOUT_SECONDS


@dataclasses.dataclass
class Electorate:
    """Answer votes as peers whose newest term is `term` would."""

    term: int
    identity: str = ''

    def stub(self, peer: str) -> 'Electorate':
        return Electorate(self.term, f'id-{peer}')

    def reset(self, peer: str) -> None:
        """Forget nothing: there is no connection."""

    async def Vote(
        self,
        request: replication_pb2.VoteRequest,
        timeout: float,
    ) -> replication_pb2.VoteAnswer:
        return replication_pb2.VoteAnswer(
            term=self.term,
            granted=request.term > self.term,
            identity=self.identity,
        )


def elector(local: member.Member, term: int) -> election.Elector:
    peers = typing.cast(typing.Any, Electorate(term))
    return election.Elector(local, peers, random.Random(1))


async def test_candidate_catches_up_with_a_newer_term(
    local: member.Member,
) -> None:
    standing = elector(local, term=7)
    local.started_at = float('-inf')
    await standing.campaign()
    assert local.term == 7
    await standing.campaign()
    assert local.role is member.Role.leader
    assert local.term == 8


async def test_nobody_stands_within_a_lease(local: member.Member) -> None:
    standing = elector(local, term=0)
    local.leader_contact_at = 0
    assert not standing.is_due(timing.LEADER_LEASE_SECONDS, 0)
    assert standing.is_due(LATER, timing.MAX_ELECTION_TIMEOUT_SECONDS)


async def test_nobody_stands_before_listening(local: member.Member) -> None:
    standing = elector(local, term=0)
    assert not standing.is_due(timing.HEARTBEAT_SECONDS, 0)
    assert standing.is_due(timing.START_SILENCE_SECONDS, 0)


async def test_members_that_start_alike_stand_one_after_another(
    local: member.Member,
) -> None:
    standing = elector(local, term=0)
    local.started_at = 10
    silence_ends = 10 + timing.START_SILENCE_SECONDS
    assert standing.start_delay() == 0
    assert standing.is_due(silence_ends, timing.MAX_ELECTION_TIMEOUT_SECONDS)
    # The second in the group leaves the first some time.
    local.name = 'b'
    second = standing.start_delay()
    assert second == timing.ELECTION_STEP_SECONDS
    local.name = 'a'
    assert not standing.is_due(silence_ends, 0, second)
    assert standing.is_due(silence_ends + second, 0, second)


async def test_whoever_voted_gives_the_candidate_time_to_lead(
    local: member.Member,
) -> None:
    standing = elector(local, term=0)
    local.voted_at = 20
    assert not standing.is_due(20 + timing.HEARTBEAT_SECONDS, 0)
    assert standing.is_due(20 + timing.START_SILENCE_SECONDS, 0)

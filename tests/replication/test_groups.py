"""Founding of a group, votes by identity, and group changes in the log."""

import dataclasses
import pathlib
import typing
from collections import abc

import pytest

from cranberryrill.replication import (
    compaction,
    group_founder,
    groups,
    log_follower,
    member,
    replication_pb2,
    store,
    timing,
    votes,
)
from cranberryrill.state import machine
from tests.replication import conftest

LATER = timing.VOTE_SILENCE_SECONDS + 0.01


@pytest.fixture
def fresh(tmp_path: pathlib.Path) -> abc.Iterator[member.Member]:
    """Provide a member with an empty data folder."""
    disk = store.Store(tmp_path / 'fresh')
    yield member.Member('a', ('b', 'c'), disk, machine.Machine([]), 0)
    disk.close()


@dataclasses.dataclass
class FoundingPeers:
    """Stand-in for the other founding members.

    Those not in `free` refuse the connection.
    """

    free: dict[str, bool]
    peer: str = ''
    diskless: tuple[str, ...] = ()

    def stub(self, peer: str) -> 'FoundingPeers':
        return FoundingPeers(self.free, peer, self.diskless)

    def reset(self, peer: str) -> None:
        """Do nothing, since there is no connection."""

    async def Found(
        self,
        request: replication_pb2.FoundRequest,
        timeout: float,
    ) -> replication_pb2.FoundAnswer:
        if self.peer not in self.free:
            raise ConnectionRefusedError
        return replication_pb2.FoundAnswer(
            identity=f'id-{self.peer}',
            free=self.free[self.peer],
            diskless=self.peer in self.diskless,
        )


def make_founder(local: member.Member, **free: bool) -> group_founder.Founder:
    return group_founder.Founder(
        local,
        typing.cast(typing.Any, FoundingPeers(free)),
    )


async def lead_with_entries(
    local: member.Member,
    matches: dict[str, str],
) -> None:
    """Lead with two entries that peers of these identities have stored."""
    await local.store.save_ballot(1, local.identity)
    local.become_leader(0)
    local.store.append([conftest.entry(1, 1), conftest.entry(2, 1)])
    local.synced_index = await local.store.sync()
    for peer, identity in matches.items():
        progress = local.progress[peer]
        progress.update_identity(identity)
        progress.match_index = 2
        progress.confirmed_at = 5
    await local.advance_commit(5)


async def test_voters_commit(local: member.Member) -> None:
    await lead_with_entries(local, {'b': 'id-b'})
    assert local.commit_index == 2
    assert local.holds_lease(5)


async def test_another_identity_does_not_count(local: member.Member) -> None:
    await lead_with_entries(local, {'b': 'another', 'c': ''})
    assert local.commit_index == 0
    assert not local.holds_lease(5)


async def test_new_identity_resets_progress() -> None:
    progress = member.PeerProgress(next_index=9, match_index=8, confirmed_at=7)
    progress.update_identity('new')
    assert progress.match_index == 0
    assert progress.confirmed_at == float('-inf')


async def test_member_with_a_wiped_disk_grants_no_vote(
    fresh: member.Member,
) -> None:
    request = replication_pb2.VoteRequest(
        term=1,
        candidate='b',
        identity='id-b',
        group_id='group',
    )
    assert not await votes.Voter(fresh).vote(request, LATER)


async def test_leader_of_another_group_is_refused(local: member.Member) -> None:
    request = replication_pb2.AppendRequest(
        term=9,
        leader='b',
        group_id='other',
        entries=[conftest.entry(1, 9)],
    )
    answer = await log_follower.Follower(local).append(request, 0)
    assert not answer.accepted
    assert local.term == 0
    assert local.store.log.last_index == 0


async def test_group_is_founded_once(fresh: member.Member) -> None:
    founder = make_founder(fresh, b=True, c=True)
    await founder.found(0)
    first = fresh.group.id
    assert groups.identities(fresh.group) == {
        'a': fresh.identity,
        'b': 'id-b',
        'c': 'id-c',
    }
    await founder.found(0)
    assert fresh.group.id == first


@pytest.mark.parametrize('free', [{'b': True}, {'b': True, 'c': False}])
async def test_no_group_is_founded_unless_all_members_are_new(
    fresh: member.Member,
    free: dict[str, bool],
) -> None:
    await make_founder(fresh, **free).found(0)
    assert not fresh.group.members


async def test_founding_ignores_members_without_a_disk(
    tmp_path: pathlib.Path,
) -> None:
    disk = store.Store(tmp_path / 'second')
    local = member.Member('b', ('a', 'c'), disk, machine.Machine([]), 0)
    peers = FoundingPeers({'a': False, 'c': True})
    second = group_founder.Founder(local, typing.cast(typing.Any, peers))
    await second.found(0)
    # The member that sorts first may have a disk and found a group.
    assert not local.group.members
    peers.diskless = ('a',)
    await second.found(0)
    assert set(groups.identities(local.group)) == {'b', 'c'}
    disk.close()


async def test_member_with_a_term_joins_no_new_group(
    fresh: member.Member,
) -> None:
    await fresh.store.save_ballot(1, '')
    await make_founder(fresh).accept(conftest.voters(fresh.identity))
    assert not fresh.group.members


async def test_offer_to_another_identity_is_not_joined(
    fresh: member.Member,
) -> None:
    await make_founder(fresh).accept(conftest.voters('lost'))
    assert not fresh.group.members


async def test_group_survives_a_restart(tmp_path: pathlib.Path) -> None:
    local = await conftest.make_member(tmp_path)
    changed = groups.without_voter(local.group, 'c')
    entry = conftest.entry(1, 1)
    entry.group.CopyFrom(changed)
    local.store.append([entry, conftest.entry(2, 1)])
    await local.store.sync()
    assert local.majority == 2
    local.store.close()
    reopened = await conftest.make_member(tmp_path)
    assert reopened.group == changed
    await reopened.commit_to(2)
    bounds = compaction.Bounds(tail_entries=0)
    await compaction.Compactor(reopened, bounds).compact()
    assert reopened.store.log.base_index == 2
    reopened.store.close()
    compacted = await conftest.make_member(tmp_path)
    assert compacted.group == changed
    compacted.store.close()


async def test_truncated_entry_restores_the_previous_group(
    local: member.Member,
) -> None:
    before = local.group
    entry = conftest.entry(1, 1)
    entry.group.CopyFrom(groups.without_voter(before, 'c'))
    local.store.append([entry])
    assert local.group != before
    local.store.truncate_from(1)
    assert local.group == before

"""Count identities, found one group, and follow its changes in the log."""

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
    """Return a member whose folder is empty."""
    disk = store.Store(tmp_path / 'fresh')
    yield member.Member('a', ('b', 'c'), disk, machine.Machine([]), 0)
    disk.close()


@dataclasses.dataclass
class Others:
    """Answer a founder as the other members would."""

    free: dict[str, bool]
    peer: str = ''
    diskless: tuple[str, ...] = ()

    def stub(self, peer: str) -> 'Others':
        return Others(self.free, peer, self.diskless)

    def reset(self, peer: str) -> None:
        """Forget nothing: there is no connection."""

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


def founder(local: member.Member, **free: bool) -> group_founder.Founder:
    return group_founder.Founder(local, typing.cast(typing.Any, Others(free)))


async def lead(local: member.Member, matches: dict[str, str]) -> None:
    """Lead with two entries that the peers with these identities stored."""
    await local.store.save_ballot(1, local.identity)
    local.become_leader(0)
    local.store.append([conftest.entry(1, 1), conftest.entry(2, 1)])
    local.synced_index = await local.store.sync()
    for peer, identity in matches.items():
        known = local.progress[peer]
        known.update_identity(identity)
        known.match_index = 2
        known.confirmed_at = 5
    await local.advance_commit(5)


async def test_voters_commit(local: member.Member) -> None:
    await lead(local, {'b': 'id-b'})
    assert local.commit_index == 2
    assert local.holds_lease(5)


async def test_another_identity_does_not_count(local: member.Member) -> None:
    await lead(local, {'b': 'another', 'c': ''})
    assert local.commit_index == 0
    assert not local.holds_lease(5)


async def test_new_identity_forgets_the_old_progress() -> None:
    known = member.PeerProgress(next_index=9, match_index=8, confirmed_at=7)
    known.update_identity('new')
    assert known.match_index == 0
    assert known.confirmed_at == float('-inf')


async def test_wiped_member_grants_no_vote(fresh: member.Member) -> None:
    request = replication_pb2.VoteRequest(
        term=1,
        candidate='b',
        identity='id-b',
        group_id='group',
    )
    assert not await votes.Voter(fresh).vote(request, LATER)


async def test_other_group_is_not_followed(local: member.Member) -> None:
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
    everyone = founder(fresh, b=True, c=True)
    await everyone.found()
    first = fresh.group.id
    assert groups.identities(fresh.group) == {
        'a': fresh.identity,
        'b': 'id-b',
        'c': 'id-c',
    }
    await everyone.found()
    assert fresh.group.id == first


@pytest.mark.parametrize('free', [{'b': True}, {'b': True, 'c': False}])
async def test_nothing_is_founded_beside_a_group(
    fresh: member.Member,
    free: dict[str, bool],
) -> None:
    await founder(fresh, **free).found()
    assert not fresh.group.members


async def test_founding_passes_over_members_without_a_disk(
    tmp_path: pathlib.Path,
) -> None:
    disk = store.Store(tmp_path / 'second')
    local = member.Member('b', ('a', 'c'), disk, machine.Machine([]), 0)
    answering = Others({'a': False, 'c': True})
    second = group_founder.Founder(local, typing.cast(typing.Any, answering))
    await second.found()
    # The first may have a disk, and founds.
    assert not local.group.members
    answering.diskless = ('a',)
    await second.found()
    assert set(groups.identities(local.group)) == {'b', 'c'}
    disk.close()


async def test_used_folder_joins_no_new_group(fresh: member.Member) -> None:
    await fresh.store.save_ballot(1, '')
    await founder(fresh).accept(conftest.voters(fresh.identity))
    assert not fresh.group.members


async def test_offer_for_another_identity(fresh: member.Member) -> None:
    await founder(fresh).accept(conftest.voters('lost'))
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
    again = await conftest.make_member(tmp_path)
    assert again.group == changed
    await again.commit_to(2)
    bounds = compaction.Bounds(tail_entries=0)
    await compaction.Compactor(again, bounds).compact()
    assert again.store.log.base_index == 2
    again.store.close()
    last = await conftest.make_member(tmp_path)
    assert last.group == changed
    last.store.close()


async def test_dropped_entry_takes_its_group_back(
    local: member.Member,
) -> None:
    before = local.group
    entry = conftest.entry(1, 1)
    entry.group.CopyFrom(groups.without_voter(before, 'c'))
    local.store.append([entry])
    assert local.group != before
    local.store.truncate_from(1)
    assert local.group == before

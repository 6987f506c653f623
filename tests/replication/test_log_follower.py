"""A follower stores entries and acknowledges only synced ones."""

import pytest

from cranberryrill.replication import log_follower, member, replication_pb2
from tests.replication import conftest


def request(
    previous: tuple[int, int],
    *terms: int,
    term: int = 2,
    commit_index: int = 0,
) -> replication_pb2.AppendRequest:
    index, previous_term = previous
    return replication_pb2.AppendRequest(
        term=term,
        leader='b',
        group_id='group',
        previous_index=index,
        previous_term=previous_term,
        entries=[
            conftest.entry(index + 1 + position, entry_term)
            for position, entry_term in enumerate(terms)
        ],
        commit_index=commit_index,
    )


async def test_matching_entries_are_synced_before_the_answer(
    local: member.Member,
) -> None:
    local.store.append([conftest.entry(1, 1)])
    follower = log_follower.Follower(local)
    answer = await follower.append(request((1, 1)), 0)
    assert answer.accepted
    assert answer.match_index == 1
    assert local.synced_index == 1


async def test_conflict_lowers_the_synced_index(local: member.Member) -> None:
    follower = log_follower.Follower(local)
    await follower.append(request((0, 0), 1, 1, 1, term=1), 0)
    answer = await follower.append(request((1, 1), 2), 0)
    assert answer.match_index == 2
    assert local.store.log.last_index == 2
    assert local.synced_index == 2


async def test_hint_is_not_below_the_commit_index(local: member.Member) -> None:
    follower = log_follower.Follower(local)
    await follower.append(
        request((0, 0), 1, 1, 1, term=1, commit_index=2),
        0,
    )
    answer = await follower.append(request((1, 9), 2), 0)
    assert not answer.accepted
    assert answer.match_index == 2


async def test_committed_entries_are_never_dropped(
    local: member.Member,
) -> None:
    follower = log_follower.Follower(local)
    await follower.append(request((0, 0), 1, 1, term=1, commit_index=2), 0)
    with pytest.raises(log_follower.CommittedConflict):
        await follower.append(request((0, 0), 2), 0)
    assert local.store.log.last_term == 1


async def test_older_term_is_refused(local: member.Member) -> None:
    follower = log_follower.Follower(local)
    await follower.append(request((0, 0), 3, term=3), 0)
    contact_at = local.leader_contact_at
    answer = await follower.append(request((0, 0), 2, term=2), 9)
    assert answer.term == 3
    assert not answer.accepted
    assert local.leader_contact_at == contact_at

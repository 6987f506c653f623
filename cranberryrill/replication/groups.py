"""Read and build groups of voters.

A vote belongs to the identity of a data folder, not to the name of a member.
"""

from collections import abc

from cranberryrill.replication import replication_pb2


def identities(group: replication_pb2.Group) -> dict[str, str]:
    """Return the identity of each voter by its name."""
    return {member.name: member.identity for member in group.members}


def is_voter(group: replication_pb2.Group, name: str, identity: str) -> bool:
    """Return whether `identity` is the voter called `name`."""
    return bool(identity) and identities(group).get(name) == identity


def may_follow(group: replication_pb2.Group, group_id: str) -> bool:
    """Return whether a member of `group` may follow a leader of `group_id`.

    A member without a group may follow any leader.
    """
    return group.id in {'', group_id}


def majority(group: replication_pb2.Group) -> int:
    """Return how many voters are a majority."""
    return len(group.members) // 2 + 1


def make(
    group_id: str,
    voters: abc.Mapping[str, str],
) -> replication_pb2.Group:
    """Return a group of `voters`, which maps names to identities."""
    return replication_pb2.Group(
        id=group_id,
        members=[
            replication_pb2.GroupMember(name=name, identity=voters[name])
            for name in sorted(voters)
        ],
    )


def without_voter(
    group: replication_pb2.Group,
    name: str,
) -> replication_pb2.Group:
    """Return `group` without the voter called `name`."""
    voters = identities(group)
    voters.pop(name, None)
    return make(group.id, voters)


def with_voter(
    group: replication_pb2.Group,
    name: str,
    identity: str,
) -> replication_pb2.Group:
    """Return `group` with `identity` as the voter called `name`."""
    return make(group.id, {**identities(group), name: identity})

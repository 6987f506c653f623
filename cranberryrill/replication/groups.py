"""Say who votes in a group; votes belong to identities, not to names."""

from collections import abc

from cranberryrill.replication import replication_pb2


def identities(group: replication_pb2.Group) -> dict[str, str]:
    """Return the identity that votes under each name."""
    return {member.name: member.identity for member in group.members}


def is_voter(group: replication_pb2.Group, name: str, identity: str) -> bool:
    """Say whether this identity votes under this name."""
    return bool(identity) and identities(group).get(name) == identity


def may_follow(group: replication_pb2.Group, identifier: str) -> bool:
    """Say whether a member of `group` may hear that group's leader."""
    return group.id in {'', identifier}


def majority(group: replication_pb2.Group) -> int:
    """Return how many voters must agree."""
    return len(group.members) // 2 + 1


def make(
    identifier: str,
    voters: abc.Mapping[str, str],
) -> replication_pb2.Group:
    """Return a group in which the identity of each name votes."""
    return replication_pb2.Group(
        id=identifier,
        members=[
            replication_pb2.GroupMember(name=name, identity=voters[name])
            for name in sorted(voters)
        ],
    )


def without_voter(
    group: replication_pb2.Group, name: str
) -> replication_pb2.Group:
    """Return the group in which nobody votes under `name`."""
    voters = identities(group)
    voters.pop(name, None)
    return make(group.id, voters)


def with_voter(
    group: replication_pb2.Group,
    name: str,
    identity: str,
) -> replication_pb2.Group:
    """Return the group in which `identity` votes under `name` too."""
    return make(group.id, {**identities(group), name: identity})

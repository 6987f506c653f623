"""Send only while the lease covers the whole of a message."""

import typing

import pytest

from cranberryrill.authority import holder, timing
from cranberryrill.replication import member, proposals
from cranberryrill.replication import timing as replication_timing

BEGAN = 100.0
QUIET_UNTIL = BEGAN + timing.QUIET_PERIOD


class LeasedMember:
    """Lead in one term, with a lease until a given moment."""

    def __init__(self, lease_until: float, term: int = 4) -> None:
        self.lease_until = lease_until
        self.term = term

    def holds_lease(self, now: float) -> bool:
        """Say whether the lease lasts at `now`."""
        return now < self.lease_until

    def leads_with_committed_entry(self) -> bool:
        """Say that this member leads."""
        return True


def authority(
    lease_until: float,
    term: int = 4,
) -> tuple[holder.Authority, holder.Tenure]:
    held = holder.Authority(
        typing.cast(member.Member, LeasedMember(lease_until, term)),
        typing.cast(proposals.Proposer, None),
    )
    held.tenure = holder.Tenure(fencing=4, began_at=BEGAN)
    return held, held.tenure


def test_quiet_at_first() -> None:
    held, tenure = authority(lease_until=QUIET_UNTIL + 10)
    assert not held.may_send(tenure, QUIET_UNTIL - 0.01)
    assert held.may_send(tenure, QUIET_UNTIL)


@pytest.mark.parametrize(
    ('left', 'may'),
    [
        (timing.SEND_DEADLINE * 2, True),
        (timing.SEND_DEADLINE / 2, False),
        (-1, False),
    ],
)
def test_the_lease_covers_the_deadline(left: float, may: bool) -> None:
    now = QUIET_UNTIL + 1
    held, tenure = authority(lease_until=now + left)
    assert held.may_send(tenure, now) is may


def test_a_newer_term_ends_a_tenure() -> None:
    held, tenure = authority(lease_until=QUIET_UNTIL + 10, term=5)
    assert not held.may_send(tenure, QUIET_UNTIL)
    assert held.current(QUIET_UNTIL) is None


def test_a_message_belongs_to_its_own_tenure() -> None:
    held, tenure = authority(lease_until=QUIET_UNTIL + 10)
    held.tenure = holder.Tenure(fencing=4, began_at=BEGAN)
    assert not held.may_send(tenure, QUIET_UNTIL)


def test_quiet_outlasts_the_holder_before() -> None:
    lease = replication_timing.LEADER_LEASE_SECONDS
    assert timing.QUIET_PERIOD >= lease + timing.SEND_DEADLINE
    assert timing.KERNEL_TIMEOUT <= timing.SEND_DEADLINE < lease

"""A message is sent only if the lease covers its whole send timeout."""

import typing

import pytest

from cranberryrill.authority import holder, timing
from cranberryrill.replication import member, proposals
from cranberryrill.replication import timing as replication_timing

STARTED_AT = 100.0
QUIET_DEADLINE = STARTED_AT + timing.QUIET_PERIOD_SECONDS


class LeasedMember:
    """Leader of one term, whose lease ends at `lease_deadline`."""

    def __init__(self, lease_deadline: float, term: int = 4) -> None:
        self.lease_deadline = lease_deadline
        self.term = term

    def holds_lease(self, now: float) -> bool:
        """Return whether the lease is valid at `now`."""
        return now < self.lease_deadline

    def leads_with_committed_entry(self) -> bool:
        """Return True: this member is the leader."""
        return True


def make_authority(
    lease_deadline: float,
    term: int = 4,
) -> tuple[holder.Authority, holder.Tenure]:
    authority = holder.Authority(
        typing.cast(member.Member, LeasedMember(lease_deadline, term)),
        typing.cast(proposals.Proposer, None),
    )
    authority.tenure = holder.Tenure(fencing=4, started_at=STARTED_AT)
    return authority, authority.tenure


def test_nothing_is_sent_in_quiet_period() -> None:
    authority, tenure = make_authority(lease_deadline=QUIET_DEADLINE + 10)
    assert not authority.may_send(tenure, QUIET_DEADLINE - 0.01)
    assert authority.may_send(tenure, QUIET_DEADLINE)


@pytest.mark.parametrize(
    ('remaining', 'allowed'),
    [
        (timing.SEND_TIMEOUT_SECONDS * 2, True),
        (timing.SEND_TIMEOUT_SECONDS / 2, False),
        (-1, False),
    ],
)
def test_lease_must_cover_send_timeout(remaining: float, allowed: bool) -> None:
    now = QUIET_DEADLINE + 1
    authority, tenure = make_authority(lease_deadline=now + remaining)
    assert authority.may_send(tenure, now) is allowed


def test_newer_term_ends_tenure() -> None:
    authority, tenure = make_authority(
        lease_deadline=QUIET_DEADLINE + 10, term=5
    )
    assert not authority.may_send(tenure, QUIET_DEADLINE)
    assert authority.current(QUIET_DEADLINE) is None


def test_message_of_earlier_tenure_is_not_sent() -> None:
    authority, tenure = make_authority(lease_deadline=QUIET_DEADLINE + 10)
    authority.tenure = holder.Tenure(fencing=4, started_at=STARTED_AT)
    assert not authority.may_send(tenure, QUIET_DEADLINE)


def test_quiet_period_outlasts_previous_holder() -> None:
    lease = replication_timing.LEADER_LEASE_SECONDS
    assert timing.QUIET_PERIOD_SECONDS >= lease + timing.SEND_TIMEOUT_SECONDS
    assert (
        timing.TCP_USER_TIMEOUT_SECONDS <= timing.SEND_TIMEOUT_SECONDS < lease
    )

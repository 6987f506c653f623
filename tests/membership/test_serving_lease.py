"""A process serves only on a proof that its revision is the newest."""

import random

import pytest

from cranberryrill import transport
from cranberryrill.membership import membership_pb2, serving_lease, timing
from cranberryrill.state import commands_pb2

NOW = 1000.0


class NullDialer(transport.Dialer):
    """Dialer that opens no connection."""

    def __init__(self) -> None:
        """Skip the setup of the base class."""


@pytest.fixture
def holder() -> serving_lease.Holder:
    """Return a holder with revision 5."""
    new_holder = serving_lease.Holder(
        NullDialer(),
        [],
        membership_pb2.Announcement,
        random.Random(1),
    )
    new_holder._apply_state(state_at(5, b'newer'))
    return new_holder


def state_at(revision: int, digest: bytes) -> membership_pb2.StateUpdate:
    return membership_pb2.StateUpdate(
        full=True,
        revision=revision,
        keys=[commands_pb2.KeyRecord(digest=digest)],
    )


def apply_grant(
    holder: serving_lease.Holder,
    revision: int,
    age_ms: int = 0,
    *,
    proof_ms: int = 1,
    sent_at: float = NOW,
) -> None:
    message = membership_pb2.Grant(
        sequence=1,
        revision=revision,
        age_ms=age_ms,
        proof_ms=proof_ms,
    )
    holder._apply_grant(message, {1: sent_at}, sent_at + 0.5)


def test_older_state_is_ignored(holder: serving_lease.Holder) -> None:
    holder._apply_state(state_at(4, b'older'))
    assert holder.configuration.revision == 5
    assert set(holder.configuration.keys) == {b'newer'}


def test_proof_of_older_revision_is_ignored(
    holder: serving_lease.Holder,
) -> None:
    apply_grant(holder, 4)
    assert not holder.may_serve(NOW)


def test_lease_starts_when_renewal_is_sent(
    holder: serving_lease.Holder,
) -> None:
    apply_grant(holder, 5, age_ms=1000)
    assert holder.may_serve(NOW + timing.SERVING_LEASE_SECONDS - 1.1)
    assert not holder.may_serve(NOW + timing.SERVING_LEASE_SECONDS - 1)


def test_older_proof_does_not_extend_watch(
    holder: serving_lease.Holder,
) -> None:
    apply_grant(holder, 5)
    proved_at = holder.proved_at
    apply_grant(holder, 5, age_ms=200)
    assert holder.proved_at == proved_at
    assert (
        holder.proof_timeout(proved_at + timing.WATCH_PROOF_TIMEOUT_SECONDS)
        == 0
    )


def test_repeated_proof_does_not_extend_watch(
    holder: serving_lease.Holder,
) -> None:
    apply_grant(holder, 5, age_ms=100, proof_ms=7)
    proved_at = holder.proved_at
    # The next renewal was delivered 3 ms faster, so the same proof seems newer.
    apply_grant(holder, 5, age_ms=597, proof_ms=7, sent_at=NOW + 0.5)
    assert holder.may_serve(NOW)
    assert holder.proved_at == proved_at
    apply_grant(holder, 5, age_ms=100, proof_ms=8, sent_at=NOW + 0.5)
    assert holder.proved_at > proved_at


def test_short_revocation_time_shortens_lease() -> None:
    assert serving_lease.lease_for_revocation(5) == timing.SERVING_LEASE_SECONDS
    short = serving_lease.lease_for_revocation(2)
    assert (
        short * (1 + timing.CLOCK_DRIFT_RATIO)
        <= 2 - timing.MAX_FORWARDING_DELAY_SECONDS
    )

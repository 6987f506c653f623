"""Hold the newest revision, and serve only on a proof that it is newest."""

import random

import pytest

from cranberryrill import transport
from cranberryrill.membership import membership_pb2, serving_lease, timing
from cranberryrill.state import commands_pb2

NOW = 1000.0


class NoDialer(transport.Dialer):
    """Open no connection."""

    def __init__(self) -> None:
        """Hold nothing."""


@pytest.fixture
def holder() -> serving_lease.Holder:
    """Return a holder that holds revision 5."""
    fresh = serving_lease.Holder(
        NoDialer(),
        [],
        membership_pb2.Announcement,
        random.Random(1),
    )
    fresh._update(state_at(5, b'newer'))
    return fresh


def state_at(revision: int, digest: bytes) -> membership_pb2.StateUpdate:
    return membership_pb2.StateUpdate(
        full=True,
        revision=revision,
        keys=[commands_pb2.KeyRecord(digest=digest)],
    )


def grant(
    holder: serving_lease.Holder,
    revision: int,
    age_ms: int = 0,
    *,
    proof_ms: int = 1,
    asked_at: float = NOW,
) -> None:
    given = membership_pb2.Grant(
        sequence=1,
        revision=revision,
        age_ms=age_ms,
        proof_ms=proof_ms,
    )
    holder._extend(given, {1: asked_at}, asked_at + 0.5)


def test_older_state_is_not_taken(holder: serving_lease.Holder) -> None:
    holder._update(state_at(4, b'older'))
    assert holder.serving.revision == 5
    assert set(holder.serving.keys) == {b'newer'}


def test_proof_of_an_older_revision_proves_nothing(
    holder: serving_lease.Holder,
) -> None:
    grant(holder, 4)
    assert not holder.may_serve(NOW)


def test_lease_counts_from_the_sending(holder: serving_lease.Holder) -> None:
    grant(holder, 5, age_ms=1000)
    assert holder.may_serve(NOW + timing.SERVING_LEASE_SECONDS - 1.1)
    assert not holder.may_serve(NOW + timing.SERVING_LEASE_SECONDS - 1)


def test_old_proof_does_not_keep_a_member(holder: serving_lease.Holder) -> None:
    grant(holder, 5)
    proved_at = holder.proved_at
    grant(holder, 5, age_ms=200)
    assert holder.proved_at == proved_at
    assert (
        holder.proof_timeout(proved_at + timing.WATCH_PROOF_TIMEOUT_SECONDS)
        == 0
    )


def test_the_same_proof_does_not_keep_a_member(
    holder: serving_lease.Holder,
) -> None:
    grant(holder, 5, age_ms=100, proof_ms=7)
    proved_at = holder.proved_at
    # The next renewal took 3 ms less on its way: the same proof seems newer.
    grant(holder, 5, age_ms=597, proof_ms=7, asked_at=NOW + 0.5)
    assert holder.may_serve(NOW)
    assert holder.proved_at == proved_at
    grant(holder, 5, age_ms=100, proof_ms=8, asked_at=NOW + 0.5)
    assert holder.proved_at > proved_at


def test_lease_keeps_a_shorter_revocation_time() -> None:
    assert serving_lease.lease_for_revocation(5) == timing.SERVING_LEASE_SECONDS
    short = serving_lease.lease_for_revocation(2)
    assert (
        short * (1 + timing.CLOCK_DRIFT_RATIO)
        <= 2 - timing.MAX_FORWARDING_DELAY_SECONDS
    )

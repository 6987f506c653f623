"""Let only the newest holder's orders pass."""

import result

from cranberryrill.authority import fencing_gate


def test_nothing_passes_before_a_proof() -> None:
    started = fencing_gate.Gate(started_at=10)
    assert started.check(9) == result.Err(fencing_gate.NotProved())
    started.record_proof(7, as_of=9.9)
    assert started.check(9) == result.Err(fencing_gate.NotProved())


def test_a_proof_of_after_the_start_opens() -> None:
    started = fencing_gate.Gate(started_at=10)
    started.record_proof(7, as_of=10.1)
    assert started.check(6) == result.Err(fencing_gate.OldFencing(7))
    assert started.check(7) == result.Ok(None)


def test_a_newer_order_closes_behind_itself() -> None:
    started = fencing_gate.Gate(started_at=10)
    started.record_proof(7, as_of=10.1)
    assert started.check(8).is_ok()
    assert started.check(7) == result.Err(fencing_gate.OldFencing(8))


def test_an_older_proof_lowers_nothing() -> None:
    started = fencing_gate.Gate(started_at=10)
    started.record_proof(7, as_of=10.1)
    started.record_proof(5, as_of=10.2)
    assert started.check(6) == result.Err(fencing_gate.OldFencing(7))

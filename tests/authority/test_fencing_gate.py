"""The gate accepts orders of the newest holder only."""

import result

from cranberryrill.authority import fencing_gate


def test_order_is_refused_without_proof_from_after_start() -> None:
    gate = fencing_gate.Gate(started_at=10)
    assert gate.check(9) == result.Err(fencing_gate.NotProved())
    gate.record_proof(7, as_of=9.9)
    assert gate.check(9) == result.Err(fencing_gate.NotProved())


def test_proof_from_after_start_opens_gate() -> None:
    gate = fencing_gate.Gate(started_at=10)
    gate.record_proof(7, as_of=10.1)
    assert gate.check(6) == result.Err(fencing_gate.OldFencing(7))
    assert gate.check(7) == result.Ok(None)


def test_accepted_order_raises_highest_fencing() -> None:
    gate = fencing_gate.Gate(started_at=10)
    gate.record_proof(7, as_of=10.1)
    assert gate.check(8).is_ok()
    assert gate.check(7) == result.Err(fencing_gate.OldFencing(8))


def test_older_fencing_does_not_lower_highest() -> None:
    gate = fencing_gate.Gate(started_at=10)
    gate.record_proof(7, as_of=10.1)
    gate.record_proof(5, as_of=10.2)
    assert gate.check(6) == result.Err(fencing_gate.OldFencing(7))

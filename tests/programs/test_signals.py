"""A process handles the signals that its supervisor has blocked."""

import signal

from cranberryrill.programs import signals


def test_inherited_signal_mask_is_cleared() -> None:
    previous_mask = signal.pthread_sigmask(
        signal.SIG_BLOCK, signals.STOP_SIGNALS
    )
    try:
        signals.unmask()
        blocked = signal.pthread_sigmask(signal.SIG_BLOCK, [])
        assert not blocked & set(signals.STOP_SIGNALS)
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)

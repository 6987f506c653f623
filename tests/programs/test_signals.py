"""A role takes the signals that its supervisor had masked."""

import signal

from cranberryrill.programs import signals


def test_inherited_mask_is_cleared() -> None:
    before = signal.pthread_sigmask(signal.SIG_BLOCK, signals.STOP_SIGNALS)
    try:
        signals.unmask()
        masked = signal.pthread_sigmask(signal.SIG_BLOCK, [])
        assert not masked & set(signals.STOP_SIGNALS)
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)

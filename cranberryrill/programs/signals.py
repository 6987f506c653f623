"""Signals that a process handles, and the handler of SIGHUP."""

import asyncio
import signal
from collections import abc

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def unmask() -> None:
    """Unblock the handled signals, which a supervisor may have blocked."""
    handled = {*STOP_SIGNALS, signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_UNBLOCK, handled)


def on_reload(callback: abc.Callable[[], None]) -> None:
    """Call `callback` at each SIGHUP."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, callback)

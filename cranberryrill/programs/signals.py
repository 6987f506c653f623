"""Take the signals that a process handles, also where they were masked."""

import asyncio
import signal
from collections import abc

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def unmask() -> None:
    """Clear an inherited mask: a supervisor may have set one."""
    handled = {*STOP_SIGNALS, signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_UNBLOCK, handled)


def on_reload(act: abc.Callable[[], None]) -> None:
    """Call `act` at each SIGHUP."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, act)

"""Start, signal and stop processes of a system under test."""

import pathlib
import signal
import subprocess
import weakref

STOP_TIMEOUT_SECONDS = 20.0
REPORTED_LINES = 5


class NotRunning(Exception):
    """The process was not started."""


def ended_reports() -> list[str]:
    """Return the name, exit code and last lines of each ended process."""
    return [
        process.report()
        for process in sorted(Process.started, key=_name)
        if not process.is_running()
    ]


class Process:
    """Child process whose output is appended to a log file.

    It can be started again after its end. Without `environment` it inherits
    that of the parent.
    """

    # Those that were started and are still referred to.
    started: 'weakref.WeakSet[Process]' = weakref.WeakSet()

    def __init__(
        self,
        name: str,
        command: list[str],
        log: pathlib.Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.environment = environment
        self.command = command
        self.log = log
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, without input."""
        with self.log.open('ab') as stream:
            self.popen = subprocess.Popen(
                self.command,
                stdout=stream,
                stderr=stream,
                stdin=subprocess.DEVNULL,
                env=self.environment,
            )
        self.started.add(self)

    def report(self) -> str:
        """Return the exit code and the last lines of the output."""
        code = None if self.popen is None else self.popen.poll()
        lines = self.log.read_text(errors='replace').splitlines()
        return '\n  '.join(
            (f'{self.name} ended with {code}', *lines[-REPORTED_LINES:])
        )

    def send(self, signal_number: int) -> None:
        """Send a signal to the process, if it was started."""
        if self.popen is not None:
            self.popen.send_signal(signal_number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        self.send(signal.SIGKILL)
        self.wait()

    def stop(self) -> None:
        """Send SIGTERM and wait for the end."""
        self.send(signal.SIGTERM)
        self.wait()

    def wait(self) -> int:
        """Wait for the end and return the exit code; 0 if never started.

        Raise `subprocess.TimeoutExpired` after `STOP_TIMEOUT_SECONDS`.
        """
        if self.popen is None:
            return 0
        return self.popen.wait(STOP_TIMEOUT_SECONDS)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.popen is not None and self.popen.poll() is None


def _name(process: Process) -> str:
    return process.name

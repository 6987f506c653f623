"""Start, signal and stop processes, from outside the system."""

import pathlib
import signal
import subprocess

STOP_SECONDS = 20.0


class NotRunning(Exception):
    """The process was not started."""


class Process:
    """One running process, with its log in a file."""

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
        """Start the process."""
        with self.log.open('ab') as stream:
            self.popen = subprocess.Popen(
                self.command,
                stdout=stream,
                stderr=stream,
                stdin=subprocess.DEVNULL,
                env=self.environment,
            )

    def send(self, number: int) -> None:
        """Send the process a signal."""
        if self.popen is not None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        self.wait()

    def stop(self) -> None:
        """Ask the process to stop, and wait until it has."""
        self.send(signal.SIGTERM)
        self.wait()

    def wait(self) -> int:
        """Wait for the end and return the exit code."""
        if self.popen is None:
            return 0
        return self.popen.wait(STOP_SECONDS)

    def is_running(self) -> bool:
        """Say whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

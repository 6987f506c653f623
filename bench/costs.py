"""Measure the processor time and memory of processes."""

import dataclasses
import time

import psutil

from bench import processes

MEBIBYTE = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Reading:
    """Resource use of a process; `at` is monotonic time in seconds."""

    at: float
    processor_seconds: float
    resident_bytes: int

    @property
    def resident_mebibytes(self) -> float:
        """Return the resident memory in MiB."""
        return self.resident_bytes / MEBIBYTE


def read(process: processes.Process) -> Reading:
    """Read the resource use of a process.

    Raise `NotRunning` for a process that was never started.
    """
    if process.popen is None:
        raise processes.NotRunning(process.name)
    running = psutil.Process(process.popen.pid)
    cpu_times = running.cpu_times()
    return Reading(
        at=time.monotonic(),
        processor_seconds=cpu_times.user + cpu_times.system,
        resident_bytes=running.memory_info().rss,
    )


def spent_seconds(before: Reading, after: Reading) -> float:
    """Return the processor seconds used between two readings."""
    return after.processor_seconds - before.processor_seconds


def core_share(before: Reading, after: Reading) -> float:
    """Return the mean use between two readings, in cores."""
    return spent_seconds(before, after) / (after.at - before.at)

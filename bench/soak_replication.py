"""Inject random faults into control members, and time takeovers.

`python -m bench.soak_replication soak --seed 1 --minutes 5` exits with an
error if a change is not acknowledged, is lost, or is answered differently when
it is repeated.
`python -m bench.soak_replication takeover --seed 1 --kills 10` prints how
long no change was accepted after each kill of a leader.
"""

import pathlib
import random
import shutil
import signal
import statistics
import sys
import tempfile
import time
from collections import abc

import cyclopts

from bench import changes, cluster, examples, faults, web

APP = cyclopts.App(help='Inject faults into control members.')
ROUND_CHANGES = 100
MAX_FAULT_SECONDS = 6.0
SECONDS_PER_MINUTE = 60
LOST_EXIT_CODE = 1


class Soak:
    """Rounds of changes, each with one fault of a random member."""

    def __init__(self, system: cluster.Cluster, rng: random.Random) -> None:
        self.system = system
        self.rng = rng
        self.writers: list[changes.Writer] = []
        self.faults: dict[str, abc.Callable[[str], None]] = {
            'killed': self.kill,
            'frozen': self.freeze,
            'cut off': self.cut_off,
            'silent connections': self.silence,
            'disk lost': self.lose_disk,
            'all killed': self.kill_all,
        }

    def run_round(self, number: int) -> str:
        """Inject a fault while changes are sent through the other members.

        Return the number of the round, the member and the fault as one line.
        """
        victim = self.rng.choice(self.system.members)
        fault = self.rng.choice(sorted(self.faults))
        writer_members = [one for one in self.system.members if one != victim]
        self.rng.shuffle(writer_members)
        writer = changes.Writer(self.system, f'round-{number}', writer_members)
        self.writers.append(writer)
        writer.start(ROUND_CHANGES)
        self.faults[fault](victim)
        writer.thread.join()
        return f'{number} {victim} {fault}'

    def count_lost(self) -> int:
        """Return the changes not acknowledged, missing or answered differently.

        A change counts once for each member that lacks it.
        """
        return sum(self._count_lost_of(writer) for writer in self.writers)

    def _count_lost_of(self, writer: changes.Writer) -> int:
        members = self.system.members
        unacknowledged = ROUND_CHANGES - len(writer.acknowledged)
        missing = sum(
            len(writer.missing_changes_at(member)) for member in members
        )
        return (
            unacknowledged + missing + writer.count_different_answers(members)
        )

    def kill(self, victim: str) -> None:
        """Kill a member, and start it again after a random time."""
        self.system.processes[victim].kill()
        time.sleep(self.rng.uniform(0, MAX_FAULT_SECONDS))
        self.system.processes[victim].start()

    def kill_all(self, victim: str) -> None:
        """Kill every member, and start them again."""
        for member in self.system.members:
            self.system.processes[member].kill()
        for member in self.system.members:
            self.system.processes[member].start()

    def freeze(self, victim: str) -> None:
        """Freeze a member for a random time."""
        self.system.processes[victim].send(signal.SIGSTOP)
        time.sleep(self.rng.uniform(0, MAX_FAULT_SECONDS))
        self.system.processes[victim].send(signal.SIGCONT)

    def cut_off(self, victim: str) -> None:
        """Drop all traffic of a member for a random time."""
        self._isolate(victim, faults.Fault.blackhole)
        time.sleep(self.rng.uniform(0, MAX_FAULT_SECONDS))
        self._isolate(victim, faults.Fault.none)

    def silence(self, victim: str) -> None:
        """Drop all traffic on the open connections of a member for good."""
        self._isolate(victim, faults.Fault.silent_open)
        self._isolate(victim, faults.Fault.none)

    def lose_disk(self, victim: str) -> None:
        """Delete a member's data, and readmit it through another member."""
        self.system.processes[victim].kill()
        shutil.rmtree(self.system.folder / victim)
        self.system.processes[victim].start()
        others = [one for one in self.system.members if one != victim]
        url = f'{self.system.admin_url(others[0])}/members'
        body = {'name': victim}
        web.wait_until(
            lambda: web.request(url, 'POST', body, cluster.TOKEN).status == 200,
            f'{victim} readmitted',
        )

    def _isolate(self, victim: str, fault: faults.Fault) -> None:
        if self.system.network is not None:
            self.system.network.isolate(victim, fault)


def start(folder: str) -> cluster.Cluster:
    """Start three members behind links, and apply a configuration."""
    system = cluster.Cluster(pathlib.Path(folder), network=faults.Network())
    system.control_settings = {
        'snapshot_entries': 200,
        'snapshot_tail_entries': 50,
    }
    system.start_control()
    system.apply(examples.nivelar())
    return system


def stop(system: cluster.Cluster) -> None:
    """Stop the members and their links."""
    system.stop()
    if system.network is not None:
        system.network.close()


@APP.command
def soak(seed: int = 1, minutes: float = 5) -> None:
    """Inject random faults; exit with an error if a change is lost."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        system = start(folder)
        deadline = time.monotonic() + minutes * SECONDS_PER_MINUTE
        soak_run = Soak(system, rng)
        try:
            while time.monotonic() < deadline:
                print(soak_run.run_round(len(soak_run.writers)), flush=True)
            lost = soak_run.count_lost()
        finally:
            stop(system)
    change_count = len(soak_run.writers) * ROUND_CHANGES
    print(f'{change_count} changes, {lost} lost or answered differently')
    sys.exit(LOST_EXIT_CODE if lost else 0)


@APP.command
def takeover(seed: int = 1, kills: int = 10) -> None:
    """Kill leaders; print how long no change was accepted after each kill."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        system = start(folder)
        try:
            durations = [
                _time_takeover(system, rng, one) for one in range(kills)
            ]
        finally:
            stop(system)
    print('seconds:', ' '.join(f'{seconds:.2f}' for seconds in durations))
    print(
        f'median {statistics.median(durations):.2f}, max {max(durations):.2f}'
    )


def _time_takeover(
    system: cluster.Cluster,
    rng: random.Random,
    number: int,
) -> float:
    leader = system.leader()
    others = [one for one in system.members if one != leader]
    writer = changes.Writer(system, f'takeover-{number}', others)
    time.sleep(rng.uniform(1, 2))
    system.processes[leader].kill()
    killed_at = time.monotonic()
    writer.run(1)
    duration = time.monotonic() - killed_at
    system.processes[leader].start()
    writer.missing_changes_at(leader)
    return duration


if __name__ == '__main__':
    APP()

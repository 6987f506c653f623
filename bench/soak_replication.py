"""Fail control members at random for minutes, and time the takeovers.

`python -m bench.soak_replication soak --seed 1 --minutes 5` exits with an
error if an acknowledged change is lost or answered differently;
`python -m bench.soak_replication takeover --seed 1 --kills 10` prints how
long changes were not accepted after each death of a leader.
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

APP = cyclopts.App(help='Fail control members.')
ROUND_CHANGES = 100
FAULT_SECONDS = 6.0
SECONDS_PER_MINUTE = 60
LOST = 1


class Soak:
    """Bring one fault about after another while changes go on."""

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
        """Bring a fault about on some member; return what was done."""
        victim = self.rng.choice(self.system.members)
        fault = self.rng.choice(sorted(self.faults))
        through = [one for one in self.system.members if one != victim]
        self.rng.shuffle(through)
        writer = changes.Writer(self.system, f'round-{number}', through)
        self.writers.append(writer)
        writer.start(ROUND_CHANGES)
        self.faults[fault](victim)
        writer.thread.join()
        return f'{number} {victim} {fault}'

    def count_lost(self) -> int:
        """Return how many changes are missing or answered differently."""
        return sum(self._count_wrong(writer) for writer in self.writers)

    def _count_wrong(self, writer: changes.Writer) -> int:
        members = self.system.members
        unacknowledged = ROUND_CHANGES - len(writer.acknowledged)
        missing = sum(
            len(writer.missing_changes_at(member)) for member in members
        )
        return (
            unacknowledged + missing + writer.count_different_answers(members)
        )

    def kill(self, victim: str) -> None:
        """Kill a member, and start it again."""
        self.system.processes[victim].kill()
        time.sleep(self.rng.uniform(0, FAULT_SECONDS))
        self.system.processes[victim].start()

    def kill_all(self, victim: str) -> None:
        """Kill every member, and start them again."""
        for member in self.system.members:
            self.system.processes[member].kill()
        for member in self.system.members:
            self.system.processes[member].start()

    def freeze(self, victim: str) -> None:
        """Freeze a member for a while."""
        self.system.processes[victim].send(signal.SIGSTOP)
        time.sleep(self.rng.uniform(0, FAULT_SECONDS))
        self.system.processes[victim].send(signal.SIGCONT)

    def cut_off(self, victim: str) -> None:
        """Cut a member off silently for a while."""
        self._isolate(victim, faults.Fault.blackhole)
        time.sleep(self.rng.uniform(0, FAULT_SECONDS))
        self._isolate(victim, faults.Fault.none)

    def silence(self, victim: str) -> None:
        """Let open connections go silent for good."""
        self._isolate(victim, faults.Fault.silent_open)
        self._isolate(victim, faults.Fault.none)

    def lose_disk(self, victim: str) -> None:
        """Empty a member's data folder, and readmit the member."""
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
    """Start three members with a configuration."""
    system = cluster.Cluster(pathlib.Path(folder), network=faults.Network())
    system.control_settings = {
        'snapshot_entries': 200,
        'snapshot_tail_entries': 50,
    }
    system.start_control()
    system.apply(examples.nivelar())
    return system


def stop(system: cluster.Cluster) -> None:
    """Stop the members and their network."""
    system.stop()
    if system.network is not None:
        system.network.close()


@APP.command
def soak(seed: int = 1, minutes: float = 5) -> None:
    """Fail members at random; exit with an error if a change is lost."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        system = start(folder)
        until = time.monotonic() + minutes * SECONDS_PER_MINUTE
        running = Soak(system, rng)
        try:
            while time.monotonic() < until:
                print(running.run_round(len(running.writers)), flush=True)
            lost = running.count_lost()
        finally:
            stop(system)
    made = len(running.writers) * ROUND_CHANGES
    print(f'{made} changes, {lost} lost or answered differently')
    sys.exit(LOST if lost else 0)


@APP.command
def takeover(seed: int = 1, kills: int = 10) -> None:
    """Kill leaders; print how long no change was accepted after each."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        system = start(folder)
        try:
            taken = [_time_takeover(system, rng, one) for one in range(kills)]
        finally:
            stop(system)
    print('seconds:', ' '.join(f'{seconds:.2f}' for seconds in taken))
    print(f'median {statistics.median(taken):.2f}, most {max(taken):.2f}')


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
    began = time.monotonic()
    writer.run(1)
    taken = time.monotonic() - began
    system.processes[leader].start()
    writer.missing_changes_at(leader)
    return taken


if __name__ == '__main__':
    APP()

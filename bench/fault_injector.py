"""Bring one fault after another about, by a seed."""

import functools
import random
import signal
import time
import typing
from collections import abc

from bench import cluster, faults

FAULT_SECONDS = 0.7
FROZEN_SECONDS = 1.5
REST_SECONDS = 0.4
Step = abc.Callable[[], None]


class FaultInjector:
    """Kill, freeze, cut and silence the processes of one system."""

    def __init__(
        self,
        system: cluster.Cluster,
        entries: abc.Sequence[str],
        agents: abc.Mapping[str, str],
        seed: int,
        restart: abc.Callable[[str], None],
    ) -> None:
        self.system = system
        self.entries = entries
        self.agents = agents
        self.rng = random.Random(seed)
        self.restart = restart
        self.applied: list[str] = []

    def steps(self) -> list[tuple[str, Step]]:
        """Return each kind of fault once, in an order of the seed."""
        network = self.system.network
        assert network is not None
        agent = self.rng.choice(list(self.agents))
        standin = self.agents[agent]
        entry = self.rng.choice(list(self.entries))
        member = self.rng.choice(self.system.members)
        silent = faults.Fault.silent_open
        steps: list[tuple[str, Step]] = [
            (f'kill {entry}', lambda: self._kill(entry)),
            (f'kill {agent}', lambda: self._kill(agent)),
            (f'kill {standin}', lambda: self._kill(standin)),
            (f'freeze {entry}', lambda: self._freeze(entry)),
            (f'freeze {agent}', lambda: self._freeze(agent)),
            (f'freeze {standin}', lambda: self._freeze(standin)),
        ]
        for source, target in (
            ('entries', agent),
            (agent, standin),
            (entry, member),
            (agent, member),
        ):
            for fault in (faults.Fault.cut, silent, faults.Fault.blackhole):
                steps.append(
                    (
                        f'{fault.value} {source} to {target}',
                        self._link(source, target, fault),
                    ),
                )
        self.rng.shuffle(steps)
        return steps

    def run(self, seconds: float) -> None:
        """Bring faults about for so long."""
        deadline = time.monotonic() + seconds
        while True:
            for name, step in self.steps():
                if time.monotonic() > deadline:
                    return
                step()
                self.applied.append(name)
                time.sleep(REST_SECONDS * self.rng.random())

    def _kill(self, name: str) -> None:
        self.system.processes[name].kill()
        self.restart(name)

    def _freeze(self, name: str) -> None:
        process = self.system.processes[name]
        process.send(signal.SIGSTOP)
        time.sleep(FROZEN_SECONDS)
        process.send(signal.SIGCONT)

    def _link(
        self,
        source: str,
        target: str,
        fault: faults.Fault,
    ) -> Step:
        return functools.partial(self._fail_link, source, target, fault)

    def _fail_link(
        self,
        source: str,
        target: str,
        fault: faults.Fault,
    ) -> None:
        network: typing.Any = self.system.network
        network.apply(fault, source, target)
        time.sleep(FAULT_SECONDS)
        network.apply(faults.Fault.none, source, target)

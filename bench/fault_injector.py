"""Seeded faults of the processes and links of one system, in sequence."""

import functools
import random
import signal
import time
import typing
from collections import abc

from bench import cluster, faults

LINK_FAULT_SECONDS = 0.7
FREEZE_SECONDS = 1.5
MAX_PAUSE_SECONDS = 0.4
FaultAction = abc.Callable[[], None]


class FaultInjector:
    """Kills and freezes processes of one system, and fails their links.

    `agents` maps each agent to the stand-in behind it; `restart` starts a
    killed process again. `applied` lists the names of the faults so far.
    """

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

    def steps(self) -> list[tuple[str, FaultAction]]:
        """Return the name and action of each kind of fault once.

        The processes and the order are sampled from the seed.
        """
        network = self.system.network
        assert network is not None
        agent = self.rng.choice(list(self.agents))
        standin = self.agents[agent]
        entry = self.rng.choice(list(self.entries))
        member = self.rng.choice(self.system.members)
        silent = faults.Fault.silent_open
        steps: list[tuple[str, FaultAction]] = [
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
                        self._link_step(source, target, fault),
                    ),
                )
        self.rng.shuffle(steps)
        return steps

    def run(self, seconds: float) -> None:
        """Apply faults in rounds until `seconds` have passed."""
        deadline = time.monotonic() + seconds
        while True:
            for name, step in self.steps():
                if time.monotonic() > deadline:
                    return
                step()
                self.applied.append(name)
                time.sleep(MAX_PAUSE_SECONDS * self.rng.random())

    def _kill(self, name: str) -> None:
        self.system.processes[name].kill()
        self.restart(name)

    def _freeze(self, name: str) -> None:
        process = self.system.processes[name]
        process.send(signal.SIGSTOP)
        time.sleep(FREEZE_SECONDS)
        process.send(signal.SIGCONT)

    def _link_step(
        self,
        source: str,
        target: str,
        fault: faults.Fault,
    ) -> FaultAction:
        return functools.partial(self._fail_link, source, target, fault)

    def _fail_link(
        self,
        source: str,
        target: str,
        fault: faults.Fault,
    ) -> None:
        network: typing.Any = self.system.network
        network.apply(fault, source, target)
        time.sleep(LINK_FAULT_SECONDS)
        network.apply(faults.Fault.none, source, target)

"""Run two entries and two order services while faults are injected."""

import contextlib
import pathlib
import types
from collections import abc

from bench import cluster, examples, fault_injector, faults, orders

ENTRIES = ('entry-0', 'entry-1')
# Each agent and the stand-in that is its upstream.
AGENTS = types.MappingProxyType({'agent-0': 'desk-0', 'agent-1': 'desk-1'})
CALLER_COUNT = 6


class OrderSystem:
    """Cluster with order services whose ledgers survive their processes."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.network = faults.Network()
        self.cluster = cluster.Cluster(folder, network=self.network)
        self.key = ''
        self.faults: list[str] = []
        self.orders: list[orders.Order] = []

    def start(self) -> None:
        """Start every process and wait until orders can be sent."""
        system = self.cluster
        system.start_control()
        system.apply(examples.nivelar())
        for agent, desk in AGENTS.items():
            system.add_standin(desk, 'desk', ledger=self.ledger(desk))
            system.add_agent(agent, desk, target=examples.DESK, is_model=False)
        for entry in ENTRIES:
            system.add_entry(entry)
        for entry in ENTRIES:
            system.wait_ready(entry, agents=len(AGENTS))
        self.key = system.issue_key('clinics')
        for entry in ENTRIES:
            system.wait_key(entry, self.key)

    def ledger(self, desk: str) -> pathlib.Path:
        """Return the file in which a desk records the orders that it ran."""
        return self.folder / f'{desk}.ledger'

    def run(self, seed: int, seconds: float) -> orders.Verdict:
        """Send orders for `seconds` under faults and check the answers.

        `seed` chooses the orders and the faults.
        """
        urls = [self.cluster.entry_url(entry) for entry in ENTRIES]
        callers = [
            orders.Caller(f'caller-{seed}-{number}', urls, self.key, seed)
            for number in range(CALLER_COUNT)
        ]
        injector = fault_injector.FaultInjector(
            self.cluster,
            ENTRIES,
            AGENTS,
            seed,
            lambda name: self.cluster.processes[name].start(),
        )
        for caller in callers:
            caller.start()
        try:
            injector.run(seconds)
        finally:
            for caller in callers:
                caller.stopping.set()
            for caller in callers:
                caller.join()
        self.faults = injector.applied
        self.orders = [order for one in callers for order in one.orders]
        ledgers = [self.ledger(desk) for desk in AGENTS.values()]
        return orders.check_answers(self.orders, ledgers)

    def stop(self) -> None:
        """Stop every process."""
        self.cluster.stop()
        self.network.close()


@contextlib.contextmanager
def run_system(folder: pathlib.Path) -> abc.Iterator[OrderSystem]:
    """Start a system and stop it at the end of the context."""
    system = OrderSystem(folder)
    try:
        system.start()
        yield system
    finally:
        system.stop()

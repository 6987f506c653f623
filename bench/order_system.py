"""Run a system of two entries and two order desks under faults."""

import contextlib
import pathlib
import types
from collections import abc

from bench import cluster, faults, examples, orders, fault_injector

ENTRIES = ('entry-0', 'entry-1')
# Each agent, and the desk behind it.
AGENTS = types.MappingProxyType({'agent-0': 'desk-0', 'agent-1': 'desk-1'})
CALLERS = 6


class OrderSystem:
    """Own a cluster with desks whose ledgers outlive them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.network = faults.Network()
        self.cluster = cluster.Cluster(folder, network=self.network)
        self.key = ''
        self.faults: list[str] = []
        self.orders: list[orders.Order] = []

    def start(self) -> None:
        """Start every process and wait until orders can be sent."""
        running = self.cluster
        running.start_control()
        running.apply(examples.nivelar())
        for agent, desk in AGENTS.items():
            running.add_standin(desk, 'desk', ledger=self.ledger(desk))
            running.add_agent(agent, desk, target=examples.DESK, is_model=False)
        for entry in ENTRIES:
            running.add_entry(entry)
        for entry in ENTRIES:
            running.wait_ready(entry, agents=len(AGENTS))
        self.key = running.issue_key('clinics')
        for entry in ENTRIES:
            running.wait_key(entry, self.key)

    def ledger(self, desk: str) -> pathlib.Path:
        """Return where a desk writes down what it ran."""
        return self.folder / f'{desk}.ledger'

    def run(self, seed: int, seconds: float) -> orders.Verdict:
        """Send orders under faults and judge the answers."""
        urls = [self.cluster.entry_url(entry) for entry in ENTRIES]
        callers = [
            orders.Caller(f'caller-{seed}-{number}', urls, self.key, seed)
            for number in range(CALLERS)
        ]
        faulty = fault_injector.FaultInjector(
            self.cluster,
            ENTRIES,
            AGENTS,
            seed,
            lambda name: self.cluster.processes[name].start(),
        )
        for caller in callers:
            caller.start()
        try:
            faulty.run(seconds)
        finally:
            for caller in callers:
                caller.stopping.set()
            for caller in callers:
                caller.join()
        self.faults = faulty.applied
        self.orders = [order for one in callers for order in one.orders]
        ledgers = [self.ledger(desk) for desk in AGENTS.values()]
        return orders.check_answers(self.orders, ledgers)

    def stop(self) -> None:
        """Stop every process."""
        self.cluster.stop()
        self.network.close()


@contextlib.contextmanager
def run_system(folder: pathlib.Path) -> abc.Iterator[OrderSystem]:
    """Run a system of orders for as long as the context lasts."""
    system = OrderSystem(folder)
    try:
        system.start()
        yield system
    finally:
        system.stop()

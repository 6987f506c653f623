"""Compare policies under load and faults: `python -m bench.experiments`."""

import asyncio
import dataclasses
import functools
import json
import os
import pathlib
import tempfile
import time
import typing
from collections import abc

import cyclopts

from bench import (
    cluster,
    load_generator,
    measurements,
    result_table,
    scenarios,
    web,
)
from cranberryrill import clock

APP = cyclopts.App(name='experiments', help='Compare policies under load.')
# Requests still open this long after the end of the arrivals are cancelled.
GRACE_SECONDS = 1.5
ENTRY_COUNT = 2


@dataclasses.dataclass(frozen=True)
class Policy:
    """Scheduling policy of the agents and routing policy of the entries."""

    name: str
    scheduling: str
    routing: str


POLICIES = (
    Policy('baseline', 'first-come', 'least-loaded'),
    Policy('tiers', 'tiers', 'predicted'),
)


class Bench:
    """Running system under one policy, on which experiments are measured."""

    def __init__(
        self,
        folder: pathlib.Path,
        size: scenarios.Size,
        policy: Policy,
        seed: int,
    ) -> None:
        self.size = size
        self.policy = policy
        self.seed = seed
        self.system = cluster.Cluster(folder)
        self.engines = [f'engine-{number}' for number in range(size.engines)]
        self.entries = [f'entry-{number}' for number in range(ENTRY_COUNT)]
        self.keys: dict[str, str] = {}
        # Outcomes of the newest experiment.
        self.outcomes: list[load_generator.Outcome] = []

    def start(self) -> None:
        """Start every process and wait until the entries serve."""
        self.system.start_control()
        self.system.apply(scenarios.configuration())
        for engine in self.engines:
            self.system.add_standin(
                engine,
                'engine',
                model=scenarios.MODEL,
                batch_limit=scenarios.SLOTS,
                step_seconds=scenarios.STEP_SECONDS,
                sequence_seconds=scenarios.SEQUENCE_SECONDS,
                report_lag_seconds=2,
            )
            self.system.add_agent(
                f'agent-{engine}',
                engine,
                target=scenarios.MODEL,
                slots=scenarios.SLOTS,
                scheduling=self.policy.scheduling,
            )
        for number in range(self.size.desks):
            self.system.add_standin(f'desk-{number}', 'desk')
            self.system.add_agent(
                f'agent-desk-{number}',
                f'desk-{number}',
                target='desk',
                is_model=False,
            )
        for entry in self.entries:
            self.system.add_entry(entry, routing=self.policy.routing)
        for organisation in scenarios.ORGANISATIONS:
            self.keys[organisation] = self.system.issue_key(
                organisation,
                f'key-of-{organisation}',
            )
        for entry in self.entries:
            self.system.wait_ready(
                entry,
                self.size.engines + self.size.desks,
            )
            for key in self.keys.values():
                self._wait_key(entry, key)

    def measure(
        self, experiment: scenarios.Experiment
    ) -> measurements.Measurement:
        """Run one experiment and return its measurement."""
        self._wait_idle()
        started = clock.monotonic_seconds()
        run = asyncio.run(self._run(experiment))
        self.outcomes = run.outcomes
        outcomes = _without_withdrawn(experiment, run.outcomes)
        wasted = run.wasted
        if experiment.kills_engine:
            # The killed engine's ledger is lost, so count the tokens that
            # callers received of answers that failed.
            wasted += sum(
                outcome.tokens for outcome in run.outcomes if outcome.code
            )
            self.system.processes[self.engines[0]].start()
        produced = sum(outcome.tokens for outcome in run.outcomes) + wasted
        checkers = [
            measurements.check_decision_log(self.agent_log(engine), started)
            for engine in self.engines
        ]
        ended = started + scenarios.DURATION_SECONDS
        goodput = measurements.goodput(outcomes)
        return measurements.Measurement(
            experiment=experiment.name,
            policy=self.policy.name,
            classes=measurements.measure_classes(outcomes),
            goodput=goodput,
            work=measurements.Work(produced, wasted),
            worst_organisations=measurements.worst_organisations(outcomes),
            cost=self.size.engines * 1000 / max(goodput, 1),
            violations=sum(len(checker.violations) for checker in checkers),
            missed_floors=sum(
                len(checker.missed_floors(ended)) for checker in checkers
            ),
            events=sum(checker.events for checker in checkers),
            host_load=os.getloadavg()[0],
            note=measurements.describe_withdrawal(run.outcomes, run.fault_at)
            if experiment.withdraws_keys
            else '',
        )

    async def _run(self, experiment: scenarios.Experiment) -> 'RunResult':
        generator = load_generator.LoadGenerator(self.keys)
        ports = [self.system.ports[entry] for entry in self.entries]
        requests = load_generator.sample_requests(
            experiment.flows, ports, self.seed
        )
        fault = asyncio.create_task(self._inject_fault(experiment))
        duration = scenarios.DURATION_SECONDS + GRACE_SECONDS
        # The times in the engines' ledgers are of this clock.
        started = time.monotonic()
        outcomes = await generator.run(requests, duration)
        fault_at = await fault
        open_requests = {
            outcome.request_id for outcome in outcomes if not outcome.ended
        }
        wasted = await asyncio.to_thread(
            self._count_wasted, open_requests, started
        )
        await generator.cancel_open()
        if experiment.slowdown > 1:
            await asyncio.to_thread(self._slow_down, 1)
        return RunResult(outcomes, wasted, fault_at)

    async def _inject_fault(self, experiment: scenarios.Experiment) -> float:
        await asyncio.sleep(scenarios.FAULT_AT_SECONDS)
        if experiment.slowdown > 1:
            await asyncio.to_thread(self._slow_down, experiment.slowdown)
        if experiment.kills_engine:
            self.system.processes[self.engines[0]].kill()
        if experiment.withdraws_keys:
            for organisation in scenarios.WITHDRAWN_ORGANISATIONS:
                await asyncio.to_thread(self._withdraw, organisation)
        return scenarios.FAULT_AT_SECONDS

    def _slow_down(self, factor: float) -> None:
        url = f'{self.system.standins[self.engines[0]]}/control'
        web.request(url, 'POST', {'slowdown': factor})

    def _withdraw(self, organisation: str) -> None:
        body = {
            'name': f'key-of-{organisation}',
            'change_id': f'withdraw-{organisation}',
        }
        url = f'{self.system.admin_url()}/keys'
        web.request(url, 'DELETE', body, cluster.TOKEN)

    def _count_wasted(
        self, open_requests: abc.Container[str], since: float
    ) -> int:
        """Return how many tokens were wasted on sequences ended after `since`.

        Tokens are wasted when their sequence was cut off and not resumed.
        Sequences of requests that are still open do not count.
        """
        lines = [
            line
            for engine in self.engines
            if self.system.processes[engine].is_running()
            for line in self.system.ledger(engine)
        ]
        return sum(
            line['produced']
            for line in lines
            if line['ended_at'] > since
            and not line['finished']
            and not line['resumed']
            and line['request_id'] not in open_requests
        )

    def agent_log(self, engine: str) -> pathlib.Path:
        """Return the log file of an engine's agent, with its decisions."""
        return self.system.folder / f'agent-{engine}.log'

    def _wait_idle(self) -> None:
        for engine in self.engines:
            url = f'{self.system.standins[engine]}/v1/load'
            web.wait_until(functools.partial(_is_idle, url), 'idle engines')

    def _wait_key(self, entry: str, key: str) -> None:
        url = f'{self.system.entry_url(entry)}/v1/models'
        web.wait_until(
            lambda: web.request(url, key=key).status == load_generator.HTTP_OK,
            'a key',
        )


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Outcomes of one run; `wasted` counts tokens.

    `fault_at` is in seconds since the start of the run.
    """

    outcomes: list[load_generator.Outcome]
    wasted: int
    fault_at: float


def _is_idle(url: str) -> bool:
    try:
        report = web.request(url).json()
    except OSError:
        return False
    return not report['running'] + report['waiting']


def _without_withdrawn(
    experiment: scenarios.Experiment,
    outcomes: list[load_generator.Outcome],
) -> list[load_generator.Outcome]:
    """Leave out organisations whose keys the experiment withdraws."""
    withdrawn = (
        scenarios.WITHDRAWN_ORGANISATIONS if experiment.withdraws_keys else ()
    )
    return [
        outcome
        for outcome in outcomes
        if outcome.request.flow.organisation not in withdrawn
    ]


def measure_policy(
    policy: Policy,
    size: scenarios.Size,
    seed: int,
    only: str,
) -> list[measurements.Measurement]:
    """Run the experiments whose names contain `only` under one policy."""
    measured: list[measurements.Measurement] = []
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(pathlib.Path(folder), size, policy, seed)
        try:
            bench.start()
            for experiment in scenarios.experiments(size):
                if only in experiment.name:
                    measured.append(bench.measure(experiment))
                    result_table.print_measurement(measured[-1])
        finally:
            bench.system.stop()
    return measured


@APP.default
def run(
    *,
    seed: int = 1,
    size: typing.Literal['nivelar', 'tuul'] = 'nivelar',
    only: str = '',
    results: pathlib.Path | None = None,
) -> None:
    """Run all experiments under both policies and print a table.

    Parameters
    ----------
    seed:
        Seed of the arrivals.
    size:
        Number of engines, desks and data centres.
    only:
        Run only the experiments whose names contain this text.
    results:
        JSON file for the measurements, which `bench.plots` draws.
    """
    system_size = scenarios.SIZES[size]
    measured = [
        measure
        for policy in POLICIES
        for measure in measure_policy(policy, system_size, seed, only)
    ]
    print(result_table.table(measured))
    if results is not None:
        lines = [dataclasses.asdict(measure) for measure in measured]
        results.write_text(json.dumps(lines, indent=1))


if __name__ == '__main__':
    APP()

"""Bring about faults of the holder of authority, and judge the ledgers."""

import dataclasses
import http
import pathlib
import random
import signal
import time
import typing

from bench import cluster, examples, faults, processes, web
from cranberryrill.configuration import document

# A holder that wakes alone hears nothing of the one that followed it.
FAULTS = ('kill', 'freeze', 'wake alone', 'blackhole', 'planned stop')
ORDERS_PATH = '/v1/upstreams/orders'
REPORTS_PATH = '/v1/usage/windows'
PLATFORM = 'platform'
# Nobody ever starts what is ordered, so these are ordered again and again.
ORDERED_TARGETS = tuple(f'ordered-{number}' for number in range(12))
MAX_JITTER_SECONDS = 0.4
TAKEOVER_TIMEOUT_SECONDS = 20.0
SETTLE_TIMEOUT_SECONDS = 20.0
MESSAGES_WHILE_ISOLATED = 8
LedgerLine = dict[str, typing.Any]


class LedgerViolation(Exception):
    """The platform received what it must never receive."""


class ConfigurationRefused(Exception):
    """The system refused its configuration."""


def configuration() -> document.Document:
    """Return a configuration whose orders never end."""
    rules = tuple(
        document.UpstreamRule(
            name=f'{target}-dc-1',
            target=target,
            data_centre='dc-1',
            least=1,
            most=2,
        )
        for target in ORDERED_TARGETS
    )
    base = examples.nivelar()
    models = tuple(
        document.Model(name=target, default_class='drafting')
        for target in ORDERED_TARGETS
    )
    return dataclasses.replace(
        base,
        models=base.models + models,
        upstream_rules=rules,
    )


class AuthoritySystem:
    """A system whose holder of authority fails again and again."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self.network = faults.Network()
        self.system = cluster.Cluster(folder, network=self.network)
        self.system.platform_settings = {
            'window_seconds': 0.4,
            'start_up_seconds': 0.4,
        }
        self.seed = seed
        self.key = ''

    def start(self) -> None:
        """Start three members, an engine with its agent, and an entry."""
        system = self.system
        system.add_standin(
            PLATFORM,
            'platform',
            delay_seconds=0.03,
            error_share=0.1,
            lost_share=0.15,
            seed=self.seed,
        )
        system.start_control()
        applied = system.apply(configuration())
        if applied.status != http.HTTPStatus.OK:
            raise ConfigurationRefused(applied.body.decode())
        system.add_standin('engine', 'engine', model=examples.MODEL)
        system.add_agent('agent', 'engine', target=examples.MODEL)
        self.key = system.issue_key('installers')
        system.add_entry('entry')
        system.wait_ready('entry', agents=1)
        # Windows are sealed from the first usage on.
        self.send_request()
        self.wait_until_billed()

    def stop(self) -> None:
        """Stop everything."""
        self.system.stop()
        self.network.close()

    def ledger(self) -> list[LedgerLine]:
        """Return what the platform received, in order of arrival."""
        return self.system.ledger(PLATFORM)

    def send_request(self) -> None:
        """Run one small chat request, whatever becomes of it."""
        url = f'{self.system.entry_url("entry")}/v1/chat/completions'
        chat = {
            'model': examples.MODEL,
            'messages': [{'role': 'user', 'content': 'it wobbles'}],
            'max_tokens': 3,
            'stream': True,
        }
        web.request(url, 'POST', chat, self.key)

    def fail_holder(self, fault: str, rng: random.Random) -> None:
        """Fail the holder, wait for the next one, and heal the first."""
        holder, fencing = self.wait_holder(0)
        self.send_request()
        # The moment of the fault is chosen by the seed.
        time.sleep(rng.uniform(0, MAX_JITTER_SECONDS))
        getattr(self, f'_{fault.replace(" ", "_")}')(holder)
        self.wait_holder(fencing + 1)
        self._heal(fault, holder)
        web.wait_until(self._agree, 'one leader', TAKEOVER_TIMEOUT_SECONDS)
        self.send_request()

    def wait_holder(self, least_fencing: int) -> tuple[str, int]:
        """Wait for a fresh message of a holder with at least this number."""
        seen = len(self.ledger())
        line = web.wait_until(
            lambda: _newest(self.ledger()[seen:], least_fencing),
            'a holder',
            TAKEOVER_TIMEOUT_SECONDS,
        )
        return str(line['sender']), int(line['fencing'])

    def wait_messages(self, count: int) -> None:
        """Wait until so many more messages have arrived."""
        seen = len(self.ledger())
        web.wait_until(
            lambda: len(self.ledger()) >= seen + count,
            f'{count} messages',
            TAKEOVER_TIMEOUT_SECONDS,
        )

    def wait_until_billed(self) -> None:
        """Wait until the reports add up to what the engine delivered."""
        web.wait_until(
            lambda: billed_totals(self.ledger()) == self.delivered_totals(),
            'reports that add up',
            SETTLE_TIMEOUT_SECONDS,
        )

    def delivered_totals(self) -> tuple[int, int]:
        """Return the requests and tokens that the engine delivered."""
        lines = self.system.ledger('engine')
        return len(lines), sum(line['produced'] for line in lines)

    def _kill(self, holder: str) -> None:
        self._process(holder).kill()

    def _freeze(self, holder: str) -> None:
        self._process(holder).send(signal.SIGSTOP)

    def _wake_alone(self, holder: str) -> None:
        self._process(holder).send(signal.SIGSTOP)
        self._cut(holder, faults.Fault.blackhole)

    def _planned_stop(self, holder: str) -> None:
        self._process(holder).stop()

    def _blackhole(self, holder: str) -> None:
        # The platform stays within reach of the holder that is cut off.
        self._cut(holder, faults.Fault.blackhole)

    def _heal(self, fault: str, holder: str) -> None:
        if fault == 'freeze':
            self._process(holder).send(signal.SIGCONT)
        elif fault == 'wake alone':
            self._process(holder).send(signal.SIGCONT)
            self.wait_messages(MESSAGES_WHILE_ISOLATED)
            self._cut(holder, faults.Fault.none)
        elif fault == 'blackhole':
            self._cut(holder, faults.Fault.none)
        else:
            self.system.add_control(holder)

    def _cut(self, holder: str, fault: faults.Fault) -> None:
        for member in self.system.members:
            self.network.apply(fault, holder, member)
            self.network.apply(fault, member, holder)

    def _process(self, holder: str) -> processes.Process:
        return self.system.processes[holder]

    def _agree(self) -> bool:
        said = [self.system.status(member) for member in self.system.members]
        leaders = {status['leader'] if status else '' for status in said}
        return len(leaders) == 1 and '' not in leaders


def _newest(lines: list[LedgerLine], least_fencing: int) -> LedgerLine | None:
    if lines and lines[-1]['fencing'] >= least_fencing:
        return lines[-1]
    return None


def billed_totals(ledger: list[LedgerLine]) -> tuple[int, int]:
    """Return the requests and tokens of all windows, each counted once."""
    reports = {
        line['content']['window']: line['content']['lines']
        for line in ledger
        if line['path'] == REPORTS_PATH
    }
    lines = [line for report in reports.values() for line in report]
    return (
        sum(line['requests'] for line in lines),
        sum(line['output_tokens'] for line in lines),
    )


def check_ledger(ledger: list[LedgerLine]) -> None:
    """Raise `LedgerBroken` if two were in charge or content differs."""
    highest = 0
    senders: dict[int, str] = {}
    bodies: dict[str, str] = {}
    for position, line in enumerate(ledger):
        if line['fencing'] < highest:
            raise LedgerViolation(f'message {position} is of a former holder')
        highest = line['fencing']
        if senders.setdefault(highest, line['sender']) != line['sender']:
            raise LedgerViolation(f'message {position} has a second sender')
        key = line['idempotency_key']
        if bodies.setdefault(key, line['body']) != line['body']:
            raise LedgerViolation(f'message {position} changes {key}')
        if key != _key(line):
            raise LedgerViolation(f'message {position} has the key {key}')
    _judge_numbers(ledger, 'window')
    _judge_numbers(ledger, 'number')


def _key(line: LedgerLine) -> str:
    content = line['content']
    if line['path'] == REPORTS_PATH:
        return f'window-{content["window"]}'
    return f'order-{content["number"]}'


def _judge_numbers(ledger: list[LedgerLine], field: str) -> None:
    numbers = {
        line['content'][field] for line in ledger if field in line['content']
    }
    missing = set(range(1, max(numbers, default=0))) - numbers
    if missing:
        raise LedgerViolation(f'{field} {sorted(missing)} never arrived')

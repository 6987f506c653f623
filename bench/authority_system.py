"""Inject faults into the holder of authority and check the platform's ledger.

The ledger lists the messages that the stand-in of the platform received, in
order of arrival. Each carries the fencing number of its sender.
"""

import dataclasses
import http
import pathlib
import random
import signal
import time
import typing

from bench import cluster, examples, faults, processes, web
from cranberryrill.configuration import document

# 'wake alone': the holder is frozen, and resumed while it is cut off from the
# other members, so that it can't learn of its successor.
FAULTS = ('kill', 'freeze', 'wake alone', 'blackhole', 'planned stop')
ORDERS_PATH = '/v1/upstreams/orders'
REPORTS_PATH = '/v1/usage/windows'
PLATFORM = 'platform'
# No upstream ever starts for these targets, so orders for them are repeated.
ORDERED_TARGETS = tuple(f'ordered-{number}' for number in range(12))
MAX_JITTER_SECONDS = 0.4
TAKEOVER_TIMEOUT_SECONDS = 20.0
SETTLE_TIMEOUT_SECONDS = 20.0
MESSAGES_WHILE_ISOLATED = 8
LedgerLine = dict[str, typing.Any]


class LedgerViolation(Exception):
    """The platform received messages that violate a guarantee of the system."""


class ConfigurationRefused(Exception):
    """The system refused its configuration; the message is the error body."""


def configuration() -> document.Document:
    """Return a configuration under which orders are sent without end."""
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
    """Three members, an entry, an engine and the platform's stand-in.

    The links between members can be cut. The platform answers some messages
    with an error and loses the answers to others.
    """

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
        # Usage windows are sealed only once there is usage.
        self.send_request()
        self.wait_until_billed()

    def stop(self) -> None:
        """Stop the processes and the links."""
        self.system.stop()
        self.network.close()

    def ledger(self) -> list[LedgerLine]:
        """Return the messages at the platform in order of arrival."""
        return self.system.ledger(PLATFORM)

    def send_request(self) -> None:
        """Send a small chat request; its response is ignored."""
        url = f'{self.system.entry_url("entry")}/v1/chat/completions'
        chat = {
            'model': examples.MODEL,
            'messages': [{'role': 'user', 'content': 'it wobbles'}],
            'max_tokens': 3,
            'stream': True,
        }
        web.request(url, 'POST', chat, self.key)

    def fail_holder(self, fault: str, rng: random.Random) -> None:
        """Fail the holder, wait for its successor, and end the fault.

        `fault` is one of `FAULTS`; `rng` samples the delay before it.
        """
        holder, fencing = self.wait_holder(0)
        self.send_request()
        time.sleep(rng.uniform(0, MAX_JITTER_SECONDS))
        getattr(self, f'_{fault.replace(" ", "_")}')(holder)
        self.wait_holder(fencing + 1)
        self._end_fault(fault, holder)
        web.wait_until(
            self._has_one_leader,
            'one leader at all members',
            TAKEOVER_TIMEOUT_SECONDS,
        )
        self.send_request()

    def wait_holder(self, min_fencing: int) -> tuple[str, int]:
        """Wait for a new message with at least this fencing number.

        Return the name of its sender and its fencing number.
        """
        seen = len(self.ledger())
        line = web.wait_until(
            lambda: _latest_line(self.ledger()[seen:], min_fencing),
            'message from a holder',
            TAKEOVER_TIMEOUT_SECONDS,
        )
        return str(line['sender']), int(line['fencing'])

    def wait_messages(self, count: int) -> None:
        """Wait until the platform has received `count` more messages."""
        seen = len(self.ledger())
        web.wait_until(
            lambda: len(self.ledger()) >= seen + count,
            f'{count} messages',
            TAKEOVER_TIMEOUT_SECONDS,
        )

    def wait_until_billed(self) -> None:
        """Wait until the reports add up to the engine's requests and tokens."""
        web.wait_until(
            lambda: billed_totals(self.ledger()) == self.delivered_totals(),
            'usage reports that match the engine',
            SETTLE_TIMEOUT_SECONDS,
        )

    def delivered_totals(self) -> tuple[int, int]:
        """Return the requests and tokens that the engine has served."""
        lines = self.system.ledger('engine')
        return len(lines), sum(line['produced'] for line in lines)

    def _kill(self, holder: str) -> None:
        self._process(holder).kill()

    def _freeze(self, holder: str) -> None:
        self._process(holder).send(signal.SIGSTOP)

    def _wake_alone(self, holder: str) -> None:
        self._process(holder).send(signal.SIGSTOP)
        self._apply_to_links(holder, faults.Fault.blackhole)

    def _planned_stop(self, holder: str) -> None:
        self._process(holder).stop()

    def _blackhole(self, holder: str) -> None:
        # The holder can still reach the platform.
        self._apply_to_links(holder, faults.Fault.blackhole)

    def _end_fault(self, fault: str, holder: str) -> None:
        if fault == 'freeze':
            self._process(holder).send(signal.SIGCONT)
        elif fault == 'wake alone':
            self._process(holder).send(signal.SIGCONT)
            self.wait_messages(MESSAGES_WHILE_ISOLATED)
            self._apply_to_links(holder, faults.Fault.none)
        elif fault == 'blackhole':
            self._apply_to_links(holder, faults.Fault.none)
        else:
            self.system.add_control(holder)

    def _apply_to_links(self, holder: str, fault: faults.Fault) -> None:
        for member in self.system.members:
            self.network.apply(fault, holder, member)
            self.network.apply(fault, member, holder)

    def _process(self, holder: str) -> processes.Process:
        return self.system.processes[holder]

    def _has_one_leader(self) -> bool:
        statuses = [
            self.system.status(member) for member in self.system.members
        ]
        leaders = {status['leader'] if status else '' for status in statuses}
        return len(leaders) == 1 and '' not in leaders


def _latest_line(
    lines: list[LedgerLine], min_fencing: int
) -> LedgerLine | None:
    if lines and lines[-1]['fencing'] >= min_fencing:
        return lines[-1]
    return None


def billed_totals(ledger: list[LedgerLine]) -> tuple[int, int]:
    """Return the requests and tokens reported for all windows.

    A window that was reported more than once counts once.
    """
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
    """Raise `LedgerViolation` unless the messages are consistent.

    Fencing numbers must never decrease, and each belongs to one sender; an
    idempotency key is the one of the content and always comes with the same
    body; windows and orders are numbered from 1 without gaps.
    """
    highest = 0
    senders: dict[int, str] = {}
    bodies: dict[str, str] = {}
    for position, line in enumerate(ledger):
        if line['fencing'] < highest:
            raise LedgerViolation(f'message {position} is from a former holder')
        highest = line['fencing']
        if senders.setdefault(highest, line['sender']) != line['sender']:
            raise LedgerViolation(
                f'message {position}: fencing number of another sender'
            )
        key = line['idempotency_key']
        if bodies.setdefault(key, line['body']) != line['body']:
            raise LedgerViolation(f'message {position}: new body for {key}')
        if key != _expected_key(line):
            raise LedgerViolation(f'message {position}: wrong key {key}')
    _check_gaps(ledger, 'window')
    _check_gaps(ledger, 'number')


def _expected_key(line: LedgerLine) -> str:
    content = line['content']
    if line['path'] == REPORTS_PATH:
        return f'window-{content["window"]}'
    return f'order-{content["number"]}'


def _check_gaps(ledger: list[LedgerLine], field: str) -> None:
    numbers = {
        line['content'][field] for line in ledger if field in line['content']
    }
    missing = set(range(1, max(numbers, default=0))) - numbers
    if missing:
        raise LedgerViolation(f'{field} {sorted(missing)} never arrived')

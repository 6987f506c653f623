"""Lose no acknowledged change while members fail and come back."""

import asyncio
import dataclasses
import pathlib
import signal
import threading
from collections import abc

import pytest

from bench import changes, cluster, faults, examples, web
from cranberryrill import clock, transport
from cranberryrill.certificates import roles
from cranberryrill.replication import replication_grpc, replication_pb2
from cranberryrill.state import commands_pb2

CHANGES = 120
MILLISECONDS_PER_SECOND = 1000
Verdict = replication_pb2.ProposeAnswer
SNAPSHOT_ENTRIES = 80
TAIL_ENTRIES = 20


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start three members whose links can fail."""
    network = faults.Network()
    folder = tmp_path_factory.mktemp('recovery')
    running = cluster.Cluster(folder, network=network)
    running.control_settings = {
        'snapshot_entries': SNAPSHOT_ENTRIES,
        'snapshot_tail_entries': TAIL_ENTRIES,
    }
    try:
        running.start_control()
        assert running.apply(examples.nivelar()).status == 200
        yield running
    finally:
        running.stop()
        network.close()


def link_faults(
    system: cluster.Cluster, member: str, fault: faults.Fault
) -> None:
    assert system.network is not None
    system.network.isolate(member, fault)


def check(system: cluster.Cluster, writer: changes.Writer) -> None:
    """Every member holds every change, and gives the first answers again."""
    for member in system.members:
        assert not writer.missing_changes_at(member)
    assert not writer.count_different_answers(system.members)


@dataclasses.dataclass(frozen=True)
class Woken:
    """Hold what a member that was frozen answers at once."""

    asked_at: float
    read: replication_pb2.ReadAnswer
    proposed: replication_pb2.ProposeAnswer

    @property
    def as_of(self) -> float:
        """Return up to when the member claims to know everything."""
        return self.asked_at - self.read.age_ms / MILLISECONDS_PER_SECOND


async def ask_woken(system: cluster.Cluster, member: str) -> Woken:
    """Ask for a proof of freshness and propose, past every other member."""
    files = system.tls['control'].items()
    paths = {name: pathlib.Path(path) for name, path in files}
    dialer = transport.Dialer(transport.TlsSettings(**paths))
    address = transport.Address('127.0.0.1', system.ports[member])
    channel = dialer.dial(address, roles.Role.control)
    stub = replication_grpc.ReplicationStub(channel)
    asked_at = clock.monotonic_seconds()
    command = commands_pb2.Command(noop=commands_pb2.Noop())
    try:
        read, proposed = await asyncio.gather(
            stub.Read(replication_pb2.ReadRequest()),
            stub.Propose(
                replication_pb2.ProposeRequest(
                    command=command.SerializeToString(),
                ),
            ),
        )
    finally:
        channel.close()
    return Woken(asked_at, read, proposed)


def test_leader_killed(system: cluster.Cluster) -> None:
    leader = system.leader()
    others = [one for one in system.members if one != leader]
    writer = changes.Writer(system, 'killed', [leader, *others])
    writer.start(CHANGES)
    writer.wait(CHANGES // 3)
    system.processes[leader].kill()
    writer.thread.join()
    assert len(writer.acknowledged) == CHANGES
    system.processes[leader].start()
    check(system, writer)


def test_leader_frozen(system: cluster.Cluster) -> None:
    leader = system.leader()
    others = [one for one in system.members if one != leader]
    writer = changes.Writer(system, 'frozen', others)
    system.processes[leader].send(signal.SIGSTOP)
    writer.submit(changes.Change('first-of-the-next-leader'))
    followed_at = clock.monotonic_seconds()
    writer.run(CHANGES)
    system.processes[leader].send(signal.SIGCONT)
    woken = asyncio.run(ask_woken(system, leader))
    assert woken.proposed.verdict != Verdict.COMMITTED
    assert not woken.read.known or woken.as_of < followed_at
    late = changes.Change('after-waking')
    revision = web.wait_until(
        lambda: changes.send(system, leader, late),
        'a change through the woken member',
    )
    assert revision > max(writer.acknowledged.values())
    assert len(writer.acknowledged) == CHANGES + 1
    check(system, writer)


def test_leader_cut_off_silently(system: cluster.Cluster) -> None:
    leader = system.leader()
    others = [one for one in system.members if one != leader]
    link_faults(system, leader, faults.Fault.blackhole)
    lone = changes.Change('through-the-minority')
    answers: list[int] = []
    asking = threading.Thread(
        target=lambda: answers.append(changes.send(system, leader, lone)),
    )
    asking.start()
    writer = changes.Writer(system, 'cut-off', others)
    writer.run(CHANGES)
    asking.join()
    assert answers == [0]
    # A member that can't prove its state shows none of it.
    assert changes.refusal_code_at(system, leader) == 'not_current'
    link_faults(system, leader, faults.Fault.none)
    assert len(writer.acknowledged) == CHANGES
    check(system, writer)
    installed = system.processes[leader].log.read_text()
    assert 'snapshot installed' in installed


def test_all_killed_and_restarted(system: cluster.Cluster) -> None:
    writer = changes.Writer(system, 'all', system.members)
    writer.run(CHANGES)
    for member in system.members:
        system.processes[member].kill()
    for member in system.members:
        system.processes[member].start()
    system.leader()
    check(system, writer)
    assert 'killed-0' in changes.key_names_at(system, system.members[0])

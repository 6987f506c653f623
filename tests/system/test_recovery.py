"""Lose no acknowledged change while control members fail and return."""

import asyncio
import dataclasses
import pathlib
import signal
import threading
from collections import abc

import pytest

from bench import changes, cluster, examples, faults, web
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
    """Start three control members with injectable link faults."""
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


def isolate(system: cluster.Cluster, member: str, fault: faults.Fault) -> None:
    assert system.network is not None
    system.network.isolate(member, fault)


def check_changes(system: cluster.Cluster, writer: changes.Writer) -> None:
    """Check that each member stores each change and repeats its answers."""
    for member in system.members:
        assert not writer.missing_changes_at(member)
    assert not writer.count_different_answers(system.members)


@dataclasses.dataclass(frozen=True)
class ResumedAnswers:
    """Answers of a member to calls made right after it was resumed.

    `sent_at` is the time before the calls, in monotonic seconds.
    """

    sent_at: float
    read: replication_pb2.ReadAnswer
    proposed: replication_pb2.ProposeAnswer

    @property
    def as_of(self) -> float:
        """Return the monotonic time as of which the read state is current."""
        return self.sent_at - self.read.age_ms / MILLISECONDS_PER_SECOND


async def call_resumed(system: cluster.Cluster, member: str) -> ResumedAnswers:
    """Call Read and Propose directly at one member.

    Read returns a proof of freshness; the proposal is a no-op.
    """
    files = system.tls['control'].items()
    paths = {name: pathlib.Path(path) for name, path in files}
    dialer = transport.Dialer(transport.TlsSettings(**paths))
    address = transport.Address('127.0.0.1', system.ports[member])
    channel = dialer.dial(address, roles.Role.control)
    stub = replication_grpc.ReplicationStub(channel)
    sent_at = clock.monotonic_seconds()
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
    return ResumedAnswers(sent_at, read, proposed)


def test_changes_survive_a_killed_leader(system: cluster.Cluster) -> None:
    leader = system.leader()
    others = [member for member in system.members if member != leader]
    writer = changes.Writer(system, 'killed', [leader, *others])
    writer.start(CHANGES)
    writer.wait(CHANGES // 3)
    system.processes[leader].kill()
    writer.thread.join()
    assert len(writer.acknowledged) == CHANGES
    system.processes[leader].start()
    check_changes(system, writer)


def test_suspended_leader_answers_nothing_stale(
    system: cluster.Cluster,
) -> None:
    leader = system.leader()
    others = [member for member in system.members if member != leader]
    writer = changes.Writer(system, 'frozen', others)
    system.processes[leader].send(signal.SIGSTOP)
    writer.submit(changes.Change('first-of-the-next-leader'))
    successor_committed_at = clock.monotonic_seconds()
    writer.run(CHANGES)
    system.processes[leader].send(signal.SIGCONT)
    answers = asyncio.run(call_resumed(system, leader))
    assert answers.proposed.verdict != Verdict.COMMITTED
    assert not answers.read.known or answers.as_of < successor_committed_at
    last_change = changes.Change('after-waking')
    revision = web.wait_until(
        lambda: changes.send(system, leader, last_change),
        'a change through the resumed member',
    )
    assert revision > max(writer.acknowledged.values())
    assert len(writer.acknowledged) == CHANGES + 1
    check_changes(system, writer)


def test_isolated_leader_commits_nothing(system: cluster.Cluster) -> None:
    leader = system.leader()
    others = [member for member in system.members if member != leader]
    isolate(system, leader, faults.Fault.blackhole)
    minority_change = changes.Change('through-the-minority')
    revisions: list[int] = []
    sender = threading.Thread(
        target=lambda: revisions.append(
            changes.send(system, leader, minority_change)
        ),
    )
    sender.start()
    writer = changes.Writer(system, 'cut-off', others)
    writer.run(CHANGES)
    sender.join()
    assert revisions == [0]
    # A member that can't prove that its state is current refuses reads.
    assert changes.refusal_code_at(system, leader) == 'not_current'
    isolate(system, leader, faults.Fault.none)
    assert len(writer.acknowledged) == CHANGES
    check_changes(system, writer)
    log_text = system.processes[leader].log.read_text()
    assert 'snapshot installed' in log_text


def test_changes_survive_the_kill_of_all_members(
    system: cluster.Cluster,
) -> None:
    writer = changes.Writer(system, 'all', system.members)
    writer.run(CHANGES)
    for member in system.members:
        system.processes[member].kill()
    for member in system.members:
        system.processes[member].start()
    system.leader()
    check_changes(system, writer)
    assert 'killed-0' in changes.key_names_at(system, system.members[0])

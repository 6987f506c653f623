"""Bring changes in force at every entry within seconds, and never go back.

An entry that can't prove that its configuration is current must refuse
requests: otherwise it could accept a withdrawn key.
"""

import http
import pathlib
import threading
import time
from collections import abc

import pytest

from bench import cluster, examples, faults, web
from cranberryrill.membership import timing

IN_FORCE_SECONDS = 7.0
ENTRIES = ('entry-0', 'entry-1')
CHANGES = 40


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start a system with injectable link faults."""
    folder: pathlib.Path = tmp_path_factory.mktemp('in-force')
    network = faults.Network()
    running = cluster.Cluster(folder, network=network)
    try:
        running.start_control()
        assert running.apply(examples.nivelar()).status == http.HTTPStatus.OK
        running.add_standin('engine', 'engine', model=examples.MODEL)
        running.add_agent('agent', 'engine', target=examples.MODEL)
        for entry in ENTRIES:
            running.add_entry(entry)
        for entry in ENTRIES:
            running.wait_ready(entry, agents=1)
        yield running
    finally:
        running.stop()
        network.close()


def list_models(system: cluster.Cluster, entry: str, key: str) -> web.Reply:
    return web.request(f'{system.entry_url(entry)}/v1/models', key=key)


def send_chat(system: cluster.Cluster, entry: str, key: str) -> web.Reply:
    body = {
        'model': examples.MODEL,
        'messages': [{'role': 'user', 'content': 'it wobbles'}],
        'max_tokens': 2,
    }
    url = f'{system.entry_url(entry)}/v1/chat/completions'
    return web.request(url, 'POST', body, key)


def wait_key_accepted(system: cluster.Cluster, entry: str, key: str) -> None:
    web.wait_until(
        lambda: list_models(system, entry, key).status == http.HTTPStatus.OK,
        f'{entry} to accept the key',
        IN_FORCE_SECONDS,
    )


def wait_current(system: cluster.Cluster, member: str) -> None:
    web.wait_until(
        lambda: (system.status(member) or {}).get('current'),
        f'{member} to be current',
    )


def wait_serving(system: cluster.Cluster, entry: str) -> None:
    web.wait_until(lambda: readiness(system, entry)[0], f'{entry} to be ready')


def readiness(system: cluster.Cluster, entry: str) -> tuple[bool, int]:
    """Return whether an entry is ready, and its revision.

    An entry that does not answer gives (False, 0).
    """
    try:
        reply = web.request(f'{system.entry_url(entry)}/readyz')
    except OSError:
        return False, 0
    return bool(reply.json()['ready']), int(reply.json()['revision'])


def issue_active_key(system: cluster.Cluster, name: str) -> str:
    """Issue a key and wait until each entry accepts it."""
    key = system.issue_key('clinics', name)
    for entry in ENTRIES:
        wait_key_accepted(system, entry, key)
    return key


def withdraw(
    system: cluster.Cluster,
    member: str,
    name: str,
) -> web.Reply | None:
    """Withdraw a key through a member; return None if that failed."""
    body = {'name': name, 'change_id': f'withdraw-{name}', 'wait': True}
    url = f'{system.admin_url(member)}/keys'
    try:
        reply = web.request(url, 'DELETE', body, cluster.TOKEN)
    except OSError:
        return None
    return reply if reply.status == http.HTTPStatus.OK else None


def current_revision(system: cluster.Cluster) -> int:
    url = f'{system.admin_url(system.leader())}/configuration'
    return int(web.request(url, key=cluster.TOKEN).json()['revision'])


def describe_members(system: cluster.Cluster) -> str:
    """Return the standing and term of each member that answers."""
    statuses = {member: system.status(member) for member in system.members}
    return ' '.join(
        f'{member}:{status["standing"]}:{status["term"]}'
        for member, status in statuses.items()
        if status
    )


def restore(system: cluster.Cluster) -> None:
    """End all link faults and wait until each member and entry is current."""
    assert system.network is not None
    system.network.apply(faults.Fault.none)
    system.leader()
    # A member that has just been started may not answer yet.
    for member in system.members:
        wait_current(system, member)
    for entry in ENTRIES:
        wait_serving(system, entry)


def test_key_is_withdrawn_while_the_leader_is_killed(
    system: cluster.Cluster,
) -> None:
    key = issue_active_key(system, 'lost-leader')
    leader = system.leader()
    other = next(member for member in system.members if member != leader)
    system.processes[leader].kill()
    started = time.monotonic()
    web.wait_until(
        lambda: withdraw(system, other, 'lost-leader'),
        'the withdrawal to be accepted',
        20,
    )
    in_force = time.monotonic()
    for entry in ENTRIES:
        assert list_models(system, entry, key).status != http.HTTPStatus.OK
    system.processes[leader].start()
    restore(system)
    assert in_force - started < 20


def test_isolated_entry_refuses_requests(system: cluster.Cluster) -> None:
    key = issue_active_key(system, 'cut-off')
    assert system.network is not None
    system.network.apply(faults.Fault.blackhole, source='entry-1')
    sent_at = time.monotonic()
    reply = withdraw(system, system.leader(), 'cut-off')
    waited = time.monotonic() - sent_at
    runs_before = len(system.ledger('engine'))
    refused = send_chat(system, 'entry-1', key)
    entry_ready = readiness(system, 'entry-1')[0]
    runs_after = len(system.ledger('engine'))
    restore(system)
    assert reply is not None
    assert waited < IN_FORCE_SECONDS
    assert refused.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    assert refused.json()['error']['code'] == 'not_serving'
    assert refused.json()['error']['ran'] == 'no'
    assert not entry_ready
    assert runs_after == runs_before


def test_entries_stay_ready_beside_an_isolated_follower(
    system: cluster.Cluster,
) -> None:
    leader = system.leader()
    assert system.network is not None
    followers = [member for member in system.members if member != leader]
    for follower in followers:
        for other in system.members:
            system.network.apply(faults.Fault.blackhole, follower, other)
            system.network.apply(faults.Fault.blackhole, other, follower)
        started = time.monotonic()
        deadline = started + timing.SERVING_LEASE_SECONDS + 2
        # Each time an entry was not ready: seconds, entry, member states.
        lapses: list[tuple[float, str, str]] = []
        while time.monotonic() < deadline:
            lapses.extend(
                (time.monotonic() - started, entry, describe_members(system))
                for entry in ENTRIES
                if not readiness(system, entry)[0]
            )
            time.sleep(web.POLL_SECONDS)
        url = f'{system.admin_url(follower)}/configuration'
        answer = web.request(url, key=cluster.TOKEN)
        status = system.status(follower)
        restore(system)
        assert not lapses, (follower, leader)
        assert answer.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        assert answer.json()['error']['code'] == 'not_current'
        assert status is not None
        assert not status['current']


class Watcher(threading.Thread):
    """Record each time an entry serves an older revision than before."""

    def __init__(self, system: cluster.Cluster, entry: str) -> None:
        super().__init__()
        self.system = system
        self.entry = entry
        self.stopping = threading.Event()
        # The newest revision known to be in force at every entry.
        self.in_force = 0
        self.reversions: list[tuple[int, int]] = []
        self.last_revision = 0

    def run(self) -> None:
        while not self.stopping.is_set():
            minimum = max(self.in_force, self.last_revision)
            is_ready, revision = readiness(self.system, self.entry)
            if is_ready and revision < minimum:
                self.reversions.append((minimum, revision))
            if is_ready:
                self.last_revision = revision


def test_revision_never_reverts_over_a_restart(system: cluster.Cluster) -> None:
    watchers = [Watcher(system, entry) for entry in ENTRIES]
    for watcher in watchers:
        watcher.start()
    revision = current_revision(system)
    for change in range(CHANGES):
        if change == CHANGES // 2:
            system.processes['entry-1'].kill()
            system.processes['entry-1'].start()
        member = system.members[change % len(system.members)]
        is_awaited = change in {CHANGES // 4, CHANGES // 2, CHANGES - 1}
        reply = system.apply(
            examples.nivelar(),
            member,
            base_revision=revision,
            wait=is_awaited,
        )
        assert reply.status == http.HTTPStatus.OK
        revision = int(reply.json()['revision'])
        for watcher in watchers:
            if is_awaited:
                watcher.in_force = revision
    restore(system)
    for watcher in watchers:
        watcher.stopping.set()
        watcher.join()
    assert [watcher.reversions for watcher in watchers] == [[], []]
    assert [watcher.last_revision for watcher in watchers] == [
        revision,
        revision,
    ]

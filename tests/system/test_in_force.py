"""Put changes in force everywhere within seconds, and never go back."""

import http
import pathlib
import threading
import time
from collections import abc

import pytest

from bench import cluster, faults, examples, web
from cranberryrill.membership import timing

IN_FORCE_SECONDS = 7.0
ENTRIES = ('entry-0', 'entry-1')
CHANGES = 40


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start a system whose connections can fail."""
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


def models(system: cluster.Cluster, entry: str, key: str) -> web.Reply:
    return web.request(f'{system.entry_url(entry)}/v1/models', key=key)


def chat(system: cluster.Cluster, entry: str, key: str) -> web.Reply:
    body = {
        'model': examples.MODEL,
        'messages': [{'role': 'user', 'content': 'it wobbles'}],
        'max_tokens': 2,
    }
    url = f'{system.entry_url(entry)}/v1/chat/completions'
    return web.request(url, 'POST', body, key)


def wait_known(system: cluster.Cluster, entry: str, key: str) -> None:
    web.wait_until(
        lambda: models(system, entry, key).status == http.HTTPStatus.OK,
        f'{entry} knows the key',
        IN_FORCE_SECONDS,
    )


def wait_current(system: cluster.Cluster, member: str) -> None:
    web.wait_until(
        lambda: (system.status(member) or {}).get('current'),
        f'{member} is current',
    )


def wait_serving(system: cluster.Cluster, entry: str) -> None:
    web.wait_until(lambda: ready(system, entry)[0], f'{entry} is ready')


def ready(system: cluster.Cluster, entry: str) -> tuple[bool, int]:
    try:
        reply = web.request(f'{system.entry_url(entry)}/readyz')
    except OSError:
        return False, 0
    return bool(reply.json()['ready']), int(reply.json()['revision'])


def issue(system: cluster.Cluster, name: str) -> str:
    key = system.issue_key('clinics', name)
    for entry in ENTRIES:
        wait_known(system, entry, key)
    return key


def withdraw(
    system: cluster.Cluster,
    member: str,
    name: str,
) -> web.Reply | None:
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


def leading(system: cluster.Cluster) -> str:
    known = {member: system.status(member) for member in system.members}
    return ' '.join(
        f'{member}:{status["standing"]}:{status["term"]}'
        for member, status in known.items()
        if status
    )


def settle(system: cluster.Cluster) -> None:
    assert system.network is not None
    system.network.apply(faults.Fault.none)
    system.leader()
    # A member that was just started may not answer yet.
    for member in system.members:
        wait_current(system, member)
    for entry in ENTRIES:
        wait_serving(system, entry)


def test_withdrawn_as_leader_is_killed(system: cluster.Cluster) -> None:
    key = issue(system, 'lost-leader')
    leader = system.leader()
    other = next(one for one in system.members if one != leader)
    system.processes[leader].kill()
    started = time.monotonic()
    web.wait_until(
        lambda: withdraw(system, other, 'lost-leader'),
        'the withdrawal is accepted',
        20,
    )
    in_force = time.monotonic()
    for entry in ENTRIES:
        assert models(system, entry, key).status != http.HTTPStatus.OK
    system.processes[leader].start()
    settle(system)
    assert in_force - started < 20


def test_cut_off_entry_refuses(system: cluster.Cluster) -> None:
    key = issue(system, 'cut-off')
    assert system.network is not None
    system.network.apply(faults.Fault.blackhole, source='entry-1')
    accepted_from = time.monotonic()
    reply = withdraw(system, system.leader(), 'cut-off')
    waited = time.monotonic() - accepted_from
    served = len(system.ledger('engine'))
    refused = chat(system, 'entry-1', key)
    is_ready = ready(system, 'entry-1')[0]
    ran = len(system.ledger('engine'))
    settle(system)
    assert reply is not None
    assert waited < IN_FORCE_SECONDS
    assert refused.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    assert refused.json()['error']['code'] == 'not_serving'
    assert refused.json()['error']['ran'] == 'no'
    assert not is_ready
    assert ran == served


def test_freshness_gets_around_a_minority_member(
    system: cluster.Cluster,
) -> None:
    leader = system.leader()
    assert system.network is not None
    followers = [one for one in system.members if one != leader]
    for follower in followers:
        for other in system.members:
            system.network.apply(faults.Fault.blackhole, follower, other)
            system.network.apply(faults.Fault.blackhole, other, follower)
        begun = time.monotonic()
        until = begun + timing.SERVING_LEASE_SECONDS + 2
        # When an entry was unready, and who led then.
        lapses: list[tuple[float, str, str]] = []
        while time.monotonic() < until:
            lapses.extend(
                (time.monotonic() - begun, entry, leading(system))
                for entry in ENTRIES
                if not ready(system, entry)[0]
            )
            time.sleep(web.POLL_SECONDS)
        url = f'{system.admin_url(follower)}/configuration'
        answer = web.request(url, key=cluster.TOKEN)
        status = system.status(follower)
        settle(system)
        assert not lapses, (follower, leader)
        assert answer.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        assert answer.json()['error']['code'] == 'not_current'
        assert status is not None
        assert not status['current']


class Watcher(threading.Thread):
    """Note each time an entry is seen to serve an older revision."""

    def __init__(self, system: cluster.Cluster, entry: str) -> None:
        super().__init__()
        self.system = system
        self.entry = entry
        self.stopping = threading.Event()
        # The newest revision that is known to be in force everywhere.
        self.in_force = 0
        self.reversions: list[tuple[int, int]] = []
        self.seen = 0

    def run(self) -> None:
        while not self.stopping.is_set():
            least = max(self.in_force, self.seen)
            is_ready, revision = ready(self.system, self.entry)
            if is_ready and revision < least:
                self.reversions.append((least, revision))
            if is_ready:
                self.seen = revision


def test_never_reverts_over_a_restart(system: cluster.Cluster) -> None:
    watchers = [Watcher(system, entry) for entry in ENTRIES]
    for watcher in watchers:
        watcher.start()
    revision = current_revision(system)
    for change in range(CHANGES):
        if change == CHANGES // 2:
            system.processes['entry-1'].kill()
            system.processes['entry-1'].start()
        member = system.members[change % len(system.members)]
        waits = change in {CHANGES // 4, CHANGES // 2, CHANGES - 1}
        reply = system.apply(
            examples.nivelar(),
            member,
            base_revision=revision,
            wait=waits,
        )
        assert reply.status == http.HTTPStatus.OK
        revision = int(reply.json()['revision'])
        for watcher in watchers:
            if waits:
                watcher.in_force = revision
    settle(system)
    for watcher in watchers:
        watcher.stopping.set()
        watcher.join()
    assert [watcher.reversions for watcher in watchers] == [[], []]
    assert [watcher.seen for watcher in watchers] == [revision, revision]

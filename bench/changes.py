"""Make many small changes through the members, and check that they stay."""

import dataclasses
import hashlib
import http
import threading
import time
import typing
from collections import abc

from bench import cluster, web

ORGANISATION = 'installers'
CHANGE_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(frozen=True)
class Change:
    """One key to issue, under an identifier of its own."""

    name: str

    @property
    def body(self) -> dict[str, typing.Any]:
        """Return what is sent, however often."""
        digest = hashlib.sha256(self.name.encode()).hexdigest()
        return {
            'name': self.name,
            'organisation': ORGANISATION,
            'change_id': self.name,
            'sha256': digest,
        }


def send(system: cluster.Cluster, member: str, change: Change) -> int:
    """Send a change through one member; return its revision, or 0."""
    url = f'{system.admin_url(member)}/keys'
    try:
        reply = web.request(url, 'POST', change.body, cluster.TOKEN)
    except OSError:
        return 0
    return int(reply.json()['revision']) if reply.status == 200 else 0


def key_names_at(system: cluster.Cluster, member: str) -> set[str]:
    """Return the names of the keys that a member knows."""
    url = f'{system.admin_url(member)}/keys'
    listed = web.request(url, key=cluster.TOKEN).json()['keys']
    return {str(key['name']) for key in listed}


def refusal_code_at(system: cluster.Cluster, member: str) -> str:
    """Return the code with which a member refuses to list the keys."""
    reply = web.request(f'{system.admin_url(member)}/keys', key=cluster.TOKEN)
    refused = reply.status != http.HTTPStatus.OK
    return str(reply.json()['error']['code']) if refused else ''


class Writer:
    """Make changes one after another until each is acknowledged.

    A change without an answer is sent again through the next member.
    """

    def __init__(
        self,
        system: cluster.Cluster,
        prefix: str,
        members: abc.Sequence[str],
    ) -> None:
        self.system = system
        self.prefix = prefix
        self.members = list(members)
        self.acknowledged: dict[Change, int] = {}
        self.retries = 0
        self.slowest_seconds = 0.0
        self.thread = threading.Thread(target=lambda: None)

    def run(self, count: int) -> None:
        """Make `count` changes."""
        for number in range(count):
            self.submit(Change(f'{self.prefix}-{number}'))

    def start(self, count: int) -> None:
        """Make `count` changes on a thread."""
        self.thread = threading.Thread(target=self.run, args=(count,))
        self.thread.start()

    def submit(self, change: Change) -> None:
        """Send one change until it is acknowledged."""
        began = time.monotonic()
        while time.monotonic() < began + CHANGE_TIMEOUT_SECONDS:
            revision = send(self.system, self.members[0], change)
            if revision:
                self.acknowledged[change] = revision
                break
            self.retries += 1
            self.members.append(self.members.pop(0))
        taken = time.monotonic() - began
        self.slowest_seconds = max(self.slowest_seconds, taken)

    def wait(self, count: int) -> None:
        """Wait until `count` changes are acknowledged."""
        web.wait_until(
            lambda: len(self.acknowledged) >= count,
            f'{count} changes',
            CHANGE_TIMEOUT_SECONDS,
        )

    def missing_changes_at(self, member: str) -> set[str]:
        """Return the acknowledged changes that a member does not hold."""
        wanted = {change.name for change in self.acknowledged}
        newest = max(self.acknowledged.values(), default=0)
        web.wait_until(
            lambda: revision_at(self.system, member) >= newest,
            f'{member} at revision {newest}',
        )
        return wanted - key_names_at(self.system, member)

    def count_different_answers(self, through: abc.Sequence[str]) -> int:
        """Send every change again; count the answers that differ."""
        differing = 0
        for number, change in enumerate(self.acknowledged):
            member = through[number % len(through)]
            revision = send(self.system, member, change)
            differing += revision != self.acknowledged[change]
        return differing


def revision_at(system: cluster.Cluster, member: str) -> int:
    """Return the revision in force at a member; 0 if it does not answer."""
    status = system.status(member)
    return int(status['revision']) if status else 0

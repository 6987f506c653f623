"""Submit small changes to control members and check that none is lost."""

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
    """Issue of one key; its name is also its change identifier."""

    name: str

    @property
    def body(self) -> dict[str, typing.Any]:
        """Return the request body, which is the same for every attempt."""
        digest = hashlib.sha256(self.name.encode()).hexdigest()
        return {
            'name': self.name,
            'organisation': ORGANISATION,
            'change_id': self.name,
            'sha256': digest,
        }


def send(system: cluster.Cluster, member: str, change: Change) -> int:
    """Send a change to one member.

    Return its revision; 0 when the member refuses or does not answer.
    """
    url = f'{system.admin_url(member)}/keys'
    try:
        reply = web.request(url, 'POST', change.body, cluster.TOKEN)
    except OSError:
        return 0
    return int(reply.json()['revision']) if reply.status == 200 else 0


def key_names_at(system: cluster.Cluster, member: str) -> set[str]:
    """Return the names of the keys that a member lists."""
    url = f'{system.admin_url(member)}/keys'
    listed = web.request(url, key=cluster.TOKEN).json()['keys']
    return {str(key['name']) for key in listed}


def refusal_code_at(system: cluster.Cluster, member: str) -> str:
    """Return the error code of a refusal to list the keys; '' for none."""
    reply = web.request(f'{system.admin_url(member)}/keys', key=cluster.TOKEN)
    refused = reply.status != http.HTTPStatus.OK
    return str(reply.json()['error']['code']) if refused else ''


class Writer:
    """Submitter of changes, one after another.

    A change that is refused or not answered is sent again to the next member.
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
        """Submit `count` changes."""
        for number in range(count):
            self.submit(Change(f'{self.prefix}-{number}'))

    def start(self, count: int) -> None:
        """Submit `count` changes in a background thread."""
        self.thread = threading.Thread(target=self.run, args=(count,))
        self.thread.start()

    def submit(self, change: Change) -> None:
        """Send one change until it is acknowledged or the timeout passes."""
        started = time.monotonic()
        while time.monotonic() < started + CHANGE_TIMEOUT_SECONDS:
            revision = send(self.system, self.members[0], change)
            if revision:
                self.acknowledged[change] = revision
                break
            self.retries += 1
            self.members.append(self.members.pop(0))
        elapsed = time.monotonic() - started
        self.slowest_seconds = max(self.slowest_seconds, elapsed)

    def wait(self, count: int) -> None:
        """Wait until `count` changes are acknowledged."""
        web.wait_until(
            lambda: len(self.acknowledged) >= count,
            f'{count} changes',
            CHANGE_TIMEOUT_SECONDS,
        )

    def missing_changes_at(self, member: str) -> set[str]:
        """Return the names of acknowledged keys that a member does not list.

        Wait first until the member has the newest acknowledged revision.
        """
        names = {change.name for change in self.acknowledged}
        newest = max(self.acknowledged.values(), default=0)
        web.wait_until(
            lambda: revision_at(self.system, member) >= newest,
            f'{member} at revision {newest}',
        )
        return names - key_names_at(self.system, member)

    def count_different_answers(self, members: abc.Sequence[str]) -> int:
        """Send every acknowledged change again, to the members in turn.

        Return how many answers have another revision than the first one.
        """
        differing = 0
        for number, change in enumerate(self.acknowledged):
            member = members[number % len(members)]
            revision = send(self.system, member, change)
            differing += revision != self.acknowledged[change]
        return differing


def revision_at(system: cluster.Cluster, member: str) -> int:
    """Return the revision in force at a member; 0 without an answer."""
    status = system.status(member)
    return int(status['revision']) if status else 0

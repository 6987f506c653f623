"""Keep what callers, the operator and upstreams saw, and judge it."""

import collections
import dataclasses
import typing

from standins import fleet as outside

OK = 200
PROMISED_NOT_RUN = frozenset((408, 421, 429, 503))
ORDER = 'o-'
# Sent with a key whose withdrawal was acknowledged long enough before.
WITHDRAWN = 'w-'
REVOCATION_SECONDS = 5.0
EVENTS = 4
LEAST_OVERDUE = 8
OVERDUE_SHARE = 0.25


@dataclasses.dataclass
class Ledger:
    """Hold what was seen from outside."""

    answers: dict[str, int] = dataclasses.field(default_factory=dict)
    broken: list[str] = dataclasses.field(default_factory=list)
    acknowledged: int = 0
    # When the withdrawal of each key was acknowledged, monotonic.
    withdrawn_at: dict[str, float] = dataclasses.field(default_factory=dict)
    # Requests at entries in good health that lasted to their deadline.
    long_lasting: int = 0
    overdue: int = 0
    faults: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )

    def note_read(self, version: int, promised: int) -> None:
        """Compare a read of the configuration with what was promised."""
        if version < promised:
            self.broken.append(f'read {version} after {promised}')

    def note_stream(self, attempt: str, body: bytes) -> None:
        """Check the events of a stream that ended well."""
        lines = body.split(b'\n')
        pieces = [line for line in lines if line.startswith(b'id:')]
        wanted = [b'id: %d' % (number + 1) for number in range(EVENTS)]
        if pieces != wanted:
            self.broken.append(f'{attempt}: events {pieces}')

    def stale_keys(self, now: float) -> list[str]:
        """Return the keys that no request may run under any more."""
        return [
            key
            for key, at in self.withdrawn_at.items()
            if now - at > REVOCATION_SECONDS
        ]

    def judge(
        self,
        replicas: typing.Iterable[outside.Replica],
        reports: outside.UsageReportServer,
    ) -> None:
        """Compare what callers were told with what upstreams did."""
        ran = collections.Counter[str]()
        for replica in replicas:
            ran.update(one.attempt_id for one in replica.handled_requests)
            self._judge_replica(replica)
        for attempt, times in ran.items():
            self._judge_run(attempt, times)
        for window, taken in reports.received.items():
            self._judge_window(window, taken)
        if self.overdue >= LEAST_OVERDUE:
            if self.overdue > self.long_lasting * OVERDUE_SHARE:
                self.broken.append(f'{self.overdue} answers after deadlines')

    def _judge_replica(self, replica: outside.Replica) -> None:
        if replica.received_keys:
            self.broken.append(f'{replica.name} saw a key')
        strangers = {one.organisation for one in replica.handled_requests} - {
            'tenant-1'
        }
        if strangers:
            self.broken.append(f'{replica.name} ran for {strangers}')

    def _judge_run(self, attempt: str, times: int) -> None:
        if attempt.startswith(WITHDRAWN):
            self.broken.append(f'{attempt} ran with a withdrawn key')
        if not attempt.startswith(ORDER):
            return
        if times > 1:
            self.broken.append(f'{attempt} ran {times} times')
        status = self.answers.get(attempt)
        if status in PROMISED_NOT_RUN:
            self.broken.append(f'{attempt} got {status} and ran')

    def _judge_window(
        self,
        window: int,
        taken: list[outside.UsageReport],
    ) -> None:
        figures = {str(report.counts) for report in taken}
        if len(figures) > 1:
            self.broken.append(f'window {window}: {figures}')
        holders: dict[int, set[str]] = collections.defaultdict(set)
        for report in taken:
            holders[report.fencing].add(report.holder)
        shared: list[typing.Any] = [
            names for names in holders.values() if len(names) > 1
        ]
        if shared:
            self.broken.append(f'window {window}: one number of {shared}')

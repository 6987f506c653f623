"""Keep what callers, the operator and upstreams saw, and judge it."""

import collections
import dataclasses
import typing

from standins import fleet as outside

OK = 200
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
ORDER_PREFIX = 'o-'
# Sent with a key whose withdrawal was acknowledged long enough before.
WITHDRAWN_PREFIX = 'w-'
REVOCATION_SECONDS = 5.0
STREAM_EVENTS = 4
MIN_LATE_ANSWERS = 8
MAX_LATE_SHARE = 0.25


@dataclasses.dataclass
class Ledger:
    """Hold what was seen from outside."""

    status_by_attempt: dict[str, int] = dataclasses.field(default_factory=dict)
    violations: list[str] = dataclasses.field(default_factory=list)
    acknowledged_version: int = 0
    # When the withdrawal of each key was acknowledged, monotonic.
    withdrawn_at: dict[str, float] = dataclasses.field(default_factory=dict)
    # Requests at entries in good health that lasted to their deadline.
    deadline_requests: int = 0
    late_answers: int = 0
    fault_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )

    def check_read(self, version: int, promised: int) -> None:
        """Compare a read of the configuration with what was promised."""
        if version < promised:
            self.violations.append(f'read {version} after {promised}')

    def check_stream(self, attempt: str, body: bytes) -> None:
        """Check the events of a stream that ended well."""
        lines = body.split(b'\n')
        pieces = [line for line in lines if line.startswith(b'id:')]
        wanted = [b'id: %d' % (number + 1) for number in range(STREAM_EVENTS)]
        if pieces != wanted:
            self.violations.append(f'{attempt}: events {pieces}')

    def stale_keys(self, now: float) -> list[str]:
        """Return the keys that no request may run under any more."""
        return [
            key
            for key, at in self.withdrawn_at.items()
            if now - at > REVOCATION_SECONDS
        ]

    def check(
        self,
        replicas: typing.Iterable[outside.Replica],
        reports: outside.UsageReportServer,
    ) -> None:
        """Compare what callers were told with what upstreams did."""
        ran = collections.Counter[str]()
        for replica in replicas:
            ran.update(one.attempt_id for one in replica.handled_requests)
            self._check_replica(replica)
        for attempt, times in ran.items():
            self._check_attempt(attempt, times)
        for window, taken in reports.received.items():
            self._check_window(window, taken)
        if self.late_answers >= MIN_LATE_ANSWERS:
            if self.late_answers > self.deadline_requests * MAX_LATE_SHARE:
                self.violations.append(
                    f'{self.late_answers} answers after deadlines'
                )

    def _check_replica(self, replica: outside.Replica) -> None:
        if replica.received_keys:
            self.violations.append(f'{replica.name} saw a key')
        strangers = {one.organisation for one in replica.handled_requests} - {
            'tenant-1'
        }
        if strangers:
            self.violations.append(f'{replica.name} ran for {strangers}')

    def _check_attempt(self, attempt: str, times: int) -> None:
        if attempt.startswith(WITHDRAWN_PREFIX):
            self.violations.append(f'{attempt} ran with a withdrawn key')
        if not attempt.startswith(ORDER_PREFIX):
            return
        if times > 1:
            self.violations.append(f'{attempt} ran {times} times')
        status = self.status_by_attempt.get(attempt)
        if status in NOT_RUN_STATUSES:
            self.violations.append(f'{attempt} got {status} and ran')

    def _check_window(
        self,
        window: int,
        taken: list[outside.UsageReport],
    ) -> None:
        figures = {str(report.counts) for report in taken}
        if len(figures) > 1:
            self.violations.append(f'window {window}: {figures}')
        holders: dict[int, set[str]] = collections.defaultdict(set)
        for report in taken:
            holders[report.fencing].add(report.holder)
        shared: list[typing.Any] = [
            names for names in holders.values() if len(names) > 1
        ]
        if shared:
            self.violations.append(f'window {window}: one number of {shared}')

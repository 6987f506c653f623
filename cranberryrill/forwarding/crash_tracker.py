"""Find out under which prompt parts and requests upstreams have ended.

A lost connection alone is no evidence: upstreams also reset single connections.
After one, the tracker checks whether the upstream still accepts connections,
and until it does not, or another incarnation registers at its address, the loss
counts for nothing.
"""

import asyncio
import collections
import dataclasses
import logging
from collections import abc as collection_types

from cranberryrill import clock, tasks
from cranberryrill.forwarding import admission, caller_request, upstreams
from cranberryrill.quarantine import ledger, records, request_key

LOGGER = logging.getLogger(__name__)
# An upstream ends as it begins to run a fatal request. One that has been
# responding for this long survives the request.
SURVIVAL_SECONDS = 1.0
# An upstream that accepts no connection for this long has ended.
PROBE_TIMEOUT_SECONDS = 0.5
# Time for another incarnation to register at the address of one that has ended.
CONFIRMATION_SECONDS = 10.0
CHECK_PERIOD_SECONDS = 0.2
# The body of a request that no evidence is on is hashed up to this size, which
# takes a few microseconds.
MAX_HASHED_BYTES = 4096
# Bounds on what is remembered, whatever callers send.
MAX_KNOWN_PARTS = 4096
MAX_KNOWN_REQUESTS = 4096
MAX_PARTS_PER_REQUEST = 32
MAX_LOSSES = 512


@dataclasses.dataclass(frozen=True)
class Loss:
    """Connection of a request that an upstream lost early in its response.

    `parts` are the keys of its prompt parts, in order.
    """

    parts: tuple[str, ...]
    request_key: str
    lost_at: float


@dataclasses.dataclass(frozen=True)
class StartedResponse:
    """Response whose upstream has yet to survive it."""

    upstream: upstreams.Upstream
    keys: tuple[str, ...]
    started_at: float


class KnownCompletions:
    """When an upstream last survived a response, by key, bounded in number."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        # Oldest first.
        self.at: collections.OrderedDict[str, float] = collections.OrderedDict()

    def record(self, key: str, now: float) -> None:
        """Record a survived response."""
        self.at[key] = now
        self.at.move_to_end(key)
        if len(self.at) > self.limit:
            self.at.popitem(last=False)


class CrashTracker:
    """Record crashes of upstreams, and survived responses, in the ledger.

    `on_evidence` is called when the ledger has something to share.
    """

    def __init__(
        self,
        evidence: ledger.Ledger,
        on_evidence: collection_types.Callable[[], None],
    ) -> None:
        self.evidence = evidence
        self.on_evidence = on_evidence
        self.group = tasks.TaskGroup()
        # Losses that are not confirmed yet, by upstream.
        self.losses: dict[upstreams.Upstream, list[Loss]] = {}
        # Upstreams whose probe has not ended yet.
        self.probed: set[upstreams.Upstream] = set()
        # The ledger's change number when it was last examined.
        self.examined_change = 0
        # Responses that are not survived yet, oldest first, by their exchange.
        self.responses: dict[object, StartedResponse] = {}
        # When an upstream last survived a response to a part or a request.
        self.completed_parts = KnownCompletions(MAX_KNOWN_PARTS)
        self.completed_requests = KnownCompletions(MAX_KNOWN_REQUESTS)

    async def run(self) -> None:
        """Examine the evidence periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_SECONDS)
            self.examine(clock.monotonic_seconds())

    def quarantined_key(
        self, admitted: admission.Admitted, now: float
    ) -> str | None:
        """Return the key for which a request is quarantined, or None.

        The request is to be refused, which prolongs the quarantine.
        """
        key = self.evidence.quarantined_key(self._suspected_keys(admitted))
        if key is not None:
            self.evidence.record_refusal(key, now)
        return key

    def may_crash_upstreams(self, admitted: admission.Admitted) -> bool:
        """Return whether a request or a part of it is suspected of crashes."""
        return self.evidence.may_be_fatal(self._suspected_keys(admitted))

    def record_start(
        self,
        handle: object,
        upstream: upstreams.Upstream,
        admitted: admission.Admitted,
        now: float,
    ) -> None:
        """Record that an upstream has begun to respond to a request.

        `handle` identifies the exchange.
        """
        keys = self._suspected_keys(admitted)
        is_small = len(admitted.request.body) <= MAX_HASHED_BYTES
        if is_small and admitted.full_key not in keys:
            keys = (*keys, admitted.full_key)
        if keys:
            self.responses[handle] = StartedResponse(upstream, keys, now)

    def forget_start(self, handle: object) -> None:
        """Forget a response whose end this process won't see."""
        self.responses.pop(handle, None)

    def record_loss(
        self,
        upstream: upstreams.Upstream,
        admitted: admission.Admitted,
        responding_since: float | None,
        now: float,
        *,
        is_certain: bool = True,
    ) -> None:
        """Record that an upstream may have ended under a request.

        With `is_certain`, it has not responded as a running one does, and is
        probed. Else the loss counts only if others show that it has ended.
        """
        if is_certain:
            upstream.lost_connection_at = now
        if responding_since is not None:
            if now >= responding_since + SURVIVAL_SECONDS:
                return
        losses = self.losses.setdefault(upstream, [])
        if len(losses) < MAX_LOSSES:
            parts = shared_part_keys(admitted.metadata)
            losses.append(Loss(parts, admitted.full_key, now))
        if is_certain and upstream not in self.probed:
            self.probed.add(upstream)
            self.group.start(
                self._probe(upstream, now), f'probe of {upstream.id}'
            )

    def record_unreachable(
        self, upstream: upstreams.Upstream, now: float
    ) -> None:
        """Record that an upstream accepts no connection."""
        self.confirm(upstream, now - SURVIVAL_SECONDS, now)

    def confirm(
        self, upstream: upstreams.Upstream, since: float, now: float
    ) -> None:
        """Count the losses since a time as evidence: the upstream ended."""
        losses = [
            loss
            for loss in self.losses.pop(upstream, [])
            if loss.lost_at >= since
        ]
        for loss in losses:
            upstream.lost_connection_at = max(
                upstream.lost_connection_at, loss.lost_at
            )
            for position, key in (
                *enumerate(loss.parts),
                (0, loss.request_key),
            ):
                self.evidence.record_crash(
                    key,
                    records.Crash(
                        upstream.incarnation,
                        loss.lost_at,
                        position,
                    ),
                    self._completed(key).at.get(key, records.NEVER),
                )
        if losses:
            LOGGER.info(
                'upstream crashed',
                extra={'upstream': upstream.id, 'requests': len(losses)},
            )
            self.evidence.quarantine(now)
            self.on_evidence()

    def confirm_replaced(
        self,
        current: collection_types.Collection[upstreams.Upstream],
        now: float,
    ) -> None:
        """Confirm the losses of upstreams that another one has replaced."""
        for upstream in list(self.losses):
            if any(is_replacement(upstream, other) for other in current):
                self.confirm(upstream, records.NEVER, now)

    def examine(self, now: float) -> None:
        """Record survived responses, and drop what is out of date."""
        change_number = self.evidence.change_number
        for handle, response in list(self.responses.items()):
            if now < response.started_at + SURVIVAL_SECONDS:
                break
            del self.responses[handle]
            self._record_survived(response, now)
        self._drop_unconfirmed(now)
        self.evidence.expire(now)
        if self.evidence.change_number != self.examined_change:
            self.evidence.recall_completions(self.completed_parts.at)
            self.evidence.recall_completions(self.completed_requests.at)
            self.evidence.quarantine(now)
            self.examined_change = self.evidence.change_number
        if self.evidence.change_number != change_number:
            self.on_evidence()

    def _suspected_keys(self, admitted: admission.Admitted) -> tuple[str, ...]:
        """Return the keys under which there may be evidence on a request.

        Its body is hashed only if there is some on a request with its head.
        """
        parts = shared_part_keys(admitted.metadata)
        heads = self.evidence.request_heads
        if heads and admitted.head_key in heads:
            return (*parts, admitted.full_key)
        return parts

    def _drop_unconfirmed(self, now: float) -> None:
        oldest = now - CONFIRMATION_SECONDS
        for upstream, losses in list(self.losses.items()):
            recent = [loss for loss in losses if loss.lost_at > oldest]
            if recent:
                self.losses[upstream] = recent
            else:
                del self.losses[upstream]

    def _record_survived(self, response: StartedResponse, now: float) -> None:
        upstream = response.upstream
        if upstream.lost_connection_at >= response.started_at:
            return
        is_suspected = any(
            key in self.evidence.records for key in response.keys
        )
        if is_suspected and self.evidence.names_crash_of(upstream.incarnation):
            # Other processes saw it end.
            return
        for key in response.keys:
            self._completed(key).record(key, now)
            self.evidence.record_completion(key, now)

    def _completed(self, key: str) -> 'KnownCompletions':
        if request_key.is_request(key):
            return self.completed_requests
        return self.completed_parts

    async def _probe(
        self, upstream: upstreams.Upstream, lost_at: float
    ) -> None:
        """Confirm the losses around `lost_at` if an upstream has ended."""
        registration = upstream.registration
        try:
            is_alive = await accepts_connections(
                registration.host, registration.port
            )
        finally:
            self.probed.discard(upstream)
        if not is_alive:
            self.confirm(
                upstream,
                lost_at - SURVIVAL_SECONDS,
                clock.monotonic_seconds(),
            )


def shared_part_keys(metadata: caller_request.Metadata) -> tuple[str, ...]:
    """Return the keys of the parts that a request may share with others."""
    return tuple(
        records.part_key(part)
        for part in metadata.shared_parts[:MAX_PARTS_PER_REQUEST]
    )


def is_replacement(
    upstream: upstreams.Upstream, other: upstreams.Upstream
) -> bool:
    """Return whether `other` started later, at the address or id of another."""
    one, two = upstream.registration, other.registration
    same_address = (one.host, one.port) == (two.host, two.port)
    return (same_address or one.id == two.id) and (
        two.started_unix_ms > one.started_unix_ms
    )


async def accepts_connections(host: str, port: int) -> bool:
    """Return whether a process at an address accepts a connection in time."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, port)
    except OSError as error:
        LOGGER.info(
            'upstream accepts no connection',
            extra={
                'address': f'{host}:{port}',
                'cause': str(error) or type(error).__name__,
            },
        )
        return False
    writer.close()
    return True

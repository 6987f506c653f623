"""Exchange the load that each entry has placed on upstreams.

Entries place requests on the same upstreams at the same time, and the load
that upstreams report is out of date by then. The load placed by other entries
is known within a few tens of milliseconds.
"""

import asyncio
import collections
import logging
import math
from collections import abc as collection_types

from grpclib import server

from cranberryrill import clock, tasks, transport
from cranberryrill.forwarding import (
    limit_reports,
    loads_grpc,
    loads_pb2,
    speed_reports,
    upstream_pool,
    upstreams,
)
from cranberryrill.membership import membership_pb2
from cranberryrill.shares import usage_reports

LOGGER = logging.getLogger(__name__)
# Changes are collected for this long and sent together.
PUSH_PERIOD_SECONDS = 0.04
# An update is sent at least this often, empty if nothing changed.
HEARTBEAT_SECONDS = 0.5
# A watch that receives nothing for this long is opened again.
SILENCE_TIMEOUT_SECONDS = 1.3
RECONNECT_DELAY_SECONDS = 0.3
# An entry watches at most this many others and ignores the load of the rest.
MAX_WATCHED_ENTRIES = 24
WatchStream = server.Stream[loads_pb2.WatchLoads, loads_pb2.LoadUpdate]
Loads = dict[str, loads_pb2.UpstreamLoad]


def current_loads(
    all_upstreams: collection_types.Iterable[upstreams.Upstream],
) -> Loads:
    """Return this process's load by upstream, without idle upstreams."""
    return {
        upstream.id: loads_pb2.UpstreamLoad(
            upstream=upstream.id,
            reading_tokens=sum(upstream.prefill_tokens.values()),
            open_requests=upstream.open_requests,
            long_answers=upstream.decode_heavy_requests,
            memory_tokens=sum(upstream.memory_tokens.values()),
        )
        for upstream in all_upstreams
        if upstream.open_requests
    }


def changed_loads(
    previous: Loads, current: Loads
) -> list[loads_pb2.UpstreamLoad]:
    """Return the changes for a watcher that was last sent `previous`.

    An upstream without any load left is reported with zeros.
    """
    changed = [
        load for name, load in current.items() if previous.get(name) != load
    ]
    changed.extend(
        loads_pb2.UpstreamLoad(upstream=name)
        for name in previous
        if name not in current
    )
    return changed


def parts_prefilled_since(
    pool: upstream_pool.Pool,
    sequence: int,
) -> list[loads_pb2.PartRead]:
    """Return the prompt parts prefilled after a sequence number."""
    return [
        loads_pb2.PartRead(
            upstream=part.upstream,
            part=part.part,
            tokens=part.tokens,
        )
        for part in pool.prefilled_since(sequence)
    ]


def _has_news(update: loads_pb2.LoadUpdate) -> bool:
    return any(
        (
            update.loads,
            update.parts,
            update.limits,
            update.speeds,
            update.usage,
        )
    )


class LoadService(loads_grpc.LoadsBase):
    """gRPC service that streams this process's loads to other entries."""

    def __init__(self, pool: upstream_pool.Pool, peers: 'PeerLoads') -> None:
        self.pool = pool
        self.peers = peers
        self.watchers = 0

    async def Watch(self, stream: WatchStream) -> None:
        """Send all loads, then changes, until the watcher disconnects."""
        self.watchers += 1
        try:
            await self._send_changes(stream)
        finally:
            self.watchers -= 1

    async def _send_changes(self, stream: WatchStream) -> None:
        await stream.recv_message()
        sent: Loads = {}
        limit_sender = limit_reports.Sender(self.pool)
        usage_stream: usage_reports.Stream | None = None
        speed_sender = speed_reports.Sender(self.pool)
        last_sequence = self.pool.prefilled_count
        sent_at = float('-inf')
        while True:
            now = clock.monotonic_seconds()
            if usage_stream is None and self.peers.usage is not None:
                usage_stream = self.peers.usage.open_stream()
            loads = current_loads(self.pool.by_id.values())
            update = loads_pb2.LoadUpdate(
                # The first update is full.
                full=math.isinf(sent_at),
                loads=changed_loads(sent, loads),
                parts=parts_prefilled_since(self.pool, last_sequence),
                limits=limit_sender.next_reports(now),
                usage=usage_stream.next_records(now) if usage_stream else (),
                speeds=speed_sender.next_reports(now, self.watchers),
            )
            is_due = now >= sent_at + HEARTBEAT_SECONDS
            if is_due or _has_news(update):
                last_sequence = self.pool.prefilled_count
                sent, sent_at = loads, now
                await stream.send_message(update)
            await asyncio.sleep(PUSH_PERIOD_SECONDS)


class PeerLoads:
    """Loads of other entries, and their totals by upstream id."""

    def __init__(
        self,
        pool: upstream_pool.Pool,
        usage: usage_reports.UsageExchange | None = None,
    ) -> None:
        self.pool = pool
        self.usage = usage
        self.by_entry: dict[str, Loads] = {}
        # The last loads of entries that are no longer connected.
        self.last_loads: dict[str, Loads] = {}
        self.prefill_tokens: collections.Counter[str] = collections.Counter()
        self.open_requests: collections.Counter[str] = collections.Counter()
        self.memory_tokens: collections.Counter[str] = collections.Counter()
        self.decode_heavy_requests: collections.Counter[str] = (
            collections.Counter()
        )

    def apply(
        self, entry: str, update: loads_pb2.LoadUpdate, now: float
    ) -> None:
        """Apply an update from another entry."""
        if update.full:
            self.remove(entry)
            self.last_loads.pop(entry, None)
        current = self.by_entry.setdefault(entry, {})
        for load in update.loads:
            self._add(current.pop(load.upstream, None), -1)
            if load.open_requests:
                current[load.upstream] = load
                self._add(load, 1)
        for part in update.parts:
            self.pool.record_prefilled_elsewhere(
                part.upstream,
                part.part,
                part.tokens,
            )

        for limit in update.limits:
            target = self.pool.by_id.get(limit.upstream)
            if target is not None:
                report = limit_reports.decode(limit, now)
                target.allowance.record_report(entry, report, now)
        if self.usage is not None:
            self.usage.receiver.apply(entry, update, now)
        for speed in update.speeds:
            speed_reports.apply(self.pool, entry, speed, now)

    def limit_share(
        self, name: str, entries: collection_types.Collection[str]
    ) -> float:
        """Return the share of each limit that the watched entries may use.

        `entries` holds the names of all entries, `name` is that of this one.
        Only entries that watch one another send to upstreams with limits; each
        of them that is not connected may use an equal share unseen.
        """
        group = sorted({name, *entries})[: MAX_WATCHED_ENTRIES + 1]
        if name not in group:
            return 0
        connected = sum(entry in self.by_entry for entry in group)
        return (connected + 1) / len(group)

    def remove(self, entry: str) -> None:
        """Remove the loads of an entry that is gone or not connected."""
        for upstream in self.pool.by_id.values():
            upstream.allowance.forget(entry)
        if self.usage is not None:
            self.usage.receiver.disconnect(entry)
        speed_reports.forget(self.pool, entry)
        loads = self.by_entry.pop(entry, None)
        if loads is None:
            return
        self.last_loads[entry] = loads
        for load in loads.values():
            self._add(load, -1)

    def _add(self, load: loads_pb2.UpstreamLoad | None, sign: int) -> None:
        if load is None:
            return
        self.prefill_tokens[load.upstream] += sign * load.reading_tokens
        self.open_requests[load.upstream] += sign * load.open_requests
        self.decode_heavy_requests[load.upstream] += sign * load.long_answers
        self.memory_tokens[load.upstream] += sign * load.memory_tokens


class PeerLoadWatcher:
    """Watch the loads of other entries, with one task for each."""

    def __init__(
        self,
        name: str,
        dialer: transport.Dialer,
        peer_loads: PeerLoads,
        on_connection: collection_types.Callable[[], None],
    ) -> None:
        self.name = name
        # Called when another entry is connected, or no longer.
        self.on_connection = on_connection
        self.dialer = dialer
        self.peer_loads = peer_loads
        self.group = tasks.TaskGroup()
        self.watched_incarnations: dict[str, str] = {}

    def update(
        self,
        processes: collection_types.Mapping[str, membership_pb2.Announcement],
    ) -> None:
        """Watch the current entries and stop watching the rest."""
        entries = {
            name: announcement
            for name, announcement in sorted(processes.items())
            if announcement.role == membership_pb2.Role.ENTRY
            and name != self.name
            and announcement.port
        }
        for name, announcement in list(entries.items())[:MAX_WATCHED_ENTRIES]:
            if self.watched_incarnations.get(name) != announcement.incarnation:
                self.watched_incarnations[name] = announcement.incarnation
                self.group.start(
                    self._watch_entry(announcement), f'loads of {name}'
                )
        for name in list(self.watched_incarnations):
            if name not in entries:
                del self.watched_incarnations[name]
                self.peer_loads.remove(name)
                self.peer_loads.last_loads.pop(name, None)

    async def _watch_entry(
        self, announcement: membership_pb2.Announcement
    ) -> None:
        name = announcement.process
        address = transport.Address(announcement.host, announcement.port)
        while self.watched_incarnations.get(name) == announcement.incarnation:
            channel = self.dialer.dial(address)
            try:
                await self._receive_updates(name, loads_grpc.LoadsStub(channel))
            except transport.CALL_ERRORS as error:
                LOGGER.info(
                    'loads not followed',
                    extra={'entry': name, 'cause': type(error).__name__},
                )
            finally:
                channel.close()
                self.peer_loads.remove(name)
                self.on_connection()
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)

    async def _receive_updates(
        self, name: str, stub: loads_grpc.LoadsStub
    ) -> None:
        async with stub.Watch.open() as stream:
            async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                await stream.send_message(loads_pb2.WatchLoads(), end=True)
            while True:
                async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                    update = await stream.recv_message()
                if update is None:
                    return
                self.peer_loads.apply(name, update, clock.monotonic_seconds())
                if update.full:
                    self.on_connection()

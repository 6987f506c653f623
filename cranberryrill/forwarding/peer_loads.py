"""Tell other entries what this one has at each upstream, and learn theirs.

Entries decide at the same moment about the same upstreams, and what upstreams
say of themselves is old by then. What the others have sent there is known
within a few tens of milliseconds.
"""

import asyncio
import collections
import logging
from collections import abc as collection_types

from grpclib import server

from cranberryrill import clock, tasks, transport
from cranberryrill.forwarding import loads_grpc, loads_pb2, upstreams
from cranberryrill.membership import membership_pb2

LOGGER = logging.getLogger(__name__)
# Changes are gathered for this long, in seconds.
PUSH_PERIOD = 0.04
# A watcher hears something at least this often, in seconds.
HEARTBEAT = 0.5
# Another entry that says nothing for this long is asked anew, in seconds.
SILENCE = 1.3
RETRY_PAUSE = 0.3
# An entry follows at most so many others; the rest is taken to be alike.
MAX_FOLLOWED = 24
WatchStream = server.Stream[loads_pb2.WatchLoads, loads_pb2.LoadUpdate]
Loads = dict[str, loads_pb2.UpstreamLoad]


def current_loads(
    known: collection_types.Iterable[upstreams.Upstream],
) -> Loads:
    """Return what this process has at each upstream that it uses."""
    return {
        upstream.id: loads_pb2.UpstreamLoad(
            upstream=upstream.id,
            reading_tokens=sum(upstream.prefill_tokens.values()),
            open_requests=upstream.open_requests,
            long_answers=upstream.long_answers,
        )
        for upstream in known
        if upstream.open_requests
    }


def changed_loads(before: Loads, now: Loads) -> list[loads_pb2.UpstreamLoad]:
    """Return what a watcher lacks that was sent `before`."""
    changed = [load for name, load in now.items() if before.get(name) != load]
    changed.extend(
        loads_pb2.UpstreamLoad(upstream=name)
        for name in before
        if name not in now
    )
    return changed


def parts_prefilled_since(
    pool: upstreams.Pool,
    since: int,
) -> list[loads_pb2.PartRead]:
    """Return the parts that upstreams have read lately."""
    return [
        loads_pb2.PartRead(
            upstream=read.upstream,
            part=read.part,
            tokens=read.tokens,
        )
        for read in pool.prefilled_since(since)
    ]


class LoadService(loads_grpc.LoadsBase):
    """Push this process's loads to the entries that watch."""

    def __init__(self, pool: upstreams.Pool) -> None:
        self.pool = pool

    async def Watch(self, stream: WatchStream) -> None:
        """Push changes until the watcher leaves."""
        await stream.recv_message()
        sent: Loads = {}
        read = self.pool.prefilled_count
        full = True
        sent_at = clock.monotonic_seconds()
        while True:
            now = clock.monotonic_seconds()
            loads = current_loads(self.pool.by_id.values())
            changed = changed_loads(sent, loads)
            parts = parts_prefilled_since(self.pool, read)
            if changed or parts or full or now >= sent_at + HEARTBEAT:
                read = self.pool.prefilled_count
                sent, sent_at = loads, now
                await stream.send_message(
                    loads_pb2.LoadUpdate(
                        full=full,
                        loads=changed,
                        parts=parts,
                    ),
                )
                full = False
            await asyncio.sleep(PUSH_PERIOD)


class PeerLoads:
    """Hold what other entries have at each upstream."""

    def __init__(self, pool: upstreams.Pool) -> None:
        self.pool = pool
        self.by_entry: dict[str, Loads] = {}
        self.prefill_tokens: collections.Counter[str] = collections.Counter()
        self.open_requests: collections.Counter[str] = collections.Counter()
        self.long_answers: collections.Counter[str] = collections.Counter()

    def apply(self, entry: str, update: loads_pb2.LoadUpdate) -> None:
        """Take an update from another entry."""
        if update.full:
            self.remove(entry)
        held = self.by_entry.setdefault(entry, {})
        for load in update.loads:
            self._add(held.pop(load.upstream, None), -1)
            if load.open_requests:
                held[load.upstream] = load
                self._add(load, 1)
        for read in update.parts:
            self.pool.record_prefilled_elsewhere(
                read.upstream,
                read.part,
                read.tokens,
            )

    def remove(self, entry: str) -> None:
        """Drop what an entry that is gone has said."""
        for load in self.by_entry.pop(entry, {}).values():
            self._add(load, -1)

    def _add(self, load: loads_pb2.UpstreamLoad | None, sign: int) -> None:
        if load is None:
            return
        self.prefill_tokens[load.upstream] += sign * load.reading_tokens
        self.open_requests[load.upstream] += sign * load.open_requests
        self.long_answers[load.upstream] += sign * load.long_answers


class PeerLoadWatcher:
    """Watch the other entries; one task for each."""

    def __init__(
        self,
        name: str,
        dialer: transport.Dialer,
        others: PeerLoads,
    ) -> None:
        self.name = name
        self.dialer = dialer
        self.others = others
        self.group = tasks.TaskGroup()
        self.followed: dict[str, str] = {}

    def update(
        self,
        processes: collection_types.Mapping[str, membership_pb2.Announcement],
    ) -> None:
        """Follow the entries that there are now."""
        wanted = {
            name: known
            for name, known in sorted(processes.items())
            if known.role == membership_pb2.Role.ENTRY
            and name != self.name
            and known.port
        }
        for name, known in list(wanted.items())[:MAX_FOLLOWED]:
            if self.followed.get(name) != known.incarnation:
                self.followed[name] = known.incarnation
                self.group.start(self._follow(known), f'loads of {name}')
        for name in list(self.followed):
            if name not in wanted:
                del self.followed[name]
                self.others.remove(name)

    async def _follow(self, known: membership_pb2.Announcement) -> None:
        name = known.process
        address = transport.Address(known.host, known.port)
        while self.followed.get(name) == known.incarnation:
            channel = self.dialer.dial(address)
            try:
                await self._watch(name, loads_grpc.LoadsStub(channel))
            except transport.CALL_ERRORS as error:
                LOGGER.info(
                    'loads not followed',
                    extra={'entry': name, 'cause': type(error).__name__},
                )
            finally:
                channel.close()
                self.others.remove(name)
            await asyncio.sleep(RETRY_PAUSE)

    async def _watch(self, name: str, stub: loads_grpc.LoadsStub) -> None:
        async with stub.Watch.open() as stream:
            async with asyncio.timeout(SILENCE):
                await stream.send_message(loads_pb2.WatchLoads(), end=True)
            while True:
                async with asyncio.timeout(SILENCE):
                    update = await stream.recv_message()
                if update is None:
                    return
                self.others.apply(name, update)

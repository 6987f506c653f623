"""Stand between processes and bring about faults of the network."""

import asyncio
import enum
import threading
import typing
from collections import abc

HOST = '127.0.0.1'
READ_BYTES = 65536
CALL_TIMEOUT_SECONDS = 5.0


class Fault(enum.Enum):
    """Name what a link does to its traffic."""

    none = 'none'
    # Bytes of connections that are open now vanish; new connections work.
    silent_open = 'silent open'
    # All bytes vanish, and new connections too; nothing is closed.
    blackhole = 'blackhole'
    # Connections are closed and new ones refused.
    cut = 'cut'


class Connection:
    """Carry the bytes of one connection both ways."""

    def __init__(self, link: 'Link', writers: tuple[typing.Any, ...]) -> None:
        self.link = link
        self.writers = writers
        self.silent = False

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Carry bytes one way until either end closes."""
        while True:
            content = await reader.read(READ_BYTES)
            if not content:
                break
            self.link.carried_bytes += len(content)
            if self.link.delay_seconds:
                await asyncio.sleep(self.link.delay_seconds)
            if self.silent or self.link.fault is Fault.blackhole:
                continue
            writer.write(content)
            await writer.drain()
        if not self.silent and self.link.fault is not Fault.blackhole:
            writer.close()

    def close(self) -> None:
        """Close both ends."""
        for writer in self.writers:
            writer.close()


class Link:
    """Forward one port to another, faultily if asked."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.fault = Fault.none
        self.delay_seconds = 0.0
        # Counts both ways, whether or not the bytes were passed on.
        self.carried_bytes = 0
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a port that the system chooses."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def apply(self, fault: Fault, delay_seconds: float) -> None:
        """Change what happens to the traffic from now on."""
        self.fault = fault
        self.delay_seconds = delay_seconds
        for connection in list(self.connections):
            if fault is Fault.silent_open:
                connection.silent = True
            if fault is Fault.cut:
                connection.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.fault is Fault.cut:
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                HOST,
                self.target_port,
            )
        except OSError:
            writer.close()
            return
        connection = Connection(self, (writer, far_writer))
        self.connections.add(connection)
        try:
            await asyncio.gather(
                connection.pump(reader, far_writer),
                connection.pump(far_reader, writer),
                return_exceptions=True,
            )
        except asyncio.CancelledError:
            # The network is being closed.
            return
        finally:
            self.connections.discard(connection)
            connection.close()


class Network:
    """Own the links of one system, on a thread with its own event loop."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.links: dict[tuple[str, str], Link] = {}

    def link_port(self, source: str, target: str, target_port: int) -> int:
        """Return the port at which `source` reaches `target`."""
        known = self.links.get((source, target))
        if known is None:
            known = Link(target_port)
            self._call(known.open())
            self.links[(source, target)] = known
        return known.port

    def apply(
        self,
        fault: Fault,
        source: str = '',
        target: str = '',
        delay_seconds: float = 0,
    ) -> None:
        """Bring a fault about on each link from and to the named ends."""
        chosen = [
            link
            for (near, far), link in self.links.items()
            if source in {'', near} and target in {'', far}
        ]
        self._call(_apply_all(chosen, fault, delay_seconds))

    def isolate(self, process: str, fault: Fault) -> None:
        """Bring a fault about on each link from and to one process."""
        self.apply(fault, source=process)
        self.apply(fault, target=process)

    def carried_bytes(self, source: str) -> int:
        """Return how many bytes the links of `source` have carried."""
        return sum(
            link.carried_bytes
            for (near, _), link in self.links.items()
            if near == source
        )

    def close(self) -> None:
        """Stop forwarding."""
        self._call(_end_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(CALL_TIMEOUT_SECONDS)

    def _call(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        future.result(CALL_TIMEOUT_SECONDS)


async def _end_tasks() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


async def _apply_all(
    links: list[Link],
    fault: Fault,
    delay_seconds: float,
) -> None:
    for link in links:
        link.apply(fault, delay_seconds)

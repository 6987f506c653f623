"""TCP proxies between processes that inject network faults."""

import asyncio
import enum
import threading
import typing
from collections import abc

HOST = '127.0.0.1'
READ_BYTES = 65536
CALL_TIMEOUT_SECONDS = 5.0


class Fault(enum.Enum):
    """What a link does to the traffic that it forwards."""

    none = 'none'
    # Drops all bytes of the connections open now; new connections work.
    silent_open = 'silent open'
    # Drops all bytes, also of new connections; closes nothing.
    blackhole = 'blackhole'
    # Closes open connections and refuses new ones.
    cut = 'cut'


class Connection:
    """One proxied connection with a pump for each direction."""

    def __init__(self, link: 'Link', writers: tuple[typing.Any, ...]) -> None:
        self.link = link
        self.writers = writers
        self.silent = False

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copy bytes in one direction until the reader reaches its end.

        While the connection is silent, or the link a blackhole, the bytes are
        dropped and the end of the stream is not passed on.
        """
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
    """TCP proxy for one target port, with a fault that can be switched."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.fault = Fault.none
        self.delay_seconds = 0.0
        # Counts bytes read in both directions, including dropped ones.
        self.carried_bytes = 0
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a free port and set `port`."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def apply(self, fault: Fault, delay_seconds: float) -> None:
        """Switch to a fault, and delay each chunk by `delay_seconds`.

        `silent_open` and `cut` also act on the connections open now.
        """
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
            target_reader, target_writer = await asyncio.open_connection(
                HOST,
                self.target_port,
            )
        except OSError:
            writer.close()
            return
        connection = Connection(self, (writer, target_writer))
        self.connections.add(connection)
        try:
            await asyncio.gather(
                connection.pump(reader, target_writer),
                connection.pump(target_reader, writer),
                return_exceptions=True,
            )
        except asyncio.CancelledError:
            # `Network.close` cancels the tasks of open connections.
            return
        finally:
            self.connections.discard(connection)
            connection.close()


class Network:
    """All links of one system, run by an event loop on a thread of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.links: dict[tuple[str, str], Link] = {}

    def link_port(self, source: str, target: str, target_port: int) -> int:
        """Return the proxy port through which `source` reaches `target`.

        The link is created on the first call for the pair.
        """
        link = self.links.get((source, target))
        if link is None:
            link = Link(target_port)
            self._call(link.open())
            self.links[(source, target)] = link
        return link.port

    def apply(
        self,
        fault: Fault,
        source: str = '',
        target: str = '',
        delay_seconds: float = 0,
    ) -> None:
        """Apply a fault to each link from `source` to `target`.

        An empty name matches every process.
        """
        matching = [
            link
            for (link_source, link_target), link in self.links.items()
            if source in {'', link_source} and target in {'', link_target}
        ]
        self._call(_apply_all(matching, fault, delay_seconds))

    def isolate(self, process: str, fault: Fault) -> None:
        """Apply a fault to every link from or to one process."""
        self.apply(fault, source=process)
        self.apply(fault, target=process)

    def carried_bytes(self, source: str) -> int:
        """Return the bytes read so far on all links that start at `source`."""
        return sum(
            link.carried_bytes
            for (link_source, _), link in self.links.items()
            if link_source == source
        )

    def close(self) -> None:
        """Cancel the proxy tasks and stop the event loop and its thread."""
        self._call(_cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(CALL_TIMEOUT_SECONDS)

    def _call(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        future.result(CALL_TIMEOUT_SECONDS)


async def _cancel_tasks() -> None:
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

"""TCP proxy in the calling event loop that can fail in several ways."""

import asyncio
import contextlib
import enum
import random

CHUNK_BYTES = 4096
BLOCKED_POLL_SECONDS = 0.05


class LinkFault(enum.Enum):
    """Fault of a link; it also applies to the connections open now."""

    none = 'none'
    delay = 'delay'
    # Resets a connection as soon as the target sends data.
    reset = 'reset'
    # Forwards to the target, but blocks data from it.
    one_way = 'one_way'
    # Blocks data both ways and closes nothing.
    silence = 'silence'


class Link:
    """Proxy for one target address, subject to `fault`.

    With the fault `delay`, each chunk waits for up to `delay_seconds`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        rng: random.Random,
        delay_seconds: float = 0.2,
    ) -> None:
        self.host = host
        self.port = port
        self.rng = rng
        self.fault = LinkFault.none
        self.delay_seconds = delay_seconds

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> int:
        """Listen and return the port; port 0 selects a free one."""
        server = await asyncio.start_server(self.serve, host, port)
        return int(server.sockets[0].getsockname()[1])

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Proxy one connection until either end closes it."""
        try:
            target = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        pumps = [
            asyncio.create_task(
                self._pump(reader, target[1], from_target=False)
            ),
            asyncio.create_task(
                self._pump(target[0], writer, from_target=True)
            ),
        ]
        # A soak ends, and cancels this task, while links are still open.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        is_reset = self.fault is LinkFault.reset
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)
        for end in (writer, target[1]):
            if is_reset:
                end.transport.abort()
            end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_target: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while content := await reader.read(CHUNK_BYTES):
                if from_target and self.fault is LinkFault.reset:
                    return
                await self._wait_while_blocked(from_target=from_target)
                writer.write(content)
                await writer.drain()
            # A fault also delays or blocks the end of the stream.
            await self._wait_while_blocked(from_target=from_target)

    async def _wait_while_blocked(self, *, from_target: bool) -> None:
        if self.fault is LinkFault.delay:
            await asyncio.sleep(self.rng.random() * self.delay_seconds)
        while self._is_blocked(from_target=from_target):
            await asyncio.sleep(BLOCKED_POLL_SECONDS)

    def _is_blocked(self, *, from_target: bool) -> bool:
        if self.fault is LinkFault.silence:
            return True
        return from_target and self.fault is LinkFault.one_way

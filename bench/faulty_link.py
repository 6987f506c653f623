"""Stand between two programs, and harm what passes."""

import asyncio
import contextlib
import enum
import random

CHUNK_BYTES = 4096
HELD_PERIOD = 0.05


class LinkFault(enum.Enum):
    """Say what happens to a link now, also to its open connections."""

    none = 'none'
    delay = 'delay'
    # A connection is reset as soon as it carries an answer.
    reset = 'reset'
    # Answers are held back; requests pass.
    one_way = 'one_way'
    # Nothing passes, and nobody is told.
    silence = 'silence'


class Link:
    """Forward connections to one address, with whatever harm is set."""

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
        """Listen, on a port that is free if none is named; return it."""
        server = await asyncio.start_server(self.serve, host, port)
        return int(server.sockets[0].getsockname()[1])

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection until either end closes it."""
        try:
            there = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        pumps = [
            asyncio.create_task(self._pump(reader, there[1], answers=False)),
            asyncio.create_task(self._pump(there[0], writer, answers=True)),
        ]
        # The soak ends with its links still open.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        broken = self.fault is LinkFault.reset
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)
        for end in (writer, there[1]):
            if broken:
                end.transport.abort()
            end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while content := await reader.read(CHUNK_BYTES):
                if answers and self.fault is LinkFault.reset:
                    return
                await self._hold(answers=answers)
                writer.write(content)
                await writer.drain()
            # The end of a connection is lost with the rest.
            await self._hold(answers=answers)

    async def _hold(self, *, answers: bool) -> None:
        if self.fault is LinkFault.delay:
            await asyncio.sleep(self.rng.random() * self.delay_seconds)
        while self._is_held(answers=answers):
            await asyncio.sleep(HELD_PERIOD)

    def _is_held(self, *, answers: bool) -> bool:
        if self.fault is LinkFault.silence:
            return True
        return answers and self.fault is LinkFault.one_way

"""Stand between the system and a replica, and harm what passes."""

import asyncio
import contextlib
import dataclasses
import enum
import random

CHUNK_BYTES = 4096


class Harm(enum.Enum):
    """Say what happens to connections that are opened now."""

    none = 'none'
    delay = 'delay'
    # The connection is reset once the request has passed.
    reset = 'reset'
    # Answers don't come back; requests pass.
    one_way = 'one_way'
    # Nothing passes, and nobody is told.
    silence = 'silence'


@dataclasses.dataclass
class Link:
    """Forward connections to one port, with whatever harm is set."""

    target_port: int
    rng: random.Random
    harm: Harm = Harm.none
    delay_seconds: float = 0.2

    async def start(self) -> asyncio.Server:
        """Listen on a port that is free."""
        return await asyncio.start_server(self.serve, '127.0.0.1', 0)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection."""
        harm = self.harm
        if harm is Harm.silence:
            await reader.read()
            writer.close()
            return
        try:
            there = await asyncio.open_connection('127.0.0.1', self.target_port)
        except OSError:
            writer.transport.abort()
            return
        sending = asyncio.create_task(self._forward(reader, there[1], harm))
        answering = asyncio.create_task(self._answer(there[0], writer, harm))
        with contextlib.suppress(OSError):
            await asyncio.wait(
                {sending, answering},
                return_when=asyncio.FIRST_COMPLETED,
            )
        for task in (sending, answering):
            task.cancel()
        there[1].close()
        writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        harm: Harm,
    ) -> None:
        while content := await reader.read(CHUNK_BYTES):
            if harm is Harm.delay:
                await asyncio.sleep(self.rng.random() * self.delay_seconds)
            writer.write(content)
            await writer.drain()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        harm: Harm,
    ) -> None:
        while content := await reader.read(CHUNK_BYTES):
            if harm is Harm.reset:
                writer.transport.abort()
                return
            if harm is not Harm.one_way:
                writer.write(content)
                await writer.drain()
        if harm is Harm.one_way:
            # The caller learns nothing of the end either.
            await asyncio.Event().wait()

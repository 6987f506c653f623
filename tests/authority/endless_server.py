"""Server that answers each request without end."""

import asyncio
import gc
import tracemalloc
from collections import abc

HOST = '127.0.0.1'
# What curl, asyncio and the sockets hold of one response.
MAX_GROWTH_BYTES = 4_000_000


class EndlessServer:
    """HTTP server that sends a body until its client closes."""

    def __init__(self) -> None:
        self.port = 0

    async def listen(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read a request and answer it without end."""
        await reader.read(65536)
        try:
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
            while True:
                writer.write(b'x' * 65536)
                await writer.drain()
        except ConnectionError:
            writer.close()


async def peak_bytes(work: abc.Awaitable[object]) -> int:
    """Return by how much the memory grew, at most, while `work` ran."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    try:
        await work
        return tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()

"""A client that writes HTTP by hand, to send what a well-behaved client does not."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

__all__ = ["RawCaller", "raw_caller"]

READ_SECONDS = 10.0


class RawCaller:
    """A connection to a router."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, *lines: str, body: bytes = b"") -> None:
        """Send a head, line by line, and a body."""
        first, *rest = lines
        head = "".join(f"{line}\r\n" for line in (first, "Host: router", *rest))
        head += "\r\n"
        self._writer.write(head.encode() + body)
        await self._writer.drain()

    async def post(self, path: str, key: str, body: bytes) -> None:
        """Send a complete request with a body."""
        await self.send(
            f"POST {path} HTTP/1.1",
            f"Authorization: Bearer {key}",
            f"Content-Length: {len(body)}",
            body=body,
        )

    async def send_bytes(self, data: bytes) -> None:
        """Send bytes unchanged."""
        self._writer.write(data)
        await self._writer.drain()

    async def read_until(self, delimiter: bytes) -> bytes:
        """Read up to and including a delimiter."""
        async with asyncio.timeout(READ_SECONDS):
            return await self._reader.readuntil(delimiter)

    async def read_all(self) -> bytes:
        """Read until the router closes the connection."""
        async with asyncio.timeout(READ_SECONDS):
            return await self._reader.read()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


@asynccontextmanager
async def raw_caller(address: str) -> AsyncIterator[RawCaller]:
    """Connect to a router as a context manager."""
    host, port = address.rsplit(":", 1)
    # A small buffer, so that the router soon notices a client that does not read.
    reader, writer = await asyncio.open_connection(host, int(port), limit=4096)
    try:
        yield RawCaller(reader, writer)
    finally:
        writer.close()

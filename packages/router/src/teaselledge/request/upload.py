"""The part of a body that arrives while the request runs."""

import asyncio
from collections.abc import AsyncIterator

__all__ = ["MAX_BUFFERED_BYTES", "Upload"]

MAX_BUFFERED_CHUNKS = 4

MAX_BUFFERED_BYTES = MAX_BUFFERED_CHUNKS * 64 * 1024
"""Bytes that an upload holds at most; the caller waits beyond them."""


class Upload:
    """Passes chunks from a caller to one endpoint, once.

    What has been passed on is not kept, so a request can't be sent to another
    endpoint after its upload has begun.
    """

    def __init__(self) -> None:
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_BUFFERED_CHUNKS)
        self._begun = False
        self._dropped = False

    @property
    def started(self) -> bool:
        """Whether an endpoint has been given any of it."""
        return self._begun

    async def put(self, chunk: bytes) -> None:
        """Add what arrived; waits while the endpoint is slow."""
        if not self._dropped:
            await self._queue.put(chunk)

    async def end(self) -> None:
        """Note that the body is complete."""
        if not self._dropped:
            await self._queue.put(None)

    def discard(self) -> None:
        """Take no more: the request has ended.

        Otherwise who puts the next part waits for an endpoint that never
        takes it, and holds the caller's connection for ever.
        """
        self._dropped = True
        while not self._queue.empty():
            self._queue.get_nowait()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks as they arrive."""
        self._begun = True
        while True:
            chunk = await self._queue.get()
            if chunk is None:
                return
            yield chunk

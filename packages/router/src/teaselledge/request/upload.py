"""Streaming of a large request body to an endpoint while it arrives."""

import asyncio
from collections.abc import AsyncIterator

__all__ = ["MAX_BUFFERED_BYTES", "Upload"]

MAX_BUFFERED_CHUNKS = 4

MAX_BUFFERED_BYTES = MAX_BUFFERED_CHUNKS * 64 * 1024
"""Maximum number of bytes that an upload buffers before the caller has to wait."""


class Upload:
    """Passes the chunks of a body from the caller to one endpoint.

    Chunks are not retained, so a request can't be sent to another endpoint after
    its upload has started.
    """

    def __init__(self) -> None:
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_BUFFERED_CHUNKS)
        self._started = False
        self._discarded = False

    @property
    def started(self) -> bool:
        """Whether an endpoint has started to read the body."""
        return self._started

    async def put(self, chunk: bytes) -> None:
        """Add a chunk, waiting while the buffer is full."""
        if not self._discarded:
            await self._queue.put(chunk)

    async def end(self) -> None:
        """Mark the body as complete."""
        if not self._discarded:
            await self._queue.put(None)

    def discard(self) -> None:
        """Discard all chunks, as the request has ended.

        Otherwise `put` would wait for an endpoint that no longer reads, and the
        caller's connection would stay occupied for ever.
        """
        self._discarded = True
        while not self._queue.empty():
            self._queue.get_nowait()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks as they arrive."""
        self._started = True
        while True:
            chunk = await self._queue.get()
            if chunk is None:
                return
            yield chunk

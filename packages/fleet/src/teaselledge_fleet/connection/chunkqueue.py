"""Queue of the parts of a response, limited in number and in bytes."""

import asyncio
from collections import deque
from typing import Generic, TypeVar

__all__ = ["ChunkQueue"]

_Part = TypeVar("_Part")


class ChunkQueue(asyncio.Queue[_Part], Generic[_Part]):
    """A queue that is also full if its chunks have too many bytes.

    With a limit on their number only, eight reads would be held for each stream whose
    caller does not read.

    Parameters
    ----------
    max_parts, max_bytes : int
        Number of parts, and bytes of the chunks among them, from which on `put` waits.
    """

    def __init__(self, max_parts: int, max_bytes: int) -> None:
        super().__init__(max_parts)
        self._max_parts = max_parts
        self._max_bytes = max_bytes
        self._chunk_bytes = 0

    def full(self) -> bool:
        """Whether `put` would wait."""
        return (
            self._chunk_bytes >= self._max_bytes or len(self._queue) >= self._max_parts
        )

    # asyncio.Queue has the three methods below for subclasses to replace. They don't
    # call those of the base class, which takes 1 us for each event.

    def _init(self, maxsize: int) -> None:
        self._queue: deque[_Part] = deque()

    def _put(self, item: _Part) -> None:
        if isinstance(item, bytes):
            self._chunk_bytes += len(item)
        self._queue.append(item)

    def _get(self) -> _Part:
        item = self._queue.popleft()
        if isinstance(item, bytes):
            self._chunk_bytes -= len(item)
        return item

"""Replies to requests for places: several may follow one query."""

import asyncio
from collections import deque
from typing import Generic, TypeVar

__all__ = ["PendingPlaces"]

ReplyT = TypeVar("ReplyT")


class _Replies(Generic[ReplyT]):
    def __init__(self) -> None:
        self.unread: deque[ReplyT] = deque()
        self.arrived = asyncio.Event()


class PendingPlaces(Generic[ReplyT]):
    """Matches replies with requests for places by the sequence of the query."""

    def __init__(self) -> None:
        self._pending: dict[int, _Replies[ReplyT]] = {}

    def open(self, sequence: int) -> None:
        """Keep replies to a query from now on."""
        self._pending[sequence] = _Replies()

    def close(self, sequence: int) -> None:
        """Drop replies to a query from now on."""
        self._pending.pop(sequence, None)

    def resolve(self, sequence: int, reply: ReplyT) -> bool:
        """Keep a reply; return False if nobody waits for it any more."""
        replies = self._pending.get(sequence)
        if replies is None:
            return False
        replies.unread.append(reply)
        replies.arrived.set()
        return True

    async def wait(self, sequence: int, seconds: float) -> ReplyT | None:
        """Return the next reply to a query, None if none arrives in time."""
        replies = self._pending[sequence]
        if not replies.unread:
            replies.arrived.clear()
            try:
                async with asyncio.timeout(seconds):
                    await replies.arrived.wait()
            except TimeoutError:
                # a late event loop may find the reply and the timeout at the same time
                pass
        return replies.unread.popleft() if replies.unread else None

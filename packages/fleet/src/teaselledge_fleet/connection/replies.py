"""Replies to datagrams."""

import asyncio
from typing import Generic, TypeVar

__all__ = ["PendingReplies"]

ReplyT = TypeVar("ReplyT")


class PendingReplies(Generic[ReplyT]):
    """Matches replies with requests by sequence number."""

    def __init__(self) -> None:
        self._pending: dict[int, asyncio.Future[ReplyT]] = {}

    async def wait(self, sequence: int, seconds: float) -> ReplyT | None:
        """Return the reply to a request, None if it does not arrive in time."""
        future: asyncio.Future[ReplyT] = asyncio.get_running_loop().create_future()
        self._pending[sequence] = future
        try:
            async with asyncio.timeout(seconds):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._pending[sequence]

    def resolve(self, sequence: int, reply: ReplyT) -> None:
        """Pass a reply to the waiting task; a late reply is dropped."""
        future = self._pending.get(sequence)
        if future is not None and not future.done():
            future.set_result(reply)

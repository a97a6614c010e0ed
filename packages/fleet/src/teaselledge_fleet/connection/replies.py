"""Replies to datagrams that are awaited."""

import asyncio
from typing import Generic, TypeVar

__all__ = ["PendingReplies"]

ReplyT = TypeVar("ReplyT")


class PendingReplies(Generic[ReplyT]):
    """Matches replies with their questions by number."""

    def __init__(self) -> None:
        self._waiting: dict[int, asyncio.Future[ReplyT]] = {}

    async def wait(self, sequence: int, seconds: float) -> ReplyT | None:
        """Return the reply to a question, None where it does not come in time."""
        future: asyncio.Future[ReplyT] = asyncio.get_running_loop().create_future()
        self._waiting[sequence] = future
        try:
            async with asyncio.timeout(seconds):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._waiting[sequence]

    def resolve(self, sequence: int, reply: ReplyT) -> None:
        """Hand a reply to whoever waits; one that came too late is dropped."""
        future = self._waiting.get(sequence)
        if future is not None and not future.done():
            future.set_result(reply)

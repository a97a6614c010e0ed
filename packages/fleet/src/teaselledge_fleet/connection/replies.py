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
            # a late event loop may find the reply and the timeout at the same time
            return future.result() if _has_result(future) else None
        finally:
            del self._pending[sequence]

    def resolve(self, sequence: int, reply: ReplyT) -> None:
        """Pass a reply to the waiting task; a late reply is dropped."""
        future = self._pending.get(sequence)
        if future is not None and not future.done():
            future.set_result(reply)


def _has_result(future: "asyncio.Future[ReplyT]") -> bool:
    return future.done() and not future.cancelled()

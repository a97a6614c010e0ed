"""Reads of the store that several requests share."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

__all__ = ["SharedReads"]

ResultT = TypeVar("ResultT")


class SharedReads(Generic[ResultT]):
    """Gives each request the result of a read that began after it asked.

    Parameters
    ----------
    read : callable
        Reads once.
    min_interval : float
        Minimum time between the beginnings of two reads, in seconds.
    """

    def __init__(
        self, read: Callable[[], Awaitable[ResultT]], min_interval: float
    ) -> None:
        self._read = read
        self._min_interval = min_interval
        self._began_at = -min_interval
        self._reading = asyncio.Lock()
        self._next: asyncio.Task[ResultT] | None = None
        """The next read, as long as it has not begun."""

    async def get(self) -> ResultT:
        """Return the result of the next read."""
        if self._next is None:
            self._next = asyncio.create_task(self._run())
        # another request may wait for it, too
        return await asyncio.shield(self._next)

    async def _run(self) -> ResultT:
        async with self._reading:
            wait = self._began_at + self._min_interval - self._now()
            await asyncio.sleep(max(0.0, wait))
            self._next = None
            self._began_at = self._now()
            return await self._read()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

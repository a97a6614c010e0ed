"""The graceful shutdown of a router."""

import asyncio

from teaselledge_fleet.connection.front import FrontServer
from teaselledge_fleet.log import get_log
from teaselledge_fleet.request.serving import RequestProxy

__all__ = ["GracefulShutdown"]

_log = get_log("leaving")

ACCEPT_SECONDS = 2.5
"""Time for which a leaving router still takes requests.

Callers keep its address for a second, and some of them three times as long. What
it takes within this time can still end within a grace of 8 s, or is excused by the
caller's own deadline.
"""

QUIET_SECONDS = 3.5
"""Least time before it ends; later, no caller connects to it."""

RESERVE_SECONDS = 1.2
"""Time before the kill at which it ends in any case, for its last words."""

TICK_SECONDS = 0.05


class GracefulShutdown:
    """Lets requests end, and refuses those that could not end in time."""

    def __init__(
        self, grace_seconds: float, front: FrontServer, server: RequestProxy
    ) -> None:
        self._grace = grace_seconds
        self._front = front
        self._server = server
        self._begun = asyncio.Event()

    def start(self) -> None:
        """Begin to leave; further calls do nothing."""
        self._front.disable_keep_alive()
        self._begun.set()

    async def wait(self) -> None:
        """Wait until the router may end."""
        await self._begun.wait()
        loop = asyncio.get_running_loop()
        started = loop.time()
        await asyncio.sleep(ACCEPT_SECONDS)
        self._server.leaving = True
        end = started + self._grace - RESERVE_SECONDS
        while loop.time() < end:
            if loop.time() - started > QUIET_SECONDS and not self._front.running:
                return
            await asyncio.sleep(TICK_SECONDS)
        if self._front.running:
            _log.warning("requests cut", running=self._front.running)

"""The graceful shutdown of a router."""

import asyncio

from teaselledge_fleet.connection.front import FrontServer
from teaselledge_fleet.log import get_log
from teaselledge_fleet.request.serving import RequestProxy

__all__ = ["GracefulShutdown"]

_log = get_log("leaving")

ACCEPT_SECONDS = 2.5
"""Time for which a router that shuts down still accepts requests.

Callers cache its address for a second, and some for three times as long. Requests
accepted within this time can still end within a grace period of 8 s, or their failure
is excused by the caller's own deadline.
"""

MIN_SHUTDOWN_SECONDS = 3.5
"""Minimum duration of the shutdown; after it, no caller connects any more."""

KILL_RESERVE_SECONDS = 1.2
"""Time reserved before the kill, for the last messages to other routers."""

POLL_INTERVAL_SECONDS = 0.05


class GracefulShutdown:
    """Waits for running requests and refuses those that could not end in time."""

    def __init__(
        self, grace_seconds: float, front: FrontServer, server: RequestProxy
    ) -> None:
        self._grace_seconds = grace_seconds
        self._front = front
        self._server = server
        self._started = asyncio.Event()

    def start(self) -> None:
        """Start the shutdown; further calls do nothing."""
        self._front.disable_keep_alive()
        self._started.set()

    async def wait(self) -> None:
        """Wait until the process may exit."""
        await self._started.wait()
        loop = asyncio.get_running_loop()
        started = loop.time()
        await asyncio.sleep(ACCEPT_SECONDS)
        self._server.leaving = True
        deadline = started + self._grace_seconds - KILL_RESERVE_SECONDS
        while loop.time() < deadline:
            if loop.time() - started > MIN_SHUTDOWN_SECONDS and not self._front.running:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        if self._front.running:
            _log.warning("requests cut", running=self._front.running)

"""Time limit for callers that send their body."""

import asyncio
from collections.abc import Callable

__all__ = ["BodyTimeout"]

MAX_PAUSE_SECONDS = 20.0
"""Maximum pause between two chunks of a body."""

MAX_TOTAL_SECONDS = 600.0
"""Maximum total time that the router waits for a body."""


class BodyTimeout:
    """Timer that runs while the router waits for a chunk of a body.

    Without it, callers that send single bytes with long pauses would keep their
    connections and reserved memory indefinitely, and other requests would be refused
    because the router is full. Time in which the router itself delays the caller does
    not count.
    """

    def __init__(self, on_timeout: Callable[[], None]) -> None:
        self._on_timeout = on_timeout
        self._remaining_seconds = MAX_TOTAL_SECONDS
        self._started_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer for the next chunk."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        delay = max(0.0, min(MAX_PAUSE_SECONDS, self._remaining_seconds))
        self._timer = loop.call_later(delay, self._on_timeout)

    def stop(self) -> None:
        """Stop the timer, as a chunk arrived or no more is expected."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        self._remaining_seconds -= asyncio.get_running_loop().time() - self._started_at

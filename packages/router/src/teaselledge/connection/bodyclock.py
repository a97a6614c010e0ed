"""Cut off callers that send their body too slowly."""

import asyncio
from collections.abc import Callable

__all__ = ["BodyTimeout"]

PAUSE_SECONDS = 20.0
"""Longest pause between two parts of a body."""

TOTAL_SECONDS = 600.0
"""Longest time that the router waits for one body in all."""


class BodyTimeout:
    """Runs while the router waits for a part of a body.

    Without it, callers that send a byte now and then hold their connections
    and reserved memory for ever, and others are told that the router is full.
    Time in which the router makes the caller wait does not count.
    """

    def __init__(self, on_timeout: Callable[[], None]) -> None:
        self._cut_off = on_timeout
        self._left = TOTAL_SECONDS
        self._since = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to wait for the next part."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._since = loop.time()
        pause = max(0.0, min(PAUSE_SECONDS, self._left))
        self._timer = loop.call_later(pause, self._cut_off)

    def stop(self) -> None:
        """Note that a part arrived, or that no more is expected."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        self._left -= asyncio.get_running_loop().time() - self._since

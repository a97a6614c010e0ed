"""Detect that this process was stalled."""

import time
from collections.abc import Callable

__all__ = ["StallDetector", "boot_clock"]

MAX_TICK_INTERVAL_SECONDS = 0.8
"""Time between two ticks beyond which the process counts as stalled.

Ticks are due every 0.4 s, and a busy event loop delays them by less than that."""

LONG_STALL_SECONDS = 2.0
"""Stall from which no queued message counts, not even a sender's own heartbeat.

Other routers accept reports of a router that they have not heard for 3 s. An overloaded
event loop stalls for less, and would otherwise hear nobody at all."""

BACKLOG_SECONDS = 0.5
"""Time after a stall in which messages that arrived during it are still being read."""


def boot_clock() -> float:
    """Return the seconds since the VM started, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StallDetector:
    """Detects whether messages that are read now may be outdated.

    Messages carry no time. A VM that was suspended reads them when it resumes; it would
    treat their content as current and forward it as such.

    Parameters
    ----------
    clock : callable
        Returns seconds of a clock that also advances while the VM is suspended.
    """

    def __init__(self, clock: Callable[[], float] = boot_clock) -> None:
        self._clock = clock
        self._ticked_at = clock()
        self._stale_until = self._ticked_at
        self._stalled_seconds = 0.0
        """Length of the last stall."""

    @property
    def recently_stalled_for_long(self) -> bool:
        """Whether messages that are read now may be of a router that is dead by now."""
        now = self._clock()
        stalled_seconds = self._stalled_seconds if now < self._stale_until else 0.0
        return max(stalled_seconds, now - self._ticked_at) >= LONG_STALL_SECONDS

    @property
    def recently_stalled(self) -> bool:
        """Whether messages that are read now may have waited during a stall."""
        now = self._clock()
        return (
            now < self._stale_until or now - self._ticked_at > MAX_TICK_INTERVAL_SECONDS
        )

    def tick(self) -> None:
        """Record that the process is running."""
        now = self._clock()
        elapsed = now - self._ticked_at
        if elapsed > MAX_TICK_INTERVAL_SECONDS:
            self._stale_until = now + BACKLOG_SECONDS
            self._stalled_seconds = elapsed
        self._ticked_at = now

"""Notice that this process did not run for a while."""

import time
from collections.abc import Callable

__all__ = ["StallDetector", "boot_clock"]

LONGEST_SECONDS = 0.8
"""Time between two ticks beyond which the process was held up. Ticks come each 0.4 s,
and a busy event loop is late by less."""

STALE_SECONDS = 0.5
"""Time after a stall in which messages that came meanwhile are still being read."""


def boot_clock() -> float:
    """Return the seconds since the VM started, those of its suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StallDetector:
    """Tells whether messages that are read now may have waited for long.

    Messages have no time of their own. A VM that was frozen reads them when it wakes,
    and would take what they tell for news, and pass it on as such.

    Parameters
    ----------
    clock : callable
        Returns seconds that go on while the VM is suspended.
    """

    def __init__(self, clock: Callable[[], float] = boot_clock) -> None:
        self._clock = clock
        self._ticked_at = clock()
        self._stale_until = self._ticked_at

    @property
    def recently_stalled(self) -> bool:
        """Whether messages may have waited."""
        now = self._clock()
        return now < self._stale_until or now - self._ticked_at > LONGEST_SECONDS

    def tick(self) -> None:
        """Note that the process runs."""
        now = self._clock()
        if now - self._ticked_at > LONGEST_SECONDS:
            self._stale_until = now + STALE_SECONDS
        self._ticked_at = now

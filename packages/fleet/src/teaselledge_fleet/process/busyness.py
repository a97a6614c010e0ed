"""How much of its processor time this router uses."""

import asyncio
import time

__all__ = ["Busyness"]

TICK_SECONDS = 0.1
WEIGHT = 0.15
"""Weight of the latest tick: the figure follows within half a second."""

LAG_SECONDS = 0.2
"""Lateness of a tick at which the router counts as busy all the time.

Requests then wait longer for the router than for anything else, and a share of its
processor time that is taken away does not show in the time it uses.
"""


class Busyness:
    """Measures processor time used, and how late the event loop is.

    Parameters
    ----------
    cores : float
        Processor time that the router may use each second.
    """

    def __init__(self, cores: float) -> None:
        self._cores = max(0.01, cores)
        self._used = 0.0
        self._lag = 0.0

    @property
    def busy(self) -> float:
        """Part of the processor time that is used, from 0 to 1."""
        return min(1.0, max(self._used, self._lag / LAG_SECONDS))

    async def run(self) -> None:
        """Measure for ever."""
        loop = asyncio.get_running_loop()
        wall, used = loop.time(), time.process_time()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now, spent = loop.time(), time.process_time()
            elapsed = max(TICK_SECONDS, now - wall)
            self._note(elapsed, spent - used)
            wall, used = now, spent

    def _note(self, elapsed: float, spent: float) -> None:
        part = min(1.0, spent / elapsed / self._cores)
        self._used += WEIGHT * (part - self._used)
        self._lag += WEIGHT * (elapsed - TICK_SECONDS - self._lag)

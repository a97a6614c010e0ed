"""How much of its processor time this router uses."""

import asyncio
import time

__all__ = ["Busyness"]

TICK_SECONDS = 0.1
WEIGHT = 0.15
"""Weight of the latest tick: the figure follows within half a second."""

HELD_UP_SECONDS = 0.5
"""A tick that is so late means that pulses of others waited unread, half as long as
makes a router look silent."""

HELD_UP_MEMORY_SECONDS = 0.5
"""Time in which the pulses that waited are read, and new ones come."""

CROWDED = 0.5
"""Part of the processor time beyond which callers are asked to connect elsewhere.

A caller with much to ask may keep all its connections at one router, while the
others have room; it picks anew for each new connection.
"""

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
        self._late_until = 0.0

    @property
    def late(self) -> bool:
        """Whether the event loop was held up just now.

        Messages of other routers then wait unread, and all of them look silent.
        """
        return asyncio.get_running_loop().time() < self._late_until

    @property
    def busy(self) -> float:
        """Part of the processor time that is used, from 0 to 1."""
        return min(1.0, max(self._used, self._lag / LAG_SECONDS))

    @property
    def crowded(self) -> float:
        """Part of the connections that callers should move elsewhere, 0 to 1."""
        return max(0.0, (self.busy - CROWDED) / (1.0 - CROWDED))

    async def run(self) -> None:
        """Measure for ever."""
        loop = asyncio.get_running_loop()
        wall, used = loop.time(), time.process_time()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now, spent = loop.time(), time.process_time()
            elapsed = max(TICK_SECONDS, now - wall)
            self._note(elapsed, spent - used)
            if elapsed > HELD_UP_SECONDS:
                self._late_until = now + HELD_UP_MEMORY_SECONDS
            wall, used = now, spent

    def _note(self, elapsed: float, spent: float) -> None:
        part = min(1.0, spent / elapsed / self._cores)
        self._used += WEIGHT * (part - self._used)
        self._lag += WEIGHT * (elapsed - TICK_SECONDS - self._lag)

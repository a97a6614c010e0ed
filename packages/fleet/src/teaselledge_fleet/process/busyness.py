"""How much of its processor time this router uses."""

import asyncio
import math
import selectors
import time
from collections.abc import Callable

__all__ = ["EventLoopMonitor", "IdleSelector", "new_monitored_loop"]

TICK_SECONDS = 0.1
WEIGHT = 0.15
"""Weight of the latest tick: the figure follows within half a second."""

BLOCKED_SECONDS = 0.5
"""A tick that is so late means that pulses of others waited unread, half as long as
makes a router look silent."""

HELD_UP_MEMORY_SECONDS = 0.5
"""Time in which the pulses that waited are read, and new ones come."""

HIGH_UTILISATION = 0.5
"""Part of the processor time beyond which callers are asked to connect elsewhere.

A caller with much to ask may keep all its connections at one router, while the
others have room; it picks anew for each new connection.
"""

LAG_SECONDS = 0.2
"""Lateness of a tick at which the router counts as busy all the time.

Requests then wait longer for the router than for anything else, and a share of its
processor time that is taken away does not show in the time it uses.
"""


LONG_ITERATION_SECONDS = 0.08
"""A turn of the event loop that is so long holds up what waits for the next one.

A request takes about five turns from its arrival until it is sent, 0.4 s of an
objective of 0.8 s; turns of a router that has room take 5 to 20 ms.
"""

RESPONSIVE_ITERATION_SECONDS = 0.02
"""Longest turn with which times that are measured here are those of endpoints.

An answer waits for up to three turns on its way; the shortest that tell how fast an
endpoint reads take 0.1 s.
"""

MIN_LONG_ITERATIONS = 2
"""Long turns in a row that count. A VM that was paused has a single one, and can take
requests at once."""


class IdleSelector(selectors.DefaultSelector):
    """Counts the time in which an event loop waits for something to do.

    What a process says of its processor time may be wrong where it runs under a quota
    or on a clock that is not the machine's: routers that took it for true all called
    themselves used up, and sent their callers to the two largest of a zone.
    """

    def __init__(self) -> None:
        super().__init__()
        self.idle_seconds = 0.0
        self.consecutive_long_iterations = 0
        """Long turns in a row, up to the last one."""
        self.longest_iteration = 0.0
        """Seconds of the longest turn since it was last set to 0."""
        self._woke = time.monotonic()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait as the base class does, and count how long."""
        started = time.monotonic()
        turn = started - self._woke
        self.longest_iteration = max(self.longest_iteration, turn)
        long = turn >= LONG_ITERATION_SECONDS
        self.consecutive_long_iterations = (
            self.consecutive_long_iterations + 1 if long else 0
        )
        try:
            return super().select(timeout)
        finally:
            self._woke = time.monotonic()
            self.idle_seconds += self._woke - started


def new_monitored_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop of which `EventLoopMonitor` can tell how busy it is."""
    return asyncio.SelectorEventLoop(IdleSelector())


def _selector_of(loop: asyncio.AbstractEventLoop) -> IdleSelector | None:
    """Return what counts the loop's idle time; None for a loop without it."""
    selector = getattr(loop, "_selector", None)
    return selector if isinstance(selector, IdleSelector) else None


def _idle_of(loop: asyncio.AbstractEventLoop) -> Callable[[], float]:
    """Return what tells the loop's idle time; one that can't is taken for idle."""
    selector = _selector_of(loop)
    if selector is None:
        return time.monotonic
    return lambda: selector.idle_seconds


class EventLoopMonitor:
    """Measures how long the event loop works, and how late it is.

    Parameters
    ----------
    cores : float
        Processor time that the router may use each second.

    Attributes
    ----------
    on_tick : callable
        Called after each measurement.
    """

    def __init__(self, cores: float) -> None:
        # one process runs on one core at most
        self._cores = min(1.0, max(0.01, cores))
        self._used = 0.0
        self._loop_used = 0.0
        self._delayed_at = -math.inf
        """Loop time of the last look at a turn that was longer than prompt ones."""
        self._lag = 0.0
        self._late_until = 0.0
        self.on_tick: Callable[[], None] = lambda: None

    @property
    def recently_blocked(self) -> bool:
        """Whether the event loop was held up just now.

        Messages of other routers then wait unread, and all of them look silent.
        """
        return asyncio.get_running_loop().time() < self._late_until

    @property
    def overloaded(self) -> bool:
        """Whether requests wait for this router's loop rather than for endpoints.

        What it took would be sent when its caller has left or its endpoint is leaving.
        A refusal takes a part of the work that a request takes, so turns get shorter,
        and the first short one ends it.
        """
        selector = _selector_of(asyncio.get_running_loop())
        return (
            selector is not None
            and selector.consecutive_long_iterations >= MIN_LONG_ITERATIONS
        )

    def responsive_since(self, at: float) -> bool:
        """Whether answers were read about when they came since a loop time.

        Else what was measured of an endpoint since then is this router's own delay.
        """
        selector = _selector_of(asyncio.get_running_loop())
        if selector is None:
            return True
        return (
            self._delayed_at < at
            and selector.longest_iteration < RESPONSIVE_ITERATION_SECONDS
        )

    @property
    def utilisation(self) -> float:
        """Part of the processor time that is used, from 0 to 1."""
        return min(1.0, max(self._used, self._lag / LAG_SECONDS))

    @property
    def loop_utilisation(self) -> float:
        """Part of the last tick in which the event loop had work, from 0 to 1.

        It is 1 where more is asked of the router than it has time for, however its
        processor time is taken away.
        """
        return self._loop_used

    @property
    def rebalance_fraction(self) -> float:
        """Part of the connections that callers should move elsewhere, 0 to 1."""
        return max(
            0.0, (self.utilisation - HIGH_UTILISATION) / (1.0 - HIGH_UTILISATION)
        )

    def pop_longest_iteration(self) -> float:
        """Return the seconds of the loop's longest turn since the last call."""
        selector = _selector_of(asyncio.get_running_loop())
        if selector is None:
            return 0.0
        longest, selector.longest_iteration = selector.longest_iteration, 0.0
        if longest >= RESPONSIVE_ITERATION_SECONDS:
            self._delayed_at = asyncio.get_running_loop().time()
        return longest

    async def run(self) -> None:
        """Measure for ever."""
        loop = asyncio.get_running_loop()
        idle = _idle_of(loop)
        wall, waited = loop.time(), idle()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now, rested = loop.time(), idle()
            elapsed = max(TICK_SECONDS, now - wall)
            self._note(elapsed, max(0.0, elapsed - (rested - waited)))
            if elapsed > BLOCKED_SECONDS:
                self._late_until = now + HELD_UP_MEMORY_SECONDS
            wall, waited = now, rested
            self.on_tick()

    def _note(self, elapsed: float, spent: float) -> None:
        self._loop_used = min(1.0, spent / elapsed)
        part = min(1.0, self._loop_used / self._cores)
        self._used += WEIGHT * (part - self._used)
        self._lag += WEIGHT * (elapsed - TICK_SECONDS - self._lag)

"""Measure the CPU utilisation and the event loop of this router."""

import asyncio
import math
import selectors
import time
from collections.abc import Callable

__all__ = ["EventLoopMonitor", "IdleSelector", "new_monitored_loop"]

TICK_SECONDS = 0.1
SMOOTHING_FACTOR = 0.15
"""Weight of the latest tick; averages follow a change within half a second."""

BLOCKED_SECONDS = 0.5
"""Time between ticks from which the event loop counts as blocked.

Heartbeats of other routers then waited unread for half the time that makes a router
appear silent."""

BLOCKED_RECOVERY_SECONDS = 0.5
"""Time in which the heartbeats that waited are read and new ones arrive."""

HIGH_UTILISATION = 0.5
"""Utilisation beyond which callers are asked to connect to other routers.

A caller with many requests may keep all its connections at one router while others have
room; it chooses a router again for each new connection.
"""

FULL_UTILISATION_LAG_SECONDS = 0.2
"""Lag of a tick at which the utilisation counts as 1.

Requests then wait longer for the router than for anything else. CPU time that the
router is denied does not show in the time it uses.
"""

LONG_ITERATION_SECONDS = 0.08
"""Duration from which an iteration of the event loop counts as long.

A request takes about five iterations from its arrival until it is sent; at this
duration that is 0.4 s of a latency objective of 0.8 s. Iterations of a router with room
take 5 to 20 ms.
"""

RESPONSIVE_ITERATION_SECONDS = 0.02
"""Longest iteration with which measured response times are those of endpoints.

A response waits for up to three iterations; the shortest prefill times that are used as
samples take 0.1 s.
"""

MIN_LONG_ITERATIONS = 2
"""Consecutive long iterations from which the router counts as overloaded.

A VM that was paused has a single one, and can accept requests at once."""


class IdleSelector(selectors.DefaultSelector):
    """Measures the idle time and the iterations of an event loop.

    The CPU time that the system reports may be wrong under a quota or with a clock that
    is not the machine's: routers that relied on it all considered themselves fully
    utilised and sent their callers to the two largest routers of a zone.
    """

    def __init__(self) -> None:
        super().__init__()
        self.idle_seconds = 0.0
        self.consecutive_long_iterations = 0
        """Length of the latest run of long iterations; 0 if the last one was short."""
        self.longest_iteration = 0.0
        """Longest iteration since this was last reset to 0, in seconds."""
        self._woke_at = time.monotonic()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait as the base class does, and add the waiting time to the idle time."""
        started = time.monotonic()
        iteration = started - self._woke_at
        self.longest_iteration = max(self.longest_iteration, iteration)
        is_long = iteration >= LONG_ITERATION_SECONDS
        self.consecutive_long_iterations = (
            self.consecutive_long_iterations + 1 if is_long else 0
        )
        try:
            return super().select(timeout)
        finally:
            self._woke_at = time.monotonic()
            self.idle_seconds += self._woke_at - started


def new_monitored_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that `EventLoopMonitor` can measure."""
    return asyncio.SelectorEventLoop(IdleSelector())


def _selector_of(loop: asyncio.AbstractEventLoop) -> IdleSelector | None:
    """Return the loop's `IdleSelector`; None if it has another selector."""
    selector = getattr(loop, "_selector", None)
    return selector if isinstance(selector, IdleSelector) else None


def _idle_clock_of(loop: asyncio.AbstractEventLoop) -> Callable[[], float]:
    """Return a function for the loop's idle time; a loop without one counts as idle."""
    selector = _selector_of(loop)
    if selector is None:
        return time.monotonic
    return lambda: selector.idle_seconds


class EventLoopMonitor:
    """Measures the utilisation and the lag of the event loop.

    Parameters
    ----------
    cores : float
        CPU seconds that the router may use each second.

    Attributes
    ----------
    on_tick : callable
        Called after each measurement.
    """

    def __init__(self, cores: float) -> None:
        # one process runs on one core at most
        self._cores = min(1.0, max(0.01, cores))
        self._smoothed_utilisation = 0.0
        self._loop_utilisation = 0.0
        self._last_delay_at = -math.inf
        """Loop time at which an iteration that was not responsive was last recorded."""
        self._smoothed_lag = 0.0
        self._blocked_until = 0.0
        self.on_tick: Callable[[], None] = lambda: None

    @property
    def recently_blocked(self) -> bool:
        """Whether the event loop was blocked a moment ago.

        Messages of other routers then wait unread, and all routers appear silent.
        """
        return asyncio.get_running_loop().time() < self._blocked_until

    @property
    def overloaded(self) -> bool:
        """Whether requests wait for this router's event loop rather than for endpoints.

        Accepted requests would be sent after their caller had left or while their
        endpoint is leaving. A refusal takes less work than a request, so iterations get
        shorter, and the first short one ends the overload.
        """
        selector = _selector_of(asyncio.get_running_loop())
        return (
            selector is not None
            and selector.consecutive_long_iterations >= MIN_LONG_ITERATIONS
        )

    def responsive_since(self, since: float) -> bool:
        """Whether responses have been read without delay since a loop time.

        Otherwise response times measured since then include this router's own delay.
        """
        selector = _selector_of(asyncio.get_running_loop())
        if selector is None:
            return True
        return (
            self._last_delay_at < since
            and selector.longest_iteration < RESPONSIVE_ITERATION_SECONDS
        )

    @property
    def utilisation(self) -> float:
        """Fraction of the CPU time that is used, 0 to 1."""
        return min(
            1.0,
            max(
                self._smoothed_utilisation,
                self._smoothed_lag / FULL_UTILISATION_LAG_SECONDS,
            ),
        )

    @property
    def loop_utilisation(self) -> float:
        """Fraction of the last tick in which the event loop was not idle, 0 to 1.

        It is 1 if the router has more work than time, even if its CPU time is taken by
        others.
        """
        return self._loop_utilisation

    @property
    def peak_utilisation(self) -> float:
        """The utilisation, or that of the last tick if it is higher, 0 to 1.

        It shows a flood at once, half a second before the average.
        """
        return max(self.utilisation, min(1.0, self._loop_utilisation / self._cores))

    @property
    def rebalance_fraction(self) -> float:
        """Fraction of connections that should move to other routers, 0 to 1."""
        return max(
            0.0, (self.utilisation - HIGH_UTILISATION) / (1.0 - HIGH_UTILISATION)
        )

    def pop_longest_iteration(self) -> float:
        """Return the duration of the longest iteration since the last call."""
        selector = _selector_of(asyncio.get_running_loop())
        if selector is None:
            return 0.0
        longest, selector.longest_iteration = selector.longest_iteration, 0.0
        if longest >= RESPONSIVE_ITERATION_SECONDS:
            self._last_delay_at = asyncio.get_running_loop().time()
        return longest

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        idle_clock = _idle_clock_of(loop)
        last_time, last_idle = loop.time(), idle_clock()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now, idle_seconds = loop.time(), idle_clock()
            elapsed = max(TICK_SECONDS, now - last_time)
            self._record_tick(elapsed, max(0.0, elapsed - (idle_seconds - last_idle)))
            if elapsed > BLOCKED_SECONDS:
                self._blocked_until = now + BLOCKED_RECOVERY_SECONDS
            last_time, last_idle = now, idle_seconds
            self.on_tick()

    def _record_tick(self, elapsed: float, busy_seconds: float) -> None:
        self._loop_utilisation = min(1.0, busy_seconds / elapsed)
        utilisation = min(1.0, self._loop_utilisation / self._cores)
        self._smoothed_utilisation += SMOOTHING_FACTOR * (
            utilisation - self._smoothed_utilisation
        )
        self._smoothed_lag += SMOOTHING_FACTOR * (
            elapsed - TICK_SECONDS - self._smoothed_lag
        )

"""Limit the connections of a router to those it can serve in time."""

import math

from teaselledge_fleet.process.busyness import LONG_ITERATION_SECONDS

__all__ = ["ConnectionLimit"]

LIMIT_AFTER_TICKS = 2
"""Consecutive long or saturated ticks after which the limit is lowered.

A VM that was paused has a single one with a long iteration."""

MIN_LIMIT = 20
"""Lowest limit, so that enough connections remain to adapt it."""

MIN_SATURATED_LIMIT = 50
"""Lowest limit for a saturated loop; with fewer, other work is saturating it."""

MIN_CUT_FACTOR = 0.3
"""Smallest factor by which the limit is multiplied in one step."""

SATURATED_UTILISATION = 0.95
"""Utilisation of the event loop from which no further connections are accepted.

The cost of a connection is spread over the one or two seconds that it lasts."""

MAX_GROWTH_FRACTION = 0.3
"""Fraction by which the limit grows in a tick in which the event loop is idle.

In other ticks it grows in proportion to the idle time."""

RESERVED_FACTOR = 1.2
"""Factor of the limit up to which entitled connections are accepted.

They count like any other, so that the others get fewer until the limit holds again."""

MAX_LIMIT = 4000
"""Limit beyond which there is none; file descriptors run out there too."""


class ConnectionLimit:
    """Adapts a limit of connections to the load of the event loop.

    Requests wait for iterations of the loop: with too many connections, a router serves
    none of them in time. The limit is capped at the open connections while the loop is
    saturated, falls with the length of its iterations, and grows with its idle time.
    """

    def __init__(self) -> None:
        self._limit = math.inf
        self._long_ticks = 0
        self._saturated_ticks = 0

    @property
    def limit(self) -> float:
        """Maximum number of open connections; infinite if not limited."""
        return self._limit

    def allows(self, running: int) -> bool:
        """Whether one more connection may be accepted beside those that run."""
        return running < self._limit

    def allows_entitled(self, running: int) -> bool:
        """Whether one more connection may be accepted that is owed to its caller."""
        return running < self._limit * RESERVED_FACTOR

    def update(
        self, longest_iteration: float, loop_utilisation: float, running: int
    ) -> None:
        """Update the limit with the measurements of a tick.

        Parameters
        ----------
        longest_iteration : float
            Longest iteration of the event loop in the tick, in seconds.
        loop_utilisation : float
            Fraction of the tick in which the event loop was not idle, 0 to 1.
        running : int
            Connections that are served or relayed.
        """
        is_long, is_saturated = (
            longest_iteration >= LONG_ITERATION_SECONDS,
            loop_utilisation >= SATURATED_UTILISATION,
        )
        self._long_ticks = self._long_ticks + 1 if is_long else 0
        self._saturated_ticks = self._saturated_ticks + 1 if is_saturated else 0
        if self._long_ticks >= LIMIT_AFTER_TICKS and self._has_settled(running):
            cut_factor = max(MIN_CUT_FACTOR, LONG_ITERATION_SECONDS / longest_iteration)
            self._limit = max(MIN_LIMIT, min(self._limit, running) * cut_factor)
        elif self._saturated_ticks >= LIMIT_AFTER_TICKS:
            self._limit = min(self._limit, max(MIN_SATURATED_LIMIT, running))
        elif not is_long:
            self._grow(1.0 - loop_utilisation)

    def _has_settled(self, running: int) -> bool:
        """Whether no more connections run than the limit allows.

        Those beyond it keep iterations long until they end; lowering the limit again
        before that would count the same cause twice.
        """
        return running < self._limit + 1

    def _grow(self, idle_fraction: float) -> None:
        self._limit *= 1 + MAX_GROWTH_FRACTION * idle_fraction
        if self._limit > MAX_LIMIT:
            self._limit = math.inf

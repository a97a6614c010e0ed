"""How many connections a router has time for."""

import math

from teaselledge_fleet.process.busyness import LONG_ITERATION_SECONDS

__all__ = ["ConnectionLimit"]

LONG_TICKS = 2
"""Ticks in a row that count. A VM that was paused has a single one with a long turn."""

MIN_LIMIT = 20
"""Connections that are always taken, so that the limit can be learnt again."""

FEW = 50
"""Connections up to which it is something else that uses the router's time up."""

DEEPEST_CUT = 0.3
"""Least part of the limit that one cut leaves."""

SATURATED_UTILISATION = 0.95
"""Part of a tick in which the event loop has work, from which on no more connections
are taken than run. What a connection costs comes in the second or two that it lasts."""

GROWTH = 0.3
"""Part by which the limit grows in a tick in which the event loop has nothing to do; in
others it grows by the part of that in which it has nothing to do."""

MAX_LIMIT = 4000
"""Beyond this the limit is taken away; descriptors end there too."""


class ConnectionLimit:
    """Learns from the event loop's time how many connections to serve.

    Requests wait for turns: with more connections than it has time for, a router
    serves none of them in time. The limit stops at what runs while the loop always has
    work, falls with the length of its turns, and grows with the time that is left.
    """

    def __init__(self) -> None:
        self._limit = math.inf
        self._long_ticks = 0
        self._full_ticks = 0

    @property
    def limit(self) -> float:
        """Connections that may be open; infinite while there is time for all."""
        return self._limit

    def allows(self, running: int) -> bool:
        """Whether one more connection may be taken beside those that run."""
        return running < self._limit

    def update(self, longest_turn: float, used: float, running: int) -> None:
        """Learn from a tick.

        Parameters
        ----------
        longest_turn : float
            Seconds of the event loop's longest turn in it.
        used : float
            Part of it in which the event loop had work, 0 to 1.
        running : int
            Connections that are served or passed on.
        """
        long, full = (
            longest_turn >= LONG_ITERATION_SECONDS,
            used >= SATURATED_UTILISATION,
        )
        self._long_ticks = self._long_ticks + 1 if long else 0
        self._full_ticks = self._full_ticks + 1 if full else 0
        if self._long_ticks >= LONG_TICKS and self._settled(running):
            cut = max(DEEPEST_CUT, LONG_ITERATION_SECONDS / longest_turn)
            self._limit = max(MIN_LIMIT, min(self._limit, running) * cut)
        elif self._full_ticks >= LONG_TICKS:
            self._limit = min(self._limit, max(FEW, running))
        elif not long:
            self._grow(1.0 - used)

    def _settled(self, running: int) -> bool:
        """Whether no more runs than the limit allows.

        What runs beyond it keeps turns long until it ends; another cut before that
        would be for the same reason.
        """
        return running < self._limit + 1

    def _grow(self, idle: float) -> None:
        self._limit *= 1 + GROWTH * idle
        if self._limit > MAX_LIMIT:
            self._limit = math.inf

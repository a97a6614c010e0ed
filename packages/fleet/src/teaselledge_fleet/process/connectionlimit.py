"""How many connections a router has time for."""

import math

from teaselledge_fleet.process.busyness import LONG_TURN_SECONDS

__all__ = ["ConnectionLimit"]

LONG_TICKS = 2
"""Ticks in a row with a long turn before the limit falls. A VM that was paused has a
single one."""

LEAST = 20
"""Connections that are always taken, so that the limit can be learnt again."""

DEEPEST_CUT = 0.3
GROWTH = 0.03
"""Least part of the limit that one cut leaves, and part by which it grows in a tick
without a long turn."""

UNLIMITED = 4000
"""Beyond this the limit is taken away; descriptors end there too."""


class ConnectionLimit:
    """Learns from the length of the event loop's turns how many connections to serve.

    Requests wait for turns: with more connections than it has time for, a router
    serves none of them in time. The limit falls with the length of the turns and grows
    while they are short.
    """

    def __init__(self) -> None:
        self._limit = math.inf
        self._long_ticks = 0

    @property
    def limit(self) -> float:
        """Connections that may be open; infinite while turns are short."""
        return self._limit

    def allows(self, running: int) -> bool:
        """Whether one more connection may be taken beside those that run."""
        return running < self._limit

    def note(self, longest_turn: float, running: int) -> None:
        """Learn from a tick.

        Parameters
        ----------
        longest_turn : float
            Seconds of the event loop's longest turn in it.
        running : int
            Connections that are served or passed on.
        """
        if longest_turn < LONG_TURN_SECONDS:
            self._long_ticks = 0
            self._grow()
            return
        self._long_ticks += 1
        # what runs beyond the limit keeps turns long until it ends; another cut before
        # that would be for the same reason
        settled = running <= math.ceil(min(self._limit, UNLIMITED))
        if self._long_ticks >= LONG_TICKS and settled:
            cut = max(DEEPEST_CUT, LONG_TURN_SECONDS / longest_turn)
            self._limit = max(LEAST, min(self._limit, running) * cut)

    def _grow(self) -> None:
        self._limit *= 1 + GROWTH
        if self._limit > UNLIMITED:
            self._limit = math.inf

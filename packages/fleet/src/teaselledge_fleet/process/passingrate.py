"""How many connections other routers have room for."""

import math

__all__ = ["OffloadLimiter"]

WEIGHT = 0.3
"""Weight of the latest tick: what is passed on follows within half a second."""

MOSTLY_REFUSED = 0.5
"""Part that others refuse, from which on fewer are passed on."""

MARGIN = 1.5
"""Connections that are passed on for each that was not refused, so that it shows when
others have more room."""

MIN_OFFLOADS = 3.0
"""Connections a tick that are always passed on, for the same reason."""


class OffloadLimiter:
    """Learns from their refusals how much other routers can take over.

    A connection that is refused after it was passed on costs two routers more than its
    request is worth, and its caller time. One that is refused here at once costs a
    third of passing it on.
    """

    def __init__(self) -> None:
        self._passed = self._refused = 0
        self._mean_passed = self._mean_refused = 0.0
        self._left = math.inf

    @property
    def allowed(self) -> bool:
        """Whether one more connection may be passed on in this tick."""
        return self._left > 0

    def record_offload(self) -> None:
        """Count a connection that is passed on."""
        self._passed += 1
        self._left -= 1

    def record_refusal(self) -> None:
        """Count one that the other router refused."""
        self._refused += 1

    def start_tick(self) -> None:
        """Begin a tick."""
        self._mean_passed += WEIGHT * (self._passed - self._mean_passed)
        self._mean_refused += WEIGHT * (self._refused - self._mean_refused)
        self._passed = self._refused = 0
        self._left = math.inf
        if self._mean_refused > MOSTLY_REFUSED * self._mean_passed:
            taken = max(0.0, self._mean_passed - self._mean_refused)
            self._left = max(MIN_OFFLOADS, MARGIN * taken)

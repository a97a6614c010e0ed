"""Limit offloaded connections to those that other routers accept."""

import math

__all__ = ["OffloadLimiter"]

SMOOTHING_FACTOR = 0.3
"""Weight of the latest tick; averages follow a change within half a second."""

HIGH_REFUSAL_FRACTION = 0.5
"""Refused fraction of offloaded connections above which offloading is limited."""

PROBE_FACTOR = 1.5
"""Connections offloaded for each accepted one, to detect when others have room."""

MIN_OFFLOADS = 3.0
"""Connections that may be offloaded in every tick, for the same reason."""


class OffloadLimiter:
    """Limits the rate of offloading by the refusals of other routers.

    Only refusals for want of a router count, as shares and engines refuse a request at
    any router.

    A connection that is refused after it was offloaded costs two routers more than its
    request is worth, and delays its caller. Refusing it here at once costs a third of
    offloading it.
    """

    def __init__(self) -> None:
        self._offloaded = self._refused = 0
        self._mean_offloaded = self._mean_refused = 0.0
        self._remaining = math.inf

    @property
    def allowed(self) -> bool:
        """Whether one more connection may be offloaded in this tick."""
        return self._remaining > 0

    def record_offload(self) -> None:
        """Count an offloaded connection."""
        self._offloaded += 1
        self._remaining -= 1

    def record_refusal(self) -> None:
        """Count an offloaded connection that the other router refused."""
        self._refused += 1

    def start_tick(self) -> None:
        """Start a tick: update the averages and the limit."""
        self._mean_offloaded += SMOOTHING_FACTOR * (
            self._offloaded - self._mean_offloaded
        )
        self._mean_refused += SMOOTHING_FACTOR * (self._refused - self._mean_refused)
        self._offloaded = self._refused = 0
        self._remaining = math.inf
        if self._mean_refused > HIGH_REFUSAL_FRACTION * self._mean_offloaded:
            accepted = max(0.0, self._mean_offloaded - self._mean_refused)
            self._remaining = max(MIN_OFFLOADS, PROBE_FACTOR * accepted)

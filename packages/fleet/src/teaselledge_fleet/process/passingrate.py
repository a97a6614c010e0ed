"""Limit offloaded connections to those that other routers accept."""

import math
from collections import deque
from dataclasses import dataclass

__all__ = ["OffloadLimiter"]

RESPONSE_TICKS = 5
"""Ticks after which the refusals of offloaded connections have been received. A router
without capacity refuses at once, but both event loops may be late."""

HIGH_REFUSAL_FRACTION = 0.5
"""Refused fraction of offloaded connections above which offloading is limited."""

PROBE_FACTOR = 2.0
"""Connections offloaded for each accepted one, to detect when others have room."""

MIN_OFFLOADS = 8.0
"""Connections that may be offloaded in every tick, for the same reason."""

RELAXATION_FACTOR = 1.05
"""Growth of the limit in a tick in which others have room."""

MAX_OFFLOADS = 1000.0
"""Connections in a tick beyond which there is no limit."""


@dataclass
class _Tick:
    """Connections offloaded in a tick, and those of them that were refused."""

    number: int
    offloaded: int = 0
    refused: int = 0


class OffloadLimiter:
    """Limits the rate of offloading by the refusals of other routers.

    Only refusals for want of a router count, as shares and engines refuse a request at
    any router.

    A connection that is refused after it was offloaded costs two routers more than its
    request is worth, and delays its caller. Refusing it here at once costs a third of
    offloading it.

    Refusals count in the tick in which their connections were offloaded. Compared with
    what is offloaded when they arrive, those of a burst would limit later ticks, too.
    """

    def __init__(self) -> None:
        self._ticks = deque([_Tick(0)])
        self._limit = self._remaining = math.inf

    @property
    def allowed(self) -> bool:
        """Whether one more connection may be offloaded in this tick."""
        return self._remaining > 0

    def record_offload(self) -> int:
        """Count an offloaded connection; return the number of the tick."""
        tick = self._ticks[-1]
        tick.offloaded += 1
        self._remaining -= 1
        return tick.number

    def record_refusal(self, tick_number: int) -> None:
        """Count a connection that the other router refused.

        Parameters
        ----------
        tick_number : int
            Tick in which it was offloaded.
        """
        age = self._ticks[-1].number - tick_number
        if age < len(self._ticks):
            self._ticks[-1 - age].refused += 1

    def start_tick(self) -> None:
        """Start a tick, and update the limit by the latest one with all refusals."""
        self._ticks.append(_Tick(self._ticks[-1].number + 1))
        if len(self._ticks) > RESPONSE_TICKS + 1:
            self._update_limit(self._ticks.popleft())
        self._remaining = self._limit

    def _update_limit(self, tick: _Tick) -> None:
        accepted = tick.offloaded - tick.refused
        probed = max(MIN_OFFLOADS, PROBE_FACTOR * accepted)
        if tick.refused > HIGH_REFUSAL_FRACTION * tick.offloaded:
            self._limit = probed
            return
        self._limit = max(RELAXATION_FACTOR * self._limit, probed)
        if self._limit > MAX_OFFLOADS:
            self._limit = math.inf

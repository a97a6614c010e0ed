"""Log what becomes of new connections while a router can't serve all of them."""

import asyncio
from dataclasses import asdict, dataclass

from teaselledge_fleet.log import get_log

__all__ = ["ConnectionCounts", "ConnectionLog"]

_log = get_log("connections")

LOG_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True)
class ConnectionCounts:
    """Connections of a router since its start, by what became of them.

    Attributes
    ----------
    accepted : int
        Opened by callers.
    refused : int
        Refused for want of time, read or not.
    abandoned : int
        Refused ones whose caller had left before the refusal.
    relayed : int
        Relayed to another router.
    relays_abandoned : int
        Relayed ones whose caller left before the first byte of a response.
    relays_refused : int
        Relayed ones that the other router had no time for.
    relays_served : int
        Relayed ones with another response than a refusal.
    """

    accepted: int = 0
    refused: int = 0
    abandoned: int = 0
    relayed: int = 0
    relays_abandoned: int = 0
    relays_refused: int = 0
    relays_served: int = 0

    def since(self, earlier: "ConnectionCounts") -> "ConnectionCounts":
        """Return the increase of each count."""
        before = asdict(earlier)
        return ConnectionCounts(
            **{name: count - before[name] for name, count in asdict(self).items()}
        )


class ConnectionLog:
    """Writes a line a second while connections are refused or relayed."""

    def __init__(self) -> None:
        self._logged = ConnectionCounts()
        self._logged_at = 0.0

    def update(
        self, counts: ConnectionCounts, running: int, limit: float, utilisation: float
    ) -> None:
        """Write a line if it is time.

        Parameters
        ----------
        counts : ConnectionCounts
            Counts since the start.
        running : int
            Connections that are served or relayed.
        limit : float
            Maximum of them.
        utilisation : float
            Fraction of the last tick in which the event loop was not idle, 0 to 1.
        """
        now = asyncio.get_running_loop().time()
        elapsed = now - self._logged_at
        if elapsed < LOG_INTERVAL_SECONDS:
            return
        recent = counts.since(self._logged)
        self._logged, self._logged_at = counts, now
        if not recent.refused and not recent.relayed:
            return
        # a warning, as an overloaded router drops lines of lower levels
        _log.warning(
            "connections",
            seconds=round(elapsed, 2),
            running=running,
            limit=round(limit) if limit < float("inf") else None,
            loop_busy=round(utilisation, 2),
            **asdict(recent),
        )

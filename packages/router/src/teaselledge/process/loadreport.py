"""Load reports of endpoints, which lag behind."""

from collections import deque
from dataclasses import dataclass

__all__ = ["LoadReport", "ExternalLoad"]

LAG_SECONDS = 3.0
"""Longest lag of a report that is reckoned with."""

STALE_SECONDS = 10.0


@dataclass(frozen=True)
class LoadReport:
    """What an endpoint tells of its load.

    Attributes
    ----------
    endpoint : str
        Its name.
    running, queued : int
        Requests in its batch, and those that wait for it.
    """

    endpoint: str
    running: int
    queued: int = 0


class ExternalLoad:
    """Requests at one endpoint that this dispatcher did not grant.

    A second dispatcher of the shard, during a split, or an ingress that
    reaches no dispatcher sends requests there too; one notices by answers
    slower than the own count explains. A report shows an earlier moment, so
    the own requests must not be taken for others': it is compared with the
    most that ran here within the lag.
    """

    def __init__(self) -> None:
        self._own: deque[tuple[float, int]] = deque()
        self._others = 0
        self._heard = -STALE_SECONDS

    def record_own(self, used: int, now: float) -> None:
        """Note the own count after it changed."""
        own = self._own
        while own and own[-1][1] <= used:
            own.pop()
        own.append((now, used))
        self._trim(now)

    def observe(self, report: LoadReport, now: float) -> None:
        """Take a report."""
        self._trim(now)
        most = self._own[0][1] if self._own else 0
        self._others = max(0, report.running + report.queued - most)
        self._heard = now

    def external_requests(self, now: float) -> int:
        """Return how many requests others have there."""
        return self._others if now - self._heard < STALE_SECONDS else 0

    def _trim(self, now: float) -> None:
        # keep the last count that held at the start of the window
        own = self._own
        while len(own) > 1 and own[1][0] <= now - LAG_SECONDS:
            own.popleft()

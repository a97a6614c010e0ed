"""Load reports of endpoints, which arrive with a lag."""

from collections import deque
from dataclasses import dataclass

__all__ = ["LoadReport", "ExternalLoad"]

MAX_REPORT_LAG_SECONDS = 3.0
"""Maximum lag of a report behind the state of the endpoint."""

REPORT_TTL_SECONDS = 10.0


@dataclass(frozen=True)
class LoadReport:
    """Load that an endpoint reports.

    Attributes
    ----------
    endpoint : str
        Name of the endpoint.
    running, queued : int
        Number of requests in its batch, and of those that wait for it.
    """

    endpoint: str
    running: int
    queued: int = 0


class ExternalLoad:
    """Requests at one endpoint that this dispatcher did not grant.

    They come from a second dispatcher of the shard during a network partition,
    or from an ingress that reaches no dispatcher; the symptom is responses
    slower than the own requests explain. A report shows an earlier state. So
    that own requests do not count as external, it is compared with the maximum
    of the own requests within the lag.
    """

    def __init__(self) -> None:
        self._own_counts: deque[tuple[float, int]] = deque()
        self._external = 0
        self._reported_at = -REPORT_TTL_SECONDS

    def record_own(self, used: int, now: float) -> None:
        """Record the number of own requests after a change."""
        own_counts = self._own_counts
        while own_counts and own_counts[-1][1] <= used:
            own_counts.pop()
        own_counts.append((now, used))
        self._trim(now)

    def observe(self, report: LoadReport, now: float) -> None:
        """Apply a report."""
        self._trim(now)
        max_own = self._own_counts[0][1] if self._own_counts else 0
        self._external = max(0, report.running + report.queued - max_own)
        self._reported_at = now

    def external_requests(self, now: float) -> int:
        """Return the number of requests that others have there."""
        return self._external if now - self._reported_at < REPORT_TTL_SECONDS else 0

    def _trim(self, now: float) -> None:
        # keep the count that was valid at the start of the window
        own_counts = self._own_counts
        while len(own_counts) > 1 and own_counts[1][0] <= now - MAX_REPORT_LAG_SECONDS:
            own_counts.popleft()

"""Decide when to fetch reports of endpoints that ended which other routers have.

Reports are sent some times each. A router that did not run at that time, or was cut
off, finds that it lacks some by the summary in each heartbeat.
"""

import asyncio
import math
from collections.abc import Callable

from teaselledge_fleet.quarantine.records import EndRecords, EndSummary

__all__ = ["EndReconciliation"]

STARTING_SECONDS = 3.0
"""Time after its start in which a router fetches what it lacks without waiting."""

MIN_DIFFERENCE_SECONDS = 2.0
"""Time for which summaries have to differ. New reports are under way, and those that
expire do not expire at all routers at once."""

MAX_DIFFERENCE_SECONDS = 6.0
"""Time after which a summary that differed once no longer counts."""

MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 64.0
"""Time between two fetches; it doubles while they bring nothing new."""


class EndReconciliation:
    """Compares the summaries of other routers with the own records.

    Parameters
    ----------
    records : EndRecords
        What this router knows.
    clock : callable, optional
        Returns the loop time.
    """

    def __init__(
        self, records: EndRecords, clock: Callable[[], float] | None = None
    ) -> None:
        self._records = records
        self._clock = clock or (lambda: asyncio.get_running_loop().time())
        self._started = self._clock()
        self._differs_since = -math.inf
        self._differing = EndSummary()
        self._retry_seconds = MIN_RETRY_SECONDS
        self._next_fetch_at = -math.inf

    def needs_fetch(self, other: EndSummary) -> bool:
        """Whether to fetch the reports of a router, by its summary."""
        own, now = self._records.summary, self._clock()
        if other == own or other.count < own.count or now < self._next_fetch_at:
            return False
        if now < self._started + STARTING_SECONDS:
            return True
        if own != self._differing or now > self._differs_since + MAX_DIFFERENCE_SECONDS:
            self._differing, self._differs_since = own, now
            return False
        return now >= self._differs_since + MIN_DIFFERENCE_SECONDS

    def record_fetch(self, found: int) -> None:
        """Record a fetch that brought a number of new reports."""
        if found:
            self._retry_seconds = MIN_RETRY_SECONDS
        else:
            self._retry_seconds = min(2 * self._retry_seconds, MAX_RETRY_SECONDS)
        self._next_fetch_at = self._clock() + self._retry_seconds

"""How attempts at each endpoint went lately."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["OutlierDetector"]

MEMORY_SECONDS = 4.0
"""Time after which a result counts a third of what it did."""

PRIOR = 2.0
"""Good results that every endpoint is taken to have had.

A single failure among few requests then does not shut an endpoint out.
"""

UNREACHED_SECONDS = 0.7
UNREACHED_LONGEST = 4.0
"""Pauses after an endpoint could not be connected to; they double."""


@dataclass
class _Record:
    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0
    avoid_until: float = 0.0
    pause: float = UNREACHED_SECONDS


class OutlierDetector:
    """Weighs results by age, and avoids endpoints that can't be reached.

    A health check can lie in both directions; what came of real requests does not.
    """

    def __init__(self) -> None:
        self._records: defaultdict[str, _Record] = defaultdict(_Record)

    def record_outcome(self, endpoint: str, good: bool) -> None:
        """Note how an attempt ended."""
        record = self._faded(endpoint)
        if good:
            record.good += 1
            record.pause = UNREACHED_SECONDS
            record.avoid_until = 0.0
        else:
            record.bad += 1

    def record_connect_failure(self, endpoint: str) -> None:
        """Note that an endpoint could not be connected to."""
        record = self._faded(endpoint)
        record.bad += 1
        record.avoid_until = self._now() + record.pause
        record.pause = min(UNREACHED_LONGEST, 2 * record.pause)

    def failure_rate(self, endpoint: str) -> float:
        """Return the part of the latest attempts that failed, from 0 to 1."""
        known = self._records.get(endpoint)
        if known is None or not known.bad:
            return 0.0
        record = self._faded(endpoint)
        return record.bad / (record.bad + record.good + PRIOR)

    def is_ejected(self, endpoint: str) -> bool:
        """Whether an endpoint should not be tried now."""
        known = self._records.get(endpoint)
        return known is not None and known.avoid_until > self._now()

    def retain_endpoints(self, endpoints: set[str]) -> None:
        """Forget endpoints that are gone."""
        for name in list(self._records):
            if name not in endpoints:
                del self._records[name]

    def _faded(self, endpoint: str) -> _Record:
        record = self._records[endpoint]
        now = self._now()
        left = 3.0 ** (-(now - record.at) / MEMORY_SECONDS) if record.at else 0.0
        record.good *= left
        record.bad *= left
        record.at = now
        return record

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

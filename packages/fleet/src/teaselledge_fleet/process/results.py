"""Recent outcomes of attempts at each endpoint."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["OutlierDetector"]

DECAY_SECONDS = 4.0
"""Time in which the weight of an outcome falls to a third."""

PRIOR_SUCCESS_COUNT = 2.0
"""Successes that are assumed of every endpoint.

A single failure among few requests then does not exclude an endpoint.
"""

MIN_EJECTION_SECONDS = 0.7
MAX_EJECTION_SECONDS = 4.0
"""Shortest and longest ejection after a failed connection; it doubles each time."""


@dataclass
class _EndpointRecord:
    success_count: float = 0.0
    failure_count: float = 0.0
    updated_at: float = 0.0
    ejected_until: float = 0.0
    ejection_seconds: float = MIN_EJECTION_SECONDS


class OutlierDetector:
    """Tracks failure rates, weighted by age, and ejects unreachable endpoints.

    Health checks can be wrong in both directions; outcomes of real requests are not.
    """

    def __init__(self) -> None:
        self._records: defaultdict[str, _EndpointRecord] = defaultdict(_EndpointRecord)

    def record_outcome(self, endpoint: str, succeeded: bool) -> None:
        """Record the outcome of an attempt."""
        record = self._decayed(endpoint)
        if succeeded:
            record.success_count += 1
            record.ejection_seconds = MIN_EJECTION_SECONDS
            record.ejected_until = 0.0
        else:
            record.failure_count += 1

    def record_connect_failure(self, endpoint: str) -> None:
        """Record that a connection to an endpoint failed."""
        record = self._decayed(endpoint)
        record.failure_count += 1
        record.ejected_until = self._now() + record.ejection_seconds
        record.ejection_seconds = min(MAX_EJECTION_SECONDS, 2 * record.ejection_seconds)

    def failure_rate(self, endpoint: str) -> float:
        """Return the fraction of recent attempts that failed, 0 to 1."""
        known = self._records.get(endpoint)
        if known is None or not known.failure_count:
            return 0.0
        record = self._decayed(endpoint)
        return record.failure_count / (
            record.failure_count + record.success_count + PRIOR_SUCCESS_COUNT
        )

    def is_ejected(self, endpoint: str) -> bool:
        """Whether an endpoint should not be tried at present."""
        known = self._records.get(endpoint)
        if known is None or not known.ejected_until:
            return False
        return known.ejected_until > self._now()

    def retain_endpoints(self, endpoints: set[str]) -> None:
        """Drop the state of endpoints that no longer exist."""
        for name in list(self._records):
            if name not in endpoints:
                del self._records[name]

    def _decayed(self, endpoint: str) -> _EndpointRecord:
        record = self._records[endpoint]
        now = self._now()
        decay_factor = (
            3.0 ** (-(now - record.updated_at) / DECAY_SECONDS)
            if record.updated_at
            else 0.0
        )
        record.success_count *= decay_factor
        record.failure_count *= decay_factor
        record.updated_at = now
        return record

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

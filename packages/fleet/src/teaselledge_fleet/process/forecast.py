"""How long a request would wait at an endpoint for the first part of its answer."""

from collections import defaultdict

from teaselledge_fleet.process.prefill import PREFILL_TIME_FRACTION
from teaselledge_fleet.process.work import EndpointLoad

__all__ = ["ResponseTimeModel", "engine_queue_wait"]

TURN_SECONDS = 0.05
"""Time in which a full engine ends one of its requests: 48 of them last 2.4 s."""

INITIAL_SECONDS = 0.025
"""Time that a plain service takes, until its answers tell."""

SMOOTHING_FACTOR = 0.1
"""Weight of the latest answer."""

LONGEST_SECONDS = 1.0
"""A single answer counts as this at most, so that it can't shut an endpoint out."""


def engine_queue_wait(work: EndpointLoad, slots: int) -> float:
    """Return how long a request waits behind others at a model engine, in seconds.

    Engines admit in order of arrival. A prompt counts until its answer begins, so an
    engine that is slower than expected shows the longer wait by itself.
    """
    queued = max(0, work.in_flight + 1 - slots)
    return work.prefill_seconds / PREFILL_TIME_FRACTION + queued * TURN_SECONDS


class ResponseTimeModel:
    """Forecasts the time to the answer at plain services."""

    def __init__(self) -> None:
        self._seconds: defaultdict[str, float] = defaultdict(lambda: INITIAL_SECONDS)

    def predict(self, endpoint: str, work: EndpointLoad, slots: int) -> float:
        """Return the time to the answer."""
        service = self._seconds[endpoint]
        queued = max(0, work.in_flight + 1 - slots)
        return service * (1 + queued / slots)

    def observe(self, endpoint: str, seconds: float) -> None:
        """Learn from an answer."""
        known = self._seconds[endpoint]
        self._seconds[endpoint] = known + SMOOTHING_FACTOR * (
            min(seconds, LONGEST_SECONDS) - known
        )

"""Predict how long a request would wait at an endpoint for its response."""

from collections import defaultdict

from teaselledge_fleet.process.prefill import PREFILL_TIME_FRACTION
from teaselledge_fleet.process.work import EndpointLoad

__all__ = ["ResponseTimeModel", "engine_queue_wait"]

SLOT_RELEASE_SECONDS = 0.05
"""Mean time in which a slot of a full engine becomes free: 48 requests last 2.4 s."""

INITIAL_RESPONSE_SECONDS = 0.025
"""Estimated response time of a plain service before its first response."""

SMOOTHING_FACTOR = 0.1
"""Weight of the latest response."""

MAX_SAMPLE_SECONDS = 1.0
"""Longest response time counted, so that a single one can't exclude an endpoint."""


def engine_queue_wait(load: EndpointLoad, slots: int) -> float:
    """Return the expected queueing time of a request at an engine, in seconds.

    Engines process requests in order of arrival. A prompt counts until its response
    begins, so an engine that is slower than expected shows a longer queueing time
    without further correction.
    """
    queued = max(0, load.in_flight + 1 - slots)
    return load.prefill_seconds / PREFILL_TIME_FRACTION + queued * SLOT_RELEASE_SECONDS


class ResponseTimeModel:
    """Predicts the response times of plain services."""

    def __init__(self) -> None:
        self._seconds: defaultdict[str, float] = defaultdict(
            lambda: INITIAL_RESPONSE_SECONDS
        )

    def predict(self, endpoint: str, load: EndpointLoad, slots: int) -> float:
        """Return the expected response time in seconds."""
        response_seconds = self._seconds[endpoint]
        queued = max(0, load.in_flight + 1 - slots)
        return response_seconds * (1 + queued / slots)

    def observe(self, endpoint: str, seconds: float) -> None:
        """Update the estimate with the time of a response."""
        estimate = self._seconds[endpoint]
        self._seconds[endpoint] = estimate + SMOOTHING_FACTOR * (
            min(seconds, MAX_SAMPLE_SECONDS) - estimate
        )

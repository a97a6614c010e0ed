"""How long a request would wait at an endpoint for the first part of its answer."""

from collections import defaultdict

__all__ = ["PlainForecast", "slot_wait"]

TURN_SECONDS = 0.05
"""Time in which a full engine ends one of its requests: 48 of them last 2.4 s."""

FIRST_SECONDS = 0.025
"""Time that a plain service takes, until its answers tell."""

LEARNING = 0.1
"""Weight of the latest answer."""

LONGEST_SECONDS = 1.0
"""A single answer counts as this at most, so that it can't shut an endpoint out."""


def slot_wait(running: int, slots: int) -> float:
    """Return how long a request waits for a slot of a model engine."""
    return max(0, running + 1 - slots) * TURN_SECONDS


class PlainForecast:
    """Forecasts the time to the answer at plain services."""

    def __init__(self) -> None:
        self._seconds: defaultdict[str, float] = defaultdict(lambda: FIRST_SECONDS)

    def seconds(self, endpoint: str, running: int, slots: int) -> float:
        """Return the time to the answer."""
        service = self._seconds[endpoint]
        queued = max(0, running + 1 - slots)
        return service * (1 + queued / slots)

    def observe(self, endpoint: str, seconds: float) -> None:
        """Learn from an answer."""
        known = self._seconds[endpoint]
        self._seconds[endpoint] = known + LEARNING * (
            min(seconds, LONGEST_SECONDS) - known
        )

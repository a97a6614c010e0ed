"""Ejection of endpoints that fail, and their slow start afterwards."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["OutlierDetector", "OutlierDetectionConfig"]

MIN_SLOT_FRACTION = 0.01
"""Minimum fraction of the slots after an ejection; rounded up, it is one slot."""

HEALTHY_FAILURE_RATE = 0.01
"""Fraction of failed requests below which the state of an endpoint is removed."""


@dataclass(frozen=True)
class OutlierDetectionConfig:
    """Conditions of the ejection of an endpoint, and of its slow start.

    Attributes
    ----------
    consecutive_failures : int
        Number of consecutive failures after which it is ejected.
    failure_rate : float
        Minimum fraction of failed requests for an ejection.
    min_requests : int
        Number of finished requests before the failure rate applies.
    base_ejection_seconds, max_ejection_seconds : float
        Duration of the first ejection, and maximum duration. Each ejection
        soon after another takes twice as long.
    slow_start_seconds : float
        Time in which an endpoint regains all its slots.
    ewma_weight : float
        Weight of the latest request in the failure rate.
    """

    consecutive_failures: int = 5
    failure_rate: float = 0.5
    min_requests: int = 10
    base_ejection_seconds: float = 5.0
    max_ejection_seconds: float = 60.0
    slow_start_seconds: float = 10.0
    ewma_weight: float = 0.1


@dataclass
class _State:
    consecutive_failures: int = 0
    requests: int = 0
    failure_rate: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0

    def clear(self) -> None:
        self.consecutive_failures = self.requests = 0
        self.failure_rate = 0.0


class OutlierDetector:
    """Ejects endpoints of one shard by the results of their requests.

    An endpoint that fails fast is free again at once and would get the
    majority of the requests; the symptom is an error rate far above its
    fraction of the slots. An ejected endpoint gets no requests, and the slow
    start limits how many requests a still faulty one fails at a time.
    """

    def __init__(self, config: OutlierDetectionConfig | None = None) -> None:
        self._config = config or OutlierDetectionConfig()
        self._states: dict[str, _State] = {}

    @property
    def all_healthy(self) -> bool:
        """Whether no endpoint has a record of failures."""
        return not self._states

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Remove the state of endpoints that are not in the document."""
        names = set(endpoints)
        for name in set(self._states) - names:
            del self._states[name]

    def record_result(self, endpoint: str, failed: bool, now: float) -> bool:
        """Record the result of a request and return whether it ejects the endpoint."""
        state = self._states.get(endpoint)
        if state is None:
            if not failed:
                return False
            state = self._states[endpoint] = _State()
        config = self._config
        state.requests += 1
        state.failure_rate += config.ewma_weight * (float(failed) - state.failure_rate)
        state.consecutive_failures = state.consecutive_failures + 1 if failed else 0
        if now < state.ejected_until:
            # results of requests that started before the ejection
            return False
        if failed and self._should_eject(state):
            self._eject(state, now)
            return True
        healthy = now - state.ejected_until > config.max_ejection_seconds
        if healthy and state.failure_rate < HEALTHY_FAILURE_RATE:
            del self._states[endpoint]
        return False

    def slot_fraction(self, endpoint: str, now: float) -> float:
        """Return the fraction of its slots that an endpoint may use; 0 if ejected."""
        state = self._states.get(endpoint)
        if state is None or not state.ejections:
            return 1.0
        if now < state.ejected_until:
            return 0.0
        fraction = (now - state.ejected_until) / self._config.slow_start_seconds
        return min(1.0, max(MIN_SLOT_FRACTION, fraction))

    def _should_eject(self, state: _State) -> bool:
        config = self._config
        if state.consecutive_failures >= config.consecutive_failures:
            return True
        return (
            state.requests >= config.min_requests
            and state.failure_rate >= config.failure_rate
        )

    def _eject(self, state: _State, now: float) -> None:
        config = self._config
        if now - state.ejected_until > config.max_ejection_seconds:
            state.ejections = 0
        duration = config.base_ejection_seconds * 2**state.ejections
        state.ejected_until = now + min(config.max_ejection_seconds, duration)
        state.ejections += 1
        state.clear()

"""Keep work away from endpoints that fail, and let them return slowly."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["OutlierDetector", "OutlierDetectionConfig"]

LEAST_PART = 0.01
"""Part of the slots right after an ejection; rounded up, it is one slot."""

FORGET_RATE = 0.01
"""Part of failed requests below which an old record is dropped."""


@dataclass(frozen=True)
class OutlierDetectionConfig:
    """When an endpoint is ejected and how it returns.

    Attributes
    ----------
    consecutive_failures : int
        Failures in a row after which it is ejected.
    failure_rate : float
        Part of failed requests from which it is ejected.
    min_requests : int
        Requests that must have ended before the rate counts.
    base_ejection_seconds, max_ejection_seconds : float
        Length of the first ejection and of the longest; each ejection soon
        after another takes twice as long.
    slow_start_seconds : float
        Time over which an endpoint gets back all its slots.
    ewma_weight : float
        Weight of the latest request in the rate.
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
    in_a_row: int = 0
    requests: int = 0
    rate: float = 0.0
    ejections: int = 0
    until: float = 0.0

    def clear(self) -> None:
        self.in_a_row = self.requests = 0
        self.rate = 0.0


class OutlierDetector:
    """Ejects endpoints of one shard by the outcome of their requests.

    An endpoint that fails fast is free again at once, so that it would take
    most of the requests; one notices by errors far above its part of the
    slots. Ejection keeps work away from it, and the slow return keeps a still
    broken one from taking many at a time.
    """

    def __init__(self, limits: OutlierDetectionConfig | None = None) -> None:
        self._limits = limits or OutlierDetectionConfig()
        self._states: dict[str, _State] = {}

    @property
    def all_healthy(self) -> bool:
        """Whether no endpoint was ever ejected lately."""
        return not self._states

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Forget endpoints that are gone from the document."""
        names = set(endpoints)
        for name in set(self._states) - names:
            del self._states[name]

    def record_result(self, endpoint: str, failed: bool, now: float) -> bool:
        """Note the end of a request; return whether that ejects the endpoint."""
        state = self._states.get(endpoint)
        if state is None:
            if not failed:
                return False
            state = self._states[endpoint] = _State()
        limits = self._limits
        state.requests += 1
        state.rate += limits.ewma_weight * (float(failed) - state.rate)
        state.in_a_row = state.in_a_row + 1 if failed else 0
        if now < state.until:
            # outcomes of requests from before the ejection
            return False
        if failed and self._is_bad(state):
            self._eject(state, now)
            return True
        healthy = now - state.until > limits.max_ejection_seconds
        if healthy and state.rate < FORGET_RATE:
            del self._states[endpoint]
        return False

    def slot_fraction(self, endpoint: str, now: float) -> float:
        """Return which part of its slots an endpoint may use: 0 is ejected."""
        state = self._states.get(endpoint)
        if state is None or not state.ejections:
            return 1.0
        if now < state.until:
            return 0.0
        back = (now - state.until) / self._limits.slow_start_seconds
        return min(1.0, max(LEAST_PART, back))

    def _is_bad(self, state: _State) -> bool:
        limits = self._limits
        if state.in_a_row >= limits.consecutive_failures:
            return True
        return (
            state.requests >= limits.min_requests and state.rate >= limits.failure_rate
        )

    def _eject(self, state: _State, now: float) -> None:
        limits = self._limits
        if now - state.until > limits.max_ejection_seconds:
            state.ejections = 0
        length = limits.base_ejection_seconds * 2**state.ejections
        state.until = now + min(limits.max_ejection_seconds, length)
        state.ejections += 1
        state.clear()

"""Estimate the prefill time of engines from their response times."""

import math
from collections import defaultdict

__all__ = ["PREFILL_TIME_FRACTION", "PrefillModel"]

INITIAL_TOKENS_PER_SECOND = 90_000.0
INITIAL_SECONDS_PER_TOKEN_PAIR = 4e-10
"""Initial prefill speed: a rate, and the attention of each token to those before.

Both are of the order of today's large models on four accelerators; the estimated
slowdown corrects them together.
"""

PREFILL_TIME_FRACTION = 0.8
"""Fraction of its time that a busy engine spends on prefill, not on generation."""

INITIAL_OVERHEAD_SECONDS = 0.05
"""Initial estimate of the time to the first event without prefill.

It covers a step of the engine and the round trip."""

MIN_PREFILL_SAMPLE_SECONDS = 0.1
MAX_OVERHEAD_SAMPLE_SECONDS = 0.03
"""Ranges of predicted prefill time in which a response time is used.

Predictions of at least the first update the slowdown, those of at most the second the
overhead."""

SLOWDOWN_STEP = 0.02
"""Change of the slowdown's logarithm by one response.

The estimate tracks the median: a response that is off by a factor of ten counts no more
than any other. After 100 deviating responses in a row the slowdown has changed
sevenfold."""

OVERHEAD_STEP_SECONDS = 0.001
"""Change of the overhead by one response."""

MAX_SLOWDOWN = 8.0
"""Maximum factor by which the estimate may differ from the initial one."""


class _ServiceEstimate:
    """Estimated speed of the engines of one service."""

    def __init__(self) -> None:
        self.slowdown = 1.0
        self.overhead_seconds = INITIAL_OVERHEAD_SECONDS


class PrefillModel:
    """Predicts prefill times and corrects itself with each first event.

    Engines of different kinds differ in prefill speed. If the estimate is too fast,
    engines get more prompts than they can process in time, and all first events are
    late; if it is too slow, requests are refused that could have been served.
    """

    def __init__(self) -> None:
        self._estimates: defaultdict[str, _ServiceEstimate] = defaultdict(
            _ServiceEstimate
        )

    def predict(self, service: str, tokens: int, uncached_tokens: int) -> float:
        """Return the prefill time of a prompt of which some tokens are not cached."""
        return self._estimates[service].slowdown * _initial_prefill_seconds(
            tokens, uncached_tokens
        )

    def slowdown(self, service: str) -> float:
        """Return the estimated slowdown of a service's engines."""
        return self._estimates[service].slowdown

    def observe(self, service: str, prefill_seconds: float, seconds: float) -> None:
        """Update the estimates with the first event of a response.

        Parameters
        ----------
        service : str
            Service of the engine.
        prefill_seconds : float
            Predicted prefill time of the request and of those queued before it.
        seconds : float
            Time from sending the request to the first event.
        """
        estimate = self._estimates[service]
        forecast = prefill_seconds / PREFILL_TIME_FRACTION
        net_seconds = seconds - estimate.overhead_seconds
        if forecast >= MIN_PREFILL_SAMPLE_SECONDS:
            is_slower = net_seconds > forecast
            multiplier = math.exp(SLOWDOWN_STEP if is_slower else -SLOWDOWN_STEP)
            estimate.slowdown = _clamp(estimate.slowdown * multiplier)
        elif forecast <= MAX_OVERHEAD_SAMPLE_SECONDS:
            is_slower = net_seconds > forecast
            estimate.overhead_seconds += (
                OVERHEAD_STEP_SECONDS if is_slower else -OVERHEAD_STEP_SECONDS
            )
            estimate.overhead_seconds = max(0.0, estimate.overhead_seconds)


def _initial_prefill_seconds(tokens: int, uncached_tokens: int) -> float:
    mean_context_tokens = tokens - uncached_tokens / 2
    return (
        uncached_tokens / INITIAL_TOKENS_PER_SECOND
        + uncached_tokens * mean_context_tokens * INITIAL_SECONDS_PER_TOKEN_PAIR
    )


def _clamp(slowdown: float) -> float:
    return min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, slowdown))

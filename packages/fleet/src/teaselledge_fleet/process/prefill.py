"""How long model engines read prompts, as learnt from their answers."""

import math
from collections import defaultdict

__all__ = ["PREFILL_TIME_FRACTION", "PrefillModel"]

TOKENS_PER_SECOND = 90_000.0
SECONDS_PER_PAIR = 4e-10
"""What an engine is taken to read before any answer has told: tokens a second, and
besides each token looks back on all tokens before it.

Both are of the order of today's large models on four accelerators; the factor that is
learnt corrects them together.
"""

PREFILL_TIME_FRACTION = 0.8
"""Part of its time for which a busy engine reads; the rest goes into generating."""

INITIAL_OVERHEAD_SECONDS = 0.05
"""Time to the first event besides reading, before any answer has told: a step of the
engine, and the way there and back."""

LONG_SECONDS = 0.1
SHORT_SECONDS = 0.03
"""Forecasts beyond the first tell how fast engines read, those below the second what
an answer takes besides."""

FACTOR_STEP = 0.02
"""Change of the factor by one answer. Its median is tracked: an answer that is odd by
a factor of ten counts no more than any other one, and after 100 answers in a row that
differ the factor has changed sevenfold."""

FIRST_STEP_SECONDS = 0.001
"""The same for the time besides reading."""

MAX_SLOWDOWN = 8.0
"""Engines are taken to be at most so many times slower, or faster, than at first."""


class _Learnt:
    """What is known of the engines of one service."""

    def __init__(self) -> None:
        self.factor = 1.0
        self.besides = INITIAL_OVERHEAD_SECONDS


class PrefillModel:
    """Forecasts how long prompts are read, and learns from each first event.

    Engines of another kind read prompts at another speed. A router that takes them for
    faster than they are sends them more than they can read in time, and all first
    events come late; for slower, and it refuses what could have been served.
    """

    def __init__(self) -> None:
        self._learnt: defaultdict[str, _Learnt] = defaultdict(_Learnt)

    def predict(self, service: str, tokens: int, unread: int) -> float:
        """Return how long an engine reads the last tokens of a prompt."""
        return self._learnt[service].factor * _prior_seconds(tokens, unread)

    def slowdown(self, service: str) -> float:
        """Return how much slower than at first a service's engines are taken to be."""
        return self._learnt[service].factor

    def observe(self, service: str, reading: float, seconds: float) -> None:
        """Learn from the first event of an answer.

        Parameters
        ----------
        service : str
            Whose engine answered.
        reading : float
            Seconds of reading that were before it when it was sent, its own included.
        seconds : float
            Time from sending it to its first event.
        """
        learnt = self._learnt[service]
        forecast = reading / PREFILL_TIME_FRACTION
        left = seconds - learnt.besides
        if forecast >= LONG_SECONDS:
            slower = left > forecast
            change = math.exp(FACTOR_STEP if slower else -FACTOR_STEP)
            learnt.factor = _clamped(learnt.factor * change)
        elif forecast <= SHORT_SECONDS:
            slower = left > forecast
            learnt.besides += FIRST_STEP_SECONDS if slower else -FIRST_STEP_SECONDS
            learnt.besides = max(0.0, learnt.besides)


def _prior_seconds(tokens: int, unread: int) -> float:
    before = tokens - unread / 2
    return unread / TOKENS_PER_SECOND + unread * before * SECONDS_PER_PAIR


def _clamped(factor: float) -> float:
    return min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, factor))

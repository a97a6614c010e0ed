"""How long a request would wait at an endpoint for the first part of its answer."""

from collections import defaultdict

from teaselledge_fleet.process.work import Work

__all__ = ["EngineForecast", "PlainForecast"]

READ_TOKENS_PER_SECOND = 74_000.0
"""Prompt tokens that a busy engine reads.

It reads 93,000 alone, in chunks of 4,096; between two chunks each running request
is given a token, which takes 3.3 ms and 0.26 ms for each 10,000 tokens of their
prompts, about 11 ms for a full batch.
"""

START_SECONDS = 0.1
"""From the last token read to the first event, on an idle engine."""

TURN_SECONDS = 0.05
"""Time in which a full engine ends one of its requests: 48 of them last 2.4 s."""

PACE_WEIGHT = 0.1
PACE_LOWEST = 0.6
PACE_HIGHEST = 3.0
"""Bounds of an engine's learnt pace, so that one odd answer can't shut it out."""


class EngineForecast:
    """Forecasts the time to the first event at model engines.

    Engines admit in order of arrival, so a request waits for the prompts before it
    to be read, and for a slot.
    """

    def __init__(self) -> None:
        self._paces: defaultdict[str, float] = defaultdict(lambda: 1.0)

    def seconds(self, endpoint: str, work: Work, slots: int, unread: int) -> float:
        """Return the time to the first event of a request with so many new tokens."""
        pace = self._paces[endpoint]
        return pace * self._plain(work, slots, unread)

    def observe(
        self, endpoint: str, work: Work, slots: int, unread: int, seconds: float
    ) -> None:
        """Learn from a request that waited so long behind that work."""
        expected = self._plain(work, slots, unread)
        ratio = min(PACE_HIGHEST, max(PACE_LOWEST, seconds / expected))
        pace = self._paces[endpoint]
        self._paces[endpoint] = pace + PACE_WEIGHT * (ratio - pace)

    def _plain(self, work: Work, slots: int, unread: int) -> float:
        reading = (work.unread + unread) / READ_TOKENS_PER_SECOND
        queued = max(0, work.running + 1 - slots)
        return START_SECONDS + reading + queued * TURN_SECONDS


class PlainForecast:
    """Forecasts the time to the answer at plain services."""

    def __init__(self) -> None:
        self._seconds: defaultdict[str, float] = defaultdict(lambda: 0.025)

    def seconds(self, endpoint: str, work: Work, slots: int) -> float:
        """Return the time to the answer."""
        service = self._seconds[endpoint]
        queued = max(0, work.running + 1 - slots)
        return service * (1 + queued / slots)

    def observe(self, endpoint: str, seconds: float) -> None:
        """Learn from an answer."""
        known = self._seconds[endpoint]
        self._seconds[endpoint] = known + PACE_WEIGHT * (min(seconds, 1.0) - known)

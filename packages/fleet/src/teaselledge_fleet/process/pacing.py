"""When a prompt may be sent to an engine, so that it reads at an even pace."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from teaselledge_fleet.process.work import key_of

__all__ = ["EnginePaces", "reading_seconds"]

TOKENS_PER_SECOND = 93_000.0
"""Prompt tokens that an engine reads, were there nothing before them."""

SECONDS_PER_PAIR = 4.4e-10
"""Besides, each token read looks back on all tokens before it."""

START_DUTY = 0.9
"""Part of an engine's time that is first given to reading prompts.

A step that reads a chunk of 4,096 tokens takes 50 to 80 ms, and a step without one
12 ms. An event needs five steps, and more than 400 ms between two events is late.
"""

LOWEST_DUTY = 0.3
HIGHEST_DUTY = 1.2
"""Above 1 for engines that are faster than assumed."""

BURST_SECONDS = 0.22
"""Reading that may be sent at once: three to four chunks in a row."""

SLOWER = 0.03
FASTER = 0.003
"""Changes of the duty after a stream with a late event, and after one without: they
balance where one stream in ten has a late event."""


def reading_seconds(tokens: int, unread: int) -> float:
    """Return how long an engine reads the last tokens of a prompt."""
    before = tokens - unread / 2
    return unread / TOKENS_PER_SECOND + unread * before * SECONDS_PER_PAIR


@dataclass
class _Pace:
    """A bucket of reading, kept as the time at which all that was sent is read."""

    duty: float = START_DUTY
    read_at: float = 0.0


class EnginePaces:
    """Spaces out prompts at each engine, over all routers.

    Engines read prompts between the tokens of running requests, without a bound. A
    few long prompts together then hold up every stream of the engine. Routers tell
    each other how much reading they have sent, so each knows how far an engine has
    got, and keeps a prompt back until its turn.
    """

    def __init__(self) -> None:
        self._paces: defaultdict[int, _Pace] = defaultdict(_Pace)
        self._sent: defaultdict[int, float] = defaultdict(float)
        self._heard: dict[tuple[str, int], float] = {}

    def wait(self, endpoint: str) -> float:
        """Return the seconds until the next prompt may be sent."""
        pace = self._paces[key_of(endpoint)]
        return max(0.0, pace.read_at - self._now() - BURST_SECONDS)

    def reserve(self, endpoint: str, seconds: float) -> None:
        """Count a prompt that will be sent in its turn."""
        key = key_of(endpoint)
        self._sent[key] += seconds
        self._add(key, seconds)

    def cancel(self, endpoint: str, seconds: float) -> None:
        """Take back a prompt that was not sent after all."""
        pace = self._paces[key_of(endpoint)]
        pace.read_at -= seconds / pace.duty

    def observe(self, endpoint: str, late: bool) -> None:
        """Learn from a stream that ended whole."""
        pace = self._paces[key_of(endpoint)]
        factor = 1 - SLOWER if late else 1 + FASTER
        pace.duty = min(HIGHEST_DUTY, max(LOWEST_DUTY, pace.duty * factor))

    def sent(self, endpoint: str) -> float:
        """Return the reading that this router has sent to an engine, in seconds."""
        return self._sent[key_of(endpoint)]

    def hear(self, vm: str, endpoint: int, sent: float) -> None:
        """Take another router's count of the same."""
        before = self._heard.get((vm, endpoint))
        self._heard[vm, endpoint] = sent
        if before is not None and sent > before:
            self._add(endpoint, sent - before)

    def keep(self, endpoints: Iterable[str]) -> None:
        """Forget engines that are gone."""
        kept = {key_of(name) for name in endpoints}
        for key in list(self._paces):
            if key not in kept:
                del self._paces[key]
                self._sent.pop(key, None)
        for vm, key in list(self._heard):
            if key not in kept:
                del self._heard[vm, key]

    def _add(self, key: int, seconds: float) -> None:
        pace = self._paces[key]
        pace.read_at = max(pace.read_at, self._now()) + seconds / pace.duty

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

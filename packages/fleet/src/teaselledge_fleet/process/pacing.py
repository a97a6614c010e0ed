"""When a prompt may be sent to an engine, so that it reads at an even pace."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from teaselledge_fleet.process.work import key_of

__all__ = ["EnginePaces"]

START_RATE = 55_000.0
"""Prompt tokens a second that an engine is first given.

It can read 74,000 while it generates. But a step that reads a chunk of 4,096 tokens
takes some 70 ms, and a step without one 12 ms; an event needs five steps, and more
than 400 ms between two events is late. At three steps of four the pause is 0.3 s.
"""

LOWEST_RATE = 20_000.0
HIGHEST_RATE = 90_000.0

BURST_TOKENS = 12_000.0
"""Tokens that may be sent at once: three chunks in a row, 0.22 s."""

SLOWER = 0.03
FASTER = 0.003
"""Changes of the rate after a stream with a late event, and after one without: they
balance where one stream in ten has a late event."""


@dataclass
class _Pace:
    """A bucket of tokens, kept as the time at which all that was sent is read."""

    rate: float = START_RATE
    read_at: float = 0.0


class EnginePaces:
    """Spaces out prompts at each engine, over all routers.

    Engines read prompts between the tokens of running requests, without a bound. A
    few long prompts together then hold up every stream of the engine. Routers tell
    each other how many tokens they have sent, so each knows how far an engine has
    got, and keeps a prompt back until its turn.
    """

    def __init__(self) -> None:
        self._paces: defaultdict[int, _Pace] = defaultdict(_Pace)
        self._sent: defaultdict[int, int] = defaultdict(int)
        self._heard: dict[tuple[str, int], int] = {}

    def wait(self, endpoint: str) -> float:
        """Return the seconds until the next prompt may be sent."""
        pace = self._paces[key_of(endpoint)]
        return max(0.0, pace.read_at - self._now() - BURST_TOKENS / pace.rate)

    def reserve(self, endpoint: str, tokens: int) -> None:
        """Count a prompt that will be sent in its turn."""
        key = key_of(endpoint)
        self._sent[key] += tokens
        self._add(key, tokens)

    def cancel(self, endpoint: str, tokens: int) -> None:
        """Take back a prompt that was not sent after all."""
        key = key_of(endpoint)
        pace = self._paces[key]
        pace.read_at -= tokens / pace.rate

    def observe(self, endpoint: str, late: bool) -> None:
        """Learn from a stream that ended whole."""
        pace = self._paces[key_of(endpoint)]
        factor = 1 - SLOWER if late else 1 + FASTER
        pace.rate = min(HIGHEST_RATE, max(LOWEST_RATE, pace.rate * factor))

    def sent(self, endpoint: str) -> int:
        """Return the tokens that this router has sent to an engine so far."""
        return self._sent[key_of(endpoint)]

    def hear(self, vm: str, endpoint: int, sent: int) -> None:
        """Take another router's count."""
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

    def _add(self, key: int, tokens: int) -> None:
        pace = self._paces[key]
        pace.read_at = max(pace.read_at, self._now()) + tokens / pace.rate

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

"""When a prompt may be sent to an engine, so that it reads at an even pace."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable

from teaselledge_fleet.process.work import key_of

__all__ = ["EnginePaces", "reading_seconds"]

TOKENS_PER_SECOND = 93_000.0
"""Prompt tokens that an engine reads, were there nothing before them."""

SECONDS_PER_PAIR = 4.4e-10
"""Besides, each token read looks back on all tokens before it."""

DUTY = 0.85
"""Part of an engine's time that may go into reading prompts, on a busy day.

The rest goes into the steps between two prompts. Engines of one service differ in
speed by up to 1.3.
"""

BURST_SECONDS = 0.22
"""Reading that may be sent at once: three to four chunks in a row."""


def reading_seconds(tokens: int, unread: int) -> float:
    """Return how long an engine reads the last tokens of a prompt."""
    before = tokens - unread / 2
    return unread / TOKENS_PER_SECOND + unread * before * SECONDS_PER_PAIR


class EnginePaces:
    """Spaces out prompts at each engine, over all routers.

    Engines read prompts between the tokens of running requests, without a bound. A
    few long prompts together then hold up every stream of the engine. Routers tell
    each other how much reading they have sent, so each knows how far an engine has
    got, and keeps a prompt back until its turn.
    """

    def __init__(self) -> None:
        self._read_at: defaultdict[int, float] = defaultdict(float)
        """Loop times at which all that was sent is read."""

        self._sent: defaultdict[int, float] = defaultdict(float)
        self._heard: dict[tuple[str, int], float] = {}

    def wait(self, endpoint: str) -> float:
        """Return the seconds until the next prompt may be sent."""
        read_at = self._read_at[key_of(endpoint)]
        return max(0.0, read_at - self._now() - BURST_SECONDS)

    def reserve(self, endpoint: str, seconds: float) -> None:
        """Count a prompt that will be sent in its turn."""
        key = key_of(endpoint)
        self._sent[key] += seconds
        self._add(key, seconds)

    def cancel(self, endpoint: str, seconds: float) -> None:
        """Take back a prompt that was not sent after all."""
        self._read_at[key_of(endpoint)] -= seconds / DUTY

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
        for key in list(self._read_at):
            if key not in kept:
                del self._read_at[key]
                self._sent.pop(key, None)
        for vm, key in list(self._heard):
            if key not in kept:
                del self._heard[vm, key]

    def _add(self, key: int, seconds: float) -> None:
        begins = max(self._read_at[key], self._now())
        self._read_at[key] = begins + seconds / DUTY

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

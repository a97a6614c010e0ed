"""On how many engines each shared part of prompts should be kept."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["Footprint"]

WINDOW_SECONDS = 20.0
"""Time within which a part counts as in use.

A router of a fleet of 60 to 90 sees a part that the fleet uses once a second about
once in this time.
"""

LEAST_REQUESTS = 100
"""Requests from which on the parts seen stand for those in use.

With fewer, most parts are unknown, and engines would be given more copies than fit.
"""

SHARED_MEMORY = 0.4
"""Part of the engines' memory that is for parts in use.

Running requests hold about a third, and the prompts' own parts, which nobody uses
again, push through the rest.
"""


LEAST_COVERED = 0.1
"""Where nearly all parts were seen once, the estimate is no better than this."""


@dataclass(frozen=True)
class _Seen:
    at: float
    tokens: int
    uses: int


class Footprint:
    """Adds up the shared parts that are in use, and fits copies into the memory.

    One copy is best where the parts just fit: a second one pushes others out. With
    many engines there is room for more, and requests then find a copy on an engine
    that is near or has little to do.
    """

    def __init__(self) -> None:
        self._seen: OrderedDict[str, _Seen] = OrderedDict()
        self._tokens = 0
        self._uses = 0
        self._once = 0
        self._requests = 0

    @property
    def tokens(self) -> float:
        """Tokens of all parts that are in use, those not seen here included.

        The part of the requests whose shared part was seen once only tells how much
        is not seen at all (Good and Turing's estimate).
        """
        if not self._uses:
            return 0.0
        covered = max(LEAST_COVERED, 1.0 - self._once / self._uses)
        return self._tokens / covered

    def note(self, part: str, tokens: int) -> None:
        """Note that a request uses a part."""
        now = asyncio.get_running_loop().time()
        self._requests += 1
        while self._seen:
            oldest = next(iter(self._seen))
            if now - self._seen[oldest].at <= WINDOW_SECONDS:
                break
            self._forget(oldest)
        before = self._forget(part)
        self._add(part, _Seen(now, tokens, before.uses + 1 if before else 1))

    def _add(self, part: str, seen: "_Seen") -> None:
        self._seen[part] = seen
        self._tokens += seen.tokens
        self._uses += seen.uses
        self._once += seen.uses == 1

    def _forget(self, part: str) -> "_Seen | None":
        seen = self._seen.pop(part, None)
        if seen is not None:
            self._tokens -= seen.tokens
            self._uses -= seen.uses
            self._once -= seen.uses == 1
        return seen

    def copies(self, engines: int, memory_tokens: int) -> int:
        """Return how many engines should keep each part.

        Parameters
        ----------
        engines : int
            Engines of the service.
        memory_tokens : int
            Tokens that the memory of one of them holds; 0 where it is not told.
        """
        if self._requests < LEAST_REQUESTS or not self._tokens:
            return 1
        room = SHARED_MEMORY * engines * memory_tokens
        return max(1, min(engines, int(room / self.tokens)))

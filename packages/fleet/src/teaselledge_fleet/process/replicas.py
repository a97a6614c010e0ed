"""On how many engines each shared part of prompts should be kept."""

import asyncio
from collections import OrderedDict

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


class Footprint:
    """Adds up the shared parts that are in use, and fits copies into the memory.

    One copy is best where the parts just fit: a second one pushes others out. With
    many engines there is room for more, and requests then find a copy on an engine
    that is near or has little to do.
    """

    def __init__(self) -> None:
        self._seen: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self._tokens = 0
        self._requests = 0

    @property
    def tokens(self) -> int:
        """Tokens of all parts that are in use."""
        return self._tokens

    def note(self, part: str, tokens: int) -> None:
        """Note that a request uses a part."""
        now = asyncio.get_running_loop().time()
        self._requests += 1
        before = self._seen.pop(part, None)
        if before is not None:
            self._tokens -= before[1]
        self._seen[part] = (now, tokens)
        self._tokens += tokens
        while self._seen:
            oldest, (at, size) = next(iter(self._seen.items()))
            if now - at <= WINDOW_SECONDS:
                return
            del self._seen[oldest]
            self._tokens -= size

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
        return max(1, min(engines, int(room / self._tokens)))

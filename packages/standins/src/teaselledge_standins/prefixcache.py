"""The prefix cache of a stand-in engine, and what it publishes."""

import asyncio
import json
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from tornado.web import RequestHandler

__all__ = ["FeedHandler", "PrefixCache"]

CAPACITY = 16
LAG_SECONDS = 0.5
PREFILL_SECONDS = 0.05
"""Time to compute a prefix that is not in the cache."""


@dataclass(frozen=True)
class _Event:
    sequence: int
    time: float
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PrefixCache:
    """A few prefixes, the least recently used leaves first.

    Attributes
    ----------
    hits, misses : int
        Requests whose prefix was there, and whose was not.
    drop_every_nth : int
        Each so many-th event is not published; 0 publishes all.
    """

    def __init__(self) -> None:
        self.hits = 0
        self.misses = 0
        self.drop_every_nth = 0
        self._held: OrderedDict[int, None] = OrderedDict()
        self._events: list[_Event] = []

    async def use(self, header: str | None) -> None:
        """Take the time that a request's prefix needs."""
        if header is None:
            return
        prefix = int(header)
        if prefix in self._held:
            self._held.move_to_end(prefix)
            self.hits += 1
            return
        self.misses += 1
        self._held[prefix] = None
        evicted: tuple[int, ...] = ()
        if len(self._held) > CAPACITY:
            evicted = (self._held.popitem(last=False)[0],)
        now = asyncio.get_running_loop().time()
        self._events.append(_Event(len(self._events), now, (prefix,), evicted))
        await asyncio.sleep(PREFILL_SECONDS)

    def published(self, after: int) -> list[dict[str, Any]]:
        """Return the events after a number, late and with gaps."""
        shown_until = asyncio.get_running_loop().time() - LAG_SECONDS
        lose = self.drop_every_nth
        return [
            {"sequence": e.sequence, "stored": e.stored, "evicted": e.evicted}
            for e in self._events[max(0, after + 1) :]
            if e.time <= shown_until and not (lose and e.sequence % lose == lose - 1)
        ]


class FeedHandler(RequestHandler):
    """Tells load and cache events."""

    def initialize(self, endpoint: Any) -> None:
        """Take the engine."""
        self.endpoint = endpoint

    def get(self) -> None:
        """Answer with a page."""
        after = int(self.get_query_argument("after", "-1"))
        events = self.endpoint.cache.published(after)
        page = {"running": self.endpoint.running, "queued": 0, "events": events}
        self.finish(json.dumps(page))

"""The prefix cache of the engine double, and its event feed."""

import asyncio
import json
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from tornado.web import RequestHandler

__all__ = ["FeedHandler", "PrefixCache"]

MAX_PREFIX_COUNT = 16
PUBLISH_DELAY_SECONDS = 0.5
PREFILL_SECONDS = 0.05
"""Time to compute a prefix that is not in the cache."""


@dataclass(frozen=True)
class _Event:
    sequence: int
    time: float
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PrefixCache:
    """Cache of prefixes that evicts the least recently used one.

    Attributes
    ----------
    hits, misses : int
        Requests whose prefix was cached, and those whose prefix was not.
    drop_every_nth : int
        Every n-th event is not published; 0 publishes all.
    """

    def __init__(self) -> None:
        self.hits = 0
        self.misses = 0
        self.drop_every_nth = 0
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._events: list[_Event] = []

    async def use(self, header: str | None) -> None:
        """Look up a request's prefix, and compute it if it is not cached."""
        if header is None:
            return
        prefix = int(header)
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            self.hits += 1
            return
        self.misses += 1
        self._prefixes[prefix] = None
        evicted: tuple[int, ...] = ()
        if len(self._prefixes) > MAX_PREFIX_COUNT:
            evicted = (self._prefixes.popitem(last=False)[0],)
        now = asyncio.get_running_loop().time()
        self._events.append(_Event(len(self._events), now, (prefix,), evicted))
        await asyncio.sleep(PREFILL_SECONDS)

    def published(self, after: int) -> list[dict[str, Any]]:
        """Return the events after a sequence number, with delay and gaps."""
        published_until = asyncio.get_running_loop().time() - PUBLISH_DELAY_SECONDS
        nth = self.drop_every_nth
        return [
            {"sequence": e.sequence, "stored": e.stored, "evicted": e.evicted}
            for e in self._events[max(0, after + 1) :]
            if e.time <= published_until and not (nth and e.sequence % nth == nth - 1)
        ]


class FeedHandler(RequestHandler):
    """Serves the engine's load and cache events."""

    def initialize(self, endpoint: Any) -> None:
        """Store the engine."""
        self.endpoint = endpoint

    def get(self) -> None:
        """Return a page of events."""
        after = int(self.get_query_argument("after", "-1"))
        events = self.endpoint.cache.published(after)
        page = {"running": self.endpoint.running, "queued": 0, "events": events}
        self.finish(json.dumps(page))

"""Polling of the engines' load and prefix-cache events."""

import asyncio
from collections.abc import Callable
from typing import Annotated, Protocol

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from teaselledge.process.affinity import CacheEvent
from teaselledge.process.dispatch import DispatcherManager
from teaselledge.process.dispatcher import Dispatcher
from teaselledge.process.loadreport import LoadReport
from teaselledge.version.document import Endpoint, Version

__all__ = ["EngineFeed", "FeedEvent", "FeedPage", "FeedSource", "HttpFeedSource"]

POLL_SECONDS = 5.0
"""Interval at which a dispatcher polls an engine."""

CALL_TIMEOUT_SECONDS = 1.5
MAX_CALLS = 32
MAX_EVENTS = 256
MAX_PAGE_BYTES = 64 * 1024
MAX_HASHES = 64
OK = 200

_LENIENT = ConfigDict(extra="ignore")

Count = Annotated[int, Field(ge=0, le=1_000_000)]
Sequence = Annotated[int, Field(ge=0, lt=1 << 63)]
Hash = Annotated[int, Field(ge=0, lt=1 << 63)]
Hashes = Annotated[tuple[Hash, ...], Field(max_length=MAX_HASHES)]


@dataclass(frozen=True, config=_LENIENT)
class FeedEvent:
    """Change of an engine's prefix cache.

    Attributes
    ----------
    sequence : int
        Number of the event; a gap in the numbers means lost events.
    stored, evicted : tuple of int
        Hashes of prefixes, as in the header ``X-Prefix`` of requests.
    cleared : bool
        Whether the cache was emptied before this change.
    """

    sequence: Sequence
    stored: Hashes = ()
    evicted: Hashes = ()
    cleared: bool = False


@dataclass(frozen=True, config=_LENIENT)
class FeedPage:
    """Response of an engine to one poll.

    Attributes
    ----------
    running, queued : int
        Requests in the engine's batch, and in its queue.
    events : tuple of FeedEvent
        Events after the requested number, in order.
    """

    running: Count
    queued: Count = 0
    events: Annotated[tuple[FeedEvent, ...], Field(max_length=MAX_EVENTS)] = ()


class FeedSource(Protocol):
    """Reads pages from engines."""

    async def read(self, address: str, after: int) -> FeedPage | None:
        """Return a page with the events after a number, None without a response."""


class HttpFeedSource:
    """Reads ``/v1/feed?after=N`` of engines."""

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CALLS, max_body_size=MAX_PAGE_BYTES
        )

    async def read(self, address: str, after: int) -> FeedPage | None:
        """Return a page with the events after a number, None without a response."""
        request = HTTPRequest(
            f"http://{address}/v1/feed?after={after}",
            request_timeout=CALL_TIMEOUT_SECONDS,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            return None
        if response.code != OK:
            return None
        try:
            return TypeAdapter(FeedPage).validate_json(response.body)
        except ValidationError:
            # requests are then placed by the dispatcher's own counts alone
            return None


class EngineFeed:
    """Polls the engines of the shards that this VM dispatches for.

    The data is delayed and has gaps, so the pool uses it only as a hint: a wrong one
    costs the time to compute a prefix again, but never a request.
    """

    def __init__(
        self,
        dispatchers: DispatcherManager,
        version: Callable[[], Version | None],
        source: FeedSource,
    ) -> None:
        self._dispatchers = dispatchers
        self._version = version
        self._source = source
        self._sequences: dict[str, int] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            await self.refresh()

    async def refresh(self) -> None:
        """Poll each engine once."""
        version = self._version()
        if version is None:
            return
        polls = []
        polled = set()
        for dispatcher in self._dispatchers.running:
            shard = dispatcher.shard
            service = version.document.services.get(shard.service)
            if service is None or not service.reports_load:
                continue
            for name, endpoint in service.endpoints.items():
                if endpoint.zone == shard.zone:
                    polls.append(self._poll(dispatcher, name, endpoint))
                    polled.add(endpoint.address)
        await asyncio.gather(*polls)
        # engines of shards that moved away start over when the shards return
        self._sequences = {a: n for a, n in self._sequences.items() if a in polled}

    async def _poll(
        self, dispatcher: Dispatcher, name: str, endpoint: Endpoint
    ) -> None:
        after = self._sequences.get(endpoint.address, -1)
        page = await self._source.read(endpoint.address, after)
        if page is None:
            return
        dispatcher.observe_load(LoadReport(name, page.running, page.queued))
        for event in page.events:
            dispatcher.observe_cache(
                CacheEvent(
                    name, event.sequence, event.stored, event.evicted, event.cleared
                )
            )
            self._sequences[endpoint.address] = event.sequence

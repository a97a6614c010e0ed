"""Read what engines tell of their load and of their prefix caches."""

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
"""Time between two reads of one engine by its dispatcher."""

CALL_SECONDS = 1.5
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
    """A change of an engine's prefix cache.

    Attributes
    ----------
    sequence : int
        Number of the event; a missing number is a lost event.
    stored, evicted : tuple of int
        Hashes of prefixes, as the header ``X-Prefix`` of requests has them.
    cleared : bool
        The cache was emptied before.
    """

    sequence: Sequence
    stored: Hashes = ()
    evicted: Hashes = ()
    cleared: bool = False


@dataclass(frozen=True, config=_LENIENT)
class FeedPage:
    """What an engine tells at one moment.

    Attributes
    ----------
    running, queued : int
        Requests in its batch, and those that wait for it.
    events : tuple of FeedEvent
        Those after the number that was asked for, in order.
    """

    running: Count
    queued: Count = 0
    events: Annotated[tuple[FeedEvent, ...], Field(max_length=MAX_EVENTS)] = ()


class FeedSource(Protocol):
    """Reads pages from engines."""

    async def read(self, address: str, after: int) -> FeedPage | None:
        """Return the events after a number, None where there is no answer."""


class HttpFeedSource:
    """Reads ``/v1/feed?after=N`` of engines."""

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CALLS, max_body_size=MAX_PAGE_BYTES
        )

    async def read(self, address: str, after: int) -> FeedPage | None:
        """Return the events after a number, None where there is no answer."""
        request = HTTPRequest(
            f"http://{address}/v1/feed?after={after}", request_timeout=CALL_SECONDS
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
            # an engine that tells nonsense is chosen by its own counts alone
            return None


class EngineFeed:
    """Reads the engines of the shards that this VM dispatches for.

    What comes is late and has gaps, so the pool takes it as a hint: a wrong
    one costs an engine's time for a prefix, and never a request.
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
        """Read until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            await self.refresh()

    async def refresh(self) -> None:
        """Read each engine once."""
        version = self._version()
        if version is None:
            return
        reads = []
        read_now = set()
        for dispatcher in self._dispatchers.running:
            shard = dispatcher.shard
            service = version.document.services.get(shard.service)
            if service is None or not service.reports_load:
                continue
            for name, endpoint in service.endpoints.items():
                if endpoint.zone == shard.zone:
                    reads.append(self._read(dispatcher, name, endpoint))
                    read_now.add(endpoint.address)
        await asyncio.gather(*reads)
        # engines of shards that moved away begin anew when they come back
        self._sequences = {a: n for a, n in self._sequences.items() if a in read_now}

    async def _read(
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

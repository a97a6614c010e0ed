"""Tell what began each stream: from the fleet, from its history or from the store."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from teaselledge_fleet.migration.directory import OriginDirectory
from teaselledge_fleet.migration.history import OriginHistory
from teaselledge_fleet.migration.journal import OriginJournal
from teaselledge_fleet.migration.origins import NotFound, OriginTable, StreamOrigin
from teaselledge_fleet.migration.recorder import OriginRecorder
from teaselledge_fleet.migration.recordreading import RecordReader, possible_origins
from teaselledge_fleet.migration.seeding import HistorySeeder
from teaselledge_fleet.migration.verifying import VersionVerifier
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.store import StateStore
from teaselledge_fleet.version.routes import Route, RoutingConfiguration

__all__ = ["LocalOrigins", "OriginSource", "StreamOrigins"]

RECENT_SECONDS = 5.0
"""Time within which a router hears that an endpoint has changed."""

MAX_RECENT_STREAMS = 1024


@dataclass(frozen=True)
class _RecentStream:
    """A stream, when it began and at which endpoint, as that was known."""

    begun_at: float
    key: int
    endpoint: str
    origin: StreamOrigin


class OriginSource(Protocol):
    """Knows what began the streams."""

    def record(self, key: int, endpoint: Endpoint, route: Route) -> None:
        """Record which endpoint began a stream."""

    async def find(self, key: int | None, route: Route) -> StreamOrigin | NotFound:
        """Return what began a stream of a route; its key is None if it has no name."""

    async def has_version(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint has its known version, just before a stream is sent."""

    def on_connection_lost(self, endpoint: Endpoint) -> None:
        """Record that an endpoint's process may have ended."""


class LocalOrigins:
    """Origins of the streams of a router that knows no other one."""

    def __init__(self) -> None:
        self._table = OriginTable()

    def record(self, key: int, endpoint: Endpoint, route: Route) -> None:
        """Record which endpoint began a stream."""
        self._table.record(key, StreamOrigin(endpoint.service, endpoint.version))

    async def find(self, key: int | None, route: Route) -> StreamOrigin | NotFound:
        """Return what began a stream."""
        if key is None:
            return NotFound.UNKNOWN
        return self._table.get(key) or NotFound.UNKNOWN

    async def has_version(self, endpoint: Endpoint) -> bool:
        """Return True: its endpoints keep their versions."""
        return True

    def on_connection_lost(self, endpoint: Endpoint) -> None:
        """Do nothing."""


class StreamOrigins:
    """Origins of all streams, also of those that began before all routers started.

    While only one service and version can have begun the streams of a route, that is
    known without them. Otherwise each origin is written to the journal, too.

    Parameters
    ----------
    directory : OriginDirectory
        Origins that the routers keep in memory.
    history : OriginHistory
        What may have begun the streams of each route.
    journal : OriginJournal
        Origins in the store.
    recorder : OriginRecorder
        Keeps the record of possible origins in the store.
    reader : RecordReader
        Reads that record as it is now.
    seeder : HistorySeeder
        Starts the history from that record.
    verifier : VersionVerifier
        Verifies the versions of endpoints.
    view : EndpointView
        Endpoints that this router knows.
    """

    def __init__(
        self,
        directory: OriginDirectory,
        history: OriginHistory,
        journal: OriginJournal,
        recorder: OriginRecorder,
        reader: RecordReader,
        seeder: HistorySeeder,
        verifier: VersionVerifier,
        view: EndpointView,
    ) -> None:
        self._directory = directory
        self._history = history
        self._journal = journal
        self._recorder = recorder
        self._reader = reader
        self._seeder = seeder
        self._verifier = verifier
        self._view = view
        self._recent: deque[_RecentStream] = deque(maxlen=MAX_RECENT_STREAMS)
        directory.on_durable = journal.add
        self._unwritten = OriginTable()
        """Origins of this router's streams that were certain when they began."""

    @classmethod
    def from_store(
        cls,
        store: StateStore,
        view: EndpointView,
        vm: str,
        directory: OriginDirectory,
        is_current: Callable[[], bool],
    ) -> "StreamOrigins":
        """Return the origins of a router on a VM with a store."""
        history = OriginHistory()
        history.is_current = is_current
        return cls(
            directory,
            history,
            OriginJournal(store, vm),
            OriginRecorder(store, view),
            RecordReader(store),
            HistorySeeder(store, history),
            VersionVerifier(store, directory.is_in_contact),
            view,
        )

    @property
    def recorder(self) -> OriginRecorder:
        """Keeps the record of possible origins in the store."""
        return self._recorder

    @property
    def written_rows(self) -> int:
        """Number of rows of the journal that this router has written."""
        return self._journal.written_rows

    @property
    def tasks(self) -> Mapping[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Tasks that must run for as long as the router does, by name."""
        return {
            "origin-record": self._recorder.run,
            "origin-history": self._seeder.run,
            "origin-journal": self._journal.run,
        }

    def on_gap(self) -> None:
        """Note that changes of the store may have been missed."""
        self._seeder.on_gap()

    def update(
        self, endpoints: Iterable[Endpoint], routing: RoutingConfiguration | None
    ) -> None:
        """Apply the endpoints that exist and the configuration in force."""
        endpoints = list(endpoints)
        self._cancel_replaced(endpoints)
        changed = self._history.update(endpoints)
        if routing is not None and routing is not self._history.routing:
            self._recorder.update_routing(routing)
            changed |= self._history.update_routing(routing)
        if not changed:
            return
        for key, origin in self._unwritten.pop_all():
            self._journal.add(key, origin)

    def record(self, key: int, endpoint: Endpoint, route: Route) -> None:
        """Record which endpoint began a stream."""
        origin = StreamOrigin(endpoint.service, endpoint.version)
        self._directory.record(key, origin)
        if self._history.only_origin(route) is None:
            self._directory.write_to_journal(key, origin)
        else:
            self._unwritten.record(key, origin)
        current = self._view.get(endpoint.id) or endpoint
        if current.version != endpoint.version:
            # it has changed since the request was placed there
            self._cancel(key, StreamOrigin(current.service, current.version))
            return
        self._recent.append(_RecentStream(_now(), key, endpoint.id, origin))

    async def has_version(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint has its known version, just before a stream is sent."""
        return await self._verifier.has_version(endpoint)

    def on_connection_lost(self, endpoint: Endpoint) -> None:
        """Record that an endpoint's process may have ended."""
        self._verifier.on_connection_lost(endpoint)

    def _cancel_replaced(self, endpoints: Iterable[Endpoint]) -> None:
        """Cancel the origins of streams of endpoints that have changed in place.

        Those that began a moment before this router has heard of the change may be of
        either version.
        """
        oldest = _now() - RECENT_SECONDS
        while self._recent and self._recent[0].begun_at < oldest:
            self._recent.popleft()
        if not self._recent:
            return
        current = {e.id: StreamOrigin(e.service, e.version) for e in endpoints}
        for stream in list(self._recent):
            other = current.get(stream.endpoint, stream.origin)
            if other != stream.origin:
                self._cancel(stream.key, other)
                self._recent.remove(stream)

    def _cancel(self, key: int, other: StreamOrigin) -> None:
        """Cancel the origin of a stream, as another one is as likely."""
        self._directory.record(key, other)
        self._directory.write_to_journal(key, other)

    async def find(self, key: int | None, route: Route) -> StreamOrigin | NotFound:
        """Return what began a stream of a route; its key is None if it has no name."""
        found: StreamOrigin | NotFound = NotFound.UNKNOWN
        if key is not None:
            found = await self._directory.find(key)
        if isinstance(found, StreamOrigin):
            return found
        # this router may be out of step: what it has heard of so far does not count
        reading = await self._reader.read()
        if reading is None:
            return self._find_without_store(key, found, route)
        possible = possible_origins(reading, route, self._history.routing)
        if possible is None:
            found = NotFound.UNANSWERED
        else:
            possible |= self._history.seen_origins(route)
            if len(possible) == 1:
                return next(iter(possible))
        if key is None:
            return found
        complete, origin = await self._journal.find(key)
        if origin is not None:
            return origin
        return found if complete else NotFound.UNANSWERED

    def _find_without_store(
        self, key: int | None, found: NotFound, route: Route
    ) -> StreamOrigin | NotFound:
        """Return what began a stream if the store can't be read.

        If the routers that would keep its origin answer that they don't, it began
        before any change that this router may have missed.
        """
        only = self._history.only_origin(route)
        if only is None or key is None or found is not NotFound.UNKNOWN:
            return NotFound.UNANSWERED
        return only


def _now() -> float:
    return asyncio.get_running_loop().time()

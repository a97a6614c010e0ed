"""Tell what began each stream: from the fleet, from its history or from the store."""

from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any, Protocol

from teaselledge_fleet.migration.directory import OriginDirectory
from teaselledge_fleet.migration.history import OriginHistory
from teaselledge_fleet.migration.journal import OriginJournal
from teaselledge_fleet.migration.origins import NotFound, OriginTable, StreamOrigin
from teaselledge_fleet.migration.recorder import OriginRecorder
from teaselledge_fleet.migration.seeding import HistorySeeder
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.store import StateStore
from teaselledge_fleet.version.routes import Route, RoutingConfiguration

__all__ = ["LocalOrigins", "OriginSource", "StreamOrigins"]


class OriginSource(Protocol):
    """Knows what began the streams."""

    def record(self, key: int, origin: StreamOrigin, route: Route) -> None:
        """Record what began a stream."""

    async def find(self, key: int | None, route: Route) -> StreamOrigin | NotFound:
        """Return what began a stream of a route; its key is None if it has no name."""


class LocalOrigins:
    """Origins of the streams of a router that knows no other one."""

    def __init__(self) -> None:
        self._table = OriginTable()

    def record(self, key: int, origin: StreamOrigin, route: Route) -> None:
        """Record what began a stream."""
        self._table.record(key, origin)

    async def find(self, key: int | None, route: Route) -> StreamOrigin | NotFound:
        """Return what began a stream."""
        if key is None:
            return NotFound.UNKNOWN
        return self._table.get(key) or NotFound.UNKNOWN


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
    seeder : HistorySeeder
        Starts the history from that record.
    """

    def __init__(
        self,
        directory: OriginDirectory,
        history: OriginHistory,
        journal: OriginJournal,
        recorder: OriginRecorder,
        seeder: HistorySeeder,
    ) -> None:
        self._directory = directory
        self._history = history
        self._journal = journal
        self._recorder = recorder
        self._seeder = seeder
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
            HistorySeeder(store, history),
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
        changed = self._history.update(endpoints)
        if routing is not None and routing is not self._history.routing:
            self._recorder.update_routing(routing)
            changed |= self._history.update_routing(routing)
        if not changed:
            return
        for key, origin in self._unwritten.pop_all():
            self._journal.add(key, origin)

    def record(self, key: int, origin: StreamOrigin, route: Route) -> None:
        """Record what began a stream."""
        self._directory.record(key, origin)
        if self._history.only_origin(route) is None:
            self._directory.write_to_journal(key, origin)
        else:
            self._unwritten.record(key, origin)

    async def find(self, key: int | None, route: Route) -> StreamOrigin | NotFound:
        """Return what began a stream of a route; its key is None if it has no name."""
        found: StreamOrigin | NotFound = NotFound.UNKNOWN
        if key is not None:
            found = await self._directory.find(key)
        if isinstance(found, StreamOrigin):
            return found
        only = self._history.only_origin(route)
        if only is not None:
            return only
        if not self._history.known:
            found = NotFound.UNANSWERED
        if key is None:
            return found
        complete, origin = await self._journal.find(key)
        if origin is not None:
            return origin
        return found if complete else NotFound.UNANSWERED

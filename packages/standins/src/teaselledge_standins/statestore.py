"""In-memory double of the platform's store, behind the routers' store interface."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from expression import Error, Ok, Result
from teaselledge_fleet.process.drains import ZoneDrain
from teaselledge_fleet.process.endpoints import Endpoint, EndpointEntry
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.store import (
    EndpointRows,
    StoredConfiguration,
    StoreFault,
    StreamRow,
    StreamRows,
)
from teaselledge_fleet.version.routes import RoutingConfiguration

__all__ = [
    "MemoryStateStore",
    "StoreClient",
    "StoreCopy",
    "decode_empty_routing",
    "make_store",
]

POLL_SECONDS = 0.02


@dataclass(frozen=True)
class EndpointRow:
    """An endpoint's row, and the revision at which it was written."""

    revision: int
    endpoint: Endpoint


@dataclass(frozen=True)
class StoreCopy:
    """Backup of the rows."""

    revision: int
    entries: dict[str, EndpointRow]
    data: bytes | None
    data_revision: int
    router_rows: dict[str, bytes]
    drains: dict[str, int]
    stream_rows: dict[str, tuple[int, bytes]]


@dataclass
class MemoryStateStore:
    """Rows and a revision counter.

    Attributes
    ----------
    delay : float
        Duration of each call in seconds.
    unreachable_vms : set of str
        VMs whose calls time out; ``*`` stands for all.
    calls : int
        Number of calls so far, including those that timed out.
    era : int
        Counter that rises with each restore from a backup.
    drains : dict of str to int
        Revision of the last change of each zone's drain; negative if it was taken back.
    stream_rows : dict of str to tuple of int and bytes
        Revision and content of each row about streams.
    refuses_stream_rows : bool
        Whether calls about these rows are refused.
    """

    delay: float = 0.01
    unreachable_vms: set[str] = field(default_factory=set)
    calls: int = 0
    revision: int = 0
    entries: dict[str, EndpointRow] = field(default_factory=dict)
    data: bytes | None = None
    data_revision: int = 0
    router_rows: dict[str, bytes] = field(default_factory=dict)
    era: int = 1
    drains: dict[str, int] = field(default_factory=dict)
    stream_rows: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    refuses_stream_rows: bool = False

    @property
    def newest(self) -> Revision:
        """The revision of the latest change."""
        return Revision(self.era, self.revision)

    def put(self, endpoint: Endpoint) -> None:
        """Write an endpoint's entry."""
        self.revision += 1
        self.entries[endpoint.id] = EndpointRow(self.revision, endpoint)

    def drain(self, zone: str) -> None:
        """Drain a zone."""
        self.revision += 1
        self.drains[zone] = self.revision

    def take_back(self, zone: str) -> None:
        """End the drain of a zone."""
        self.revision += 1
        self.drains[zone] = -self.revision

    def drains_since(self, revision: int) -> tuple[ZoneDrain, ...]:
        """Return the drains that began or ended after a revision."""
        return tuple(
            ZoneDrain(zone, Revision(self.era, abs(changed)), changed > 0)
            for zone, changed in self.drains.items()
            if abs(changed) > revision
        )

    def delete(self, name: str) -> None:
        """Remove an endpoint's entry."""
        self.revision += 1
        self.entries.pop(name, None)

    def copy(self) -> StoreCopy:
        """Return a backup of the rows."""
        return StoreCopy(
            self.revision,
            dict(self.entries),
            self.data,
            self.data_revision,
            dict(self.router_rows),
            dict(self.drains),
            dict(self.stream_rows),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Restore a backup; later writes are lost."""
        self.era += 1
        self.revision = copy.revision
        self.entries = dict(copy.entries)
        self.data, self.data_revision = copy.data, copy.data_revision
        self.router_rows = dict(copy.router_rows)
        self.drains = dict(copy.drains)
        self.stream_rows = dict(copy.stream_rows)

    def configure(self, data: bytes) -> None:
        """Write the configuration."""
        self.revision += 1
        self.data, self.data_revision = data, self.revision


class StoreClient:
    """One router's access to the store."""

    def __init__(self, store: MemoryStateStore, vm: str) -> None:
        self._store = store
        self._vm = vm

    async def endpoints(self) -> Result[EndpointRows, StoreFault]:
        """Read the entries of all endpoints."""
        store = self._store
        entries = [
            EndpointEntry.from_row(
                name, Revision(store.era, row.revision), row.endpoint
            )
            for name, row in store.entries.items()
        ]
        rows = EndpointRows(store.newest, tuple(entries))
        # A slow store returns the rows that it held when the request was sent.
        return Ok(rows) if await self._reach() else Error(StoreFault.UNREACHABLE)

    async def endpoint(self, name: str) -> Result[Endpoint | None, StoreFault]:
        """Read the entry of one endpoint."""
        if not await self._reach():
            return Error(StoreFault.UNREACHABLE)
        row = self._store.entries.get(name)
        return Ok(row.endpoint if row is not None else None)

    async def configuration(
        self, after: Revision | None, wait: float
    ) -> Result[StoredConfiguration, StoreFault]:
        """Read the configuration if it changed after a revision."""
        if not await self._reach():
            return Error(StoreFault.UNREACHABLE)
        store = self._store
        end = asyncio.get_running_loop().time() + wait
        while True:
            if after is None or after.era != store.era:
                drains = tuple(each for each in store.drains_since(0) if each.drained)
                return Ok(
                    StoredConfiguration(store.newest, store.data, drains, complete=True)
                )
            changed = store.data_revision > after.number
            drains = store.drains_since(after.number)
            if changed or drains or asyncio.get_running_loop().time() >= end:
                data = store.data if changed else None
                return Ok(StoredConfiguration(store.newest, data, drains))
            await asyncio.sleep(POLL_SECONDS)

    async def routers(self) -> Result[dict[str, bytes], StoreFault]:
        """Read the rows of all routers."""
        if not await self._reach():
            return Error(StoreFault.UNREACHABLE)
        return Ok(dict(self._store.router_rows))

    async def put_router(self, vm: str, data: bytes) -> Result[None, StoreFault]:
        """Write a router's row."""
        if not await self._reach():
            return Error(StoreFault.UNREACHABLE)
        self._store.router_rows[vm] = data
        return Ok(None)

    async def delete_router(self, vm: str) -> Result[None, StoreFault]:
        """Remove a router's row."""
        if not await self._reach():
            return Error(StoreFault.UNREACHABLE)
        self._store.router_rows.pop(vm, None)
        return Ok(None)

    async def stream_rows(self, first: str, end: str) -> Result[StreamRows, StoreFault]:
        """Read the rows about streams from a key up to another."""
        if not await self._reach():
            return Error(StoreFault.UNREACHABLE)
        store = self._store
        if store.refuses_stream_rows:
            return Error(StoreFault.REFUSED)
        rows = {
            key: StreamRow(data, Revision(store.era, revision))
            for key, (revision, data) in store.stream_rows.items()
            if first <= key < end
        }
        now = asyncio.get_running_loop().time()
        return Ok(StreamRows(store.newest, now, rows))

    async def put_stream_row(
        self, key: str, data: bytes, expected: int | None
    ) -> Result[None, StoreFault]:
        """Write a row about streams, if its revision is the expected one."""
        if not await self._reach():
            return Error(StoreFault.UNREACHABLE)
        store = self._store
        if store.refuses_stream_rows:
            return Error(StoreFault.REFUSED)
        current, _ = store.stream_rows.get(key, (0, b""))
        if expected not in (None, current):
            return Error(StoreFault.REFUSED)
        store.revision += 1
        store.stream_rows[key] = (store.revision, data)
        return Ok(None)

    async def _reach(self) -> bool:
        store = self._store
        store.calls += 1
        if store.unreachable_vms & {"*", self._vm}:
            await asyncio.sleep(1.2)
            return False
        await asyncio.sleep(store.delay)
        return True


def decode_empty_routing(data: bytes) -> RoutingConfiguration | None:
    """Decode a configuration without routes, encoded as its version number.

    Returns None if the data is not a number.
    """
    return RoutingConfiguration(int(data), (), {}, ()) if data.isdigit() else None


def make_store(endpoints: Iterable[Endpoint]) -> MemoryStateStore:
    """Return a store with configuration version 1 and the given endpoints."""
    store = MemoryStateStore()
    store.configure(b"1")
    for endpoint in endpoints:
        store.put(endpoint)
    return store

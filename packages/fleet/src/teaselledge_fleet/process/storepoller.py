"""Poll the store unless another router polls it already."""

import asyncio
import random

from teaselledge_fleet.log import get_log
from teaselledge_fleet.migration.recorder import OriginRecorder
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.store import EndpointRows, StateStore, StoreFault
from teaselledge_fleet.process.storecache import StoreCache

__all__ = ["StorePoller"]

_log = get_log("store")

PERIOD_SECONDS = 0.7
"""Time between two reads by the poller.

A leaving endpoint must get no new requests 2.5 s after it is marked in the store. That
leaves time for a read, for another router to detect that the poller is gone, for its
own read, and for the heartbeats that spread the change.
"""

STALE_SECONDS = 1.15
"""Age of the store cache at which any router reads the store itself.

With a read every 0.7 s that takes 50 ms and is sent on at once, the age is at most
0.8 s; one lost datagram adds 0.25 s.
"""

READ_SPREAD_SECONDS = 0.5
"""Range of a random delay after that age, so that the first router's read reaches the
others before they read the store, too."""

START_SPREAD_SECONDS = 0.1
"""Range of a random delay before the first read, for seeds that start together."""

SEED_WAIT_SECONDS = 0.6
"""Minimum time for which a starting router waits for the state of its seeds; the
maximum is twice as long. Seeds respond within 0.1 s. Hundreds of starting routers that
all read the store would be its highest load."""

FIRST_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 1.5
"""Delays after failed calls, doubled up to the maximum. The fleet must detect within
2 s that the store is available again."""

TICK_SECONDS = 0.05


class StorePoller:
    """Reads the store if the store cache becomes too old.

    The router that reads first continues to poll, and its heartbeats keep the caches
    of the other routers fresh, so that they don't poll. If it stops or its heartbeats
    are lost, these caches become too old and another router polls; there is no
    election.

    Parameters
    ----------
    vm : str
        Name of this router's VM.
    store : StateStore
        Store to read.
    store_cache : StoreCache
        Cache to update.
    has_seeds : bool
        Whether this router has other routers as seeds.
    recorder : OriginRecorder, optional
        Withholds engines of versions that are not recorded yet.
    """

    def __init__(
        self,
        vm: str,
        store: StateStore,
        store_cache: StoreCache,
        has_seeds: bool = False,
        recorder: OriginRecorder | None = None,
    ) -> None:
        self._recorder = recorder
        self._last_read: tuple[EndpointRows, float] | None = None
        if recorder is not None:
            recorder.on_recorded = self._publish
        self._vm = vm
        self._store = store
        self._store_cache = store_cache
        self._has_seeds = has_seeds
        self._revision: Revision | None = None
        self._retry_delay = FIRST_RETRY_SECONDS
        self._reachable: bool | None = None
        self.calls = 0

    async def run(self) -> None:
        """Poll the store for ever whenever it is due."""
        await asyncio.sleep(random.uniform(0, START_SPREAD_SECONDS))
        if self._has_seeds:
            await self._wait_for_seeds()
        while True:
            await self._wait_until_due()
            if await self._read():
                self._retry_delay = FIRST_RETRY_SECONDS
                continue
            self._store_cache.release_poller()
            await asyncio.sleep(self._retry_delay * random.uniform(0.7, 1.3))
            self._retry_delay = min(MAX_RETRY_SECONDS, self._retry_delay * 2)

    async def _wait_for_seeds(self) -> None:
        """Wait for the state of another router, up to a time limit."""
        loop = asyncio.get_running_loop()
        end = loop.time() + SEED_WAIT_SECONDS * random.uniform(1.0, 2.0)
        while not self._store_cache.version and loop.time() < end:
            await asyncio.sleep(TICK_SECONDS)

    async def _wait_until_due(self) -> None:
        max_age = STALE_SECONDS + random.uniform(0, READ_SPREAD_SECONDS)
        while self._store_cache.poller != self._vm:
            age = self._store_cache.age
            if age is None or age > max_age or not self._store_cache.version:
                return
            # updates only lower the age, so it can't reach the limit any earlier
            await asyncio.sleep(max(TICK_SECONDS, max_age - age))

    async def _read(self) -> bool:
        return await self._read_endpoints() and await self._read_configuration()

    async def _read_endpoints(self) -> bool:
        started = asyncio.get_running_loop().time()
        self.calls += 1
        read = await self._store.endpoints()
        if read.is_error():
            self._record_failure(read.error)
            return False
        self._record_success()
        self._last_read = read.ok, started
        self._publish()
        return True

    def _publish(self) -> None:
        """Apply the rows of the last read, without the engines that are withheld."""
        if self._last_read is None:
            return
        rows, read_at = self._last_read
        if self._recorder is not None:
            rows = self._recorder.withhold(rows)
        self._store_cache.update_from_rows(rows, read_at)

    async def _read_configuration(self) -> bool:
        self.calls += 1
        started = asyncio.get_running_loop().time()
        read = await self._store.configuration(self._revision, PERIOD_SECONDS)
        if read.is_error():
            self._record_failure(read.error)
            return False
        found = read.ok
        if not self._store_cache.update_era(found.revision.era, "store"):
            return False
        data = found.data
        if data is not None and not self._store_cache.update_configuration(
            data, "store"
        ):
            # it is read again after the next change or restart
            _log.error("configuration can't be decoded", revision=found.revision.number)
        self._store_cache.update_drains(found)
        self._revision = max(self._revision or found.revision, found.revision)
        if found.complete and self._store_cache.settling:
            # rows that are still missing may have been lost or deleted
            self._revision = None
        # a store that responds without waiting must not be called in a tight loop
        left = started + PERIOD_SECONDS / 2 - asyncio.get_running_loop().time()
        if left > 0 and (found.data is None or self._revision is None):
            await asyncio.sleep(left)
        return True

    def _record_failure(self, fault: StoreFault) -> None:
        if self._reachable is not False:
            cache = self._store_cache
            _log.warning("store lost", fault=fault.value, age=cache.age, era=cache.era)
        self._reachable = False

    def _record_success(self) -> None:
        if self._reachable is False:
            _log.info(
                "store regained", age=self._store_cache.age, era=self._store_cache.era
            )
        self._reachable = True

"""Read the store, unless another router has just done so."""

import asyncio
import random

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.store import StateStore, StoreFault
from teaselledge_fleet.process.storecache import StoreCache

__all__ = ["StorePoller"]

_log = get_log("store")

PERIOD_SECONDS = 0.7
"""Time between two readings by the router that follows the store.

A leaving endpoint must get no new work 2.5 s after the store knew it. That leaves
time for a reading, for another router to notice that the follower is gone, for
its own reading, and for the way of the news.
"""

STALE_SECONDS = 1.15
"""Age of the belief at which any router reads the store itself.

A reading each 0.7 s that takes 50 ms, told at once, is at most 0.8 s old; one lost
datagram adds 0.25 s.
"""

SPREAD_SECONDS = 0.5
"""Routers read at different moments after that, so that the first one's news keeps
the others from reading too."""

START_SECONDS = 0.1
"""Seeds that start at the same time read the store spread over this time."""

NEIGHBOUR_SECONDS = 0.6
"""Time for which a router that starts waits for what its seeds know, once to twice.
They answer within 0.1 s; hundreds of routers that all read the store would be its
heaviest load."""

FIRST_PAUSE = 0.3
LONGEST_PAUSE = 1.5
"""Pauses after failed calls; they double from the first to the longest. The fleet
must notice within 2 s that the store is back."""

TICK_SECONDS = 0.05


class StorePoller:
    """Reads the store when the fleet's knowledge of it grows old.

    Whoever reads first goes on reading, and what it tells keeps all others from
    doing the same. When it stops, or nobody hears it, the next router's turn comes
    by itself; nobody is elected.

    Parameters
    ----------
    vm : str
        This router's VM.
    store : StateStore
        What it reads.
    belief : StoreCache
        What it tells.
    has_seeds : bool
        Whether other routers are its seeds.
    """

    def __init__(
        self, vm: str, store: StateStore, belief: StoreCache, has_seeds: bool = False
    ) -> None:
        self._vm = vm
        self._store = store
        self._belief = belief
        self._asks_seeds = has_seeds
        self._revision: Revision | None = None
        self._pause = FIRST_PAUSE
        self._reachable: bool | None = None
        self.calls = 0

    async def run(self) -> None:
        """Follow the store for ever."""
        await asyncio.sleep(random.uniform(0, START_SECONDS))
        if self._asks_seeds:
            await self._wait_for_neighbour()
        while True:
            await self._until_due()
            if await self._read():
                self._pause = FIRST_PAUSE
                continue
            self._belief.release_poller()
            await asyncio.sleep(self._pause * random.uniform(0.7, 1.3))
            self._pause = min(LONGEST_PAUSE, self._pause * 2)

    async def _wait_for_neighbour(self) -> None:
        """Wait until another router told what it knows, or none does."""
        loop = asyncio.get_running_loop()
        end = loop.time() + NEIGHBOUR_SECONDS * random.uniform(1.0, 2.0)
        while not self._belief.version and loop.time() < end:
            await asyncio.sleep(TICK_SECONDS)

    async def _until_due(self) -> None:
        patience = STALE_SECONDS + random.uniform(0, SPREAD_SECONDS)
        while self._belief.poller != self._vm:
            age = self._belief.age
            if age is None or age > patience or not self._belief.version:
                return
            # news makes it younger, nothing makes it older than by time
            await asyncio.sleep(max(TICK_SECONDS, patience - age))

    async def _read(self) -> bool:
        return await self._read_endpoints() and await self._read_configuration()

    async def _read_endpoints(self) -> bool:
        started = asyncio.get_running_loop().time()
        self.calls += 1
        read = await self._store.endpoints()
        if read.is_error():
            self._note_failure(read.error)
            return False
        self._note_success()
        self._belief.update_from_rows(read.ok, started)
        return True

    async def _read_configuration(self) -> bool:
        self.calls += 1
        started = asyncio.get_running_loop().time()
        read = await self._store.configuration(self._revision, PERIOD_SECONDS)
        if read.is_error():
            self._note_failure(read.error)
            return False
        found = read.ok
        if not self._belief.update_era(found.revision.era, "store"):
            return False
        data = found.data
        if data is not None and not self._belief.update_configuration(data, "store"):
            # the next change, or the next start, reads it again
            _log.error("configuration can't be read", revision=found.revision.number)
        self._revision = max(self._revision or found.revision, found.revision)
        # an answer that came at once must not lead to a rush of calls
        left = started + PERIOD_SECONDS / 2 - asyncio.get_running_loop().time()
        if found.data is None and left > 0:
            await asyncio.sleep(left)
        return True

    def _note_failure(self, fault: StoreFault) -> None:
        if self._reachable is not False:
            belief = self._belief
            _log.warning(
                "store lost", fault=fault.value, age=belief.age, era=belief.era
            )
        self._reachable = False

    def _note_success(self) -> None:
        if self._reachable is False:
            _log.info("store regained", age=self._belief.age, era=self._belief.era)
        self._reachable = True

"""The router's row in the store, by which others find it if no seed responds."""

import asyncio
import random

from teaselledge_wire.gen.fleet.ttypes import RouterInfo
from thrift.TSerialization import deserialize, serialize

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.members import Member, MemberReport, Members
from teaselledge_fleet.process.store import StateStore
from teaselledge_fleet.process.storecache import StoreCache
from teaselledge_fleet.process.topology import rank

__all__ = ["Registration"]

_log = get_log("members")

FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5.0
CHECK_SECONDS = 2.0
"""Time between two checks whether any other router is alive; if none is, the rows are
read."""

SEED_RESPONSE_SECONDS = 0.7
"""Time after the start within which seeds respond, if any is alive."""

ROWS_PER_ZONE = 2
"""Number of routers in each zone that keep a row."""

DEREGISTER_TIMEOUT_SECONDS = 0.5


class Registration:
    """Writes this router's row if it is needed, and deletes it at shutdown.

    The rows only help routers to find each other if no seed responds; which routers
    are alive is known from heartbeats. So rows are kept by the first routers of each
    zone, and by a router that knows no alive one. The row of a killed router stays and
    costs a few datagrams. A restore of the store may undo the write of a row, so the
    row is written again in each era.
    """

    def __init__(
        self, store: StateStore, members: Members, store_cache: StoreCache
    ) -> None:
        self._store = store
        self._members = members
        self._store_cache = store_cache
        self._written_era: int | None = None
        """Era of the store in which the row was last written; None if never."""

    async def run(self) -> None:
        """Keep the row, and read all rows while no other router is alive."""
        await asyncio.sleep(SEED_RESPONSE_SECONDS)
        if not self._members.alive:
            await self._find_others()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if not self._members.alive:
                await self._find_others()
            elif self._should_keep_row():
                await self._keep_row()

    async def _find_others(self) -> None:
        # written first: of two routers that start together, one reads the other's row
        await self._keep_row()
        await self._read_rows()

    async def _keep_row(self) -> None:
        """Write the row unless it is written; retry until that succeeds."""
        delay = FIRST_RETRY_SECONDS
        while not self._is_written and not await self._write_row():
            await asyncio.sleep(delay * random.uniform(0.7, 1.3))
            delay = min(MAX_RETRY_SECONDS, 2 * delay)

    @property
    def _is_written(self) -> bool:
        return self._written_era == self._era

    @property
    def _era(self) -> int:
        return self._store_cache.era or 0

    def _should_keep_row(self) -> bool:
        """Whether this router is one of those of its zone that keep a row."""
        own = self._members.own
        return (
            sum(rank(m) < rank(own) for m in self._members.zone_peers) < ROWS_PER_ZONE
        )

    async def deregister(self) -> None:
        """Delete the row."""
        if self._written_era is None:
            return
        try:
            async with asyncio.timeout(DEREGISTER_TIMEOUT_SECONDS):
                await self._store.delete_router(self._members.own.vm)
        except TimeoutError:
            _log.info("row not deleted in time", vm=self._members.own.vm)

    async def _write_row(self) -> bool:
        own, era = self._members.own, self._era
        result = await self._store.put_router(own.vm, serialize(own.to_wire()))
        if result.is_error():
            return False
        _log.info("row written", era=era, before=self._written_era)
        self._written_era = era
        return True

    async def _read_rows(self) -> None:
        rows = await self._store.routers()
        if rows.is_error():
            return
        for vm, data in rows.ok.items():
            try:
                member = Member.from_wire(deserialize(RouterInfo(), data))
            except Exception as error:
                # thrift raises exceptions of many types on malformed data
                _log.warning("row of a router malformed", vm=vm, error=repr(error))
                continue
            # a row doesn't show when its router was last alive
            self._members.merge_report(MemberReport(member, None))

"""The router's row in the store, by which others find it when no seed answers."""

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

FIRST_PAUSE = 0.5
LONGEST_PAUSE = 5.0
LONELY_SECONDS = 2.0
"""Time between two looks at whether another router answers; without one the rows are
read."""

GREETING_SECONDS = 0.7
"""Time after the start in which a seed answers, if any does."""

ROWS = 2
"""Routers of a zone that keep a row each."""

WITHDRAW_SECONDS = 0.5


class Registration:
    """Writes the row where it is needed, and removes it at the end.

    The rows only help routers to find each other when no seed answers; who is alive
    they tell one another. So the first routers of each zone keep rows, and one that
    hears nobody. A row that a killed router left behind costs a few datagrams. A row
    may be lost when the store goes back to an older copy, and is written again then.
    """

    def __init__(self, store: StateStore, members: Members, belief: StoreCache) -> None:
        self._store = store
        self._members = members
        self._belief = belief
        self._written_in: int | None = None
        """Era of the store in which the row was written last."""

    async def run(self) -> None:
        """Keep the row, and read all rows while this router is alone."""
        await asyncio.sleep(GREETING_SECONDS)
        if not self._members.alive:
            await self._find_others()
        while True:
            await asyncio.sleep(LONELY_SECONDS)
            if not self._members.alive:
                await self._find_others()
            elif self._represents_zone():
                await self._keep_row()

    async def _find_others(self) -> None:
        # of two that start together, the later writer sees the other's row
        await self._keep_row()
        await self._read()

    async def _keep_row(self) -> None:
        """Write the row unless it is written, however long that takes."""
        pause = FIRST_PAUSE
        while not self._is_written and not await self._write():
            await asyncio.sleep(pause * random.uniform(0.7, 1.3))
            pause = min(LONGEST_PAUSE, 2 * pause)

    @property
    def _is_written(self) -> bool:
        return self._written_in == self._era

    @property
    def _era(self) -> int:
        return self._belief.era or 0

    def _represents_zone(self) -> bool:
        """Whether this router is one of the first of its zone."""
        own = self._members.own
        return sum(rank(m) < rank(own) for m in self._members.zone_peers) < ROWS

    async def deregister(self) -> None:
        """Remove the row."""
        if self._written_in is None:
            return
        try:
            async with asyncio.timeout(WITHDRAW_SECONDS):
                await self._store.delete_router(self._members.own.vm)
        except TimeoutError:
            _log.info("row not removed", vm=self._members.own.vm)

    async def _write(self) -> bool:
        own, era = self._members.own, self._era
        result = await self._store.put_router(own.vm, serialize(own.to_wire()))
        if result.is_error():
            return False
        _log.info("row written", era=era, before=self._written_in)
        self._written_in = era
        return True

    async def _read(self) -> None:
        rows = await self._store.routers()
        if rows.is_error():
            return
        for vm, data in rows.ok.items():
            try:
                member = Member.from_wire(deserialize(RouterInfo(), data))
            except Exception as error:
                # thrift raises errors of many kinds on foreign bytes
                _log.warning("row of a router malformed", vm=vm, error=repr(error))
                continue
            # a row tells nothing of when its router was alive
            self._members.merge_report(MemberReport(member, None))

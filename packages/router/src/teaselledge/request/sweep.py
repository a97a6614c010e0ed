"""Remove old orders from the journal, and mark those that stay open."""

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from teaselledge.log import get_log
from teaselledge.platform import Row, StoreError, TableService, Write
from teaselledge.request.journal import Journal
from teaselledge.request.orderrun import MAX_LATE_RESPONSE_SECONDS
from teaselledge.request.record import (
    ORDERS_TABLE,
    UNKNOWN_TABLE,
    OrderRecord,
    OrderState,
    decode_record,
    encode_record,
)

__all__ = ["Sweeper"]

_log = get_log("order")

PAGE_ROWS = 100
PAGE_SECONDS = 0.5
"""Interval between two pages: two reads a second, over the whole fleet."""

IDLE_SECONDS = 60.0
"""Pause between two passes over a journal."""

RETENTION_SECONDS = 3 * 86_400.0
"""Wall-clock seconds for which a key stays in the journal after its last write.

It must exceed the longest time for which a router may be paused and a caller
asks again: a key that was removed is new again.
"""

ANSWER_LAG_SECONDS = 60.0


class Sweeper:
    """Reads the journal page by page, on one router of the fleet.

    Two routers that sweep at once do no harm: each write has the version that
    was read as its condition.

    Parameters
    ----------
    journal : Journal
        The order journal.
    is_mine : callable
        Whether this router is the one to sweep.
    retention : float
        Seconds for which a key is kept.
    """

    def __init__(
        self,
        journal: Journal,
        is_mine: Callable[[], bool],
        retention: float = RETENTION_SECONDS,
    ) -> None:
        self._journal = journal
        self._is_mine = is_mine
        self._retention = retention
        self._after = ""

    @property
    def _tables(self) -> TableService:
        return self._journal.tables

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(PAGE_SECONDS if self._after else IDLE_SECONDS)
            if self._is_mine():
                await self.sweep_page()

    async def sweep_page(self) -> Result[int, StoreError]:
        """Sweep one page and return how many rows changed."""
        scanned = await self._tables.scan(ORDERS_TABLE, "", PAGE_ROWS, self._after)
        if scanned.is_error():
            return Error(scanned.error)
        rows = scanned.ok
        self._after = rows[-1].key if len(rows) == PAGE_ROWS else ""
        changed = 0
        for row in rows:
            changed += await self._sweep_row(row)
        return Ok(changed)

    async def _sweep_row(self, row: Row) -> bool:
        record = decode_record(row.value)
        if record is None:
            return False
        age = self._journal.now() - max(record.written_at, record.send_deadline)
        if age > self._retention:
            return await self._remove(row, record)
        lingered = age > MAX_LATE_RESPONSE_SECONDS + ANSWER_LAG_SECONDS
        if record.state is OrderState.STARTED and lingered:
            return await self._mark(row, record)
        return False

    async def _mark(self, row: Row, record: OrderRecord) -> bool:
        """Put an order whose router is gone into the index of unknown ones."""
        now = self._journal.now()
        reason = "the router did not record an outcome"
        marked = record.with_state(OrderState.UNKNOWN, now, reason=reason)
        value = encode_record(marked)
        writes = [
            Write(ORDERS_TABLE, row.key, value, row.version),
            Write(UNKNOWN_TABLE, row.key, value),
        ]
        return (await self._tables.commit(writes)).is_ok()

    async def _remove(self, row: Row, record: OrderRecord) -> bool:
        answer = record.response
        if answer is not None and answer.object_key:
            # the row goes last: without it nothing would name the object
            deleted = await self._journal.objects.delete(answer.object_key)
            if deleted.is_error():
                return False
        writes = [
            Write(ORDERS_TABLE, row.key, None, row.version),
            Write(UNKNOWN_TABLE, row.key, None),
        ]
        return (await self._tables.commit(writes)).is_ok()

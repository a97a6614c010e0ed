"""Remove old orders from the journal, and mark those without an outcome."""

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
PAGE_INTERVAL_SECONDS = 0.5
"""Delay between two pages, which limits the whole fleet to two scans a second."""

PASS_INTERVAL_SECONDS = 60.0
"""Delay between two passes over the journal."""

RETENTION_SECONDS = 3 * 86_400.0
"""Wall-clock time for which a key stays in the journal after its last write.

It must exceed the maximum time for which a router may be paused or a caller
retries: after its removal a key counts as new, and the order could run again.
"""

OUTCOME_WRITE_SECONDS = 60.0
"""Time for the router to record an outcome after the last possible response."""


class Sweeper:
    """Sweeps the journal page by page, on one router of the fleet.

    Two routers may sweep concurrently: each write is conditional on the version
    of the row that was read.

    Parameters
    ----------
    journal : Journal
        The order journal.
    is_responsible : callable
        Returns whether this router has to sweep.
    retention : float
        Seconds for which a key is retained.
    """

    def __init__(
        self,
        journal: Journal,
        is_responsible: Callable[[], bool],
        retention: float = RETENTION_SECONDS,
    ) -> None:
        self._journal = journal
        self._is_responsible = is_responsible
        self._retention = retention
        self._after = ""

    @property
    def _tables(self) -> TableService:
        return self._journal.tables

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(
                PAGE_INTERVAL_SECONDS if self._after else PASS_INTERVAL_SECONDS
            )
            if self._is_responsible():
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
        overdue = age > MAX_LATE_RESPONSE_SECONDS + OUTCOME_WRITE_SECONDS
        if record.state is OrderState.STARTED and overdue:
            return await self._mark_unknown(row, record)
        return False

    async def _mark_unknown(self, row: Row, record: OrderRecord) -> bool:
        """Mark an order as unknown whose router did not record an outcome."""
        now = self._journal.now()
        reason = "the router did not record an outcome"
        unknown = record.with_state(OrderState.UNKNOWN, now, reason=reason)
        value = encode_record(unknown)
        writes = [
            Write(ORDERS_TABLE, row.key, value, row.version),
            Write(UNKNOWN_TABLE, row.key, value),
        ]
        return (await self._tables.commit(writes)).is_ok()

    async def _remove(self, row: Row, record: OrderRecord) -> bool:
        response = record.response
        if response is not None and response.object_key:
            # the row is deleted last, as only it refers to the object
            deleted = await self._journal.objects.delete(response.object_key)
            if deleted.is_error():
                return False
        writes = [
            Write(ORDERS_TABLE, row.key, None, row.version),
            Write(UNKNOWN_TABLE, row.key, None),
        ]
        return (await self._tables.commit(writes)).is_ok()

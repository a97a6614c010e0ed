"""In-memory double of the platform's table service."""

import asyncio
from collections.abc import Sequence

from expression import Error, Ok, Result
from teaselledge.platform import (
    ANY,
    Row,
    StoreError,
    StoreErrorKind,
    TableService,
    Write,
)

from teaselledge_standins.faults import StoreFaults

__all__ = ["MemoryTables"]


class MemoryTables(TableService):
    """Tables in memory, with conditional writes and fault switches.

    Attributes
    ----------
    faults : StoreFaults
        The switches.
    reads, writes : int
        Calls that were executed.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.reads = 0
        self.writes = 0
        self._tables: dict[str, dict[str, Row]] = {}

    async def get(self, table: str, key: str) -> Result[Row | None, StoreError]:
        """Read a row."""
        error = await self._apply_faults()
        if error is not None:
            return Error(error)
        self.reads += 1
        return Ok(self._tables.get(table, {}).get(key))

    async def scan(
        self, table: str, prefix: str, limit: int, after: str = ""
    ) -> Result[list[Row], StoreError]:
        """Read rows in key order."""
        error = await self._apply_faults()
        if error is not None:
            return Error(error)
        self.reads += 1
        rows = self._tables.get(table, {})
        keys = sorted(k for k in rows if k.startswith(prefix) and k > after)
        return Ok([rows[key] for key in keys[:limit]])

    async def commit(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        """Write all rows or none."""
        error = await self._apply_faults()
        if error is not None:
            return Error(error)
        self.writes += 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_writes, self.apply, list(writes))
            return Error(StoreError(StoreErrorKind.UNCERTAIN, "answer lost"))
        if not self.apply(writes):
            return Error(StoreError(StoreErrorKind.CONFLICT))
        return Ok(None)

    def peek(self, table: str, key: str) -> Row | None:
        """Read a row regardless of faults, for checks."""
        return self._tables.get(table, {}).get(key)

    def snapshot(self) -> dict[str, list[Row]]:
        """Return all rows by table in key order, regardless of faults."""
        return {
            table: [rows[key] for key in sorted(rows)]
            for table, rows in self._tables.items()
        }

    def apply(self, writes: Sequence[Write]) -> bool:
        """Apply writes immediately; return False if a condition did not hold."""
        for write in writes:
            row = self._tables.get(write.table, {}).get(write.key)
            version = row.version if row else 0
            if write.expect not in (ANY, version):
                return False
        for write in writes:
            self._put(write)
        return True

    def _put(self, write: Write) -> None:
        rows = self._tables.setdefault(write.table, {})
        if write.value is None:
            rows.pop(write.key, None)
            return
        old = rows.get(write.key)
        version = old.version + 1 if old else 1
        rows[write.key] = Row(write.key, version, write.value)

    async def _apply_faults(self) -> StoreError | None:
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            return StoreError(StoreErrorKind.UNAVAILABLE, "down")
        return None

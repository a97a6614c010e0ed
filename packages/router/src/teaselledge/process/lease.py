"""A lease in the table service, with a fencing number.

Clocks determine only when a process tries to take a lease over; safety does not
depend on them. Writes that only the holder may do are in one transaction with the
lease's row, on the condition that the row is unchanged since the holder wrote it.
"""

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result

from teaselledge.log import get_log
from teaselledge.platform import (
    ABSENT,
    Row,
    StoreError,
    StoreErrorKind,
    TableService,
    Write,
)

__all__ = ["LEASES_TABLE", "HeldLease", "Lease", "LeaseRecord"]

_log = get_log("lease")

LEASES_TABLE = "leases"
RETRY_SECONDS = 0.5
MAX_ATTEMPTS = 20


@dataclass(frozen=True)
class LeaseRecord:
    """Content of a lease's row.

    Attributes
    ----------
    holder : str
        VM and incarnation; empty if the lease was released.
    number : int
        Fencing number; grows with each holder and each fenced write.
    nonce : str
        Unique to each write of the row.
    """

    holder: str
    number: int
    nonce: str

    def encode(self) -> bytes:
        """Return the record encoded as a row's value."""
        fields = {"holder": self.holder, "number": self.number, "nonce": self.nonce}
        return json.dumps(fields).encode()

    @classmethod
    def decode(cls, value: bytes) -> "LeaseRecord":
        """Return the record in a row's value."""
        return cls(**json.loads(value))


@dataclass(frozen=True)
class HeldLease:
    """A lease that this process holds unless another process has taken it over.

    Attributes
    ----------
    number : int
        Fencing number written last.
    version : int
        Version of the row that this process wrote last.
    until : float
        Loop time from which others may take the lease over.
    """

    number: int
    version: int
    expires_at: float


class Lease:
    """Client of a lease in one process.

    Parameters
    ----------
    tables : TableService
        Table service with the lease's row.
    name : str
        Key of the row.
    holder : str
        VM and incarnation of this process.
    seconds : float
        Time without renewal after which others take the lease over.
    """

    def __init__(
        self, tables: TableService, name: str, holder: str, seconds: float = 10.0
    ) -> None:
        self._tables = tables
        self._name = name
        self._holder = holder
        self._seconds = seconds
        self._write_count = 0
        self._held: HeldLease | None = None
        self._observed_row: tuple[int, float] | None = None

    @property
    def held(self) -> HeldLease | None:
        """The lease, None if it is not held or may have been taken over."""
        held = self._held
        if held is None or asyncio.get_running_loop().time() >= held.expires_at:
            return None
        return held

    @property
    def holder(self) -> str:
        """Name of this process as a holder."""
        return self._holder

    async def acquire_or_renew(self) -> HeldLease | None:
        """Renew the lease, or acquire it if it is free or has lapsed."""
        now = asyncio.get_running_loop().time()
        read = await self._tables.get(LEASES_TABLE, self._name)
        if read.is_error():
            return self.held
        row = read.ok
        if row is None:
            return await self._acquire(LeaseRecord("", 0, ""), ABSENT)
        record = LeaseRecord.decode(row.value)
        if record.holder == self._holder:
            # also if the response to an earlier write was lost
            return await self._acquire(record, row.version)
        self._held = None
        if record.holder and not self._has_lapsed(row, now):
            return None
        if record.holder:
            _log.info(f"Lease {self._name} of {record.holder} has lapsed.")
        return await self._acquire(record, row.version)

    async def release(self) -> None:
        """Release the lease; the fencing number stays in the row."""
        held, self._held = self._held, None
        if held is None:
            return
        record = self._make_record(held.number, "")
        write = Write(LEASES_TABLE, self._name, record.encode(), held.version)
        await self._tables.commit([write])

    async def commit(
        self, writes: Sequence[Write], number: int
    ) -> Result[None, StoreError]:
        """Write rows on the condition that the lease was not taken over.

        Parameters
        ----------
        writes : sequence of Write
            The rows.
        number : int
            New fencing number of the lease; higher than the previous one.

        Returns
        -------
        Result of None or StoreError
            CONFLICT if the lease is lost or a condition did not hold; UNCERTAIN
            if the store did not respond to any of the retries.
        """
        held = self._held
        if held is None:
            return Error(StoreError(StoreErrorKind.CONFLICT, "lease is not held"))
        record = self._make_record(number, self._holder)
        result = await self._write(record, held.version, writes)
        if result.is_error() and result.error.kind is StoreErrorKind.CONFLICT:
            # the lease is lost or one of the rows changed; the next renewal shows
            # which
            self._held = None
        return result.map(lambda _: None)

    def _has_lapsed(self, row: Row, now: float) -> bool:
        # measured on this process's clock, from when it first read this version;
        # clocks of different VMs are never compared
        if self._observed_row is None or self._observed_row[0] != row.version:
            self._observed_row = (row.version, now)
        return now - self._observed_row[1] >= self._seconds

    async def _acquire(self, old: LeaseRecord, version: int) -> HeldLease | None:
        number = old.number
        if old.holder != self._holder or self._held is None:
            number += 1
        record = self._make_record(number, self._holder)
        result = await self._write(record, version, [])
        if result.is_error():
            self._held = None
            return None
        return result.ok

    async def _write(
        self, record: LeaseRecord, version: int, writes: Sequence[Write]
    ) -> Result[HeldLease, StoreError]:
        """Write the lease's row and others, with retries until the outcome is known.

        A write whose response was lost may take effect at any later time, but only
        on the version that it names. After a retry of the same transaction, the
        nonce or the version in the row shows whether it was written.
        """
        loop = asyncio.get_running_loop()
        lease_write = Write(LEASES_TABLE, self._name, record.encode(), version)
        error = StoreError(StoreErrorKind.UNCERTAIN)
        # others may see the first attempt from now on
        expires_at = loop.time() + self._seconds
        for _ in range(MAX_ATTEMPTS):
            result = await self._tables.commit([lease_write, *writes])
            if result.is_ok():
                return Ok(self._set_held(record, version + 1, expires_at))
            error = result.error
            if error.kind is StoreErrorKind.CONFLICT:
                return await self._after_conflict(record, expires_at, error)
            await asyncio.sleep(RETRY_SECONDS)
        return Error(error)

    async def _after_conflict(
        self, record: LeaseRecord, expires_at: float, error: StoreError
    ) -> Result[HeldLease, StoreError]:
        for _ in range(MAX_ATTEMPTS):
            read = await self._tables.get(LEASES_TABLE, self._name)
            if read.is_ok():
                row = read.ok
                if row is not None and row.value == record.encode():
                    return Ok(self._set_held(record, row.version, expires_at))
                return Error(error)
            await asyncio.sleep(RETRY_SECONDS)
        return Error(StoreError(StoreErrorKind.UNCERTAIN))

    def _set_held(
        self, record: LeaseRecord, version: int, expires_at: float
    ) -> HeldLease:
        self._held = HeldLease(record.number, version, expires_at)
        return self._held

    def _make_record(self, number: int, holder: str) -> LeaseRecord:
        self._write_count += 1
        return LeaseRecord(holder, number, f"{self._holder}/{self._write_count}")

"""A lease in the table service, with a fencing number.

The clock decides only when someone tries to take a lease over, never whether it
is safe: whatever the holder does that must not be done by two goes into one
transaction with the lease's row, on the condition that the row is still the one
that the holder wrote last.
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
MAX_TRIES = 20


@dataclass(frozen=True)
class LeaseRecord:
    """The content of a lease's row.

    Attributes
    ----------
    holder : str
        VM and incarnation; empty where it was given back.
    number : int
        Fencing number; grows with each holder and each fenced write.
    nonce : str
        No other write of the row has the same.
    """

    holder: str
    number: int
    nonce: str

    def encode(self) -> bytes:
        """Return the row's value."""
        fields = {"holder": self.holder, "number": self.number, "nonce": self.nonce}
        return json.dumps(fields).encode()

    @classmethod
    def decode(cls, value: bytes) -> "LeaseRecord":
        """Read a row's value."""
        return cls(**json.loads(value))


@dataclass(frozen=True)
class HeldLease:
    """A lease that this process holds, as far as it knows.

    Attributes
    ----------
    number : int
        The fencing number written last.
    version : int
        Version of the row that this process wrote last.
    until : float
        Loop time at which others may take it over.
    """

    number: int
    version: int
    until: float


class Lease:
    """One process's side of a lease.

    Parameters
    ----------
    tables : TableService
        Where the row is.
    name : str
        Key of the row.
    holder : str
        VM and incarnation of this process.
    seconds : float
        Others take it over after it was not renewed for so long.
    """

    def __init__(
        self, tables: TableService, name: str, holder: str, seconds: float = 10.0
    ) -> None:
        self._tables = tables
        self._name = name
        self._holder = holder
        self._seconds = seconds
        self._writes = 0
        self._held: HeldLease | None = None
        self._seen: tuple[int, float] | None = None

    @property
    def held(self) -> HeldLease | None:
        """The lease, None where it is not held or may have been taken over."""
        held = self._held
        if held is None or asyncio.get_running_loop().time() >= held.until:
            return None
        return held

    @property
    def holder(self) -> str:
        """Name of this process as a holder."""
        return self._holder

    async def acquire_or_renew(self) -> HeldLease | None:
        """Renew the lease, or take it where it is free or has lapsed."""
        now = asyncio.get_running_loop().time()
        read = await self._tables.get(LEASES_TABLE, self._name)
        if read.is_error():
            return self.held
        row = read.ok
        if row is None:
            return await self._take(LeaseRecord("", 0, ""), ABSENT)
        record = LeaseRecord.decode(row.value)
        if record.holder == self._holder:
            # also where the answer to an earlier write was lost
            return await self._take(record, row.version)
        self._held = None
        if record.holder and not self._has_lapsed(row, now):
            return None
        if record.holder:
            _log.info(f"Lease {self._name} of {record.holder} has lapsed.")
        return await self._take(record, row.version)

    async def release(self) -> None:
        """Give the lease back; the fencing number stays in the row."""
        held, self._held = self._held, None
        if held is None:
            return
        record = self._record(held.number, "")
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
            The fencing number that the lease has from then on; higher than the
            one before.

        Returns
        -------
        Result of None or StoreError
            CONFLICT where the lease is lost or a condition did not hold;
            UNCERTAIN where the store gave no answer for long.
        """
        held = self._held
        if held is None:
            return Error(StoreError(StoreErrorKind.CONFLICT, "lease is not held"))
        record = self._record(number, self._holder)
        result = await self._write(record, held.version, writes)
        if result.is_error() and result.error.kind is StoreErrorKind.CONFLICT:
            # lost, or one of the rows changed: the next step finds out which
            self._held = None
        return result.map(lambda _: None)

    def _has_lapsed(self, row: Row, now: float) -> bool:
        # only this process's own clock, and only the time that it watched the
        # same version: clocks of two VMs are never compared
        if self._seen is None or self._seen[0] != row.version:
            self._seen = (row.version, now)
        return now - self._seen[1] >= self._seconds

    async def _take(self, old: LeaseRecord, version: int) -> HeldLease | None:
        number = old.number
        if old.holder != self._holder or self._held is None:
            number += 1
        record = self._record(number, self._holder)
        result = await self._write(record, version, [])
        if result.is_error():
            self._held = None
            return None
        return result.ok

    async def _write(
        self, record: LeaseRecord, version: int, writes: Sequence[Write]
    ) -> Result[HeldLease, StoreError]:
        """Write the lease's row and others until it is known whether it happened.

        A write whose answer was lost may land at any later time, but only on the
        version that it names. Repeating the same transaction and then finding
        its nonce, or another version, tells for sure.
        """
        loop = asyncio.get_running_loop()
        lease = Write(LEASES_TABLE, self._name, record.encode(), version)
        error = StoreError(StoreErrorKind.UNCERTAIN)
        # others may see the first try land as early as now
        until = loop.time() + self._seconds
        for _ in range(MAX_TRIES):
            result = await self._tables.commit([lease, *writes])
            if result.is_ok():
                return Ok(self._keep(record, version + 1, until))
            error = result.error
            if error.kind is StoreErrorKind.CONFLICT:
                return await self._after_conflict(record, until, error)
            await asyncio.sleep(RETRY_SECONDS)
        return Error(error)

    async def _after_conflict(
        self, record: LeaseRecord, until: float, error: StoreError
    ) -> Result[HeldLease, StoreError]:
        for _ in range(MAX_TRIES):
            read = await self._tables.get(LEASES_TABLE, self._name)
            if read.is_ok():
                row = read.ok
                if row is not None and row.value == record.encode():
                    return Ok(self._keep(record, row.version, until))
                return Error(error)
            await asyncio.sleep(RETRY_SECONDS)
        return Error(StoreError(StoreErrorKind.UNCERTAIN))

    def _keep(self, record: LeaseRecord, version: int, until: float) -> HeldLease:
        self._held = HeldLease(record.number, version, until)
        return self._held

    def _record(self, number: int, holder: str) -> LeaseRecord:
        self._writes += 1
        return LeaseRecord(holder, number, f"{self._holder}/{self._writes}")

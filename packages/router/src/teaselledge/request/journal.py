"""The order journal: reads and writes of an order's record by its attempts.

Safety depends only on conditional writes of a single row:

- An attempt sends nothing before its own started record is known to be stored.
- Only its own attempt or an operator changes a started record.
- An attempt that sent nothing releases its record. The released record stays in
  the row, so an attempt that read the row earlier can no longer claim it.

A refusal may therefore state that an order did not run only after the released
record was written, or while the refusing attempt holds the row and has sent nothing.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from expression import Error, Ok, Result

from teaselledge.metrics import Metrics
from teaselledge.platform import (
    ABSENT,
    ObjectStore,
    StoreError,
    StoreErrorKind,
    TableService,
    Write,
)
from teaselledge.request.record import (
    ORDERS_TABLE,
    UNKNOWN_TABLE,
    OrderRecord,
    OrderState,
    StoredResponse,
    decode_record,
    encode_record,
)

__all__ = ["RecordClaim", "JournalRow", "Journal", "ClaimStatus"]

MAX_CLOCK_SKEW_SECONDS = 1.0
"""Upper limit of the difference between the wall clocks of two VMs."""


class ClaimStatus(Enum):
    """Relation of an attempt to the record under its key."""

    FREE = "free"
    """No attempt holds the key; this one may claim it."""

    MINE = "mine"
    """The row holds this attempt's own started record, or its outcome."""

    RELEASED = "released"
    """The row holds this attempt's own released record."""

    FENCED = "fenced"
    """The row may hold a newer release, so this attempt must not claim."""

    TAKEN = "taken"
    """The record belongs to another attempt."""

    MISMATCH = "mismatch"
    """The record belongs to another request."""

    UNREADABLE = "unreadable"
    """The stored bytes are not a valid record."""


@dataclass(frozen=True)
class JournalRow:
    """A row of the journal as read.

    Attributes
    ----------
    record : OrderRecord or None
        None if the row is absent or its content is invalid.
    version : int
        Version of the row, `ABSENT` if there is none.
    """

    record: OrderRecord | None
    version: int


class Journal:
    """Reads and writes the journal's rows in the platform's table service."""

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._objects = objects
        self._metrics = metrics
        self._clock = clock

    @property
    def tables(self) -> TableService:
        """The platform's tables."""
        return self._tables

    @property
    def objects(self) -> ObjectStore:
        """The platform's object store."""
        return self._objects

    def now(self) -> float:
        """Return the wall-clock time in seconds."""
        return self._clock()

    async def read(self, row: str) -> Result[JournalRow, StoreError]:
        """Read the record of a row."""
        self._metrics.count("order.reads")
        read = await self._tables.get(ORDERS_TABLE, row)
        if read.is_error():
            self._metrics.count("store.errors")
            return Error(read.error)
        found = read.ok
        if found is None:
            return Ok(JournalRow(None, ABSENT))
        return Ok(JournalRow(decode_record(found.value), found.version))

    async def write(
        self, row: str, record: OrderRecord, expect: int, indexed: bool = False
    ) -> Result[None, StoreError]:
        """Write a record on condition that its row has the expected version.

        Parameters
        ----------
        row : str
            Key of the row.
        record : OrderRecord
            Record to write.
        expect : int
            Version that the row must have.
        indexed : bool
            Whether the index of unknown orders lists the row.
        """
        self._metrics.count("order.writes")
        value = encode_record(record)
        writes = [Write(ORDERS_TABLE, row, value, expect)]
        # the index changes in the same commit, so that it lists exactly the
        # unknown orders
        if record.state is OrderState.UNKNOWN:
            writes.append(Write(UNKNOWN_TABLE, row, value))
        elif indexed:
            writes.append(Write(UNKNOWN_TABLE, row, None))
        written = await self._tables.commit(writes)
        if written.is_error() and written.error.kind is not StoreErrorKind.CONFLICT:
            self._metrics.count("store.errors")
        return written


class RecordClaim:
    """Claims, releases and updates the record of an order for one attempt."""

    def __init__(
        self, journal: Journal, row: str, record: OrderRecord, arrived: float
    ) -> None:
        self._journal = journal
        self._row = row
        self._record = record
        self._arrived = arrived
        self._expect = ABSENT
        self._outstanding: int | None = None
        self._write_uncertain = False
        self._claimed = False
        self._indexed = False

    @property
    def row(self) -> str:
        """Key of the order's row."""
        return self._row

    @property
    def record(self) -> OrderRecord:
        """The started record of this attempt."""
        return self._record

    @property
    def may_be_written(self) -> bool:
        """Whether a claim of this attempt may be stored, now or later."""
        return self._outstanding is not None

    @property
    def claimed(self) -> bool:
        """Whether this attempt held the row when it was last read or written."""
        return self._claimed

    async def read(self) -> Result[tuple[ClaimStatus, JournalRow], StoreError]:
        """Read the row once; later writes expect its version."""
        read = await self._journal.read(self._row)
        return read.map(lambda row: (self._update_status(row), row))

    async def claim(self) -> Result[tuple[ClaimStatus, JournalRow], StoreError]:
        """Try once to write this attempt's started record into the row.

        A claim may be repeated. If the store's response is lost, the row is
        read to find out whether the record was written. A write that takes
        effect after that read does no harm: the next claim finds this attempt's
        own record, and a release in between makes the delayed write fail.
        """
        previous = self._outstanding
        self._outstanding = self._expect
        claimed = await self._write(self._record)
        if claimed.is_error() and not self._write_uncertain:
            # the store refused this write; only an earlier one may still take effect
            self._outstanding = previous
        return claimed

    async def release(self) -> Result[tuple[ClaimStatus, JournalRow], StoreError]:
        """Try once to write the released record, so that no earlier attempt can claim.

        The caller repeats this until the status is `RELEASED`, or until the row
        belongs to another attempt. The attempt must have sent nothing.
        """
        now = self._journal.now()
        return await self._write(self._record.with_state(OrderState.RELEASED, now))

    async def record_outcome(
        self, state: OrderState, response: StoredResponse | None, reason: str = ""
    ) -> Result[tuple[ClaimStatus, JournalRow], StoreError]:
        """Try once to record the outcome of the order."""
        now = self._journal.now()
        return await self._write(self._record.with_state(state, now, response, reason))

    async def _write(
        self, record: OrderRecord
    ) -> Result[tuple[ClaimStatus, JournalRow], StoreError]:
        self._write_uncertain = True
        written = await self._journal.write(
            self._row, record, self._expect, self._indexed
        )
        if written.is_ok():
            # platforms differ in how versions grow; if this guess is wrong, the
            # next write fails with a conflict and reads the version
            row = JournalRow(record, self._expect + 1)
            return Ok((self._update_status(row), row))
        if written.error.kind is StoreErrorKind.UNAVAILABLE:
            self._write_uncertain = False
            return Error(written.error)
        return await self.read()

    def _update_status(self, row: JournalRow) -> ClaimStatus:
        status = self._status_of(row)
        self._claimed = status is ClaimStatus.MINE
        self._expect = row.version
        record = row.record
        self._indexed = record is not None and record.state is OrderState.UNKNOWN
        # a claim that is still outstanding fails once the row has another version
        if not self._claimed and row.version != self._outstanding:
            self._outstanding = None
        return status

    def _status_of(self, row: JournalRow) -> ClaimStatus:
        record = row.record
        if row.version == ABSENT:
            return ClaimStatus.FREE
        if record is None:
            return ClaimStatus.UNREADABLE
        if record.attempt == self._record.attempt:
            if record.state is OrderState.RELEASED:
                return ClaimStatus.RELEASED
            return ClaimStatus.MINE
        if record.state is OrderState.RELEASED:
            # The releasing router may have reported "not run", and its caller
            # may rely on that while an older attempt with the same key still
            # waits here. If the older attempt read the row after the release,
            # only the wall clocks show that it is older.
            same_owner = record.owner == self._record.owner
            arrived_after_release = self._arrived > record.written_at + (
                0.0 if same_owner else MAX_CLOCK_SKEW_SECONDS
            )
            return ClaimStatus.FREE if arrived_after_release else ClaimStatus.FENCED
        if record.digest != self._record.digest:
            return ClaimStatus.MISMATCH
        return ClaimStatus.TAKEN

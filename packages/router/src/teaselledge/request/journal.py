"""The order journal: one attempt's reads and writes of an order's record.

Safety rests on conditional writes of one row alone:

- An attempt sends nothing before its own started record is known to be there.
- A started record is changed by its own attempt only, or by an operator.
- An attempt that sent nothing releases its record. The released record stays
  as a mark: whoever read the row before cannot claim it any more.

So a refusal may say that an order did not run only after the row was marked, or
while the refusing attempt holds the row and has sent nothing.
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
"""Bound on the difference between the wall clocks of two VMs."""


class ClaimStatus(Enum):
    """How an attempt stands to the record under its key."""

    FREE = "free"
    """Nobody holds the key; the attempt may claim it."""

    MINE = "mine"
    """The attempt's own started record is there."""

    RELEASED = "released"
    """The attempt's own released record is there."""

    FENCED = "fenced"
    """A release that may be younger than this attempt; it must not claim."""

    TAKEN = "taken"
    """The record is another attempt's."""

    MISMATCH = "mismatch"
    """The record is another request's."""

    UNREADABLE = "unreadable"
    """The stored bytes are no record."""


@dataclass(frozen=True)
class JournalRow:
    """A row of the journal as read.

    Attributes
    ----------
    record : OrderRecord or None
        None where the row is absent or cannot be read.
    version : int
        Version of the row, `ABSENT` where there is none.
    """

    record: OrderRecord | None
    version: int


class Journal:
    """The journal's rows in the platform's tables, and its large answers."""

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
        """Write a record where its row still has the expected version.

        Parameters
        ----------
        row : str
            Key of the row.
        record : OrderRecord
            What to write.
        expect : int
            Version that the row must have.
        indexed : bool
            Whether the row is in the index of unknown orders.
        """
        self._metrics.count("order.writes")
        value = encode_record(record)
        writes = [Write(ORDERS_TABLE, row, value, expect)]
        # the index changes in the same commit, so that an operator's list
        # neither misses an unknown order nor shows one that is known
        if record.state is OrderState.UNKNOWN:
            writes.append(Write(UNKNOWN_TABLE, row, value))
        elif indexed:
            writes.append(Write(UNKNOWN_TABLE, row, None))
        written = await self._tables.commit(writes)
        if written.is_error() and written.error.kind is not StoreErrorKind.CONFLICT:
            self._metrics.count("store.errors")
        return written


class RecordClaim:
    """One attempt at an order, and what it knows about the order's row."""

    def __init__(
        self, journal: Journal, row: str, record: OrderRecord, arrived: float
    ) -> None:
        self._journal = journal
        self._row = row
        self._record = record
        self._arrived = arrived
        self._expect = ABSENT
        self._outstanding: int | None = None
        self._unclear = False
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
        """Whether a claim of this attempt may be in the row, or get there."""
        return self._outstanding is not None

    @property
    def claimed(self) -> bool:
        """Whether this attempt is known to hold the row."""
        return self._claimed

    async def read(self) -> Result[tuple[ClaimStatus, JournalRow], StoreError]:
        """Read the row once, and remember its version."""
        read = await self._journal.read(self._row)
        return read.map(lambda held: (self._judge(held), held))

    async def claim(self) -> Result[tuple[ClaimStatus, JournalRow], StoreError]:
        """Try once to put this attempt's started record into the row.

        Repeating it is harmless. Where the answer was lost, the row tells
        whether the record got there. One that gets there after the row was
        read does not harm either: the next claim then meets this attempt's
        own record, and a release in between makes the late one fail.
        """
        before = self._outstanding
        self._outstanding = self._expect
        claimed = await self._put(self._record)
        if claimed.is_error() and not self._unclear:
            # this write was refused; only an earlier one may be on its way
            self._outstanding = before
        return claimed

    async def release(self) -> Result[tuple[ClaimStatus, JournalRow], StoreError]:
        """Try once to mark the row, so that no attempt so far can claim it.

        The caller repeats it until the standing is `RELEASED`, or until the
        row is another attempt's. It must have sent nothing.
        """
        now = self._journal.now()
        return await self._put(self._record.with_state(OrderState.RELEASED, now))

    async def record_outcome(
        self, state: OrderState, answer: StoredResponse | None, reason: str = ""
    ) -> Result[tuple[ClaimStatus, JournalRow], StoreError]:
        """Try once to record how the order ended."""
        now = self._journal.now()
        return await self._put(self._record.with_state(state, now, answer, reason))

    async def _put(
        self, record: OrderRecord
    ) -> Result[tuple[ClaimStatus, JournalRow], StoreError]:
        self._unclear = True
        written = await self._journal.write(
            self._row, record, self._expect, self._indexed
        )
        if written.is_ok():
            # platforms differ in how versions grow; where this guess is wrong,
            # the next write meets a conflict and reads the version
            held = JournalRow(record, self._expect + 1)
            return Ok((self._judge(held), held))
        if written.error.kind is StoreErrorKind.UNAVAILABLE:
            self._unclear = False
            return Error(written.error)
        return await self.read()

    def _judge(self, held: JournalRow) -> ClaimStatus:
        standing = self._standing(held)
        self._claimed = standing is ClaimStatus.MINE
        self._expect = held.version
        record = held.record
        self._indexed = record is not None and record.state is OrderState.UNKNOWN
        # a claim that is still on its way fails once the row has moved on
        if not self._claimed and held.version != self._outstanding:
            self._outstanding = None
        return standing

    def _standing(self, held: JournalRow) -> ClaimStatus:
        record = held.record
        if held.version == ABSENT:
            return ClaimStatus.FREE
        if record is None:
            return ClaimStatus.UNREADABLE
        if record.attempt == self._record.attempt:
            if record.state is OrderState.RELEASED:
                return ClaimStatus.RELEASED
            return ClaimStatus.MINE
        if record.state is OrderState.RELEASED:
            # A caller that was told "not run" by the releasing router may act
            # on it, while an older attempt of the same key still waits here.
            # Where that attempt read the row late, only the clocks can tell
            # that it is the older one.
            own = record.owner == self._record.owner
            young = self._arrived > record.written_at + (
                0.0 if own else MAX_CLOCK_SKEW_SECONDS
            )
            return ClaimStatus.FREE if young else ClaimStatus.FENCED
        if record.digest != self._record.digest:
            return ClaimStatus.MISMATCH
        return ClaimStatus.TAKEN

"""Queries of the order journal, and the settling of orders by operators."""

from dataclasses import dataclass
from enum import Enum

from expression import Error, Ok, Result

from teaselledge.errors import Ran
from teaselledge.platform import Row, StoreError, StoreErrorKind, TableService, Write
from teaselledge.request.record import (
    ORDERS_TABLE,
    UNKNOWN_TABLE,
    OrderRecord,
    OrderState,
    decode_record,
    encode_record,
    order_row,
    split_order_row,
)

__all__ = [
    "RAN_BY_STATE",
    "Order",
    "OrderPage",
    "Settlement",
    "SettleError",
    "get_order",
    "list_orders",
    "settle_order",
]

SETTLE_GRACE_SECONDS = 60.0
"""Wall-clock time after an attempt's deadline until the order may be settled."""

RAN_BY_STATE: dict[OrderState, Ran] = {
    OrderState.STARTED: Ran.UNKNOWN,
    OrderState.RELEASED: Ran.NO,
    OrderState.FINISHED: Ran.YES,
    OrderState.UNKNOWN: Ran.UNKNOWN,
    OrderState.SETTLED: Ran.YES,
}


class Settlement(Enum):
    """Outcome of an order as established by an operator."""

    RAN = "ran"
    NOT_RUN = "not-run"


class SettleError(Enum):
    """Why an order was not settled."""

    ABSENT = "absent"
    """The journal has no such order."""

    NOT_OPEN = "not-open"
    """The outcome is already known."""

    TOO_EARLY = "too-early"
    """The attempt may still send the order."""

    CHANGED = "changed"
    """The record changed after it was read; read it again."""

    STORE = "store"
    """The table service failed; a write may have taken effect, so read it again."""


@dataclass(frozen=True)
class Order:
    """One order in the journal.

    Attributes
    ----------
    organisation, key : str
        Organisation and idempotency key that identify the order.
    record : OrderRecord
        Record of the order.
    version : int
        Version of the row.
    """

    organisation: str
    key: str
    record: OrderRecord
    version: int

    @property
    def ran(self) -> Ran:
        """Whether an endpoint carried out the order."""
        return RAN_BY_STATE[self.record.state]


@dataclass(frozen=True)
class OrderPage:
    """A page of orders.

    Attributes
    ----------
    orders : tuple of Order
        Orders sorted by organisation and key.
    after : str
        Cursor for the next page; empty on the last page.
    """

    orders: tuple[Order, ...]
    after: str = ""


async def get_order(
    tables: TableService, organisation: str, key: str
) -> Result[Order | None, StoreError]:
    """Read one order; None if the journal has no such order."""
    read = await tables.get(ORDERS_TABLE, order_row(organisation, key))
    return read.map(lambda row: None if row is None else _decode_order(row))


async def list_orders(
    tables: TableService,
    organisation: str | None = None,
    state: OrderState | None = None,
    limit: int = 100,
    after: str = "",
) -> Result[OrderPage, StoreError]:
    """Read a page of orders.

    Unknown orders are read from their index. Other states are filtered from a
    page of the whole journal, so a page may hold fewer orders than the limit.
    """
    prefix = "" if organisation is None else order_row(organisation, "")
    table = UNKNOWN_TABLE if state is OrderState.UNKNOWN else ORDERS_TABLE
    scanned = await tables.scan(table, prefix, limit, after)
    if scanned.is_error():
        return Error(scanned.error)
    rows = scanned.ok
    orders = [order for row in rows if (order := _decode_order(row)) is not None]
    selected = tuple(o for o in orders if state in (None, o.record.state))
    next_after = rows[-1].key if len(rows) == limit else ""
    return Ok(OrderPage(selected, next_after))


async def settle_order(
    tables: TableService,
    organisation: str,
    key: str,
    outcome: Settlement,
    by: str,
    now: float,
) -> Result[Order, SettleError]:
    """Record the outcome of an order as established by an operator.

    Parameters
    ----------
    tables : TableService
        The platform's tables.
    organisation, key : str
        Organisation and idempotency key that identify the order.
    outcome : Settlement
        An order that did not run is released, so its key may be used again. The
        key of an order that ran stays occupied.
    by : str
        Name of the operator.
    now : float
        Wall-clock time in seconds.

    Returns
    -------
    Result of Order or SettleError
        The settled order.
    """
    read = await get_order(tables, organisation, key)
    if read.is_error():
        return Error(SettleError.STORE)
    order = read.ok
    if order is None:
        return Error(SettleError.ABSENT)
    record = order.record
    if record.state not in (OrderState.STARTED, OrderState.UNKNOWN):
        return Error(SettleError.NOT_OPEN)
    # A router that was paused before it sent the order could send it after the
    # operator saw that it had not run. It checks its deadline before sending, so
    # the order can be settled safely some time after that deadline.
    if now < record.send_deadline + SETTLE_GRACE_SECONDS:
        return Error(SettleError.TOO_EARLY)
    state = OrderState.SETTLED if outcome is Settlement.RAN else OrderState.RELEASED
    settled = record.with_state(state, now, reason=f"settled by {by}")
    row = order_row(organisation, key)
    writes = [
        Write(ORDERS_TABLE, row, encode_record(settled), order.version),
        Write(UNKNOWN_TABLE, row, None),
    ]
    written = await tables.commit(writes)
    if written.is_ok():
        return Ok(Order(organisation, key, settled, order.version + 1))
    if written.error.kind is StoreErrorKind.CONFLICT:
        return Error(SettleError.CHANGED)
    return Error(SettleError.STORE)


def _decode_order(row: Row) -> Order | None:
    record = decode_record(row.value)
    if record is None:
        return None
    organisation, key = split_order_row(row.key)
    return Order(organisation, key, record, row.version)

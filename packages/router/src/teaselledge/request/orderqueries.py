"""What operators and callers may ask of the order journal."""

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
"""Wall-clock seconds after an attempt's deadline until it may be settled."""

RAN_BY_STATE: dict[OrderState, Ran] = {
    OrderState.STARTED: Ran.UNKNOWN,
    OrderState.RELEASED: Ran.NO,
    OrderState.FINISHED: Ran.YES,
    OrderState.UNKNOWN: Ran.UNKNOWN,
    OrderState.SETTLED: Ran.YES,
}


class Settlement(Enum):
    """What an operator found out about an order."""

    RAN = "ran"
    NOT_RUN = "not-run"


class SettleError(Enum):
    """Why an order was not settled."""

    ABSENT = "absent"
    """There is no such order."""

    NOT_OPEN = "not-open"
    """Its outcome is known already."""

    TOO_EARLY = "too-early"
    """Its attempt may still send it."""

    CHANGED = "changed"
    """It changed meanwhile; look again."""

    STORE = "store"
    """The table service gave no answer; look again."""


@dataclass(frozen=True)
class Order:
    """One order in the journal.

    Attributes
    ----------
    organisation, key : str
        What names it.
    record : OrderRecord
        Its record.
    version : int
        Version of its row.
    """

    organisation: str
    key: str
    record: OrderRecord
    version: int

    @property
    def ran(self) -> Ran:
        """Whether an endpoint carried it out."""
        return RAN_BY_STATE[self.record.state]


@dataclass(frozen=True)
class OrderPage:
    """Some orders, and where the next page begins.

    Attributes
    ----------
    orders : tuple of Order
        Those found, in order of organisation and key.
    after : str
        Give it to get the next page; empty where there is none.
    """

    orders: tuple[Order, ...]
    after: str = ""


async def get_order(
    tables: TableService, organisation: str, key: str
) -> Result[Order | None, StoreError]:
    """Read one order; None where the journal has none."""
    read = await tables.get(ORDERS_TABLE, order_row(organisation, key))
    return read.map(lambda row: None if row is None else _order(row))


async def list_orders(
    tables: TableService,
    organisation: str | None = None,
    state: OrderState | None = None,
    limit: int = 100,
    after: str = "",
) -> Result[OrderPage, StoreError]:
    """Read a page of orders.

    Those of state unknown come from an index, any other selection reads the
    whole journal page by page, so that a page may hold fewer than the limit.
    """
    prefix = "" if organisation is None else order_row(organisation, "")
    table = UNKNOWN_TABLE if state is OrderState.UNKNOWN else ORDERS_TABLE
    scanned = await tables.scan(table, prefix, limit, after)
    if scanned.is_error():
        return Error(scanned.error)
    rows = scanned.ok
    orders = [found for row in rows if (found := _order(row)) is not None]
    chosen = tuple(o for o in orders if state in (None, o.record.state))
    more = rows[-1].key if len(rows) == limit else ""
    return Ok(OrderPage(chosen, more))


async def settle_order(
    tables: TableService,
    organisation: str,
    key: str,
    outcome: Settlement,
    by: str,
    now: float,
) -> Result[Order, SettleError]:
    """Record what an operator found out about an order.

    Parameters
    ----------
    tables : TableService
        The platform's tables.
    organisation, key : str
        What names the order.
    outcome : Settlement
        An order that did not run is released, so that its key may be used
        again; one that ran keeps its key for ever occupied.
    by : str
        Who says so.
    now : float
        Wall-clock time in seconds.

    Returns
    -------
    Result of Order or SettleError
        The order as it is now.
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
    # A router that was paused before it sent the order would send it after
    # the operator saw that it had not run; it checks its deadline first, so
    # waiting for that and some more keeps the two apart.
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


def _order(row: Row) -> Order | None:
    record = decode_record(row.value)
    if record is None:
        return None
    organisation, key = split_order_row(row.key)
    return Order(organisation, key, record, row.version)

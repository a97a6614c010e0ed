"""Lists, shows and settles orders for operators, as JSON-compatible values."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from teaselledge.platform import TableService
from teaselledge.request.orderqueries import (
    Order,
    SettleError,
    Settlement,
    get_order,
    list_orders,
    settle_order,
)
from teaselledge.request.record import OrderState

__all__ = ["JournalAdmin"]

SETTLE_ERROR_MESSAGES: dict[SettleError, str] = {
    SettleError.ABSENT: "there is no such order",
    SettleError.NOT_OPEN: "its outcome is known already",
    SettleError.TOO_EARLY: "its attempt may still send it; try again in some minutes",
    SettleError.CHANGED: "it changed meanwhile; look again",
    SettleError.STORE: "the store gave no answer; look again",
}


def _to_dict(order: Order) -> dict[str, Any]:
    """Return the fields that an operator may see: neither request nor response."""
    record = order.record
    return {
        "organisation": order.organisation,
        "key": order.key,
        "state": record.state.value,
        "ran": order.ran.value,
        "service": record.service,
        "kind": record.kind,
        "owner": record.owner,
        "at": record.written_at,
        "reason": record.reason,
    }


class JournalAdmin:
    """Reads and settles orders in the table service.

    Parameters
    ----------
    tables : TableService
        Table service of the journal.
    clock : callable
        Returns the wall-clock time in seconds.
    """

    def __init__(self, tables: TableService, clock: Callable[[], float]) -> None:
        self._tables = tables
        self._clock = clock

    async def list(
        self, organisation: str, state: str, limit: int, after: str
    ) -> Result[dict[str, Any], str]:
        """Return a page of orders."""
        selected_state = None
        if state:
            known = {entry.value: entry for entry in OrderState}
            if state not in known:
                return Error(f"no state {state!r}; there are {', '.join(known)}")
            selected_state = known[state]
        page = await list_orders(
            self._tables, organisation or None, selected_state, limit, after
        )
        if page.is_error():
            return Error(f"store: {page.error.detail or page.error.kind.value}")
        orders = [_to_dict(order) for order in page.ok.orders]
        return Ok({"orders": orders, "after": page.ok.after})

    async def show(self, organisation: str, key: str) -> Result[dict[str, Any], str]:
        """Return one order."""
        found = await get_order(self._tables, organisation, key)
        if found.is_error():
            return Error(f"store: {found.error.detail or found.error.kind.value}")
        if found.ok is None:
            return Error(SETTLE_ERROR_MESSAGES[SettleError.ABSENT])
        return Ok(_to_dict(found.ok))

    async def settle(
        self, organisation: str, key: str, outcome: str, operator: str
    ) -> Result[dict[str, Any], str]:
        """Record the outcome of an order as established by an operator."""
        known = {entry.value: entry for entry in Settlement}
        if outcome not in known:
            return Error(f"no outcome {outcome!r}; there are {', '.join(known)}")
        settled = await settle_order(
            self._tables, organisation, key, known[outcome], operator, self._clock()
        )
        if settled.is_error():
            return Error(SETTLE_ERROR_MESSAGES[settled.error])
        return Ok(_to_dict(settled.ok))

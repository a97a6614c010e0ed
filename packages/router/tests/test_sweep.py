"""Tests of the journal's sweeper."""

import asyncio

from teaselledge.metrics import NullMetrics
from teaselledge.platform import ABSENT
from teaselledge.request.journal import Journal
from teaselledge.request.orderqueries import get_order, list_orders
from teaselledge.request.record import OrderRecord, OrderState, StoredResponse
from teaselledge.request.sweep import Sweeper
from teaselledge_standins.objects import MemoryObjects
from teaselledge_standins.tables import MemoryTables

VIRTUAL_CLOCK = True

DAY = 86_400.0


async def journal_and_sweeper(state, response=None):
    """Return a journal with one order, and a sweeper for it."""
    clock = asyncio.get_running_loop().time
    journal = Journal(MemoryTables(), MemoryObjects(), NullMetrics(), clock)
    record = OrderRecord(state, "d", "a", "vm/1", "s", "k", 0.0, 60.0, response)
    await journal.write("amber/k", record, ABSENT)
    return journal, Sweeper(journal, lambda: True, 3 * DAY)


async def test_old_order_is_removed_with_its_response():
    """Orders past their retention are not removed, and their responses fill the
    platform's stores.
    """
    response = StoredResponse(200, (), None, "order-1")
    journal, sweeper = await journal_and_sweeper(OrderState.FINISHED, response)
    await journal.objects.put("order-1", b"long")
    await asyncio.sleep(3 * DAY)
    await sweeper.sweep_page()
    assert (await get_order(journal.tables, "amber", "k")).ok is not None
    await asyncio.sleep(DAY)
    await sweeper.sweep_page()
    assert (await get_order(journal.tables, "amber", "k")).ok is None
    assert (await journal.objects.get("order-1")).ok is None


async def test_order_of_a_killed_router_is_listed():
    """A router is killed after it claimed an order. The order is not listed as
    unknown until a sweep marks it.
    """
    journal, sweeper = await journal_and_sweeper(OrderState.STARTED)
    await asyncio.sleep(300)
    assert (await sweeper.sweep_page()).ok == 0
    await asyncio.sleep(600)
    assert (await sweeper.sweep_page()).ok == 1
    page = (await list_orders(journal.tables, None, OrderState.UNKNOWN)).ok
    assert [order.key for order in page.orders] == ["k"]


async def test_outcome_recorded_after_the_sweep_replaces_unknown():
    """An endpoint responds after a sweep marked the order as unknown. The router
    records the response, and the order is removed from the unknown orders.
    """
    journal, sweeper = await journal_and_sweeper(OrderState.STARTED)
    await asyncio.sleep(1000)
    await sweeper.sweep_page()
    found = (await journal.read("amber/k")).ok
    finished = found.record.with_state(OrderState.FINISHED, 1000.0)
    assert (await journal.write("amber/k", finished, found.version, True)).is_ok()
    page = (await list_orders(journal.tables, None, OrderState.UNKNOWN)).ok
    assert page.orders == ()

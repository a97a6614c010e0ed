"""Tests of the journal's retention."""

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


async def sweeping(state, answer=None):
    """Return a journal with one order and its sweeper."""
    clock = asyncio.get_running_loop().time
    journal = Journal(MemoryTables(), MemoryObjects(), NullMetrics(), clock)
    record = OrderRecord(state, "d", "a", "vm/1", "s", "k", 0.0, 60.0, answer)
    await journal.write("amber/k", record, ABSENT)
    return journal, Sweeper(journal, lambda: True, 3 * DAY)


async def test_old_order_is_removed_with_its_answer():
    """Answers would fill the platform's stores if nobody removed them."""
    answer = StoredResponse(200, (), None, "order-1")
    journal, sweeper = await sweeping(OrderState.FINISHED, answer)
    await journal.objects.put("order-1", b"long")
    await asyncio.sleep(3 * DAY)
    await sweeper.sweep_page()
    assert (await get_order(journal.tables, "amber", "k")).ok is not None
    await asyncio.sleep(DAY)
    await sweeper.sweep_page()
    assert (await get_order(journal.tables, "amber", "k")).ok is None
    assert (await journal.objects.get("order-1")).ok is None


async def test_order_of_a_router_that_is_gone_is_listed():
    """A router was killed after it claimed an order. Until the sweep finds the
    record, an operator who lists the unknown orders does not see it.
    """
    journal, sweeper = await sweeping(OrderState.STARTED)
    await asyncio.sleep(300)
    assert (await sweeper.sweep_page()).ok == 0
    await asyncio.sleep(600)
    assert (await sweeper.sweep_page()).ok == 1
    page = (await list_orders(journal.tables, None, OrderState.UNKNOWN)).ok
    assert [order.key for order in page.orders] == ["k"]


async def test_outcome_that_comes_after_the_sweep_wins():
    """An endpoint answers at last, after the sweep marked the order unknown. The
    router records the answer, and the order leaves the list.
    """
    journal, sweeper = await sweeping(OrderState.STARTED)
    await asyncio.sleep(1000)
    await sweeper.sweep_page()
    found = (await journal.read("amber/k")).ok
    finished = found.record.with_state(OrderState.FINISHED, 1000.0)
    assert (await journal.write("amber/k", finished, found.version, True)).is_ok()
    page = (await list_orders(journal.tables, None, OrderState.UNKNOWN)).ok
    assert page.orders == ()

"""Tests of orders under failures, on a virtual fleet."""

import asyncio

from teaselledge.errors import ErrorKind, Fault, Ran
from teaselledge.request.orderqueries import (
    SettleError,
    Settlement,
    list_orders,
    settle_order,
)
from teaselledge.request.record import (
    ORDERS_TABLE,
    OrderState,
    decode_record,
    order_row,
)
from teaselledge_standins.virtual.fleet import MemorySink
from teaselledge_standins.virtual.orders import (
    ORDER_SECONDS,
    order_fleet,
    runs_by_name,
)

VIRTUAL_CLOCK = True

fleet = order_fleet


async def place(fleet, vm, name="o", cost=0.1, key=None):
    return await fleet.call(
        vm, "amber", "ledger", "order", name, cost, name if key is None else key
    )


async def test_repeated_order_gets_the_stored_answer(fleet):
    """A caller loses its connection after the order ran and asks another router
    with the same key. It gets the first answer, and the order ran once.
    """
    first = await place(fleet, "vm-0")
    again = await place(fleet, "vm-2")
    assert first.is_correct and again.is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_order_without_a_key_is_refused(fleet):
    """A caller forgets the key. Without one nobody could tell a repetition from
    a second order, so that the router does not send it.
    """
    outcome = await place(fleet, "vm-0", key="")
    assert (outcome.fault.kind, outcome.fault.ran) == (ErrorKind.KEY_REQUIRED, Ran.NO)


async def test_key_of_another_request_is_refused(fleet):
    """A caller uses one key for two orders. The second must not get the first
    one's answer as if it had run.
    """
    await place(fleet, "vm-0", "first", key="k")
    outcome = await place(fleet, "vm-1", "second", key="k")
    assert outcome.fault.kind is ErrorKind.KEY_MISMATCH
    assert runs_by_name(fleet) == {"first": 1}


async def test_dropped_connection_leaves_the_order_unknown(fleet):
    """The endpoint runs the order and drops the connection before the head of
    its answer. The caller hears that the outcome is unknown, also when it asks
    again, and nothing is sent a second time.
    """
    for endpoint in fleet.endpoints.values():
        endpoint.faults.drop_after_run = 10
        endpoint.faults.break_after = 0
    first = await place(fleet, "vm-0")
    again = await place(fleet, "vm-1")
    assert (first.fault.kind, first.fault.ran) == (
        ErrorKind.ENDPOINT_FAILED,
        Ran.UNKNOWN,
    )
    assert again.fault.ran is Ran.UNKNOWN
    assert runs_by_name(fleet) == {"o": 1}


async def test_duplicates_on_three_routers_run_once(fleet):
    """A caller that is in a hurry sends one order to three routers at once.
    All three give the one answer.
    """
    outcomes = await asyncio.gather(
        *(place(fleet, vm, cost=1.0) for vm in ("vm-0", "vm-1", "vm-2"))
    )
    assert all(outcome.is_correct for outcome in outcomes)
    assert runs_by_name(fleet) == {"o": 1}


def state_of(fleet, key="o"):
    row = fleet.tables.peek(ORDERS_TABLE, order_row("amber", key))
    return decode_record(row.value).state


async def test_lost_answers_of_the_store_do_no_harm(fleet):
    """The store writes the claim and the outcome, and both answers are lost.
    The router looks again; the caller notices nothing.
    """
    fleet.tables.faults.lose_answers = 2
    outcome = await place(fleet, "vm-0")
    assert outcome.is_correct
    await asyncio.sleep(1)
    assert state_of(fleet) is OrderState.FINISHED
    assert runs_by_name(fleet) == {"o": 1}


async def test_late_claim_cannot_follow_a_refusal(fleet):
    """A claim's answer is lost, the store shows no trace of it, and the caller
    gives up. The claim lands seconds later. It must not keep the key.
    """
    fleet.tables.faults.lose_answers = 1
    fleet.tables.faults.late_writes = 5.0
    call = asyncio.ensure_future(place(fleet, "vm-0"))
    await asyncio.sleep(0.01)
    call.cancel()
    await asyncio.sleep(10)
    assert state_of(fleet) is OrderState.RELEASED
    again = await place(fleet, "vm-1")
    assert again.is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_order_is_held_while_the_store_is_down(fleet):
    """The store is down for ten seconds. The order waits, and lookups go on."""
    fleet.tables.faults.down = True
    call = asyncio.ensure_future(place(fleet, "vm-0"))
    lookup = await fleet.call("vm-0", "amber", "ledger", "read", "r", 0.1)
    assert lookup.is_correct and lookup.seconds < 1
    await asyncio.sleep(10)
    assert runs_by_name(fleet)["o"] == 0
    fleet.tables.faults.down = False
    assert (await call).is_correct


async def test_no_slot_waits_for_a_store_that_is_down(fleet):
    """The store is down and many orders come. None of them may keep a slot from
    the lookups, which need no journal; and once refused, none goes on asking a
    store that refused every call.
    """
    fleet.tables.faults.down = True
    orders = [asyncio.ensure_future(place(fleet, "vm-0", "first"))]
    await asyncio.sleep(1)
    orders += [asyncio.ensure_future(place(fleet, "vm-0", f"o{i}")) for i in range(40)]
    await asyncio.sleep(0.1)
    assert fleet.nodes["vm-0"].ingress.running == 0
    outcomes = await asyncio.gather(*orders)
    assert all(outcome.fault.ran is Ran.UNKNOWN for outcome in outcomes)
    assert fleet.nodes["vm-0"].orders.pending == 0


async def test_order_is_unknown_where_the_store_stays_down(fleet):
    """The store is down beyond the deadline. An earlier attempt elsewhere may
    have run, for all this router can know, so it says unknown. Once the store
    is back, the key is free.
    """
    fleet.tables.faults.down = True
    outcome = await place(fleet, "vm-0")
    assert outcome.fault.kind is ErrorKind.JOURNAL_UNAVAILABLE
    assert outcome.fault.ran is Ran.UNKNOWN
    assert ORDER_SECONDS - 2 < outcome.seconds <= ORDER_SECONDS
    fleet.tables.faults.down = False
    await asyncio.sleep(5)
    assert (await place(fleet, "vm-1")).is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_retry_on_another_router_while_the_store_is_down(fleet):
    """An order runs on one router, and the store goes down before the outcome
    is recorded. The caller, whose connection broke, asks another router. It
    must not hear that nothing ran; when the store is back it gets the answer.
    """
    call = asyncio.ensure_future(place(fleet, "vm-0", cost=1.0))
    await asyncio.sleep(0.5)
    fleet.tables.faults.down = True
    call.cancel()
    again = await place(fleet, "vm-1", cost=1.0)
    assert again.fault.ran is Ran.UNKNOWN
    fleet.tables.faults.down = False
    await asyncio.sleep(5)
    assert (await place(fleet, "vm-2", cost=1.0)).is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_router_paused_between_claim_and_send(fleet):
    """A router stops for a minute after its claim is written, and wakes after
    the caller asked another router and the deadline is over. It must not send
    the order then; the key becomes free.
    """
    call = asyncio.ensure_future(place(fleet, "vm-0"))
    while not fleet.tables.peek(ORDERS_TABLE, order_row("amber", "o")):
        await asyncio.sleep(0.0001)
    fleet.network.pause("vm-0")
    again = await place(fleet, "vm-1")
    assert again.fault.ran is Ran.UNKNOWN
    assert runs_by_name(fleet)["o"] == 0
    await asyncio.sleep(60)
    fleet.network.resume("vm-0")
    late = await call
    assert late.fault.ran is Ran.UNKNOWN
    await asyncio.sleep(5)
    assert (await place(fleet, "vm-2")).is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def killed_after(fleet, seconds):
    call = asyncio.ensure_future(place(fleet, "vm-0", cost=1.0))
    await asyncio.sleep(seconds)
    await fleet.kill("vm-0")
    try:
        await call
    except ConnectionError:
        return
    raise AssertionError("the call survived")


async def test_router_killed_before_the_claim(fleet):
    """A router is killed before it wrote anything. The retry on another
    router runs the order.
    """
    fleet.tables.faults.delay = 1.0
    await killed_after(fleet, 0.5)
    fleet.tables.faults.delay = 0.0
    assert (await place(fleet, "vm-1", cost=1.0)).is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_router_killed_during_the_order(fleet):
    """A router is killed while the endpoint runs an order. Nobody can know
    what became of it; the retry hears so and does not run it again.
    """
    await killed_after(fleet, 0.5)
    again = await place(fleet, "vm-1", cost=1.0)
    assert again.fault.ran is Ran.UNKNOWN
    await asyncio.sleep(30)
    once_more = await place(fleet, "vm-2", cost=1.0)
    assert once_more.fault.kind is ErrorKind.ORDER_UNKNOWN
    assert once_more.seconds < 1
    assert runs_by_name(fleet) == {"o": 1}


async def test_split_during_an_order(fleet):
    """The endpoint and the router are cut off from each other while the order
    runs. It runs to its end there, and its answer is lost.
    """
    call = asyncio.ensure_future(place(fleet, "vm-0", cost=2.0))
    await asyncio.sleep(0.5)
    fleet.network.cut({"vm-0"}, set(fleet.endpoints))
    outcome = await call
    assert outcome.sink.aborted or outcome.fault.ran is Ran.UNKNOWN
    again = await place(fleet, "vm-1", cost=2.0)
    assert again.fault.ran is Ran.UNKNOWN
    assert runs_by_name(fleet) == {"o": 1}


async def test_order_goes_on_without_its_caller(fleet):
    """A caller hangs up while its order runs, and asks again later. It gets
    the answer of the one run.
    """
    call = asyncio.ensure_future(place(fleet, "vm-0", cost=2.0))
    await asyncio.sleep(1)
    call.cancel()
    again = await place(fleet, "vm-1", cost=2.0)
    assert again.is_correct and again.seconds > 0.5
    assert runs_by_name(fleet) == {"o": 1}


async def test_slow_endpoint_is_unknown_at_the_deadline(fleet):
    """An endpoint takes longer than the deadline. The caller hears at the
    deadline that the outcome is open, and gets the answer later.
    """
    outcome = await place(fleet, "vm-0", cost=ORDER_SECONDS * 10)
    assert outcome.fault.kind is ErrorKind.ENDPOINT_TIMEOUT
    assert outcome.fault.ran is Ran.UNKNOWN
    assert abs(outcome.seconds - ORDER_SECONDS) < 0.1
    await asyncio.sleep(ORDER_SECONDS * 9 + 1)
    again = await place(fleet, "vm-1", cost=ORDER_SECONDS * 10)
    assert again.is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_refused_order_may_be_placed_again(fleet):
    """No endpoint takes connections. The refusal says that nothing ran, and
    says so at once; the caller's next try runs.
    """
    for endpoint in fleet.endpoints.values():
        endpoint.faults.refuse = True
    outcome = await place(fleet, "vm-0")
    assert outcome.fault.ran is Ran.NO
    assert outcome.seconds < ORDER_SECONDS / 2
    for endpoint in fleet.endpoints.values():
        endpoint.faults.refuse = False
    await asyncio.sleep(5)
    assert (await place(fleet, "vm-1")).is_correct


async def test_operator_settles_an_unknown_order(fleet):
    """An operator sees an order whose router was killed. While its attempt
    might still send it, it can't be settled; later it can, and the key is
    free.
    """
    await killed_after(fleet, 0.5)

    async def settle():
        now = asyncio.get_running_loop().time()
        return await settle_order(
            fleet.tables, "amber", "o", Settlement.NOT_RUN, "operator", now
        )

    assert (await settle()).error is SettleError.TOO_EARLY
    await asyncio.sleep(ORDER_SECONDS + 70)
    assert (await settle()).ok.ran is Ran.NO
    assert (await settle()).error is SettleError.NOT_OPEN
    await asyncio.sleep(2)
    assert (await place(fleet, "vm-1", cost=1.0)).is_correct


async def test_unknown_orders_are_listed(fleet):
    """An operator asks which orders are open, without reading the journal."""
    for endpoint in fleet.endpoints.values():
        endpoint.faults.break_after = 0
    await place(fleet, "vm-0", "lost")
    await asyncio.sleep(1)
    for endpoint in fleet.endpoints.values():
        endpoint.faults.break_after = -1
    await place(fleet, "vm-0", "done")
    page = (await list_orders(fleet.tables, "amber", OrderState.UNKNOWN)).ok
    assert [order.key for order in page.orders] == ["lost"]
    everything = (await list_orders(fleet.tables, None, None, 1)).ok
    assert len(everything.orders) == 1 and everything.after


async def test_order_that_is_refused_early_is_marked(fleet):
    """A router that is leaving refuses an order at its door. It says that
    nothing ran only after it looked into the journal: here an earlier attempt
    elsewhere ran it, and the caller gets that answer.
    """
    await place(fleet, "vm-0")
    node = fleet.nodes["vm-1"]
    request = fleet._make(node, "amber", "ledger", "order", "o", 0.1, "o", 0)
    ran = await node.orders.refuse(request, Fault(ErrorKind.LEAVING))
    assert ran.error.ran is Ran.YES
    sink = MemorySink()
    told = await node.orders.refuse(request, Fault(ErrorKind.LEAVING), sink)
    assert told.is_ok() and sink.complete
    other = fleet._make(node, "amber", "ledger", "order", "p", 0.1, "p", 0)
    new = await node.orders.refuse(other, Fault(ErrorKind.LEAVING))
    assert new.error.ran is Ran.NO

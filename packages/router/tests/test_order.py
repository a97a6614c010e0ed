"""Tests of orders during failures, on a virtual fleet."""

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


async def place_order(fleet, vm, name="o", cost=0.1, key=None):
    return await fleet.call(
        vm, "amber", "ledger", "order", name, cost, name if key is None else key
    )


async def test_repeated_order_gets_the_stored_response(fleet):
    """A caller loses its connection after the order ran and retries on another
    router with the same key. It gets the first response; the order ran once.
    """
    first = await place_order(fleet, "vm-0")
    retry = await place_order(fleet, "vm-2")
    assert first.is_correct and retry.is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_order_without_a_key_is_refused(fleet):
    """A caller sends an order without a key. A retry could not be told from a
    second order, so the router does not send it.
    """
    outcome = await place_order(fleet, "vm-0", key="")
    assert (outcome.fault.kind, outcome.fault.ran) == (ErrorKind.KEY_REQUIRED, Ran.NO)


async def test_key_used_for_another_request_is_refused(fleet):
    """A caller uses one key for two orders. The second order must not get the
    response to the first as if it had run.
    """
    await place_order(fleet, "vm-0", "first", key="k")
    outcome = await place_order(fleet, "vm-1", "second", key="k")
    assert outcome.fault.kind is ErrorKind.KEY_MISMATCH
    assert runs_by_name(fleet) == {"first": 1}


async def test_dropped_connection_leaves_the_order_unknown(fleet):
    """The endpoint runs the order and drops the connection before the response
    head. The caller gets an unknown outcome, also when it retries, and the order
    is not sent again.
    """
    for endpoint in fleet.endpoints.values():
        endpoint.faults.drop_after_run = 10
        endpoint.faults.break_after = 0
    first = await place_order(fleet, "vm-0")
    retry = await place_order(fleet, "vm-1")
    assert (first.fault.kind, first.fault.ran) == (
        ErrorKind.ENDPOINT_FAILED,
        Ran.UNKNOWN,
    )
    assert retry.fault.ran is Ran.UNKNOWN
    assert runs_by_name(fleet) == {"o": 1}


async def test_duplicates_on_three_routers_run_once(fleet):
    """A caller sends one order to three routers at once. All three return the
    response of a single run.
    """
    outcomes = await asyncio.gather(
        *(place_order(fleet, vm, cost=1.0) for vm in ("vm-0", "vm-1", "vm-2"))
    )
    assert all(outcome.is_correct for outcome in outcomes)
    assert runs_by_name(fleet) == {"o": 1}


def state_of(fleet, key="o"):
    row = fleet.tables.peek(ORDERS_TABLE, order_row("amber", key))
    return decode_record(row.value).state


async def test_lost_store_responses_do_not_affect_the_caller(fleet):
    """The store writes the claim and the outcome, and both responses are lost.
    The router reads the row again, and the caller gets its response.
    """
    fleet.tables.faults.lose_answers = 2
    outcome = await place_order(fleet, "vm-0")
    assert outcome.is_correct
    await asyncio.sleep(1)
    assert state_of(fleet) is OrderState.FINISHED
    assert runs_by_name(fleet) == {"o": 1}


async def test_delayed_claim_is_released(fleet):
    """The store's response to a claim is lost, the row is still absent, and the
    caller disconnects. The claim takes effect 5 s later; it must not occupy the key.
    """
    fleet.tables.faults.lose_answers = 1
    fleet.tables.faults.late_writes = 5.0
    call = asyncio.ensure_future(place_order(fleet, "vm-0"))
    await asyncio.sleep(0.01)
    call.cancel()
    await asyncio.sleep(10)
    assert state_of(fleet) is OrderState.RELEASED
    retry = await place_order(fleet, "vm-1")
    assert retry.is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_order_is_held_while_the_store_is_down(fleet):
    """The store is down for 10 s. The order waits, and lookups are still served."""
    fleet.tables.faults.down = True
    call = asyncio.ensure_future(place_order(fleet, "vm-0"))
    lookup = await fleet.call("vm-0", "amber", "ledger", "read", "r", 0.1)
    assert lookup.is_correct and lookup.seconds < 1
    await asyncio.sleep(10)
    assert runs_by_name(fleet)["o"] == 0
    fleet.tables.faults.down = False
    assert (await call).is_correct


async def test_no_slot_is_held_while_the_store_is_down(fleet):
    """The store is down and many orders arrive. None of them may occupy a slot
    that lookups could use, and none may retry the store after its refusal.
    """
    fleet.tables.faults.down = True
    orders = [asyncio.ensure_future(place_order(fleet, "vm-0", "first"))]
    await asyncio.sleep(1)
    orders += [
        asyncio.ensure_future(place_order(fleet, "vm-0", f"o{i}")) for i in range(40)
    ]
    await asyncio.sleep(0.1)
    assert fleet.nodes["vm-0"].ingress.running == 0
    outcomes = await asyncio.gather(*orders)
    assert all(outcome.fault.ran is Ran.UNKNOWN for outcome in outcomes)
    assert fleet.nodes["vm-0"].orders.pending == 0


async def test_order_is_unknown_if_the_store_stays_down(fleet):
    """The store is down past the deadline. An earlier attempt on another router
    may have run, so the outcome is unknown. The key is free once the store is back.
    """
    fleet.tables.faults.down = True
    outcome = await place_order(fleet, "vm-0")
    assert outcome.fault.kind is ErrorKind.JOURNAL_UNAVAILABLE
    assert outcome.fault.ran is Ran.UNKNOWN
    assert ORDER_SECONDS - 2 < outcome.seconds <= ORDER_SECONDS
    fleet.tables.faults.down = False
    await asyncio.sleep(5)
    assert (await place_order(fleet, "vm-1")).is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_retry_on_another_router_while_the_store_is_down(fleet):
    """An order runs on one router, and the store goes down before the outcome
    is recorded. The caller loses its connection and retries on another router.
    It must not be told that nothing ran; it gets the response once the store is back.
    """
    call = asyncio.ensure_future(place_order(fleet, "vm-0", cost=1.0))
    await asyncio.sleep(0.5)
    fleet.tables.faults.down = True
    call.cancel()
    retry = await place_order(fleet, "vm-1", cost=1.0)
    assert retry.fault.ran is Ran.UNKNOWN
    fleet.tables.faults.down = False
    await asyncio.sleep(5)
    assert (await place_order(fleet, "vm-2", cost=1.0)).is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_router_paused_between_claim_and_send(fleet):
    """A router is paused for a minute after its claim is written. Meanwhile the
    caller retries on another router and the deadline passes. The router must not
    send the order when it resumes; the key becomes free.
    """
    call = asyncio.ensure_future(place_order(fleet, "vm-0"))
    while not fleet.tables.peek(ORDERS_TABLE, order_row("amber", "o")):
        await asyncio.sleep(0.0001)
    fleet.network.pause("vm-0")
    retry = await place_order(fleet, "vm-1")
    assert retry.fault.ran is Ran.UNKNOWN
    assert runs_by_name(fleet)["o"] == 0
    await asyncio.sleep(60)
    fleet.network.resume("vm-0")
    late = await call
    assert late.fault.ran is Ran.UNKNOWN
    await asyncio.sleep(5)
    assert (await place_order(fleet, "vm-2")).is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def kill_router_after(fleet, seconds):
    call = asyncio.ensure_future(place_order(fleet, "vm-0", cost=1.0))
    await asyncio.sleep(seconds)
    await fleet.kill("vm-0")
    try:
        await call
    except ConnectionError:
        return
    raise AssertionError("the call outlived its router")


async def test_router_killed_before_the_claim(fleet):
    """A router is killed before its claim is written. The retry on another
    router runs the order.
    """
    fleet.tables.faults.delay = 1.0
    await kill_router_after(fleet, 0.5)
    fleet.tables.faults.delay = 0.0
    assert (await place_order(fleet, "vm-1", cost=1.0)).is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_router_killed_during_the_order(fleet):
    """A router is killed while the endpoint runs an order. The outcome is unknown,
    and a retry must report that instead of running the order again.
    """
    await kill_router_after(fleet, 0.5)
    retry = await place_order(fleet, "vm-1", cost=1.0)
    assert retry.fault.ran is Ran.UNKNOWN
    await asyncio.sleep(30)
    second_retry = await place_order(fleet, "vm-2", cost=1.0)
    assert second_retry.fault.kind is ErrorKind.ORDER_UNKNOWN
    assert second_retry.seconds < 1
    assert runs_by_name(fleet) == {"o": 1}


async def test_network_partition_during_an_order(fleet):
    """The network between router and endpoint fails while the order runs. The
    endpoint completes the order, and the response is lost.
    """
    call = asyncio.ensure_future(place_order(fleet, "vm-0", cost=2.0))
    await asyncio.sleep(0.5)
    fleet.network.cut({"vm-0"}, set(fleet.endpoints))
    outcome = await call
    assert outcome.sink.aborted or outcome.fault.ran is Ran.UNKNOWN
    retry = await place_order(fleet, "vm-1", cost=2.0)
    assert retry.fault.ran is Ran.UNKNOWN
    assert runs_by_name(fleet) == {"o": 1}


async def test_order_continues_after_its_caller_disconnects(fleet):
    """A caller disconnects while its order runs, and retries later. It gets the
    response of the single run.
    """
    call = asyncio.ensure_future(place_order(fleet, "vm-0", cost=2.0))
    await asyncio.sleep(1)
    call.cancel()
    retry = await place_order(fleet, "vm-1", cost=2.0)
    assert retry.is_correct and retry.seconds > 0.5
    assert runs_by_name(fleet) == {"o": 1}


async def test_order_at_a_slow_endpoint_is_unknown_at_the_deadline(fleet):
    """An endpoint needs longer than the deadline. The caller gets an unknown
    outcome at the deadline, and the response on a later retry.
    """
    outcome = await place_order(fleet, "vm-0", cost=ORDER_SECONDS * 10)
    assert outcome.fault.kind is ErrorKind.ENDPOINT_TIMEOUT
    assert outcome.fault.ran is Ran.UNKNOWN
    assert abs(outcome.seconds - ORDER_SECONDS) < 0.1
    await asyncio.sleep(ORDER_SECONDS * 9 + 1)
    retry = await place_order(fleet, "vm-1", cost=ORDER_SECONDS * 10)
    assert retry.is_correct
    assert runs_by_name(fleet) == {"o": 1}


async def test_refused_order_may_be_placed_again(fleet):
    """No endpoint accepts connections. The refusal states that nothing ran and
    comes well before the deadline; the caller's retry runs the order.
    """
    for endpoint in fleet.endpoints.values():
        endpoint.faults.refuse = True
    outcome = await place_order(fleet, "vm-0")
    assert outcome.fault.ran is Ran.NO
    assert outcome.seconds < ORDER_SECONDS / 2
    for endpoint in fleet.endpoints.values():
        endpoint.faults.refuse = False
    await asyncio.sleep(5)
    assert (await place_order(fleet, "vm-1")).is_correct


async def test_operator_settles_an_unknown_order(fleet):
    """The router of an order is killed. An operator can't settle the order while
    its attempt might still send it, but can do so later; the key is then free.
    """
    await kill_router_after(fleet, 0.5)

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
    assert (await place_order(fleet, "vm-1", cost=1.0)).is_correct


async def test_unknown_orders_are_listed(fleet):
    """An operator lists the unknown orders from their index, page by page."""
    for endpoint in fleet.endpoints.values():
        endpoint.faults.break_after = 0
    await place_order(fleet, "vm-0", "lost")
    await asyncio.sleep(1)
    for endpoint in fleet.endpoints.values():
        endpoint.faults.break_after = -1
    await place_order(fleet, "vm-0", "done")
    page = (await list_orders(fleet.tables, "amber", OrderState.UNKNOWN)).ok
    assert [order.key for order in page.orders] == ["lost"]
    everything = (await list_orders(fleet.tables, None, None, 1)).ok
    assert len(everything.orders) == 1 and everything.after


async def test_refusal_before_queueing_checks_the_journal(fleet):
    """A router that is shutting down refuses an order before it is queued. It must
    check the journal first: an earlier attempt on another router ran the order.
    """
    await place_order(fleet, "vm-0")
    node = fleet.nodes["vm-1"]
    request = fleet._make_request(node, "amber", "ledger", "order", "o", 0.1, "o", 0)
    ran = await node.orders.refuse(request, Fault(ErrorKind.LEAVING))
    assert ran.error.ran is Ran.YES
    sink = MemorySink()
    replayed = await node.orders.refuse(request, Fault(ErrorKind.LEAVING), sink)
    assert replayed.is_ok() and sink.complete
    other = fleet._make_request(node, "amber", "ledger", "order", "p", 0.1, "p", 0)
    new = await node.orders.refuse(other, Fault(ErrorKind.LEAVING))
    assert new.error.ran is Ran.NO

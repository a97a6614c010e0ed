"""Tests of the graceful shutdown."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

from teaselledge.errors import ErrorKind, Ran
from teaselledge.process.drain import DrainExit, Phase
from teaselledge_standins.virtual.fleet import (
    VirtualPlan,
    VirtualService,
    running_virtual_fleet,
)
from teaselledge_standins.virtual.network import NetworkPlan

VIRTUAL_CLOCK = True

KINDS = {
    "work": {"methods": ["POST"], "paths": ["work"], "deadline": 300},
    "order": {
        "methods": ["POST"],
        "paths": ["order"],
        "repeatable": False,
        "deadline": 300,
    },
}
PLAN = VirtualPlan(
    NetworkPlan({"a": "r", "b": "r"}),
    {"v1": "a", "v2": "b", "v3": "a"},
    {"org": 1.0},
    {"s": VirtualService("seconds", ["a"], slots=2, kinds=KINDS)},
)


@asynccontextmanager
async def three():
    async with running_virtual_fleet(PLAN) as fleet:
        yield fleet


def call(fleet, vm, name, cost, kind="work", key=None):
    calling = fleet.call(vm, "org", "s", kind, name, cost, key)
    return asyncio.create_task(calling)


async def test_drain_while_streams_run_and_the_queue_is_full(three):
    """A router is told to leave while it relays streams and other requests wait
    behind them. The streams must end whole; who waits gets a true refusal with
    another address, at once and not at its deadline.
    """
    ingress = three.nodes["v1"].ingress
    calls = [call(three, "v1", f"r{i}", 60.0) for i in range(12)]
    await asyncio.sleep(1.0)
    running = ingress.running
    assert running >= 2 and ingress.waiting >= 5
    drain = three.nodes["v1"].drain
    drain.start()
    ended = asyncio.create_task(drain.wait())
    await asyncio.sleep(8.0)
    assert not any(task.done() for task in calls)
    await asyncio.sleep(2.5)
    refused = [task.result() for task in calls if task.done()]
    assert len(refused) >= 5
    for outcome in refused:
        assert (outcome.fault.kind, outcome.fault.ran) == (ErrorKind.LEAVING, Ran.NO)
        assert "v2:2" in outcome.fault.detail or "v3:2" in outcome.fault.detail
    late = await call(three, "v1", "late", 1.0)
    assert late.fault.kind is ErrorKind.LEAVING
    assert drain.phase is Phase.REFUSING
    outcomes = [await task for task in calls]
    assert sum(outcome.is_correct for outcome in outcomes) == 12 - len(refused)
    assert await ended is DrainExit.WHOLE
    # "not run" is true: nothing of what was refused reached the endpoint
    ran = {run.name for e in three.endpoints.values() for run in e.runs}
    assert len(ran) == 12 - len(refused)


async def test_callers_with_old_addresses_are_served_while_those_hold(three):
    """A caller asked for addresses just before the router was told to leave and
    connects afterwards. It must not be refused while its answer holds.
    """
    drain = three.nodes["v1"].drain
    drain.start()
    ended = asyncio.create_task(drain.wait())
    for _ in range(9):
        assert (await call(three, "v1", "x", 0.1)).is_correct
        await asyncio.sleep(0.9)
    await ended


async def test_leaving_router_is_in_no_address_list(three):
    three.nodes["v1"].drain.start()
    await asyncio.sleep(0.5)
    for node in three.nodes.values():
        listed = node.addresses.resolve().as_json()["addresses"]
        assert [a["address"] for a in listed if a["address"] == "v1:2"] == []
        assert len(listed) == 2


async def test_second_signal_ends_it(three):
    """An operator loses patience and sends the signal again while a long request
    runs. The process must end and say that it cut something.
    """
    running = call(three, "v1", "r", 100.0)
    await asyncio.sleep(1.0)
    drain = three.nodes["v1"].drain
    drain.signal()
    ended = asyncio.create_task(drain.wait())
    await asyncio.sleep(15.0)
    assert not ended.done()
    drain.signal()
    await asyncio.sleep(0.1)
    assert ended.result() is DrainExit.SECOND_SIGNAL
    running.cancel()


async def test_deadline_of_the_settings_ends_it(three):
    """An order never ends, because its endpoint hangs. The platform takes the VM
    away anyway; the process must end before that and say that it cut something.
    """
    three.endpoints["s-0"].faults.slow = 1e6
    running = call(three, "v1", "o", 1.0, "order", "k1")
    await asyncio.sleep(1.0)
    drain = three.nodes["v1"].drain
    drain._drain_seconds = 30.0
    drain.start()
    async with asyncio.timeout(31.0):
        assert await drain.wait() is DrainExit.DEADLINE
    running.cancel()


async def test_order_refused_while_leaving_is_no_false_no(three):
    """An order ran on one router and its answer was lost on the way. The caller
    asks again at a router that leaves, while the journal can't be reached. A
    refusal that says "not run" would make the caller send it under a new key.
    """
    first = await call(three, "v2", "o", 0.1, "order", "k1")
    assert first.is_correct
    drain = three.nodes["v1"].drain
    drain.start()
    ended = asyncio.create_task(drain.wait())
    running = call(three, "v1", "r", 40.0)
    await asyncio.sleep(12.0)
    three.tables.faults.down = True
    again = call(three, "v1", "o", 0.1, "order", "k1")
    outcome = await again
    assert outcome.fault is not None
    assert outcome.fault.ran is not Ran.NO
    three.tables.faults.down = False
    await running
    await ended


async def test_dispatcher_on_the_leaving_router_hands_over(three):
    """The leaving router dispatches for the shard, so every other router's requests
    wait there. The others choose another dispatcher and nobody waits longer.
    """
    before = [call(three, vm, f"b{vm}", 20.0) for vm in ("v2", "v3")]
    await asyncio.sleep(0.5)
    waiting = [call(three, vm, f"w{vm}", 1.0) for vm in ("v2", "v3")]
    await asyncio.sleep(0.5)
    for vm in ("v1", "v3"):
        # one of the two dispatches for zone a
        drain = three.nodes[vm].drain
        drain.start()
    outcomes = [await task for task in (*before, *waiting)]
    assert all(outcome.is_correct for outcome in outcomes)
    await three.kill("v1")
    assert (await call(three, "v2", "after", 1.0)).is_correct


async def test_address_answers_spread_the_callers(three):
    """A fixed order would send every caller of a zone to the same router."""
    book = three.nodes["v1"].addresses
    firsts = [book.resolve("a").members[0].vm for _ in range(200)]
    assert set(firsts) == {"v1", "v3"}
    assert 60 < firsts.count("v1") < 140
    # a caller of the other zone gets its own zone's router first
    assert {book.resolve("b").members[0].vm for _ in range(20)} == {"v2"}
    assert {book.resolve("nowhere").members[0].vm for _ in range(50)} == {"v1", "v3"}


async def test_loaded_router_is_named_first_less_often(three):
    node = three.nodes["v1"]
    busy = [
        replace(m, load=9.0 if m.vm == "v3" else 0.0) for m in node.membership.live()
    ]
    node.addresses._members = lambda: busy
    firsts = [node.addresses.resolve("a").members[0].vm for _ in range(200)]
    assert firsts.count("v3") < 50

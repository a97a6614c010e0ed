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
async def fleet_of_3():
    async with running_virtual_fleet(PLAN) as fleet:
        yield fleet


def call(fleet, vm, name, cost, kind="work", key=None):
    calling = fleet.call(vm, "org", "s", kind, name, cost, key)
    return asyncio.create_task(calling)


async def test_drain_while_streams_run_and_the_queue_is_full(fleet_of_3):
    """A router is drained while it serves streams and other requests wait for a
    slot. The streams must be complete; waiting requests must be refused as not run,
    with another router's address, and before their deadlines.
    """
    ingress = fleet_of_3.nodes["v1"].ingress
    calls = [call(fleet_of_3, "v1", f"r{i}", 60.0) for i in range(12)]
    await asyncio.sleep(1.0)
    running = ingress.running
    assert running >= 2 and ingress.waiting >= 5
    drain = fleet_of_3.nodes["v1"].drain
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
    late = await call(fleet_of_3, "v1", "late", 1.0)
    assert late.fault.kind is ErrorKind.LEAVING
    assert drain.phase is Phase.REFUSING
    outcomes = [await task for task in calls]
    assert sum(outcome.is_correct for outcome in outcomes) == 12 - len(refused)
    assert await ended is DrainExit.WHOLE
    # no refused request has reached the endpoint
    ran = {run.name for e in fleet_of_3.endpoints.values() for run in e.runs}
    assert len(ran) == 12 - len(refused)


async def test_callers_with_old_address_lists_are_served_while_those_are_valid(
    fleet_of_3,
):
    """A caller gets an address list just before the router is drained and connects
    afterwards. It must not be refused while that list is valid.
    """
    drain = fleet_of_3.nodes["v1"].drain
    drain.start()
    ended = asyncio.create_task(drain.wait())
    for _ in range(9):
        assert (await call(fleet_of_3, "v1", "x", 0.1)).is_correct
        await asyncio.sleep(0.9)
    await ended


async def test_leaving_router_is_in_no_address_list(fleet_of_3):
    fleet_of_3.nodes["v1"].drain.start()
    await asyncio.sleep(0.5)
    for node in fleet_of_3.nodes.values():
        listed = node.addresses.resolve().as_json()["addresses"]
        assert [a["address"] for a in listed if a["address"] == "v1:2"] == []
        assert len(listed) == 2


async def test_second_signal_ends_the_shutdown(fleet_of_3):
    """An operator sends the signal a second time while a long request runs. The
    process must end with the exit code for cut requests.
    """
    running = call(fleet_of_3, "v1", "r", 100.0)
    await asyncio.sleep(1.0)
    drain = fleet_of_3.nodes["v1"].drain
    drain.signal()
    ended = asyncio.create_task(drain.wait())
    await asyncio.sleep(15.0)
    assert not ended.done()
    drain.signal()
    await asyncio.sleep(0.1)
    assert ended.result() is DrainExit.SECOND_SIGNAL
    running.cancel()


async def test_drain_timeout_ends_the_shutdown(fleet_of_3):
    """An order never ends because its endpoint hangs. The process must end before
    the platform removes the VM, with the exit code for cut requests.
    """
    fleet_of_3.endpoints["s-0"].faults.slow = 1e6
    running = call(fleet_of_3, "v1", "o", 1.0, "order", "k1")
    await asyncio.sleep(1.0)
    drain = fleet_of_3.nodes["v1"].drain
    drain._drain_seconds = 30.0
    drain.start()
    async with asyncio.timeout(31.0):
        assert await drain.wait() is DrainExit.DEADLINE
    running.cancel()


async def test_order_refused_while_leaving_is_not_reported_as_not_run(fleet_of_3):
    """An order has run on one router and its response was lost. The caller retries
    at a router that is draining, while the journal can't be reached. If that refusal
    said "not run", the caller would send the order again under a new key.
    """
    first = await call(fleet_of_3, "v2", "o", 0.1, "order", "k1")
    assert first.is_correct
    drain = fleet_of_3.nodes["v1"].drain
    drain.start()
    ended = asyncio.create_task(drain.wait())
    running = call(fleet_of_3, "v1", "r", 40.0)
    await asyncio.sleep(12.0)
    fleet_of_3.tables.faults.down = True
    retry = call(fleet_of_3, "v1", "o", 0.1, "order", "k1")
    outcome = await retry
    assert outcome.fault is not None
    assert outcome.fault.ran is not Ran.NO
    fleet_of_3.tables.faults.down = False
    await running
    await ended


async def test_requests_move_from_the_dispatcher_on_a_leaving_router(fleet_of_3):
    """The leaving router is the shard's dispatcher, so the other routers' requests
    wait there. They must move to another dispatcher without failing.
    """
    before = [call(fleet_of_3, vm, f"b{vm}", 20.0) for vm in ("v2", "v3")]
    await asyncio.sleep(0.5)
    waiting = [call(fleet_of_3, vm, f"w{vm}", 1.0) for vm in ("v2", "v3")]
    await asyncio.sleep(0.5)
    for vm in ("v1", "v3"):
        # one of the two is the dispatcher of zone a
        drain = fleet_of_3.nodes[vm].drain
        drain.start()
    outcomes = [await task for task in (*before, *waiting)]
    assert all(outcome.is_correct for outcome in outcomes)
    await fleet_of_3.kill("v1")
    assert (await call(fleet_of_3, "v2", "after", 1.0)).is_correct


async def test_address_lists_spread_the_callers(fleet_of_3):
    """With a fixed order every caller of a zone would use the same router."""
    resolver = fleet_of_3.nodes["v1"].addresses
    firsts = [resolver.resolve("a").members[0].vm for _ in range(200)]
    assert set(firsts) == {"v1", "v3"}
    assert 60 < firsts.count("v1") < 140
    # a caller of the other zone gets its own zone's router first
    assert {resolver.resolve("b").members[0].vm for _ in range(20)} == {"v2"}
    assert {resolver.resolve("nowhere").members[0].vm for _ in range(50)} == {
        "v1",
        "v3",
    }


async def test_loaded_router_is_listed_first_less_often(fleet_of_3):
    node = fleet_of_3.nodes["v1"]
    busy = [
        replace(m, load=9.0 if m.vm == "v3" else 0.0) for m in node.membership.live()
    ]
    node.addresses._members = lambda: busy
    firsts = [node.addresses.resolve("a").members[0].vm for _ in range(200)]
    assert firsts.count("v3") < 50

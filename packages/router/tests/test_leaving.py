"""Tests of the fleet with endpoints that refuse connections, load or leave."""

import asyncio

from teaselledge.errors import ErrorKind
from teaselledge.process.endpointstatus import EndpointStatus
from teaselledge_standins.virtual.fleet import (
    VirtualPlan,
    VirtualService,
    running_virtual_fleet,
)
from teaselledge_standins.virtual.network import NetworkPlan

VIRTUAL_CLOCK = True

PLAN = VirtualPlan(
    NetworkPlan({"a": "r", "b": "r"}),
    {"v1": "a", "v2": "b"},
    {"org": 1.0},
    {"s": VirtualService("seconds", ["a", "a"], slots=2)},
)


async def test_endpoint_that_refused_one_router_gets_no_new_work():
    """An endpoint's process ends. The first router whose connection is refused must
    report it, or every other router sends a request there to detect it.
    """
    async with running_virtual_fleet(PLAN) as fleet:
        fleet.endpoints["s-0"].faults.refuse = True
        for i in range(4):
            assert (await fleet.call("v1", "org", "s", "work", f"x{i}", 0.1)).is_correct
        await asyncio.sleep(1.0)
        blocked = [n.membership.blocked_endpoints() for n in fleet.nodes.values()]
        assert blocked == [{("s", "s-0"): EndpointStatus.REFUSED}] * 2


async def test_requests_wait_while_models_load_until_their_deadlines():
    """All engines of a service load a model. Requests wait until the first engine
    is ready; a request whose deadline is earlier is refused at its deadline.
    """
    async with running_virtual_fleet(PLAN) as fleet:
        member = fleet.nodes["v2"].membership

        def report_status(status):
            for endpoint in ("s-0", "s-1"):
                member.report_endpoint("s", endpoint, status)

        report_status(EndpointStatus.LOADING)
        await asyncio.sleep(1.0)
        call = fleet.call("v1", "org", "s", "work", "x", 0.1)
        waiting = asyncio.create_task(call)
        for _ in range(6):
            await asyncio.sleep(2.0)
            report_status(EndpointStatus.LOADING)
        assert not waiting.done()
        report_status(EndpointStatus.BACK)
        outcome = await waiting
        assert outcome.is_correct and 12.0 <= outcome.seconds < 15.0
        for _ in range(40):
            report_status(EndpointStatus.LOADING)
            await asyncio.sleep(2.0)
            if not waiting.done():
                continue
            if waiting is not None and waiting.result().fault:
                break
            call = fleet.call("v1", "org", "s", "work", "y", 0.1)
            waiting = asyncio.create_task(call)
        outcome = await waiting
        assert outcome.fault.kind is ErrorKind.QUEUE_TIMEOUT


async def test_leaving_endpoint_gets_no_new_work_after_three_seconds():
    """An endpoint announces that it is leaving in a response to one router and
    continues to serve. Requests sent to it later are lost when it ends.
    """
    async with running_virtual_fleet(PLAN) as fleet:
        loop = asyncio.get_running_loop()
        fleet.nodes["v1"].membership.report_endpoint("s", "s-0", EndpointStatus.LEAVING)
        reported_at = loop.time()
        for i in range(40):
            vm = f"v{1 + i % 2}"
            assert (await fleet.call(vm, "org", "s", "work", f"x{i}", 0.2)).is_correct
        started = [run.started for run in fleet.endpoints["s-0"].runs]
        assert all(start < reported_at + 3.0 for start in started)
        assert len(fleet.endpoints["s-1"].runs) + len(started) == 40

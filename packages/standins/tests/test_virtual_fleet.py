"""Tests of the fleet under a virtual clock."""

import asyncio
from contextlib import asynccontextmanager

import looptime
from teaselledge_standins.virtual.fleet import running_virtual_fleet
from teaselledge_standins.virtual.plans import get_plan_by_name

VIRTUAL_CLOCK = True


@asynccontextmanager
async def cellarwright():
    async with running_virtual_fleet(get_plan_by_name("cellarwright")) as fleet:
        yield fleet


async def test_every_router_answers(cellarwright):
    calls = [
        cellarwright.call(vm, "org-01", "sommelier-models", "summary", f"s-{vm}", 100)
        for vm in cellarwright.nodes
    ]
    outcomes = await asyncio.gather(*calls)
    assert all(outcome.is_correct for outcome in outcomes)


def test_a_run_is_the_same_each_time():
    # each run has a loop of its own: a seed names a run that starts at time
    # zero, and at another time the clock's rounding orders messages otherwise
    async def sent():
        plan = get_plan_by_name("sudski-trag")
        async with running_virtual_fleet(plan, seed=3) as fleet:
            await fleet.call("vm-2", "org-02", "registar", "read", "r", 0.1)
            network = fleet.network
            return dict(network.sent_bytes), dict(network.sent_frames)

    def run():
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            return runner.run(sent())

    assert run() == run()

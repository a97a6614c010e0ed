"""Tests of the fleet on a virtual clock."""

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


async def test_every_router_responds(cellarwright):
    calls = [
        cellarwright.call(vm, "org-01", "sommelier-models", "summary", f"s-{vm}", 100)
        for vm in cellarwright.nodes
    ]
    results = await asyncio.gather(*calls)
    assert all(result.is_correct for result in results)


def test_runs_are_reproducible():
    # Each run has a new loop, since a run is reproducible only from time zero: at
    # other times the rounding of the clock changes the order of messages.
    async def count_sent():
        plan = get_plan_by_name("sudski-trag")
        async with running_virtual_fleet(plan, seed=3) as fleet:
            await fleet.call("vm-2", "org-02", "registar", "read", "r", 0.1)
            network = fleet.network
            return dict(network.sent_bytes), dict(network.sent_frames)

    def run():
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            return runner.run(count_sent())

    assert run() == run()

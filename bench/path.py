"""Control traffic of an idle fleet, under a virtual clock."""

import asyncio
from collections.abc import Iterator

import looptime
from teaselledge_standins.virtual.fleet import running_virtual_fleet
from teaselledge_standins.virtual.plans import PLANS, get_plan_by_name

from bench.case import Bound, Case

__all__ = ["run"]

IDLE_SECONDS = 60.0


async def idle_traffic(name: str, seed: int) -> Case:
    """Measure the control traffic per router of a fleet without requests."""
    plan = get_plan_by_name(name)
    async with running_virtual_fleet(plan, seed) as fleet:
        before = sum(fleet.network.sent_bytes.values())
        await asyncio.sleep(IDLE_SECONDS)
        sent = sum(fleet.network.sent_bytes.values()) - before
    per_node = sent / IDLE_SECONDS / len(plan.routers)
    figures = {"control_bytes_per_node_per_s": per_node}
    bounds = {"control_bytes_per_node_per_s": Bound(at_most=7000)}
    return Case(f"idle-{name}", seed, figures, bounds)


def run(quick: bool) -> Iterator[Case]:
    """Run the cases."""
    for name in PLANS:
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            yield runner.run(idle_traffic(name, 1))

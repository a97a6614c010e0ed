"""Tests of routers that start and hear of no other one."""

import asyncio

from teaselledge_fleet.process.budget import RetryBudget, RetryLimits
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import running_routers
from teaselledge_standins.routes import make_route, make_routing

ROUTERS = 3


async def test_an_isolated_router_uses_its_part_of_the_retries_only():
    """It took itself for the only router, and used the base retries of them all."""
    routing = make_routing(make_route(RetryPolicy.ANY))
    async with running_routers(ROUTERS, routing, []) as routers:
        for router in routers[1:]:
            await router.router.close()
        await routers[0].restart()
        await asyncio.sleep(0.5)
        assert routers[0].router._budget.router_count == ROUTERS


async def test_base_retries_are_divided_by_the_routers_known_at_the_start():
    limits = RetryLimits(ratio=0.0, base_retries=30.0, safety_factor=1.0)
    started = asyncio.get_running_loop().time() - limits.window
    budget = RetryBudget(limits, started, ROUTERS)
    budget.update_router_count(1)
    granted = sum(budget.try_acquire("books") for _ in range(40))
    assert granted == limits.base_retries / ROUTERS

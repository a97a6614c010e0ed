"""Tests of a router whose VM was suspended and resumes."""

import asyncio
import time
from unittest import mock

from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import running_routers
from teaselledge_standins.routes import make_route, make_routing

SETTLED_SECONDS = 1.0
SUSPENDED_SECONDS = 8.0


async def test_routers_heard_before_a_suspension_count_as_silent_after_it():
    """The event loop's clock does not advance while the VM is suspended."""
    routing = make_routing(make_route(RetryPolicy.ANY))
    read_clock = time.clock_gettime
    async with running_routers(2, routing, []) as routers:
        await asyncio.sleep(SETTLED_SECONDS)
        members = routers[0].router._members
        assert [member.vm for member in members.alive] == ["r1"]
        with mock.patch.object(
            time, "clock_gettime", lambda clock: read_clock(clock) + SUSPENDED_SECONDS
        ):
            assert members.alive == []

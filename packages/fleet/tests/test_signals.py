"""Tests that routers do what endpoints ask for in their responses."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import pairwise

from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.request.headers import MAX_PAUSE_SECONDS, parse_pause_seconds
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import RunningRouter, running_routers
from teaselledge_standins.routes import make_route, make_routing, send_request
from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    response_bytes,
)
from tornado.httputil import HTTPHeaders

REQUESTS = 20
SLOW_SECONDS = 0.03
"""Time of responses from the endpoint that would get fewer requests, all else equal."""

PAUSE_SECONDS = 1.0


def respond(status: int = 200, delay: float = 0.0, **headers: str):
    """Return a script that responds with headers, `_` in their names read as `-`."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}

    async def script(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(delay)
        echoed = {"X-Request-Id": request.headers["x-request-id"], **fields}
        writer.write(response_bytes(status, echoed, b"fine"))

    return script


@asynccontextmanager
async def running_router(*engines: ScriptedEndpoint) -> AsyncIterator[RunningRouter]:
    """Run one router with endpoints e1, e2, ..."""
    endpoints = [
        Endpoint(f"e{number}", "books", engine.address, "north-a", 40)
        for number, engine in enumerate(engines, 1)
    ]
    routing = make_routing(make_route(RetryPolicy.ANY))
    async with running_routers(1, routing, endpoints) as routers:
        await asyncio.sleep(0.3)
        yield routers[0]


async def send_requests(router: RunningRouter, count: int = REQUESTS) -> list[int]:
    """Send requests one after another; return the statuses of the responses."""
    statuses = []
    for number in range(count):
        headers = {"X-Request-Id": f"q{number}"}
        statuses.append((await send_request(router.port, headers=headers)).status)
    return statuses


async def test_no_request_goes_to_an_endpoint_that_responded_that_it_leaves():
    """Its row in the store said so only 12 s later, as the store was away."""
    async with (
        ScriptedEndpoint(respond(X_Leaving="1")) as leaving,
        ScriptedEndpoint(respond(delay=SLOW_SECONDS)) as staying,
        running_router(leaving, staying) as router,
    ):
        statuses = await send_requests(router)
    assert statuses == [200] * REQUESTS
    assert len(leaving.received) <= 1, len(leaving.received)


async def test_an_endpoint_whose_address_another_one_has_does_not_attract_requests():
    """It declines at once and looks idle: nearly all requests of a router went there.

    Its row may stand for as long as the store is away.
    """
    decline = respond(421, X_Not_Run="1")
    async with (
        ScriptedEndpoint(decline) as gone,
        ScriptedEndpoint(respond(delay=SLOW_SECONDS)) as staying,
        running_router(gone, staying) as router,
    ):
        statuses = await send_requests(router)
    assert statuses == [200] * REQUESTS
    assert len(gone.received) <= 3, len(gone.received)


async def test_no_request_goes_to_an_endpoint_that_asked_for_a_pause():
    """It turned 33 more requests away in the 3 s for which it had asked for none."""
    decline = respond(503, X_Not_Run="1", Retry_After=str(PAUSE_SECONDS))
    loop, declined_at = asyncio.get_running_loop(), []

    async def script(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
        declined_at.append(loop.time())
        await decline(request, writer)

    async with (
        ScriptedEndpoint(script) as pausing,
        ScriptedEndpoint(respond(delay=SLOW_SECONDS)) as serving,
        running_router(pausing, serving) as router,
    ):
        statuses = await send_requests(router)
        assert statuses == [200] * REQUESTS
        pauses = [after - before for before, after in pairwise(declined_at)]
        assert min(pauses, default=PAUSE_SECONDS) >= PAUSE_SECONDS, pauses
        pausing.script = respond()
        await asyncio.sleep(PAUSE_SECONDS)
        await send_requests(router)
        assert len(pausing.received) > len(declined_at)


def test_the_pause_of_a_response_is_read_in_seconds():
    for value, seconds in (
        ("3", 3.0),
        ("0.25", 0.25),
        ("-1", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("1e9", MAX_PAUSE_SECONDS),
        ("Thu, 03 Dec 2026 18:00:00 GMT", 0.0),
    ):
        headers = HTTPHeaders({"Retry-After": value})
        assert parse_pause_seconds(503, headers) == seconds, value
        assert parse_pause_seconds(200, headers) == 0.0
    assert parse_pause_seconds(503, HTTPHeaders()) == 0.0

"""Tests of organisations whose callers connect to a router that another one floods."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

from teaselledge_fleet.connection.requesthead import bearer_key
from teaselledge_fleet.process.connectionlimit import ConnectionLimit
from teaselledge_fleet.process.connectionshares import ConnectionShares
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.version.routes import Organisation, RetryPolicy
from teaselledge_standins.fleetrouters import RunningRouter, running_routers
from teaselledge_standins.routes import (
    HOST,
    ClientResponse,
    make_route,
    make_routing,
    running_route,
    send_request,
)
from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    response_bytes,
)

ROUTE = make_route(RetryPolicy.ANY, public=False)
ROUTING = replace(
    make_routing(ROUTE),
    organisations=(Organisation("flood", ("kf",)), Organisation("small", ("ks",))),
)
SAMPLES = 16
"""Connections of which two are read for statistics and refused."""


async def echo(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(response_bytes(200, headers, b"fine"))


async def send(port: int, key: str) -> ClientResponse:
    return await send_request(port, headers={"Authorization": f"Bearer {key}"})


async def wait_until_served(port: int) -> None:
    async with asyncio.timeout(5):
        while (await send(port, "kf")).status != 200:
            await asyncio.sleep(0.05)


class FullLimit(ConnectionLimit):
    """Limit of a router that is full, and has some connections for entitled callers."""

    def __init__(self, allows_entitled: bool = True) -> None:
        super().__init__()
        self._allows_entitled = allows_entitled

    def allows(self, running: int) -> bool:
        """Return False: the router is full."""
        return False

    def allows_entitled(self, running: int) -> bool:
        """Return what was given."""
        return self._allows_entitled


@asynccontextmanager
async def full_router() -> AsyncIterator[RunningRouter]:
    """Run a router that has served one organisation only, and is full now."""
    async with ScriptedEndpoint(echo) as engine:
        endpoints = [Endpoint("e1", "books", engine.address, "north-a", 40)]
        async with running_routers(1, ROUTING, endpoints) as routers:
            await wait_until_served(routers[0].port)
            for _ in range(20):
                assert (await send(routers[0].port, "kf")).status == 200
            routers[0].router._connection_limit = FullLimit()
            yield routers[0]


async def count_served(router: RunningRouter, key: str) -> int:
    responses = [await send(router.port, key) for _ in range(SAMPLES)]
    return sum(response.status == 200 for response in responses)


async def test_a_full_router_serves_an_organisation_below_its_share():
    """It refused whoever came, unread, while another organisation flooded it."""
    async with full_router() as router:
        assert await count_served(router, "kf") == 0
        assert await count_served(router, "ks") >= SAMPLES / 2


async def test_an_organisation_gets_no_more_than_its_share_of_a_full_router():
    async with full_router() as router:
        served = sum([await count_served(router, "ks") for _ in range(4)])
        assert served <= 20


async def test_served_connections_do_not_count_in_samples_of_refused_ones():
    """Organisations that a full router serves would seem to request twice as much."""
    async with full_router() as router:
        acceptor = router.router._front.acceptor
        acceptor._sampled_at = math.inf
        before = acceptor._unsampled
        served = await count_served(router, "ks")
        assert acceptor._unsampled - before == SAMPLES - served < SAMPLES


async def test_unknown_callers_are_refused_by_a_full_router():
    async with full_router() as router:
        assert (await send(router.port, "other")).status == 503
        assert (await send_request(router.port)).status == 503


async def test_a_full_router_has_few_connections_beyond_its_limit():
    """Entitled callers alone could otherwise fill it again."""
    async with full_router() as router:
        router.router._connection_limit = FullLimit(allows_entitled=False)
        assert await count_served(router, "ks") == 0


async def test_no_connection_is_owed_by_a_router_whose_event_loop_is_blocked():
    """Its request would reach an engine after its caller has left."""
    async with full_router() as router:
        router.simulate_saturation()
        router.router._event_loop.recently_blocked = True
        assert await count_served(router, "ks") == 0


async def test_a_saturated_router_serves_what_it_owes():
    async with full_router() as router:
        router.simulate_saturation()
        assert await count_served(router, "ks") >= SAMPLES / 2


async def test_an_entitled_connection_stays_open_like_any_other():
    """The refusing side closes its connections a second after they were accepted."""
    async with (
        ScriptedEndpoint(echo) as engine,
        running_route(ROUTE, engine.address) as served,
    ):
        served.server.routing = ROUTING
        acceptor = served.front.acceptor
        acceptor.has_capacity = lambda: False
        acceptor.is_entitled = lambda key: key == "ks"
        acceptor.sampled = 1
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        request = (
            f"GET /r/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer ks\r\n\r\n"
        )
        for pause in (0.2, 1.3):
            await asyncio.sleep(pause)
            writer.write(request.encode())
            assert (await reader.readline()).split()[1] == b"200"
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(4)
        writer.close()
        assert acceptor.refused == 1


async def test_a_share_is_half_of_what_the_best_served_organisation_gets():
    shares = ConnectionShares()
    assert not shares.is_entitled("small")
    for _ in range(10):
        shares.record_served("flood")
    for served in range(5):
        assert shares.is_entitled("small"), served
        shares.record_served("small")
    assert not shares.is_entitled("small")
    assert not shares.is_entitled("flood")


async def test_requests_of_long_ago_do_not_count():
    """An organisation would be refused for what it got before the flood."""
    shares = ConnectionShares()
    for _ in range(10):
        shares.record_served("small")
    await asyncio.sleep(0.01)
    shares._began_at -= 60.0
    for _ in range(4):
        shares.record_served("flood")
    assert shares.is_entitled("small")


def test_the_key_is_found_in_the_head_only():
    head = (
        b"POST /r/1 HTTP/1.1\r\nHost: h\r\nAUTHORIZATION:  bearer  k1 \r\nA: b\r\n\r\n"
    )
    assert bearer_key(head) == "k1"
    assert bearer_key(head.replace(b"bearer", b"Basic")) is None
    assert (
        bearer_key(b"POST / HTTP/1.1\r\n\r\n\r\nAuthorization: Bearer k1\r\n") is None
    )
    assert bearer_key(b"POST / HTTP/1.1\r\nAuthorization: Bearer k1") is None
    assert bearer_key(b"") is None


async def test_an_organisation_served_all_along_is_not_counted_many_times():
    """The others would all count as owed connections, and it would never be."""
    shares = ConnectionShares()
    for _ in range(10):
        shares.record_served("small")
        shares.record_served("flood")
    shares._began_at -= 60.0
    shares.record_served("small")
    for _ in range(4):
        shares.record_served("flood")
    assert shares.is_entitled("small")
    assert not shares.is_entitled("flood")


async def test_a_router_serves_after_hours_without_requests():
    shares = ConnectionShares()
    shares.record_served("small")
    shares._began_at -= 86_400.0
    shares.record_served("small")
    assert not shares.is_entitled("small")
    assert shares.is_entitled("flood")

"""Tests of connections that one router passes on to another one."""

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass

from teaselledge_fleet.connection.relay import RelayPool, preface, read_preface
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.passingrate import OffloadLimiter
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import RunningRouter, running_routers
from teaselledge_standins.routes import HOST, ask, make_route, make_routing
from teaselledge_standins.scripted import Received, ScriptedEndpoint, answer_bytes

SETTLED_SECONDS = 1.5
EVENT = b"id: 1\ndata: x\n\n"
VERSION = 1
REFUSED = 20


async def echo(request: Received, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(answer_bytes(200, headers, EVENT))


async def hang(request: Received, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60)


async def tear(request: Received, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    whole = answer_bytes(200, headers, EVENT * 4)
    writer.write(whole[:-20])
    await writer.drain()
    writer.transport.abort()


@dataclass
class Pair:
    """A crowded router, its neighbour, and their endpoint."""

    crowded: RunningRouter
    neighbour: RunningRouter
    engine: ScriptedEndpoint


@asynccontextmanager
async def pair():
    async with ScriptedEndpoint(echo) as engine:
        endpoints = [Endpoint("e1", "books", engine.address, "north-a", 40)]
        routing = make_routing(make_route(RetryPolicy.NEVER, stream=True), VERSION)
        async with running_routers(2, routing, endpoints) as (crowded, neighbour):
            crowded.use_up()
            await asyncio.sleep(SETTLED_SECONDS)
            yield Pair(crowded, neighbour, engine)


def relays_of(running: RunningRouter) -> tuple[str, int]:
    host, _, port = running.router._members.own.relay_address.rpartition(":")
    return host, int(port)


async def test_answer_of_the_other_router_comes_back_and_ends_the_connection(pair):
    """The other router's configuration may fall behind before a second request."""
    answered = await ask(pair.crowded.port)
    assert (answered.status, answered.body) == (200, EVENT)
    assert answered.headers["connection"] == "close"
    assert pair.crowded.router._front.acceptor.relayed == 1


async def test_caller_that_leaves_ends_its_request_at_the_other_router(pair):
    """Otherwise an engine goes on working for nobody."""
    pair.engine.script = hang
    _, writer = await asyncio.open_connection("127.0.0.1", pair.crowded.port)
    writer.write(f"POST /r/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
    while not pair.engine.received:
        await asyncio.sleep(0.01)
    writer.close()
    await asyncio.wait_for(pair.engine.left.wait(), 1.0)
    while pair.crowded.router._front.running:
        await asyncio.sleep(0.01)


async def test_answer_that_breaks_off_does_not_look_whole(pair):
    pair.engine.script = tear
    answered = await ask(pair.crowded.port, "POST", body=b"order")
    assert not answered.whole


async def test_connection_is_served_here_when_the_neighbour_has_just_died(pair):
    pair.crowded.router._busyness.overloaded = False
    await pair.neighbour.router.close()
    answered = await ask(pair.crowded.port)
    assert (answered.status, answered.body) == (200, EVENT)


async def test_router_with_an_older_configuration_does_not_answer_by_it(pair):
    """A caller would see the router that passed it on fall back to an old version."""
    for version, status in ((VERSION, 200), (VERSION + 1, 503)):
        reader, writer = await asyncio.open_connection(*relays_of(pair.neighbour))
        writer.write(preface(version))
        writer.write(f"GET /r/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        line = await reader.readline()
        assert int(line.split()[1]) == status
        writer.close()


async def test_connections_of_strangers_are_closed(pair):
    reader, writer = await asyncio.open_connection(*relays_of(pair.neighbour))
    writer.write(b"GET / HTTP/1.1\r\n\r\n")
    assert await reader.read() == b""
    writer.close()


async def test_crowded_neighbours_take_nothing_over(pair):
    """Connections would go round among routers none of which has time."""
    pair.neighbour.use_up()
    await asyncio.sleep(SETTLED_SECONDS)
    assert (await ask(pair.crowded.port)).status == 503
    assert pair.crowded.router._front.acceptor.relayed == 0


async def test_neighbour_takes_over_no_more_than_it_has_time_for(pair):
    """Several flooded routers choose the same neighbour before it says it is busy."""
    pair.neighbour.router._limit._limit = 0
    answered = await ask(pair.crowded.port)
    assert answered.status == 503
    assert not pair.engine.received
    assert float(answered.headers["retry-after"]) > 0


async def test_what_the_neighbour_refuses_is_refused_here(pair):
    """Two routers pay for a request that none of them serves, and its caller waits."""
    pair.neighbour.router._limit._limit = 0
    crowded = pair.crowded.router
    # ticks come when the test says so
    passing, crowded._passing.start_tick = crowded._passing, lambda: None
    for _ in range(REFUSED):
        assert (await ask(pair.crowded.port)).status == 503
    OffloadLimiter.start_tick(passing)
    passed_on = crowded._front.acceptor.relayed
    for _ in range(REFUSED):
        assert (await ask(pair.crowded.port)).status == 503
    assert passed_on == REFUSED
    assert crowded._front.acceptor.relayed < passed_on + REFUSED / 2
    assert not pair.engine.received


async def test_leaving_router_passes_nothing_on(pair):
    """A request passed on late would be cut when this router ends."""
    pair.crowded.router._server.leaving = True
    assert (await ask(pair.crowded.port)).status == 503
    assert pair.crowded.router._front.acceptor.relayed == 0


async def test_connection_that_fell_silent_is_given_up():
    """Both ends lost power, and neither closes its connection."""
    async with ScriptedEndpoint(hang) as router:
        pool = RelayPool(0.2)
        near, far = socket.socketpair()
        assert await pool.relay(near, router.address, preface(1))
        assert pool.running == 1
        await asyncio.sleep(0.5)
        assert pool.running == 0
        assert far.recv(1) == b""
        far.close()


def test_preface_holds_the_version():
    assert read_preface(preface(77)) == 77
    for other in (b"", b"GET / HTTP/1.1\n", b"relayed x\n", b"relayed -1\n"):
        assert read_preface(other) is None

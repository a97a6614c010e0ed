"""Tests of connections that one router relays to another."""

import asyncio
import socket
import time
import tracemalloc
from contextlib import asynccontextmanager
from dataclasses import dataclass

import loguru
from expression import Error, Result
from teaselledge_fleet.connection.accepting import OFFER_SECONDS
from teaselledge_fleet.connection.relay import (
    BUFFER_BYTES,
    CONNECT_SECONDS,
    RelayPool,
    RelayResult,
)
from teaselledge_fleet.faults import FAULT_RESPONSES, Fault, FaultKind, fault_body
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.passingrate import RESPONSE_TICKS, OffloadLimiter
from teaselledge_fleet.relaying.handshake import ACCEPTANCE, OFFER_BYTES, encode_offer
from teaselledge_fleet.request.context import Placement, RequestContext
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import RunningRouter, running_routers
from teaselledge_standins.relays import relay_accepted
from teaselledge_standins.routes import HOST, make_route, make_routing, send_request
from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    response_bytes,
)

GOSSIP_SECONDS = 1.5
EVENT = b"id: 1\ndata: x\n\n"
VERSION = 1
REFUSED_REQUESTS = 20


async def echo(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(response_bytes(200, headers, EVENT))


async def never_respond(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60)


async def respond_partially(
    request: ScriptedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    complete_response = response_bytes(200, headers, EVENT * 4)
    writer.write(complete_response[:-20])
    await writer.drain()
    writer.transport.abort()


@dataclass
class RouterPair:
    """An overloaded router, a neighbour in its zone, and their endpoint."""

    overloaded: RunningRouter
    neighbour: RunningRouter
    engine: ScriptedEndpoint


@asynccontextmanager
async def pair():
    async with ScriptedEndpoint(echo) as engine:
        endpoints = [Endpoint("e1", "books", engine.address, "north-a", 40)]
        routing = make_routing(make_route(RetryPolicy.NEVER, stream=True), VERSION)
        async with running_routers(2, routing, endpoints) as (overloaded, neighbour):
            overloaded.simulate_saturation()
            await asyncio.sleep(GOSSIP_SECONDS)
            yield RouterPair(overloaded, neighbour, engine)


def relay_address(running: RunningRouter) -> tuple[str, int]:
    host, _, port = running.router._members.own.relay_address.rpartition(":")
    return host, int(port)


async def test_response_is_relayed_and_the_connection_closed(pair):
    """The neighbour's configuration may be outdated by the time of a second request."""
    response = await send_request(pair.overloaded.port)
    assert (response.status, response.body) == (200, EVENT)
    assert response.headers["connection"] == "close"
    assert pair.overloaded.router._front.acceptor.relayed == 1


async def test_caller_that_disconnects_ends_its_request_at_the_neighbour(pair):
    """Otherwise an engine would go on working for a disconnected caller."""
    pair.engine.script = never_respond
    _, writer = await asyncio.open_connection("127.0.0.1", pair.overloaded.port)
    writer.write(f"POST /r/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
    while not pair.engine.received:
        await asyncio.sleep(0.01)
    writer.close()
    await asyncio.wait_for(pair.engine.client_disconnected.wait(), 1.0)
    while pair.overloaded.router._front.running:
        await asyncio.sleep(0.01)


async def test_a_router_that_relays_logs_its_connections(pair):
    """Nothing told by second what became of the connections of a flooded router."""
    lines = []
    handler = loguru.logger.add(lambda message: lines.append(message.record))
    deadline = asyncio.get_running_loop().time() + 5.0
    while not any(line["message"] == "connections" for line in lines):
        assert asyncio.get_running_loop().time() < deadline
        await send_request(pair.overloaded.port)
    loguru.logger.remove(handler)


async def test_truncated_response_does_not_look_complete(pair):
    pair.engine.script = respond_partially
    response = await send_request(pair.overloaded.port, "POST", body=b"order")
    assert not response.complete


async def test_connection_is_served_locally_when_the_neighbour_is_unreachable(pair):
    pair.overloaded.router._event_loop.overloaded = False
    await pair.neighbour.router.close()
    response = await send_request(pair.overloaded.port)
    assert (response.status, response.body) == (200, EVENT)


async def test_router_with_an_older_configuration_refuses(pair):
    """Otherwise the relaying router would appear to use an old version again."""
    for version, status in ((VERSION, 200), (VERSION + 1, 503)):
        reader, writer = await asyncio.open_connection(*relay_address(pair.neighbour))
        writer.write(encode_offer(version))
        assert await reader.readline() == ACCEPTANCE
        writer.write(f"GET /r/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        line = await reader.readline()
        assert int(line.split()[1]) == status
        writer.close()


async def test_connection_without_an_offer_is_closed(pair):
    reader, writer = await asyncio.open_connection(*relay_address(pair.neighbour))
    writer.write(b"GET / HTTP/1.1\r\n\r\n")
    assert await reader.read() == b""
    writer.close()


async def test_nothing_is_relayed_to_an_overloaded_neighbour(pair):
    """Otherwise connections would circulate among overloaded routers."""
    pair.neighbour.simulate_saturation()
    await asyncio.sleep(GOSSIP_SECONDS)
    assert (await send_request(pair.overloaded.port)).status == 503
    assert pair.overloaded.router._front.acceptor.relayed == 0


async def test_neighbour_without_capacity_refuses(pair):
    """Several routers choose the same neighbour before it reports its utilisation."""
    pair.neighbour.router._connection_limit._limit = 0
    response = await send_request(pair.overloaded.port)
    assert response.status == 503
    assert not pair.engine.received
    assert float(response.headers["retry-after"]) > 0


async def test_fewer_connections_are_relayed_after_the_neighbour_refuses(pair):
    """Otherwise two routers work on a request that neither serves, and callers wait."""
    pair.neighbour.router._connection_limit._limit = 0
    overloaded = pair.overloaded.router
    # the test calls start_tick itself
    relay_rate, overloaded._offload_limiter.start_tick = (
        overloaded._offload_limiter,
        lambda: None,
    )
    for _ in range(REFUSED_REQUESTS):
        assert (await send_request(pair.overloaded.port)).status == 503
    for _ in range(RESPONSE_TICKS + 1):
        OffloadLimiter.start_tick(relay_rate)
    relayed = overloaded._front.acceptor.relayed
    for _ in range(REFUSED_REQUESTS):
        assert (await send_request(pair.overloaded.port)).status == 503
    assert relayed == REFUSED_REQUESTS
    assert overloaded._front.acceptor.relayed < relayed + REFUSED_REQUESTS / 2
    assert not pair.engine.received


async def test_refusals_by_shares_do_not_stop_relaying(pair):
    """An organisation over its share would lose what the neighbour has room for."""

    async def refuse(context: RequestContext) -> Result[Placement, Fault]:
        return Error(Fault(FaultKind.OVER_SHARE, 1.0))

    pair.neighbour.router._placer.place = refuse
    overloaded = pair.overloaded.router
    for _ in range(REFUSED_REQUESTS):
        assert (await send_request(pair.overloaded.port)).status == 429
    for _ in range(RESPONSE_TICKS + 1):
        OffloadLimiter.start_tick(overloaded._offload_limiter)
    for _ in range(REFUSED_REQUESTS):
        assert (await send_request(pair.overloaded.port)).status == 429
    assert overloaded._front.acceptor.relayed == 2 * REFUSED_REQUESTS


def test_only_faults_of_the_router_itself_count_as_its_refusals():
    """Any router would refuse a request for its share or for want of an engine."""
    by_router = {FaultKind.NOT_CONFIGURED, FaultKind.LEAVING, FaultKind.ROUTER_BUSY}
    for kind in FaultKind:
        status = FAULT_RESPONSES[kind].status
        response = f"HTTP/1.1 {status} x\r\n\r\n".encode() + fault_body(Fault(kind))
        result = RelayResult.of_response(response)
        assert (result is RelayResult.REFUSED_BY_ROUTER) == (kind in by_router), kind
        assert (result is RelayResult.SERVED) == (status not in (429, 503)), kind


@asynccontextmanager
async def late_event_loop(iteration_seconds: float = 1.2 * CONNECT_SECONDS):
    """Make iterations of the event loop long, by default longer than a connect may."""

    async def block() -> None:
        while True:
            time.sleep(iteration_seconds)  # noqa: ASYNC251
            await asyncio.sleep(0)

    task = asyncio.create_task(block())
    yield
    task.cancel()


async def test_connections_are_relayed_though_the_own_event_loop_is_late(pair):
    """A router that took its own delay for a dead neighbour served them itself."""
    async with late_event_loop():
        responses = await asyncio.gather(
            *(send_request(pair.overloaded.port) for _ in range(5))
        )
    assert [response.status for response in responses] == [200] * 5
    assert pair.overloaded.router._front.acceptor.relayed == 5


async def test_router_that_shuts_down_relays_nothing(pair):
    """A relayed request would be cut off when this router stops."""
    pair.overloaded.router._server.leaving = True
    assert (await send_request(pair.overloaded.port)).status == 503
    assert pair.overloaded.router._front.acceptor.relayed == 0


async def test_relays_whose_caller_left_before_a_response_are_counted():
    """They tell of callers that gave up while a late router relayed them."""
    pool = RelayPool(10.0)
    relayed_end, caller_end = socket.socketpair()
    router_end = await relay_accepted(pool, relayed_end)
    caller_end.close()
    while pool.running:
        await asyncio.sleep(0.01)
    assert pool.abandoned == 1
    router_end.close()


def seconds_until_offer(listening: socket.socket) -> float:
    """Accept a connection; return the time that its offer takes."""
    accepted, _ = listening.accept()
    accepted_at = time.monotonic()
    with accepted:
        assert accepted.recv(OFFER_BYTES) == encode_offer(1)
        seconds = time.monotonic() - accepted_at
        accepted.send(ACCEPTANCE)
        # open until the relay ends
        accepted.recv(1)
    return seconds


async def test_the_offer_is_sent_in_time_though_the_own_event_loop_is_late():
    """The neighbour closed the connection, and the caller got no response."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        host, port = listening.getsockname()
        received = asyncio.create_task(
            asyncio.to_thread(seconds_until_offer, listening)
        )
        relayed_end, caller_end = socket.socketpair()
        pool = RelayPool(10.0)
        async with late_event_loop(0.3 * OFFER_SECONDS):
            assert await pool.relay(relayed_end, f"{host}:{port}", encode_offer(1))
        pool.close()
        assert await received < OFFER_SECONDS
        caller_end.close()


async def test_relaying_an_event_allocates_no_large_buffer():
    """Allocating one for each event took much of a flooded router's time."""
    pool = RelayPool(10.0)
    relayed_end, caller_end = socket.socketpair()
    router_end = await relay_accepted(pool, relayed_end)
    tracemalloc.start()
    for _ in range(5):
        router_end.send(EVENT)
        await asyncio.sleep(0.01)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert caller_end.recv(BUFFER_BYTES) == 5 * EVENT
    pool.close()
    router_end.close()
    caller_end.close()
    assert peak < BUFFER_BYTES, peak


async def test_idle_relay_is_closed():
    """Both ends lose power, and neither closes its connection."""
    pool = RelayPool(0.2)
    relayed_end, caller_end = socket.socketpair()
    router_end = await relay_accepted(pool, relayed_end)
    assert pool.running == 1
    await asyncio.sleep(0.5)
    assert pool.running == 0
    assert caller_end.recv(1) == b""
    router_end.close()
    caller_end.close()

"""Tests of callers whose connections are relayed to a router that stands still.

A busy router relayed new connections to a frozen neighbour for as long as that was
frozen: its kernel accepts connections and bytes. Orders got no answer at all.
"""

import asyncio
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass

from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import RunningRouter, running_routers
from teaselledge_standins.routes import HOST, make_route, make_routing, send_request
from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    response_bytes,
)

GOSSIP_SECONDS = 1.5
TIMEOUT_SECONDS = 0.6
ANSWERED_SECONDS = TIMEOUT_SECONDS + 0.25
"""Time by which an answer at the time limit is there."""

EVENT = b"id: 1\ndata: x\n\n"
CALLERS = 20


async def echo(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(response_bytes(200, headers, EVENT))


@dataclass
class FrozenPair:
    """A router that relays all connections, and a neighbour that can stand still."""

    busy: RunningRouter
    neighbour: RunningRouter
    engine: ScriptedEndpoint

    def freeze(self) -> None:
        """Stop accepting at the neighbour, though its kernel goes on; silence it."""
        router = self.neighbour.router
        for listener in router._front.acceptor._listeners:
            listener.stop()
        router._socket.send_all = lambda addresses, payload: None

    def freeze_requests(self) -> None:
        """Let the neighbour stand still once it has accepted a connection."""

        async def stand_still(received, writer) -> None:
            await asyncio.sleep(60)

        self.neighbour.router._front.handler = stand_still

    @property
    def relayed(self) -> int:
        """Connections that the busy router has relayed."""
        return self.busy.router._front.acceptor.relayed


@asynccontextmanager
async def frozen_pair():
    async with ScriptedEndpoint(echo) as engine:
        endpoints = [Endpoint("e1", "books", engine.address, "north-a", 40)]
        route = make_route(RetryPolicy.NEVER, timeout=TIMEOUT_SECONDS)
        async with running_routers(2, make_routing(route), endpoints) as routers:
            busy, neighbour = routers
            busy.simulate_saturation()
            busy.router._event_loop.overloaded = False
            await asyncio.sleep(GOSSIP_SECONDS)
            yield FrozenPair(busy, neighbour, engine)


async def timed_request(port: int, **options):
    started = time.monotonic()
    async with asyncio.timeout(3 * TIMEOUT_SECONDS):
        response = await send_request(port, "POST", body=b"order", **options)
    return response, time.monotonic() - started


async def test_orders_are_served_while_the_neighbour_stands_still(frozen_pair):
    """The kernel of a frozen router took the bytes of callers, and nobody read them."""
    assert (await timed_request(frozen_pair.busy.port))[0].status == 200
    assert frozen_pair.relayed == 1
    frozen_pair.freeze()
    answers = await asyncio.gather(
        *(timed_request(frozen_pair.busy.port) for _ in range(CALLERS))
    )
    assert [answer.status for answer, _ in answers] == [200] * CALLERS
    assert max(seconds for _, seconds in answers) < TIMEOUT_SECONDS
    assert len(frozen_pair.engine.received) == 1 + CALLERS


async def test_later_callers_do_not_wait_for_a_router_that_gave_no_answer(frozen_pair):
    """Each new connection would wait for the acceptance that never comes."""
    frozen_pair.freeze()
    await timed_request(frozen_pair.busy.port)
    _, seconds = await timed_request(frozen_pair.busy.port)
    assert seconds < 0.1


async def test_relayed_order_gets_its_answer_at_its_time_limit(frozen_pair):
    """Orders relayed just before a freeze were never answered."""
    frozen_pair.freeze_requests()
    response, seconds = await timed_request(frozen_pair.busy.port)
    # neither 429 nor 503: it may have run
    assert response.status == 504
    assert response.headers["x-request-id"] == "q1"
    assert TIMEOUT_SECONDS <= seconds < ANSWERED_SECONDS


async def test_limit_of_the_route_counts_though_that_of_the_caller_is_longer(
    frozen_pair,
):
    """Callers wait longer than operators want them kept waiting."""
    frozen_pair.freeze_requests()
    limit = 1.5 * TIMEOUT_SECONDS
    response, seconds = await timed_request(
        frozen_pair.busy.port, headers={"X-Deadline-Seconds": str(limit)}
    )
    assert response.status == 504
    assert seconds < ANSWERED_SECONDS


async def test_pipelined_request_is_not_left_without_an_end(frozen_pair):
    """A relayed connection carries one request; the caller learns it by its end."""
    frozen_pair.freeze_requests()
    reader, writer = await asyncio.open_connection("127.0.0.1", frozen_pair.busy.port)
    request = f"GET /r/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    writer.write(request)
    await asyncio.sleep(TIMEOUT_SECONDS / 2)
    writer.write(request)
    async with asyncio.timeout(ANSWERED_SECONDS):
        received = await reader.read()
    assert received.count(b"HTTP/1.1 504") == 1
    writer.close()


async def test_request_of_a_caller_that_is_given_up_does_not_run_when_it_wakes(
    frozen_pair,
):
    """A router that wakes finds requests in its sockets whose callers are answered."""
    router = frozen_pair.neighbour.router
    handler, waking = router._front.handler, asyncio.Event()

    async def stand_still(received, writer) -> None:
        await waking.wait()
        await handler(received, writer)

    router._front.handler = stand_still
    response, _ = await timed_request(frozen_pair.busy.port)
    assert response.status == 504
    waking.set()
    await asyncio.sleep(0.3)
    assert not frozen_pair.engine.received

"""Tests of refusing connections without parsing their requests."""

import asyncio
import json
import math
import socket
from collections import Counter

from teaselledge_fleet.connection.accepting import (
    REFUSALS_PER_SAMPLE,
    SAMPLE_INTERVAL_SECONDS,
)
from teaselledge_fleet.connection.refusing import LoadShedder, _WaitingConnection
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.routes import HOST, make_route, running_route, send_request
from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    response_bytes,
)

LARGE_BODY = b"x" * 300_000
"""Size that is not received completely before the response is sent."""


async def echo(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(response_bytes(200, headers, b"fine"))


async def test_refusal_is_complete_and_has_a_retry_after():
    """A refusal by an overloaded router must look to callers like any other."""
    async with (
        ScriptedEndpoint(echo) as endpoint,
        running_route(make_route(RetryPolicy.NEVER), endpoint.address) as served,
    ):
        served.front.acceptor.has_capacity = lambda: False
        for number in range(2 * REFUSALS_PER_SAMPLE):
            if number == REFUSALS_PER_SAMPLE:
                await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
            response = await send_request(served.port, "POST", body=b"order")
            assert response.complete
            assert response.status == 503
            assert json.loads(response.body)["kind"] == "router-busy"
            assert response.headers["connection"] == "close"
            assert 0.1 <= float(response.headers["retry-after"]) <= 1.5
        assert not endpoint.received
        assert served.front.acceptor.refused == 2 * REFUSALS_PER_SAMPLE
        assert served.front.acceptor.sampled == 2


async def test_a_flood_of_refusals_leaves_a_router_time_to_relay():
    """One in eight was read, so that reading took the time of a flooded router."""
    async with running_route(make_route(RetryPolicy.NEVER)) as served:
        acceptor = served.front.acceptor
        acceptor.has_capacity = lambda: False
        acceptor._sampled_at = math.inf
        for _ in range(3 * REFUSALS_PER_SAMPLE):
            assert (await send_request(served.port)).status == 503
        assert (acceptor.refused, acceptor.sampled) == (3 * REFUSALS_PER_SAMPLE, 0)


async def test_samples_stand_for_all_refused_requests():
    """Otherwise a refused organisation would appear to request little."""
    weights = []
    refusals = 2 * REFUSALS_PER_SAMPLE + 3
    async with running_route(make_route(RetryPolicy.NEVER)) as served:
        served.front.acceptor.has_capacity = lambda: False
        served.placer.record_demand = lambda call, organisation, weight: weights.append(
            weight
        )
        for _ in range(refusals):
            assert (await send_request(served.port)).status == 503
        unsampled = served.front.acceptor._unsampled
        assert sum(weights) + unsampled == served.front.acceptor.refused == refusals
        assert min(weights) >= REFUSALS_PER_SAMPLE


async def test_callers_that_have_left_are_counted():
    """Otherwise a router that accepts too late looks like one that refuses."""
    shedder = LoadShedder([b"HTTP/1.1 503 x\r\n\r\n"])
    for how in (socket.SHUT_WR, socket.SHUT_RDWR):
        near, far = socket.socketpair()
        far.shutdown(how)
        shedder.refuse(near)
        far.close()
    assert (shedder.refused, shedder.abandoned) == (2, 2)
    shedder.close()


class CountingSocket(socket.socket):
    """Counts system calls by name."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.calls = Counter()

    def __getattribute__(self, name: str):
        attribute = super().__getattribute__(name)
        if name in ("recv", "send", "shutdown", "setblocking", "settimeout"):
            self.calls[name] += 1
        return attribute


async def test_a_refusal_takes_three_system_calls():
    """Refusing took the time in which a flooded router could relay."""
    near, far = socket.socketpair()
    refused = CountingSocket(fileno=near.detach())
    far.send(b"GET /r/1 HTTP/1.1\r\n\r\n")
    shedder = LoadShedder([b"HTTP/1.1 503 x\r\n\r\n"])
    shedder.refuse(refused)
    assert far.recv(100) == b"HTTP/1.1 503 x\r\n\r\n"
    assert refused.calls == {"recv": 2, "send": 1}
    shedder.close()
    far.close()


async def test_caller_that_sends_a_large_body_gets_the_response():
    """Closing a connection with unread bytes resets it and may lose the response."""
    async with running_route(make_route(RetryPolicy.NEVER)) as served:
        served.front.acceptor.has_capacity = lambda: False
        served.front.acceptor.sampled = 1
        response = await send_request(served.port, "POST", body=LARGE_BODY)
        assert (response.status, response.complete) == (503, True)


async def test_request_sent_after_accepting_gets_the_response():
    async with running_route(make_route(RetryPolicy.NEVER)) as served:
        served.front.acceptor.has_capacity = lambda: False
        served.front.acceptor.sampled = 1
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        await asyncio.sleep(0.2)
        assert not reader._buffer
        writer.write(f"GET /r/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        assert (await reader.readline()).split()[1] == b"503"
        writer.close()


async def test_connection_without_a_request_is_closed():
    async with running_route(make_route(RetryPolicy.NEVER)) as served:
        served.front.acceptor.has_capacity = lambda: False
        served.front.acceptor.sampled = 1
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        assert await asyncio.wait_for(reader.read(), 3.0) == b""
        writer.close()


async def test_a_connection_that_is_not_readable_after_all_gets_the_response():
    """Readiness may be reported though a read would block."""
    async with running_route(make_route(RetryPolicy.NEVER)) as served:
        served.front.acceptor.has_capacity = lambda: False
        served.front.acceptor.sampled = 1
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        await asyncio.sleep(0.1)
        shedder = served.front.acceptor._shedder
        (waiting,) = shedder._waiting
        shedder._on_readable(_WaitingConnection(waiting, None))
        writer.write(f"GET /r/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        assert (await reader.readline()).split()[1] == b"503"
        writer.close()

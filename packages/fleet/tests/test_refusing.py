"""Tests of requests that a router refuses without reading them."""

import asyncio
import json

from teaselledge_fleet.connection.accepting import REFUSALS_PER_SAMPLE
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.routes import HOST, ask, make_route, serving
from teaselledge_standins.scripted import Received, ScriptedEndpoint, answer_bytes

LARGE = b"x" * 300_000
"""More than arrives before the answer goes out."""


async def echo(request: Received, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(answer_bytes(200, headers, b"fine"))


async def test_caller_gets_a_whole_promise_with_a_time_to_return():
    """The router has no time; its answer must be understood like any other refusal."""
    async with (
        ScriptedEndpoint(echo) as endpoint,
        serving(make_route(RetryPolicy.NEVER), endpoint.address) as served,
    ):
        served.front.acceptor.has_capacity = lambda: False
        for _ in range(2 * REFUSALS_PER_SAMPLE):
            answered = await ask(served.port, "POST", body=b"order")
            assert answered.whole
            assert answered.status == 503
            assert json.loads(answered.body)["kind"] == "router-busy"
            assert answered.headers["connection"] == "close"
            assert 0.1 <= float(answered.headers["retry-after"]) <= 1.5
        assert not endpoint.received
        assert served.front.acceptor.refused == 2 * REFUSALS_PER_SAMPLE
        assert served.front.acceptor.sampled == 2


async def test_caller_with_a_large_body_gets_the_answer():
    """A connection closed with bytes unread is reset, and the answer may be lost."""
    async with serving(make_route(RetryPolicy.NEVER)) as served:
        served.front.acceptor.has_capacity = lambda: False
        served.front.acceptor.sampled = 1
        answered = await ask(served.port, "POST", body=LARGE)
        assert (answered.status, answered.whole) == (503, True)


async def test_request_that_comes_later_is_answered_as_well():
    async with serving(make_route(RetryPolicy.NEVER)) as served:
        served.front.acceptor.has_capacity = lambda: False
        served.front.acceptor.sampled = 1
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        await asyncio.sleep(0.2)
        assert not reader._buffer
        writer.write(f"GET /r/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        assert (await reader.readline()).split()[1] == b"503"
        writer.close()


async def test_connection_without_a_request_is_closed():
    async with serving(make_route(RetryPolicy.NEVER)) as served:
        served.front.acceptor.has_capacity = lambda: False
        served.front.acceptor.sampled = 1
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        assert await asyncio.wait_for(reader.read(), 3.0) == b""
        writer.close()

"""Tests of endpoints that send at full speed until their connection is closed.

Without limits a router reads them until the deadline of the request, at the cost of its
CPU time and memory, and the caller has no time left to retry.
"""

import asyncio
import tracemalloc
from collections.abc import Callable

from teaselledge_fleet.connection import endpoint as endpoint_module
from teaselledge_fleet.connection.responselimits import (
    MAX_SHORT_EVENTS,
    MIN_EVENT_BYTES,
)
from teaselledge_fleet.request import serving
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.routes import make_route, running_route, send_request
from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    response_bytes,
)

OWN = {"X-Request-Id": "q1"}
OTHER = {"X-Request-Id": "q0"}
CHUNKED = {**OWN, "Transfer-Encoding": "chunked"}
BLOCK = 32 * 1024
MAX_MEMORY_BYTES = 8 * 1024 * 1024
"""More than the response that is buffered whole, queued parts and the stand-in need."""


def head(headers: dict[str, str]) -> bytes:
    return response_bytes(200, headers, b"", length=False)


def endless(start: bytes, repeated: bytes, interval: float = 0.0):
    """Return a script that repeats bytes until its connection is closed."""

    async def script(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(start)
        while True:
            writer.write(repeated)
            await writer.drain()
            await asyncio.sleep(interval)

    return script


async def check_cut_off(
    script: Callable, stream: bool, status: int = 502, event: bytes = b""
) -> None:
    """Check that an endpoint is disconnected, and that a caller may still retry."""
    async with ScriptedEndpoint(script) as faulty:
        route = make_route(RetryPolicy.NEVER, stream=stream, timeout=60.0)
        async with running_route(route, faulty.address) as served:
            tracemalloc.start()
            try:
                async with asyncio.timeout(10):
                    response = await send_request(served.port, "POST", body=b"order")
                    await faulty.client_disconnected.wait()
                assert tracemalloc.get_traced_memory()[1] < MAX_MEMORY_BYTES
            finally:
                tracemalloc.stop()
            assert response.status == status
            if status == 200:
                assert (response.body, response.complete) == (event, False)
            # both count as failures of the endpoint
            assert served.placer.outcomes[0].name in ("LOST", "BROKEN")
            assert len(faulty.received) == 1


async def test_endless_head_is_cut_off():
    for stream in (False, True):
        await check_cut_off(endless(b"HTTP/1.1 200 OK\r\nA: ", b"x" * BLOCK), stream)


async def test_endless_headers_are_cut_off():
    await check_cut_off(endless(b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 500), False)


async def test_endless_informational_heads_are_cut_off():
    for size in (1, 4000):
        hint = b"HTTP/1.1 103 Early Hints\r\nA: " + b"x" * size + b"\r\n\r\n"
        await check_cut_off(endless(b"", hint), False)


async def test_endless_chunk_size_and_extension_are_cut_off():
    for start in (b"0", b"4;a=", b"4;a\r\nfine\r\n4"):
        await check_cut_off(endless(head(CHUNKED) + start, b"0" * BLOCK), False)


async def test_extensions_of_many_chunks_are_cut_off():
    chunk = b"1;" + b"x" * 1000 + b"\r\nx\r\n"
    await check_cut_off(endless(head(CHUNKED), chunk * 30), False)


async def test_endless_trailers_are_cut_off():
    start = head(CHUNKED) + b"4\r\nfine\r\n0\r\n"
    await check_cut_off(endless(start, b"A: b\r\n" * 500), False)


async def test_endless_body_of_another_response_is_cut_off():
    for headers in (OTHER, {**OTHER, "Content-Length": "99999999999"}):
        await check_cut_off(endless(head(headers), b"x" * BLOCK), True)


async def test_endless_responses_to_other_requests_are_cut_off():
    await check_cut_off(endless(b"", response_bytes(200, OTHER, b"x" * BLOCK)), True)


async def test_endless_buffered_body_is_cut_off():
    """A body without length, one with a huge length, and one in chunks."""
    for headers in (OWN, {**OWN, "Content-Length": "99999999999"}):
        await check_cut_off(endless(head(headers), b"x" * BLOCK), False)
    chunk = b"8000\r\n" + b"x" * BLOCK + b"\r\n"
    await check_cut_off(endless(head(CHUNKED), chunk), False)


async def test_endless_event_is_cut_off():
    """Events before it are delivered, and the stream is not mistaken for complete."""
    await check_cut_off(endless(head(OWN) + b"data: ", b"x" * BLOCK), True)
    event = b"id: 1\ndata: x\n\n"
    script = endless(head(OWN) + event + b"data: ", b"x" * BLOCK)
    await check_cut_off(script, True, 200, event)


async def test_endless_events_without_content_are_cut_off():
    """Each line feed was an event: reading them took all time of a router."""
    event = b"id: 1\ndata: 1\n\n"
    for junk in (b"\n", b"\r\n", b":\n\n", b"data:\n\n"):
        script = endless(head(OWN) + event, junk * (BLOCK // len(junk)), 0.01)
        async with ScriptedEndpoint(script) as faulty:
            route = make_route(RetryPolicy.NEVER, stream=True, timeout=60.0)
            async with running_route(route, faulty.address) as served:
                async with asyncio.timeout(5):
                    response = await send_request(served.port, "POST", body=b"order")
                    await faulty.client_disconnected.wait()
        if response.status == 502:
            # nothing was forwarded, as all came in one read
            continue
        assert not response.complete
        assert response.body.startswith(event)
        assert len(response.body) <= len(event) + MAX_SHORT_EVENTS * MIN_EVENT_BYTES


async def test_body_beyond_its_length_is_cut_off():
    """The response is complete, and the caller gets it."""
    script = endless(response_bytes(200, OWN, b"fine"), b"x" * BLOCK)
    async with ScriptedEndpoint(script) as faulty:
        route = make_route(RetryPolicy.NEVER, timeout=60.0)
        async with running_route(route, faulty.address) as served:
            async with asyncio.timeout(5):
                response = await send_request(served.port)
                await faulty.client_disconnected.wait()
    assert (response.status, response.body) == (200, b"fine")


async def test_elements_that_end_too_slowly_are_cut_off():
    """Some bytes a second stay below the limits in bytes until the deadline."""
    limit = endpoint_module.MAX_INCOMPLETE_SECONDS
    endpoint_module.MAX_INCOMPLETE_SECONDS = serving.MAX_INCOMPLETE_SECONDS = 0.2
    try:
        for start, repeated, stream in (
            (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n", False),
            (head(OTHER), b"x", False),
            (head(CHUNKED), b"0", False),
            (head(CHUNKED) + b"0\r\nA: ", b"b", False),
            (head(OWN), b"x", True),
        ):
            await check_cut_off(endless(start, repeated, 0.02), stream)
    finally:
        endpoint_module.MAX_INCOMPLETE_SECONDS = limit
        serving.MAX_INCOMPLETE_SECONDS = limit


async def test_request_that_may_be_repeated_is_retried():
    """The limit leaves time for another endpoint."""
    fine = response_bytes(200, OWN, b"fine")

    async def respond(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(fine)

    async with (
        ScriptedEndpoint(endless(head(OWN), b"x" * BLOCK)) as faulty,
        ScriptedEndpoint(respond) as second,
    ):
        route = make_route(RetryPolicy.ANY)
        async with running_route(route, faulty.address, second.address) as served:
            response = await send_request(served.port)
    assert (response.status, response.body) == (200, b"fine")

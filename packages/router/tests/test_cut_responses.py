"""Tests of endpoints that stop in the middle of a response, on loopback."""

import asyncio

from teaselledge.connection.endpoint import (
    HttpEndpointClient,
    IncompleteResponseError,
    OutboundRequest,
)
from teaselledge_standins.scripted import ScriptedEndpoint, reset, response_bytes
from tornado.httputil import HTTPHeaders

BODY = b"whole body"
FRAMINGS = (
    {"Content-Length": str(len(BODY))},
    {"Transfer-Encoding": "chunked"},
    {},
)


async def receive(data: bytes, with_reset: bool) -> bytes | None:
    """Return the body of a response that looks whole, None of any other."""

    async def respond(request, writer) -> None:
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.005)
        if with_reset:
            reset(writer)
        else:
            writer.close()

    async with ScriptedEndpoint(respond) as endpoint:
        request = OutboundRequest("GET", "/1", HTTPHeaders({"Host": "x"}), b"")
        sent = await HttpEndpointClient().send(endpoint.address, request)
        if sent.is_error():
            return None
        try:
            return b"".join([chunk async for chunk in sent.ok.chunks()])
        except IncompleteResponseError:
            return None
        finally:
            sent.ok.close()


async def test_a_response_that_is_cut_off_does_not_look_whole():
    """Callers of a system like this got an empty body, framed as whole."""
    for framing in FRAMINGS:
        head = response_bytes(200, {"X-A": "b", **framing}, b"", length=False)
        for length in range(1, len(head) + 1):
            assert await receive(head[:length], False) is None, (framing, length)
        for length in (len(head) - 1, len(head)):
            assert await receive(head[:length], True) is None, (framing, length)


async def test_a_response_without_a_length_that_is_reset_does_not_look_whole():
    """Its end by a reset was taken for its end by a close."""
    head = response_bytes(200, {}, b"", length=False)
    assert await receive(head + BODY, False) == BODY
    assert await receive(head + BODY[:4], True) is None

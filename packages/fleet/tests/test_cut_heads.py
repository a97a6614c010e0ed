"""Tests of responses whose endpoint stops in the middle of their head, or behind it."""

import asyncio
from collections.abc import Awaitable, Callable

from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.routes import (
    ClientResponse,
    make_route,
    running_route,
    send_request,
)
from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    reset,
    response_bytes,
)
from teaselledge_standins.segmentengine import Framing

BODY = b"id: 1\ndata: whole\n\n"
HEADERS = {"X-Request-Id": "q1", "Content-Type": "text/event-stream"}
FRAMINGS = {
    Framing.LENGTH: {"Content-Length": str(len(BODY))},
    Framing.CHUNKS: {"Transfer-Encoding": "chunked"},
    Framing.CLOSE: {},
}


def head(framing: Framing) -> bytes:
    """Return a head in which the framing comes before the last header."""
    headers = {"X-Request-Id": "q1", **FRAMINGS[framing], **HEADERS}
    return response_bytes(200, headers, b"", length=False)


async def close(writer: asyncio.StreamWriter) -> None:
    """Close the connection in order."""
    writer.close()


async def reset_after_pause(writer: asyncio.StreamWriter) -> None:
    """Reset the connection once the bytes before have been read."""
    await writer.drain()
    await asyncio.sleep(0.005)
    reset(writer)


End = Callable[[asyncio.StreamWriter], Awaitable[None]]


def cut_after(data: bytes, end: End):
    """Return a script that sends some bytes and ends the connection of order 2."""

    async def respond(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
        if b"first" in request.body:
            writer.write(response_bytes(200, {"X-Request-Id": "q1"}, b"first"))
            return
        writer.write(data)
        await end(writer)

    return respond


async def responses_to(
    script, stream: bool, retry_policy: RetryPolicy
) -> list[ClientResponse]:
    """Return the responses on a new connection and on one that was used before."""
    async with ScriptedEndpoint(script) as endpoint:
        route = make_route(retry_policy, stream=stream, attempts=1)
        async with running_route(route, endpoint.address) as served:
            fresh = await send_request(served.port, "POST", body=b"order")
            await send_request(served.port, "POST", body=b"first")
            reused = await send_request(served.port, "POST", body=b"order")
    return [fresh, reused]


async def check_not_taken_for_whole(data: bytes, end: End) -> None:
    """Check that no response looks like a whole success."""
    for retry_policy in (RetryPolicy.ANY, RetryPolicy.NEVER):
        for stream in (False, True):
            script = cut_after(data, end)
            for response in await responses_to(script, stream, retry_policy):
                whole = response.status == 200 and response.complete
                assert not whole, (data, end, stream, response)


async def test_a_head_that_is_cut_off_anywhere_is_no_success():
    """Clients of a system like this got an empty body, framed as whole."""
    for framing in Framing:
        whole_head = head(framing)
        for length in range(0, len(whole_head), 3):
            await check_not_taken_for_whole(whole_head[:length], close)
        line_ends = [
            n for n in range(len(whole_head)) if whole_head[n - 1 : n] == b"\n"
        ]
        for length in [*line_ends, len(whole_head) - 1]:
            await check_not_taken_for_whole(whole_head[:length], reset_after_pause)
            await check_not_taken_for_whole(whole_head[:length], close)


async def test_a_response_that_ends_behind_its_head_is_no_success():
    """Without a length nothing shows that there is no body."""
    for framing in Framing:
        for end in (close, reset_after_pause):
            await check_not_taken_for_whole(head(framing), end)


async def test_a_body_that_is_cut_off_anywhere_is_no_success():
    for length in range(1, len(BODY)):
        await check_not_taken_for_whole(
            head(Framing.LENGTH) + BODY[:length], reset_after_pause
        )
        await check_not_taken_for_whole(
            head(Framing.CLOSE) + BODY[:length], reset_after_pause
        )

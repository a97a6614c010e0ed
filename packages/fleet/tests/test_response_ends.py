"""Tests of responses that end with their connection, and of those that break off."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from enum import Enum

from teaselledge_fleet.request.context import Outcome, RequestContext
from teaselledge_fleet.version.routes import RetryPolicy, Route
from teaselledge_standins.routes import (
    ClientResponse,
    RunningRoute,
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

Cut = Callable[[RunningRoute, ScriptedEndpoint, asyncio.StreamWriter], Awaitable[None]]
EVENTS = [b"id: %d\ndata: %d\n\n" % (n, n) for n in (1, 2, 3)]


class CutAt(Enum):
    """Where a stream breaks off."""

    EVENT_END = EVENTS[0]
    INSIDE_EVENT = EVENTS[0] + EVENTS[1][:9]


def stream_head(request: ScriptedRequest, framing: Framing) -> bytes:
    headers = {
        "X-Request-Id": request.headers["x-request-id"],
        "Content-Type": "text/event-stream",
    }
    if framing is Framing.LENGTH:
        headers["Content-Length"] = str(sum(map(len, EVENTS)))
    if framing is Framing.CHUNKS:
        headers["Transfer-Encoding"] = "chunked"
    return response_bytes(200, headers, b"", length=False)


def framed(framing: Framing, part: bytes) -> bytes:
    if framing is not Framing.CHUNKS:
        return part
    return b"%x\r\n%s\r\n" % (len(part), part)


async def end_process(
    served: RunningRoute, endpoint: ScriptedEndpoint, writer: asyncio.StreamWriter
) -> None:
    """End the endpoint, which closes its connections in order."""
    task = asyncio.create_task(endpoint.close())
    await asyncio.wait([task], timeout=1.0)


async def reset_connection(
    served: RunningRoute, endpoint: ScriptedEndpoint, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection, and go on."""
    reset(writer)


async def close_connection(
    served: RunningRoute, endpoint: ScriptedEndpoint, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in order, and go on."""
    writer.close()


async def leave(
    served: RunningRoute, endpoint: ScriptedEndpoint, writer: asyncio.StreamWriter
) -> None:
    """End the endpoint, which is known to be leaving."""
    served.placer.leaving.add("e1")
    await end_process(served, endpoint, writer)


@asynccontextmanager
async def cut_route(
    route: Route, framing: Framing, body: bytes, cut: Cut
) -> AsyncIterator[RunningRoute]:
    """Serve a route with an endpoint that sends a part, and another that sends all."""

    async def respond(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(request, framing) + framed(framing, body))
        await writer.drain()
        await asyncio.sleep(0.02)
        await cut(served, first, writer)

    async def resume(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
        done = int(request.headers.get("last-event-id", "0"))
        events = b"".join(EVENTS[done:])
        writer.write(stream_head(request, Framing.CHUNKS))
        if events:
            writer.write(framed(Framing.CHUNKS, events))
        writer.write(b"0\r\n\r\n")

    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(ScriptedEndpoint(respond))
        second = await stack.enter_async_context(ScriptedEndpoint(resume))
        served = await stack.enter_async_context(
            running_route(route, first.address, second.address)
        )
        yield served


async def get(
    retry_policy: RetryPolicy, framing: Framing, body: bytes, cut: Cut
) -> tuple[ClientResponse, list[Outcome]]:
    route = make_route(retry_policy, stream=True)
    async with cut_route(route, framing, body, cut) as served:
        response = await send_request(served.port)
        return response, served.placer.outcomes


async def test_a_stream_cut_by_the_end_of_its_engine_does_not_look_complete():
    """Without length or chunks a stream cut at an event's end was taken for whole."""
    for framing in Framing:
        for at in CutAt:
            response, _ = await get(RetryPolicy.NEVER, framing, at.value, end_process)
            assert (response.status, response.complete) == (200, False), (framing, at)
            assert response.body == EVENTS[0]


async def test_a_stream_cut_by_the_end_of_its_engine_is_resumed():
    """The rest of a stream that was taken for whole never arrived."""
    for framing in Framing:
        for at in CutAt:
            response, outcomes = await get(
                RetryPolicy.RESUME, framing, at.value, end_process
            )
            assert (response.body, response.complete) == (b"".join(EVENTS), True)
            assert outcomes == [Outcome.BROKEN, Outcome.WHOLE]


async def test_a_stream_that_is_reset_does_not_look_complete():
    for framing in Framing:
        for at in CutAt:
            response, _ = await get(
                RetryPolicy.NEVER, framing, at.value, reset_connection
            )
            assert not response.complete


async def test_a_stream_that_ends_with_its_connection_is_complete():
    """The engine goes on, so that the close is the end of the response."""
    whole = b"".join(EVENTS)
    response, outcomes = await get(
        RetryPolicy.RESUME, Framing.CLOSE, whole, close_connection
    )
    assert (response.body, response.complete) == (whole, True)
    assert outcomes == [Outcome.WHOLE]


async def test_a_close_inside_an_event_breaks_a_stream_off():
    """Whether or not the engine goes on, the event is not forwarded in part."""
    response, _ = await get(
        RetryPolicy.NEVER, Framing.CLOSE, CutAt.INSIDE_EVENT.value, close_connection
    )
    assert (response.body, response.complete) == (EVENTS[0], False)


async def test_a_body_cut_by_the_end_of_its_endpoint_is_not_forwarded():
    """A part of a body without a length was forwarded as all of it."""
    route = make_route(RetryPolicy.NEVER)
    async with cut_route(route, Framing.CLOSE, b"a part", end_process) as served:
        response = await send_request(served.port)
    assert response.status == 502


async def test_a_leaving_engine_that_closes_has_completed_its_response():
    """An engine that leaves ends when it has served all, which cuts nothing off."""
    whole = b"".join(EVENTS)

    route = make_route(RetryPolicy.NEVER, stream=True)
    async with cut_route(route, Framing.CLOSE, whole, leave) as served:
        response = await send_request(served.port)
    assert (response.body, response.complete) == (whole, True)


async def test_only_a_response_that_is_certainly_complete_acquits_its_request():
    """A fatal request whose engine closed at an event's end counted as served."""
    route = make_route(RetryPolicy.NEVER, stream=True)
    for cut, count in ((close_connection, 1), (end_process, 0), (leave, 0)):
        part = CutAt.EVENT_END.value
        async with cut_route(route, Framing.CLOSE, part, cut) as served:
            acquitted: list[RequestContext] = []
            served.server._quarantine.on_served = acquitted.append
            await send_request(served.port)
        assert len(acquitted) == count, cut

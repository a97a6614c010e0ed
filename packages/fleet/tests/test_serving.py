"""Tests of forwarding a request and its response over real connections."""

import asyncio
import math
import socket

from teaselledge_fleet.process.budget import RetryBudget, RetryLimits
from teaselledge_fleet.version.routes import RetryPolicy, Target
from teaselledge_standins.routes import (
    make_route,
    make_routing,
    running_route,
    send_request,
)
from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    reset,
    response_bytes,
)

REQUEST_ID_HEADER = {"X-Request-Id": "q1"}
NOT_RUN_HEADER = {"X-Not-Run": "1"}


def respond_with(*chunks: bytes, then=None):
    """Return a script that sends chunks and then calls a function of the writer."""

    async def script(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
        for chunk in chunks:
            writer.write(chunk)
            await asyncio.sleep(0.005)
        if then is not None:
            then(writer)

    return script


def close_writer(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def never_respond(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60)


OK_RESPONSE = response_bytes(200, REQUEST_ID_HEADER, b"fine")


async def test_response_is_forwarded_unchanged():
    async with ScriptedEndpoint(respond_with(OK_RESPONSE)) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, endpoint.address) as served:
            response = await send_request(served.port, "POST", body=b"order")
    assert (response.status, response.body, response.complete) == (200, b"fine", True)
    assert endpoint.received[0].body == b"order"
    assert endpoint.received[0].headers["x-endpoint"] == "e1"


async def test_order_is_not_retried_after_its_response_is_lost():
    """The endpoint runs an order, and the connection is reset before the response.

    A retry would run the order twice; so would a status that promises that it has
    not run, as the caller would send it again.
    """
    async with (
        ScriptedEndpoint(respond_with(then=reset)) as first,
        ScriptedEndpoint(respond_with(OK_RESPONSE)) as second,
    ):
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, first.address, second.address) as served:
            response = await send_request(served.port, "POST", body=b"order")
    assert response.status == 502
    assert "retry-after" not in response.headers
    assert len(first.received) == 1
    assert not second.received


async def test_lookup_is_retried_after_its_response_is_lost():
    async with (
        ScriptedEndpoint(respond_with(then=reset)) as first,
        ScriptedEndpoint(respond_with(OK_RESPONSE)) as second,
    ):
        route = make_route(RetryPolicy.ANY)
        async with running_route(route, first.address, second.address) as served:
            response = await send_request(served.port)
    assert (response.status, response.body) == (200, b"fine")
    assert len(first.received) == len(second.received) == 1


async def test_declined_order_is_retried():
    declined = response_bytes(503, NOT_RUN_HEADER, b"")
    async with (
        ScriptedEndpoint(respond_with(declined)) as first,
        ScriptedEndpoint(respond_with(OK_RESPONSE)) as second,
    ):
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, first.address, second.address) as served:
            response = await send_request(served.port, "POST", body=b"order")
    assert (response.status, response.body) == (200, b"fine")


async def test_503_without_not_run_header_is_not_forwarded():
    """A failing endpoint answers 503 without declaring that the order has not run.

    Forwarded, the status would promise the caller that it may send the order again.
    """
    async with ScriptedEndpoint(
        respond_with(response_bytes(503, REQUEST_ID_HEADER, b""))
    ) as endpoint:
        route = make_route(RetryPolicy.NEVER, attempts=1)
        async with running_route(route, endpoint.address) as served:
            response = await send_request(served.port, "POST", body=b"order")
    assert response.status == 502


async def test_declined_order_is_refused_with_retry_after():
    declined = response_bytes(503, NOT_RUN_HEADER, b"")
    async with ScriptedEndpoint(respond_with(declined)) as endpoint:
        route = make_route(RetryPolicy.NEVER, attempts=1)
        async with running_route(route, endpoint.address) as served:
            response = await send_request(served.port, "POST", body=b"order")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0


async def test_response_to_another_request_is_skipped():
    """An engine answers an earlier request a second time on a reused connection.

    If the request id were not checked, the next caller would get that response.
    """
    foreign = response_bytes(200, {"X-Request-Id": "q0"}, b"not yours")
    async with ScriptedEndpoint(respond_with(foreign + OK_RESPONSE)) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, endpoint.address) as served:
            response = await send_request(served.port, "POST", body=b"order")
    assert (response.status, response.body) == (200, b"fine")


async def test_skipped_response_that_ends_with_its_connection_is_a_failure():
    """The response to another request has no length, and the connection closes.

    The request would otherwise wait for its own response until its deadline.
    """
    foreign = response_bytes(200, {"X-Request-Id": "q0"}, b"", length=False)
    async with ScriptedEndpoint(respond_with(foreign, then=close_writer)) as endpoint:
        route = make_route(RetryPolicy.NEVER, timeout=60.0)
        async with asyncio.timeout(5), running_route(route, endpoint.address) as served:
            response = await send_request(served.port, "POST", body=b"order")
    assert response.status == 502


async def test_connection_with_surplus_bytes_is_not_reused():
    """Bytes that belong to no request follow a response, immediately or later."""
    for script in (
        respond_with(OK_RESPONSE + OK_RESPONSE),
        respond_with(OK_RESPONSE, OK_RESPONSE),
    ):
        async with ScriptedEndpoint(script) as endpoint:
            route = make_route(RetryPolicy.ANY)
            async with running_route(route, endpoint.address) as served:
                await send_request(served.port)
                await asyncio.sleep(0.05)
                endpoint.script = respond_with(OK_RESPONSE)
                response = await send_request(served.port)
        assert response.body == b"fine"
        assert endpoint.connections == 2


async def test_response_without_length_is_complete_only_at_clean_close():
    """A response without a length ends when its connection closes.

    After a reset some of it may be missing, and it must not appear complete.
    """
    without_length = response_bytes(200, REQUEST_ID_HEADER, b"fine", length=False)
    for then, status in ((close_writer, 200), (reset, 502)):
        async with ScriptedEndpoint(
            respond_with(without_length, then=then)
        ) as endpoint:
            route = make_route(RetryPolicy.NEVER)
            async with running_route(route, endpoint.address) as served:
                response = await send_request(served.port, "POST", body=b"order")
        assert response.status == status


async def test_truncated_response_is_a_failure():
    truncated = OK_RESPONSE[:-2]
    async with ScriptedEndpoint(respond_with(truncated, then=close_writer)) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, endpoint.address) as served:
            response = await send_request(served.port, "POST", body=b"order")
    assert response.status == 502


async def test_bytes_other_than_http_are_a_failure():
    async with ScriptedEndpoint(respond_with(b"\x00\x01nonsense\r\n\r\n")) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, endpoint.address) as served:
            response = await send_request(served.port, "POST", body=b"order")
    assert response.status == 502


def event_bytes(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)


def stream_head() -> bytes:
    return response_bytes(200, REQUEST_ID_HEADER, b"", length=False)


async def test_broken_stream_is_resumed_at_another_engine():
    """An engine crashes in the middle of an event.

    The caller must get each event once, in order, and a complete response.
    """
    partial_stream = stream_head() + event_bytes(1, 2) + b"id: 3\nda"
    remaining_stream = stream_head() + event_bytes(3, 4)
    async with (
        ScriptedEndpoint(respond_with(partial_stream, then=reset)) as first,
        ScriptedEndpoint(respond_with(remaining_stream, then=close_writer)) as second,
    ):
        route = make_route(RetryPolicy.RESUME, stream=True)
        async with running_route(route, first.address, second.address) as served:
            response = await send_request(served.port, "POST", body=b"prompt")
    assert (response.body, response.complete) == (event_bytes(1, 2, 3, 4), True)
    assert second.received[0].headers["last-event-id"] == "2"


async def test_broken_stream_that_cannot_be_resumed_ends_incomplete():
    partial_stream = stream_head() + event_bytes(1, 2)
    async with (
        ScriptedEndpoint(respond_with(partial_stream, then=reset)) as first,
        ScriptedEndpoint(respond_with(OK_RESPONSE)) as second,
    ):
        route = make_route(RetryPolicy.NEVER, stream=True)
        async with running_route(route, first.address, second.address) as served:
            response = await send_request(served.port, "POST", body=b"prompt")
    assert response.body == event_bytes(1, 2)
    assert not response.complete
    assert not second.received


async def test_engine_is_released_when_the_caller_disconnects():
    """A caller disconnects while the engine works on its request.

    Otherwise the engine would occupy a slot that other requests wait for.
    """
    async with ScriptedEndpoint(never_respond) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, endpoint.address) as served:
            request = asyncio.create_task(
                send_request(served.port, "POST", body=b"order")
            )
            while not endpoint.received:
                await asyncio.sleep(0.01)
            request.cancel()
            async with asyncio.timeout(0.5):
                await endpoint.client_disconnected.wait()


async def test_engine_is_released_at_the_deadline():
    async with ScriptedEndpoint(never_respond) as endpoint:
        route = make_route(RetryPolicy.NEVER, timeout=0.2)
        async with running_route(route, endpoint.address) as served:
            async with asyncio.timeout(0.7):
                response = await send_request(served.port, "POST", body=b"order")
                await endpoint.client_disconnected.wait()
    assert response.status == 504


async def test_endpoint_receives_the_remaining_time():
    async with ScriptedEndpoint(respond_with(OK_RESPONSE)) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, endpoint.address) as served:
            await send_request(
                served.port, "POST", {"X-Deadline-Seconds": "2"}, b"order"
            )
    remaining = float(endpoint.received[0].headers["x-deadline-seconds"])
    assert 1.5 < remaining < 2.0


async def test_request_without_a_reachable_endpoint_is_refused():
    """No endpoint accepts a connection, so 503 correctly promises that nothing ran."""
    async with ScriptedEndpoint(respond_with(OK_RESPONSE)) as endpoint:
        address = endpoint.address
    route = make_route(RetryPolicy.NEVER)
    async with running_route(route, address) as served:
        response = await send_request(served.port, "POST", body=b"order")
    assert response.status == 503


async def test_retries_stay_within_the_budget():
    """All endpoints fail; retries must not add to their load without limit."""
    failing = respond_with(response_bytes(500, REQUEST_ID_HEADER, b"no"))
    async with ScriptedEndpoint(failing) as first, ScriptedEndpoint(failing) as second:
        route = make_route(RetryPolicy.ANY)
        async with running_route(route, first.address, second.address) as served:
            limits = RetryLimits(0.2, 4.0, 10.0, 1.0)
            served.server._budget = RetryBudget(limits, started=-math.inf)
            for _ in range(30):
                await send_request(served.port)
    assert 4 <= len(second.received) <= 0.2 * 30 + 4


async def test_router_without_a_configuration_answers_503():
    """A router that has just started has no keys and no routes yet.

    A 401 or 404 would make callers give up instead of retrying.
    """
    async with running_route(make_route(RetryPolicy.ANY)) as served:
        served.server.routing = None
        response = await send_request(served.port)
    assert response.status == 503


async def test_unknown_keys_and_routes_are_rejected():
    route = make_route(RetryPolicy.ANY, public=False)
    async with (
        ScriptedEndpoint(respond_with(OK_RESPONSE)) as endpoint,
        running_route(route, endpoint.address) as served,
    ):
        unknown = await send_request(
            served.port, headers={"Authorization": "Bearer no"}
        )
        authorized = await send_request(
            served.port, headers={"Authorization": "Bearer key-1"}
        )
        elsewhere = await send_request(served.port, headers={"Host": "other.example"})
    assert (unknown.status, authorized.status, elsewhere.status) == (401, 200, 404)
    assert endpoint.received[0].headers["x-organisation"] == "cellar"
    assert "authorization" not in endpoint.received[0].headers


async def test_overloaded_router_refuses_at_once():
    """An overloaded router's work runs seconds late.

    An accepted request would reach an engine after its caller has given up.
    """
    async with ScriptedEndpoint(respond_with(OK_RESPONSE)) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, endpoint.address) as served:
            served.server.is_overloaded = lambda: True
            response = await send_request(served.port, "POST", body=b"order")
    assert response.status == 503
    assert 0 < float(response.headers["retry-after"]) < 0.5
    assert not endpoint.received


async def test_callers_are_asked_to_reconnect():
    """A caller keeps all its connections to one router, which can't keep up."""
    async with ScriptedEndpoint(respond_with(OK_RESPONSE)) as endpoint:
        route = make_route(RetryPolicy.ANY)
        async with running_route(route, endpoint.address) as served:
            kept = await send_request(served.port)
            served.front.reconnect_probability = lambda: 1.0
            moved = await send_request(served.port)
    assert "connection" not in kept.headers
    assert moved.headers["connection"] == "close"
    assert (moved.status, moved.body) == (200, b"fine")


async def test_nothing_is_sent_for_a_disconnected_caller():
    """A blocked router reads a request and its caller's close at the same time.

    Sent all the same, the request would occupy an engine for no caller, just when the
    router is overloaded.
    """
    async with ScriptedEndpoint(respond_with(OK_RESPONSE)) as endpoint:
        route = make_route(RetryPolicy.ANY)
        async with running_route(route, endpoint.address) as served:
            # opens a connection, so that the next request is sent at once
            await send_request(served.port)
            # the event loop does not run between the request and the close
            caller = socket.create_connection(("127.0.0.1", served.port))
            caller.sendall(
                b"GET /r/1 HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: q1\r\n\r\n"
            )
            caller.close()
            await asyncio.sleep(0.1)
    assert len(endpoint.received) == 1


async def test_endpoint_that_starts_leaving_gets_no_request():
    """The router is blocked between placing a request and sending it.

    Meanwhile it receives the endpoint's announcement that it is leaving. A request
    sent all the same arrives seconds later and may be cut off when the endpoint stops.
    """
    async with (
        ScriptedEndpoint(respond_with(OK_RESPONSE)) as first,
        ScriptedEndpoint(respond_with(OK_RESPONSE)) as second,
    ):
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, first.address, second.address) as served:
            served.placer.leaving.add("e1")
            response = await send_request(served.port, "POST", body=b"order")
    assert response.status == 200
    assert not first.received
    assert len(second.received) == 1


async def test_overloaded_router_closes_its_callers_connections():
    """Callers with many requests keep their connections to one overloaded router.

    It is no longer advertised and refuses them, and they retry on the same connections:
    their organisation would get a tenth of what others get.
    """
    route = make_route(RetryPolicy.ANY)
    async with (
        ScriptedEndpoint(respond_with(OK_RESPONSE)) as endpoint,
        running_route(route, endpoint.address) as served,
    ):
        served.server.is_overloaded = lambda: True
        response = await send_request(served.port)
    assert response.status == 503
    assert response.headers["connection"] == "close"


class VersionChangingPlacer:
    """Puts a new configuration in force between placing and sending."""

    def __init__(self, placer, server, routing) -> None:
        self._placer, self._server, self._routing = placer, server, routing

    def __getattr__(self, name):
        return getattr(self._placer, name)

    async def place(self, context):
        """Place a request, and then replace the configuration."""
        placed = await self._placer.place(context)
        self._server.routing = self._routing
        return placed


async def test_route_deleted_after_placement_is_not_used():
    """A configuration that deletes a route arrives between placing and sending."""
    other_route = make_route(RetryPolicy.NEVER, prefix="/other/")
    for routing, status in (
        (make_routing(other_route, 2), 404),
        (make_routing(make_route(RetryPolicy.NEVER, targets=(Target("new"),)), 2), 503),
        (make_routing(make_route(RetryPolicy.NEVER, public=False), 2), 401),
        (make_routing(make_route(RetryPolicy.NEVER), 2), 200),
    ):
        before = make_route(RetryPolicy.NEVER)
        async with (
            ScriptedEndpoint(respond_with(OK_RESPONSE)) as endpoint,
            running_route(before, endpoint.address) as served,
        ):
            server = served.server
            server._placer = VersionChangingPlacer(server._placer, server, routing)
            response = await send_request(served.port, "POST", body=b"order")
        assert response.status == status
        assert len(endpoint.received) == (status == 200)

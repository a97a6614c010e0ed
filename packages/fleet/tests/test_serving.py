"""Tests of one request's way through the router, over real connections."""

import asyncio
import socket

from teaselledge_fleet.process.budget import RetryBudget, RetryLimits
from teaselledge_fleet.version.routes import RetryPolicy, Target
from teaselledge_standins.routes import ask, make_route, make_routing, serving
from teaselledge_standins.scripted import (
    Received,
    ScriptedEndpoint,
    answer_bytes,
    reset,
)

OWN_ID = {"X-Request-Id": "q1"}
NOT_RUN = {"X-Not-Run": "1"}


def sends(*parts: bytes, then=None):
    """Return a script that sends parts, and then does something."""

    async def script(request: Received, writer: asyncio.StreamWriter) -> None:
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.005)
        if then is not None:
            then(writer)

    return script


def close(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def hangs(request: Received, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60)


GOOD = answer_bytes(200, OWN_ID, b"fine")


async def test_an_answer_comes_back_unchanged():
    async with ScriptedEndpoint(sends(GOOD)) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with serving(route, endpoint.address) as served:
            answered = await ask(served.port, "POST", body=b"order")
    assert (answered.status, answered.body, answered.whole) == (200, b"fine", True)
    assert endpoint.received[0].body == b"order"
    assert endpoint.received[0].headers["x-endpoint"] == "e1"


async def test_an_order_is_sent_once_when_its_answer_is_lost():
    """The endpoint runs an order and its connection is reset before the answer.

    Sending it again would file it twice; promising that it has not run would make
    the caller file it again.
    """
    async with (
        ScriptedEndpoint(sends(then=reset)) as first,
        ScriptedEndpoint(sends(GOOD)) as second,
    ):
        route = make_route(RetryPolicy.NEVER)
        async with serving(route, first.address, second.address) as served:
            answered = await ask(served.port, "POST", body=b"order")
    assert answered.status == 502
    assert "retry-after" not in answered.headers
    assert len(first.received) == 1
    assert not second.received


async def test_a_lookup_goes_elsewhere_when_its_answer_is_lost():
    async with (
        ScriptedEndpoint(sends(then=reset)) as first,
        ScriptedEndpoint(sends(GOOD)) as second,
    ):
        route = make_route(RetryPolicy.ANY)
        async with serving(route, first.address, second.address) as served:
            answered = await ask(served.port)
    assert (answered.status, answered.body) == (200, b"fine")
    assert len(first.received) == len(second.received) == 1


async def test_a_declined_order_may_go_elsewhere():
    declined = answer_bytes(503, NOT_RUN, b"")
    async with (
        ScriptedEndpoint(sends(declined)) as first,
        ScriptedEndpoint(sends(GOOD)) as second,
    ):
        route = make_route(RetryPolicy.NEVER)
        async with serving(route, first.address, second.address) as served:
            answered = await ask(served.port, "POST", body=b"order")
    assert (answered.status, answered.body) == (200, b"fine")


async def test_a_refusal_that_is_no_promise_is_not_passed_on():
    """A failing endpoint answers 503 without saying that it has not run the order.

    Passed on, the status would promise the caller that it may be filed again.
    """
    async with ScriptedEndpoint(sends(answer_bytes(503, OWN_ID, b""))) as endpoint:
        route = make_route(RetryPolicy.NEVER, attempts=1)
        async with serving(route, endpoint.address) as served:
            answered = await ask(served.port, "POST", body=b"order")
    assert answered.status == 502


async def test_a_declined_order_is_refused_with_a_time_to_return():
    declined = answer_bytes(503, NOT_RUN, b"")
    async with ScriptedEndpoint(sends(declined)) as endpoint:
        route = make_route(RetryPolicy.NEVER, attempts=1)
        async with serving(route, endpoint.address) as served:
            answered = await ask(served.port, "POST", body=b"order")
    assert answered.status == 503
    assert float(answered.headers["retry-after"]) > 0


async def test_another_requests_answer_is_skipped():
    """An engine answers an earlier request a second time on a kept connection.

    Without a look at the id its answer would go to the next caller.
    """
    foreign = answer_bytes(200, {"X-Request-Id": "q0"}, b"not yours")
    async with ScriptedEndpoint(sends(foreign + GOOD)) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with serving(route, endpoint.address) as served:
            answered = await ask(served.port, "POST", body=b"order")
    assert (answered.status, answered.body) == (200, b"fine")


async def test_a_connection_with_surplus_bytes_is_not_used_again():
    """Bytes follow a whole answer, at once or later, and belong to no request."""
    for script in (sends(GOOD + GOOD), sends(GOOD, GOOD)):
        async with ScriptedEndpoint(script) as endpoint:
            route = make_route(RetryPolicy.ANY)
            async with serving(route, endpoint.address) as served:
                await ask(served.port)
                await asyncio.sleep(0.05)
                endpoint.script = sends(GOOD)
                answered = await ask(served.port)
        assert answered.body == b"fine"
        assert endpoint.connections == 2


async def test_an_answer_without_length_is_whole_at_a_clean_end_only():
    """An answer has no length and ends with its connection.

    After a reset a part of it may be missing, and it must not look complete.
    """
    unframed = answer_bytes(200, OWN_ID, b"fine", length=False)
    for then, status in ((close, 200), (reset, 502)):
        async with ScriptedEndpoint(sends(unframed, then=then)) as endpoint:
            route = make_route(RetryPolicy.NEVER)
            async with serving(route, endpoint.address) as served:
                answered = await ask(served.port, "POST", body=b"order")
        assert answered.status == status


async def test_a_truncated_answer_is_a_failure():
    truncated = GOOD[:-2]
    async with ScriptedEndpoint(sends(truncated, then=close)) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with serving(route, endpoint.address) as served:
            answered = await ask(served.port, "POST", body=b"order")
    assert answered.status == 502


async def test_bytes_that_are_no_answer_are_a_failure():
    async with ScriptedEndpoint(sends(b"\x00\x01nonsense\r\n\r\n")) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with serving(route, endpoint.address) as served:
            answered = await ask(served.port, "POST", body=b"order")
    assert answered.status == 502


def events(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)


def stream_head() -> bytes:
    return answer_bytes(200, OWN_ID, b"", length=False)


async def test_a_broken_stream_goes_on_at_another_engine():
    """An engine crashes in the middle of an event.

    The caller gets each event once, in order, and a whole answer.
    """
    first_part = stream_head() + events(1, 2) + b"id: 3\nda"
    rest = stream_head() + events(3, 4)
    async with (
        ScriptedEndpoint(sends(first_part, then=reset)) as first,
        ScriptedEndpoint(sends(rest, then=close)) as second,
    ):
        route = make_route(RetryPolicy.RESUME, stream=True)
        async with serving(route, first.address, second.address) as served:
            answered = await ask(served.port, "POST", body=b"prompt")
    assert (answered.body, answered.whole) == (events(1, 2, 3, 4), True)
    assert second.received[0].headers["last-event-id"] == "2"


async def test_a_broken_stream_that_can_not_go_on_ends_visibly():
    first_part = stream_head() + events(1, 2)
    async with (
        ScriptedEndpoint(sends(first_part, then=reset)) as first,
        ScriptedEndpoint(sends(GOOD)) as second,
    ):
        route = make_route(RetryPolicy.NEVER, stream=True)
        async with serving(route, first.address, second.address) as served:
            answered = await ask(served.port, "POST", body=b"prompt")
    assert answered.body == events(1, 2)
    assert not answered.whole
    assert not second.received


async def test_an_engine_is_released_when_its_caller_leaves():
    """A caller closes its connection while the engine works.

    The engine would go on for nobody, and others would wait for its slot.
    """
    async with ScriptedEndpoint(hangs) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with serving(route, endpoint.address) as served:
            asking = asyncio.create_task(ask(served.port, "POST", body=b"order"))
            while not endpoint.received:
                await asyncio.sleep(0.01)
            asking.cancel()
            async with asyncio.timeout(0.5):
                await endpoint.left.wait()


async def test_an_engine_is_released_when_the_time_is_over():
    async with ScriptedEndpoint(hangs) as endpoint:
        route = make_route(RetryPolicy.NEVER, timeout=0.2)
        async with serving(route, endpoint.address) as served:
            async with asyncio.timeout(0.7):
                answered = await ask(served.port, "POST", body=b"order")
                await endpoint.left.wait()
    assert answered.status == 504


async def test_the_time_given_to_an_endpoint_is_what_is_left():
    async with ScriptedEndpoint(sends(GOOD)) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with serving(route, endpoint.address) as served:
            await ask(served.port, "POST", {"X-Deadline-Seconds": "2"}, b"order")
    left = float(endpoint.received[0].headers["x-deadline-seconds"])
    assert 1.5 < left < 2.0


async def test_a_request_that_reached_no_endpoint_is_truly_refused():
    """No endpoint accepts a connection, so nothing can have run."""
    async with ScriptedEndpoint(sends(GOOD)) as endpoint:
        address = endpoint.address
    route = make_route(RetryPolicy.NEVER)
    async with serving(route, address) as served:
        answered = await ask(served.port, "POST", body=b"order")
    assert answered.status == 503


async def test_repeats_stay_inside_the_budget():
    """All endpoints fail; repeats must not add to their load without bound."""
    failing = sends(answer_bytes(500, OWN_ID, b"no"))
    async with ScriptedEndpoint(failing) as first, ScriptedEndpoint(failing) as second:
        route = make_route(RetryPolicy.ANY)
        async with serving(route, first.address, second.address) as served:
            served.server._budget = RetryBudget(RetryLimits(0.2, 4.0, 10.0, 1.0))
            for _ in range(30):
                await ask(served.port)
    assert 4 <= len(second.received) <= 0.2 * 30 + 4


async def test_without_a_configuration_nothing_is_denied():
    """A router that has just started knows no keys and no routes yet.

    A 401 or 404 would tell callers not to come back.
    """
    async with serving(make_route(RetryPolicy.ANY)) as served:
        served.server.routing = None
        answered = await ask(served.port)
    assert answered.status == 503


async def test_unknown_keys_and_routes_are_denied():
    route = make_route(RetryPolicy.ANY, public=False)
    async with (
        ScriptedEndpoint(sends(GOOD)) as endpoint,
        serving(route, endpoint.address) as served,
    ):
        unknown = await ask(served.port, headers={"Authorization": "Bearer no"})
        known = await ask(served.port, headers={"Authorization": "Bearer key-1"})
        elsewhere = await ask(served.port, headers={"Host": "other.example"})
    assert (unknown.status, known.status, elsewhere.status) == (401, 200, 404)
    assert endpoint.received[0].headers["x-organisation"] == "cellar"
    assert "authorization" not in endpoint.received[0].headers


async def test_a_router_that_is_held_up_refuses_at_once():
    """A router's processor is used up, and its work runs seconds late.

    A request would reach an engine after its caller has given up.
    """
    async with ScriptedEndpoint(sends(GOOD)) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with serving(route, endpoint.address) as served:
            served.server.is_overloaded = lambda: True
            answered = await ask(served.port, "POST", body=b"order")
    assert answered.status == 503
    assert 0 < float(answered.headers["retry-after"]) < 0.5
    assert not endpoint.received


async def test_callers_are_moved_away_from_a_crowded_router():
    """A caller keeps all its connections at one router, which can't keep up."""
    async with ScriptedEndpoint(sends(GOOD)) as endpoint:
        route = make_route(RetryPolicy.ANY)
        async with serving(route, endpoint.address) as served:
            calm = await ask(served.port)
            served.front.reconnect_probability = lambda: 1.0
            crowded = await ask(served.port)
    assert "connection" not in calm.headers
    assert crowded.headers["connection"] == "close"
    assert (crowded.status, crowded.body) == (200, b"fine")


async def test_nothing_is_sent_for_a_caller_that_left_unnoticed():
    """A late router reads a request and its caller's close at the same time.

    The engine would work for nobody, on a router and at a moment that have no room.
    """
    async with ScriptedEndpoint(sends(GOOD)) as endpoint:
        route = make_route(RetryPolicy.ANY)
        async with serving(route, endpoint.address) as served:
            # a kept connection, so that the next request goes out at once
            await ask(served.port)
            # the router's loop gets no turn between the request and the close
            caller = socket.create_connection(("127.0.0.1", served.port))
            caller.sendall(
                b"GET /r/1 HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: q1\r\n\r\n"
            )
            caller.close()
            await asyncio.sleep(0.1)
    assert len(endpoint.received) == 1


async def test_an_endpoint_that_leaves_meanwhile_gets_no_request():
    """The router is held up between choosing an endpoint and sending to it.

    Meanwhile it learns that the endpoint is leaving; sent all the same, the request
    reaches it seconds later and may be cut off when it stops.
    """
    async with (
        ScriptedEndpoint(sends(GOOD)) as first,
        ScriptedEndpoint(sends(GOOD)) as second,
    ):
        route = make_route(RetryPolicy.NEVER)
        async with serving(route, first.address, second.address) as served:
            served.placer.leaving.add("e1")
            answered = await ask(served.port, "POST", body=b"order")
    assert answered.status == 200
    assert not first.received
    assert len(second.received) == 1


async def test_a_router_that_is_held_up_sends_its_callers_elsewhere():
    """Callers with much to ask keep their connections to one router.

    It is named to nobody any more and refuses them, and they come back to it each time:
    their organisation gets a tenth of what others get.
    """
    route = make_route(RetryPolicy.ANY)
    async with (
        ScriptedEndpoint(sends(GOOD)) as endpoint,
        serving(route, endpoint.address) as served,
    ):
        served.server.is_overloaded = lambda: True
        answered = await ask(served.port)
    assert answered.status == 503
    assert answered.headers["connection"] == "close"


class NewVersion:
    """Puts a version in force between placing and sending."""

    def __init__(self, placer, server, routing) -> None:
        self._placer, self._server, self._routing = placer, server, routing

    def __getattr__(self, name):
        return getattr(self._placer, name)

    async def place(self, context):
        """Place, and then let the version come."""
        placed = await self._placer.place(context)
        self._server.routing = self._routing
        return placed


async def test_a_route_that_is_dropped_meanwhile_is_not_used():
    """A version that drops a route comes between choosing an endpoint and sending."""
    kept = make_route(RetryPolicy.NEVER, prefix="/other/")
    for routing, status in (
        (make_routing(kept, 2), 404),
        (make_routing(make_route(RetryPolicy.NEVER, targets=(Target("new"),)), 2), 503),
        (make_routing(make_route(RetryPolicy.NEVER, public=False), 2), 401),
        (make_routing(make_route(RetryPolicy.NEVER), 2), 200),
    ):
        before = make_route(RetryPolicy.NEVER)
        async with (
            ScriptedEndpoint(sends(GOOD)) as endpoint,
            serving(before, endpoint.address) as served,
        ):
            server = served.server
            server._placer = NewVersion(server._placer, server, routing)
            answered = await ask(served.port, "POST", body=b"order")
        assert answered.status == status
        assert len(endpoint.received) == (status == 200)

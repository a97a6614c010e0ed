"""Tests of heads that hold values which a decoder does not expect."""

import asyncio

from teaselledge_fleet.connection.endpoint import EndpointConnection
from teaselledge_fleet.request.context import Outcome
from teaselledge_fleet.request.defaultcodec import DefaultHeaderCodec
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.routes import make_route, running_route, send_request
from teaselledge_standins.scripted import ScriptedEndpoint, response_bytes
from tornado.httputil import HTTPHeaders

ANSWER_SECONDS = 2.0
"""Less than half of the time limit of the route."""


async def get(keep_alive: str) -> tuple[int, list[Outcome]]:
    """Return the status of a response whose head holds a keep-alive time."""

    async def respond(request, writer) -> None:
        headers = {"X-Request-Id": "q1", "Keep-Alive": keep_alive}
        writer.write(response_bytes(200, headers, b"whole"))

    async with ScriptedEndpoint(respond) as endpoint:
        route = make_route(RetryPolicy.NEVER)
        async with running_route(route, endpoint.address) as served:
            async with asyncio.timeout(ANSWER_SECONDS):
                response = await send_request(served.port, "POST", body=b"order")
            return response.status, served.placer.outcomes


async def test_a_keep_alive_time_that_is_no_number_is_ignored():
    """The caller waited until its deadline, as the connection's reader had ended."""
    for keep_alive in ("timeout=\u00b2", "timeout=" + "9" * 5000, "timeout=x", "="):
        assert await get(keep_alive) == (200, [Outcome.WHOLE])


async def test_an_error_in_the_reader_of_a_response_ends_the_attempt_at_once():
    """Whatever the reader raises, its caller does not wait until the deadline."""

    def fail(self, headers) -> None:
        raise ArithmeticError

    update, EndpointConnection.update_keep_alive = (
        EndpointConnection.update_keep_alive,
        fail,
    )
    try:
        assert await get("timeout=4") == (502, [Outcome.LOST])
    finally:
        EndpointConnection.update_keep_alive = update


def test_a_deadline_that_is_no_finite_number_is_ignored():
    """One that is not a number stopped the timers of the event loop."""
    for text in ("nan", "inf", "-inf", "1e999"):
        headers = HTTPHeaders({"X-Deadline-Seconds": text})
        request = DefaultHeaderCodec().decode_request("GET", "/r/1", headers)
        assert request.timeout_seconds is None

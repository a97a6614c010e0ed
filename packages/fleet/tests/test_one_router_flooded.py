"""Tests of a router to which all callers of an organisation connect.

An organisation requested 18 million tokens in 6 s and was allocated 2.2 million, while
another one was allocated 8.3 million. In each zone all of its callers connected to the
same router, whichever addresses were advertised. That router had no CPU time left and
refused them; its 61 peers used a tenth to a third of theirs.

A router could only refuse connections that it had no time for, and a refusal took a
sixth of the time of serving. At 800 new connections a second it did nothing else, read
the messages of other routers seconds late and considered all of them silent. Refused
requests did not count as requested tokens, so no other organisation was over its share.
The connection log had 16,739 requests of the organisation to one router, on 12,152
connections from 28 addresses; the same addresses sent requests of other organisations
to all eleven routers.
"""

import asyncio

from teaselledge_fleet.connection.front import ReceivedRequest
from teaselledge_fleet.connection.pool import ConnectionPool
from teaselledge_fleet.process.budget import RetryBudget
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.placing import FleetPlacer
from teaselledge_fleet.process.shares import TokenUsage
from teaselledge_fleet.process.work import name_hash
from teaselledge_fleet.request.call import CallerRequest, Prompt
from teaselledge_fleet.request.defaultcodec import DefaultHeaderCodec
from teaselledge_fleet.request.serving import RequestProxy
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import running_routers
from teaselledge_standins.routes import make_route, make_routing, send_request
from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    response_bytes,
)
from tornado.httputil import HTTPHeaders, RequestStartLine

REQUESTS = 30
SETTLED_SECONDS = 1.5
"""Time in which routers exchange heartbeats with their utilisation."""


async def echo(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(response_bytes(200, headers, b"fine"))


async def test_peers_serve_the_callers_of_an_overloaded_router():
    async with ScriptedEndpoint(echo) as engine:
        endpoints = [Endpoint("e1", "books", engine.address, "north-a", 40)]
        routing = make_routing(make_route(RetryPolicy.ANY))
        async with running_routers(3, routing, endpoints) as routers:
            overloaded = routers[0]
            overloaded.simulate_saturation()
            await asyncio.sleep(SETTLED_SECONDS)
            served = 0
            for number in range(REQUESTS):
                headers = {"X-Request-Id": f"q{number}"}
                response = await send_request(overloaded.port, headers=headers)
                served += response.status == 200
    # an organisation is entitled to at least half of what the best served one gets
    assert served >= REQUESTS / 2, f"{served} of {REQUESTS} served"


class PromptHeaderCodec(DefaultHeaderCodec):
    """Decodes requests with a prompt of 1,000 tokens and 100 output tokens."""

    def decode_request(
        self, method: str, target: str, headers: HTTPHeaders
    ) -> CallerRequest:
        """Return a request with a prompt."""
        prompt = Prompt(1000, 100)
        return CallerRequest(
            "q", method, target, "books.example", headers, "key-1", 5.0, prompt
        )


class ResponseRecorder:
    """Records the status of a response."""

    reconnect_probability = 0.0

    async def start(self, status, headers, chunk=None) -> None:
        """Record the status."""
        self.status = status

    def finish(self) -> None:
        """Do nothing."""


async def test_requests_that_an_overloaded_router_refuses_count_as_requested():
    """Otherwise a refused organisation would appear to request nothing.

    Its share would be divided among the others, and none of them would be over theirs.
    """
    placer = FleetPlacer(EndpointView(), "north-a", {"north-a": "north"})
    server = RequestProxy(PromptHeaderCodec(), ConnectionPool(), placer, RetryBudget())
    server.routing = make_routing(
        make_route(RetryPolicy.ANY, carries_prompt=True, public=False)
    )
    server.is_overloaded = lambda: True
    start_line = RequestStartLine("GET", "/r/1", "HTTP/1.1")
    now = asyncio.get_running_loop().time()
    received = ReceivedRequest(start_line, HTTPHeaders(), now)
    recorder = ResponseRecorder()
    await server.handle(received, recorder)
    assert recorder.status == 503
    assert placer.shares.local() == {name_hash("cellar"): TokenUsage(1200, 0)}

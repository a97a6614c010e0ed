"""One organisation's callers may all connect to one router.

An organisation asked for 18 million tokens in 6 s and received 2.2 million, while
another one received 8.3 million. In each zone all of its callers connected to the same
router, whichever addresses they were told. That router had no processor time left and
refused them; its 61 neighbours used a tenth to a third of theirs.

A router could only refuse what it had no time for, and refusing took a sixth of the
time of serving: at 800 new connections a second it did nothing else, read the messages
of other routers seconds late and took all of them for silent. What it refused was not
counted as asked for, so the others were held to no share. The log of each connection
told so: 16,739 requests of the organisation to one router on 12,152 connections from 28
addresses, while the same addresses sent other organisations' requests to all eleven.
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
"""Time in which routers hear one another and how busy each is."""


async def echo(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(response_bytes(200, headers, b"fine"))


async def test_neighbours_serve_the_callers_of_a_router_without_processor_time():
    async with ScriptedEndpoint(echo) as engine:
        endpoints = [Endpoint("e1", "books", engine.address, "north-a", 40)]
        routing = make_routing(make_route(RetryPolicy.ANY))
        async with running_routers(3, routing, endpoints) as routers:
            flooded = routers[0]
            flooded.simulate_saturation()
            await asyncio.sleep(SETTLED_SECONDS)
            served = 0
            for number in range(REQUESTS):
                headers = {"X-Request-Id": f"q{number}"}
                answered = await send_request(flooded.port, headers=headers)
                served += answered.status == 200
    # an organisation is owed at least half of what the best served one gets
    assert served >= REQUESTS / 2, f"{served} of {REQUESTS} served"


class PromptDialect(DefaultHeaderCodec):
    """Reads a prompt of 1,000 tokens, of which 100 are generated."""

    def decode_request(
        self, method: str, target: str, headers: HTTPHeaders
    ) -> CallerRequest:
        """Return a request with a prompt."""
        prompt = Prompt(1000, 100)
        return CallerRequest(
            "q", method, target, "books.example", headers, "key-1", 5.0, prompt
        )


class Refusals:
    """Takes answers."""

    reconnect_probability = 0.0

    async def start(self, status, headers, chunk=None) -> None:
        """Keep the status."""
        self.status = status

    def finish(self) -> None:
        """Do nothing."""


async def test_requests_that_a_busy_router_refuses_count_as_asked_for():
    """Otherwise an organisation that is refused looks as if it wanted nothing.

    Its share is then divided among the others, and nobody is over theirs.
    """
    placer = FleetPlacer(EndpointView(), "north-a", {"north-a": "north"})
    server = RequestProxy(PromptDialect(), ConnectionPool(), placer, RetryBudget())
    server.routing = make_routing(
        make_route(RetryPolicy.ANY, carries_prompt=True, public=False)
    )
    server.is_overloaded = lambda: True
    line = RequestStartLine("GET", "/r/1", "HTTP/1.1")
    now = asyncio.get_running_loop().time()
    incoming = ReceivedRequest(line, HTTPHeaders(), now)
    answers = Refusals()
    await server.handle(incoming, answers)
    assert answers.status == 503
    assert placer.shares.local() == {name_hash("cellar"): TokenUsage(1200, 0)}

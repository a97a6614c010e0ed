"""A route, a placer and a client for tests of the request path."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from expression import Error, Ok, Result
from teaselledge_fleet.connection.front import FrontServer
from teaselledge_fleet.connection.pool import ConnectionPool
from teaselledge_fleet.connection.sendbuffers import SendBuffers
from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.process.budget import RetryBudget
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.request.call import CallerRequest, EndpointSignal
from teaselledge_fleet.request.context import Outcome, Placement, RequestContext
from teaselledge_fleet.request.defaultcodec import DefaultHeaderCodec
from teaselledge_fleet.request.serving import RequestProxy
from teaselledge_fleet.version.routes import (
    Organisation,
    RetryPolicy,
    Route,
    RoutingConfiguration,
    ServiceConfiguration,
    Target,
)

__all__ = [
    "HOST",
    "ClientResponse",
    "SequentialPlacer",
    "RunningRoute",
    "send_request",
    "make_route",
    "make_routing",
    "running_route",
]

HOST = "books.example"


def make_route(repeat: RetryPolicy, stream: bool = False, **changes: object) -> Route:
    """Return a route to the service ``books``."""
    fields: dict[str, object] = {
        "name": "r",
        "host": HOST,
        "prefix": "/r/",
        "retry_policy": repeat,
        "stream": stream,
        "carries_prompt": False,
        "timeout": 5.0,
        "latency_objective": 0.5,
        "event_gap_objective": 0.4,
        "attempts": 2,
        "priority": 1,
        "public": True,
        "targets": (Target("books"),),
    }
    return Route(**{**fields, **changes})  # type: ignore[arg-type]


def make_routing(route: Route, version: int = 1) -> RoutingConfiguration:
    """Return a configuration with one route."""
    return RoutingConfiguration(
        version,
        (route,),
        {"books": ServiceConfiguration("books", "/healthz", 10)},
        (Organisation("cellar", ("key-1",)),),
    )


@dataclass
class SequentialPlacer:
    """Places each attempt on the first endpoint of a list that was not attempted.

    Attributes
    ----------
    outcomes : list of Outcome
        Outcomes of the attempts, in order of ending.
    leaving : set of str
        Endpoints that accept no requests.
    inside_share : bool
        Whether organisations are inside their share.
    superseded : list of str
        Endpoints of attempts in whose place another one went on.
    """

    endpoints: list[Endpoint]
    outcomes: list[Outcome] = field(default_factory=list)
    leaving: set[str] = field(default_factory=set)
    inside_share: bool = True
    superseded: list[str] = field(default_factory=list)

    def record_demand(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Do nothing."""

    def record_shed(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Do nothing."""

    async def place(self, context: RequestContext) -> Result[Placement, Fault]:
        """Return the first endpoint that the request was not sent to."""
        for endpoint in self.endpoints:
            if endpoint.id not in context.attempted_endpoints:
                return Ok(Placement(endpoint))
        return Error(Fault(FaultKind.NO_ENDPOINT, 0.5))

    async def place_hedge(self, context: RequestContext) -> Placement | None:
        """Return the first endpoint that the request was not sent to."""
        placed = await self.place(context)
        return placed.ok if placed.is_ok() else None

    def is_inside_share(self, context: RequestContext) -> bool:
        """Return the attribute `inside_share`."""
        return self.inside_share

    def may_send(self, context: RequestContext, endpoint: Endpoint) -> bool:
        """Whether the endpoint is not leaving."""
        return endpoint.id not in self.leaving

    def on_signal(self, endpoint: Endpoint, signal: EndpointSignal) -> None:
        """Do nothing."""

    def on_response_started(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Do nothing."""

    def on_attempt_ended(
        self, context: RequestContext, endpoint: Endpoint, outcome: Outcome
    ) -> None:
        """Record the outcome."""
        self.outcomes.append(outcome)

    def on_attempt_superseded(
        self, context: RequestContext, endpoint: Endpoint
    ) -> None:
        """Record the endpoint."""
        self.superseded.append(endpoint.id)


@dataclass
class RunningRoute:
    """A router's request path, listening on loopback."""

    server: RequestProxy
    placer: SequentialPlacer
    front: FrontServer
    port: int


@asynccontextmanager
async def running_route(
    route: Route, *addresses: str, send_buffers: SendBuffers | None = None
) -> AsyncIterator[RunningRoute]:
    """Serve one route with endpoints e1, e2, ... at the given addresses."""
    endpoints = [
        Endpoint(f"e{number}", "books", address, "north", 4)
        for number, address in enumerate(addresses, 1)
    ]
    pool = ConnectionPool(send_buffers=send_buffers)
    placer = SequentialPlacer(endpoints)
    server = RequestProxy(DefaultHeaderCodec(), pool, placer, RetryBudget())
    server.routing = make_routing(route)
    front = FrontServer(server.handle, 1 << 16, 1 << 20, 15.0, send_buffers)
    front.listen("127.0.0.1", 0)
    port = front.ports[0]
    try:
        yield RunningRoute(server, placer, front, port)
    finally:
        front.stop()
        await front.close()
        pool.close()


@dataclass(frozen=True)
class ClientResponse:
    """A response as the client received it.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no response was received.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        Received body. Of a chunked body, the complete chunks; of one with a length,
        empty unless all of it was received.
    complete : bool
        Whether the body was received up to its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def send_request(
    port: int,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> ClientResponse:
    """Send a request on a new connection and read the response to its end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    fields = {"Host": HOST, "X-Request-Id": "q1", **(headers or {})}
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} /r/1 HTTP/1.1"] + [f"{n}: {v}" for n, v in fields.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    try:
        return await _read_response(reader)
    finally:
        writer.close()


async def _read_response(reader: asyncio.StreamReader) -> ClientResponse:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except (asyncio.IncompleteReadError, ConnectionError):
        return ClientResponse(0, {}, b"", False)
    line, *rest = head.split("\r\n")
    pairs = [item.split(":", 1) for item in rest if ":" in item]
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    status = int(line.split()[1])
    if "content-length" in headers:
        length = int(headers["content-length"])
        try:
            return ClientResponse(
                status, headers, await reader.readexactly(length), True
            )
        except (asyncio.IncompleteReadError, ConnectionError):
            return ClientResponse(status, headers, b"", False)
    body, whole = await _read_chunks(reader)
    return ClientResponse(status, headers, body, whole)


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += chunk[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False

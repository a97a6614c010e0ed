"""Run one request: find its route, place it, send it, pass the answer on."""

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from teaselledge_fleet.connection.endpoint import (
    Exchange,
    IncompleteResponseError,
    SendFailure,
)
from teaselledge_fleet.connection.front import ReceivedRequest, ResponseWriter
from teaselledge_fleet.connection.pool import ConnectionPool
from teaselledge_fleet.faults import (
    FAULT_RESPONSES,
    Fault,
    FaultKind,
    fault_body,
    fault_headers,
)
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.budget import RetryBudget
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.request.call import (
    CallerRequest,
    ForwardingInfo,
    HeaderCodec,
    ResponseHead,
)
from teaselledge_fleet.request.context import Outcome, Placement, Placer, RequestContext
from teaselledge_fleet.request.events import EventSplitter
from teaselledge_fleet.version.routes import (
    Organisation,
    RetryPolicy,
    Route,
    RoutingConfiguration,
)

__all__ = ["RequestProxy"]

_log = get_log("serving")

SUCCESS = range(200, 300)
SERVER_ERROR = 500
NO_BODY = frozenset({204, 304})
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run."""

LEAVING_RETRY_SECONDS = 0.05
"""Another router can take the request now."""

STARTING_RETRY_SECONDS = 0.15
"""A router that starts has a configuration after 0.1 to 0.3 s."""

BUSY_RETRY_SECONDS = 0.2
"""The caller tries another router; half of the time for which this one refuses."""

RESPONSE_TRANSIT_SECONDS = 0.02
"""Taken off the time given to an endpoint, for the way of its answer back."""


def resolve_route(
    routing: RoutingConfiguration, call: CallerRequest
) -> Result[tuple[Route, Organisation | None], Fault]:
    """Return the route of a request and whose it is, or why it is not allowed."""
    route = routing.find_route(call.host, call.path)
    if route is None:
        return Error(Fault(FaultKind.NO_ROUTE))
    organisation = routing.find_organisation(call.key) if call.key else None
    if organisation is None and routing.organisations and not route.public:
        return Error(Fault(FaultKind.UNKNOWN_KEY))
    return Ok((route, organisation))


class RequestProxy:
    """Serves requests of callers.

    Attributes
    ----------
    routing : Routing or None
        The configuration in force.
    leaving : bool
        Whether new requests are refused because the router is about to stop.
    is_overloaded : callable
        Whether the router's own work is held up. It then refuses at once: what it
        took would reach an engine after its caller has left, and the work on it
        would hold up the next.
    """

    def __init__(
        self,
        dialect: HeaderCodec,
        pool: ConnectionPool,
        placer: Placer,
        budget: RetryBudget,
        metrics: FleetMetrics | None = None,
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._placer = placer
        self._budget = budget
        self._metrics = metrics or FleetMetrics()
        self.routing: RoutingConfiguration | None = None
        self.leaving = False
        self.is_overloaded: Callable[[], bool] = lambda: False

    async def handle(self, incoming: ReceivedRequest, sink: ResponseWriter) -> None:
        """Run a request and answer it."""
        call = self._dialect.decode_request(
            incoming.method, incoming.target, incoming.headers
        )
        admitted = self._admit(call, incoming)
        if admitted.is_error():
            self._tell_refusal(call, incoming.remote_ip, admitted.error)
            await self._refuse(call, sink, admitted.error)
            return
        context = admitted.ok
        await _Run(self, context, sink).go()

    def _admit(
        self, call: CallerRequest, incoming: ReceivedRequest
    ) -> Result[RequestContext, Fault]:
        routing = self.routing
        origin = incoming.origin
        if routing is None or routing.version < (origin.min_version or 0):
            return Error(Fault(FaultKind.NOT_CONFIGURED, STARTING_RETRY_SECONDS))
        permitted = resolve_route(routing, call)
        if permitted.is_ok():
            # before anything is refused: whoever is refused most would otherwise look
            # as if it asked for least, and its share would go to the others
            self._placer.record_demand(call, permitted.ok[1], origin.sample_weight)
        if self.leaving:
            return Error(Fault(FaultKind.LEAVING, LEAVING_RETRY_SECONDS))
        if self.is_overloaded() or origin.overloaded:
            return Error(Fault(FaultKind.ROUTER_BUSY, BUSY_RETRY_SECONDS))
        if permitted.is_error():
            return Error(permitted.error)
        route, organisation = permitted.ok
        seconds = route.timeout
        if call.timeout_seconds is not None:
            seconds = min(seconds, call.timeout_seconds)
        draw = hash(call.id) % 997 / 997
        return Ok(
            RequestContext(
                call,
                incoming.body,
                route,
                route.choose_service(draw),
                organisation,
                incoming.arrived_at,
                incoming.arrived_at + seconds,
                version=routing.version,
            )
        )

    def _tell_refusal(self, call: CallerRequest, caller: str, fault: Fault) -> None:
        kind = fault.kind.value
        organisation = None
        if self.routing is not None and call.key:
            organisation = self.routing.find_organisation(call.key)
        self._metrics.increment("requests", outcome="refused", fault=kind, service="")
        _log.info(
            "request refused",
            id=call.id,
            fault=kind,
            caller=caller,
            organisation=organisation.name if organisation is not None else None,
            host=call.host,
            path=call.path,
            version=self.routing.version if self.routing is not None else 0,
            retry_after=fault.retry_after,
        )

    async def _refuse(
        self, call: CallerRequest, sink: ResponseWriter, fault: Fault
    ) -> None:
        if fault.kind is FaultKind.ROUTER_BUSY:
            # callers that keep their connections here would find it busy again, while
            # other routers of the zone have room
            sink.reconnect_probability = 1.0
        body = fault_body(fault)
        headers = fault_headers(
            fault, self._dialect.local_reply_headers(call), len(body)
        )
        chunk = None if call.method == "HEAD" else body
        await sink.start(FAULT_RESPONSES[fault.kind].status, headers, chunk)
        sink.finish()


class _Run:
    """The attempts of one request."""

    def __init__(
        self, server: RequestProxy, context: RequestContext, sink: ResponseWriter
    ) -> None:
        self._server = server
        self._context = context
        self._sink = sink
        self._splitter = EventSplitter() if context.route.stream else None
        self._fault: Fault | None = None
        self._last_part: float | None = None

    async def go(self) -> None:
        """Run the request to its end."""
        outcome, endpoint = Outcome.ABANDONED, None
        try:
            async with asyncio.timeout_at(self._context.deadline):
                outcome, endpoint = await self._attempts()
        except TimeoutError:
            await self._time_out()
        finally:
            self._tell(outcome, endpoint)

    async def _attempts(self) -> tuple[Outcome, Endpoint | None]:
        context = self._context
        while True:
            placed = await self._server._placer.place(context)
            if placed.is_error():
                await self._give_up(placed.error)
                return Outcome.DECLINED, None
            endpoint = placed.ok.endpoint
            outcome = Outcome.ABANDONED
            try:
                outcome = await self._attempt(placed.ok)
            finally:
                self._server._placer.on_attempt_ended(context, endpoint, outcome)
                self._server._metrics.increment(
                    "attempts", outcome=outcome.name.lower(), service=context.service
                )
            if outcome in (Outcome.WHOLE, Outcome.ABANDONED):
                return outcome, endpoint
            if not self._again(outcome):
                await self._give_up(self._last_fault(outcome))
                return outcome, endpoint

    async def _attempt(self, placement: Placement) -> Outcome:
        endpoint = placement.endpoint
        context = self._context
        server = self._server
        context.attempted_endpoints.append(endpoint.id)
        once = context.route.retry_policy is not RetryPolicy.ANY
        taken = await server._pool.acquire(endpoint.address, once)
        if taken.is_error():
            return Outcome.UNSENT
        if self._sink.disconnected:
            return Outcome.ABANDONED
        if not server._placer.accepts_requests(endpoint):
            _log.info("endpoint left", id=context.request.id, endpoint=endpoint.id)
            return Outcome.UNSENT
        outdated = self._outdated()
        if outdated is not None:
            await self._give_up(outdated)
            return Outcome.ABANDONED
        if context.send_count == 0:
            server._budget.record_first_attempt(context.service)
        context.send_count += 1
        _log.info(
            "attempt sent",
            id=context.request.id,
            endpoint=endpoint.id,
            address=endpoint.address,
            send=context.send_count,
            fetch_from=placement.fetch_from,
            **placement.log_fields,
        )
        before = context.may_have_run
        context.may_have_run = True
        onward = self._onward(placement)
        headers = server._dialect.endpoint_request_headers(context.request, onward)
        exchange = taken.ok.send_request(
            context.request, server._dialect, headers, context.body
        )
        try:
            head = await exchange.head()
            if head.is_error():
                return self._lost(head.error)
            if head.ok.declined:
                context.may_have_run = before
                return Outcome.DECLINED
            return await self._pass_on(endpoint, head.ok, exchange)
        finally:
            exchange.cancel()

    def _outdated(self) -> Fault | None:
        """Return why the configuration in force forbids what was decided before it.

        A router that is held up sends seconds after it has decided. Its callers would
        see an old version in force, and engines get requests of routes that are gone.
        """
        context, routing = self._context, self._server.routing
        if routing is None or routing.version == context.version or context.send_count:
            return None
        permitted = resolve_route(routing, context.request)
        if permitted.is_error():
            return permitted.error
        route, _ = permitted.ok
        if all(target.service != context.service for target in route.targets):
            return Fault(FaultKind.NOT_CONFIGURED, STARTING_RETRY_SECONDS)
        return None

    def _onward(self, placement: Placement) -> ForwardingInfo:
        context = self._context
        left = context.deadline - asyncio.get_running_loop().time()
        after = self._splitter.last_id if self._splitter is not None else None
        return ForwardingInfo(
            placement.endpoint.id,
            context.organisation_name or None,
            max(0.001, left - RESPONSE_TRANSIT_SECONDS),
            after,
            placement.fetch_from,
        )

    def _lost(self, failure: SendFailure) -> Outcome:
        _log.info(
            "attempt lost",
            id=self._context.request.id,
            fault=failure.fault.value,
            reused=failure.reused,
        )
        return Outcome.BROKEN if self._sink.started else Outcome.LOST

    async def _pass_on(
        self, endpoint: Endpoint, head: ResponseHead, exchange: Exchange
    ) -> Outcome:
        if not head.authentic:
            return Outcome.BROKEN if self._sink.started else Outcome.LOST
        failed = head.status >= SERVER_ERROR or head.status in NOT_RUN_STATUSES
        if failed and (self._sink.started or self._may_repeat(Outcome.FAILED)):
            return Outcome.FAILED
        if head.status in NOT_RUN_STATUSES:
            # the endpoint does not say that it has not run the request, and this
            # status would
            return Outcome.LOST
        if head.status not in SUCCESS or self._splitter is None:
            return await self._relay(endpoint, head, exchange)
        return await self._relay_events(endpoint, head, exchange)

    async def _relay(
        self, endpoint: Endpoint, head: ResponseHead, exchange: Exchange
    ) -> Outcome:
        """Pass on an answer whose parts have no edges."""
        if self._sink.started:
            return Outcome.BROKEN
        parts = []
        try:
            async for part in exchange.body():
                parts.append(part)
        except IncompleteResponseError:
            return Outcome.LOST
        self._server._placer.on_response_started(self._context, endpoint)
        body = b"".join(parts)
        headers = head.headers.copy()
        if head.status not in NO_BODY and "Content-Length" not in headers:
            headers["Content-Length"] = str(len(body))
        await self._sink.start(head.status, headers, body or None)
        self._sink.finish()
        return Outcome.WHOLE if head.status < SERVER_ERROR else Outcome.FAILED

    async def _relay_events(
        self, endpoint: Endpoint, head: ResponseHead, exchange: Exchange
    ) -> Outcome:
        """Pass on whole events as they come."""
        splitter = self._splitter
        assert splitter is not None
        try:
            async for part in exchange.body():
                events = splitter.feed(part)
                if events:
                    await self._put(endpoint, head, events)
        except IncompleteResponseError:
            splitter.discard_partial_event()
            return Outcome.BROKEN if self._sink.started else Outcome.LOST
        if splitter.has_partial_event:
            splitter.discard_partial_event()
            return Outcome.BROKEN if self._sink.started else Outcome.LOST
        if not self._sink.started:
            await self._put(endpoint, head, b"")
        self._sink.finish()
        return Outcome.WHOLE

    async def _put(self, endpoint: Endpoint, head: ResponseHead, events: bytes) -> None:
        self._note_pause()
        if self._sink.started:
            await self._sink.write(events)
            return
        context = self._context
        context.first_event_at = asyncio.get_running_loop().time()
        self._server._placer.on_response_started(context, endpoint)
        headers = head.headers.copy()
        # the whole may come from several endpoints
        headers.pop("Content-Length", None)
        await self._sink.start(head.status, headers, events or None)

    def _note_pause(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._last_part is not None:
            pause = now - self._last_part
            self._context.longest_event_gap = max(
                self._context.longest_event_gap, pause
            )
        self._last_part = now

    def _again(self, outcome: Outcome) -> bool:
        if self._sink.finished or not self._may_repeat(outcome):
            return False
        if outcome is Outcome.UNSENT:
            return True
        return self._server._budget.try_acquire(self._context.service)

    def _may_repeat(self, outcome: Outcome) -> bool:
        context = self._context
        route = context.route
        if outcome is Outcome.UNSENT:
            return (
                len(context.attempted_endpoints) - context.send_count
                < MAX_CONNECT_FAILURES
            )
        if context.send_count >= route.attempts:
            return False
        if outcome is Outcome.DECLINED:
            return True
        return route.retry_policy is not RetryPolicy.NEVER

    def _last_fault(self, outcome: Outcome) -> Fault:
        context = self._context
        if context.may_have_run:
            return Fault(FaultKind.ENDPOINT_FAILED)
        if outcome is Outcome.UNSENT:
            return Fault(FaultKind.NO_ENDPOINT, 0.3)
        return Fault(FaultKind.ENDPOINT_DECLINED, 0.3)

    async def _give_up(self, fault: Fault) -> None:
        if self._sink.finished:
            return
        if self._sink.started:
            self._sink.abort()
            return
        if (
            self._context.may_have_run
            and FAULT_RESPONSES[fault.kind].status in NOT_RUN_STATUSES
        ):
            # an earlier attempt may have run, so no promise can be made
            fault = Fault(FaultKind.ENDPOINT_FAILED)
        self._fault = fault
        await self._server._refuse(self._context.request, self._sink, fault)

    async def _time_out(self) -> None:
        if self._context.may_have_run:
            await self._give_up(Fault(FaultKind.ENDPOINT_TIMEOUT))
            return
        await self._give_up(Fault(FaultKind.NOT_IN_TIME, 0.5))

    def _count(self, outcome: Outcome, now: float) -> None:
        context, metrics = self._context, self._server._metrics
        service = context.service
        fault = self._fault.kind.value if self._fault is not None else ""
        metrics.increment(
            "requests", outcome=outcome.name.lower(), fault=fault, service=service
        )
        metrics.observe("request_seconds", now - context.arrived_at, service=service)
        if context.first_event_at is not None:
            first = context.first_event_at - context.arrived_at
            metrics.observe("first_event_seconds", first, service=service)
            metrics.observe("pause_seconds", context.longest_event_gap, service=service)

    def _tell(self, outcome: Outcome, endpoint: Endpoint | None) -> None:
        context = self._context
        now = asyncio.get_running_loop().time()
        self._count(outcome, now)
        first = None
        if context.first_event_at is not None:
            first = round((context.first_event_at - context.arrived_at) * 1000)
        _log.info(
            "request ended",
            id=context.request.id,
            route=context.route.name,
            organisation=context.organisation_name,
            version=context.version,
            outcome=outcome.name.lower(),
            fault=self._fault.kind.value if self._fault is not None else None,
            endpoint=endpoint.id if endpoint is not None else None,
            tried=context.attempted_endpoints,
            prompt=context.request.prompt.input_tokens
            if context.request.prompt
            else None,
            reading_ms=round(context.prefill_seconds * 1000),
            retry_after=self._fault.retry_after if self._fault is not None else None,
            sends=context.send_count,
            first_ms=first,
            pause_ms=round(context.longest_event_gap * 1000),
            ms=round((now - context.arrived_at) * 1000),
            left_ms=round((context.deadline - now) * 1000),
        )


MAX_CONNECT_FAILURES = 3
"""Endpoints that can't be connected to, before a request is given up."""

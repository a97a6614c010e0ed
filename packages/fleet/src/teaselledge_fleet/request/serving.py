"""Run a request: resolve its route, place it, send it, forward the response."""

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from teaselledge_fleet.connection.accepting import ConnectionOrigin
from teaselledge_fleet.connection.endpoint import IncompleteResponseError
from teaselledge_fleet.connection.front import ReceivedRequest, ResponseWriter
from teaselledge_fleet.connection.pool import ConnectionPool
from teaselledge_fleet.faults import (
    FAULT_RESPONSES,
    Fault,
    FaultKind,
    fault_body,
    fault_headers,
)
from teaselledge_fleet.hedging.policy import HedgePolicy
from teaselledge_fleet.log import get_log
from teaselledge_fleet.migration.origins import stream_key
from teaselledge_fleet.migration.resuming import decide_resumption
from teaselledge_fleet.migration.streams import LocalOrigins, OriginSource
from teaselledge_fleet.process.budget import RetryBudget
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.quarantine.probing import PoolProbe
from teaselledge_fleet.quarantine.quarantine import Quarantine
from teaselledge_fleet.request.attempt import (
    NOT_RUN_STATUSES,
    Attempt,
    AttemptResources,
    ReadyResponse,
)
from teaselledge_fleet.request.call import CallerRequest, HeaderCodec, ResponseHead
from teaselledge_fleet.request.context import Outcome, Placer, RequestContext
from teaselledge_fleet.request.events import EventSplitter
from teaselledge_fleet.request.hedging import RequestHedger
from teaselledge_fleet.version.routes import (
    Organisation,
    RetryPolicy,
    Route,
    RoutingConfiguration,
    request_residency,
)

__all__ = ["RequestProxy"]

_log = get_log("serving")

BODYLESS_STATUSES = frozenset({204, 304})
NOT_SENT_OUTCOMES = frozenset({Outcome.UNSENT, Outcome.WITHDRAWN})

LEAVING_RETRY_SECONDS = 0.05
"""Short, as another router can accept the request immediately."""

STARTING_RETRY_SECONDS = 0.15
"""A starting router receives its configuration within 0.1 to 0.3 s."""

BUSY_RETRY_SECONDS = 0.2
"""Half of the time for which an overloaded router refuses requests; the caller
retries at another router."""


def resolve_route(
    routing: RoutingConfiguration, request: CallerRequest
) -> Result[tuple[Route, Organisation | None], Fault]:
    """Return the route and organisation of a request, or why it is rejected."""
    route = routing.find_route(request.host, request.path)
    if route is None:
        return Error(Fault(FaultKind.NO_ROUTE))
    organisation = routing.find_organisation(request.key) if request.key else None
    if organisation is None and routing.organisations and not route.public:
        return Error(Fault(FaultKind.UNKNOWN_KEY))
    return Ok((route, organisation))


class RequestProxy:
    """Forwards callers' requests to endpoints and their responses to the callers.

    Parameters
    ----------
    codec : HeaderCodec
        Decodes and encodes the headers of callers and endpoints.
    pool : ConnectionPool
        Connections to endpoints.
    placer : Placer
        Chooses the endpoint of each attempt.
    budget : RetryBudget
        Limits retries.
    metrics : FleetMetrics, optional
        Counts requests and attempts.
    quarantine : Quarantine, optional
        Refuses requests that end their endpoints.

    Attributes
    ----------
    routing : RoutingConfiguration or None
        The configuration in force.
    leaving : bool
        Whether new requests are refused because the router is shutting down.
    is_overloaded : callable
        Returns whether the router is overloaded. It then refuses requests at once:
        an accepted request would reach an engine after its caller has left, and the
        work on it would delay the next request.
    on_admitted : callable
        Called with the name of the organisation of each request that is served.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        pool: ConnectionPool,
        placer: Placer,
        budget: RetryBudget,
        metrics: FleetMetrics | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self._codec = codec
        self._pool = pool
        self._placer = placer
        self._budget = budget
        self._metrics = metrics or FleetMetrics()
        self._quarantine = quarantine or Quarantine(PoolProbe(pool), self._metrics)
        self.routing: RoutingConfiguration | None = None
        self.leaving = False
        self.is_overloaded: Callable[[], bool] = lambda: False
        self.on_admitted: Callable[[str], None] = lambda organisation: None
        self._hedger: RequestHedger | None = None
        self._origins: OriginSource = LocalOrigins()

    def set_origins(self, origins: OriginSource) -> None:
        """Set what knows the origins of streams; this router alone by default."""
        self._origins = origins

    def enable_hedging(self, policy: HedgePolicy) -> RequestHedger:
        """Hedge late requests as a policy allows; none is hedged otherwise."""
        hedger = RequestHedger(policy, self._budget, self._placer, self._metrics)
        hedger.is_router_busy = lambda: self.is_overloaded()
        self._hedger = hedger
        return hedger

    async def handle(self, received: ReceivedRequest, writer: ResponseWriter) -> None:
        """Run a request and write its response."""
        request = self._codec.decode_request(
            received.method, received.target, received.headers
        )
        admitted = self._admit(request, received)
        if admitted.is_error():
            self._record_refusal(request, received.remote_ip, admitted.error)
            await self._refuse(request, writer, admitted.error)
            return
        context = admitted.ok
        await _ActiveRequest(self, context, writer).run()

    def _admit(
        self, request: CallerRequest, received: ReceivedRequest
    ) -> Result[RequestContext, Fault]:
        routing = self.routing
        origin = received.origin
        if routing is None or routing.version < (origin.min_version or 0):
            return Error(Fault(FaultKind.NOT_CONFIGURED, STARTING_RETRY_SECONDS))
        resolved = resolve_route(routing, request)
        if resolved.is_ok():
            # recorded before any refusal: an organisation with many refused requests
            # would otherwise appear to have little demand and lose its share
            self._placer.record_demand(request, resolved.ok[1], origin.sample_weight)
        fault = self._router_fault(origin)
        if fault is not None:
            if resolved.is_ok():
                self._placer.record_shed(request, resolved.ok[1], origin.sample_weight)
                self._record_refused_route(resolved.ok[0])
            return Error(fault)
        if resolved.is_error():
            return Error(resolved.error)
        route, organisation = resolved.ok
        if organisation is not None:
            self.on_admitted(organisation.name)
        time_limit = route.timeout
        if request.timeout_seconds is not None:
            time_limit = min(time_limit, request.timeout_seconds)
        fraction = hash(request.id) % 997 / 997
        context = RequestContext(
            request,
            received.body,
            route,
            route.choose_service(fraction),
            organisation,
            received.arrived_at,
            received.arrived_at + time_limit,
            version=routing.version,
            residency=request_residency(route, organisation),
        )
        fault = self._quarantine.fault(context)
        return Ok(context) if fault is None else Error(fault)

    def _record_refused_route(self, route: Route) -> None:
        """Withhold hedges from the services of a route whose caller is refused."""
        if self._hedger is not None:
            for target in route.targets:
                self._hedger.record_refusal(target.service)

    def _router_fault(self, origin: ConnectionOrigin) -> Fault | None:
        """Return why this router serves no request now; None if it does."""
        if self.leaving:
            return Fault(FaultKind.LEAVING, LEAVING_RETRY_SECONDS)
        overloaded = self.is_overloaded() and not origin.entitled
        if overloaded or origin.overloaded:
            return Fault(FaultKind.ROUTER_BUSY, BUSY_RETRY_SECONDS)
        return None

    def _record_refusal(
        self, request: CallerRequest, remote_ip: str, fault: Fault
    ) -> None:
        kind = fault.kind.value
        organisation = None
        if self.routing is not None and request.key:
            organisation = self.routing.find_organisation(request.key)
        self._metrics.increment("requests", outcome="refused", fault=kind, service="")
        _log.info(
            "request refused",
            id=request.id,
            fault=kind,
            caller=remote_ip,
            organisation=organisation.name if organisation is not None else None,
            host=request.host,
            path=request.path,
            version=self.routing.version if self.routing is not None else 0,
            retry_after=fault.retry_after,
        )

    async def _refuse(
        self, request: CallerRequest, writer: ResponseWriter, fault: Fault
    ) -> None:
        if fault.kind is FaultKind.ROUTER_BUSY:
            # on a persistent connection the caller would retry at this overloaded
            # router, while other routers of the zone have capacity
            writer.reconnect_probability = 1.0
        body = fault_body(fault)
        headers = fault_headers(
            fault, self._codec.local_reply_headers(request), len(body)
        )
        chunk = None if request.method == "HEAD" else body
        await writer.start(FAULT_RESPONSES[fault.kind].status, headers, chunk)
        writer.finish()


class _ActiveRequest:
    """Runs the attempts of one request until it is answered or fails.

    Attributes
    ----------
    context : RequestContext
        State of the request.
    writer : ResponseWriter
        Writes the caller's response.
    """

    def __init__(
        self, proxy: RequestProxy, context: RequestContext, writer: ResponseWriter
    ) -> None:
        self._proxy = proxy
        self.context = context
        self.writer = writer
        self._splitter = EventSplitter() if context.route.stream else None
        self._fault: Fault | None = None
        self._last_event_at: float | None = None
        self._ended_by_close = False
        self._end_certain = True
        self._resources = AttemptResources(
            proxy._codec,
            proxy._pool,
            proxy._placer,
            proxy._metrics,
            proxy._quarantine,
            proxy._origins,
        )

    async def run(self) -> None:
        """Run the request, and record how it ended."""
        outcome, endpoint = Outcome.ABANDONED, None
        try:
            async with asyncio.timeout_at(self.context.deadline):
                outcome, endpoint = await self._run_attempts()
        except TimeoutError:
            await self._on_timeout()
        finally:
            self._record_end(outcome, endpoint)

    async def _run_attempts(self) -> tuple[Outcome, Endpoint | None]:
        fault = await self._decide_origin()
        if fault is not None:
            await self._fail(fault)
            return Outcome.DECLINED, None
        while True:
            placed = await self._proxy._placer.place(self.context)
            if placed.is_error():
                await self._fail(placed.error)
                return Outcome.DECLINED, None
            attempt = Attempt(self._resources, self, placed.ok, self._splitter)
            outcome = Outcome.ABANDONED
            try:
                attempt, opened = await self._open(attempt)
                self._splitter = attempt.splitter
                outcome = await self._finish_attempt(attempt, opened)
            finally:
                self._ended_by_close = attempt.ended_by_close
                self._end_certain = attempt.end_certain
                attempt.end(outcome)
            if outcome in (Outcome.WHOLE, Outcome.ABANDONED):
                return outcome, attempt.endpoint
            await self._proxy._quarantine.settle(self.context)
            if not self._should_retry(outcome):
                await self._fail(self._final_fault(outcome))
                return outcome, attempt.endpoint

    @property
    def _resumable(self) -> bool:
        return self.context.route.retry_policy is RetryPolicy.RESUME

    async def _decide_origin(self) -> Fault | None:
        """Bind a stream that its caller takes up to the version that began it."""
        context, proxy = self.context, self._proxy
        request = context.request
        if request.resume_after is None or not self._resumable:
            return None
        key = None
        if request.resumed_request:
            key = stream_key(context.organisation_name, request.resumed_request)
        found = await proxy._origins.find(key, context.route)
        decided = decide_resumption(found, context.route)
        if decided.is_error():
            return decided.error
        context.service = decided.ok.service
        context.engine_version = decided.ok.version
        return None

    def _record_origin(self, endpoint: Endpoint) -> None:
        """Bind a stream to the version that sends its first event."""
        context = self.context
        if not self._resumable:
            return
        context.engine_version = endpoint.version
        self._proxy._origins.record(
            stream_key(context.organisation_name, context.request.id),
            endpoint,
            context.route,
        )

    async def _open(self, attempt: Attempt) -> tuple[Attempt, ReadyResponse | Outcome]:
        """Open an attempt; return it, or the hedge that responded before it."""
        hedger = self._proxy._hedger
        if hedger is None:
            return attempt, await attempt.open()
        return await hedger.open(attempt)

    async def _finish_attempt(
        self, attempt: Attempt, opened: ReadyResponse | Outcome
    ) -> Outcome:
        """Forward the response of an attempt, if it has one."""
        if attempt.rejection is not None:
            await self._fail(attempt.rejection)
        if isinstance(opened, Outcome):
            return opened
        if opened.streamed:
            return await self._forward_events(attempt, opened)
        await self._forward_buffered(attempt, opened)
        return opened.outcome

    def send_fault(self) -> Fault | None:
        """Return why the request must no longer be sent; None if it may be."""
        quarantined = self._proxy._quarantine.fault(self.context)
        return quarantined or self._configuration_fault()

    def _configuration_fault(self) -> Fault | None:
        """Return why a newer configuration rejects the request, if it does.

        A blocked router may send a request seconds after placing it. Without this
        check callers would see an old version in force, and engines would get requests
        of deleted routes. The residency of the newer version replaces the earlier one.
        """
        context, routing = self.context, self._proxy.routing
        if routing is None or routing.version == context.version:
            return None
        resolved = resolve_route(routing, context.request)
        if resolved.is_error():
            return None if context.send_count else resolved.error
        route, organisation = resolved.ok
        context.residency = request_residency(route, organisation)
        if context.send_count:
            return None
        if all(target.service != context.service for target in route.targets):
            return Fault(FaultKind.NOT_CONFIGURED, STARTING_RETRY_SECONDS)
        return None

    async def _forward_buffered(
        self, attempt: Attempt, response: ReadyResponse
    ) -> None:
        """Forward a complete response that is no event stream."""
        self._proxy._placer.on_response_started(self.context, attempt.endpoint)
        head, body = response.head, response.content
        headers = head.headers.copy()
        if head.status not in BODYLESS_STATUSES and "Content-Length" not in headers:
            headers["Content-Length"] = str(len(body))
        await self.writer.start(head.status, headers, body or None)
        self.writer.finish()

    async def _forward_events(
        self, attempt: Attempt, response: ReadyResponse
    ) -> Outcome:
        """Forward each event of a stream as soon as it is complete."""
        endpoint, head = attempt.endpoint, response.head
        if response.content or not self.writer.started:
            await self._write_events(endpoint, head, response.content)
        try:
            while events := await attempt.read_events():
                await self._write_events(endpoint, head, events)
        except IncompleteResponseError:
            return Outcome.BROKEN
        self.writer.finish()
        return Outcome.WHOLE

    async def _write_events(
        self, endpoint: Endpoint, head: ResponseHead, events: bytes
    ) -> None:
        self._record_event_gap()
        if self.writer.started:
            await self.writer.write(events)
            return
        context = self.context
        self._record_origin(endpoint)
        context.first_event_at = asyncio.get_running_loop().time()
        self._proxy._placer.on_response_started(context, endpoint)
        headers = head.headers.copy()
        # the rest of the stream may come from other endpoints
        headers.pop("Content-Length", None)
        await self.writer.start(head.status, headers, events or None)

    def _record_event_gap(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._last_event_at is not None:
            gap = now - self._last_event_at
            self.context.longest_event_gap = max(self.context.longest_event_gap, gap)
        self._last_event_at = now

    def on_first_send(self) -> None:
        """Count the request in the limits of retries and hedges."""
        self._proxy._budget.record_first_attempt(self.context.service)
        if self._proxy._hedger is not None:
            self._proxy._hedger.record_request(self.context)

    def _should_retry(self, outcome: Outcome) -> bool:
        if self.writer.finished or not self.may_retry(outcome):
            return False
        if outcome in NOT_SENT_OUTCOMES:
            return True
        service = self.context.service
        granted = self._proxy._budget.try_acquire(service)
        self._proxy._metrics.increment(
            "retries", result="granted" if granted else "denied", service=service
        )
        return granted

    def may_retry(self, outcome: Outcome) -> bool:
        """Whether the route allows another attempt after an outcome."""
        context = self.context
        route = context.route
        if self._proxy._quarantine.fault(context) is not None:
            return False
        if outcome in NOT_SENT_OUTCOMES:
            return (
                len(context.attempted_endpoints) - context.send_count
                < MAX_FAILED_CONNECTS
            )
        if context.send_count >= route.attempts:
            return False
        if outcome is Outcome.DECLINED:
            return True
        return route.retry_policy is not RetryPolicy.NEVER

    def _final_fault(self, outcome: Outcome) -> Fault:
        context = self.context
        quarantined = self._proxy._quarantine.fault(context)
        if quarantined is not None:
            return quarantined
        if context.may_have_run:
            return Fault(FaultKind.ENDPOINT_FAILED)
        if outcome in NOT_SENT_OUTCOMES:
            return Fault(FaultKind.NO_ENDPOINT, 0.3)
        return Fault(FaultKind.ENDPOINT_DECLINED, 0.3)

    async def _fail(self, fault: Fault) -> None:
        if self.writer.finished:
            return
        if self.writer.started:
            self.writer.abort()
            return
        if (
            self.context.may_have_run
            and FAULT_RESPONSES[fault.kind].status in NOT_RUN_STATUSES
        ):
            # an earlier attempt may have run; this status would promise the opposite
            fault = Fault(FaultKind.ENDPOINT_FAILED)
        self._fault = fault
        if (
            self._proxy._hedger is not None
            and FAULT_RESPONSES[fault.kind].status in NOT_RUN_STATUSES
        ):
            self._proxy._hedger.record_refusal(self.context.service)
        await self._proxy._refuse(self.context.request, self.writer, fault)

    async def _on_timeout(self) -> None:
        if self.context.may_have_run:
            await self._fail(Fault(FaultKind.ENDPOINT_TIMEOUT))
            return
        await self._fail(Fault(FaultKind.NOT_IN_TIME, 0.5))

    def _record_metrics(self, outcome: Outcome, now: float) -> None:
        context, metrics = self.context, self._proxy._metrics
        service = context.service
        fault = self._fault.kind.value if self._fault is not None else ""
        metrics.increment(
            "requests", outcome=outcome.name.lower(), fault=fault, service=service
        )
        metrics.observe("request_seconds", now - context.arrived_at, service=service)
        if context.first_event_at is not None:
            first_event_seconds = context.first_event_at - context.arrived_at
            metrics.observe("first_event_seconds", first_event_seconds, service=service)
            metrics.observe("pause_seconds", context.longest_event_gap, service=service)

    def _record_end(self, outcome: Outcome, endpoint: Endpoint | None) -> None:
        context = self.context
        if outcome is Outcome.WHOLE and self._end_certain:
            self._proxy._quarantine.on_served(context)
        now = asyncio.get_running_loop().time()
        self._record_metrics(outcome, now)
        first_event_ms = None
        if context.first_event_at is not None:
            first_event_ms = round((context.first_event_at - context.arrived_at) * 1000)
        _log.info(
            "request ended",
            id=context.request.id,
            route=context.route.name,
            organisation=context.organisation_name,
            version=context.version,
            outcome=outcome.name.lower(),
            fault=self._fault.kind.value if self._fault is not None else None,
            endpoint=endpoint.id if endpoint is not None else None,
            resumes_after=context.request.resume_after,
            resumes=context.request.resumed_request,
            engine_version=context.engine_version,
            tried=context.attempted_endpoints,
            prompt=context.request.prompt.input_tokens
            if context.request.prompt
            else None,
            reading_ms=round(context.prefill_seconds * 1000),
            retry_after=self._fault.retry_after if self._fault is not None else None,
            sends=context.send_count,
            first_ms=first_event_ms,
            pause_ms=round(context.longest_event_gap * 1000),
            ended_by_close=self._ended_by_close,
            ms=round((now - context.arrived_at) * 1000),
            left_ms=round((context.deadline - now) * 1000),
        )


MAX_FAILED_CONNECTS = 3
"""Endpoints to which connecting may fail before the request fails."""

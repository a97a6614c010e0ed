"""Choose the endpoint for each attempt, or refuse the request."""

import asyncio
from collections.abc import Callable, Mapping

from expression import Error, Ok, Result

from teaselledge_fleet.engines.routeraddresses import RouterAddresses
from teaselledge_fleet.engines.settings import EngineSpeedSettings
from teaselledge_fleet.engines.speeds import EngineSpeeds
from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.process.admitting import (
    AdmissionCheck,
    Admitter,
    PlaceRequester,
)
from teaselledge_fleet.process.choosing import (
    Candidate,
    EndpointChooser,
    PromptRequirements,
)
from teaselledge_fleet.process.distance import Distance
from teaselledge_fleet.process.drains import DrainedZones
from teaselledge_fleet.process.eligibility import EligibleEndpoints
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.hedgeplacing import (
    MAX_HEDGE_WAIT_SECONDS,
    HedgeEndpoints,
)
from teaselledge_fleet.process.inflight import InFlightRequests, total_tokens
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.process.placementrefusal import PlacementLog, PlacementRefusal
from teaselledge_fleet.process.prefill import PrefillModel
from teaselledge_fleet.process.prefixes import shared_prefix_tokens
from teaselledge_fleet.process.prefixlookup import Locator, PrefixLookup
from teaselledge_fleet.process.results import OutlierDetector
from teaselledge_fleet.process.retryafter import retry_after_refusal
from teaselledge_fleet.process.roundtrips import RoundTrips
from teaselledge_fleet.process.shares import OrganisationShares, ShareStatus
from teaselledge_fleet.process.signals import EndpointSignals
from teaselledge_fleet.process.waiting import QueueWaitLimits
from teaselledge_fleet.process.warmup import WarmupTracker
from teaselledge_fleet.process.work import FleetLoad, name_hash
from teaselledge_fleet.queueing.settings import QueueSettings
from teaselledge_fleet.queueing.tickets import QueueTicket
from teaselledge_fleet.request.call import CallerRequest, EndpointSignal
from teaselledge_fleet.request.context import Outcome, Placement, RequestContext
from teaselledge_fleet.version.routes import Organisation, RoutingConfiguration

__all__ = ["FleetPlacer"]

SHARE_TOLERANCE_FACTOR = 1.1
"""Factor by which an organisation may exceed its share and still count as inside it.

Usage as seen by two routers differs by about a tenth."""

MAX_ADMISSION_QUERIES = 3
"""Maximum number of endpoints whose coordinator is queried for one request.

A query of a coordinator in another region takes 40 ms, and endpoints are queried one
after another. A request for which three of its best endpoints have no room is unlikely
to be served in time."""

LATE_PRIORITY = 1_000
"""Added to the priority of a prompt too long for its objective, so that it is last."""

MAX_RESPONSE_FRACTION = 0.9
"""Fraction of the latency objective until the prefill must have ended. The rest is for
the first token and the path of the response."""

LATE_WAIT_SECONDS = 0.02
"""Wait of a prompt too long for its objective. Behind others it would be later still,
and all those after it would be late."""

MAX_PLAIN_WAIT_SECONDS = 60.0
"""Queueing time of plain requests in queries; their coordinators don't limit it."""


class FleetPlacer:
    """Places requests on endpoints by the load and usage that all routers report.

    Parameters
    ----------
    view : EndpointView
        The endpoints.
    zone : str
        This router's zone.
    zones : mapping of str to str
        Region of each zone.
    drained_zones : DrainedZones, optional
        Zones whose endpoints get no new requests.
    warmup : WarmupTracker, optional
        Endpoints that are warming up.
    engine_speeds : EngineSpeedSettings, optional
        When the speeds of single engines take effect; None if they are not estimated.
    """

    def __init__(
        self,
        view: EndpointView,
        zone: str,
        zones: Mapping[str, str],
        drained_zones: DrainedZones | None = None,
        warmup: WarmupTracker | None = None,
        engine_speeds: EngineSpeedSettings | None = None,
    ) -> None:
        self._warmup = warmup or WarmupTracker()
        self._view = view
        self._drained_zones = drained_zones or DrainedZones()
        self._signals = EndpointSignals()
        self._eligible = EligibleEndpoints(
            view, zones, self._drained_zones, self._signals
        )
        self._distance = Distance(zone, zones)
        self._load = FleetLoad()
        self._shares = OrganisationShares()
        self._prefixes = PrefixLookup()
        self._outliers = OutlierDetector()
        self._wait_limits = QueueWaitLimits()
        self._engine_speeds = EngineSpeeds(engine_speeds) if engine_speeds else None
        self._chooser = EndpointChooser(
            self._distance, self._load, self._outliers, self._engine_speeds
        )
        self._in_flight = InFlightRequests(
            self._load, self._shares, self._chooser, self._distance
        )
        self._admitter = Admitter(self._load, self._in_flight, self._warmup)
        self._hedge_endpoints = HedgeEndpoints(
            view, self._load, self._outliers, self._warmup
        )
        self._log = PlacementLog(
            self._load, self._distance, self._outliers, self._chooser
        )
        self._refusal = PlacementRefusal(
            view,
            self._eligible,
            self._signals,
            self._drained_zones,
            self._shares,
            self._log,
        )

    def set_admission_check(
        self, check_admission: AdmissionCheck, round_trips: RoundTrips | None = None
    ) -> None:
        """Set the function that queries coordinators, and the round trips it measures.

        Without the latter no path counts as congested.
        """
        self._admitter.check = check_admission
        if round_trips is not None:
            self._distance.set_round_trips(round_trips)

    def set_queue(
        self,
        settings: QueueSettings,
        places: PlaceRequester,
        metrics: FleetMetrics | None = None,
    ) -> None:
        """Let prompts wait in the queues of their engines' coordinators."""
        self._admitter.set_queue(settings, places, metrics or FleetMetrics())

    def set_wait_limits(self, wait_limits: QueueWaitLimits) -> None:
        """Replace the limits of the queueing time, before any request is placed."""
        self._wait_limits = wait_limits

    def set_sample_filter(self, is_sample_valid: Callable[[float], bool]) -> None:
        """Use response times only if this router was responsive since the request.

        An overloaded router would estimate engines as many times slower than they are,
        refuse requests for which they have room, and report too much prefill to others.
        """
        self._in_flight.is_sample_valid = is_sample_valid

    def apply_routing(self, routing: RoutingConfiguration) -> None:
        """Apply a version of the configuration."""
        self._wait_limits.apply_routing(routing)
        self._shares.set_guaranteed_rate(routing.limits.capacity_tokens_per_second)

    def set_restart_report(
        self, report_restart: Callable[[Endpoint, int], None]
    ) -> None:
        """Set the function that tells an endpoint's coordinator of a restart."""
        self._admitter.report_restart = report_restart

    def set_router_addresses(self, addresses: RouterAddresses) -> None:
        """Set the addresses at which no endpoint can be."""
        self._eligible.router_addresses = addresses

    def set_locator(self, locator: Locator) -> None:
        """Set the client of the fleet's prefix directory."""
        self._prefixes.locator = locator

    def record_demand(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Count the tokens that a request asks for.

        `weight` is the number of requests that this one represents; the others were
        refused without being read.
        """
        if call.prompt is not None:
            owner = organisation.name if organisation is not None else ""
            tokens = total_tokens(call.prompt)
            computed = tokens - shared_prefix_tokens(call.prompt)
            self._shares.record_request(owner, weight * tokens, weight * computed)

    def record_shed(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Count the tokens of a request that is refused before it is placed."""
        if call.prompt is not None:
            owner = organisation.name if organisation is not None else ""
            self._shares.record_shed(owner, weight * total_tokens(call.prompt))

    async def place(self, context: RequestContext) -> Result[Placement, Fault]:
        """Return the endpoint for the next attempt."""
        if context.residency.regions == frozenset():
            return Error(Fault(FaultKind.NO_ALLOWED_REGION))
        prompt = context.request.prompt
        endpoints = self._available_endpoints(context)
        if not endpoints:
            if not self._has_version(context):
                return Error(Fault(FaultKind.ORIGIN_GONE))
            return Error(self._refusal.no_endpoint(context))
        if prompt is None:
            return await self._place_plain(context, endpoints)
        requirements = await self._prefixes.requirements(context, endpoints)
        if context.send_count:
            best = self._rank_engines(context, requirements)[0]
            if self._warmup.rate(best.endpoint) is None:
                self._in_flight.add(context, best)
                return Ok(self._placement_of_prompt(context, best, requirements))
        return await self._place_prompt(context, requirements)

    async def place_hedge(self, context: RequestContext) -> Placement | None:
        """Return another endpoint that has room now; None if there is none."""
        available = self._available_endpoints(context)
        if context.request.prompt is None:
            endpoints = self._hedge_endpoints.plain(context, available)
            if not endpoints:
                return None
            best = self._chooser.best_plain_endpoint(context, endpoints)
            self._in_flight.add(context, best)
            return self._placement(context, best)
        if not available:
            return None
        requirements = await self._prefixes.requirements(context, available)
        chosen = self._hedge_endpoints.first_engine(
            context, self._rank_engines(context, requirements)
        )
        if chosen is None:
            return None
        admitted = await self._admitter.admit(context, chosen, MAX_HEDGE_WAIT_SECONDS)
        if admitted is None:
            return None
        self._prefixes.record_use(requirements, admitted.endpoint)
        self._in_flight.record_allocation(context, admitted.endpoint)
        return self._placement(context, admitted)

    def is_inside_share(self, context: RequestContext) -> bool:
        """Whether the organisation of a request is inside its share."""
        return not self._shares.is_over_share(
            context.organisation_name, SHARE_TOLERANCE_FACTOR
        )

    async def _place_plain(
        self, context: RequestContext, endpoints: list[Endpoint]
    ) -> Result[Placement, Fault]:
        """Place a request of a plain service, if possible on a warm endpoint."""
        warm = [each for each in endpoints if self._warmup.rate(each) is None]
        if warm:
            best = self._chooser.best_plain_endpoint(context, warm)
            self._in_flight.add(context, best)
            return Ok(self._placement(context, best))
        for _ in range(min(MAX_ADMISSION_QUERIES, len(endpoints))):
            best = self._chooser.best_plain_endpoint(context, endpoints)
            granted = await self._admitter.admit(context, best, MAX_PLAIN_WAIT_SECONDS)
            if granted is not None:
                return Ok(self._placement(context, granted))
            endpoints = [each for each in endpoints if each is not best.endpoint]
        return Error(Fault(FaultKind.NO_ENDPOINT, retry_after_refusal()))

    def _rank_engines(
        self, context: RequestContext, requirements: PromptRequirements
    ) -> list[Candidate]:
        """Return the candidate engines, lowest cost first, those warming up last."""
        candidates = self._chooser.rank_engines(context, requirements)
        if not self._warmup.has_limits:
            return candidates
        return sorted(
            candidates, key=lambda each: self._admitter.is_limited(each.endpoint)
        )

    async def _place_prompt(
        self, context: RequestContext, requirements: PromptRequirements
    ) -> Result[Placement, Fault]:
        """Request admission to the best engine, then to the next best ones with room.

        The engine that caches a long prefix ranks far ahead, as the cost of the others
        includes a copy. It must not be the only one queried: callers would be refused
        while other engines are idle.
        """
        share_status = self._shares.status(
            context.organisation_name, SHARE_TOLERANCE_FACTOR
        )
        queried: set[str] = set()
        best = self._rank_engines(context, requirements)[0]
        while len(queried) < MAX_ADMISSION_QUERIES:
            queried.add(best.endpoint.id)
            remaining_wait = self._remaining_wait(context, best, share_status)
            admitted = await self._admit(context, best, remaining_wait)
            if admitted is not None:
                return Ok(self._placement_of_prompt(context, admitted, requirements))
            with_room = [
                candidate
                for candidate in self._rank_engines(context, requirements)
                if candidate.endpoint.id not in queried
                and candidate.wait
                <= self._acceptable_wait(context, candidate, share_status)
                and not self._warmup.recently_denied(candidate.endpoint)
            ]
            if not with_room:
                break
            best = with_room[0]
        return Error(self._refusal.no_room(context, best, share_status, len(queried)))

    async def _admit(
        self, context: RequestContext, best: Candidate, remaining_wait: float
    ) -> Candidate | None:
        if not self._admitter.may_wait(context, best.endpoint):
            return await self._admitter.admit(context, best, remaining_wait)
        ticket = self._queue_ticket(context, best)
        if ticket.wait_limit < 0.0:
            return None
        return await self._admitter.admit_queued(context, best, remaining_wait, ticket)

    def _queue_ticket(self, context: RequestContext, best: Candidate) -> QueueTicket:
        """Return the position of a request in the queue of an engine.

        A prompt too long for its objective still gets a place at an idle engine.
        """
        prompt = context.request.prompt
        assert prompt is not None
        priority = context.priority
        limit = self._queue_wait(context, best)
        prefill_end = MAX_RESPONSE_FRACTION * context.route.latency_objective
        path = self._distance.round_trip_seconds(best.endpoint.zone)
        elapsed = self._now() - context.arrived_at
        wait_limit = min(limit, prefill_end - elapsed - path - best.prefill_seconds)
        if wait_limit < LATE_WAIT_SECONDS <= limit:
            priority, wait_limit = priority + LATE_PRIORITY, LATE_WAIT_SECONDS
        return QueueTicket(
            name_hash(context.organisation_name),
            total_tokens(prompt),
            priority,
            wait_limit,
        )

    def _queue_wait(self, context: RequestContext, candidate: Candidate) -> float:
        """Return the time until the engine must begin with a prompt of usual length.

        It does not fall with what the organisation was allocated: the order of the
        queue takes the place of shorter limits.
        """
        limit = self._wait_limits.max_wait(
            context.route,
            context.service,
            ShareStatus.INSIDE,
            has_prefix=True,
            elapsed=self._now() - context.arrived_at,
        )
        return limit - self._distance.round_trip_seconds(candidate.endpoint.zone)

    def _acceptable_wait(
        self, context: RequestContext, candidate: Candidate, share_status: ShareStatus
    ) -> float:
        """Return the known wait up to which a candidate is queried."""
        if self._admitter.may_wait(context, candidate.endpoint):
            return self._queue_ticket(context, candidate).wait_limit
        return self._remaining_wait(context, candidate, share_status)

    def _remaining_wait(
        self, context: RequestContext, candidate: Candidate, share_status: ShareStatus
    ) -> float:
        limit = self._wait_limits.max_wait(
            context.route,
            context.service,
            share_status,
            candidate.has_prefix,
            self._now() - context.arrived_at,
            self._shares.contended_use(context.organisation_name),
            self._shares.excess(context.organisation_name),
        )
        return limit - self._distance.congestion_seconds(candidate.endpoint.zone)

    def _placement(self, context: RequestContext, best: Candidate) -> Placement:
        return Placement(best.endpoint, best.fetch_from, self._log.fields(best))

    def _placement_of_prompt(
        self, context: RequestContext, best: Candidate, requirements: PromptRequirements
    ) -> Placement:
        context.prefill_seconds = best.prefill_seconds
        self._prefixes.record_use(requirements, best.endpoint)
        self._in_flight.record_allocation(context, best.endpoint)
        return self._placement(context, best)

    def may_send(self, context: RequestContext, endpoint: Endpoint) -> bool:
        """Whether a request may still be sent to the endpoint that was chosen."""
        if not self._eligible.contains(endpoint, context.residency):
            return False
        return self._admitter.may_send(context, endpoint, self._now())

    def on_signal(self, endpoint: Endpoint, signal: EndpointSignal) -> None:
        """Record what an endpoint said about itself in a response."""
        if signal.misdirected:
            # it responds at once and looks idle, so that all requests would go there
            self._outliers.record_connect_failure(endpoint.id)
            return
        self._signals.record(endpoint, signal)

    def on_response_started(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Record the beginning of a response."""
        self._in_flight.on_response_started(context, endpoint)

    def on_attempt_ended(
        self, context: RequestContext, endpoint: Endpoint, outcome: Outcome
    ) -> None:
        """Record the end of an attempt."""
        self._in_flight.on_attempt_ended(context, endpoint, outcome)
        if outcome is Outcome.UNSENT:
            self._outliers.record_connect_failure(endpoint.id)
            self._admitter.on_connect_failed(endpoint)
        elif outcome is Outcome.WHOLE:
            self._outliers.record_outcome(endpoint.id, True)
        elif outcome in (Outcome.LOST, Outcome.FAILED, Outcome.BROKEN):
            self._outliers.record_outcome(endpoint.id, False)

    def on_attempt_superseded(
        self, context: RequestContext, endpoint: Endpoint
    ) -> None:
        """Record that another attempt of the request goes on in place of this one."""
        self._in_flight.on_attempt_superseded(context, endpoint)

    @property
    def paused_endpoints(self) -> int:
        """Number of endpoints that want no requests from this router for some time."""
        return self._signals.count_paused(self._view.endpoints)

    @property
    def load(self) -> FleetLoad:
        """Load of the fleet at each endpoint, as reported to this router."""
        return self._load

    @property
    def waiting_requests(self) -> int:
        """Number of requests of this router that wait for places at engines."""
        return self._admitter.waiting_requests

    def share_usage(self, organisation_hash: int) -> tuple[float, float]:
        """Return the allocated tokens of an organisation and the share level."""
        usage = self._shares.usage_by_hash(organisation_hash)
        return usage.allocated, self._shares.level

    @property
    def shares(self) -> OrganisationShares:
        """Token usage and shares of organisations, as reported to this router."""
        return self._shares

    @property
    def prefill(self) -> PrefillModel:
        """Estimates the prefill times of engines."""
        return self._chooser.prefill

    @property
    def engine_speeds(self) -> EngineSpeeds | None:
        """Estimates the speeds of single engines; None if it does not."""
        return self._engine_speeds

    def retain_endpoints(self) -> None:
        """Note the endpoints that exist, and drop the state of all others."""
        names = {endpoint.id for endpoint in self._view.endpoints}
        self._load.retain_endpoints(names)
        self._outliers.retain_endpoints(names)
        self._warmup.retain_endpoints(names)
        self._signals.retain_endpoints(self._view.endpoints)
        if self._engine_speeds is not None:
            self._engine_speeds.retain_endpoints(self._view.endpoints)

    def _available_endpoints(self, context: RequestContext) -> list[Endpoint]:
        untried = [
            endpoint
            for endpoint in self._eligible.of_service(
                context.service, context.residency
            )
            if endpoint.id not in context.attempted_endpoints
            and context.engine_version in (None, endpoint.version)
        ]
        reachable = [e for e in untried if not self._outliers.is_ejected(e.id)]
        return reachable or untried

    def _has_version(self, context: RequestContext) -> bool:
        """Whether any endpoint of the version that a stream needs is not leaving."""
        return context.engine_version is None or any(
            each.version == context.engine_version
            for each in self._view.of_service(context.service)
        )

    def _share_fields(self, organisation: str) -> dict[str, float | None]:
        """Return the usage behind a share status, as fields of the log line."""
        return self._refusal.share_fields(organisation)

    @property
    def _locator(self) -> Locator:
        return self._prefixes.locator

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

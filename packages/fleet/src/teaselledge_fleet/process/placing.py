"""Choose the endpoint for each attempt, or refuse the request."""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Protocol

from expression import Error, Ok, Result

from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.admission import AdmissionDecision
from teaselledge_fleet.process.choosing import (
    Candidate,
    EndpointChooser,
    PromptRequirements,
    expected_output_tokens,
)
from teaselledge_fleet.process.directory import PrefixDirectory
from teaselledge_fleet.process.distance import Distance
from teaselledge_fleet.process.drains import DrainedZones
from teaselledge_fleet.process.eligibility import EligibleEndpoints
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.forecast import engine_queue_wait
from teaselledge_fleet.process.prefill import PrefillModel
from teaselledge_fleet.process.prefixes import shared_prefix_tokens
from teaselledge_fleet.process.results import OutlierDetector
from teaselledge_fleet.process.retryafter import (
    retry_after_refusal,
    retry_without_endpoint,
)
from teaselledge_fleet.process.roundtrips import RoundTrips
from teaselledge_fleet.process.shares import OrganisationShares, ShareStatus
from teaselledge_fleet.process.signals import EndpointSignals
from teaselledge_fleet.process.waiting import QueueWaitLimits
from teaselledge_fleet.process.warmup import GRANT_SECONDS, WarmupTracker
from teaselledge_fleet.process.work import EndpointLoad, FleetLoad, name_hash
from teaselledge_fleet.request.call import CallerRequest, EndpointSignal, Prompt
from teaselledge_fleet.request.context import Outcome, Placement, RequestContext
from teaselledge_fleet.version.routes import Organisation, RoutingConfiguration

__all__ = ["FleetPlacer"]

_log = get_log("placing")

SHARE_TOLERANCE_FACTOR = 1.1
"""Factor by which an organisation may exceed its share and still count as inside it.

Usage as seen by two routers differs by about a tenth."""

MIN_LOOKUP_TOKENS = 1000
"""Minimum length of a shared prefix for which the fleet's directory is queried.

The prefill of fewer tokens takes an engine less than 15 ms. Query and copy together
take about as long, unless the queried coordinator is in another region: that round trip
alone takes 40 ms.
"""

MAX_ADMISSION_QUERIES = 3
"""Maximum number of endpoints whose coordinator is queried for one request.

A query of a coordinator in another region takes 40 ms, and endpoints are queried one
after another. A request for which three of its best endpoints have no room is unlikely
to be served in time."""

MAX_CONGESTION_SECONDS = 0.02
"""Congestion of the path to an endpoint from which its response times tell nothing
about the endpoint. A body takes several round trips, and each of them is late."""

NOT_BEGUN_OUTCOMES = frozenset(
    {Outcome.UNSENT, Outcome.WITHDRAWN, Outcome.DECLINED, Outcome.LOST}
)
"""Outcomes of attempts whose tokens do not count as allocated, unless a response had
begun."""

MAX_PLAIN_WAIT_SECONDS = 60.0
"""Queueing time of plain requests in queries; their coordinators don't limit it."""


@dataclass(frozen=True)
class _SentRequest:
    """A request in flight at an endpoint.

    Attributes
    ----------
    prefill_seconds : float
        Expected prefill time; 0 once the response has begun.
    sent_at : float
        Loop time at which it was sent.
    wait : float
        Expected queueing time, in seconds.
    granted : bool
        Whether the endpoint's coordinator admitted it.
    slowdown : float
        Slowdown of the engines with which the prefill time was predicted.
    allocated : int
        Tokens counted as allocated; 0 once the response has begun.
    """

    prefill_seconds: float
    sent_at: float
    wait: float = 0.0
    granted: bool = False
    slowdown: float = 1.0
    allocated: int = 0


class AdmissionCheck(Protocol):
    """Checks with the coordinator whether a prompt may be sent to an endpoint."""

    async def __call__(
        self,
        endpoint: Endpoint,
        prefill_seconds: float,
        max_wait: float,
        warmup_rate: int | None = None,
    ) -> AdmissionDecision | None:
        """Return the decision; None if no reply arrived in time."""


async def _skip_admission_check(
    endpoint: Endpoint,
    prefill_seconds: float,
    max_wait: float,
    warmup_rate: int | None = None,
) -> AdmissionDecision | None:
    return None


class Locator(Protocol):
    """Finds the endpoints that have a shared prefix cached.

    The first choice is the first endpoint in the prefix's rendezvous order.
    """

    async def locate(self, prefix: str, first_choice: Endpoint) -> list[int] | None:
        """Return their hashes, most recently used first; None if there is no reply."""

    def report_use(
        self, prefix: str, first_choice: Endpoint, endpoint: Endpoint
    ) -> None:
        """Report that a prompt with the prefix was sent to an endpoint."""


class _NoLocator:
    async def locate(self, prefix: str, first_choice: Endpoint) -> list[int] | None:
        return None

    def report_use(
        self, prefix: str, first_choice: Endpoint, endpoint: Endpoint
    ) -> None:
        pass


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
    """

    def __init__(
        self,
        view: EndpointView,
        zone: str,
        zones: Mapping[str, str],
        drained_zones: DrainedZones | None = None,
        warmup: WarmupTracker | None = None,
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
        self._local_prefixes = PrefixDirectory()
        """Own placements of prefixes, used if the fleet's directory gives no reply."""
        self._outliers = OutlierDetector()
        self._wait_limits = QueueWaitLimits()
        self._chooser = EndpointChooser(self._distance, self._load, self._outliers)
        self._locator: Locator = _NoLocator()
        self._sent: dict[tuple[str, str], _SentRequest] = {}
        self._check_admission: AdmissionCheck = _skip_admission_check
        self._report_restart: Callable[[Endpoint, int], None] = lambda endpoint, rate: (
            None
        )
        self._is_sample_valid: Callable[[float], bool] = lambda sent_at: True

    def set_admission_check(
        self, check_admission: AdmissionCheck, round_trips: RoundTrips | None = None
    ) -> None:
        """Set the function that queries coordinators, and the round trips it measures.

        Without the latter no path counts as congested.
        """
        self._check_admission = check_admission
        if round_trips is not None:
            self._distance.set_round_trips(round_trips)

    def set_wait_limits(self, wait_limits: QueueWaitLimits) -> None:
        """Replace the limits of the queueing time, before any request is placed."""
        self._wait_limits = wait_limits

    def set_sample_filter(self, is_sample_valid: Callable[[float], bool]) -> None:
        """Use response times only if this router was responsive since the request.

        An overloaded router would estimate engines as many times slower than they are,
        refuse requests for which they have room, and report too much prefill to others.
        """
        self._is_sample_valid = is_sample_valid

    def apply_routing(self, routing: RoutingConfiguration) -> None:
        """Apply a version of the configuration."""
        self._wait_limits.apply_routing(routing)
        self._shares.set_guaranteed_rate(routing.limits.capacity_tokens_per_second)

    def set_restart_report(
        self, report_restart: Callable[[Endpoint, int], None]
    ) -> None:
        """Set the function that tells an endpoint's coordinator of a restart."""
        self._report_restart = report_restart

    def set_locator(self, locator: "Locator") -> None:
        """Set the client of the fleet's prefix directory."""
        self._locator = locator

    def record_demand(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Count the tokens that a request asks for.

        `weight` is the number of requests that this one represents; the others were
        refused without being read.
        """
        if call.prompt is not None:
            owner = organisation.name if organisation is not None else ""
            tokens = _total_tokens(call.prompt)
            computed = tokens - shared_prefix_tokens(call.prompt)
            self._shares.record_request(owner, weight * tokens, weight * computed)

    def record_shed(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Count the tokens of a request that is refused before it is placed."""
        if call.prompt is not None:
            owner = organisation.name if organisation is not None else ""
            self._shares.record_shed(owner, weight * _total_tokens(call.prompt))

    async def place(self, context: RequestContext) -> Result[Placement, Fault]:
        """Return the endpoint for the next attempt."""
        if context.residency.regions == frozenset():
            return Error(Fault(FaultKind.NO_ALLOWED_REGION))
        prompt = context.request.prompt
        endpoints = self._available_endpoints(context)
        if not endpoints:
            self._log_no_endpoint(context)
            retry_after = self._retry_after_pauses(context)
            return Error(Fault(FaultKind.NO_ENDPOINT, retry_after))
        if prompt is None:
            return await self._place_plain(context, endpoints)
        requirements = await self._requirements(context, endpoints)
        if context.send_count:
            best = self._rank_engines(context, requirements)[0]
            if self._warmup.rate(best.endpoint) is None:
                self._record_attempt(context, best)
                return Ok(self._placement_of_prompt(context, best, requirements))
        return await self._place_prompt(context, requirements)

    async def _place_plain(
        self, context: RequestContext, endpoints: list[Endpoint]
    ) -> Result[Placement, Fault]:
        """Place a request of a plain service, if possible on a warm endpoint."""
        warm = [each for each in endpoints if self._warmup.rate(each) is None]
        if warm:
            best = self._chooser.best_plain_endpoint(context, warm)
            self._record_attempt(context, best)
            return Ok(self._placement(context, best))
        for _ in range(min(MAX_ADMISSION_QUERIES, len(endpoints))):
            best = self._chooser.best_plain_endpoint(context, endpoints)
            granted = await self._admit(context, best, MAX_PLAIN_WAIT_SECONDS)
            if granted is not None:
                return Ok(self._placement(context, granted))
            endpoints = [each for each in endpoints if each is not best.endpoint]
        return Error(Fault(FaultKind.NO_ENDPOINT, self._retry_after(context, False)))

    def _rank_engines(
        self, context: RequestContext, requirements: PromptRequirements
    ) -> list[Candidate]:
        """Return the candidate engines, lowest cost first, those warming up last."""
        candidates = self._chooser.rank_engines(context, requirements)
        if not self._warmup.has_limits:
            return candidates
        return sorted(candidates, key=lambda each: self._is_limited(each.endpoint))

    def _is_limited(self, endpoint: Endpoint) -> bool:
        return self._warmup.rate(endpoint) is not None

    async def _requirements(
        self, context: RequestContext, endpoints: list[Endpoint]
    ) -> PromptRequirements:
        """Return the prompt's requirements with the engines that cache its prefix."""
        requirements = PromptRequirements.from_context(context, endpoints)
        if requirements.prefix_id is None:
            return requirements
        first_choice = requirements.ranked_engines[0]
        holders = None
        if requirements.prefix_tokens >= MIN_LOOKUP_TOKENS:
            holders = await self._locator.locate(requirements.prefix_id, first_choice)
        if holders is None:
            # without a directory, assume that the first choice has the prefix cached
            holders = [
                *self._local_prefixes.holders(name_hash(requirements.prefix_id)),
                name_hash(first_choice.id),
            ]
        return replace(requirements, holders=tuple(holders))

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
        over_share = share_status is not ShareStatus.INSIDE
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
                <= self._remaining_wait(context, candidate, share_status)
                and not self._warmup.recently_denied(candidate.endpoint)
            ]
            if not with_room:
                break
            best = with_room[0]
        fault_kind = FaultKind.OVER_SHARE if over_share else FaultKind.OVER_CAPACITY
        prompt = context.request.prompt
        assert prompt is not None
        self._shares.record_declined(context.organisation_name, _total_tokens(prompt))
        _log.info(
            "request not placed",
            id=context.request.id,
            fault=fault_kind.value,
            endpoint=best.endpoint.id,
            asked=len(queried),
            standing=share_status.name.lower(),
            **self._share_fields(context.organisation_name),
            **self._log_fields(best),
        )
        return Error(Fault(fault_kind, self._retry_after(context, over_share)))

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

    def _retry_after(self, context: RequestContext, over_share: bool) -> float:
        """Return the delay after which a refused caller should retry, in seconds."""
        if not over_share:
            return retry_after_refusal()
        return retry_after_refusal(
            self._shares.seconds_until_within_share(context.organisation_name)
        )

    async def _admit(
        self, context: RequestContext, best: Candidate, max_wait: float
    ) -> Candidate | None:
        """Query the endpoint's coordinator whether a request may be sent there.

        Without a reply in time, the request is admitted if the queueing time estimated
        by this router is within `max_wait`, and the endpoint is not warming up. The
        request counts as load at the endpoint during the query, and afterwards if it is
        admitted.

        Returns the candidate, its queueing time computed from the coordinator's reply
        if there is one; None if the request is not admitted.
        """
        name = best.endpoint.id
        warmup_rate = self._warmup.rate(best.endpoint)
        self._record_attempt(context, best)
        admitted = None
        try:
            decision = await self._check_admission(
                best.endpoint, best.prefill_seconds, max_wait, warmup_rate
            )
            if decision is None:
                if best.wait <= max_wait and warmup_rate is None:
                    admitted = best
                return admitted
            if warmup_rate is not None and not decision.admitted:
                self._warmup.record_denial(best.endpoint)
            self._load.record_remote(name, decision.remote_load)
            if decision.admitted:
                own_request = EndpointLoad(1, best.prefill_seconds)
                before = self._load.total(name).subtract(own_request)
                wait = engine_queue_wait(before, best.endpoint.slots)
                admitted = replace(best, wait=wait)
                self._sent[context.request.id, name] = replace(
                    self._sent[context.request.id, name],
                    sent_at=self._now(),
                    wait=wait,
                    granted=True,
                )
            return admitted
        finally:
            # also if the caller disconnects before the reply arrives
            if admitted is None:
                self._remove_attempt(context, best.endpoint)

    def _placement(self, context: RequestContext, best: Candidate) -> Placement:
        return Placement(best.endpoint, best.fetch_from, self._log_fields(best))

    def _placement_of_prompt(
        self, context: RequestContext, best: Candidate, requirements: PromptRequirements
    ) -> Placement:
        prompt = context.request.prompt
        assert prompt is not None
        context.prefill_seconds = best.prefill_seconds
        if requirements.prefix_id is not None:
            self._local_prefixes.record_use(
                name_hash(requirements.prefix_id), name_hash(best.endpoint.id)
            )
            if requirements.prefix_tokens >= MIN_LOOKUP_TOKENS:
                self._locator.report_use(
                    requirements.prefix_id,
                    requirements.ranked_engines[0],
                    best.endpoint,
                )
        if context.first_event_at is None:
            tokens = _total_tokens(prompt)
            self._shares.record_allocation(context.organisation_name, tokens)
            key = (context.request.id, best.endpoint.id)
            self._sent[key] = replace(self._sent[key], allocated=tokens)
        return self._placement(context, best)

    def may_send(self, context: RequestContext, endpoint: Endpoint) -> bool:
        """Whether a request may still be sent to the endpoint that was chosen."""
        if not self._eligible.contains(endpoint, context.residency):
            return False
        if not self._is_limited(endpoint):
            return True
        sent = self._sent.get((context.request.id, endpoint.id))
        return (
            sent is not None
            and sent.granted
            and self._now() - sent.sent_at <= GRANT_SECONDS
        )

    def on_signal(self, endpoint: Endpoint, signal: EndpointSignal) -> None:
        """Record what an endpoint said about itself in a response."""
        self._signals.record(endpoint, signal)

    def on_response_started(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Record the beginning of a response."""
        key = (context.request.id, endpoint.id)
        sent = self._sent.get(key)
        if sent is None:
            return
        prompt = context.request.prompt
        if prompt is not None:
            self._shares.record_start(context.organisation_name, _total_tokens(prompt))
        if self._is_sample_valid(sent.sent_at):
            self._record_response_time(context, endpoint, sent)
        self._load.add_local(endpoint.id, 0, -sent.prefill_seconds)
        self._sent[key] = replace(sent, prefill_seconds=0.0, allocated=0)

    def _record_response_time(
        self, context: RequestContext, endpoint: Endpoint, sent: _SentRequest
    ) -> None:
        """Record how long an endpoint took to begin its response."""
        if self._distance.congestion_seconds(endpoint.zone) > MAX_CONGESTION_SECONDS:
            return
        elapsed = self._now() - sent.sent_at
        if context.request.prompt is None:
            self._chooser.response_times.observe(endpoint.id, elapsed)
            return
        elapsed -= self._distance.round_trip_seconds(endpoint.zone)
        self.prefill.observe(
            endpoint.service, sent.prefill_seconds, elapsed, sent.slowdown, sent.wait
        )

    def on_attempt_ended(
        self, context: RequestContext, endpoint: Endpoint, outcome: Outcome
    ) -> None:
        """Record the end of an attempt."""
        sent = self._remove_attempt(context, endpoint)
        if sent is not None and outcome in NOT_BEGUN_OUTCOMES:
            self._shares.record_return(
                context.organisation_name, sent.allocated, sent.sent_at
            )
        if outcome is Outcome.UNSENT:
            self._outliers.record_connect_failure(endpoint.id)
            self._warmup.suspect(endpoint)
            rate = self._warmup.rate(endpoint)
            if rate is not None:
                self._report_restart(endpoint, rate)
        elif outcome is Outcome.WHOLE:
            self._outliers.record_outcome(endpoint.id, True)
        elif outcome in (Outcome.LOST, Outcome.FAILED, Outcome.BROKEN):
            self._outliers.record_outcome(endpoint.id, False)

    @property
    def paused_endpoints(self) -> int:
        """Number of endpoints that want no requests from this router for some time."""
        return self._signals.count_paused(self._view.endpoints)

    @property
    def load(self) -> FleetLoad:
        """Load of the fleet at each endpoint, as reported to this router."""
        return self._load

    @property
    def shares(self) -> OrganisationShares:
        """Token usage and shares of organisations, as reported to this router."""
        return self._shares

    @property
    def prefill(self) -> PrefillModel:
        """Estimates the prefill times of engines."""
        return self._chooser.prefill

    def retain_endpoints(self) -> None:
        """Drop the state of endpoints that no longer exist."""
        names = {endpoint.id for endpoint in self._view.endpoints}
        self._load.retain_endpoints(names)
        self._outliers.retain_endpoints(names)
        self._warmup.retain_endpoints(names)
        self._signals.retain_endpoints(self._view.endpoints)

    def _available_endpoints(self, context: RequestContext) -> list[Endpoint]:
        untried = [
            endpoint
            for endpoint in self._eligible.of_service(
                context.service, context.residency
            )
            if endpoint.id not in context.attempted_endpoints
        ]
        reachable = [e for e in untried if not self._outliers.is_ejected(e.id)]
        return reachable or untried

    def _retry_after_pauses(self, context: RequestContext) -> float:
        """Return the delay for a caller for whose request no endpoint is left."""
        allowed = self._eligible.allowed(context.service, context.residency)
        return retry_without_endpoint(
            [left for each in allowed if (left := self._signals.pause_left(each))]
        )

    def _log_no_endpoint(self, context: RequestContext) -> None:
        regions = context.residency.regions
        _log.info(
            "no endpoint may be used",
            id=context.request.id,
            service=context.service,
            known=len(self._view.of_service(context.service)),
            paused=self._signals.count_paused(self._view.of_service(context.service)),
            allowed_regions=None if regions is None else sorted(regions),
            drained_zones=self._drained_zones.zones,
            tried=context.attempted_endpoints,
        )

    def _share_fields(self, organisation: str) -> dict[str, float | None]:
        """Return the usage behind a share status, as fields of the log line."""
        usage, level = self._shares.usage(organisation), self._shares.level
        return {
            "requested": usage.requested,
            "allocated": usage.allocated,
            "share_level": round(level) if math.isfinite(level) else None,
            "contended_use": round(self._shares.contended_use(organisation), 2),
            "excess": round(self._shares.excess(organisation), 2),
        }

    def _log_fields(self, best: Candidate) -> dict[str, float]:
        """Return the values behind a decision, as fields of the log line."""
        load = self._load.total(best.endpoint.id)
        return {
            "wait_ms": round(best.wait * 1000),
            "path_ms": round(
                self._distance.round_trip_seconds(best.endpoint.zone) * 1000
            ),
            "running": load.in_flight,
            "reading_before_ms": round(load.prefill_seconds * 1000),
            "failing": round(self._outliers.failure_rate(best.endpoint.id), 2),
            "keeps_part": best.has_prefix,
            "reading_factor": round(self.prefill.slowdown(best.endpoint.service), 2),
        }

    def _record_attempt(self, context: RequestContext, best: Candidate) -> None:
        self._load.add_local(best.endpoint.id, 1, best.prefill_seconds)
        sent = _SentRequest(
            best.prefill_seconds,
            self._now(),
            best.wait,
            slowdown=self.prefill.slowdown(best.endpoint.service),
        )
        self._sent[context.request.id, best.endpoint.id] = sent

    def _remove_attempt(
        self, context: RequestContext, endpoint: Endpoint
    ) -> _SentRequest | None:
        sent = self._sent.pop((context.request.id, endpoint.id), None)
        if sent is not None:
            self._load.add_local(endpoint.id, -1, -sent.prefill_seconds)
        return sent

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _total_tokens(prompt: Prompt) -> int:
    """Return the tokens of a request: 1 per prompt token and 2 per generated token."""
    return prompt.input_tokens + 2 * expected_output_tokens(prompt)

"""Choose the endpoint for each attempt, or refuse the request."""

import asyncio
import random
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
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.forecast import engine_queue_wait
from teaselledge_fleet.process.prefill import PREFILL_TIME_FRACTION
from teaselledge_fleet.process.prefixes import shared_prefix_tokens
from teaselledge_fleet.process.results import OutlierDetector
from teaselledge_fleet.process.shares import OrganisationShares, ShareStatus
from teaselledge_fleet.process.waiting import QueueWaitLimits
from teaselledge_fleet.process.work import EndpointLoad, FleetLoad, name_hash
from teaselledge_fleet.request.call import CallerRequest, Prompt
from teaselledge_fleet.request.context import Outcome, Placement, RequestContext
from teaselledge_fleet.version.routes import Organisation, RoutingConfiguration

__all__ = ["FleetPlacer"]

_log = get_log("placing")

SHARE_TOLERANCE = 1.1
"""Organisations within a tenth of the level count as inside; the views of two
routers differ by about that much."""

MIN_LOOKUP_TOKENS = 1000
"""Length of a shared part from which on the fleet's directory is asked for it.

An engine reads fewer tokens in 15 ms, about as long as asking and copying take.
"""

MAX_ADMISSION_QUERIES = 3
"""Endpoints that are asked for one request. Each may be 40 ms away, and one that finds
three of its likeliest full is not going to be served in time."""

RETRY_SOONEST = 0.3
RETRY_LATEST = 1.2
"""Seconds in which refused callers come back, spread evenly.

A backlog at the bound is read within 0.4 s; callers that came back all at once
would make the next one. Callers of an organisation over its share come back until
its use has left the window, up to 4 s: before that they would be refused again.
"""


@dataclass(frozen=True)
class _Sent:
    """A request at an endpoint.

    Attributes
    ----------
    reading : float
        Seconds of reading that it counts for; 0 once its answer has begun.
    at : float
        Loop time of its sending.
    wait : float
        Seconds that it was to wait behind others.
    """

    reading: float
    at: float
    wait: float = 0.0


class AdmissionCheck(Protocol):
    """Asks whether a prompt may be sent to an endpoint."""

    async def __call__(
        self, endpoint: Endpoint, added: float, most_wait: float
    ) -> AdmissionDecision | None:
        """Return the answer, None where nobody gave one in time."""


async def _nobody(
    endpoint: Endpoint, added: float, most_wait: float
) -> AdmissionDecision | None:
    return None


class Locator(Protocol):
    """Finds the endpoints that keep a shared part of prompts."""

    async def locate(self, part: str, first_choice: Endpoint) -> list[int] | None:
        """Return their keys, the latest user first; None where nobody answers."""

    def report_use(self, part: str, first_choice: Endpoint, endpoint: Endpoint) -> None:
        """Tell that an endpoint was given a prompt with the part."""


class _NoLocator:
    async def locate(self, part: str, first_choice: Endpoint) -> list[int] | None:
        return None

    def report_use(self, part: str, first_choice: Endpoint, endpoint: Endpoint) -> None:
        pass


class FleetPlacer:
    """Decides by what all routers have told of their work.

    Parameters
    ----------
    view : EndpointView
        The endpoints.
    zone : str
        This router's zone.
    zones : mapping of str to str
        Region of each zone.
    """

    def __init__(self, view: EndpointView, zone: str, zones: Mapping[str, str]) -> None:
        self._view = view
        self._distance = Distance(zone, zones)
        self._work = FleetLoad()
        self._shares = OrganisationShares()
        self._parts = PrefixDirectory()
        """Where this router had parts read; goes where the fleet's is not asked."""
        self._results = OutlierDetector()
        self._bounds = QueueWaitLimits()
        self._chooser = EndpointChooser(self._distance, self._work, self._results)
        self._locator: Locator = _NoLocator()
        self._sent: dict[tuple[str, str], _Sent] = {}
        self._ask: AdmissionCheck = _nobody
        self._prompt_since: Callable[[float], bool] = lambda at: True

    def set_admission_check(self, ask: AdmissionCheck) -> None:
        """Have the router that admits to an endpoint asked."""
        self._ask = ask

    def set_sample_filter(self, prompt_since: Callable[[float], bool]) -> None:
        """Learn from an answer only if this router was prompt since it was asked for.

        A router without time would take engines for many times slower than they are,
        refuse what they have room for, and tell others that they have more to read.
        """
        self._prompt_since = prompt_since

    def apply_routing(self, routing: RoutingConfiguration) -> None:
        """Take a version of the configuration."""
        self._bounds.apply_routing(routing)
        self._shares.set_guaranteed_rate(routing.limits.capacity_tokens_per_second)

    def set_locator(self, locator: "Locator") -> None:
        """Have the fleet's directory of parts asked."""
        self._locator = locator

    def record_demand(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Count the work that a request asks for."""
        if call.prompt is not None:
            owner = organisation.name if organisation is not None else ""
            self._shares.record_request(owner, weight * _weight(call.prompt))

    async def place(self, context: RequestContext) -> Result[Placement, Fault]:
        """Return the endpoint for the next attempt."""
        prompt = context.request.prompt
        endpoints = self._usable(context)
        if not endpoints:
            return Error(Fault(FaultKind.NO_ENDPOINT, 0.5))
        if prompt is None:
            best = self._chooser.best_plain_endpoint(context, endpoints)
            self._begin(context, best)
            return Ok(self._placement(context, best))
        demand = await self._demand(context, endpoints)
        if context.send_count:
            best = self._chooser.rank_engines(context, demand)[0]
            self._begin(context, best)
            return Ok(self._placement_of_prompt(context, best, demand))
        return await self._place_prompt(context, demand)

    async def _demand(
        self, context: RequestContext, endpoints: list[Endpoint]
    ) -> PromptRequirements:
        """Find out which engines keep the prompt's shared part."""
        demand = PromptRequirements.from_context(context, endpoints)
        if demand.prefix_id is None:
            return demand
        first = demand.ranked_engines[0]
        holders = None
        if demand.prefix_tokens >= MIN_LOOKUP_TOKENS:
            holders = await self._locator.locate(demand.prefix_id, first)
        if holders is None:
            # the first choice is taken to keep what it should keep
            holders = [
                *self._parts.holders(name_hash(demand.prefix_id)),
                name_hash(first.id),
            ]
        return replace(demand, holders=tuple(holders))

    async def _place_prompt(
        self, context: RequestContext, demand: PromptRequirements
    ) -> Result[Placement, Fault]:
        """Ask for the best engine, and then for the next best ones with room.

        The engine that keeps a long part is by far the best while the others are
        weighed with a copy of it. It must not be the only one that is asked: callers
        would be refused while engines beside it have nothing to do.
        """
        standing = self._shares.status(context.organisation_name, SHARE_TOLERANCE)
        over = standing is not ShareStatus.INSIDE
        bound = self._bounds.max_wait(context.route, context.service, standing)
        asked: set[str] = set()
        best = self._chooser.rank_engines(context, demand)[0]
        while len(asked) < MAX_ADMISSION_QUERIES:
            asked.add(best.endpoint.id)
            left = context.arrived_at + bound - self._now()
            admitted = await self._admit(context, best, left)
            if admitted is not None:
                return Ok(self._placement_of_prompt(context, admitted, demand))
            roomy = [
                candidate
                for candidate in self._chooser.rank_engines(context, demand)
                if candidate.endpoint.id not in asked and candidate.wait <= left
            ]
            if not roomy:
                break
            best = roomy[0]
        kind = FaultKind.OVER_SHARE if over else FaultKind.OVER_CAPACITY
        _log.info(
            "request not placed",
            id=context.request.id,
            fault=kind.value,
            endpoint=best.endpoint.id,
            asked=len(asked),
            standing=standing.name.lower(),
            **self._reasons(best),
        )
        return Error(Fault(kind, self._retry_after(context, over)))

    def _retry_after(self, context: RequestContext, over: bool) -> float:
        """Return when a refused caller should come back, in seconds."""
        latest = RETRY_LATEST
        if over:
            latest = max(
                latest,
                self._shares.seconds_until_within_share(context.organisation_name),
            )
        return random.uniform(RETRY_SOONEST, latest)

    async def _admit(
        self, context: RequestContext, best: Candidate, most: float
    ) -> Candidate | None:
        """Count a request at an endpoint if the router that admits there agrees.

        Returns the candidate with the wait as that router sees it.
        """
        name = best.endpoint.id
        self._begin(context, best)
        admitted = None
        try:
            answer = await self._ask(best.endpoint, best.prefill_seconds, most)
            if answer is None:
                admitted = best if best.wait <= most else None
                return admitted
            self._work.record_remote(name, answer.remote_load)
            if answer.admitted:
                own = EndpointLoad(1, best.prefill_seconds)
                before = self._work.total(name).subtract(own)
                wait = engine_queue_wait(before, best.endpoint.slots)
                admitted = replace(best, wait=wait)
                sent = _Sent(best.prefill_seconds, self._now(), wait)
                self._sent[context.request.id, name] = sent
            return admitted
        finally:
            # also where the caller leaves while the answer is awaited
            if admitted is None:
                self._count_out(context, best.endpoint)

    def _placement(self, context: RequestContext, best: Candidate) -> Placement:
        return Placement(best.endpoint, best.fetch_from, self._reasons(best))

    def _placement_of_prompt(
        self, context: RequestContext, best: Candidate, demand: PromptRequirements
    ) -> Placement:
        prompt = context.request.prompt
        assert prompt is not None
        context.prefill_seconds = best.prefill_seconds
        if demand.prefix_id is not None:
            self._parts.record_use(
                name_hash(demand.prefix_id), name_hash(best.endpoint.id)
            )
            if demand.prefix_tokens >= MIN_LOOKUP_TOKENS:
                self._locator.report_use(
                    demand.prefix_id, demand.ranked_engines[0], best.endpoint
                )
        if not context.send_count:
            self._shares.record_allocation(context.organisation_name, _weight(prompt))
        return self._placement(context, best)

    def accepts_requests(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is there still and not leaving."""
        known = self._view.get(endpoint.id)
        return known is not None and not known.leaving

    def on_response_started(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Note the first part of an answer."""
        key = (context.request.id, endpoint.id)
        sent = self._sent.get(key)
        if sent is None:
            return
        if self._prompt_since(sent.at):
            self._learn(context, endpoint, sent)
        self._work.add_local(endpoint.id, 0, -sent.reading)
        self._sent[key] = replace(sent, reading=0.0)

    def _learn(self, context: RequestContext, endpoint: Endpoint, sent: _Sent) -> None:
        """Learn how long an endpoint took to begin an answer."""
        taken = self._now() - sent.at
        if context.request.prompt is None:
            self._chooser.response_times.observe(endpoint.id, taken)
            return
        reading = sent.wait * PREFILL_TIME_FRACTION + sent.reading
        taken -= self._distance.round_trip_seconds(endpoint.zone)
        self._chooser.prefill.observe(endpoint.service, reading, taken)

    def on_attempt_ended(
        self, context: RequestContext, endpoint: Endpoint, outcome: Outcome
    ) -> None:
        """Note the end of an attempt."""
        self._count_out(context, endpoint)
        if outcome is Outcome.UNSENT:
            self._results.record_connect_failure(endpoint.id)
        elif outcome is Outcome.WHOLE:
            self._results.record_outcome(endpoint.id, True)
        elif outcome in (Outcome.LOST, Outcome.FAILED, Outcome.BROKEN):
            self._results.record_outcome(endpoint.id, False)

    @property
    def load(self) -> FleetLoad:
        """What the fleet has under way, as far as it is told."""
        return self._work

    @property
    def shares(self) -> OrganisationShares:
        """What organisations received, as far as it is told."""
        return self._shares

    def retain_endpoints(self) -> None:
        """Forget endpoints that are gone."""
        names = {endpoint.id for endpoint in self._view.endpoints}
        self._work.retain_endpoints(names)
        self._results.retain_endpoints(names)

    def _usable(self, context: RequestContext) -> list[Endpoint]:
        fresh = [
            endpoint
            for endpoint in self._view.of_service(context.service)
            if endpoint.id not in context.attempted_endpoints
        ]
        reached = [e for e in fresh if not self._results.is_ejected(e.id)]
        return reached or fresh

    def _reasons(self, best: Candidate) -> dict[str, float]:
        """Return the figures that decided, for the log."""
        work = self._work.total(best.endpoint.id)
        return {
            "wait_ms": round(best.wait * 1000),
            "running": work.in_flight,
            "reading_before_ms": round(work.prefill_seconds * 1000),
            "failing": round(self._results.failure_rate(best.endpoint.id), 2),
            "keeps_part": best.has_prefix,
            "reading_factor": round(
                self._chooser.prefill.slowdown(best.endpoint.service), 2
            ),
        }

    def _begin(self, context: RequestContext, best: Candidate) -> None:
        self._work.add_local(best.endpoint.id, 1, best.prefill_seconds)
        sent = _Sent(best.prefill_seconds, self._now(), best.wait)
        self._sent[context.request.id, best.endpoint.id] = sent

    def _count_out(self, context: RequestContext, endpoint: Endpoint) -> None:
        sent = self._sent.pop((context.request.id, endpoint.id), None)
        if sent is not None:
            self._work.add_local(endpoint.id, -1, -sent.reading)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _weight(prompt: Prompt) -> int:
    """Return the work of a request: a token read counts one, one generated two.

    Shared parts are kept and not read again; counted, they would make organisations
    whose prompts share much look as if they had received more than the others.
    """
    return (
        prompt.input_tokens
        - shared_prefix_tokens(prompt)
        + 2 * expected_output_tokens(prompt)
    )

"""Choose the endpoint for each attempt, or refuse the request."""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Protocol

from expression import Error, Ok, Result

from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.admission import Answer
from teaselledge_fleet.process.choosing import (
    Candidate,
    Demand,
    EndpointChooser,
    output_tokens,
)
from teaselledge_fleet.process.directory import PartDirectory
from teaselledge_fleet.process.distance import Distance
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.forecast import engine_wait
from teaselledge_fleet.process.parts import shared_tokens
from teaselledge_fleet.process.reading import BUSY_PART
from teaselledge_fleet.process.results import Results
from teaselledge_fleet.process.shares import OrganisationShares, Standing
from teaselledge_fleet.process.waiting import WaitBounds
from teaselledge_fleet.process.work import FleetWork, Work, key_of
from teaselledge_fleet.request.call import CallerRequest, Prompt
from teaselledge_fleet.request.context import Outcome, Placement, RequestContext
from teaselledge_fleet.version.routes import Organisation, RoutingConfiguration

__all__ = ["FleetPlacer"]

_log = get_log("placing")

SHARE_MARGIN = 1.1
"""Organisations within a tenth of the level count as inside; the views of two
routers differ by about that much."""

LOCATED_TOKENS = 1000
"""Length of a shared part from which on the fleet's directory is asked for it.

An engine reads fewer tokens in 15 ms, about as long as asking and copying take.
"""

MOST_ASKED = 3
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


class Ask(Protocol):
    """Asks whether a prompt may be sent to an endpoint."""

    async def __call__(
        self, endpoint: Endpoint, added: float, most_wait: float
    ) -> Answer | None:
        """Return the answer, None where nobody gave one in time."""


async def _nobody(endpoint: Endpoint, added: float, most_wait: float) -> Answer | None:
    return None


class Locator(Protocol):
    """Finds the endpoints that keep a shared part of prompts."""

    async def locate(self, part: str, first_choice: Endpoint) -> list[int] | None:
        """Return their keys, the latest user first; None where nobody answers."""

    def tell(self, part: str, first_choice: Endpoint, endpoint: Endpoint) -> None:
        """Tell that an endpoint was given a prompt with the part."""


class _NoLocator:
    async def locate(self, part: str, first_choice: Endpoint) -> list[int] | None:
        return None

    def tell(self, part: str, first_choice: Endpoint, endpoint: Endpoint) -> None:
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
        self._work = FleetWork()
        self._shares = OrganisationShares()
        self._parts = PartDirectory()
        """Where this router had parts read; goes where the fleet's is not asked."""
        self._results = Results()
        self._bounds = WaitBounds()
        self._chooser = EndpointChooser(self._distance, self._work, self._results)
        self._locator: Locator = _NoLocator()
        self._sent: dict[tuple[str, str], _Sent] = {}
        self._ask: Ask = _nobody
        self._prompt_since: Callable[[float], bool] = lambda at: True

    def ask_with(self, ask: Ask) -> None:
        """Have the router that admits to an endpoint asked."""
        self._ask = ask

    def learn_if(self, prompt_since: Callable[[float], bool]) -> None:
        """Learn from an answer only if this router was prompt since it was asked for.

        A router without time would take engines for many times slower than they are,
        refuse what they have room for, and tell others that they have more to read.
        """
        self._prompt_since = prompt_since

    def use(self, routing: RoutingConfiguration) -> None:
        """Take a version of the configuration."""
        self._bounds.use(routing)
        self._shares.promise(routing.limits.capacity_tokens_per_second)

    def locate_with(self, locator: "Locator") -> None:
        """Have the fleet's directory of parts asked."""
        self._locator = locator

    def record_demand(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Count the work that a request asks for."""
        if call.prompt is not None:
            owner = organisation.name if organisation is not None else ""
            self._shares.ask(owner, weight * _weight(call.prompt))

    async def place(self, context: RequestContext) -> Result[Placement, Fault]:
        """Return the endpoint for the next attempt."""
        prompt = context.request.prompt
        endpoints = self._usable(context)
        if not endpoints:
            return Error(Fault(FaultKind.NO_ENDPOINT, 0.5))
        if prompt is None:
            best = self._chooser.best_plain(context, endpoints)
            self._begin(context, best)
            return Ok(self._placement(context, best))
        demand = await self._demand(context, endpoints)
        if context.send_count:
            best = self._chooser.engines(context, demand)[0]
            self._begin(context, best)
            return Ok(self._placement_of_prompt(context, best, demand))
        return await self._place_prompt(context, demand)

    async def _demand(
        self, context: RequestContext, endpoints: list[Endpoint]
    ) -> Demand:
        """Find out which engines keep the prompt's shared part."""
        demand = Demand.from_context(context, endpoints)
        if demand.part is None:
            return demand
        first = demand.engines[0]
        holders = None
        if demand.shared >= LOCATED_TOKENS:
            holders = await self._locator.locate(demand.part, first)
        if holders is None:
            # the first choice is taken to keep what it should keep
            holders = [*self._parts.holders(key_of(demand.part)), key_of(first.id)]
        return replace(demand, holders=tuple(holders))

    async def _place_prompt(
        self, context: RequestContext, demand: Demand
    ) -> Result[Placement, Fault]:
        """Ask for the best engine, and then for the next best ones with room.

        The engine that keeps a long part is by far the best while the others are
        weighed with a copy of it. It must not be the only one that is asked: callers
        would be refused while engines beside it have nothing to do.
        """
        standing = self._shares.standing(context.organisation_name, SHARE_MARGIN)
        over = standing is not Standing.INSIDE
        bound = self._bounds.most_wait(context.route, context.service, standing)
        asked: set[str] = set()
        best = self._chooser.engines(context, demand)[0]
        while len(asked) < MOST_ASKED:
            asked.add(best.endpoint.id)
            left = context.arrived_at + bound - self._now()
            admitted = await self._admit(context, best, left)
            if admitted is not None:
                return Ok(self._placement_of_prompt(context, admitted, demand))
            roomy = [
                candidate
                for candidate in self._chooser.engines(context, demand)
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
            latest = max(latest, self._shares.seconds_over(context.organisation_name))
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
            answer = await self._ask(best.endpoint, best.reading, most)
            if answer is None:
                admitted = best if best.wait <= most else None
                return admitted
            self._work.note_others(name, answer.others)
            if answer.admitted:
                own = Work(1, best.reading)
                before = self._work.total(name).without(own)
                wait = engine_wait(before, best.endpoint.slots)
                admitted = replace(best, wait=wait)
                sent = _Sent(best.reading, self._now(), wait)
                self._sent[context.request.id, name] = sent
            return admitted
        finally:
            # also where the caller leaves while the answer is awaited
            if admitted is None:
                self._count_out(context, best.endpoint)

    def _placement(self, context: RequestContext, best: Candidate) -> Placement:
        return Placement(best.endpoint, best.fetch_from, self._reasons(best))

    def _placement_of_prompt(
        self, context: RequestContext, best: Candidate, demand: Demand
    ) -> Placement:
        prompt = context.request.prompt
        assert prompt is not None
        context.prefill_seconds = best.reading
        if demand.part is not None:
            self._parts.note(key_of(demand.part), key_of(best.endpoint.id))
            if demand.shared >= LOCATED_TOKENS:
                self._locator.tell(demand.part, demand.engines[0], best.endpoint)
        if not context.send_count:
            self._shares.receive(context.organisation_name, _weight(prompt))
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
        self._work.add(endpoint.id, 0, -sent.reading)
        self._sent[key] = replace(sent, reading=0.0)

    def _learn(self, context: RequestContext, endpoint: Endpoint, sent: _Sent) -> None:
        """Learn how long an endpoint took to begin an answer."""
        taken = self._now() - sent.at
        if context.request.prompt is None:
            self._chooser.plain.observe(endpoint.id, taken)
            return
        reading = sent.wait * BUSY_PART + sent.reading
        taken -= self._distance.seconds(endpoint.zone)
        self._chooser.reading.observe(endpoint.service, reading, taken)

    def on_attempt_ended(
        self, context: RequestContext, endpoint: Endpoint, outcome: Outcome
    ) -> None:
        """Note the end of an attempt."""
        self._count_out(context, endpoint)
        if outcome is Outcome.UNSENT:
            self._results.note_unreached(endpoint.id)
        elif outcome is Outcome.WHOLE:
            self._results.note(endpoint.id, True)
        elif outcome in (Outcome.LOST, Outcome.FAILED, Outcome.BROKEN):
            self._results.note(endpoint.id, False)

    @property
    def work(self) -> FleetWork:
        """What the fleet has under way, as far as it is told."""
        return self._work

    @property
    def shares(self) -> OrganisationShares:
        """What organisations received, as far as it is told."""
        return self._shares

    def keep(self) -> None:
        """Forget endpoints that are gone."""
        names = {endpoint.id for endpoint in self._view.endpoints}
        self._work.keep(names)
        self._results.keep(names)

    def _usable(self, context: RequestContext) -> list[Endpoint]:
        fresh = [
            endpoint
            for endpoint in self._view.of_service(context.service)
            if endpoint.id not in context.attempted_endpoints
        ]
        reached = [e for e in fresh if not self._results.avoided(e.id)]
        return reached or fresh

    def _reasons(self, best: Candidate) -> dict[str, float]:
        """Return the figures that decided, for the log."""
        work = self._work.total(best.endpoint.id)
        return {
            "wait_ms": round(best.wait * 1000),
            "running": work.running,
            "reading_before_ms": round(work.reading * 1000),
            "failing": round(self._results.failing(best.endpoint.id), 2),
            "keeps_part": best.keeps,
            "reading_factor": round(
                self._chooser.reading.factor(best.endpoint.service), 2
            ),
        }

    def _begin(self, context: RequestContext, best: Candidate) -> None:
        self._work.add(best.endpoint.id, 1, best.reading)
        sent = _Sent(best.reading, self._now(), best.wait)
        self._sent[context.request.id, best.endpoint.id] = sent

    def _count_out(self, context: RequestContext, endpoint: Endpoint) -> None:
        sent = self._sent.pop((context.request.id, endpoint.id), None)
        if sent is not None:
            self._work.add(endpoint.id, -1, -sent.reading)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _weight(prompt: Prompt) -> int:
    """Return the work of a request: a token read counts one, one generated two.

    Shared parts are kept and not read again; counted, they would make organisations
    whose prompts share much look as if they had received more than the others.
    """
    return prompt.input_tokens - shared_tokens(prompt) + 2 * output_tokens(prompt)

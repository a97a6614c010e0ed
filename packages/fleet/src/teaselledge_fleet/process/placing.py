"""Choose the endpoint for each attempt, or refuse the request."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from expression import Error, Ok, Result

from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.admission import Answer
from teaselledge_fleet.process.distance import Distance
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.forecast import PlainForecast, engine_wait
from teaselledge_fleet.process.parts import (
    PartPlaces,
    ranked,
    shared_part,
    shared_tokens,
)
from teaselledge_fleet.process.reading import reading_seconds
from teaselledge_fleet.process.replicas import Footprint
from teaselledge_fleet.process.results import Results
from teaselledge_fleet.process.shares import OrganisationShares
from teaselledge_fleet.process.work import FleetWork
from teaselledge_fleet.request.call import Prompt
from teaselledge_fleet.request.journey import Journey, Outcome, Placement
from teaselledge_fleet.version.routes import Routing

__all__ = ["FleetPlacer"]

_log = get_log("placing")

WAIT_PART = 0.5
"""Part of the objective that a request may wait behind others' prompts.

The rest is for its own prompt, 50 ms for a mean one and 500 ms for one of the
largest, for the first event, and for what other routers have sent since their last
pulse, about 0.1 s of reading.
"""

WAIT_PART_OVER_SHARE = 0.2
"""The same for organisations beyond their fair share.

They stop adding to a backlog early, so that the others still find room before it
reaches the bound above.
"""

SHARE_MARGIN = 1.1
"""Organisations within a tenth of the level count as inside; the views of two
routers differ by about that much."""

DELAY_WEIGHT = 0.1
"""What a second of delay weighs against a second of an engine's time.

An answer within the objective is worth the same whether it came early or late, so
delay alone must not scatter prompts over engines that then read their parts again.
"""

EASY_PART = 0.3
"""Part of the objective up to which a delay harms nobody; see `WAIT_PART`."""

OVERRUN_WEIGHT = 3.0
"""What a second of delay beyond that weighs besides."""

FETCH_SECONDS = 0.0025
COPY_SECONDS_PER_TOKEN = 3.2e-5
"""Price of having parts copied from another engine: 2.5 ms to set up, and a token 1.4
us on the engines' link of 740 Gbit/s and 3.1 us for what the copy is billed. The second
copy also pushes as many tokens of other parts out of a memory that is always full,
and most of them are read again, at 13.5 us of an engine's time and as much billed.
"""

FULLNESS_SECONDS = 0.06
"""Price of a place on an engine whose slots are all taken, against an empty one.

Each running request makes the tokens of all others slower, by 0.2 ms of 12 ms. A
prompt with little to share goes where few run; one with a long shared part stays. It
grows with the square, so that engines with room are not evened out for the price of
bytes between zones.
"""

FAILING_SECONDS = 0.6
"""Detour that avoiding an endpoint whose every attempt fails is worth."""

MOST_CANDIDATES = 12
"""Engines that are looked at for a prompt, the first that should keep its shared part.

One of twelve has room if any has, and twelve are in every zone of six by twos. Looking
at all 45 took 1.6 ms a request, a tenth of a small router's processor time.
"""

MOST_ASKED = 3
"""Endpoints that are asked for one request. Each may be 40 ms away, and one that finds
three of its likeliest full is not going to be served in time."""

ANSWER_BYTES_PER_TOKEN = 20
RETRY_SOONEST = 0.3
RETRY_LATEST = 1.2
"""Seconds in which refused callers come back, spread evenly.

A backlog at the bound is read within 0.4 s; callers that came back all at once
would make the next one.
"""


@dataclass(frozen=True)
class _Candidate:
    endpoint: Endpoint
    reading: float
    wait: float
    cost: float
    fetch_from: str | None


@dataclass(frozen=True)
class _Wish:
    """What a request asks of an engine.

    Attributes
    ----------
    part : str or None
        The longest shared part of its prompt.
    shared : int
        Tokens up to the end of that part.
    reading : float
        Seconds in which an engine that keeps the part reads the rest.
    kilobytes : float
        Size of request and answer.
    homes : list of Endpoint
        Engines in the order in which they should keep the part.
    copies : int
        How many of them should keep it.
    """

    part: str | None
    shared: int
    reading: float
    kilobytes: float
    homes: list[Endpoint]
    copies: int


@dataclass(frozen=True)
class _Sent:
    reading: float
    at: float


class Ask(Protocol):
    """Asks whether a prompt may be sent to an endpoint."""

    async def __call__(
        self, endpoint: Endpoint, added: float, most_wait: float
    ) -> Answer | None:
        """Return the answer, None where nobody gave one in time."""


async def _nobody(endpoint: Endpoint, added: float, most_wait: float) -> Answer | None:
    return None


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
        self._parts = PartPlaces()
        self._results = Results()
        self._plain = PlainForecast()
        self._footprint = Footprint()
        self._memory: dict[str, int] = {}
        self._sent: dict[tuple[str, str], _Sent] = {}
        self._ask: Ask = _nobody

    def ask_with(self, ask: Ask) -> None:
        """Have the router that admits to an endpoint asked."""
        self._ask = ask

    def use(self, routing: Routing) -> None:
        """Take a version of the configuration."""
        self._memory = {
            name: service.engine.memory_tokens
            for name, service in routing.services.items()
            if service.engine is not None
        }

    async def place(self, journey: Journey) -> Result[Placement, Fault]:
        """Return the endpoint for the next attempt."""
        prompt = journey.call.prompt
        if prompt is not None and not journey.tried:
            self._shares.ask(journey.owner, _weight(prompt))
            part = shared_part(prompt)
            if part is not None:
                self._footprint.note(part, shared_tokens(prompt))
        endpoints = self._usable(journey)
        if not endpoints:
            return Error(Fault(FaultKind.NO_ENDPOINT, 0.5))
        if prompt is None or journey.sends:
            best = self._best(journey, endpoints)
            self._begin(journey, best)
            return Ok(self._placement(journey, best))
        return await self._place_prompt(journey, endpoints)

    async def _place_prompt(
        self, journey: Journey, endpoints: list[Endpoint]
    ) -> Result[Placement, Fault]:
        """Ask for the best endpoint, and for the next best with what that told."""
        over = self._shares.over(journey.owner, SHARE_MARGIN)
        wait_part = WAIT_PART_OVER_SHARE if over else WAIT_PART
        asked: set[str] = set()
        best = self._best(journey, endpoints)
        while best.endpoint.id not in asked and len(asked) < MOST_ASKED:
            asked.add(best.endpoint.id)
            waited = self._now() - journey.arrived
            most_wait = wait_part * journey.route.objective - waited
            if await self._admit(journey, best, most_wait):
                return Ok(self._placement(journey, best))
            best = self._best(journey, endpoints)
        kind = FaultKind.OVER_SHARE if over else FaultKind.OVER_CAPACITY
        _log.info(
            "request not placed",
            id=journey.call.id,
            fault=kind.value,
            endpoint=best.endpoint.id,
            asked=len(asked),
            **self._reasons(best),
        )
        return Error(Fault(kind, random.uniform(RETRY_SOONEST, RETRY_LATEST)))

    async def _admit(self, journey: Journey, best: _Candidate, most: float) -> bool:
        """Count a request at an endpoint if the router that admits there agrees."""
        name = best.endpoint.id
        self._begin(journey, best)
        admitted = False
        try:
            answer = await self._ask(best.endpoint, best.reading, most)
            if answer is None:
                admitted = best.wait <= most
            else:
                self._work.note_others(name, answer.others)
                admitted = answer.admitted
        finally:
            # also where the caller leaves while the answer is awaited
            if not admitted:
                self._count_out(journey, best.endpoint)
        return admitted

    def _best(self, journey: Journey, endpoints: list[Endpoint]) -> _Candidate:
        candidates = self._candidates(journey, endpoints)
        return min(candidates, key=lambda c: c.cost)

    def _placement(self, journey: Journey, best: _Candidate) -> Placement:
        prompt = journey.call.prompt
        if prompt is not None:
            journey.reading = best.reading
            part = shared_part(prompt)
            if part is not None:
                self._parts.note(best.endpoint.id, part)
            if not journey.sends:
                self._shares.receive(journey.owner, _weight(prompt))
        return Placement(best.endpoint, best.fetch_from, self._reasons(best))

    def began(self, journey: Journey, endpoint: Endpoint) -> None:
        """Note the first part of an answer."""
        key = (journey.call.id, endpoint.id)
        sent = self._sent.get(key)
        if sent is None:
            return
        if journey.call.prompt is None:
            self._plain.observe(endpoint.id, self._now() - sent.at)
        self._work.add(endpoint.id, 0, -sent.reading)
        self._sent[key] = _Sent(0.0, sent.at)

    def ended(self, journey: Journey, endpoint: Endpoint, outcome: Outcome) -> None:
        """Note the end of an attempt."""
        self._count_out(journey, endpoint)
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

    def _usable(self, journey: Journey) -> list[Endpoint]:
        fresh = [
            endpoint
            for endpoint in self._view.of_service(journey.service)
            if endpoint.id not in journey.tried
        ]
        reached = [e for e in fresh if not self._results.avoided(e.id)]
        return reached or fresh

    def _candidates(
        self, journey: Journey, endpoints: list[Endpoint]
    ) -> list[_Candidate]:
        prompt = journey.call.prompt
        kilobytes = len(journey.body) / 1024
        if prompt is None:
            return [self._plain_candidate(e, journey, kilobytes) for e in endpoints]
        kilobytes += _output(prompt) * ANSWER_BYTES_PER_TOKEN / 1024
        return self._engine_candidates(journey, endpoints, kilobytes)

    def _plain_candidate(
        self, endpoint: Endpoint, journey: Journey, kilobytes: float
    ) -> _Candidate:
        work = self._work.total(endpoint.id)
        wait = self._plain.seconds(endpoint.id, work, endpoint.slots)
        cost = self._detour(endpoint, journey, kilobytes, wait)
        return _Candidate(endpoint, 0, wait, cost + _tie_break(), None)

    def _engine_candidates(
        self, journey: Journey, endpoints: list[Endpoint], kilobytes: float
    ) -> list[_Candidate]:
        prompt = journey.call.prompt
        assert prompt is not None
        part = shared_part(prompt)
        shared = shared_tokens(prompt) if part is not None else 0
        reading = reading_seconds(prompt.tokens, prompt.tokens - shared)
        homes = ranked(part or journey.call.id, endpoints)[:MOST_CANDIDATES]
        copies = 1
        if part is not None:
            memory = self._memory.get(journey.service, 0)
            copies = self._footprint.copies(len(endpoints), memory)
        wish = _Wish(part, shared, reading, kilobytes, homes, copies)
        return [
            self._engine_candidate(endpoint, journey, wish, place < copies)
            for place, endpoint in enumerate(homes)
        ]

    def _engine_candidate(
        self, endpoint: Endpoint, journey: Journey, wish: _Wish, home: bool
    ) -> _Candidate:
        extra, source = 0.0, None
        if wish.part is not None and len(wish.homes) > 1:
            # nothing is copied where the engine keeps the part already
            source = wish.homes[1 if endpoint is wish.homes[0] else 0]
            if not home and not self._parts.keeps(endpoint.id, wish.part):
                extra = FETCH_SECONDS + wish.shared * COPY_SECONDS_PER_TOKEN
        work = self._work.total(endpoint.id)
        wait = engine_wait(work, endpoint.slots)
        cost = extra + self._detour(endpoint, journey, wish.kilobytes, wait)
        cost += FULLNESS_SECONDS * (work.running / endpoint.slots) ** 2
        address = source.address if source is not None else None
        return _Candidate(endpoint, wish.reading, wait, cost + _tie_break(), address)

    def _detour(
        self, endpoint: Endpoint, journey: Journey, kilobytes: float, wait: float
    ) -> float:
        """Return what delay, failures and bytes on the way cost, in seconds."""
        failing = self._results.failing(endpoint.id) * FAILING_SECONDS
        delay = wait + self._distance.seconds(endpoint.zone)
        overrun = max(0.0, delay - EASY_PART * journey.route.objective)
        paid = self._distance.paid(endpoint.zone, kilobytes)
        return failing + paid + DELAY_WEIGHT * delay + OVERRUN_WEIGHT * overrun

    def _reasons(self, best: _Candidate) -> dict[str, float]:
        """Return the figures that decided, for the log."""
        work = self._work.total(best.endpoint.id)
        return {
            "wait_ms": round(best.wait * 1000),
            "running": work.running,
            "reading_before_ms": round(work.reading * 1000),
            "failing": round(self._results.failing(best.endpoint.id), 2),
        }

    def _begin(self, journey: Journey, best: _Candidate) -> None:
        self._work.add(best.endpoint.id, 1, best.reading)
        sent = _Sent(best.reading, self._now())
        self._sent[journey.call.id, best.endpoint.id] = sent

    def _count_out(self, journey: Journey, endpoint: Endpoint) -> None:
        sent = self._sent.pop((journey.call.id, endpoint.id), None)
        if sent is not None:
            self._work.add(endpoint.id, -1, -sent.reading)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _tie_break() -> float:
    """Return up to 0.2 ms, so that routers don't all choose the same of two."""
    return random.random() * 0.0002


def _output(prompt: Prompt) -> int:
    if prompt.output_hint is not None:
        return min(prompt.output_hint, prompt.max_output or prompt.output_hint)
    return prompt.max_output


def _weight(prompt: Prompt) -> int:
    """Return what a request counts: a token read once, a token generated twice."""
    return prompt.tokens + 2 * _output(prompt)

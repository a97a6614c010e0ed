"""Choose among the endpoints of a service for one attempt."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from teaselledge_fleet.process.distance import Distance
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.forecast import ResponseTimeModel, engine_queue_wait
from teaselledge_fleet.process.prefill import PrefillModel
from teaselledge_fleet.process.prefixes import (
    rendezvous_order,
    shared_prefix_id,
    shared_prefix_tokens,
)
from teaselledge_fleet.process.results import OutlierDetector
from teaselledge_fleet.process.work import FleetLoad, name_hash
from teaselledge_fleet.request.call import Prompt
from teaselledge_fleet.request.context import RequestContext

__all__ = [
    "Candidate",
    "PromptRequirements",
    "EndpointChooser",
    "expected_output_tokens",
]

DELAY_WEIGHT = 0.1
"""What a second of delay weighs against a second of an engine's time.

An answer within the objective is worth the same whether it came early or late, so
delay alone must not scatter prompts over engines that then read their parts again.
"""

TOLERATED_DELAY_FRACTION = 0.3
"""Part of the objective up to which a delay harms nobody; see `waiting.WAIT_FRACTION`
for where requests are refused."""

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

MAX_CANDIDATES = 12
"""Engines that are looked at for a prompt, the first that should keep its shared part.

One of twelve has room if any has, and twelve are in every zone of six by twos. Looking
at all 45 took 1.6 ms a request, a tenth of a small router's processor time.
"""

ANSWER_BYTES_PER_TOKEN = 20
BYTES_PER_KILOBYTE = 1024


@dataclass(frozen=True)
class Candidate:
    """An endpoint that an attempt could be sent to.

    Attributes
    ----------
    endpoint : Endpoint
        Where.
    prefill_seconds : float
        Seconds in which it reads the prompt; 0 at a plain service.
    wait : float
        Seconds until it begins.
    cost : float
        What sending it there costs, in seconds of an engine's time.
    fetch_from : str or None
        Address of an engine that may keep the shared parts.
    has_prefix : bool
        Whether it is taken to keep them itself.
    """

    endpoint: Endpoint
    prefill_seconds: float
    wait: float
    cost: float
    fetch_from: str | None = None
    has_prefix: bool = False


@dataclass(frozen=True)
class PromptRequirements:
    """What a prompt asks of an engine.

    Attributes
    ----------
    prefix_id : str or None
        The longest shared part of the prompt.
    prefix_tokens, suffix_tokens : int
        Tokens up to the end of that part, and after it.
    kilobytes : float
        Size of request and answer.
    ranked_engines : list of Endpoint
        In the order in which they should keep the part.
    holders : tuple of int
        Keys of the engines that keep the part, the one that used it last first.
    """

    prefix_id: str | None
    prefix_tokens: int
    suffix_tokens: int
    kilobytes: float
    ranked_engines: list[Endpoint]
    holders: tuple[int, ...] = ()

    @classmethod
    def from_context(
        cls, context: RequestContext, endpoints: Sequence[Endpoint]
    ) -> "PromptRequirements":
        """Return the demand of a request with a prompt; its holders are not known."""
        prompt = context.request.prompt
        assert prompt is not None
        part = shared_prefix_id(prompt)
        shared = shared_prefix_tokens(prompt)
        answer = expected_output_tokens(prompt) * ANSWER_BYTES_PER_TOKEN
        return cls(
            part,
            shared,
            prompt.input_tokens - shared,
            (len(context.body) + answer) / BYTES_PER_KILOBYTE,
            rendezvous_order(part or context.request.id, endpoints)[:MAX_CANDIDATES],
        )

    def fetch_source(self, endpoint: Endpoint) -> Endpoint | None:
        """Return the engine from which another one should copy the part.

        Where nobody is known to keep it, the first choice may have it still.
        """
        if self.prefix_id is None:
            return None
        others = [engine for engine in self.ranked_engines if engine is not endpoint]
        for holder in self.holders:
            for engine in others:
                if name_hash(engine.id) == holder:
                    return engine
        return others[0] if others else None


class EndpointChooser:
    """Weighs endpoints by delay, bytes, failures and what they must read.

    Attributes
    ----------
    response_times : ResponseTimeModel
        Learns how long plain services take.
    prefill : PrefillModel
        Learns how long model engines read.
    """

    def __init__(
        self, distance: Distance, work: FleetLoad, results: OutlierDetector
    ) -> None:
        self._distance = distance
        self._work = work
        self._results = results
        self.response_times = ResponseTimeModel()
        self.prefill = PrefillModel()

    def best_plain_endpoint(
        self, context: RequestContext, endpoints: Sequence[Endpoint]
    ) -> Candidate:
        """Return the best endpoint of a plain service."""
        kilobytes = len(context.body) / BYTES_PER_KILOBYTE
        candidates = []
        for endpoint in endpoints:
            work = self._work.total(endpoint.id)
            wait = self.response_times.predict(endpoint.id, work, endpoint.slots)
            cost = self._detour(endpoint, context, kilobytes, wait)
            candidates.append(Candidate(endpoint, 0.0, wait, cost + _tie_break()))
        return min(candidates, key=lambda candidate: candidate.cost)

    def rank_engines(
        self, context: RequestContext, demand: PromptRequirements
    ) -> list[Candidate]:
        """Return the engines for a prompt, the best first."""
        candidates = [
            self._engine(each, context, demand) for each in demand.ranked_engines
        ]
        return sorted(candidates, key=lambda candidate: candidate.cost)

    def _engine(
        self, endpoint: Endpoint, context: RequestContext, demand: PromptRequirements
    ) -> Candidate:
        holds = name_hash(endpoint.id) in demand.holders
        first = endpoint is demand.ranked_engines[0]
        unread = (
            demand.suffix_tokens
            if demand.holders
            else demand.prefix_tokens + demand.suffix_tokens
        )
        tokens = demand.prefix_tokens + demand.suffix_tokens
        reading = self.prefill.predict(endpoint.service, tokens, unread)
        work = self._work.total(endpoint.id)
        wait = engine_queue_wait(work, endpoint.slots)
        cost = self._detour(endpoint, context, demand.kilobytes, wait)
        cost += FULLNESS_SECONDS * (work.in_flight / endpoint.slots) ** 2
        if demand.prefix_id is not None and not (
            holds or (first and not demand.holders)
        ):
            # where nobody keeps the part, its first choice should be the one to read it
            cost += FETCH_SECONDS + demand.prefix_tokens * COPY_SECONDS_PER_TOKEN
        source = demand.fetch_source(endpoint)
        address = source.address if source is not None else None
        cost += _tie_break()
        return Candidate(endpoint, reading, wait, cost, address, holds)

    def _detour(
        self, endpoint: Endpoint, context: RequestContext, kilobytes: float, wait: float
    ) -> float:
        """Return what delay, failures and bytes on the way cost, in seconds."""
        failing = self._results.failure_rate(endpoint.id) * FAILING_SECONDS
        delay = wait + self._distance.round_trip_seconds(endpoint.zone)
        overrun = max(
            0.0, delay - TOLERATED_DELAY_FRACTION * context.route.latency_objective
        )
        paid = self._distance.transfer_cost(endpoint.zone, kilobytes)
        return failing + paid + DELAY_WEIGHT * delay + OVERRUN_WEIGHT * overrun


def expected_output_tokens(prompt: Prompt) -> int:
    """Return how many tokens an answer is expected to have."""
    if prompt.expected_output_tokens is not None:
        return min(
            prompt.expected_output_tokens,
            prompt.max_output_tokens or prompt.expected_output_tokens,
        )
    return prompt.max_output_tokens


def _tie_break() -> float:
    """Return up to 0.2 ms, so that routers don't all choose the same of two."""
    return random.random() * 0.0002

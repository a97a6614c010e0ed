"""Choose among the endpoints of a service for one attempt."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from teaselledge_fleet.process.distance import Distance
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.forecast import PlainForecast, engine_wait
from teaselledge_fleet.process.parts import ranked, shared_part, shared_tokens
from teaselledge_fleet.process.reading import ReadingModel
from teaselledge_fleet.process.results import Results
from teaselledge_fleet.process.work import FleetWork, key_of
from teaselledge_fleet.request.call import Prompt
from teaselledge_fleet.request.context import RequestContext

__all__ = ["Candidate", "Demand", "EndpointChooser", "output_tokens"]

DELAY_WEIGHT = 0.1
"""What a second of delay weighs against a second of an engine's time.

An answer within the objective is worth the same whether it came early or late, so
delay alone must not scatter prompts over engines that then read their parts again.
"""

EASY_PART = 0.3
"""Part of the objective up to which a delay harms nobody; see `waiting.WAIT_PART` for
where requests are refused."""

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

ANSWER_BYTES_PER_TOKEN = 20
BYTES_PER_KILOBYTE = 1024


@dataclass(frozen=True)
class Candidate:
    """An endpoint that an attempt could be sent to.

    Attributes
    ----------
    endpoint : Endpoint
        Where.
    reading : float
        Seconds in which it reads the prompt; 0 at a plain service.
    wait : float
        Seconds until it begins.
    cost : float
        What sending it there costs, in seconds of an engine's time.
    fetch_from : str or None
        Address of an engine that may keep the shared parts.
    keeps : bool
        Whether it is taken to keep them itself.
    """

    endpoint: Endpoint
    reading: float
    wait: float
    cost: float
    fetch_from: str | None = None
    keeps: bool = False


@dataclass(frozen=True)
class Demand:
    """What a prompt asks of an engine.

    Attributes
    ----------
    part : str or None
        The longest shared part of the prompt.
    shared, own : int
        Tokens up to the end of that part, and after it.
    kilobytes : float
        Size of request and answer.
    engines : list of Endpoint
        In the order in which they should keep the part.
    holders : tuple of int
        Keys of the engines that keep the part, the one that used it last first.
    """

    part: str | None
    shared: int
    own: int
    kilobytes: float
    engines: list[Endpoint]
    holders: tuple[int, ...] = ()

    @classmethod
    def from_context(
        cls, context: RequestContext, endpoints: Sequence[Endpoint]
    ) -> "Demand":
        """Return the demand of a request with a prompt; its holders are not known."""
        prompt = context.request.prompt
        assert prompt is not None
        part = shared_part(prompt)
        shared = shared_tokens(prompt)
        answer = output_tokens(prompt) * ANSWER_BYTES_PER_TOKEN
        return cls(
            part,
            shared,
            prompt.input_tokens - shared,
            (len(context.body) + answer) / BYTES_PER_KILOBYTE,
            ranked(part or context.request.id, endpoints)[:MOST_CANDIDATES],
        )

    def source(self, endpoint: Endpoint) -> Endpoint | None:
        """Return the engine from which another one should copy the part.

        Where nobody is known to keep it, the first choice may have it still.
        """
        if self.part is None:
            return None
        others = [engine for engine in self.engines if engine is not endpoint]
        for holder in self.holders:
            for engine in others:
                if key_of(engine.id) == holder:
                    return engine
        return others[0] if others else None


class EndpointChooser:
    """Weighs endpoints by delay, bytes, failures and what they must read.

    Attributes
    ----------
    plain : PlainForecast
        Learns how long plain services take.
    reading : ReadingModel
        Learns how long model engines read.
    """

    def __init__(self, distance: Distance, work: FleetWork, results: Results) -> None:
        self._distance = distance
        self._work = work
        self._results = results
        self.plain = PlainForecast()
        self.reading = ReadingModel()

    def best_plain(
        self, context: RequestContext, endpoints: Sequence[Endpoint]
    ) -> Candidate:
        """Return the best endpoint of a plain service."""
        kilobytes = len(context.body) / BYTES_PER_KILOBYTE
        candidates = []
        for endpoint in endpoints:
            work = self._work.total(endpoint.id)
            wait = self.plain.seconds(endpoint.id, work, endpoint.slots)
            cost = self._detour(endpoint, context, kilobytes, wait)
            candidates.append(Candidate(endpoint, 0.0, wait, cost + _tie_break()))
        return min(candidates, key=lambda candidate: candidate.cost)

    def engines(self, context: RequestContext, demand: Demand) -> list[Candidate]:
        """Return the engines for a prompt, the best first."""
        candidates = [self._engine(each, context, demand) for each in demand.engines]
        return sorted(candidates, key=lambda candidate: candidate.cost)

    def _engine(
        self, endpoint: Endpoint, context: RequestContext, demand: Demand
    ) -> Candidate:
        holds = key_of(endpoint.id) in demand.holders
        first = endpoint is demand.engines[0]
        unread = demand.own if demand.holders else demand.shared + demand.own
        tokens = demand.shared + demand.own
        reading = self.reading.seconds(endpoint.service, tokens, unread)
        work = self._work.total(endpoint.id)
        wait = engine_wait(work, endpoint.slots)
        cost = self._detour(endpoint, context, demand.kilobytes, wait)
        cost += FULLNESS_SECONDS * (work.running / endpoint.slots) ** 2
        if demand.part is not None and not (holds or (first and not demand.holders)):
            # where nobody keeps the part, its first choice should be the one to read it
            cost += FETCH_SECONDS + demand.shared * COPY_SECONDS_PER_TOKEN
        source = demand.source(endpoint)
        address = source.address if source is not None else None
        cost += _tie_break()
        return Candidate(endpoint, reading, wait, cost, address, holds)

    def _detour(
        self, endpoint: Endpoint, context: RequestContext, kilobytes: float, wait: float
    ) -> float:
        """Return what delay, failures and bytes on the way cost, in seconds."""
        failing = self._results.failing(endpoint.id) * FAILING_SECONDS
        delay = wait + self._distance.seconds(endpoint.zone)
        overrun = max(0.0, delay - EASY_PART * context.route.latency_objective)
        paid = self._distance.paid(endpoint.zone, kilobytes)
        return failing + paid + DELAY_WEIGHT * delay + OVERRUN_WEIGHT * overrun


def output_tokens(prompt: Prompt) -> int:
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

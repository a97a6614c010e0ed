"""Choose among the endpoints of a service for one attempt."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from teaselledge_fleet.engines.backlog import LeastBacklog
from teaselledge_fleet.engines.speeds import EngineSpeeds
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
"""Weight of a second of delay relative to a second of engine time.

A response within the latency objective is worth the same whether it is early or late,
so delay alone must not spread prompts over engines that would repeat the prefill of
their prefixes.
"""

TOLERATED_DELAY_FRACTION = 0.3
"""Fraction of the latency objective below which a delay costs nothing extra.

`waiting.WAIT_FRACTION` is the limit at which requests are refused."""

OVERRUN_WEIGHT = 3.0
"""Additional weight of a second of delay beyond the tolerated one."""

COPY_SETUP_SECONDS = 0.0025
COPY_SECONDS_PER_TOKEN = 6.4e-5
"""Cost of copying a prefix from another engine.

The set-up takes 2.5 ms. A token takes 1.4 us on the engines' link of 740 Gbit/s and is
billed as much as 3.1 us of engine time. A second copy also evicts as many tokens of
other prefixes from a cache that is always full, and is used and kept besides the first
one from then on. The evicted prefixes are computed again, at 13.5 us of engine time a
token, and as much again is billed. A prompt therefore rather waits at the engine that
caches its prefix than to use a second copy, while it can still be served in time.
"""

OCCUPANCY_COST_SECONDS = 0.06
"""Cost of an engine whose slots are all in use, compared with an idle one.

Each running request slows down the token generation of all others by 0.2 ms of 12 ms.
Prompts with a short shared prefix therefore go to engines with few requests, and those
with a long one stay where it is cached. The cost grows with the square of the
occupancy, so that load is not balanced between engines with room at the price of
traffic between zones.
"""

FAILURE_COST_SECONDS = 0.6
"""Cost of an endpoint at which every attempt fails."""

MAX_CANDIDATES = 12
"""Maximum number of engines considered for a prompt, in rendezvous order.

If any engine has room, one of twelve has. Twelve are two for each of six zones.
Considering all 45 took 1.6 ms a request, a tenth of a small router's CPU time.
"""

MAX_IDLE_CANDIDATES = 4
"""Maximum number of further engines considered in a service with uneven engines, those
with the least backlog.

There, the twelve may all be slow ones. Four cost a third more than twelve."""

RESPONSE_BYTES_PER_TOKEN = 20
BYTES_PER_KILOBYTE = 1024


@dataclass(frozen=True)
class Candidate:
    """An endpoint to which an attempt could be sent.

    Attributes
    ----------
    endpoint : Endpoint
        The endpoint.
    prefill_seconds : float
        Expected prefill time of the prompt; 0 at a plain service.
    wait : float
        Expected queueing time in seconds; at a plain service, time to the response.
    cost : float
        Cost of sending the attempt there, in seconds of engine time.
    fetch_from : str or None
        Address of an engine that may have the shared prefix cached.
    has_prefix : bool
        Whether the endpoint itself is assumed to have it cached.
    prefill_factor : float
        Factor of the endpoint that is contained in the prefill time.
    """

    endpoint: Endpoint
    prefill_seconds: float
    wait: float
    cost: float
    fetch_from: str | None = None
    has_prefix: bool = False
    prefill_factor: float = 1.0


@dataclass(frozen=True)
class PromptRequirements:
    """Properties of a prompt that determine its cost at each engine.

    Attributes
    ----------
    prefix_id : str or None
        Id of the prompt's longest shared prefix.
    prefix_tokens, suffix_tokens : int
        Tokens in that prefix, and after it.
    kilobytes : float
        Size of request and response.
    ranked_engines : list of Endpoint
        Candidate engines in the rendezvous order of the prefix.
    holders : tuple of int
        Hashes of the engines that have the prefix cached, most recently used first.
    available_engines : sequence of Endpoint
        All engines that may be used, in any order.
    """

    prefix_id: str | None
    prefix_tokens: int
    suffix_tokens: int
    kilobytes: float
    ranked_engines: list[Endpoint]
    holders: tuple[int, ...] = ()
    available_engines: Sequence[Endpoint] = ()

    @classmethod
    def from_context(
        cls, context: RequestContext, endpoints: Sequence[Endpoint]
    ) -> "PromptRequirements":
        """Return the requirements of a request with a prompt, without holders."""
        prompt = context.request.prompt
        assert prompt is not None
        prefix_id = shared_prefix_id(prompt)
        prefix_tokens = shared_prefix_tokens(prompt)
        response_bytes = expected_output_tokens(prompt) * RESPONSE_BYTES_PER_TOKEN
        return cls(
            prefix_id,
            prefix_tokens,
            prompt.input_tokens - prefix_tokens,
            (len(context.body) + response_bytes) / BYTES_PER_KILOBYTE,
            rendezvous_order(prefix_id or context.request.id, endpoints)[
                :MAX_CANDIDATES
            ],
            available_engines=endpoints,
        )

    def fetch_sources(
        self, further_engines: Sequence[Endpoint] = ()
    ) -> tuple[Endpoint, ...]:
        """Return the engines from which others may copy the prefix, the best one first.

        If no holder is known, the first choice may still have it cached.

        Parameters
        ----------
        further_engines : sequence of Endpoint
            Holders that are no candidates in rendezvous order.
        """
        if self.prefix_id is None:
            return ()
        by_hash = {name_hash(each.id): each for each in further_engines}
        by_hash |= {name_hash(each.id): each for each in reversed(self.ranked_engines)}
        held = (by_hash[holder] for holder in self.holders if holder in by_hash)
        return tuple(dict.fromkeys([*held, *self.ranked_engines[:2]]))


@dataclass(frozen=True)
class _Path:
    """Round trip to a zone, and cost of transferring a request and its response."""

    round_trip_seconds: float
    transfer_cost: float


@dataclass(frozen=True)
class _CommonTerms:
    """What the candidates of a prompt have in common.

    Attributes
    ----------
    mean_prefill_seconds : float
        Prefill time at an engine with the mean speed of the service.
    fetch_sources : tuple of Endpoint
        Engines from which the others may copy the prefix, the best one first.
    factors : mapping of str to float, or None
        Factors of the prefill time by engine; None if the engines count as equal.
    idle_engines : sequence of Endpoint
        Candidates that are not in rendezvous order.
    paths : dict of str to _Path
        Paths to the zones of the candidates, filled as they are needed.
    """

    mean_prefill_seconds: float
    fetch_sources: tuple[Endpoint, ...]
    factors: Mapping[str, float] | None = None
    idle_engines: Sequence[Endpoint] = ()
    paths: dict[str, _Path] = field(default_factory=dict)

    def fetch_address(self, endpoint: Endpoint) -> str | None:
        """Return the address of the engine from which another copies the prefix.

        What engines of two software versions cache does not fit together.
        """
        for source in self.fetch_sources:
            if source is not endpoint and source.version == endpoint.version:
                return source.address
        return None


class EndpointChooser:
    """Ranks endpoints by delay, transfer cost, failures, occupancy and cached prefix.

    Attributes
    ----------
    response_times : ResponseTimeModel
        Estimates the response times of plain services.
    prefill : PrefillModel
        Estimates the prefill times of engines.
    engine_speeds : EngineSpeeds or None
        Estimates the speeds of single engines; None if these are not estimated.
    """

    def __init__(
        self,
        distance: Distance,
        load: FleetLoad,
        outliers: OutlierDetector,
        engine_speeds: EngineSpeeds | None = None,
    ) -> None:
        self._distance = distance
        self._load = load
        self._outliers = outliers
        self.response_times = ResponseTimeModel()
        self.prefill = PrefillModel()
        self.engine_speeds = engine_speeds
        self._least_backlog = LeastBacklog(self._backlog)

    def best_plain_endpoint(
        self, context: RequestContext, endpoints: Sequence[Endpoint]
    ) -> Candidate:
        """Return the endpoint of a plain service with the lowest cost."""
        kilobytes = len(context.body) / BYTES_PER_KILOBYTE
        candidates = []
        for endpoint in endpoints:
            load = self._load.total(endpoint.id)
            wait = self.response_times.predict(endpoint.id, load, endpoint.slots)
            path = self._path(endpoint.zone, kilobytes)
            cost = self._overhead_cost(endpoint, context, path, wait)
            candidates.append(Candidate(endpoint, 0.0, wait, cost + _tie_break()))
        return min(candidates, key=lambda candidate: candidate.cost)

    def rank_engines(
        self, context: RequestContext, requirements: PromptRequirements
    ) -> list[Candidate]:
        """Return the candidate engines for a prompt, lowest cost first."""
        common = self._common_terms(context, requirements)
        engines = [*requirements.ranked_engines, *common.idle_engines]
        candidates = [
            self._weigh_engine(endpoint, context, requirements, common)
            for endpoint in engines
        ]
        return sorted(candidates, key=lambda candidate: candidate.cost)

    def _common_terms(
        self, context: RequestContext, requirements: PromptRequirements
    ) -> "_CommonTerms":
        """Return what the candidates of a prompt have in common."""
        uncached_tokens = (
            requirements.suffix_tokens
            if requirements.holders
            else requirements.prefix_tokens + requirements.suffix_tokens
        )
        input_tokens = requirements.prefix_tokens + requirements.suffix_tokens
        mean_prefill = self.prefill.predict(
            context.service, input_tokens, uncached_tokens
        )
        speeds = self.engine_speeds
        factors = speeds.factors(context.service) if speeds is not None else None
        if speeds is None or factors is None:
            return _CommonTerms(mean_prefill, requirements.fetch_sources())
        further = _further_engines(requirements)
        idle_engines = self._idle_engines(context.service, speeds, further)
        held = [speeds.endpoint(holder) for holder in requirements.holders]
        sources = requirements.fetch_sources(
            [engine for each in held if each and (engine := further.get(each.id))]
        )
        return _CommonTerms(mean_prefill, sources, factors, idle_engines)

    def _idle_engines(
        self, service: str, speeds: EngineSpeeds, further: Mapping[str, Endpoint]
    ) -> list[Endpoint]:
        """Return those of some further engines that have the least backlog."""
        if not further:
            return []
        now = asyncio.get_running_loop().time()
        listed = self._least_backlog.engines(service, speeds.of_service(service), now)
        idle = [further[each.id] for each in listed if each.id in further]
        return idle[:MAX_IDLE_CANDIDATES]

    def _backlog(self, endpoint: Endpoint) -> float:
        return engine_queue_wait(self._load.total(endpoint.id), endpoint.slots)

    def _weigh_engine(
        self,
        endpoint: Endpoint,
        context: RequestContext,
        requirements: PromptRequirements,
        common: "_CommonTerms",
    ) -> Candidate:
        has_prefix = name_hash(endpoint.id) in requirements.holders
        is_first_choice = endpoint is requirements.ranked_engines[0]
        load = self._load.total(endpoint.id)
        wait = engine_queue_wait(load, endpoint.slots)
        if endpoint.zone not in common.paths:
            common.paths[endpoint.zone] = self._path(
                endpoint.zone, requirements.kilobytes
            )
        path = common.paths[endpoint.zone]
        cost = self._overhead_cost(endpoint, context, path, wait)
        cost += OCCUPANCY_COST_SECONDS * (load.in_flight / endpoint.slots) ** 2
        if requirements.prefix_id is not None and not (
            has_prefix or (is_first_choice and not requirements.holders)
        ):
            # without a holder, the first choice should be the one to compute the prefix
            cost += (
                COPY_SETUP_SECONDS + requirements.prefix_tokens * COPY_SECONDS_PER_TOKEN
            )
        factor, prefill_seconds = 1.0, common.mean_prefill_seconds
        if common.factors is not None:
            factor = common.factors.get(endpoint.id, 1.0)
            prefill_seconds *= factor
            cost += prefill_seconds
        cost += _tie_break()
        return Candidate(
            endpoint,
            prefill_seconds,
            wait,
            cost,
            common.fetch_address(endpoint),
            has_prefix,
            factor,
        )

    def _path(self, zone: str, kilobytes: float) -> "_Path":
        return _Path(
            self._distance.round_trip_seconds(zone),
            self._distance.transfer_cost(zone, kilobytes),
        )

    def _overhead_cost(
        self, endpoint: Endpoint, context: RequestContext, path: "_Path", wait: float
    ) -> float:
        """Return the cost of delay, failures and transfer, in engine seconds."""
        failure_cost = self._outliers.failure_rate(endpoint.id) * FAILURE_COST_SECONDS
        delay = wait + path.round_trip_seconds
        overrun = max(
            0.0, delay - TOLERATED_DELAY_FRACTION * context.route.latency_objective
        )
        return (
            failure_cost
            + path.transfer_cost
            + DELAY_WEIGHT * delay
            + OVERRUN_WEIGHT * overrun
        )


def expected_output_tokens(prompt: Prompt) -> int:
    """Return the expected number of tokens in a response."""
    if prompt.expected_output_tokens is not None:
        return min(
            prompt.expected_output_tokens,
            prompt.max_output_tokens or prompt.expected_output_tokens,
        )
    return prompt.max_output_tokens


def _further_engines(requirements: PromptRequirements) -> dict[str, Endpoint]:
    """Return the engines beyond the candidates in rendezvous order, by id."""
    ranked, available = requirements.ranked_engines, requirements.available_engines
    if len(available) <= len(ranked):
        return {}
    further = {engine.id: engine for engine in available}
    for engine in ranked:
        del further[engine.id]
    return further


def _tie_break() -> float:
    """Return up to 0.2 ms, so that routers don't all choose the same of two equals."""
    return random.random() * 0.0002

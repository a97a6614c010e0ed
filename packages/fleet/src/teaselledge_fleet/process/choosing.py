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
    """

    endpoint: Endpoint
    prefill_seconds: float
    wait: float
    cost: float
    fetch_from: str | None = None
    has_prefix: bool = False


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
        )

    def fetch_source(self, endpoint: Endpoint) -> Endpoint | None:
        """Return the engine from which an endpoint should copy the prefix.

        If no holder is known, the first choice may still have it cached.
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
    """Ranks endpoints by delay, transfer cost, failures, occupancy and cached prefix.

    Attributes
    ----------
    response_times : ResponseTimeModel
        Estimates the response times of plain services.
    prefill : PrefillModel
        Estimates the prefill times of engines.
    """

    def __init__(
        self, distance: Distance, load: FleetLoad, outliers: OutlierDetector
    ) -> None:
        self._distance = distance
        self._load = load
        self._outliers = outliers
        self.response_times = ResponseTimeModel()
        self.prefill = PrefillModel()

    def best_plain_endpoint(
        self, context: RequestContext, endpoints: Sequence[Endpoint]
    ) -> Candidate:
        """Return the endpoint of a plain service with the lowest cost."""
        kilobytes = len(context.body) / BYTES_PER_KILOBYTE
        candidates = []
        for endpoint in endpoints:
            load = self._load.total(endpoint.id)
            wait = self.response_times.predict(endpoint.id, load, endpoint.slots)
            cost = self._overhead_cost(endpoint, context, kilobytes, wait)
            candidates.append(Candidate(endpoint, 0.0, wait, cost + _tie_break()))
        return min(candidates, key=lambda candidate: candidate.cost)

    def rank_engines(
        self, context: RequestContext, requirements: PromptRequirements
    ) -> list[Candidate]:
        """Return the candidate engines for a prompt, lowest cost first."""
        candidates = [
            self._weigh_engine(endpoint, context, requirements)
            for endpoint in requirements.ranked_engines
        ]
        return sorted(candidates, key=lambda candidate: candidate.cost)

    def _weigh_engine(
        self,
        endpoint: Endpoint,
        context: RequestContext,
        requirements: PromptRequirements,
    ) -> Candidate:
        has_prefix = name_hash(endpoint.id) in requirements.holders
        is_first_choice = endpoint is requirements.ranked_engines[0]
        uncached_tokens = (
            requirements.suffix_tokens
            if requirements.holders
            else requirements.prefix_tokens + requirements.suffix_tokens
        )
        input_tokens = requirements.prefix_tokens + requirements.suffix_tokens
        prefill_seconds = self.prefill.predict(
            endpoint.service, input_tokens, uncached_tokens
        )
        load = self._load.total(endpoint.id)
        wait = engine_queue_wait(load, endpoint.slots)
        cost = self._overhead_cost(endpoint, context, requirements.kilobytes, wait)
        cost += OCCUPANCY_COST_SECONDS * (load.in_flight / endpoint.slots) ** 2
        if requirements.prefix_id is not None and not (
            has_prefix or (is_first_choice and not requirements.holders)
        ):
            # without a holder, the first choice should be the one to compute the prefix
            cost += (
                COPY_SETUP_SECONDS + requirements.prefix_tokens * COPY_SECONDS_PER_TOKEN
            )
        source = requirements.fetch_source(endpoint)
        address = source.address if source is not None else None
        cost += _tie_break()
        return Candidate(endpoint, prefill_seconds, wait, cost, address, has_prefix)

    def _overhead_cost(
        self, endpoint: Endpoint, context: RequestContext, kilobytes: float, wait: float
    ) -> float:
        """Return the cost of delay, failures and transfer, in engine seconds."""
        failure_cost = self._outliers.failure_rate(endpoint.id) * FAILURE_COST_SECONDS
        delay = wait + self._distance.round_trip_seconds(endpoint.zone)
        overrun = max(
            0.0, delay - TOLERATED_DELAY_FRACTION * context.route.latency_objective
        )
        transfer_cost = self._distance.transfer_cost(endpoint.zone, kilobytes)
        return (
            failure_cost
            + transfer_cost
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


def _tie_break() -> float:
    """Return up to 0.2 ms, so that routers don't all choose the same of two equals."""
    return random.random() * 0.0002

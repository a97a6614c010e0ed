"""Count the requests that this router has in flight at endpoints."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from teaselledge_fleet.process.choosing import (
    Candidate,
    EndpointChooser,
    expected_output_tokens,
)
from teaselledge_fleet.process.distance import Distance
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.shares import OrganisationShares
from teaselledge_fleet.process.work import FleetLoad
from teaselledge_fleet.request.call import Prompt
from teaselledge_fleet.request.context import Outcome, RequestContext

__all__ = ["InFlightRequests", "SentRequest", "total_tokens"]

MAX_CONGESTION_SECONDS = 0.02
"""Congestion of the path to an endpoint from which its response times tell nothing
about the endpoint. A body takes several round trips, and each of them is late."""

NOT_BEGUN_OUTCOMES = frozenset(
    {Outcome.UNSENT, Outcome.WITHDRAWN, Outcome.DECLINED, Outcome.LOST}
)
"""Outcomes of attempts whose tokens do not count as allocated, unless a response had
begun."""


@dataclass(frozen=True)
class SentRequest:
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
    prefill_factor : float
        Factor of the engine with which it was predicted.
    allocated : int
        Tokens counted as allocated; 0 once the response has begun.
    """

    prefill_seconds: float
    sent_at: float
    wait: float = 0.0
    granted: bool = False
    slowdown: float = 1.0
    prefill_factor: float = 1.0
    allocated: int = 0


class InFlightRequests:
    """Counts requests in flight as load, as tokens of shares, and as response times.

    Parameters
    ----------
    load : FleetLoad
        Load of the fleet, of which this router's is updated.
    shares : OrganisationShares
        Token usage of organisations.
    chooser : EndpointChooser
        Its models learn from response times.
    distance : Distance
        Round trips to the endpoints.

    Attributes
    ----------
    is_sample_valid : callable
        Returns whether a response time tells something about the endpoint, given the
        loop time at which the request was sent.
    """

    def __init__(
        self,
        load: FleetLoad,
        shares: OrganisationShares,
        chooser: EndpointChooser,
        distance: Distance,
    ) -> None:
        self._load = load
        self._shares = shares
        self._chooser = chooser
        self._distance = distance
        self._sent: dict[tuple[str, str], SentRequest] = {}
        self.is_sample_valid: Callable[[float], bool] = lambda sent_at: True

    def get(self, context: RequestContext, endpoint: Endpoint) -> SentRequest | None:
        """Return the attempt of a request at an endpoint, None if it has ended."""
        return self._sent.get((context.request.id, endpoint.id))

    def add(self, context: RequestContext, candidate: Candidate) -> None:
        """Count an attempt from now on as load at its endpoint."""
        endpoint = candidate.endpoint
        self._load.add_local(endpoint.id, 1, candidate.prefill_seconds)
        self._sent[context.request.id, endpoint.id] = SentRequest(
            candidate.prefill_seconds,
            self._now(),
            candidate.wait,
            slowdown=self._chooser.prefill.slowdown(endpoint.service),
            prefill_factor=candidate.prefill_factor,
        )

    def remove(self, context: RequestContext, endpoint: Endpoint) -> SentRequest | None:
        """Stop counting an attempt and return it."""
        sent = self._sent.pop((context.request.id, endpoint.id), None)
        if sent is not None:
            self._load.add_local(endpoint.id, -1, -sent.prefill_seconds)
        return sent

    def record_grant(
        self, context: RequestContext, endpoint: Endpoint, wait: float
    ) -> None:
        """Record that the endpoint's coordinator admitted an attempt."""
        key = (context.request.id, endpoint.id)
        self._sent[key] = replace(
            self._sent[key], sent_at=self._now(), wait=wait, granted=True
        )

    def record_allocation(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Count a prompt's tokens as allocated to its organisation."""
        prompt = context.request.prompt
        if prompt is None or context.first_event_at is not None:
            return
        tokens = total_tokens(prompt)
        self._shares.record_allocation(context.organisation_name, tokens)
        key = (context.request.id, endpoint.id)
        self._sent[key] = replace(self._sent[key], allocated=tokens)

    def on_response_started(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Record the beginning of a response."""
        key = (context.request.id, endpoint.id)
        sent = self._sent.get(key)
        if sent is None:
            return
        prompt = context.request.prompt
        if prompt is not None:
            self._shares.record_start(context.organisation_name, total_tokens(prompt))
        if self.is_sample_valid(sent.sent_at):
            self._record_response_time(context, endpoint, sent)
        self._load.add_local(endpoint.id, 0, -sent.prefill_seconds)
        self._sent[key] = replace(sent, prefill_seconds=0.0, allocated=0)

    def on_attempt_ended(
        self, context: RequestContext, endpoint: Endpoint, outcome: Outcome
    ) -> None:
        """Stop counting an attempt; return its tokens if no engine began it."""
        sent = self.remove(context, endpoint)
        if sent is not None and outcome in NOT_BEGUN_OUTCOMES:
            self._shares.record_return(
                context.organisation_name, sent.allocated, sent.sent_at
            )

    def on_attempt_superseded(
        self, context: RequestContext, endpoint: Endpoint
    ) -> None:
        """Stop counting an attempt whose request another attempt goes on with.

        Its tokens are returned, as the organisation is charged for the other one. An
        attempt that has taken longer than predicted is a sample of at least that time:
        an endpoint that is hedged whenever it is slow would keep its low estimate.
        """
        sent = self.remove(context, endpoint)
        if sent is None:
            return
        self._shares.record_return(
            context.organisation_name, sent.allocated, sent.sent_at
        )
        late = self._now() - sent.sent_at > sent.wait
        if (
            context.request.prompt is None
            and late
            and self.is_sample_valid(sent.sent_at)
        ):
            self._record_response_time(context, endpoint, sent)

    def _record_response_time(
        self, context: RequestContext, endpoint: Endpoint, sent: SentRequest
    ) -> None:
        """Record how long an endpoint took to begin its response."""
        if self._distance.congestion_seconds(endpoint.zone) > MAX_CONGESTION_SECONDS:
            return
        elapsed = self._now() - sent.sent_at
        if context.request.prompt is None:
            self._chooser.response_times.observe(endpoint.id, elapsed)
            return
        elapsed -= self._distance.round_trip_seconds(endpoint.zone)
        sample = self._chooser.prefill.observe(
            endpoint.service, sent.prefill_seconds, elapsed, sent.slowdown, sent.wait
        )
        speeds = self._chooser.engine_speeds
        # a buffered response is that of a failure, or contains the whole generation
        if speeds is None or sample is None or context.first_event_at is None:
            return
        speeds.observe(
            endpoint.id,
            sample.predicted_seconds / sent.prefill_factor,
            sample.observed_seconds,
            context.organisation_name,
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def total_tokens(prompt: Prompt) -> int:
    """Return the tokens of a request: 1 per prompt token and 2 per generated token."""
    return prompt.input_tokens + 2 * expected_output_tokens(prompt)

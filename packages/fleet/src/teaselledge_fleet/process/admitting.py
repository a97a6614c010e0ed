"""Ask the coordinator of an endpoint to admit an attempt."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.admission import AdmissionDecision
from teaselledge_fleet.process.choosing import Candidate
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.forecast import engine_queue_wait
from teaselledge_fleet.process.inflight import InFlightRequests
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.process.warmup import GRANT_SECONDS, WarmupTracker
from teaselledge_fleet.process.work import EndpointLoad, FleetLoad
from teaselledge_fleet.queueing.bounds import WaitingBounds
from teaselledge_fleet.queueing.settings import QueueSettings
from teaselledge_fleet.queueing.tickets import PlaceResult, PlaceState, QueueTicket
from teaselledge_fleet.request.context import RequestContext

__all__ = ["AdmissionCheck", "Admitter", "PlaceRequester"]

_log = get_log("queueing")

DECISION_MARGIN_SECONDS = 0.06
"""Time after the end of a wait in which its decision still arrives: the path of the
query and that of the reply, 40 ms between regions."""


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


MAX_COORDINATOR_QUERIES = 4
"""Queries for a request whose coordinator no longer replies: another one to it, one to
its successor, and one if that changes, too."""


class PlaceRequester(Protocol):
    """Requests places from the coordinators of endpoints; see `AdmissionRpc`."""

    async def request_place(
        self,
        endpoint: Endpoint,
        prefill_seconds: float,
        ticket: QueueTicket,
        max_wait: float,
    ) -> PlaceResult | None:
        """Return the reply; None if none arrived in time."""

    async def wait_for_grant(
        self, endpoint: Endpoint, queued: PlaceResult, seconds: float
    ) -> PlaceResult | None:
        """Return the decision on a request that waits; None if none arrived."""


async def _skip_admission_check(
    endpoint: Endpoint,
    prefill_seconds: float,
    max_wait: float,
    warmup_rate: int | None = None,
) -> AdmissionDecision | None:
    return None


class Admitter:
    """Asks for admission and counts admitted attempts as load.

    Parameters
    ----------
    load : FleetLoad
        Load of the fleet at the endpoints.
    in_flight : InFlightRequests
        Attempts of this router.
    warmup : WarmupTracker
        Endpoints that are warming up.

    Attributes
    ----------
    check : AdmissionCheck
        Queries coordinators.
    report_restart : callable
        Tells an endpoint's coordinator that it probably restarts.
    """

    def __init__(
        self, load: FleetLoad, in_flight: InFlightRequests, warmup: WarmupTracker
    ) -> None:
        self._load = load
        self._in_flight = in_flight
        self._warmup = warmup
        self.check: AdmissionCheck = _skip_admission_check
        self.report_restart: Callable[[Endpoint, int], None] = lambda endpoint, rate: (
            None
        )
        self._places: PlaceRequester | None = None
        self._bounds = WaitingBounds(QueueSettings())
        self._metrics = FleetMetrics()

    @property
    def waiting_requests(self) -> int:
        """Number of requests of this router that wait for places."""
        return self._bounds.requests

    def set_queue(
        self, settings: QueueSettings, places: PlaceRequester, metrics: FleetMetrics
    ) -> None:
        """Let requests wait in the queues of coordinators."""
        self._places, self._metrics = places, metrics
        self._bounds = WaitingBounds(settings)

    def may_wait(self, context: RequestContext, endpoint: Endpoint) -> bool:
        """Whether a request may wait in the queue of an endpoint."""
        return (
            self._places is not None
            and not self.is_limited(endpoint)
            and self._bounds.has_room(len(context.body))
        )

    def is_limited(self, endpoint: Endpoint) -> bool:
        """Whether the requests to an endpoint are limited, as it is warming up."""
        return self._warmup.rate(endpoint) is not None

    async def admit(
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
        self._in_flight.add(context, best)
        admitted = None
        try:
            decision = await self.check(
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
                self._in_flight.record_grant(context, best.endpoint, wait)
            return admitted
        finally:
            # also if the caller disconnects before the reply arrives
            if admitted is None:
                self._in_flight.remove(context, best.endpoint)

    async def admit_queued(
        self,
        context: RequestContext,
        best: Candidate,
        max_wait: float,
        ticket: QueueTicket,
    ) -> Candidate | None:
        """Request a place from the endpoint's coordinator, and wait for the grant.

        Without a reply in time, the request is admitted as by `admit`. It counts as
        load from its grant on. Returns the same as `admit`.
        """
        assert self._places is not None
        self._bounds.add(len(context.body))
        asked_at = self._now()
        outcome = "withdrawn"
        try:
            result = await self._request(context, best, max_wait, ticket)
            if result is None:
                outcome = "unanswered"
                return self._admit_by_estimate(context, best, max_wait)
            outcome = result.state.value
            if result.state is PlaceState.QUEUED:
                outcome = "withdrawn"
                result = await self._wait(context, best, max_wait, ticket, result)
                granted = result is not None and result.state is PlaceState.GRANTED
                outcome = "granted" if granted else "expired"
            if result is None:
                return None
            return self._apply_result(context, best, result)
        finally:
            self._bounds.remove(len(context.body))
            self._record_wait(context, best, outcome, self._now() - asked_at)

    async def _wait(
        self,
        context: RequestContext,
        best: Candidate,
        max_wait: float,
        ticket: QueueTicket,
        queued: PlaceResult,
    ) -> PlaceResult | None:
        """Return the decision on a request that waits, None without one.

        If the coordinator changes or no longer replies, the request is repeated with
        the time that is left. Its successor is known after two missed replies.
        """
        assert self._places is not None
        ends_at = self._now() + ticket.wait_limit
        result: PlaceResult | None = queued
        for tries_left in reversed(range(MAX_COORDINATOR_QUERIES)):
            if result is not None and result.state is PlaceState.QUEUED:
                left = ends_at - self._now() + DECISION_MARGIN_SECONDS
                result = await self._places.wait_for_grant(best.endpoint, result, left)
            left = ends_at - self._now()
            if result is not None or left <= 0 or not tries_left:
                break
            remaining = replace(ticket, wait_limit=left)
            result = await self._request(context, best, max_wait, remaining)
        return result

    async def _request(
        self,
        context: RequestContext,
        best: Candidate,
        max_wait: float,
        ticket: QueueTicket,
    ) -> PlaceResult | None:
        assert self._places is not None
        result = await self._places.request_place(
            best.endpoint, best.prefill_seconds, ticket, max_wait
        )
        if result is not None and result.state is PlaceState.QUEUED:
            _log.info(
                "request queued",
                id=context.request.id,
                endpoint=best.endpoint.id,
                expected_ms=round(result.expected_wait * 1000),
                limit_ms=round(ticket.wait_limit * 1000),
                queue_length=result.queue_length,
                priority=ticket.priority,
            )
        return result

    def _admit_by_estimate(
        self, context: RequestContext, best: Candidate, max_wait: float
    ) -> Candidate | None:
        if best.wait > max_wait:
            return None
        self._in_flight.add(context, best)
        return best

    def _apply_result(
        self, context: RequestContext, best: Candidate, result: PlaceResult
    ) -> Candidate | None:
        """Count a granted request as load and return its candidate."""
        self._load.record_remote(best.endpoint.id, result.remote_load)
        if result.state is not PlaceState.GRANTED:
            return None
        # the coordinator deducts the progress of the current prompt; with the reported
        # load as the wait, engines would be estimated as faster than they are
        wait = result.expected_wait
        admitted = replace(best, wait=wait)
        self._in_flight.add(context, admitted)
        self._in_flight.record_grant(context, best.endpoint, wait)
        return admitted

    def _record_wait(
        self, context: RequestContext, best: Candidate, outcome: str, seconds: float
    ) -> None:
        service = context.service
        self._metrics.increment("place_requests", outcome=outcome, service=service)
        self._metrics.observe("place_wait_seconds", seconds, service=service)
        _log.info(
            "wait ended",
            id=context.request.id,
            endpoint=best.endpoint.id,
            outcome=outcome,
            ms=round(seconds * 1000),
            waiting=self._bounds.requests,
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def may_send(self, context: RequestContext, endpoint: Endpoint, now: float) -> bool:
        """Whether an attempt may still be sent to an endpoint that may be warming up.

        A grant of its coordinator counts only for a moment.
        """
        if not self.is_limited(endpoint):
            return True
        sent = self._in_flight.get(context, endpoint)
        return sent is not None and sent.granted and now - sent.sent_at <= GRANT_SECONDS

    def on_connect_failed(self, endpoint: Endpoint) -> None:
        """Record that an endpoint may be restarting, and tell its coordinator."""
        self._warmup.suspect(endpoint)
        rate = self._warmup.rate(endpoint)
        if rate is not None:
            self.report_restart(endpoint, rate)

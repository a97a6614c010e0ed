"""Send a request to one endpoint, and read its response until it can be forwarded."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from teaselledge_fleet.connection.endpoint import (
    EndpointConnection,
    Exchange,
    IncompleteResponseError,
    SendFailure,
    SendFault,
)
from teaselledge_fleet.connection.front import ResponseWriter
from teaselledge_fleet.connection.pool import ConnectionPool
from teaselledge_fleet.connection.responselimits import MAX_STREAM_BYTES
from teaselledge_fleet.faults import Fault
from teaselledge_fleet.log import get_log
from teaselledge_fleet.migration.streams import OriginSource
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.quarantine.content import content_hash, segment_hashes
from teaselledge_fleet.quarantine.quarantine import Quarantine
from teaselledge_fleet.request.call import ForwardingInfo, HeaderCodec, ResponseHead
from teaselledge_fleet.request.context import Outcome, Placement, Placer, RequestContext
from teaselledge_fleet.request.eventreading import EventReader
from teaselledge_fleet.request.events import EventSplitter
from teaselledge_fleet.version.routes import RetryPolicy

__all__ = [
    "MIN_SERVER_ERROR_STATUS",
    "NOT_RUN_STATUSES",
    "Attempt",
    "AttemptOwner",
    "AttemptResources",
    "ReadyResponse",
]

_log = get_log("serving")

SUCCESS_STATUSES = range(200, 300)
MIN_SERVER_ERROR_STATUS = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise to the caller that its request has not run."""

RESPONSE_TRANSIT_SECONDS = 0.02
"""Subtracted from an endpoint's time limit, as its response takes time to arrive."""


@dataclass(frozen=True)
class AttemptResources:
    """Parts of the router that attempts use.

    Attributes
    ----------
    codec : HeaderCodec
        Encodes and decodes the headers of endpoints.
    pool : ConnectionPool
        Connections to endpoints.
    placer : Placer
        Told of signals and of the end of attempts.
    metrics : FleetMetrics
        Counts attempts.
    quarantine : Quarantine
        Told of connections that endpoints closed.
    origins : OriginSource
        Verifies the versions of endpoints.
    """

    codec: HeaderCodec
    pool: ConnectionPool
    placer: Placer
    metrics: FleetMetrics
    quarantine: Quarantine
    origins: OriginSource


class AttemptOwner(Protocol):
    """The request to which attempts belong.

    Attributes
    ----------
    context : RequestContext
        Its state.
    writer : ResponseWriter
        The caller's response; attempts only read its state.
    """

    context: RequestContext
    writer: ResponseWriter

    def send_fault(self) -> Fault | None:
        """Return why the request must no longer be sent; None if it may be."""

    def may_retry(self, outcome: Outcome) -> bool:
        """Whether another attempt is allowed after an outcome."""

    def on_first_send(self) -> None:
        """Record that the request is about to be sent for the first time."""


@dataclass(frozen=True)
class ReadyResponse:
    """A response of which the caller can be sent the beginning.

    Attributes
    ----------
    head : ResponseHead
        Its head.
    content : bytes
        The whole body, or the first events of a stream.
    streamed : bool
        Whether it is an event stream, so that more events may follow.
    outcome : Outcome
        Outcome of the attempt if all of it is forwarded.
    """

    head: ResponseHead
    content: bytes
    streamed: bool = False
    outcome: Outcome = Outcome.WHOLE


class Attempt:
    """One attempt of a request at one endpoint.

    `open` runs it until its response can be forwarded, `end` ends it in any case.

    Parameters
    ----------
    resources : AttemptResources
        Parts of the router.
    owner : AttemptOwner
        The request.
    placement : Placement
        The endpoint.
    splitter : EventSplitter or None
        Splits the response, if it is an event stream.

    Attributes
    ----------
    rejection : Fault or None
        Why the request must no longer be sent.
    sent_at : float or None
        Loop time at which the request was sent.
    """

    def __init__(
        self,
        resources: AttemptResources,
        owner: AttemptOwner,
        placement: Placement,
        splitter: EventSplitter | None,
    ) -> None:
        self._resources = resources
        self._owner = owner
        self._placement = placement
        self._splitter = splitter
        self._exchange: Exchange | None = None
        self._reader: EventReader | None = None
        self._ended = False
        self._end_checked = False
        self._end_certain = True
        self.rejection: Fault | None = None
        self.sent_at: float | None = None

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint."""
        return self._placement.endpoint

    @property
    def context(self) -> RequestContext:
        """State of the request."""
        return self._owner.context

    @property
    def response_started(self) -> bool:
        """Whether the caller has been sent a part of a response."""
        return self._owner.writer.started

    @property
    def splitter(self) -> EventSplitter | None:
        """Splits the response, if it is an event stream."""
        return self._splitter

    @property
    def ended_by_close(self) -> bool:
        """Whether only the close of its connection shows that the response ended."""
        return self._exchange is not None and self._exchange.ended_by_close

    @property
    def end_certain(self) -> bool:
        """Whether a response that was complete can't have been cut off."""
        return self._end_certain

    async def open(self) -> ReadyResponse | Outcome:
        """Send the request, and read its response until it can be forwarded.

        Returns the response, or how the attempt ended without one.
        """
        resources, owner, endpoint = self._resources, self._owner, self.endpoint
        context = owner.context
        context.attempted_endpoints.append(endpoint.id)
        # before a connection is taken, which another request could take meanwhile
        if not await self._has_version():
            return Outcome.WITHDRAWN
        at_most_once = context.route.retry_policy is not RetryPolicy.ANY
        acquired = await resources.pool.acquire(endpoint.address, at_most_once)
        if acquired.is_error():
            resources.origins.on_connection_lost(endpoint)
            return Outcome.UNSENT
        if owner.writer.disconnected:
            return Outcome.ABANDONED
        self.rejection = owner.send_fault()
        if self.rejection is not None:
            return Outcome.ABANDONED
        if not resources.placer.may_send(context, endpoint):
            _log.info("endpoint left", id=context.request.id, endpoint=endpoint.id)
            return Outcome.WITHDRAWN
        exchange = self._send(acquired.ok)
        head = await exchange.head()
        if head.is_error():
            return self._on_send_failure(head.error)
        if head.ok.authentic:
            resources.placer.on_signal(endpoint, head.ok.signal)
        if head.ok.declined:
            context.possible_runs -= 1
            return Outcome.DECLINED
        return await self._read_response(head.ok, exchange)

    async def read_events(self) -> bytes:
        """Return the next events of the stream, which are empty at its end.

        Raises
        ------
        IncompleteResponseError
            If the stream ends before it is complete.
        """
        assert self._reader is not None
        try:
            events = await self._reader.read()
        except IncompleteResponseError as error:
            self._on_incomplete(error)
            raise
        if not events:
            await self._check_end()
        return events

    def end(self, outcome: Outcome) -> None:
        """End the attempt and record its outcome.

        If its response is not complete, its connection is closed, so that the endpoint
        stops its work on the request.
        """
        if self._end_exchange(outcome):
            self._resources.placer.on_attempt_ended(
                self._owner.context, self.endpoint, outcome
            )

    def supersede(self) -> None:
        """End the attempt, as another one of its request goes on.

        It counts as abandoned, and the organisation's tokens are counted for the other
        one only.
        """
        if self._end_exchange(Outcome.ABANDONED):
            self._resources.placer.on_attempt_superseded(
                self._owner.context, self.endpoint
            )

    def make_hedge(self, placement: Placement) -> "Attempt":
        """Return another attempt of the request, which shares no state with this one.

        Events of a stream that this attempt has received in part must not be mixed with
        those of the other one.
        """
        splitter = EventSplitter() if self._splitter is not None else None
        return Attempt(self._resources, self._owner, placement, splitter)

    async def _has_version(self) -> bool:
        """Whether the endpoint has the version that the stream needs, if it does."""
        if self.context.engine_version is None:
            return True
        return await self._resources.origins.has_version(self.endpoint)

    def _end_exchange(self, outcome: Outcome) -> bool:
        """End the exchange; return False if the attempt had ended before."""
        if self._ended:
            return False
        self._ended = True
        if self._exchange is not None:
            self._exchange.cancel()
        self._resources.metrics.increment(
            "attempts",
            outcome=outcome.name.lower(),
            service=self._owner.context.service,
        )
        return True

    def _send(self, connection: EndpointConnection) -> Exchange:
        resources, placement = self._resources, self._placement
        context, endpoint = self._owner.context, placement.endpoint
        if context.send_count == 0:
            self._owner.on_first_send()
        context.send_count += 1
        context.possible_runs += 1
        self.sent_at = asyncio.get_running_loop().time()
        _log.info(
            "attempt sent",
            id=context.request.id,
            endpoint=endpoint.id,
            address=endpoint.address,
            version=endpoint.version,
            resumes=context.request.resumed_request,
            send=context.send_count,
            fetch_from=placement.fetch_from,
            **placement.log_fields,
        )
        headers = resources.codec.endpoint_request_headers(
            context.request, self._forwarding_info(self.sent_at)
        )
        self._exchange = connection.send_request(
            context.request, resources.codec, headers, context.body
        )
        return self._exchange

    def _forwarding_info(self, now: float) -> ForwardingInfo:
        context = self._owner.context
        last_event_id = self._splitter.last_id if self._splitter is not None else None
        return ForwardingInfo(
            self.endpoint.id,
            context.organisation_name or None,
            max(0.001, context.deadline - now - RESPONSE_TRANSIT_SECONDS),
            last_event_id,
            self._placement.fetch_from,
        )

    def _on_send_failure(self, failure: SendFailure) -> Outcome:
        if failure.fault is SendFault.CLOSED:
            self._resources.origins.on_connection_lost(self.endpoint)
            self._resources.quarantine.on_cut_off(self.context, self.endpoint)
        _log.info(
            "attempt lost",
            id=self.context.request.id,
            endpoint=self.endpoint.id,
            content=content_hash(self.context),
            segments=segment_hashes(self.context),
            sent_ms=self._milliseconds_since_sent,
            fault=failure.fault.value,
            reused=failure.reused,
        )
        return self._lost_outcome

    @property
    def _milliseconds_since_sent(self) -> int:
        if self.sent_at is None:
            return 0
        return round((asyncio.get_running_loop().time() - self.sent_at) * 1000)

    @property
    def _lost_outcome(self) -> Outcome:
        return Outcome.BROKEN if self._owner.writer.started else Outcome.LOST

    async def _read_response(
        self, head: ResponseHead, exchange: Exchange
    ) -> ReadyResponse | Outcome:
        if not head.authentic:
            return self._lost_outcome
        owner = self._owner
        failed = (
            head.status >= MIN_SERVER_ERROR_STATUS or head.status in NOT_RUN_STATUSES
        )
        if failed and (owner.writer.started or owner.may_retry(Outcome.FAILED)):
            return Outcome.FAILED
        if head.status in NOT_RUN_STATUSES:
            # the endpoint gave no assurance that the request has not run, and the
            # status would promise it to the caller
            return Outcome.LOST
        if head.status not in SUCCESS_STATUSES or self._splitter is None:
            return await self._read_whole_body(head, exchange)
        self._reader = EventReader(exchange.body(MAX_STREAM_BYTES), self._splitter)
        return await self._read_first_events(head)

    async def _read_whole_body(
        self, head: ResponseHead, exchange: Exchange
    ) -> ReadyResponse | Outcome:
        if self._owner.writer.started:
            return Outcome.BROKEN
        try:
            chunks = [chunk async for chunk in exchange.body()]
        except IncompleteResponseError as error:
            self._on_incomplete(error)
            return Outcome.LOST
        try:
            await self._check_end()
        except IncompleteResponseError:
            return Outcome.LOST
        failed = head.status >= MIN_SERVER_ERROR_STATUS
        outcome = Outcome.FAILED if failed else Outcome.WHOLE
        return ReadyResponse(head, b"".join(chunks), outcome=outcome)

    async def _read_first_events(self, head: ResponseHead) -> ReadyResponse | Outcome:
        try:
            events = await self.read_events()
        except IncompleteResponseError:
            return self._lost_outcome
        return ReadyResponse(head, events, streamed=True)

    async def _check_end(self) -> None:
        """Check that the close that ended a response was not that of its endpoint.

        A process that ends closes its connections in order. An endpoint that leaves
        does so once it has served all, and its last response is complete.

        Raises
        ------
        IncompleteResponseError
            If the endpoint has ended.
        """
        if not self.ended_by_close or self._end_checked:
            return
        self._end_checked = True
        resources, context, endpoint = self._resources, self.context, self.endpoint
        if not resources.placer.may_send(context, endpoint):
            self._end_certain = False
            return
        if await resources.quarantine.has_ended(context, endpoint):
            error = IncompleteResponseError("the endpoint ended with its connection")
            self._log_incomplete(error)
            raise error

    def _on_incomplete(self, error: IncompleteResponseError) -> None:
        self._resources.origins.on_connection_lost(self.endpoint)
        self._resources.quarantine.on_cut_off(self.context, self.endpoint)
        self._log_incomplete(error)

    def _log_incomplete(self, error: IncompleteResponseError) -> None:
        _log.info(
            "response incomplete",
            id=self.context.request.id,
            endpoint=self.endpoint.id,
            content=content_hash(self.context),
            segments=segment_hashes(self.context),
            sent_ms=self._milliseconds_since_sent,
            started=self.response_started,
            detail=str(error),
        )

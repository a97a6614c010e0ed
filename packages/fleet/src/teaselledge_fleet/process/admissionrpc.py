"""Request admission from endpoints' coordinators and report load to them."""

import asyncio
import secrets
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Protocol

from teaselledge_wire.gen.fleet.ttypes import (
    AdmissionReply,
    AdmissionRequest,
    WorkReport,
)

from teaselledge_fleet.connection.codec import Datagram
from teaselledge_fleet.connection.figures import pack_loads, unpack_loads
from teaselledge_fleet.connection.replies import PendingReplies
from teaselledge_fleet.process.admission import (
    AdmissionController,
    AdmissionDecision,
    AdmissionQuery,
)
from teaselledge_fleet.process.admissionmessages import (
    decision_from_wire,
    place_result,
    query_from_wire,
    query_to_wire,
    reply_to_wire,
)
from teaselledge_fleet.process.coordinators import Coordinators
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.members import Member, Members
from teaselledge_fleet.process.roundtrips import RoundTrips
from teaselledge_fleet.process.work import EndpointLoad, FleetLoad, name_hash
from teaselledge_fleet.queueing.pending import PendingPlaces
from teaselledge_fleet.queueing.settings import QueueSettings
from teaselledge_fleet.queueing.tickets import (
    PlaceResult,
    PlaceState,
    QueueTicket,
    WaitingEntry,
)

__all__ = ["AdmissionRpc", "PeerTransport"]

REPORT_INTERVAL_SECONDS = 0.1
"""Interval between two reports to a coordinator while load changes.

On average, a response that has begun counts as prefill for half of it too long, an
eighth of the queueing time at the limit."""

FULL_REPORT_SECONDS = 0.6
"""Interval at which all load is reported again, to make up for lost datagrams and for
routers that have just become coordinators."""

SENDER_ID_BITS = 31
REPEAT_SECONDS = 0.25
"""Interval at which the query of a request that waits is repeated. It shows that the
coordinator is alive, and makes up for a lost grant while that is valid."""

MS_PER_SECOND = 1000
"""Loads are reported in milliseconds."""

NEVER_ADMITTED_SECONDS = -1.0
"""Maximum queueing time of a query that only tells the coordinator something."""

UNKNOWN_LOAD = EndpointLoad(-1)
"""Differs from every possible load, so that the load is reported again."""


@dataclass
class _Report:
    """Content of a load report to one coordinator."""

    loads: dict[int, EndpointLoad] = field(default_factory=dict)
    granted: list[int] = field(default_factory=list)


class PeerTransport(Protocol):
    """Sends messages to other routers and dispatches those received."""

    def on(self, message_type: type, handler: Callable[..., None]) -> None:
        """Set the handler of a type of message; it also gets the sender's address."""

    def send(self, address: str, payload: Datagram) -> None:
        """Send a message; it may be lost."""

    def send_all(self, addresses: Iterable[str], payload: Datagram) -> None:
        """Send the same message to several addresses."""


@dataclass(frozen=True)
class _QueuedQuery:
    """Query of a request that waits at a coordinator."""

    coordinator: Member
    query: AdmissionQuery
    ends_at: float


class AdmissionRpc:
    """Client and server of admission queries between routers.

    Parameters
    ----------
    members : Members
        The routers.
    view : EndpointView
        The endpoints.
    load : FleetLoad
        Load at the endpoints.
    admission : AdmissionController
        Decides for the endpoints that this router coordinates.
    socket : PeerTransport
        Transport to other routers.
    coordinators : Coordinators
        Finds the coordinator of an endpoint.
    queueing : QueueSettings, optional
        Settings of the queues in front of the endpoints; without them no request waits.

    Attributes
    ----------
    queries_sent, queries_timed_out : int
        Queries to other routers, and those without a reply in time.
    round_trips : RoundTrips
        Time that queries to routers of each region take.
    """

    def __init__(
        self,
        members: Members,
        view: EndpointView,
        load: FleetLoad,
        admission: AdmissionController,
        socket: PeerTransport,
        coordinators: Coordinators,
        queueing: QueueSettings | None = None,
    ) -> None:
        self._members = members
        self._view = view
        self._load = load
        self._admission = admission
        self._socket = socket
        self._coordinators = coordinators
        self._sender_id = secrets.randbits(SENDER_ID_BITS)
        self._sequence = 0
        self._replies: PendingReplies[AdmissionDecision] = PendingReplies()
        self._reported_load: dict[str, EndpointLoad] = {}
        """Load of this router that each endpoint's coordinator knows, by endpoint."""
        self._places: PendingPlaces[PlaceResult] = PendingPlaces()
        self._queued: dict[int, _QueuedQuery] = {}
        self._unconfirmed: defaultdict[str, list[int]] = defaultdict(list)
        """Sequences of grants that no report has named yet, by endpoint."""
        self._report_interval = (
            queueing.report_interval if queueing else REPORT_INTERVAL_SECONDS
        )
        admission.on_place_decided = self._send_place_decision
        self.queries_sent = 0
        self.queries_timed_out = 0
        self.round_trips = RoundTrips()
        socket.on(WorkReport, self._handle_report)
        socket.on(AdmissionRequest, self._handle_request)
        socket.on(AdmissionReply, self._handle_reply)

    async def request_admission(
        self,
        endpoint: Endpoint,
        prefill_seconds: float,
        max_wait: float,
        warmup_rate: int | None = None,
    ) -> AdmissionDecision | None:
        """Ask the coordinator whether a request may be sent.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint; this router's load there already includes the request.
        prefill_seconds : float
            Expected prefill time of the prompt.
        max_wait : float
            Maximum queueing time of the request, in seconds.
        warmup_rate : int or None
            Requests a second that the endpoint may get while it warms up; None if it
            is not limited.

        Returns
        -------
        AdmissionDecision or None
            None if no reply arrived in time.
        """
        coordinator = self._coordinators.for_endpoint(endpoint)
        if coordinator is None:
            return None
        local_load = self._load.local(endpoint.id).subtract(
            EndpointLoad(1, prefill_seconds)
        )
        query = self._make_query(
            endpoint, prefill_seconds, max_wait, warmup_rate, local_load
        )
        if coordinator.vm == self._members.own.vm:
            return self._record_decision(
                endpoint, prefill_seconds, self._admission.decide(query)
            )
        self.queries_sent += 1
        sent_at = self._now()
        self._socket.send(coordinator.peer_address, query_to_wire(query))
        decision = None
        try:
            decision = await self._coordinators.wait_for_reply(
                coordinator, self._replies, query.sequence
            )
        finally:
            if decision is None:
                # it may have counted the request nevertheless: report in any case
                self._reported_load[endpoint.id] = UNKNOWN_LOAD
        if decision is None:
            self.queries_timed_out += 1
            self.round_trips.record_loss(coordinator.region)
            return None
        self.round_trips.observe(coordinator.region, self._now() - sent_at)
        return self._record_decision(endpoint, prefill_seconds, decision)

    async def request_place(
        self,
        endpoint: Endpoint,
        prefill_seconds: float,
        ticket: QueueTicket,
        max_wait: float,
    ) -> PlaceResult | None:
        """Ask the coordinator for a place at an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint; this router's load there does not include the request. It must
            include it at once after a grant.
        prefill_seconds : float
            Expected prefill time of the prompt.
        ticket : QueueTicket
            Position of the request in the queue.
        max_wait : float
            Maximum queueing time that a coordinator without queues applies.

        Returns
        -------
        PlaceResult or None
            None if no reply arrived in time. After one whose state is queued,
            `wait_for_grant` must be awaited.
        """
        coordinator = self._coordinators.for_endpoint(endpoint)
        if coordinator is None:
            return None
        query = self._make_query(
            endpoint, prefill_seconds, max_wait, None, self._load.local(endpoint.id)
        )
        query = replace(query, ticket=ticket)
        ends_at = self._now() + ticket.wait_limit
        self._places.open(query.sequence)
        result = None
        try:
            result = await self._exchange_place(coordinator, query)
        finally:
            if result is None:
                self._withdraw(coordinator, query.sequence)
                # without queues it may have counted the request: report in any case
                self._unconfirmed.setdefault(endpoint.id, [])
            if result is not None and result.state is PlaceState.QUEUED:
                self._queued[query.sequence] = _QueuedQuery(coordinator, query, ends_at)
            else:
                self._places.close(query.sequence)
        return self._record_grant(endpoint, result)

    async def wait_for_grant(
        self, endpoint: Endpoint, queued: PlaceResult, seconds: float
    ) -> PlaceResult | None:
        """Return the later decision on a request that waits.

        Returns None if none arrives within some seconds, or if the coordinator has
        changed or no longer replies. The request is then withdrawn, also if the wait is
        cancelled.
        """
        waiting = self._queued.pop(queued.sequence)
        result = None
        try:
            async with asyncio.timeout(seconds):
                result = await self._wait_for_decision(endpoint, waiting)
        except TimeoutError:
            pass
        finally:
            self._places.close(queued.sequence)
            if result is None:
                self._withdraw(waiting.coordinator, queued.sequence)
        return self._record_grant(endpoint, result)

    async def _wait_for_decision(
        self, endpoint: Endpoint, waiting: _QueuedQuery
    ) -> PlaceResult | None:
        """Return the decision; repeat the query while none arrives."""
        coordinator, query = waiting.coordinator, waiting.query
        assert query.ticket is not None
        while True:
            result = await self._places.wait(query.sequence, REPEAT_SECONDS)
            if result is None:
                current = self._coordinators.for_endpoint(endpoint)
                if current is None or current.vm != coordinator.vm:
                    return None
                left = max(0.0, waiting.ends_at - self._now())
                ticket = replace(query.ticket, wait_limit=left)
                repeated = replace(query, ticket=ticket)
                result = await self._exchange_place(coordinator, repeated)
            if result is None or result.state is not PlaceState.QUEUED:
                return result

    async def _exchange_place(
        self, coordinator: Member, query: AdmissionQuery
    ) -> PlaceResult | None:
        if coordinator.vm == self._members.own.vm:
            return place_result(query.sequence, self._admission.decide(query))
        self.queries_sent += 1
        sent_at = self._now()
        self._socket.send(coordinator.peer_address, query_to_wire(query))
        result = await self._coordinators.wait_for_reply(
            coordinator, self._places, query.sequence
        )
        if result is None:
            self.queries_timed_out += 1
            self.round_trips.record_loss(coordinator.region)
        else:
            self.round_trips.observe(coordinator.region, self._now() - sent_at)
        return result

    def _record_grant(
        self, endpoint: Endpoint, result: PlaceResult | None
    ) -> PlaceResult | None:
        """Name a grant in the next report, which includes its load."""
        if result is not None and result.state is PlaceState.GRANTED:
            self._unconfirmed[endpoint.id].append(result.sequence)
        return result

    def _withdraw(self, coordinator: Member, sequence: int) -> None:
        """Tell a coordinator that a request no longer needs its place."""
        self._sequence += 1
        if coordinator.vm == self._members.own.vm:
            self._admission.record_load(
                self._sender_id, self._sequence, {}, withdrawn=[sequence]
            )
        else:
            self._send_withdrawal(coordinator.peer_address, sequence)

    def _send_withdrawal(self, address: str, sequence: int) -> None:
        report = WorkReport(self._sender_id, self._sequence, b"", withdrawn=[sequence])
        self._socket.send(address, report)

    def _send_place_decision(
        self, entry: WaitingEntry, decision: AdmissionDecision
    ) -> None:
        """Tell a router the decision on its request that waited."""
        if entry.sender != self._sender_id:
            self._socket.send(entry.reply_to, reply_to_wire(entry.sequence, decision))
            return
        result = place_result(entry.sequence, decision)
        if not self._places.resolve(entry.sequence, result) and decision.admitted:
            self._sequence += 1
            self._admission.record_load(
                self._sender_id, self._sequence, {}, withdrawn=[entry.sequence]
            )

    def report_restart(self, endpoint: Endpoint, rate: int) -> None:
        """Tell the coordinator that an endpoint probably restarts.

        The report is a query that is never admitted; its reply is ignored.
        """
        coordinator = self._coordinators.for_endpoint(endpoint)
        if coordinator is None:
            return
        self._sequence += 1
        load = self._load.local(endpoint.id)
        query = AdmissionQuery(
            self._sender_id,
            self._sequence,
            name_hash(endpoint.id),
            endpoint.slots,
            load,
            0.0,
            NEVER_ADMITTED_SECONDS,
            rate,
        )
        if coordinator.vm == self._members.own.vm:
            self._admission.decide(query)
        else:
            self._socket.send(coordinator.peer_address, query_to_wire(query))

    def _record_decision(
        self, endpoint: Endpoint, prefill_seconds: float, decision: AdmissionDecision
    ) -> AdmissionDecision:
        """Record that the coordinator has counted an admitted request.

        The request then needs no report. This also holds if this router is the
        coordinator: a request that ended before the next report would otherwise cause
        none, and would stay counted.
        """
        if decision.admitted:
            reported = self._reported_load.get(endpoint.id, EndpointLoad())
            self._reported_load[endpoint.id] = reported + EndpointLoad(
                1, prefill_seconds
            )
        return decision

    async def run(self) -> None:
        """Report changes of load, and regularly all load, until cancelled."""
        loop = asyncio.get_running_loop()
        last_full_report = loop.time()
        while True:
            await self._load.wait_for_change(FULL_REPORT_SECONDS)
            await asyncio.sleep(self._report_interval)
            changed = {n for n in self._load.pop_changed() if self._needs_report(n)}
            changed.update(self._unconfirmed)
            if loop.time() - last_full_report >= FULL_REPORT_SECONDS:
                last_full_report = loop.time()
                changed |= set(self._load.active_endpoints)
                self._retain_endpoints()
            self.report_load(changed)

    def report_load(self, endpoints: Iterable[str]) -> None:
        """Report this router's load at some endpoints to their coordinators."""
        reports: defaultdict[str, _Report] = defaultdict(_Report)
        addresses: dict[str, str] = {}
        for name in endpoints:
            endpoint = self._view.get(name)
            if endpoint is None:
                self._unconfirmed.pop(name, None)
                continue
            coordinator = self._coordinators.for_endpoint(endpoint)
            if coordinator is None:
                continue
            addresses[coordinator.vm] = coordinator.peer_address
            self._reported_load[name] = self._load.local(name)
            content = reports[coordinator.vm]
            content.loads[name_hash(name)] = self._load.local(name)
            content.granted += self._unconfirmed.pop(name, [])
        for vm, content in reports.items():
            self._sequence += 1
            if vm == self._members.own.vm:
                self._admission.record_load(
                    self._sender_id, self._sequence, content.loads, content.granted
                )
                continue
            report = WorkReport(
                self._sender_id,
                self._sequence,
                pack_loads(content.loads),
                content.granted or None,
            )
            self._socket.send(addresses[vm], report)

    def _needs_report(self, name: str) -> bool:
        """Whether an endpoint's coordinator knows another load than the current one.

        Of the four changes that a request causes, it knows two from its own decisions.
        """
        local_load, reported = (
            self._load.local(name),
            self._reported_load.get(name, EndpointLoad()),
        )
        difference = abs(local_load.prefill_seconds - reported.prefill_seconds)
        return (
            local_load.in_flight != reported.in_flight
            or difference * MS_PER_SECOND >= 1
        )

    def _retain_endpoints(self) -> None:
        """Drop the state of endpoints that no longer exist."""
        names = {endpoint.id for endpoint in self._view.endpoints}
        self._coordinators.retain_endpoints(names)
        self._reported_load = {
            n: load for n, load in self._reported_load.items() if n in names
        }

    def _make_query(
        self,
        endpoint: Endpoint,
        prefill_seconds: float,
        max_wait: float,
        warmup_rate: int | None,
        local_load: EndpointLoad,
    ) -> AdmissionQuery:
        self._sequence += 1
        return AdmissionQuery(
            self._sender_id,
            self._sequence,
            name_hash(endpoint.id),
            endpoint.slots,
            local_load,
            prefill_seconds,
            max_wait,
            warmup_rate,
        )

    def _handle_report(self, report: WorkReport, sender: str) -> None:
        self._admission.record_load(
            report.sender or 0,
            report.sequence or 0,
            unpack_loads(report.work or b""),
            report.granted or (),
            report.withdrawn or (),
        )

    def _handle_request(self, request: AdmissionRequest, sender: str) -> None:
        decision = self._admission.decide(query_from_wire(request, sender))
        self._socket.send(sender, reply_to_wire(request.sequence, decision))

    def _handle_reply(self, reply: AdmissionReply, sender: str) -> None:
        decision = decision_from_wire(reply)
        sequence = reply.sequence or 0
        result = place_result(sequence, decision)
        if self._places.resolve(sequence, result):
            return
        if decision.place is not None and decision.admitted:
            # its caller is gone or it was admitted elsewhere
            self._sequence += 1
            self._send_withdrawal(sender, sequence)
            return
        self._replies.resolve(sequence, decision)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

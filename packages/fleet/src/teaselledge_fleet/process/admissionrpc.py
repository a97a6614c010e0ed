"""Ask the router that admits to an endpoint, and tell it of this router's work."""

import asyncio
import secrets
from collections import defaultdict
from collections.abc import Callable, Iterable
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
from teaselledge_fleet.process.coordinators import Coordinators
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.members import Members
from teaselledge_fleet.process.work import EndpointLoad, FleetLoad, name_hash

__all__ = ["AdmissionRpc", "PeerTransport"]

REPORT_SECONDS = 0.1
"""Time between two reports to a router. An answer that has begun counts as reading for
half of it longer, an eighth of what requests wait at the bound."""

REFRESH_SECONDS = 0.6
"""Time after which all work is told again, against losses and for a router that has
just become the one to ask."""

SENDER_BITS = 31
MILLISECONDS = 1000
UNKNOWN = EndpointLoad(-1)
"""Unlike any work that there can be."""


class PeerTransport(Protocol):
    """Carries messages to other routers."""

    def on(self, kind: type, take: Callable[..., None]) -> None:
        """Have messages of a kind taken, with the address of their sender."""

    def send(self, address: str, content: Datagram) -> None:
        """Send a message; it may be lost."""

    def send_all(self, addresses: Iterable[str], content: Datagram) -> None:
        """Send the same message to some addresses."""


class AdmissionRpc:
    """This router's side of admission, and its answers to others.

    Parameters
    ----------
    members : Members
        The routers.
    view : EndpointView
        The endpoints.
    work : FleetLoad
        What is under way.
    admission : AdmissionController
        Decides for the endpoints for which others ask this router.
    socket : PeerTransport
        The way to other routers.
    coordinators : Coordinators
        Who admits to which endpoint.

    Attributes
    ----------
    queries_sent, queries_timed_out : int
        Questions to other routers, and those without an answer in time.
    """

    def __init__(
        self,
        members: Members,
        view: EndpointView,
        work: FleetLoad,
        admission: AdmissionController,
        socket: PeerTransport,
        coordinators: Coordinators,
    ) -> None:
        self._members = members
        self._view = view
        self._work = work
        self._admission = admission
        self._socket = socket
        self._coordinators = coordinators
        self._number = secrets.randbits(SENDER_BITS)
        self._sequence = 0
        self._replies: PendingReplies[AdmissionDecision] = PendingReplies()
        self._known: dict[str, EndpointLoad] = {}
        """What the routers that admit know of this router's work, by endpoint."""
        self.queries_sent = 0
        self.queries_timed_out = 0
        socket.on(WorkReport, self._take_report)
        socket.on(AdmissionRequest, self._take_request)
        socket.on(AdmissionReply, self._take_reply)

    async def request_admission(
        self, endpoint: Endpoint, added: float, most_wait: float
    ) -> AdmissionDecision | None:
        """Ask whether a request may be sent.

        Parameters
        ----------
        endpoint : Endpoint
            Where to; this router's work there counts the request already.
        added : float
            Seconds in which it reads the prompt.
        most_wait : float
            Seconds that the request may wait behind others.

        Returns
        -------
        Answer or None
            None where nobody answered in time.
        """
        coordinator = self._coordinators.for_endpoint(endpoint)
        if coordinator is None:
            return None
        question = self._question(endpoint, added, most_wait)
        if coordinator.vm == self._members.own.vm:
            return self._noted(endpoint, added, self._admission.decide(question))
        self.queries_sent += 1
        self._socket.send(coordinator.peer_address, _to_wire(question))
        answer = None
        try:
            answer = await self._coordinators.wait_for_reply(
                coordinator, self._replies, question.sequence
            )
        finally:
            if answer is None:
                # it may have counted the request all the same: report in any case
                self._known[endpoint.id] = UNKNOWN
        if answer is None:
            self.queries_timed_out += 1
            return None
        return self._noted(endpoint, added, answer)

    def _noted(
        self, endpoint: Endpoint, added: float, answer: AdmissionDecision
    ) -> AdmissionDecision:
        """Note that whoever admitted a request has counted it, and need not be told.

        Also where this router admits itself: a request that ends before the next report
        would look as if it had never been counted, and would stay counted.
        """
        if answer.admitted:
            known = self._known.get(endpoint.id, EndpointLoad())
            self._known[endpoint.id] = known + EndpointLoad(1, added)
        return answer

    async def run(self) -> None:
        """Report changes for ever, and everything from time to time."""
        loop = asyncio.get_running_loop()
        refreshed = loop.time()
        while True:
            await self._work.wait_for_change(REFRESH_SECONDS)
            await asyncio.sleep(REPORT_SECONDS)
            changed = {n for n in self._work.pop_changed() if self._is_news(n)}
            if loop.time() - refreshed >= REFRESH_SECONDS:
                refreshed = loop.time()
                changed |= set(self._work.active_endpoints)
                self._forget()
            self.report_load(changed)

    def report_load(self, endpoints: Iterable[str]) -> None:
        """Tell of this router's work at some endpoints."""
        reports: defaultdict[str, dict[int, EndpointLoad]] = defaultdict(dict)
        addresses: dict[str, str] = {}
        for name in endpoints:
            endpoint = self._view.get(name)
            if endpoint is None:
                continue
            coordinator = self._coordinators.for_endpoint(endpoint)
            if coordinator is None:
                continue
            addresses[coordinator.vm] = coordinator.peer_address
            self._known[name] = self._work.local(name)
            reports[coordinator.vm][name_hash(name)] = self._work.local(name)
        for vm, work in reports.items():
            self._sequence += 1
            if vm == self._members.own.vm:
                self._admission.record_load(self._number, self._sequence, work)
                continue
            report = WorkReport(self._number, self._sequence, pack_loads(work))
            self._socket.send(addresses[vm], report)

    def _is_news(self, name: str) -> bool:
        """Whether the router that admits to an endpoint knows other work of this one.

        Of four changes that a request makes, it knows two from its own answers.
        """
        own, known = self._work.local(name), self._known.get(name, EndpointLoad())
        apart = abs(own.prefill_seconds - known.prefill_seconds)
        return own.in_flight != known.in_flight or apart * MILLISECONDS >= 1

    def _forget(self) -> None:
        """Forget endpoints that are gone."""
        names = {endpoint.id for endpoint in self._view.endpoints}
        self._coordinators.retain_endpoints(names)
        self._known = {n: w for n, w in self._known.items() if n in names}

    def _question(
        self, endpoint: Endpoint, added: float, most_wait: float
    ) -> AdmissionQuery:
        self._sequence += 1
        own = self._work.local(endpoint.id).subtract(EndpointLoad(1, added))
        return AdmissionQuery(
            self._number,
            self._sequence,
            name_hash(endpoint.id),
            endpoint.slots,
            own,
            added,
            most_wait,
        )

    def _take_report(self, report: WorkReport, sender: str) -> None:
        work = unpack_loads(report.work or b"")
        self._admission.record_load(report.sender or 0, report.sequence or 0, work)

    def _take_request(self, request: AdmissionRequest, sender: str) -> None:
        answer = self._admission.decide(_from_wire(request))
        others = answer.remote_load
        reading = int(others.prefill_seconds * MILLISECONDS)
        reply = AdmissionReply(
            request.sequence, answer.admitted, others.in_flight, reading
        )
        self._socket.send(sender, reply)

    def _take_reply(self, reply: AdmissionReply, sender: str) -> None:
        others = EndpointLoad(reply.running or 0, (reply.reading or 0) / MILLISECONDS)
        answer = AdmissionDecision(bool(reply.admitted), others)
        self._replies.resolve(reply.sequence or 0, answer)


def _to_wire(question: AdmissionQuery) -> AdmissionRequest:
    return AdmissionRequest(
        question.sender,
        question.sequence,
        question.endpoint_hash,
        question.slots,
        question.sender_load.in_flight,
        int(question.sender_load.prefill_seconds * MILLISECONDS),
        int(question.prefill_seconds * MILLISECONDS),
        int(question.max_wait * MILLISECONDS),
    )


def _from_wire(request: AdmissionRequest) -> AdmissionQuery:
    work = EndpointLoad(request.running or 0, (request.reading or 0) / MILLISECONDS)
    return AdmissionQuery(
        request.sender or 0,
        request.sequence or 0,
        request.endpoint or 0,
        request.slots or 1,
        work,
        (request.added or 0) / MILLISECONDS,
        (request.most_wait or 0) / MILLISECONDS,
    )

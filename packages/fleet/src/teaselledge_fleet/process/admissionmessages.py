"""Messages of admission queries: between the wire and what a router decides on."""

from teaselledge_wire.gen.fleet.ttypes import AdmissionReply, AdmissionRequest

from teaselledge_fleet.process.admission import AdmissionDecision, AdmissionQuery
from teaselledge_fleet.process.work import EndpointLoad
from teaselledge_fleet.queueing.tickets import (
    PlaceDecision,
    PlaceResult,
    PlaceState,
    QueueTicket,
)

__all__ = [
    "decision_from_wire",
    "place_result",
    "query_from_wire",
    "query_to_wire",
    "reply_to_wire",
]

MS_PER_SECOND = 1000


def query_to_wire(query: AdmissionQuery) -> AdmissionRequest:
    """Return a query as a message."""
    request = AdmissionRequest(
        query.sender,
        query.sequence,
        query.endpoint_hash,
        query.slots,
        query.sender_load.in_flight,
        int(query.sender_load.prefill_seconds * MS_PER_SECOND),
        int(query.prefill_seconds * MS_PER_SECOND),
        int(query.max_wait * MS_PER_SECOND),
        query.warmup_rate,
    )
    ticket = query.ticket
    if ticket is not None:
        request.queue_ms = int(ticket.wait_limit * MS_PER_SECOND)
        request.organisation = ticket.organisation_hash
        request.tokens = ticket.tokens
        request.priority = ticket.priority
    return request


def query_from_wire(request: AdmissionRequest, sender: str) -> AdmissionQuery:
    """Return the query in a message of a router at an address."""
    load = EndpointLoad(request.running or 0, (request.reading or 0) / MS_PER_SECOND)
    return AdmissionQuery(
        request.sender or 0,
        request.sequence or 0,
        request.endpoint or 0,
        request.slots or 1,
        load,
        (request.added or 0) / MS_PER_SECOND,
        (request.most_wait or 0) / MS_PER_SECOND,
        request.rate,
        _ticket_from_wire(request),
        sender,
    )


def _ticket_from_wire(request: AdmissionRequest) -> QueueTicket | None:
    if request.queue_ms is None:
        return None
    return QueueTicket(
        request.organisation or 0,
        request.tokens or 0,
        request.priority or 0,
        request.queue_ms / MS_PER_SECOND,
    )


def reply_to_wire(sequence: int, decision: AdmissionDecision) -> AdmissionReply:
    """Return a decision as a message."""
    load, place = decision.remote_load, decision.place
    reply = AdmissionReply(
        sequence,
        decision.admitted,
        load.in_flight,
        int(load.prefill_seconds * MS_PER_SECOND),
    )
    if place is not None:
        reply.queued = place.state is PlaceState.QUEUED
        reply.expected_ms = int(place.expected_wait * MS_PER_SECOND)
        reply.queue_length = place.queue_length
    return reply


def decision_from_wire(reply: AdmissionReply) -> AdmissionDecision:
    """Return the decision in a message."""
    admitted = bool(reply.admitted)
    load = EndpointLoad(reply.running or 0, (reply.reading or 0) / MS_PER_SECOND)
    if reply.queued is None:
        return AdmissionDecision(admitted, load)
    state = PlaceState.GRANTED if admitted else PlaceState.DECLINED
    if reply.queued:
        state = PlaceState.QUEUED
    expected_wait = (reply.expected_ms or 0) / MS_PER_SECOND
    place = PlaceDecision(state, expected_wait, reply.queue_length or 0)
    return AdmissionDecision(admitted, load, place)


def place_result(sequence: int, decision: AdmissionDecision) -> PlaceResult:
    """Return a decision as the result of a request for a place.

    A coordinator without queues only admits or declines.
    """
    place = decision.place
    if place is None:
        state = PlaceState.GRANTED if decision.admitted else PlaceState.DECLINED
        return PlaceResult(state, sequence, 0.0, decision.remote_load)
    return PlaceResult(
        place.state,
        sequence,
        place.expected_wait,
        decision.remote_load,
        place.queue_length,
    )

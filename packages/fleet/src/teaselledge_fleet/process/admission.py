"""Admit requests to the endpoints that this router coordinates."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Set
from dataclasses import dataclass

from teaselledge_fleet.process.forecast import engine_queue_wait
from teaselledge_fleet.process.warmup import WarmupGrants
from teaselledge_fleet.process.work import EndpointLoad
from teaselledge_fleet.queueing.coordinating import (
    CHECK_SECONDS,
    EngineFacts,
    PlaceCoordinator,
    PlaceOutcome,
)
from teaselledge_fleet.queueing.settings import QueueSettings
from teaselledge_fleet.queueing.tickets import (
    PlaceDecision,
    PlaceState,
    QueueTicket,
    WaitingEntry,
)

__all__ = ["AdmissionController", "AdmissionDecision", "AdmissionQuery"]

LOAD_EXPIRY_SECONDS = 1.5
"""Time after which the load reported by a router that went silent expires.

Routers report their whole load every 0.6 s, so it expires only if two reports in a row
are lost.
"""

NO_SENDER_ID = -1
"""Sender id that no router has."""


@dataclass(frozen=True)
class AdmissionQuery:
    """Request of a router to send a prompt to an endpoint.

    Attributes
    ----------
    sender : int
        Random id of the router.
    sequence : int
        Sequence number among all messages of the router.
    endpoint_hash : int
        Hash of the endpoint's id.
    slots : int
        Requests that the endpoint runs at once.
    sender_load : EndpointLoad
        Load of the router at the endpoint, without this request.
    prefill_seconds : float
        Expected prefill time of this request's prompt.
    max_wait : float
        Maximum queueing time of the request, in seconds.
    warmup_rate : int or None
        Requests a second that the endpoint may get while it warms up, in the router's
        view; None if it is not limited.
    ticket : QueueTicket or None
        Position of the request in a queue; None if it must be decided at once.
    reply_to : str
        Address of the router, for a later decision on a request that waits.
    """

    sender: int
    sequence: int
    endpoint_hash: int
    slots: int
    sender_load: EndpointLoad
    prefill_seconds: float
    max_wait: float
    warmup_rate: int | None = None
    ticket: QueueTicket | None = None
    reply_to: str = ""


@dataclass(frozen=True)
class AdmissionDecision:
    """Response to an admission query.

    Attributes
    ----------
    admitted : bool
        Whether the router may send the request.
    remote_load : EndpointLoad
        Load of all other routers at the endpoint.
    place : PlaceDecision or None
        Decision of the endpoint's queue; None if the request could not wait.
    """

    admitted: bool
    remote_load: EndpointLoad
    place: PlaceDecision | None = None


@dataclass(frozen=True)
class _SenderLoad:
    received_at: float
    sequence: int
    load: EndpointLoad


class AdmissionController:
    """Tracks the load of all routers at some endpoints and admits requests to them.

    If each router decided by load that is some tenths of a second old, all would send
    to the endpoint that looked idle. It would get more prompts than it can process in
    time: first tokens would be late for all, and prefixes would be copied to engines
    that should not cache them. A single coordinator sees each request before it is
    sent and counts them one after another.

    Parameters
    ----------
    queueing : QueueSettings, optional
        Settings of the queues in front of the endpoints; without them no request waits.

    Attributes
    ----------
    warmup_rate : callable
        Returns the requests a second that an endpoint may get while it warms up, by
        the hash of its id; None if it is not limited.
    share_usage : callable
        Returns the allocated tokens of an organisation, by the hash of its name, and
        the share level.
    on_place_decided : callable
        Called with each request that waited, and the decision.
    places : PlaceCoordinator or None
        Queues in front of the endpoints.
    """

    def __init__(self, queueing: QueueSettings | None = None) -> None:
        self._records: defaultdict[int, dict[int, _SenderLoad]] = defaultdict(dict)
        self._grants = WarmupGrants()
        self.warmup_rate: Callable[[int], int | None] = lambda endpoint_hash: None
        self.share_usage: Callable[[int], tuple[float, float]] = (
            lambda organisation_hash: (0.0, 0.0)
        )
        self._unavailable: Set[int] = frozenset()
        self.on_place_decided: Callable[[WaitingEntry, AdmissionDecision], None] = (
            lambda entry, decision: None
        )
        self.places = self._make_places(queueing) if queueing is not None else None
        self._timer: asyncio.TimerHandle | None = None

    def record_load(
        self,
        sender: int,
        sequence: int,
        loads: Mapping[int, EndpointLoad],
        granted: Iterable[int] = (),
        withdrawn: Iterable[int] = (),
    ) -> None:
        """Record a router's load by endpoint; 0 requests once all have ended.

        Parameters
        ----------
        sender, sequence : int
            The router, and the sequence of its report.
        loads : mapping of int to EndpointLoad
            Its load by the hash of the endpoint.
        granted, withdrawn : iterable of int
            Sequences of requests whose grants the loads include, and of those that it
            has given up.
        """
        for endpoint, load in loads.items():
            self._store_load(endpoint, sender, sequence, load)
        if self.places is None:
            return
        changed = self.places.confirm(sender, granted)
        changed |= self.places.withdraw(sender, withdrawn)
        now = self._now()
        for endpoint in changed.union(loads):
            self._publish(self.places.update(endpoint, now))

    def decide(self, query: AdmissionQuery) -> AdmissionDecision:
        """Decide on a request and count it if it is admitted."""
        if self._may_wait(query):
            return self._decide_place(query)
        remote_load = self._remote_load(query.endpoint_hash, query.sender)
        load = self._sender_load(query)
        wait = engine_queue_wait(remote_load + load, query.slots)
        self._grants.record_query(query.endpoint_hash, query.warmup_rate)
        admitted = wait <= query.max_wait and self._grants.has_room(
            query.endpoint_hash, self.warmup_rate(query.endpoint_hash)
        )
        if admitted:
            self._grants.record_grant(query.endpoint_hash)
            load = EndpointLoad(
                load.in_flight + 1, load.prefill_seconds + query.prefill_seconds
            )
        self._store_load(query.endpoint_hash, query.sender, query.sequence, load)
        return AdmissionDecision(admitted, remote_load)

    def set_unavailable(self, endpoints: Set[int]) -> None:
        """Set the hashes of endpoints that may get no more requests.

        Requests that wait for them are declined at once, so that they can still be sent
        elsewhere.
        """
        self._unavailable = endpoints
        if self.places is not None:
            self._publish(self.places.decline_unavailable(self._now()))

    def total_load(self, endpoint: int) -> EndpointLoad:
        """Return the load of all routers at an endpoint, with what waits for it."""
        return self._remote_load(endpoint, NO_SENDER_ID) + self._waiting_load(endpoint)

    def total_loads(self) -> dict[int, EndpointLoad]:
        """Return the load of all routers at each endpoint that has any."""
        oldest_valid = self._now() - LOAD_EXPIRY_SECONDS
        totals = {}
        if self.places is not None:
            self.places.discard_idle(self._now())
        for endpoint, records in list(self._records.items()):
            for sender, record in list(records.items()):
                if record.received_at < oldest_valid:
                    del records[sender]
            if not records:
                del self._records[endpoint]
                self._grants.discard(endpoint)
                continue
            total = sum((record.load for record in records.values()), EndpointLoad())
            total += self._granted_load(endpoint, NO_SENDER_ID)
            total += self._waiting_load(endpoint)
            if total.in_flight:
                totals[endpoint] = total
        return totals

    def _sender_load(self, query: AdmissionQuery) -> EndpointLoad:
        """Return the load of the querying router without this request.

        The load counted here takes precedence over the one in the query: the router may
        have sent several queries at once and not know yet which were admitted.
        """
        record = self._records[query.endpoint_hash].get(query.sender)
        if record is None or record.received_at < self._now() - LOAD_EXPIRY_SECONDS:
            return query.sender_load
        return record.load

    def _remote_load(self, endpoint: int, sender: int) -> EndpointLoad:
        granted = self._granted_load(endpoint, sender)
        return self._reported_load(endpoint, sender) + granted

    def _granted_load(self, endpoint: int, sender: int) -> EndpointLoad:
        """Return the grants to other routers that their reports don't include yet."""
        if self.places is None:
            return EndpointLoad()
        return self.places.granted_load(endpoint, sender)

    def _waiting_load(self, endpoint: int) -> EndpointLoad:
        """Return the prefill of the requests that wait for an endpoint.

        Routers count it when they rank engines. Without it all would queue at the one
        with the lowest cost while others are idle.
        """
        if self.places is None:
            return EndpointLoad()
        return EndpointLoad(0, self.places.waiting_seconds(endpoint))

    def _reported_load(self, endpoint: int, sender: int = NO_SENDER_ID) -> EndpointLoad:
        records = self._records.get(endpoint)
        if not records:
            return EndpointLoad()
        oldest_valid = self._now() - LOAD_EXPIRY_SECONDS
        remote_load = EndpointLoad()
        for other_sender, record in records.items():
            if other_sender != sender and record.received_at >= oldest_valid:
                remote_load = remote_load + record.load
        return remote_load

    def _store_load(
        self, endpoint: int, sender: int, sequence: int, load: EndpointLoad
    ) -> None:
        previous = self._records[endpoint].get(sender)
        if previous is not None and previous.sequence > sequence:
            # datagrams may arrive out of order; the latest report wins
            return
        self._records[endpoint][sender] = _SenderLoad(self._now(), sequence, load)

    def _make_places(self, queueing: QueueSettings) -> PlaceCoordinator:
        facts = EngineFacts(
            self._reported_load,
            engine_queue_wait,
            lambda organisation_hash: self.share_usage(organisation_hash),
            lambda endpoint: self._grants.has_room(
                endpoint, self.warmup_rate(endpoint)
            ),
            lambda endpoint: endpoint not in self._unavailable,
        )
        return PlaceCoordinator(queueing, facts)

    def _may_wait(self, query: AdmissionQuery) -> bool:
        """Whether a request may wait; endpoints that warm up have their own limits."""
        return (
            self.places is not None
            and query.ticket is not None
            and query.warmup_rate is None
            and self.warmup_rate(query.endpoint_hash) is None
        )

    def _decide_place(self, query: AdmissionQuery) -> AdmissionDecision:
        assert self.places is not None and query.ticket is not None
        endpoint = query.endpoint_hash
        load = self._sender_load(query)
        self._store_load(endpoint, query.sender, query.sequence, load)
        now = self._now()
        entry = WaitingEntry(
            query.sender,
            query.sequence,
            query.reply_to,
            endpoint,
            query.slots,
            query.prefill_seconds,
            engine_queue_wait(EndpointLoad(0, query.prefill_seconds), query.slots),
            query.ticket,
            now + query.ticket.wait_limit,
        )
        place, outcomes = self.places.request(entry, now)
        granted = place.state is PlaceState.GRANTED
        if granted:
            self._grants.record_grant(endpoint)
        self._publish(outcomes)
        load = self._remote_load(endpoint, query.sender)
        if not granted:
            load += self._waiting_load(endpoint)
        return AdmissionDecision(granted, load, place)

    def _publish(self, outcomes: Iterable[PlaceOutcome]) -> None:
        """Pass on decisions on requests that waited, and see to the next ones."""
        assert self.places is not None
        for outcome in outcomes:
            entry, place = outcome.entry, outcome.decision
            granted = place.state is PlaceState.GRANTED
            if granted:
                self._grants.record_grant(entry.endpoint_hash)
            load = self._remote_load(entry.endpoint_hash, entry.sender)
            self.on_place_decided(entry, AdmissionDecision(granted, load, place))
        if self._timer is None and self.places.waits:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_SECONDS, self._check_places)

    def _check_places(self) -> None:
        assert self.places is not None
        self._timer = None
        self._publish(self.places.check(self._now()))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

"""Admit requests to the endpoints that this router coordinates."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from teaselledge_fleet.process.forecast import engine_queue_wait
from teaselledge_fleet.process.warmup import WarmupGrants
from teaselledge_fleet.process.work import EndpointLoad

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
    """

    sender: int
    sequence: int
    endpoint_hash: int
    slots: int
    sender_load: EndpointLoad
    prefill_seconds: float
    max_wait: float
    warmup_rate: int | None = None


@dataclass(frozen=True)
class AdmissionDecision:
    """Response to an admission query.

    Attributes
    ----------
    admitted : bool
        Whether the router may send the request.
    remote_load : EndpointLoad
        Load of all other routers at the endpoint.
    """

    admitted: bool
    remote_load: EndpointLoad


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

    Attributes
    ----------
    warmup_rate : callable
        Returns the requests a second that an endpoint may get while it warms up, by
        the hash of its id; None if it is not limited.
    """

    def __init__(self) -> None:
        self._records: defaultdict[int, dict[int, _SenderLoad]] = defaultdict(dict)
        self._grants = WarmupGrants()
        self.warmup_rate: Callable[[int], int | None] = lambda endpoint_hash: None

    def record_load(
        self, sender: int, sequence: int, loads: Mapping[int, EndpointLoad]
    ) -> None:
        """Record a router's load by endpoint; 0 requests once all have ended."""
        for endpoint, load in loads.items():
            self._store_load(endpoint, sender, sequence, load)

    def decide(self, query: AdmissionQuery) -> AdmissionDecision:
        """Decide on a request and count it if it is admitted."""
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

    def total_load(self, endpoint: int) -> EndpointLoad:
        """Return the load of all routers at an endpoint, as reported to this one."""
        return self._remote_load(endpoint, NO_SENDER_ID)

    def total_loads(self) -> dict[int, EndpointLoad]:
        """Return the load of all routers at each endpoint that has any."""
        oldest_valid = self._now() - LOAD_EXPIRY_SECONDS
        totals = {}
        for endpoint, records in list(self._records.items()):
            for sender, record in list(records.items()):
                if record.received_at < oldest_valid:
                    del records[sender]
            if not records:
                del self._records[endpoint]
                self._grants.discard(endpoint)
                continue
            total = sum((record.load for record in records.values()), EndpointLoad())
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

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

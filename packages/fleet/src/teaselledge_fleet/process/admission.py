"""Admit requests to the endpoints for which this router answers."""

import asyncio
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from teaselledge_fleet.process.forecast import engine_queue_wait
from teaselledge_fleet.process.work import EndpointLoad

__all__ = ["AdmissionController", "AdmissionDecision", "AdmissionQuery"]

FORGET_SECONDS = 1.5
"""Time after which the work that a silent router told counts no more.

Routers tell all their work each 0.6 s, so two reports in a row must be lost.
"""

NOBODY = -1
"""No router has this number."""


@dataclass(frozen=True)
class AdmissionQuery:
    """Whether a router may send a request to an endpoint.

    Attributes
    ----------
    sender : int
        Number of the router.
    sequence : int
        Place of the question among all that the router tells.
    endpoint_hash : int
        Key of the endpoint.
    slots : int
        Requests that it runs at once.
    sender_load : EndpointLoad
        What the router has there, without this request.
    prefill_seconds : float
        Seconds in which the endpoint reads this request's prompt.
    max_wait : float
        Seconds that the request may wait behind others.
    """

    sender: int
    sequence: int
    endpoint_hash: int
    slots: int
    sender_load: EndpointLoad
    prefill_seconds: float
    max_wait: float


@dataclass(frozen=True)
class AdmissionDecision:
    """What a router may do, and why.

    Attributes
    ----------
    admitted : bool
        Whether it may send the request.
    remote_load : EndpointLoad
        What all other routers have at the endpoint.
    """

    admitted: bool
    remote_load: EndpointLoad


@dataclass(frozen=True)
class _Record:
    at: float
    sequence: int
    work: EndpointLoad


class AdmissionController:
    """Knows the work of all routers at some endpoints, and admits to them.

    When each router decides by what it heard some tenths of a second ago, all of them
    send to the endpoint that looked idle, and it is given more prompts than it can
    read in time: first tokens come late for all, and parts are copied to engines that
    were not to keep them. One router that hears of each request before it is sent
    counts them one after another.
    """

    def __init__(self) -> None:
        self._records: defaultdict[int, dict[int, _Record]] = defaultdict(dict)

    def record_load(
        self, sender: int, sequence: int, work: Mapping[int, EndpointLoad]
    ) -> None:
        """Take what a router has at endpoints; 0 requests where it has ended."""
        for endpoint, each in work.items():
            self._note(endpoint, sender, sequence, each)

    def decide(self, question: AdmissionQuery) -> AdmissionDecision:
        """Decide on a request, and count it if it is admitted."""
        others = self._others(question.endpoint_hash, question.sender)
        work = self._known(question)
        wait = engine_queue_wait(others + work, question.slots)
        admitted = wait <= question.max_wait
        if admitted:
            work = EndpointLoad(
                work.in_flight + 1, work.prefill_seconds + question.prefill_seconds
            )
        self._note(question.endpoint_hash, question.sender, question.sequence, work)
        return AdmissionDecision(admitted, others)

    def total_load(self, endpoint: int) -> EndpointLoad:
        """Return what all routers together have at an endpoint, as far as told here."""
        return self._others(endpoint, NOBODY)

    def total_loads(self) -> dict[int, EndpointLoad]:
        """Return what all routers together have at the endpoints known here."""
        oldest = self._now() - FORGET_SECONDS
        totals = {}
        for endpoint, records in list(self._records.items()):
            for sender, record in list(records.items()):
                if record.at < oldest:
                    del records[sender]
            if not records:
                del self._records[endpoint]
                continue
            total = sum((record.work for record in records.values()), EndpointLoad())
            if total.in_flight:
                totals[endpoint] = total
        return totals

    def _known(self, question: AdmissionQuery) -> EndpointLoad:
        """Return what the router that asks has at the endpoint without this request.

        What was counted here goes before what it says: it may have asked for several
        requests at once, and does not know yet which of them are admitted.
        """
        record = self._records[question.endpoint_hash].get(question.sender)
        if record is None or record.at < self._now() - FORGET_SECONDS:
            return question.sender_load
        return record.work

    def _others(self, endpoint: int, sender: int) -> EndpointLoad:
        records = self._records.get(endpoint)
        if not records:
            return EndpointLoad()
        oldest = self._now() - FORGET_SECONDS
        others = EndpointLoad()
        for name, record in records.items():
            if name != sender and record.at >= oldest:
                others = others + record.work
        return others

    def _note(
        self, endpoint: int, sender: int, sequence: int, work: EndpointLoad
    ) -> None:
        known = self._records[endpoint].get(sender)
        if known is not None and known.sequence > sequence:
            # datagrams overtake one another; the later word holds
            return
        self._records[endpoint][sender] = _Record(self._now(), sequence, work)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

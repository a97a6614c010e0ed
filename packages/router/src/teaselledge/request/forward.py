"""Run one request: wait for a slot, send it, relay the answer."""

import asyncio
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from teaselledge.connection.endpoint import (
    EndpointClient,
    EndpointResponse,
    IncompleteResponseError,
    OutboundRequest,
)
from teaselledge.errors import ErrorKind, Fault, Ran
from teaselledge.metrics import Metrics, NullMetrics
from teaselledge.process.ingress import Ingress, SlotGrant, SlotRequest
from teaselledge.process.retrybudget import RetryBudget
from teaselledge.request.context import CallerRequest, Sink
from teaselledge.request.cost import Meter, get_meter_by_name
from teaselledge.request.exchange import is_mismatched_response
from teaselledge.request.order import OrderExecutor, as_unverified
from teaselledge.request.prefix import PREFIX_HEADER, prefix_of
from teaselledge.request.resume import resumes_at, with_resume_header
from teaselledge.request.retry import (
    MAX_ATTEMPTS,
    AttemptOutcome,
    AttemptResult,
    Budget,
    is_refusal,
    merge_ran,
)
from teaselledge.request.watch import StreamWatchdog

__all__ = ["Forwarder"]


@dataclass
class _Journey:
    """What one request has been through.

    Attributes
    ----------
    position : int
        Bytes of the answer's body that were passed on.
    attempts : int
        Attempts made, without those that were preempted.
    ran : Ran
        What all attempts together allow to say.
    excluded : tuple of str
        Endpoints that failed it.
    fault : Fault or None
        How the last attempt failed.
    prefix : int or None
        Hash of the prompt's beginning.
    """

    request: CallerRequest
    sink: Sink
    position: int = 0
    attempts: int = 0
    ran: Ran = Ran.NO
    excluded: tuple[str, ...] = ()
    fault: Fault | None = None
    prefix: int | None = None

    @property
    def resumes(self) -> bool:
        """Whether the service's endpoints resume a broken stream."""
        return self.request.service_entry.resumes

    def ticket(self) -> SlotRequest:
        """Return the wish for a slot."""
        request = self.request
        kind = request.kind_entry
        return SlotRequest(
            request.organisation,
            request.service,
            request.kind,
            kind.cost_hint,
            request.deadline,
            len(request.body),
            kind.repeatable,
            self.prefix,
            self.excluded,
            response_started=self.sink.started,
        )

    def give_up(self, fault: Fault) -> Result[None, Fault]:
        """End with a true refusal, or with an answer that is visibly broken."""
        if self.sink.started:
            self.sink.abort()
            return Ok(None)
        told = replace(fault, ran=merge_ran(fault.ran, self.ran))
        return Error(as_unverified(told, self.request.key))


class Forwarder:
    """Runs requests through an ingress and an endpoint client.

    Attributes
    ----------
    orders : OrderExecutor
        Runs those that may not be repeated.
    """

    def __init__(
        self,
        ingress: Ingress,
        client: EndpointClient,
        orders: OrderExecutor,
        metrics: Metrics | None = None,
    ) -> None:
        self._ingress = ingress
        self._client = client
        self._metrics = metrics or NullMetrics()
        self._budgets: dict[str, Budget] = {}
        self.orders = orders

    async def run(self, request: CallerRequest, sink: Sink) -> Result[None, Fault]:
        """Answer a request.

        Returns
        -------
        Result of None or Fault
            Ok where the sink got an answer, whole or visibly broken; the
            fault to tell the caller where it got nothing.
        """
        if not request.kind_entry.repeatable:
            return await self.orders.run(request, sink)
        journey = _Journey(request, sink, prefix=prefix_of(request))
        self._budget(request.service).deposit()
        while True:
            acquired = await self._ingress.acquire(journey.ticket())
            if acquired.is_error():
                return journey.give_up(journey.fault or acquired.error)
            granted = acquired.ok
            ended = await self._attempt(journey, granted)
            if ended.outcome is AttemptOutcome.WHOLE:
                return Ok(None)
            if ended.outcome is AttemptOutcome.PREEMPTED:
                continue
            journey.attempts += 1
            journey.fault = ended.fault
            journey.excluded = (*journey.excluded, granted.endpoint)
            if ended.outcome is not AttemptOutcome.UNSENT:
                journey.ran = merge_ran(journey.ran, Ran.UNKNOWN)
            if not self._may_retry(journey, ended.outcome):
                return journey.give_up(ended.fault)
            self._metrics.count("request.retried", 1, ended.outcome.value)

    def _budget(self, service: str) -> Budget:
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = RetryBudget.from_config()
        return found

    def _may_retry(self, journey: _Journey, end: AttemptOutcome) -> bool:
        late = asyncio.get_running_loop().time() >= journey.request.deadline
        if late or journey.attempts >= MAX_ATTEMPTS:
            return False
        if journey.sink.started and not journey.resumes:
            return False
        if journey.request.upload is not None and journey.request.upload.started:
            return False
        if end is AttemptOutcome.UNSENT:
            # the endpoint got nothing, so that this is no load on it
            return True
        return self._budget(journey.request.service).try_withdraw()

    async def _attempt(self, journey: _Journey, granted: SlotGrant) -> AttemptResult:
        meter = get_meter_by_name(journey.request.service_entry.cost)
        failed = True
        try:
            ended = await self._exchange(journey, granted, meter)
            failed = ended.outcome not in (
                AttemptOutcome.WHOLE,
                AttemptOutcome.PREEMPTED,
            )
            return ended
        finally:
            self._ingress.release(granted, meter.cost, failed)

    async def _exchange(
        self, journey: _Journey, granted: SlotGrant, meter: Meter
    ) -> AttemptResult:
        request = journey.request
        headers = with_resume_header(request.headers, journey.position)
        if journey.prefix is not None:
            headers = headers.copy()
            headers[PREFIX_HEADER] = str(journey.prefix)
        outbound = OutboundRequest(
            request.method, request.path, headers, request.body, request.upload
        )
        endpoint = request.service_entry.endpoints[granted.endpoint]
        try:
            async with asyncio.timeout_at(request.deadline):
                sent = await self._client.send(endpoint.address, outbound)
        except TimeoutError:
            return AttemptResult(
                AttemptOutcome.FAILED, Fault(ErrorKind.ENDPOINT_TIMEOUT, Ran.UNKNOWN)
            )
        if sent.is_error():
            failure = sent.error
            kind = ErrorKind.ENDPOINT_FAILED
            if failure.malformed:
                kind = ErrorKind.ENDPOINT_GARBAGE
            if not failure.maybe_sent:
                return AttemptResult(
                    AttemptOutcome.UNSENT, Fault(kind, Ran.NO, failure.detail)
                )
            return AttemptResult(
                AttemptOutcome.FAILED, Fault(kind, Ran.UNKNOWN, failure.detail)
            )
        answer = sent.ok
        try:
            return await self._relay(journey, granted, meter, outbound, answer)
        finally:
            answer.close()

    async def _relay(
        self,
        journey: _Journey,
        granted: SlotGrant,
        meter: Meter,
        outbound: OutboundRequest,
        answer: EndpointResponse,
    ) -> AttemptResult:
        garbage = Fault(ErrorKind.ENDPOINT_GARBAGE, Ran.UNKNOWN)
        if is_mismatched_response(outbound.headers, answer.headers):
            return AttemptResult(AttemptOutcome.FAILED, garbage)
        if is_refusal(answer.status) and self._has_other(journey):
            return AttemptResult(AttemptOutcome.REFUSED)
        if not resumes_at(answer.headers, journey.position):
            return AttemptResult(AttemptOutcome.FAILED, garbage)
        preempted = granted.preempted if journey.resumes else None
        watch = StreamWatchdog(answer, preempted)
        sink = journey.sink
        try:
            # the head waits for the first byte: until something has reached
            # the caller, the request can go elsewhere
            async for chunk in answer.chunks():
                watch.record_activity()
                if not sink.started:
                    await sink.start(answer.status, answer.headers)
                meter.observe(chunk)
                self._ingress.report_cost(granted, meter.cost)
                await sink.write(chunk)
                journey.position += len(chunk)
        except IncompleteResponseError:
            end = AttemptOutcome.PREEMPTED if watch.preempted else AttemptOutcome.FAILED
            return AttemptResult(end, Fault(ErrorKind.ENDPOINT_FAILED, Ran.UNKNOWN))
        finally:
            watch.stop()
        if not sink.started:
            await sink.start(answer.status, answer.headers)
        await sink.finish()
        return AttemptResult(AttemptOutcome.WHOLE)

    def _has_other(self, journey: _Journey) -> bool:
        """Return whether a refused request goes elsewhere, not to the caller."""
        if journey.sink.started:
            return True
        tried = len(journey.excluded) + 1
        return tried < min(MAX_ATTEMPTS, len(journey.request.service_entry.endpoints))

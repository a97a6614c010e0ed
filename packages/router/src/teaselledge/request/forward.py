"""Run a request: wait for a slot, send it and relay the response."""

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
from teaselledge.request.prefix import PREFIX_HEADER, prefix_hash
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
class _RequestProgress:
    """Progress of a request over its attempts.

    Attributes
    ----------
    position : int
        Bytes of the response body that were relayed to the caller.
    attempts : int
        Number of attempts made, not counting preempted ones.
    ran : Ran
        Whether any of the attempts may have run.
    excluded : tuple of str
        Endpoints at which an attempt failed.
    fault : Fault or None
        Fault of the last attempt.
    prefix : int or None
        Hash of the prompt's prefix.
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

    def slot_request(self) -> SlotRequest:
        """Return the request for a slot."""
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

    def fail(self, fault: Fault) -> Result[None, Fault]:
        """Return the final fault, or abort a response that has already started."""
        if self.sink.started:
            self.sink.abort()
            return Ok(None)
        reported = replace(fault, ran=merge_ran(fault.ran, self.ran))
        return Error(as_unverified(reported, self.request.key))


class Forwarder:
    """Runs requests through an ingress and an endpoint client.

    Attributes
    ----------
    orders : OrderExecutor
        Runs the requests that are not repeatable.
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
        """Run a request and relay its response.

        Returns
        -------
        Result of None or Fault
            Ok if the sink received a response, complete or aborted; otherwise
            the fault to report to the caller.
        """
        if not request.kind_entry.repeatable:
            return await self.orders.run(request, sink)
        progress = _RequestProgress(request, sink, prefix=prefix_hash(request))
        self._budget(request.service).deposit()
        while True:
            acquired = await self._ingress.acquire(progress.slot_request())
            if acquired.is_error():
                return progress.fail(progress.fault or acquired.error)
            granted = acquired.ok
            result = await self._attempt(progress, granted)
            if result.outcome is AttemptOutcome.WHOLE:
                return Ok(None)
            if result.outcome is AttemptOutcome.PREEMPTED:
                continue
            progress.attempts += 1
            progress.fault = result.fault
            progress.excluded = (*progress.excluded, granted.endpoint)
            if result.outcome is not AttemptOutcome.UNSENT:
                progress.ran = merge_ran(progress.ran, Ran.UNKNOWN)
            if not self._may_retry(progress, result.outcome):
                return progress.fail(result.fault)
            self._metrics.count("request.retried", 1, result.outcome.value)

    def _budget(self, service: str) -> Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget.from_config()
        return budget

    def _may_retry(self, progress: _RequestProgress, outcome: AttemptOutcome) -> bool:
        deadline_passed = asyncio.get_running_loop().time() >= progress.request.deadline
        if deadline_passed or progress.attempts >= MAX_ATTEMPTS:
            return False
        if progress.sink.started and not progress.resumes:
            return False
        if progress.request.upload is not None and progress.request.upload.started:
            return False
        if outcome is AttemptOutcome.UNSENT:
            # the endpoint received nothing, so the retry adds no load to it
            return True
        return self._budget(progress.request.service).try_withdraw()

    async def _attempt(
        self, progress: _RequestProgress, granted: SlotGrant
    ) -> AttemptResult:
        meter = get_meter_by_name(progress.request.service_entry.cost)
        failed = True
        try:
            result = await self._exchange(progress, granted, meter)
            failed = result.outcome not in (
                AttemptOutcome.WHOLE,
                AttemptOutcome.PREEMPTED,
            )
            return result
        finally:
            self._ingress.release(granted, meter.cost, failed)

    async def _exchange(
        self, progress: _RequestProgress, granted: SlotGrant, meter: Meter
    ) -> AttemptResult:
        request = progress.request
        headers = with_resume_header(request.headers, progress.position)
        if progress.prefix is not None:
            headers = headers.copy()
            headers[PREFIX_HEADER] = str(progress.prefix)
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
        response = sent.ok
        try:
            return await self._relay(progress, granted, meter, outbound, response)
        finally:
            response.close()

    async def _relay(
        self,
        progress: _RequestProgress,
        granted: SlotGrant,
        meter: Meter,
        outbound: OutboundRequest,
        response: EndpointResponse,
    ) -> AttemptResult:
        malformed = Fault(ErrorKind.ENDPOINT_GARBAGE, Ran.UNKNOWN)
        if is_mismatched_response(outbound.headers, response.headers):
            return AttemptResult(AttemptOutcome.FAILED, malformed)
        if is_refusal(response.status) and self._may_try_another(progress):
            return AttemptResult(AttemptOutcome.REFUSED)
        if not resumes_at(response.headers, progress.position):
            return AttemptResult(AttemptOutcome.FAILED, malformed)
        preempted = granted.preempted if progress.resumes else None
        watchdog = StreamWatchdog(response, preempted)
        sink = progress.sink
        try:
            # the head is sent with the first byte of the body: as long as the
            # caller has received nothing, another endpoint can be tried
            async for chunk in response.chunks():
                watchdog.record_activity()
                if not sink.started:
                    await sink.start(response.status, response.headers)
                meter.observe(chunk)
                self._ingress.report_cost(granted, meter.cost)
                await sink.write(chunk)
                progress.position += len(chunk)
        except IncompleteResponseError:
            outcome = (
                AttemptOutcome.PREEMPTED
                if watchdog.preempted
                else AttemptOutcome.FAILED
            )
            return AttemptResult(outcome, Fault(ErrorKind.ENDPOINT_FAILED, Ran.UNKNOWN))
        finally:
            watchdog.stop()
        if not sink.started:
            await sink.start(response.status, response.headers)
        await sink.finish()
        return AttemptResult(AttemptOutcome.WHOLE)

    def _may_try_another(self, progress: _RequestProgress) -> bool:
        """Return whether to try another endpoint instead of relaying a refusal."""
        if progress.sink.started:
            return True
        tried = len(progress.excluded) + 1
        return tried < min(MAX_ATTEMPTS, len(progress.request.service_entry.endpoints))

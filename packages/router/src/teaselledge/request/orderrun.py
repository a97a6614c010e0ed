"""One attempt at an order: claim its record, send it once, record the outcome."""

import asyncio
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field, replace
from hashlib import sha256

from expression import Error, Ok, Result
from tornado.httputil import HTTPHeaders

from teaselledge.connection.endpoint import EndpointClient
from teaselledge.errors import ErrorKind, Fault, Ran
from teaselledge.log import get_log
from teaselledge.metrics import Metrics
from teaselledge.platform import ABSENT
from teaselledge.process.ingress import Ingress, SlotGrant, SlotRequest
from teaselledge.request.claimtiming import ClaimTiming
from teaselledge.request.context import CallerRequest, Sink
from teaselledge.request.cost import get_meter_by_name
from teaselledge.request.exchange import ExchangeResult, exchange_order
from teaselledge.request.journal import ClaimStatus, Journal, JournalRow, RecordClaim
from teaselledge.request.orderqueries import RAN_BY_STATE
from teaselledge.request.record import (
    OrderRecord,
    OrderState,
    StoredResponse,
    order_row,
    request_digest,
)
from teaselledge.request.relay import RecordingSink
from teaselledge.request.slot import SlotWait

__all__ = ["OrderAttempt", "OrderDependencies"]

_ClaimResult = tuple[ClaimStatus, JournalRow]

_log = get_log("order")

MAX_INLINE_BODY_BYTES = 16 << 10
"""Larger response bodies are stored in the object store."""

REFUSAL_RESERVE_SECONDS = 1.0
"""Time before the deadline that is reserved for recording a refusal."""

REFUSAL_RESERVE_FRACTION = 0.1
"""The same as a fraction of the request's total time; the smaller one applies."""

SLOT_HOLD_TIMEOUT_SECONDS = 0.25
"""How long an acquired slot is held for a claim that is still being written."""

MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
"""Delays between attempts at a store call, doubled up to the maximum."""

MAX_LATE_RESPONSE_SECONDS = 600.0
"""How long an endpoint may still respond after the caller's deadline."""

OVERDUE_SECONDS = 5.0
"""Wall-clock time past its deadline for which others wait for a started order."""

MAX_CONCURRENT_RELEASES = 8
"""Attempts of one router that release their record concurrently."""

CONCURRENT_REFUSAL = "Another attempt of this order was refused just now."


def _backoff_delays() -> Iterator[float]:
    """Yield the delays of an endless exponential backoff, in seconds."""
    seconds = MIN_BACKOFF_SECONDS
    while True:
        yield seconds
        seconds = min(2 * seconds, MAX_BACKOFF_SECONDS)


@dataclass(frozen=True)
class OrderDependencies:
    """Dependencies shared by the orders of one router; see `OrderExecutor`."""

    ingress: Ingress
    client: EndpointClient
    journal: Journal
    metrics: Metrics
    owner: str
    claim_timing: ClaimTiming
    release_limit: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_RELEASES)
    )


class OrderAttempt:
    """Runs one attempt at an order, from arrival to the last write to the journal.

    Attributes
    ----------
    result_future : asyncio.Future of Result
        Result for the caller; it may be set long before the attempt ends.
    """

    def __init__(
        self,
        dependencies: OrderDependencies,
        request: CallerRequest,
        sink: Sink,
        attempt: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._dependencies = dependencies
        self._request = request
        self._relay = RecordingSink(sink)
        self._arrived = loop.time()
        remaining = request.deadline - self._arrived
        self._prepare_deadline = request.deadline - min(
            REFUSAL_RESERVE_SECONDS, REFUSAL_RESERVE_FRACTION * remaining
        )
        now = dependencies.journal.now()
        record = OrderRecord(
            OrderState.STARTED,
            request_digest(request),
            attempt,
            dependencies.owner,
            request.service,
            request.kind,
            now,
            now + remaining,
        )
        row = order_row(request.organisation, request.key or "")
        self._record_claim = RecordClaim(dependencies.journal, row, record, now)
        self._claim_now = asyncio.Event()
        self._sent = False
        self._abandoned = False
        self.result_future: asyncio.Future[Result[None, Fault]] = loop.create_future()

    async def run(self) -> None:
        """Claim, send and record the order."""
        try:
            granted = await self._prepare()
            if granted is not None:
                await self._send_until_received(granted)
        except asyncio.CancelledError:
            # an abandoned attempt still releases its record; any other
            # cancellation means that the process ends and must not write any more
            if not self._abandoned:
                raise
        if not self._sent:
            await self._release_record()

    async def refuse(self, fault: Fault) -> None:
        """Refuse the order without running it or waiting for other attempts."""
        self._prepare_deadline = asyncio.get_running_loop().time()
        await self._refuse(fault)
        await self._release_record()

    def detach_caller(self) -> bool:
        """Detach the caller; return whether the attempt is to be cancelled.

        An attempt that has sent the order continues without the caller.
        """
        self._relay.abort()
        self._abandoned = not self._sent
        return self._abandoned

    def on_task_done(self, task: "asyncio.Task[None]") -> None:
        """Set the result if the attempt ended without one."""
        if task.cancelled():
            self.result_future.cancel()
            return
        error = task.exception()
        if error is not None:
            _log.opt(exception=error).error("Order attempt failed with an exception.")
        self._set_result(Error(Fault(ErrorKind.INTERNAL, Ran.UNKNOWN)))

    def _set_result(self, result: Result[None, Fault]) -> None:
        if not self.result_future.done():
            self.result_future.set_result(result)

    # before the request is sent

    async def _prepare(self) -> SlotGrant | None:
        """Acquire a slot and claim the record; return None if the order was refused."""
        claiming = asyncio.create_task(self._claim_in_time())
        slot: SlotWait | None = None
        try:
            if self._dependencies.claim_timing.journal_failing:
                # a slot acquired now would stay idle until the journal responds
                await asyncio.wait({claiming})
            slot = self._request_slot(())
            await asyncio.wait(
                {claiming, slot.task}, return_when=asyncio.FIRST_COMPLETED
            )
            if slot.task.done() and not claiming.done():
                fault = await self._claim_for_slot(slot, claiming)
                if fault is not None:
                    await self._refuse(fault)
                    return None
            found = await claiming
            if found is None:
                slot.cancel()
                detail = "The order journal gave no answer in time."
                await self._refuse(Fault(ErrorKind.JOURNAL_UNAVAILABLE, detail=detail))
                return None
            if found[0] is not ClaimStatus.MINE:
                slot.cancel()
                await self._respond_from_other(*found)
                return None
            if slot.cancelled:
                slot = self._request_slot(())
            granted = await self._acquire_slot(slot)
            self._dependencies.claim_timing.record_slot_wait(
                self._request.service, slot.wait_seconds
            )
            return granted
        finally:
            claiming.cancel()
            if slot is not None:
                slot.cancel()

    async def _acquire_slot(self, slot: SlotWait) -> SlotGrant | None:
        acquired = await slot.acquire()
        if acquired.is_error():
            await self._refuse(acquired.error)
            return None
        return acquired.ok

    async def _claim_for_slot(
        self, slot: SlotWait, claiming: "asyncio.Task[_ClaimResult | None]"
    ) -> Fault | None:
        """Claim the record now that the slot is granted.

        The slot is released if the claim takes too long. Returns the fault if
        the request for the slot was refused.
        """
        result = slot.task.result()
        if result.is_error():
            # a cancelled claim may still reach the store, so it counts as written
            claiming.cancel()
            await asyncio.wait({claiming})
            return result.error
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._claim_now.set()
        await asyncio.wait({claiming}, timeout=SLOT_HOLD_TIMEOUT_SECONDS)
        self._dependencies.metrics.time("order.idle_slot", loop.time() - started_at)
        if not claiming.done():
            slot.cancel()
        return None

    def _request_slot(self, excluded: tuple[str, ...]) -> SlotWait:
        request = self._request
        kind = request.kind_entry
        slot_request = SlotRequest(
            request.organisation,
            request.service,
            request.kind,
            kind.cost_hint,
            self._prepare_deadline,
            len(request.body),
            kind.repeatable,
            None,
            excluded,
        )
        return SlotWait(self._dependencies.ingress, slot_request)

    async def _claim_in_time(self) -> _ClaimResult | None:
        """Claim the record when due; return None if the journal does not respond."""
        try:
            async with asyncio.timeout_at(self._prepare_deadline):
                return await self._claim()
        except TimeoutError:
            return None

    async def _claim(self) -> _ClaimResult:
        loop = asyncio.get_running_loop()
        claim_timing = self._dependencies.claim_timing
        read = await self._record_claim.read()
        if read.is_ok() and read.ok[0] is not ClaimStatus.FREE:
            return read.ok
        if read.is_error():
            claim_timing.record_failure()
        await self._wait_until_claim_due(
            self._arrived + claim_timing.claim_delay(self._request.service)
        )
        for delay in _backoff_delays():
            started_at = loop.time()
            claimed = await self._record_claim.claim()
            if claimed.is_ok() and claimed.ok[0] is not ClaimStatus.FREE:
                claim_timing.record_claim_time(loop.time() - started_at)
                return claimed.ok
            if claimed.is_error():
                claim_timing.record_failure()
            await asyncio.sleep(delay)
        raise AssertionError("unreachable: the backoff never ends")

    async def _wait_until_claim_due(self, due: float) -> None:
        if due == float("inf"):
            await self._claim_now.wait()
            return
        try:
            async with asyncio.timeout_at(due):
                await self._claim_now.wait()
        except TimeoutError:
            return

    async def _refuse(self, fault: Fault) -> None:
        """Refuse the order, with the value of ``ran`` that is known to hold."""
        loop = asyncio.get_running_loop()
        # If this attempt holds the row, it has sent nothing, and an attempt that
        # read the row earlier cannot claim it. The order did not run and will not
        # before the caller retries, so "no" holds even if the store is unavailable.
        not_run = self._record_claim.claimed
        remaining = max(self._request.deadline - loop.time(), MIN_BACKOFF_SECONDS)
        status, row = ClaimStatus.FREE, JournalRow(None, ABSENT)
        with suppress(TimeoutError):
            async with asyncio.timeout(min(remaining, REFUSAL_RESERVE_SECONDS)):
                status, row = await self._write_released()
        if status in (
            ClaimStatus.TAKEN,
            ClaimStatus.MISMATCH,
            ClaimStatus.UNREADABLE,
        ):
            await self._respond_from_other(status, row)
            return
        if not_run or status is ClaimStatus.RELEASED:
            self._set_result(Error(replace(fault, ran=Ran.NO)))
            return
        self._refuse_unknown(fault, "journal-unavailable")

    async def _write_released(self) -> _ClaimResult:
        """Write the released record, which keeps all earlier attempts from running.

        Returns FREE if the store call failed.
        """
        while True:
            released = await self._record_claim.release()
            if released.is_error():
                return ClaimStatus.FREE, JournalRow(None, ABSENT)
            if released.ok[0] not in (
                ClaimStatus.FREE,
                ClaimStatus.MINE,
                ClaimStatus.FENCED,
            ):
                return released.ok
            await asyncio.sleep(MIN_BACKOFF_SECONDS / 2)

    async def _release_record(self) -> None:
        """Release the record, retrying until the store is available.

        The claim may be in the row, or a delayed write may still put it there.
        Without a release the key would stay occupied although nothing was sent.
        """
        for delay in _backoff_delays():
            if not self._record_claim.may_be_written:
                return
            # after a long outage there are many such attempts, which together
            # would overload a store that has just recovered
            async with self._dependencies.release_limit:
                await self._write_released()
            if self._record_claim.may_be_written:
                await asyncio.sleep(delay)

    # if another attempt holds the key

    async def _respond_from_other(self, status: ClaimStatus, row: JournalRow) -> None:
        """Respond according to another attempt's record."""
        if status in (ClaimStatus.FENCED, ClaimStatus.RELEASED):
            fault = Fault(ErrorKind.ORDER_IN_PROGRESS, detail=CONCURRENT_REFUSAL)
            await self._refuse(fault)
            return
        if status is ClaimStatus.MISMATCH:
            self._set_result(Error(Fault(ErrorKind.KEY_MISMATCH)))
            return
        if row.record is None:
            self._refuse_unknown(Fault(ErrorKind.ORDER_UNKNOWN), "unreadable")
            return
        try:
            async with asyncio.timeout_at(self._prepare_deadline):
                record = await self._wait_for_outcome(row.record)
        except TimeoutError:
            self._refuse_unknown(Fault(ErrorKind.ORDER_IN_PROGRESS), "in-progress")
            return
        await self._respond_from(record)

    async def _wait_for_outcome(self, record: OrderRecord) -> OrderRecord:
        """Poll the record while another attempt runs the order."""
        for delay in _backoff_delays():
            if record.state is not OrderState.STARTED:
                break
            if (
                self._dependencies.journal.now()
                > record.send_deadline + OVERDUE_SECONDS
            ):
                # the router of that attempt has failed or its endpoint is very
                # slow, so an outcome is no longer expected in time
                break
            await asyncio.sleep(delay)
            read = await self._record_claim.read()
            if read.is_ok() and read.ok[1].record is not None:
                record = read.ok[1].record
        return record

    async def _respond_from(self, record: OrderRecord) -> None:
        if record.state is OrderState.FINISHED:
            await self._replay(record.response)
            return
        ran = RAN_BY_STATE[record.state]
        if ran is Ran.YES:
            self._set_result(Error(Fault(ErrorKind.ANSWER_LOST, Ran.YES)))
            return
        if ran is Ran.NO:
            fault = Fault(ErrorKind.ORDER_IN_PROGRESS, detail=CONCURRENT_REFUSAL)
            await self._refuse(fault)
            return
        self._refuse_unknown(Fault(ErrorKind.ORDER_UNKNOWN), record.state.value)

    async def _replay(self, response: StoredResponse | None) -> None:
        body = None if response is None else response.body
        if response is not None and response.object_key:
            stored = await self._dependencies.journal.objects.get(response.object_key)
            body = stored.ok if stored.is_ok() else None
        if response is None or body is None:
            self._set_result(Error(Fault(ErrorKind.ANSWER_LOST, Ran.YES)))
            return
        self._dependencies.metrics.count("order.replayed")
        headers = HTTPHeaders()
        for name, value in response.headers:
            headers.add(name, value)
        await self._relay.start(response.status, headers)
        await self._relay.write(body)
        await self._relay.finish()
        self._set_result(Ok(None))

    def _refuse_unknown(self, fault: Fault, reason: str) -> None:
        self._dependencies.metrics.count("order.unknown", 1, reason)
        detail = fault.detail or f"Reason: {reason}."
        self._set_result(Error(replace(fault, ran=Ran.UNKNOWN, detail=detail)))

    # once the record is claimed and a slot is granted

    async def _send_until_received(self, granted: SlotGrant) -> None:
        excluded: tuple[str, ...] = ()
        while True:
            if self._deadline_passed():
                self._dependencies.ingress.release(granted, 0.0, False)
                await self._refuse(Fault(ErrorKind.QUEUE_TIMEOUT))
                return
            result = await self._send(granted)
            if result.maybe_sent:
                await self._record_outcome(result)
                return
            # that endpoint received nothing, so the claim remains valid for another
            self._sent = False
            if self._abandoned or self.result_future.done():
                return
            excluded = (*excluded, granted.endpoint)
            slot = self._request_slot(excluded)
            try:
                next_grant = await self._acquire_slot(slot)
            finally:
                slot.cancel()
            if next_grant is None:
                return
            granted = next_grant

    def _deadline_passed(self) -> bool:
        """Return whether the order must no longer be sent.

        The process may have been paused since the grant, or the VM suspended.
        The event loop's clock does not count a suspension, so the wall clock is
        checked, too. An operator may settle an order after its deadline; sent
        later, it could run although it was settled as not run.
        """
        late = asyncio.get_running_loop().time() >= self._request.deadline
        return (
            late
            or self._dependencies.journal.now()
            >= self._record_claim.record.send_deadline
        )

    async def _send(self, granted: SlotGrant) -> ExchangeResult:
        """Send the order to the endpoint and relay the response to the caller."""
        request = self._request
        loop = asyncio.get_running_loop()
        meter = get_meter_by_name(request.service_entry.cost)
        endpoint = request.service_entry.endpoints[granted.endpoint]
        result = ExchangeResult(
            True, None, ErrorKind.ENDPOINT_TIMEOUT, "no answer in time"
        )
        self._sent = True
        exchange = asyncio.create_task(
            exchange_order(
                self._dependencies.client,
                endpoint.address,
                request,
                self._relay,
                meter.observe,
            )
        )
        try:
            await asyncio.wait({exchange}, timeout=request.deadline - loop.time())
            if not exchange.done():
                self._report_timeout()
                await asyncio.wait({exchange}, timeout=MAX_LATE_RESPONSE_SECONDS)
            if not exchange.done():
                self._relay.abort()
            if exchange.done():
                result = exchange.result()
            return result
        finally:
            exchange.cancel()
            failed = result.response is None
            self._dependencies.ingress.release(granted, meter.cost, failed)

    def _report_timeout(self) -> None:
        """Report a time-out to the caller at its deadline; the order continues.

        A response that has started by then is relayed to its end.
        """
        if self._relay.started:
            return
        self._refuse_unknown(Fault(ErrorKind.ENDPOINT_TIMEOUT), "endpoint-timeout")
        self._relay.abort()

    async def _record_outcome(self, result: ExchangeResult) -> None:
        """Report the outcome to the caller, and retry until the journal has it."""
        state, response = OrderState.UNKNOWN, None
        if result.response is not None:
            self._set_result(Ok(None))
            state, response = (
                OrderState.FINISHED,
                await self._store_body(result.response),
            )
        elif self._relay.started:
            self._relay.abort()
            self._set_result(Ok(None))
        elif not self.result_future.done():
            fault = Fault(result.kind, detail=f"{result.reason.capitalize()}.")
            self._refuse_unknown(fault, result.kind.value)
        for delay in _backoff_delays():
            written = await self._record_claim.record_outcome(
                state, response, result.reason
            )
            if written.is_ok() and self._is_recorded(state, *written.ok):
                return
            await asyncio.sleep(delay)

    def _is_recorded(
        self, state: OrderState, status: ClaimStatus, row: JournalRow
    ) -> bool:
        """Return whether the journal needs no further write."""
        if status in (ClaimStatus.TAKEN, ClaimStatus.MISMATCH):
            # an operator settled the order as not run; another attempt claimed it
            _log.error(
                f"Order {self._record_claim.row} ran, but was settled as not run."
            )
            return True
        record = row.record
        return (
            record is not None
            and record.state is state
            and record.attempt == self._record_claim.record.attempt
        )

    async def _store_body(self, response: StoredResponse) -> StoredResponse:
        """Store a large body in the object store; return the response to record."""
        if response.body is None or len(response.body) <= MAX_INLINE_BODY_BYTES:
            return response
        name = f"{self._record_claim.row}\0{self._record_claim.record.attempt}"
        key = f"order-{sha256(name.encode()).hexdigest()}"
        for delay in _backoff_delays():
            stored = await self._dependencies.journal.objects.put(key, response.body)
            if stored.is_ok():
                break
            await asyncio.sleep(delay)
        return replace(response, body=None, object_key=key)

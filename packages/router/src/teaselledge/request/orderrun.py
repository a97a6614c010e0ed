"""One attempt at one order: claim it, send it once, record how it ended."""

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

_Found = tuple[ClaimStatus, JournalRow]

_log = get_log("order")

INLINE_BYTES = 16 << 10
"""Longest answer body that is kept in the table service, in bytes."""

RESERVE_SECONDS = 1.0
"""Time before the deadline that is kept for a true refusal."""

RESERVE_PART = 0.1
"""The same as a part of the time that the request had; the lesser counts."""

SLOT_PATIENCE_SECONDS = 0.25
"""How long a slot may wait for the journal before it is given back."""

FIRST_PAUSE_SECONDS = 0.05
LAST_PAUSE_SECONDS = 1.0
"""Pauses between tries at the store grow from the first to the last."""

MAX_LATE_RESPONSE_SECONDS = 600.0
"""How long after the caller's deadline an endpoint's answer is waited for."""

RECHECK_SECONDS = 5.0
"""Wall-clock seconds after its deadline from which a started order is open."""

MAX_RELEASING = 8
"""Abandoned attempts of one router that call the store at once."""

REFUSED_JUST_NOW = "Another attempt of this order was refused just now."


def _pauses() -> Iterator[float]:
    """Yield growing pauses without end."""
    seconds = FIRST_PAUSE_SECONDS
    while True:
        yield seconds
        seconds = min(2 * seconds, LAST_PAUSE_SECONDS)


@dataclass(frozen=True)
class OrderDependencies:
    """What the orders of one router share; see `OrderExecutor`."""

    ingress: Ingress
    client: EndpointClient
    journal: Journal
    metrics: Metrics
    owner: str
    claim_timing: ClaimTiming
    release_limit: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_RELEASING)
    )


class OrderAttempt:
    """One attempt at one order, from arrival to the journal's last write.

    Attributes
    ----------
    result_future : asyncio.Future of Result
        What the caller gets; it may be there long before the attempt ends.
    """

    def __init__(
        self, tools: OrderDependencies, request: CallerRequest, sink: Sink, attempt: str
    ) -> None:
        loop = asyncio.get_running_loop()
        self._tools = tools
        self._request = request
        self._relay = RecordingSink(sink)
        self._arrived = loop.time()
        left = request.deadline - self._arrived
        self._limit = request.deadline - min(RESERVE_SECONDS, RESERVE_PART * left)
        now = tools.journal.now()
        record = OrderRecord(
            OrderState.STARTED,
            request_digest(request),
            attempt,
            tools.owner,
            request.service,
            request.kind,
            now,
            now + left,
        )
        row = order_row(request.organisation, request.key or "")
        self._attempt = RecordClaim(tools.journal, row, record, now)
        self._due = asyncio.Event()
        self._sent = False
        self._left = False
        self.result_future: asyncio.Future[Result[None, Fault]] = loop.create_future()

    async def run(self) -> None:
        """Claim, send and record the order."""
        try:
            granted = await self._prepare()
            if granted is not None:
                await self._carry_out(granted)
        except asyncio.CancelledError:
            # the caller went away before anything was sent; otherwise the
            # process ends, and must not write any more
            if not self._left:
                raise
        if not self._sent:
            await self._let_go()

    async def refuse(self, fault: Fault) -> None:
        """Refuse the order without trying to run it, or waiting for others."""
        self._limit = asyncio.get_running_loop().time()
        await self._refuse(fault)
        await self._let_go()

    def detach_caller(self) -> bool:
        """Go on without the caller; return whether to cancel what goes on."""
        self._relay.abort()
        self._left = not self._sent
        return self._left

    def on_task_done(self, task: "asyncio.Task[None]") -> None:
        """Make sure that the caller's side is not left waiting."""
        if task.cancelled():
            self.result_future.cancel()
            return
        error = task.exception()
        if error is not None:
            _log.opt(exception=error).error("Order ended by an error.")
        self._tell(Error(Fault(ErrorKind.INTERNAL, Ran.UNKNOWN)))

    def _tell(self, result: Result[None, Fault]) -> None:
        if not self.result_future.done():
            self.result_future.set_result(result)

    # before the request is sent

    async def _prepare(self) -> SlotGrant | None:
        """Return a slot once the claim is in the journal, None where refused."""
        hold = asyncio.create_task(self._hold())
        slot: SlotWait | None = None
        try:
            if self._tools.claim_timing.journal_failing:
                # a slot would wait for the journal; others could have used it
                await asyncio.wait({hold})
            slot = self._ask(())
            await asyncio.wait({hold, slot.task}, return_when=asyncio.FIRST_COMPLETED)
            if slot.task.done() and not hold.done():
                fault = await self._wait_with_slot(slot, hold)
                if fault is not None:
                    await self._refuse(fault)
                    return None
            found = await hold
            if found is None:
                slot.cancel()
                detail = "The order journal gave no answer in time."
                await self._refuse(Fault(ErrorKind.JOURNAL_UNAVAILABLE, detail=detail))
                return None
            if found[0] is not ClaimStatus.MINE:
                slot.cancel()
                await self._follow_other(*found)
                return None
            if slot.cancelled:
                slot = self._ask(())
            granted = await self._taken(slot)
            self._tools.claim_timing.record_slot_wait(
                self._request.service, slot.wait_seconds
            )
            return granted
        finally:
            hold.cancel()
            if slot is not None:
                slot.cancel()

    async def _taken(self, slot: SlotWait) -> SlotGrant | None:
        acquired = await slot.acquire()
        if acquired.is_error():
            await self._refuse(acquired.error)
            return None
        return acquired.ok

    async def _wait_with_slot(
        self, slot: SlotWait, hold: "asyncio.Task[_Found | None]"
    ) -> Fault | None:
        """Claim now that the slot is there; give it back where that takes long."""
        result = slot.task.result()
        if result.is_error():
            # a claim that is on its way counts as one that may get there
            hold.cancel()
            await asyncio.wait({hold})
            return result.error
        loop = asyncio.get_running_loop()
        since = loop.time()
        self._due.set()
        await asyncio.wait({hold}, timeout=SLOT_PATIENCE_SECONDS)
        self._tools.metrics.time("order.idle_slot", loop.time() - since)
        if not hold.done():
            slot.cancel()
        return None

    def _ask(self, excluded: tuple[str, ...]) -> SlotWait:
        request = self._request
        kind = request.kind_entry
        ticket = SlotRequest(
            request.organisation,
            request.service,
            request.kind,
            kind.cost_hint,
            self._limit,
            len(request.body),
            kind.repeatable,
            None,
            excluded,
        )
        return SlotWait(self._tools.ingress, ticket)

    async def _hold(self) -> _Found | None:
        """Claim the record when it is time; None where the journal is silent."""
        try:
            async with asyncio.timeout_at(self._limit):
                return await self._claim()
        except TimeoutError:
            return None

    async def _claim(self) -> _Found:
        loop = asyncio.get_running_loop()
        pace = self._tools.claim_timing
        looked = await self._attempt.read()
        if looked.is_ok() and looked.ok[0] is not ClaimStatus.FREE:
            return looked.ok
        if looked.is_error():
            pace.record_failure()
        await self._until_due(self._arrived + pace.claim_delay(self._request.service))
        for pause in _pauses():
            since = loop.time()
            claimed = await self._attempt.claim()
            if claimed.is_ok() and claimed.ok[0] is not ClaimStatus.FREE:
                pace.record_claim_time(loop.time() - since)
                return claimed.ok
            if claimed.is_error():
                pace.record_failure()
            await asyncio.sleep(pause)
        raise AssertionError("pauses never end")

    async def _until_due(self, due: float) -> None:
        if due == float("inf"):
            await self._due.wait()
            return
        try:
            async with asyncio.timeout_at(due):
                await self._due.wait()
        except TimeoutError:
            return

    async def _refuse(self, fault: Fault) -> None:
        """Give a true refusal, at once."""
        loop = asyncio.get_running_loop()
        # This attempt may hold the row and has sent nothing, and whatever read
        # the row before cannot claim it: nothing ran, and nothing will before
        # the caller asks again. So "no" is true also while the store is silent.
        certain = self._attempt.claimed
        left = max(self._request.deadline - loop.time(), FIRST_PAUSE_SECONDS)
        standing, held = ClaimStatus.FREE, JournalRow(None, ABSENT)
        with suppress(TimeoutError):
            async with asyncio.timeout(min(left, RESERVE_SECONDS)):
                standing, held = await self._mark()
        if standing in (
            ClaimStatus.TAKEN,
            ClaimStatus.MISMATCH,
            ClaimStatus.UNREADABLE,
        ):
            await self._follow_other(standing, held)
            return
        if certain or standing is ClaimStatus.RELEASED:
            self._tell(Error(replace(fault, ran=Ran.NO)))
            return
        self._refuse_unknown(fault, "journal-unavailable")

    async def _mark(self) -> _Found:
        """Mark the row so that no attempt so far runs; FREE where that failed."""
        while True:
            released = await self._attempt.release()
            if released.is_error():
                return ClaimStatus.FREE, JournalRow(None, ABSENT)
            if released.ok[0] not in (
                ClaimStatus.FREE,
                ClaimStatus.MINE,
                ClaimStatus.FENCED,
            ):
                return released.ok
            await asyncio.sleep(FIRST_PAUSE_SECONDS / 2)

    async def _let_go(self) -> None:
        """Release the row, however long the store is out of reach.

        The claim may be in the row, or a late write may still put it there;
        the key would be stuck though nothing was sent.
        """
        for pause in _pauses():
            if not self._attempt.may_be_written:
                return
            # after a long outage there are many such attempts; all at once
            # they would keep the store down that has just come back
            async with self._tools.release_limit:
                await self._mark()
            if self._attempt.may_be_written:
                await asyncio.sleep(pause)

    # where another attempt has the key

    async def _follow_other(self, standing: ClaimStatus, held: JournalRow) -> None:
        """Answer from another attempt's record."""
        if standing in (ClaimStatus.FENCED, ClaimStatus.RELEASED):
            fault = Fault(ErrorKind.ORDER_IN_PROGRESS, detail=REFUSED_JUST_NOW)
            await self._refuse(fault)
            return
        if standing is ClaimStatus.MISMATCH:
            self._tell(Error(Fault(ErrorKind.KEY_MISMATCH)))
            return
        if held.record is None:
            self._refuse_unknown(Fault(ErrorKind.ORDER_UNKNOWN), "unreadable")
            return
        try:
            async with asyncio.timeout_at(self._limit):
                record = await self._until_ended(held.record)
        except TimeoutError:
            self._refuse_unknown(Fault(ErrorKind.ORDER_IN_PROGRESS), "in-progress")
            return
        await self._answer_from(record)

    async def _until_ended(self, record: OrderRecord) -> OrderRecord:
        """Wait while another attempt runs the order."""
        for pause in _pauses():
            if record.state is not OrderState.STARTED:
                break
            if self._tools.journal.now() > record.send_deadline + RECHECK_SECONDS:
                # its router is gone, or the endpoint takes very long: there is
                # nothing left for which this request could wait
                break
            await asyncio.sleep(pause)
            looked = await self._attempt.read()
            if looked.is_ok() and looked.ok[1].record is not None:
                record = looked.ok[1].record
        return record

    async def _answer_from(self, record: OrderRecord) -> None:
        if record.state is OrderState.FINISHED:
            await self._replay(record.response)
            return
        ran = RAN_BY_STATE[record.state]
        if ran is Ran.YES:
            self._tell(Error(Fault(ErrorKind.ANSWER_LOST, Ran.YES)))
            return
        if ran is Ran.NO:
            fault = Fault(ErrorKind.ORDER_IN_PROGRESS, detail=REFUSED_JUST_NOW)
            await self._refuse(fault)
            return
        self._refuse_unknown(Fault(ErrorKind.ORDER_UNKNOWN), record.state.value)

    async def _replay(self, answer: StoredResponse | None) -> None:
        body = None if answer is None else answer.body
        if answer is not None and answer.object_key:
            stored = await self._tools.journal.objects.get(answer.object_key)
            body = stored.ok if stored.is_ok() else None
        if answer is None or body is None:
            self._tell(Error(Fault(ErrorKind.ANSWER_LOST, Ran.YES)))
            return
        self._tools.metrics.count("order.replayed")
        headers = HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        await self._relay.start(answer.status, headers)
        await self._relay.write(body)
        await self._relay.finish()
        self._tell(Ok(None))

    def _refuse_unknown(self, fault: Fault, reason: str) -> None:
        self._tools.metrics.count("order.unknown", 1, reason)
        detail = fault.detail or f"Reason: {reason}."
        self._tell(Error(replace(fault, ran=Ran.UNKNOWN, detail=detail)))

    # once the record is claimed and a slot is there

    async def _carry_out(self, granted: SlotGrant) -> None:
        excluded: tuple[str, ...] = ()
        while True:
            if self._lapsed():
                self._tools.ingress.release(granted, 0.0, False)
                await self._refuse(Fault(ErrorKind.QUEUE_TIMEOUT))
                return
            ended = await self._send(granted)
            if ended.maybe_sent:
                await self._record(ended)
                return
            # nothing reached that endpoint, so the claim serves for another
            self._sent = False
            if self._left or self.result_future.done():
                return
            excluded = (*excluded, granted.endpoint)
            slot = self._ask(excluded)
            try:
                following = await self._taken(slot)
            finally:
                slot.cancel()
            if following is None:
                return
            granted = following

    def _lapsed(self) -> bool:
        """Return whether it is too late to send.

        The process may have been paused since the grant, or the machine
        suspended, which the loop's clock does not show. An operator may settle
        an order whose deadline is over, so it must not go out any more.
        """
        late = asyncio.get_running_loop().time() >= self._request.deadline
        return late or self._tools.journal.now() >= self._attempt.record.send_deadline

    async def _send(self, granted: SlotGrant) -> ExchangeResult:
        """Exchange with the endpoint and answer the caller."""
        request = self._request
        loop = asyncio.get_running_loop()
        meter = get_meter_by_name(request.service_entry.cost)
        endpoint = request.service_entry.endpoints[granted.endpoint]
        ended = ExchangeResult(
            True, None, ErrorKind.ENDPOINT_TIMEOUT, "no answer in time"
        )
        self._sent = True
        exchange = asyncio.create_task(
            exchange_order(
                self._tools.client,
                endpoint.address,
                request,
                self._relay,
                meter.observe,
            )
        )
        try:
            await asyncio.wait({exchange}, timeout=request.deadline - loop.time())
            if not exchange.done():
                self._time_out()
                await asyncio.wait({exchange}, timeout=MAX_LATE_RESPONSE_SECONDS)
            if not exchange.done():
                self._relay.abort()
            if exchange.done():
                ended = exchange.result()
            return ended
        finally:
            exchange.cancel()
            failed = ended.response is None
            self._tools.ingress.release(granted, meter.cost, failed)

    def _time_out(self) -> None:
        """Answer the caller at its deadline; the order goes on.

        An answer that has begun by then is passed on to its end.
        """
        if self._relay.started:
            return
        self._refuse_unknown(Fault(ErrorKind.ENDPOINT_TIMEOUT), "endpoint-timeout")
        self._relay.abort()

    async def _record(self, ended: ExchangeResult) -> None:
        """Tell the outcome, and put it into the journal however long that takes."""
        state, answer = OrderState.UNKNOWN, None
        if ended.response is not None:
            self._tell(Ok(None))
            state, answer = OrderState.FINISHED, await self._kept(ended.response)
        elif self._relay.started:
            self._relay.abort()
            self._tell(Ok(None))
        elif not self.result_future.done():
            fault = Fault(ended.kind, detail=f"{ended.reason.capitalize()}.")
            self._refuse_unknown(fault, ended.kind.value)
        for pause in _pauses():
            closed = await self._attempt.record_outcome(state, answer, ended.reason)
            if closed.is_ok() and self._is_closed(state, *closed.ok):
                return
            await asyncio.sleep(pause)

    def _is_closed(
        self, state: OrderState, standing: ClaimStatus, held: JournalRow
    ) -> bool:
        if standing in (ClaimStatus.TAKEN, ClaimStatus.MISMATCH):
            # an operator settled it as not run, and another attempt followed
            _log.error(f"Order {self._attempt.row} ran after it was settled.")
            return True
        record = held.record
        return (
            record is not None
            and record.state is state
            and record.attempt == self._attempt.record.attempt
        )

    async def _kept(self, answer: StoredResponse) -> StoredResponse:
        """Move a long body to the object store."""
        if answer.body is None or len(answer.body) <= INLINE_BYTES:
            return answer
        name = f"{self._attempt.row}\0{self._attempt.record.attempt}"
        key = f"order-{sha256(name.encode()).hexdigest()}"
        for pause in _pauses():
            stored = await self._tools.journal.objects.put(key, answer.body)
            if stored.is_ok():
                break
            await asyncio.sleep(pause)
        return replace(answer, body=None, object_key=key)

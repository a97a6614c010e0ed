"""Run the orders of one router, each by one task that may outlive its caller."""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from expression import Error, Result
from tornado.httputil import HTTPHeaders

from teaselledge.connection.endpoint import EndpointClient
from teaselledge.errors import ErrorKind, Fault, Ran
from teaselledge.metrics import Metrics
from teaselledge.process.ingress import Ingress
from teaselledge.request.claimtiming import ClaimTiming, PredictiveClaimTiming
from teaselledge.request.context import CallerRequest, Sink
from teaselledge.request.journal import Journal
from teaselledge.request.orderrun import OrderAttempt, OrderDependencies
from teaselledge.request.record import is_valid_key

__all__ = ["OrderExecutor", "as_unverified"]


def as_unverified(fault: Fault, key: str | None) -> Fault:
    """Return a refusal as it may be told without a look into the journal.

    A request with an idempotency key may have run at an earlier attempt, on
    another router. Its refusal here must not say that it did not.
    """
    if not key or fault.ran is not Ran.NO:
        return fault
    return replace(fault, ran=Ran.UNKNOWN)


class OrderExecutor:
    """Runs the orders of one router.

    Parameters
    ----------
    ingress : Ingress
        Where slots come from.
    client : EndpointClient
        Sends to endpoints.
    journal : Journal
        The order journal.
    metrics : Metrics
        Where to count.
    owner : str
        VM and incarnation; no other process has the same.
    claim_timing : Pace or None
        When orders are claimed.

    Attributes
    ----------
    tools : OrderTools
        What its orders share.
    """

    def __init__(
        self,
        ingress: Ingress,
        client: EndpointClient,
        journal: Journal,
        metrics: Metrics,
        owner: str,
        claim_timing: ClaimTiming | None = None,
    ) -> None:
        self.tools = OrderDependencies(
            ingress,
            client,
            journal,
            metrics,
            owner,
            claim_timing or PredictiveClaimTiming(),
        )
        self._attempts = 0
        self._closed = False
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def journal(self) -> Journal:
        """The order journal."""
        return self.tools.journal

    @property
    def pending(self) -> int:
        """Orders in progress, and records that the journal still has to get."""
        return len(self._tasks)

    async def run(self, request: CallerRequest, sink: Sink) -> Result[None, Fault]:
        """Answer an order.

        The order goes on when the caller goes away after it was sent: the
        caller will ask again, and its answer is then in the journal.
        """
        if not request.key:
            return Error(Fault(ErrorKind.KEY_REQUIRED))
        if not is_valid_key(request.key):
            detail = "Idempotency-Key must be 1 to 200 visible ASCII characters."
            return Error(Fault(ErrorKind.BAD_REQUEST, detail=detail))
        order = self._start(request, sink)
        return await self._follow(order, order.run())

    async def refuse(
        self, request: CallerRequest, fault: Fault, sink: Sink | None = None
    ) -> Result[None, Fault]:
        """Refuse an order that was not queued, with a ``ran`` that is true.

        For a refusal at the door, such as by a router that is leaving: an
        earlier attempt elsewhere may have run. It does not wait for one that
        is in progress.

        Parameters
        ----------
        request : CallerRequest
            The order.
        fault : Fault
            Why it is refused.
        sink : Sink or None
            Gets the stored answer if there is one.

        Returns
        -------
        Result of None or Fault
            Ok only where the sink got an answer.
        """
        if not request.key or not is_valid_key(request.key):
            return Error(fault)
        order = self._start(request, sink or _NoSink())
        result = await self._follow(order, order.refuse(fault))
        if result.is_ok() and sink is None:
            return Error(replace(fault, ran=Ran.YES))
        return result

    async def wait_until_drained(self) -> None:
        """Wait until no order is in progress and the journal has its records."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def close(self) -> None:
        """Stop at once, as a killed process does."""
        self._closed = True
        for task in self._tasks:
            task.cancel()

    def _start(self, request: CallerRequest, sink: Sink) -> OrderAttempt:
        self._attempts += 1
        attempt = f"{self.tools.owner}/{self._attempts}"
        return OrderAttempt(self.tools, request, sink, attempt)

    async def _follow(
        self, order: OrderAttempt, work: Coroutine[Any, Any, None]
    ) -> Result[None, Fault]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(order.on_task_done)
        try:
            return await asyncio.shield(order.result_future)
        except asyncio.CancelledError:
            if not self._closed and order.detach_caller():
                task.cancel()
            raise


class _NoSink:
    """The sink of an order that only gets a refusal."""

    started = False

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take nothing."""

    async def write(self, chunk: bytes) -> None:
        """Take nothing."""

    async def finish(self) -> None:
        """Take nothing."""

    def abort(self) -> None:
        """Take nothing."""

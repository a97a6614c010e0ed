"""Run the orders of one router, each in a task that may outlive its caller."""

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
    """Return a fault whose ``ran`` holds without reading the journal.

    A request with an idempotency key may have run in an earlier attempt on
    another router, so its refusal must not state that it did not run.
    """
    if not key or fault.ran is not Ran.NO:
        return fault
    return replace(fault, ran=Ran.UNKNOWN)


class OrderExecutor:
    """Runs the orders of one router.

    Parameters
    ----------
    ingress : Ingress
        Grants slots.
    client : EndpointClient
        Sends to endpoints.
    journal : Journal
        The order journal.
    metrics : Metrics
        Receives the order metrics.
    owner : str
        VM and incarnation, unique to this process.
    claim_timing : ClaimTiming or None
        When orders are claimed; `PredictiveClaimTiming` by default.

    Attributes
    ----------
    dependencies : OrderDependencies
        Dependencies shared by the orders.
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
        self.dependencies = OrderDependencies(
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
        return self.dependencies.journal

    @property
    def pending(self) -> int:
        """Number of orders in progress or still to be recorded in the journal."""
        return len(self._tasks)

    async def run(self, request: CallerRequest, sink: Sink) -> Result[None, Fault]:
        """Run an order and respond to its caller.

        If the caller disconnects after the order was sent, the order continues:
        the caller is expected to retry and then gets the response from the journal.
        """
        if not request.key:
            return Error(Fault(ErrorKind.KEY_REQUIRED))
        if not is_valid_key(request.key):
            detail = "Idempotency-Key must be 1 to 200 visible ASCII characters."
            return Error(Fault(ErrorKind.BAD_REQUEST, detail=detail))
        order = self._create_attempt(request, sink)
        return await self._await_result(order, order.run())

    async def refuse(
        self, request: CallerRequest, fault: Fault, sink: Sink | None = None
    ) -> Result[None, Fault]:
        """Refuse an order before it is queued, after checking the journal.

        An earlier attempt on another router may have run the order, and the
        refusal must not deny that. Does not wait for an attempt in progress.

        Parameters
        ----------
        request : CallerRequest
            The order.
        fault : Fault
            Reason for the refusal.
        sink : Sink or None
            Receives the stored response if there is one.

        Returns
        -------
        Result of None or Fault
            Ok only if the sink received a response.
        """
        if not request.key or not is_valid_key(request.key):
            return Error(fault)
        order = self._create_attempt(request, sink or _NullSink())
        result = await self._await_result(order, order.refuse(fault))
        if result.is_ok() and sink is None:
            return Error(replace(fault, ran=Ran.YES))
        return result

    async def wait_until_drained(self) -> None:
        """Wait until no order is in progress or still to be recorded."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def close(self) -> None:
        """Cancel all orders at once; their outcomes are not recorded."""
        self._closed = True
        for task in self._tasks:
            task.cancel()

    def _create_attempt(self, request: CallerRequest, sink: Sink) -> OrderAttempt:
        self._attempts += 1
        attempt = f"{self.dependencies.owner}/{self._attempts}"
        return OrderAttempt(self.dependencies, request, sink, attempt)

    async def _await_result(
        self, order: OrderAttempt, coroutine: Coroutine[Any, Any, None]
    ) -> Result[None, Fault]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(order.on_task_done)
        try:
            return await asyncio.shield(order.result_future)
        except asyncio.CancelledError:
            if not self._closed and order.detach_caller():
                task.cancel()
            raise


class _NullSink:
    """Discards a response."""

    started = False

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Do nothing."""

    async def write(self, chunk: bytes) -> None:
        """Do nothing."""

    async def finish(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""

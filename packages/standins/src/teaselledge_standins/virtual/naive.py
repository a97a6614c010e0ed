"""A naive order executor: it retries on errors and writes the journal afterwards."""

from expression import Error, Ok, Result
from teaselledge.connection.endpoint import IncompleteResponseError, OutboundRequest
from teaselledge.errors import ErrorKind, Fault
from teaselledge.metrics import NullMetrics
from teaselledge.platform import ANY, Write
from teaselledge.process.drain import DrainGate
from teaselledge.process.ingress import SlotRequest
from teaselledge.process.node import Node
from teaselledge.request.context import CallerRequest, Sink
from teaselledge.request.order import OrderExecutor
from teaselledge.request.record import ORDERS_TABLE, order_row
from tornado.httputil import HTTPHeaders

__all__ = ["NaiveGate"]

MAX_ATTEMPTS = 3


class NaiveOrderExecutor(OrderExecutor):
    """Returns the stored response, or retries until there is one and stores it."""

    def __init__(self, node: Node) -> None:
        dependencies = node.orders.dependencies
        super().__init__(
            dependencies.ingress,
            dependencies.client,
            dependencies.journal,
            NullMetrics(),
            dependencies.owner,
        )

    async def run(self, request: CallerRequest, sink: Sink) -> Result[None, Fault]:
        """Execute an order."""
        row = order_row(request.organisation, request.key or "")
        tables = self.dependencies.journal.tables
        found = await tables.get(ORDERS_TABLE, row)
        if found.is_ok() and found.ok is not None:
            await self._send_response(sink, found.ok.value)
            return Ok(None)
        for _ in range(MAX_ATTEMPTS):
            body = await self._attempt(request)
            if body is not None:
                await tables.commit([Write(ORDERS_TABLE, row, body, ANY)])
                await self._send_response(sink, body)
                return Ok(None)
        return Error(Fault(ErrorKind.ENDPOINT_FAILED))

    async def _send_response(self, sink: Sink, body: bytes) -> None:
        await sink.start(200, HTTPHeaders())
        await sink.write(body)
        await sink.finish()

    async def _attempt(self, request: CallerRequest) -> bytes | None:
        dependencies = self.dependencies
        slot_request = SlotRequest(
            request.organisation,
            request.service,
            request.kind,
            request.kind_entry.cost_hint,
            request.deadline,
        )
        acquired = await dependencies.ingress.acquire(slot_request)
        if acquired.is_error():
            return None
        granted = acquired.ok
        try:
            endpoint = request.service_entry.endpoints[granted.endpoint]
            outbound = OutboundRequest(
                request.method, request.path, request.headers, request.body
            )
            sent = await dependencies.client.send(endpoint.address, outbound)
            if sent.is_error():
                return None
            return b"".join([chunk async for chunk in sent.ok.chunks()])
        except IncompleteResponseError:
            return None
        finally:
            dependencies.ingress.release(granted, 0.0, False)


class NaiveGate(DrainGate):
    """Passes orders to a naive executor and other requests to the router's runner."""

    def __init__(self, node: Node) -> None:
        super().__init__(node.request_runner, node.orders)
        self._executor = NaiveOrderExecutor(node)

    @classmethod
    def install(cls, node: Node) -> None:
        """Replace a node's request runner by a naive one, unless that is done."""
        if not isinstance(node.request_runner, cls):
            node.request_runner = cls(node)

    async def run(self, request: CallerRequest, sink: Sink) -> Result[None, Fault]:
        """Run a request."""
        if request.kind_entry.repeatable:
            return await super().run(request, sink)
        return await self._executor.run(request, sink)

"""Explored system of routers that execute the same order, on the real code."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from typing import cast

from expression import Error, Ok, Result
from teaselledge.connection.endpoint import (
    EndpointResponse,
    OutboundRequest,
    SendFailure,
)
from teaselledge.errors import ErrorKind, Fault, Ran
from teaselledge.metrics import NullMetrics
from teaselledge.process.ingress import Ingress, SlotGrant, SlotRequest
from teaselledge.process.mesh import Origin
from teaselledge.process.placement import Shard
from teaselledge.request.context import CallerRequest
from teaselledge.request.journal import Journal
from teaselledge.request.order import OrderExecutor
from teaselledge.version.document import Document, Endpoint, Kind, Service, Version
from tornado.httputil import HTTPHeaders

from teaselledge_standins.explore import CallChoice, ExploredSystem
from teaselledge_standins.objects import MemoryObjects
from teaselledge_standins.virtual.fleet import MemorySink

__all__ = ["DOWN", "DROP", "check_order", "order_attempts"]

DOWN = "endpoint refuses"
"""Budget: an endpoint refuses the connection."""

DROP = "endpoint drops"
"""Budget: an endpoint executes the order and drops the connection."""

DOCUMENT = Document(
    {},
    {},
    {
        "ledger": Service(
            "seconds",
            {"ledger-0": Endpoint("ledger-0:1", "near-a")},
            {"order": Kind(("POST",), ("order",), repeatable=False)},
        )
    },
)


class _FreeIngress:
    """Grants the first slot of an order at once, and none for retries."""

    async def acquire(self, slot_request: SlotRequest) -> Result[SlotGrant, Fault]:
        if slot_request.excluded:
            await asyncio.sleep(
                slot_request.deadline - asyncio.get_running_loop().time()
            )
            return Error(Fault(ErrorKind.QUEUE_TIMEOUT))
        return Ok(
            SlotGrant("ledger-0", Origin("d", 1), Shard("ledger", "z"), 1, 1, 0.0)
        )

    def release(self, granted: SlotGrant, cost: float, failed: bool) -> None:
        pass


class _FullIngress(_FreeIngress):
    """Refuses each request for a slot."""

    async def acquire(self, slot_request: SlotRequest) -> Result[SlotGrant, Fault]:
        return Error(Fault(ErrorKind.QUEUE_TIMEOUT))


class _Response:
    status = 200
    headers = HTTPHeaders()

    def __repr__(self) -> str:
        # Results are part of a state's fingerprint, which must not depend on the
        # address of an object.
        return "whole answer"

    async def chunks(self) -> AsyncIterator[bytes]:
        yield b"done"

    def close(self) -> None:
        pass


class _Client:
    """Executes each order that arrives, and records it in the system's log."""

    def __init__(self, system: ExploredSystem, actor: str) -> None:
        self._system = system
        self._actor = actor

    async def send(
        self, address: str, request: OutboundRequest
    ) -> Result[EndpointResponse, SendFailure]:
        def run() -> Result[EndpointResponse, SendFailure]:
            self._system.log.append(("ran", request.body))
            return Ok(_Response())

        def drop() -> Result[EndpointResponse, SendFailure]:
            run()
            return Error(SendFailure(True, "dropped"))

        outcomes = [
            CallChoice("run", run),
            CallChoice("drop", drop, DROP),
            CallChoice("refused", lambda: Error(SendFailure(False, "refused")), DOWN),
        ]
        return await self._system.call(self._actor, "send", outcomes)


def _request(seconds: float) -> CallerRequest:
    return CallerRequest(
        "r",
        "amber",
        "ledger",
        "order",
        "POST",
        "/order",
        HTTPHeaders(),
        b"o",
        "key",
        Version(1, DOCUMENT),
        asyncio.get_running_loop().time() + seconds,
    )


async def _place(
    system: ExploredSystem, executor: OrderExecutor, actor: str, seconds: float
) -> None:
    sink = MemorySink()
    result = await executor.run(_request(seconds), sink)
    reported = "answer" if result.is_ok() else result.error.ran.value
    system.log.append(("told", actor, reported))
    # Journal writes that are still pending belong to the attempt.
    await executor.wait_until_drained()


def order_attempts(
    names: Sequence[str],
    journal_class: type[Journal] = Journal,
    full: Sequence[str] = (),
) -> Callable[[ExploredSystem], None]:
    """Return a setup in which each router executes the same order once.

    Routers in ``full`` get no slot.
    """

    def setup(system: ExploredSystem) -> None:
        for i, name in enumerate(names):
            tables = system.tables_of(name)
            journal = journal_class(
                tables, MemoryObjects(), NullMetrics(), lambda: system.clock
            )
            executor = OrderExecutor(
                cast(Ingress, _FullIngress() if name in full else _FreeIngress()),
                _Client(system, name),
                journal,
                NullMetrics(),
                name,
            )
            work = _place(system, executor, name, 3.0 + 3.0 * i)
            system.spawn(name, work, executor.close)

    return setup


def check_order(system: ExploredSystem) -> None:
    """Check the results that callers received against the executions."""
    log = cast(list[tuple[str, ...]], system.log)
    runs = sum(1 for entry in log if entry[0] == "ran")
    assert runs <= 1, f"ran {runs} times"
    for _, actor, result in (entry for entry in log if entry[0] == "told"):
        if result == Ran.NO.value:
            assert runs == 0, f"{actor} was told that it did not run"
        if result in ("answer", Ran.YES.value):
            assert runs == 1, f"{actor} was told that it ran"

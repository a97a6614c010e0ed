"""Attempts at one order under the explorer, on the real code."""

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
"""Budget: an endpoint runs the order and drops the connection."""

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
    """Grants each first wish at once, and no second one."""

    async def acquire(self, ticket: SlotRequest) -> Result[SlotGrant, Fault]:
        if ticket.excluded:
            await asyncio.sleep(ticket.deadline - asyncio.get_running_loop().time())
            return Error(Fault(ErrorKind.QUEUE_TIMEOUT))
        return Ok(
            SlotGrant("ledger-0", Origin("d", 1), Shard("ledger", "z"), 1, 1, 0.0)
        )

    def release(self, granted: SlotGrant, cost: float, failed: bool) -> None:
        pass


class _FullIngress(_FreeIngress):
    """Refuses each wish."""

    async def acquire(self, ticket: SlotRequest) -> Result[SlotGrant, Fault]:
        return Error(Fault(ErrorKind.QUEUE_TIMEOUT))


class _Answer:
    status = 200
    headers = HTTPHeaders()

    def __repr__(self) -> str:
        # results are part of a state, which must not hold an object's address
        return "whole answer"

    async def chunks(self) -> AsyncIterator[bytes]:
        yield b"done"

    def close(self) -> None:
        pass


class _Client:
    """Runs each order that gets through, and notes it in the world's log."""

    def __init__(self, world: ExploredSystem, actor: str) -> None:
        self._world = world
        self._actor = actor

    async def send(
        self, address: str, request: OutboundRequest
    ) -> Result[EndpointResponse, SendFailure]:
        def run() -> Result[EndpointResponse, SendFailure]:
            self._world.log.append(("ran", request.body))
            return Ok(_Answer())

        def drop() -> Result[EndpointResponse, SendFailure]:
            run()
            return Error(SendFailure(True, "dropped"))

        outcomes = [
            CallChoice("run", run),
            CallChoice("drop", drop, DROP),
            CallChoice("refused", lambda: Error(SendFailure(False, "refused")), DOWN),
        ]
        return await self._world.call(self._actor, "send", outcomes)


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
    world: ExploredSystem, desk: OrderExecutor, actor: str, seconds: float
) -> None:
    sink = MemorySink()
    result = await desk.run(_request(seconds), sink)
    told = "answer" if result.is_ok() else result.error.ran.value
    world.log.append(("told", actor, told))
    # the records that the journal still has to get belong to the attempt
    await desk.wait_until_drained()


def order_attempts(
    names: Sequence[str],
    journal_class: type[Journal] = Journal,
    full: Sequence[str] = (),
) -> Callable[[ExploredSystem], None]:
    """Return a set-up with one attempt of the same order on each router.

    Routers that are ``full`` find no slot.
    """

    def setup(world: ExploredSystem) -> None:
        for i, name in enumerate(names):
            tables = world.tables_of(name)
            journal = journal_class(
                tables, MemoryObjects(), NullMetrics(), lambda: world.clock
            )
            desk = OrderExecutor(
                cast(Ingress, _FullIngress() if name in full else _FreeIngress()),
                _Client(world, name),
                journal,
                NullMetrics(),
                name,
            )
            work = _place(world, desk, name, 3.0 + 3.0 * i)
            world.spawn(name, work, desk.close)

    return setup


def check_order(world: ExploredSystem) -> None:
    """Check what callers were told against what the endpoint ran."""
    log = cast(list[tuple[str, ...]], world.log)
    runs = sum(1 for entry in log if entry[0] == "ran")
    assert runs <= 1, f"ran {runs} times"
    for _, actor, told in (entry for entry in log if entry[0] == "told"):
        if told == Ran.NO.value:
            assert runs == 0, f"{actor} was told that it did not run"
        if told in ("answer", Ran.YES.value):
            assert runs == 1, f"{actor} was told that it ran"

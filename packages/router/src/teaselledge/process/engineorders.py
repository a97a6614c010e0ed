"""Orders to engines, issued by one holder of a lease.

An order names the whole state that an engine should have, so the same order
twice does what it does once. What must not happen is that an order lands after a
newer, different one. The holder therefore records each order before it sends it,
in one transaction with the lease. On engines that check fencing numbers a newer
order goes out at once, since the engine refuses the older one from then on. On
engines that ignore them it waits until the older order has ended or its sender
can send no more.
"""

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Protocol

from expression import Error, Ok, Result

from teaselledge.log import get_log
from teaselledge.metrics import Metrics
from teaselledge.platform import Row, TableService, Write
from teaselledge.process.lease import Lease
from teaselledge.version.document import Service

__all__ = [
    "ENGINE_ORDERS_TABLE",
    "EngineAdmin",
    "EngineReconciler",
    "EngineState",
    "EngineOrderFailure",
    "OrderRow",
    "ReconcileResult",
    "Target",
    "desired_target",
]

_log = get_log("engines")

ENGINE_ORDERS_TABLE = "engine-orders"

WIRE_SECONDS = 120.0
"""Time after which bytes of a closed connection can't arrive any more."""


@dataclass(frozen=True)
class Target:
    """The state that an engine should have.

    Attributes
    ----------
    role : str
        ``any``, ``prefill`` or ``decode``.
    models : tuple of str
        Sorted; each ``name@version`` with adapters as ``+adapter``.
    """

    role: str
    models: tuple[str, ...]


def desired_target(service: Service, endpoint: str) -> Target:
    """Return what the document wants of an engine."""
    entry = service.endpoints[endpoint]
    models = []
    for name in entry.models:
        model = service.models.get(name)
        version = f"@{model.version}" if model else ""
        adapters = "".join(f"+{a}" for a in model.adapters) if model else ""
        models.append(f"{name}{version}{adapters}")
    return Target(entry.role, tuple(sorted(models)))


@dataclass(frozen=True)
class EngineState:
    """What an engine says of itself.

    Attributes
    ----------
    target : Target
        The state that it has, or is getting to.
    loading : bool
        It is getting there and can't answer requests yet.
    """

    target: Target
    loading: bool = False


class EngineOrderFailure(Enum):
    """Why an order got no answer that it was carried out."""

    REFUSED = "refused"
    """Nothing was carried out: no connection, or the engine is busy."""

    OLD_NUMBER = "old-number"
    """The engine has seen a higher fencing number."""

    UNCERTAIN = "uncertain"
    """It may be carried out, now or later."""


class EngineAdmin(Protocol):
    """The engines' interface for orders."""

    async def state(self, address: str) -> Result[EngineState, EngineOrderFailure]:
        """Read an engine's state."""

    async def set_target(
        self, address: str, number: int, target: Target
    ) -> Result[None, EngineOrderFailure]:
        """Give an order; the answer comes when the engine has taken it."""


@dataclass(frozen=True)
class OrderRow:
    """The last order to an engine, as recorded.

    Attributes
    ----------
    holder : str
        Who sends it.
    number : int
        Its fencing number.
    target : Target
        What it says.
    open : bool
        It may still be on its way.
    """

    holder: str
    number: int
    target: Target
    open: bool

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> "OrderRow":
        """Read a row's value."""
        fields = json.loads(value)
        target = Target(fields["target"]["role"], tuple(fields["target"]["models"]))
        return cls(fields["holder"], fields["number"], target, fields["open"])


class ReconcileResult(Enum):
    """What one look at an engine led to."""

    RIGHT = "right"
    """It has the wanted state."""

    LOADING = "loading"
    """It is getting there."""

    WAITING = "waiting"
    """An older order may still land, or the budget for loads is used up."""

    FAILED = "failed"
    """It or the store gave no answer; the next look goes on."""


class EngineReconciler:
    """Brings engines to their target states while this process holds the lease.

    Parameters
    ----------
    tables : TableService
        Where orders are recorded.
    lease : Lease
        Only its holder issues orders.
    admin : EngineAdmin
        Reaches the engines.
    is_terminated : callable
        Whether a holder's process can send nothing any more, bytes on their
        way included. It must never be wrong that it is.
    metrics : Metrics
        Where to count.
    """

    def __init__(
        self,
        tables: TableService,
        lease: Lease,
        admin: EngineAdmin,
        is_terminated: Callable[[str], bool],
        metrics: Metrics,
    ) -> None:
        self._tables = tables
        self._lease = lease
        self._admin = admin
        self._is_gone = is_terminated
        self._metrics = metrics
        self._uncertain: dict[str, float] = {}

    async def reconcile(
        self, name: str, service: Service, endpoints: Iterable[str]
    ) -> dict[str, ReconcileResult]:
        """Look at the engines of a service once, and order what is missing.

        The engines that load draw on the service's budget, so that a change for
        all of them does not exceed the rate of the weight store.
        """
        found: dict[str, ReconcileResult] = {}
        wanted = list(endpoints)
        loading = 0
        for endpoint in wanted:
            state = await self._admin.state(service.endpoints[endpoint].address)
            if state.is_ok() and state.ok.loading:
                loading += 1
                found[endpoint] = ReconcileResult.LOADING
        for endpoint in wanted:
            if endpoint in found:
                continue
            room = loading < service.loads_at_once
            progress = await self.reconcile_engine(name, service, endpoint, room)
            loading += progress is ReconcileResult.LOADING
            found[endpoint] = progress
        return found

    async def reconcile_engine(
        self, name: str, service: Service, endpoint: str, may_load: bool = True
    ) -> ReconcileResult:
        """Look at one engine and give the order that it needs, if it may."""
        address = service.endpoints[endpoint].address
        target = desired_target(service, endpoint)
        key = f"{name}/{endpoint}"
        read = await self._tables.get(ENGINE_ORDERS_TABLE, key)
        if read.is_error():
            return ReconcileResult.FAILED
        row = read.ok
        last = OrderRow.decode(row.value) if row else None
        if last is None or not last.open or self._is_sent(key, last, target):
            state = await self._admin.state(address)
            if state.is_error():
                return ReconcileResult.FAILED
            if state.ok.target == target:
                return (
                    ReconcileResult.LOADING
                    if state.ok.loading
                    else ReconcileResult.RIGHT
                )
        if not may_load or self._must_wait(service, key, last, target):
            self._metrics.count("engines.waiting")
            return ReconcileResult.WAITING
        return await self._order(service, key, address, row, target)

    def _is_sent(self, key: str, last: OrderRow, target: Target) -> bool:
        """Return whether only a copy of this process's same order may still come."""
        if last.holder != self._lease.holder or last.target != target:
            return False
        return key in self._uncertain and not self._expired(key)

    def _must_wait(
        self, service: Service, key: str, last: OrderRow | None, target: Target
    ) -> bool:
        """Return whether an older order could land after a new one.

        Also one that says the same: a new record would hide that the older one
        is still open, and the next change could then be undone by it.
        """
        if service.checks_fencing or last is None or not last.open:
            return False
        if last.holder == self._lease.holder:
            # this process's own send has ended; where it got no answer, its
            # bytes may still be on their way
            return (
                last.target != target
                and key in self._uncertain
                and not self._expired(key)
            )
        if self._is_gone(last.holder):
            return False
        _log.warning(
            f"Order to {key} waits: {last.holder} may still send an older one."
        )
        return True

    async def _order(
        self,
        service: Service,
        key: str,
        address: str,
        row: Row | None,
        target: Target,
    ) -> ReconcileResult:
        held = self._lease.held
        if held is None:
            return ReconcileResult.FAILED
        number = held.number + 1
        entry = OrderRow(self._lease.holder, number, target, True)
        version = row.version if row else 0
        intent = Write(ENGINE_ORDERS_TABLE, key, entry.encode(), version)
        recorded = await self._lease.commit([intent], number)
        if recorded.is_error():
            return ReconcileResult.FAILED
        # a pause here is why the record exists: whoever holds the lease by now
        # knows that this order may come
        sent = await self._admin.set_target(address, number, target)
        if sent.is_error() and sent.error is EngineOrderFailure.UNCERTAIN:
            self._uncertain[key] = asyncio.get_running_loop().time()
            return ReconcileResult.FAILED
        if key in self._uncertain and not service.checks_fencing:
            # an earlier copy of this order may still be on its way, so the record
            # stays open until it can't be
            if not self._expired(key):
                return ReconcileResult.LOADING
            del self._uncertain[key]
        closed = OrderRow(entry.holder, number, target, False)
        # without the lease: also a holder that has lost it must say that its
        # order has ended, for its successor waits for that
        await self._tables.commit(
            [Write(ENGINE_ORDERS_TABLE, key, closed.encode(), version + 1)]
        )
        self._metrics.count("engines.orders")
        return ReconcileResult.FAILED if sent.is_error() else ReconcileResult.LOADING

    def _expired(self, key: str) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self._uncertain[key] >= WIRE_SECONDS


def decode_state(data: bytes) -> Result[EngineState, EngineOrderFailure]:
    """Read an engine's answer about its state."""
    try:
        fields = json.loads(data)
        target = Target(str(fields["role"]), tuple(sorted(map(str, fields["models"]))))
        return Ok(EngineState(target, bool(fields["loading"])))
    except (ValueError, KeyError, TypeError):
        # an engine of another make or a proxy's error page
        return Error(EngineOrderFailure.REFUSED)

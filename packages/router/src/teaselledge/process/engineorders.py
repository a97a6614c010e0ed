"""Engine orders, issued by the holder of a lease.

An engine order contains the complete state that an engine should have, so orders are
idempotent. An order must not take effect after a newer, different one. The holder
therefore records each order before it sends it, in one transaction with the lease.
On engines that check fencing numbers a newer order is sent at once, since the engine
refuses older ones from then on. On engines that ignore them a newer order waits until
the older one has ended or can no longer arrive.
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

PACKET_EXPIRY_SECONDS = 120.0
"""Time after which no packet of a closed connection can arrive."""


@dataclass(frozen=True)
class Target:
    """Target state of an engine.

    Attributes
    ----------
    role : str
        ``any``, ``prefill`` or ``decode``.
    models : tuple of str
        Models in sorted order, each ``name@version`` with adapters as ``+adapter``.
    """

    role: str
    models: tuple[str, ...]


def desired_target(service: Service, endpoint: str) -> Target:
    """Return the target state of an engine according to the document."""
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
    """State reported by an engine.

    Attributes
    ----------
    target : Target
        State that the engine has or is loading.
    loading : bool
        Whether the engine is still loading and can't serve requests yet.
    """

    target: Target
    loading: bool = False


class EngineOrderFailure(Enum):
    """Reason why an engine order was not confirmed."""

    REFUSED = "refused"
    """The order was not carried out: no connection, or the engine is busy."""

    OLD_NUMBER = "old-number"
    """The engine has received a higher fencing number."""

    UNCERTAIN = "uncertain"
    """The order may have been carried out, or may be later."""


class EngineAdmin(Protocol):
    """Client of the engines' administration interface."""

    async def state(self, address: str) -> Result[EngineState, EngineOrderFailure]:
        """Read an engine's state."""

    async def set_target(
        self, address: str, number: int, target: Target
    ) -> Result[None, EngineOrderFailure]:
        """Send an order and wait until the engine has accepted it."""


@dataclass(frozen=True)
class OrderRow:
    """Record of the last order to an engine.

    Attributes
    ----------
    holder : str
        Process that sends the order.
    number : int
        Fencing number of the order.
    target : Target
        Target state in the order.
    open : bool
        Whether the order may still arrive at the engine.
    """

    holder: str
    number: int
    target: Target
    open: bool

    def encode(self) -> bytes:
        """Return the record encoded as a row's value."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> "OrderRow":
        """Return the record in a row's value."""
        fields = json.loads(value)
        target = Target(fields["target"]["role"], tuple(fields["target"]["models"]))
        return cls(fields["holder"], fields["number"], target, fields["open"])


class ReconcileResult(Enum):
    """Result of reconciling one engine."""

    RIGHT = "right"
    """The engine has its target state."""

    LOADING = "loading"
    """The engine is loading its target state."""

    WAITING = "waiting"
    """An older order may still arrive, or the budget for loads is used up."""

    FAILED = "failed"
    """The engine or the store did not respond; the next round tries again."""


class EngineReconciler:
    """Brings engines to their target states while this process holds the lease.

    Parameters
    ----------
    tables : TableService
        Table service in which orders are recorded.
    lease : Lease
        Lease whose holder alone issues orders.
    admin : EngineAdmin
        Client of the engines.
    is_terminated : callable
        Returns whether a holder's process has ended and none of its packets can
        arrive. It must not return true wrongly.
    metrics : Metrics
        Receives the counters.
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
        self._is_terminated = is_terminated
        self._metrics = metrics
        self._uncertain_since: dict[str, float] = {}

    async def reconcile(
        self, name: str, service: Service, endpoints: Iterable[str]
    ) -> dict[str, ReconcileResult]:
        """Read the states of a service's engines once and send the missing orders.

        At most ``loads_at_once`` engines load at a time, so that a change for all
        of them does not exceed the rate of the weight store.
        """
        found: dict[str, ReconcileResult] = {}
        endpoint_names = list(endpoints)
        loading = 0
        for endpoint in endpoint_names:
            state = await self._admin.state(service.endpoints[endpoint].address)
            if state.is_ok() and state.ok.loading:
                loading += 1
                found[endpoint] = ReconcileResult.LOADING
        for endpoint in endpoint_names:
            if endpoint in found:
                continue
            may_load_more = loading < service.loads_at_once
            result = await self.reconcile_engine(name, service, endpoint, may_load_more)
            loading += result is ReconcileResult.LOADING
            found[endpoint] = result
        return found

    async def reconcile_engine(
        self, name: str, service: Service, endpoint: str, may_load: bool = True
    ) -> ReconcileResult:
        """Read one engine's state and send an order if it needs and may get one."""
        address = service.endpoints[endpoint].address
        target = desired_target(service, endpoint)
        key = f"{name}/{endpoint}"
        read = await self._tables.get(ENGINE_ORDERS_TABLE, key)
        if read.is_error():
            return ReconcileResult.FAILED
        row = read.ok
        last = OrderRow.decode(row.value) if row else None
        if last is None or not last.open or self._is_own_order_open(key, last, target):
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
        return await self._send_order(service, key, address, row, target)

    def _is_own_order_open(self, key: str, last: OrderRow, target: Target) -> bool:
        """Return whether the open order is this process's own, with this target.

        It got no response, so that a copy of it may still arrive.
        """
        if last.holder != self._lease.holder or last.target != target:
            return False
        return key in self._uncertain_since and not self._has_expired(key)

    def _must_wait(
        self, service: Service, key: str, last: OrderRow | None, target: Target
    ) -> bool:
        """Return whether an older order could arrive after a new one.

        This includes an older order with the same target: a new record would hide
        that it is still open, and it could then undo the next change.
        """
        if service.checks_fencing or last is None or not last.open:
            return False
        if last.holder == self._lease.holder:
            # this process's own call has ended; if it got no response, the order
            # may still arrive
            return (
                last.target != target
                and key in self._uncertain_since
                and not self._has_expired(key)
            )
        if self._is_terminated(last.holder):
            return False
        _log.warning(
            f"Engine order to {key} waits: an older one of {last.holder} may still "
            "arrive."
        )
        return True

    async def _send_order(
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
        record_write = Write(ENGINE_ORDERS_TABLE, key, entry.encode(), version)
        committed = await self._lease.commit([record_write], number)
        if committed.is_error():
            return ReconcileResult.FAILED
        # if this process is paused here, the record shows the next holder of the
        # lease that this order may still arrive
        sent = await self._admin.set_target(address, number, target)
        if sent.is_error() and sent.error is EngineOrderFailure.UNCERTAIN:
            self._uncertain_since[key] = asyncio.get_running_loop().time()
            return ReconcileResult.FAILED
        if key in self._uncertain_since and not service.checks_fencing:
            # an earlier copy of this order may still arrive; the record stays open
            # until it no longer can
            if not self._has_expired(key):
                return ReconcileResult.LOADING
            del self._uncertain_since[key]
        closed = OrderRow(entry.holder, number, target, False)
        # not conditional on the lease: a holder that has lost it must close its
        # record too, since its successor waits for that
        await self._tables.commit(
            [Write(ENGINE_ORDERS_TABLE, key, closed.encode(), version + 1)]
        )
        self._metrics.count("engines.orders")
        return ReconcileResult.FAILED if sent.is_error() else ReconcileResult.LOADING

    def _has_expired(self, key: str) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self._uncertain_since[key] >= PACKET_EXPIRY_SECONDS


def decode_state(data: bytes) -> Result[EngineState, EngineOrderFailure]:
    """Decode an engine's response with its state."""
    try:
        fields = json.loads(data)
        target = Target(str(fields["role"]), tuple(sorted(map(str, fields["models"]))))
        return Ok(EngineState(target, bool(fields["loading"])))
    except (ValueError, KeyError, TypeError):
        # a different kind of engine, or a proxy's error page
        return Error(EngineOrderFailure.REFUSED)

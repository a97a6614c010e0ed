"""Leave gracefully: out of the addresses, refuse, finish, end."""

import asyncio
from collections.abc import Callable
from enum import Enum, IntEnum
from typing import Protocol

from expression import Error, Result

from teaselledge.errors import ErrorKind, Fault, Ran
from teaselledge.log import get_log
from teaselledge.request.context import CallerRequest, Sink
from teaselledge.request.order import OrderExecutor, as_unverified

__all__ = ["Drain", "DrainExit", "DrainGate", "Phase"]

_log = get_log("drain")

CHECK_SECONDS = 0.05


class DrainExit(IntEnum):
    """Exit codes of the process after a graceful shutdown."""

    WHOLE = 0
    """Everything in progress ended."""

    DEADLINE = 3
    """The time of the settings was over; what was left was cut."""

    SECOND_SIGNAL = 4
    """A second signal came; what was left was cut."""


class Phase(Enum):
    """How far a shutdown is."""

    SERVING = "serving"
    LEAVING = "leaving"
    """Out of the addresses; callers with old answers are served."""

    REFUSING = "refusing"
    """New requests are refused, what runs goes on."""

    ENDED = "ended"


class Runner(Protocol):
    """What answers requests."""

    async def run(self, request: CallerRequest, sink: Sink) -> Result[None, Fault]:
        """Answer a request."""


class DrainTarget(Protocol):
    """What a shutdown needs of the router."""

    def announce_leaving(self) -> None:
        """Tell the others that this router takes no new work."""

    def reject_waiting(self, fault: Fault) -> None:
        """Give a final answer to requests that wait and have not begun."""

    def alternative_address(self) -> str:
        """Return the address of another router, or nothing."""


class Drain:
    """The graceful shutdown of one router.

    Parameters
    ----------
    parts : Parts
        The router's parts.
    in_progress : callable
        How many requests are in progress, records for the journal included.
    address_seconds : float
        How long callers keep the answer of the address list.
    drain_seconds : float
        Longest time from start to end.
    """

    def __init__(
        self,
        parts: DrainTarget,
        in_progress: Callable[[], int],
        address_seconds: float,
        drain_seconds: float,
    ) -> None:
        self._parts = parts
        self._in_progress = in_progress
        self._address_seconds = address_seconds
        self._drain_seconds = drain_seconds
        self._phase = Phase.SERVING
        self._started = asyncio.Event()
        self._hurried = asyncio.Event()

    @property
    def phase(self) -> Phase:
        """How far it is."""
        return self._phase

    def start(self) -> None:
        """Start to leave; doing it again changes nothing."""
        if self._started.is_set():
            return
        self._phase = Phase.LEAVING
        self._started.set()
        _log.info("This router leaves.")
        self._parts.announce_leaving()

    def signal(self) -> None:
        """Start, or end at once where it has started already."""
        if self._started.is_set():
            self._hurried.set()
        self.start()

    def rejection(self) -> Fault | None:
        """Return what a new request is told, None where it is taken."""
        if self._phase in (Phase.SERVING, Phase.LEAVING):
            return None
        return self._fault()

    async def wait(self) -> DrainExit:
        """Wait for the start, then leave and return how it ended."""
        await self._started.wait()
        hurried = asyncio.create_task(self._hurried.wait())
        leaving = asyncio.create_task(self._leave())
        done, pending = await asyncio.wait(
            {hurried, leaving},
            timeout=self._drain_seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in pending:
            task.cancel()
        self._phase = Phase.ENDED
        if leaving in done:
            _log.info("Everything in progress has ended.")
            return DrainExit.WHOLE
        left = self._in_progress()
        _log.warning(f"{left} requests in progress are cut.")
        return DrainExit.SECOND_SIGNAL if hurried in done else DrainExit.DEADLINE

    async def _leave(self) -> None:
        await asyncio.sleep(self._address_seconds)
        self._phase = Phase.REFUSING
        self._parts.reject_waiting(self._fault())
        while self._in_progress():
            await asyncio.sleep(CHECK_SECONDS)

    def _fault(self) -> Fault:
        address = self._parts.alternative_address()
        detail = f"Use {address} instead." if address else ""
        return Fault(ErrorKind.LEAVING, Ran.NO, detail)


class DrainGate:
    """Counts the requests in progress and refuses new ones while leaving."""

    def __init__(self, runner: Runner, orders: OrderExecutor) -> None:
        self._runner = runner
        self._orders = orders
        self._running = 0
        self.rejection: Callable[[], Fault | None] = lambda: None

    @property
    def in_progress(self) -> int:
        """Requests in progress, and records that the journal still has to get."""
        return self._running + self._orders.pending

    async def run(self, request: CallerRequest, sink: Sink) -> Result[None, Fault]:
        """Answer a request."""
        fault = self.rejection()
        if fault is not None and request.kind_entry.repeatable:
            return Error(as_unverified(fault, request.key))
        if fault is not None:
            # an earlier attempt on another router may have run the order
            return await self._orders.refuse(request, fault, sink)
        self._running += 1
        try:
            return await self._runner.run(request, sink)
        finally:
            self._running -= 1

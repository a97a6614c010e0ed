"""Graceful shutdown of a router.

It leaves the address lists, later refuses new requests, and waits until requests and
orders in progress have ended and the journal records of orders are written.
"""

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

CHECK_INTERVAL_SECONDS = 0.05


class DrainExit(IntEnum):
    """Exit codes of the process after a graceful shutdown."""

    WHOLE = 0
    """All requests in progress have ended."""

    DEADLINE = 3
    """The drain timeout expired; remaining requests were cut."""

    SECOND_SIGNAL = 4
    """A second signal was received; remaining requests were cut."""


class Phase(Enum):
    """Phase of a shutdown."""

    SERVING = "serving"
    LEAVING = "leaving"
    """Removed from the address lists; callers with older lists are served."""

    REFUSING = "refusing"
    """New requests are refused, running ones continue."""

    ENDED = "ended"


class Runner(Protocol):
    """Serves requests."""

    async def run(self, request: CallerRequest, sink: Sink) -> Result[None, Fault]:
        """Serve a request."""


class DrainTarget(Protocol):
    """Operations of the router that a shutdown uses."""

    def announce_leaving(self) -> None:
        """Announce to the other routers that this one accepts no new work."""

    def reject_waiting(self, fault: Fault) -> None:
        """Reject waiting requests that no endpoint has tried."""

    def alternative_address(self) -> str:
        """Return the address of another router, or an empty string."""


class Drain:
    """The graceful shutdown of one router.

    Parameters
    ----------
    target : DrainTarget
        The router to shut down.
    in_progress : callable
        Returns 0 once no request and no order is in progress and all journal records
        of orders are written; otherwise the count of `DrainGate.in_progress`.
    address_seconds : float
        Time for which callers cache the address list.
    drain_seconds : float
        Maximum duration of the shutdown.
    """

    def __init__(
        self,
        target: DrainTarget,
        in_progress: Callable[[], int],
        address_seconds: float,
        drain_seconds: float,
    ) -> None:
        self._target = target
        self._in_progress = in_progress
        self._address_seconds = address_seconds
        self._drain_seconds = drain_seconds
        self._phase = Phase.SERVING
        self._started = asyncio.Event()
        self._second_signal = asyncio.Event()

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    def start(self) -> None:
        """Start the shutdown; further calls have no effect."""
        if self._started.is_set():
            return
        self._phase = Phase.LEAVING
        self._started.set()
        _log.info("Graceful shutdown has started.")
        self._target.announce_leaving()

    def signal(self) -> None:
        """Start the shutdown, or end it at once if it has started already."""
        if self._started.is_set():
            self._second_signal.set()
        self.start()

    def rejection(self) -> Fault | None:
        """Return the fault for a new request, None if it is accepted."""
        if self._phase in (Phase.SERVING, Phase.LEAVING):
            return None
        return self._fault()

    async def wait(self) -> DrainExit:
        """Wait for the start of the shutdown, carry it out and return the exit code."""
        await self._started.wait()
        second_signal = asyncio.create_task(self._second_signal.wait())
        draining = asyncio.create_task(self._drain())
        done, pending = await asyncio.wait(
            {second_signal, draining},
            timeout=self._drain_seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in pending:
            task.cancel()
        self._phase = Phase.ENDED
        if draining in done:
            _log.info("All requests in progress have ended.")
            return DrainExit.WHOLE
        remaining = self._in_progress()
        _log.warning(
            f"Cutting {remaining} requests, orders and unwritten journal records."
        )
        return DrainExit.SECOND_SIGNAL if second_signal in done else DrainExit.DEADLINE

    async def _drain(self) -> None:
        await asyncio.sleep(self._address_seconds)
        self._phase = Phase.REFUSING
        self._target.reject_waiting(self._fault())
        while self._in_progress():
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _fault(self) -> Fault:
        address = self._target.alternative_address()
        detail = f"Use {address} instead." if address else ""
        return Fault(ErrorKind.LEAVING, Ran.NO, detail)


class DrainGate:
    """Counts requests and orders in progress, and refuses new ones in a shutdown."""

    def __init__(self, runner: Runner, orders: OrderExecutor) -> None:
        self._runner = runner
        self._orders = orders
        self._running = 0
        self.rejection: Callable[[], Fault | None] = lambda: None

    @property
    def in_progress(self) -> int:
        """Number of requests in progress plus number of orders not yet completed.

        An order is completed once it has ended and its journal record is written. It
        counts twice while its request is in progress too.
        """
        return self._running + self._orders.pending

    async def run(self, request: CallerRequest, sink: Sink) -> Result[None, Fault]:
        """Serve a request, or refuse it during a shutdown."""
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

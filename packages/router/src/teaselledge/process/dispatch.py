"""Management of the dispatchers of this VM."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

from teaselledge.metrics import Metrics
from teaselledge.process.dispatcher import Dispatcher
from teaselledge.process.due import is_due
from teaselledge.process.endpointstatus import EndpointKey
from teaselledge.process.member import Member
from teaselledge.process.mesh import Mesh, Origin
from teaselledge.process.placement import Placement, Shard, service_zones
from teaselledge.version.document import Version

__all__ = ["DispatcherManager"]

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 0.5
"""Interval of ticks while there are no requests."""

REFRESH_INTERVAL_SECONDS = 0.2
"""Interval of updates of the placement."""

IDLE_DISPATCHER_TTL_SECONDS = 30.0
"""Time after which an unassigned dispatcher without requests is removed."""

CONVERGENCE_SECONDS = 1.5
"""Time after the start until the membership view is complete enough to use."""

DISPATCHER_COUNTER_BITS = 10
"""Bits of a dispatcher's incarnation that count the dispatchers of a process."""

MESSAGE_HANDLERS: dict[str, Callable[[Dispatcher, Origin, Any], None]] = {
    "registration": Dispatcher.handle_register,
    "withdraw": Dispatcher.handle_withdraw,
    "accept": Dispatcher.handle_accept,
    "decline": Dispatcher.handle_decline,
    "progress": Dispatcher.handle_progress,
    "done": Dispatcher.handle_done,
    "snapshot": Dispatcher.handle_snapshot,
    "report": Dispatcher.handle_report,
    "fetch": Dispatcher.handle_fetch,
    "fetch_answer": Dispatcher.handle_fetch_answer,
}


class DispatcherManager:
    """Runs the dispatchers of the shards that are assigned to this VM.

    Since membership views differ for seconds, the sender of a message decides
    which VM dispatches: a message for a shard starts its dispatcher, too.
    """

    def __init__(
        self,
        mesh: Mesh,
        version: Callable[[], Version | None],
        members: Callable[[], Iterable[Member]],
        metrics: Metrics,
        leaving: Callable[[], Iterable[EndpointKey]] = tuple,
    ) -> None:
        self._mesh = mesh
        self._leaving_endpoints = leaving
        self._version = version
        self._metrics = metrics
        self._placement = Placement(members)
        self._by_shard: dict[Shard, Dispatcher] = {}
        self._dispatcher_counter = 0
        self._converged = False
        self._wakeup = asyncio.Event()
        for name, method in MESSAGE_HANDLERS.items():
            mesh.subscribe(name, self._handler(method))

    @property
    def running(self) -> list[Dispatcher]:
        """The dispatchers of this VM."""
        return list(self._by_shard.values())

    def apply_version(self, version: Version) -> None:
        """Apply a new version of the document."""
        for shard, dispatcher in list(self._by_shard.items()):
            if shard.service not in version.document.services:
                del self._by_shard[shard]
                continue
            dispatcher.apply_document(version.document)
        self._start_assigned()

    async def run(self) -> None:
        """Run the dispatchers until cancelled."""
        loop = asyncio.get_running_loop()
        converged_at = loop.time() + CONVERGENCE_SECONDS
        refresh_at = loop.time() + REFRESH_INTERVAL_SECONDS
        while True:
            await self._wait_for_tick()
            now = loop.time()
            if not self._converged and is_due(now, converged_at):
                self._converged = True
                self._start_assigned()
            if is_due(now, refresh_at):
                refresh_at = now + REFRESH_INTERVAL_SECONDS
                self.refresh_placement()
            self.tick()

    async def _wait_for_tick(self) -> None:
        """Wait for the next tick; without requests ticks are less frequent."""
        if any(d.waiting or d.running for d in self.running):
            await asyncio.sleep(TICK_SECONDS)
            return
        self._wakeup.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(IDLE_TICK_SECONDS):
                await self._wakeup.wait()

    def refresh_placement(self) -> None:
        """Update the members and the endpoints that are leaving."""
        if self._placement.refresh():
            self._start_assigned()
        leaving = list(self._leaving_endpoints())
        for dispatcher in self.running:
            service = dispatcher.shard.service
            dispatcher.set_blocked_endpoints({e for s, e in leaving if s == service})

    def tick(self) -> None:
        """Run the tick of each dispatcher and remove expired dispatchers."""
        now = asyncio.get_running_loop().time()
        for dispatcher in self.running:
            dispatcher.tick(now)
            expired = now - dispatcher.last_active > IDLE_DISPATCHER_TTL_SECONDS
            if expired and not self._is_assigned(dispatcher.shard):
                del self._by_shard[dispatcher.shard]

    def _start_assigned(self) -> None:
        """Start the dispatchers of the shards that are assigned to this VM.

        A shard with idle endpoints may get no message from any ingress. Without
        a dispatcher no requests would be fetched for it.
        """
        version = self._version()
        if version is None:
            return
        services = version.document.services if self._converged else {}
        for service in services:
            for zone in service_zones(version.document, service):
                if self._is_assigned(Shard(service, zone)):
                    self._get_or_create(Shard(service, zone))
        for shard, dispatcher in self._by_shard.items():
            dispatcher.set_assigned(self._is_assigned(shard), self._converged)

    def _is_assigned(self, shard: Shard) -> bool:
        version = self._version()
        if version is None:
            return False
        member = self._placement.dispatcher(version.document, shard)
        return member is not None and member.vm == self._mesh.origin.vm

    def _handler(
        self, method: Callable[[Dispatcher, Origin, Any], None]
    ) -> Callable[[Origin, str, str, Any], None]:
        def handle(origin: Origin, service: str, zone: str, body: Any) -> None:
            dispatcher = self._get_or_create(Shard(service, zone))
            if dispatcher is not None:
                method(dispatcher, origin, body)
                if dispatcher.waiting or dispatcher.running:
                    self._wakeup.set()

        return handle

    def _get_or_create(self, shard: Shard) -> Dispatcher | None:
        found = self._by_shard.get(shard)
        if found is not None:
            return found
        version = self._version()
        if version is None or shard.service not in version.document.services:
            return None
        if shard.zone not in version.document.zones:
            return None
        # Each dispatcher uses two incarnations: its own and that of its region.
        counter = 2 * self._dispatcher_counter
        self._dispatcher_counter = (self._dispatcher_counter + 1) % (
            1 << (DISPATCHER_COUNTER_BITS - 1)
        )
        incarnation = (
            self._mesh.origin.incarnation << DISPATCHER_COUNTER_BITS
        ) + counter
        created = Dispatcher(
            shard,
            self._mesh,
            version.document,
            self._placement,
            self._metrics,
            incarnation,
        )
        self._by_shard[shard] = created
        created.set_assigned(self._is_assigned(shard), self._converged)
        return created

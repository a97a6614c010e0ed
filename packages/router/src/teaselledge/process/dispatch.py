"""The dispatchers that this VM runs, by shard."""

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
IDLE_SECONDS = 0.5
"""Interval of the work that is due while there is no request."""

FOLLOW_SECONDS = 0.2
"""Interval between two looks at the members."""

LINGER_SECONDS = 30.0
"""Time for which a dispatcher without requests stays after its shard moved."""

GRACE_SECONDS = 1.5
"""Age from which a router knows enough members to place shards by itself."""

LIVES_BITS = 10
"""Bits of a dispatcher's incarnation that count those of one process."""

MESSAGES: dict[str, Callable[[Dispatcher, Origin, Any], None]] = {
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
    """Runs the dispatchers of the shards that fall to this VM.

    The senders choose the dispatcher: one is started too when a message for
    its shard arrives, since views of the members differ for seconds.
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
        self._leaving = leaving
        self._version = version
        self._metrics = metrics
        self._placement = Placement(members)
        self._by_shard: dict[Shard, Dispatcher] = {}
        self._lives = 0
        self._settled = False
        self._woken = asyncio.Event()
        for name, method in MESSAGES.items():
            mesh.subscribe(name, self._handler(method))

    @property
    def running(self) -> list[Dispatcher]:
        """The dispatchers of this VM."""
        return list(self._by_shard.values())

    def apply_version(self, version: Version) -> None:
        """Take a new version of the document."""
        for shard, dispatcher in list(self._by_shard.items()):
            if shard.service not in version.document.services:
                del self._by_shard[shard]
                continue
            dispatcher.apply_document(version.document)
        self._place()

    async def run(self) -> None:
        """Do what is due until cancelled."""
        loop = asyncio.get_running_loop()
        settles = loop.time() + GRACE_SECONDS
        follows = loop.time() + FOLLOW_SECONDS
        while True:
            await self._pause()
            now = loop.time()
            if not self._settled and is_due(now, settles):
                self._settled = True
                self._place()
            if is_due(now, follows):
                follows = now + FOLLOW_SECONDS
                self.refresh_placement()
            self.tick()

    async def _pause(self) -> None:
        """Wait for the next tick, which may be late while there is no request."""
        if any(d.waiting or d.running for d in self.running):
            await asyncio.sleep(TICK_SECONDS)
            return
        self._woken.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(IDLE_SECONDS):
                await self._woken.wait()

    def refresh_placement(self) -> None:
        """Look at the members and at the endpoints that leave."""
        if self._placement.refresh():
            self._place()
        leaving = list(self._leaving())
        for dispatcher in self.running:
            service = dispatcher.shard.service
            dispatcher.set_blocked_endpoints({e for s, e in leaving if s == service})

    def tick(self) -> None:
        """Do what is due in each dispatcher."""
        now = asyncio.get_running_loop().time()
        for dispatcher in self.running:
            dispatcher.tick(now)
            idle = now - dispatcher.last_active > LINGER_SECONDS
            if idle and not self._falls_here(dispatcher.shard):
                del self._by_shard[dispatcher.shard]

    def _place(self) -> None:
        """Start the dispatchers that fall to this VM.

        A shard whose endpoints are idle gets no message from any ingress, and
        without a dispatcher nobody would fetch work for it.
        """
        version = self._version()
        if version is None:
            return
        services = version.document.services if self._settled else {}
        for service in services:
            for zone in service_zones(version.document, service):
                if self._falls_here(Shard(service, zone)):
                    self._find(Shard(service, zone))
        for shard, dispatcher in self._by_shard.items():
            dispatcher.set_assigned(self._falls_here(shard), self._settled)

    def _falls_here(self, shard: Shard) -> bool:
        version = self._version()
        if version is None:
            return False
        member = self._placement.dispatcher(version.document, shard)
        return member is not None and member.vm == self._mesh.origin.vm

    def _handler(
        self, method: Callable[[Dispatcher, Origin, Any], None]
    ) -> Callable[[Origin, str, str, Any], None]:
        def handle(origin: Origin, service: str, zone: str, body: Any) -> None:
            dispatcher = self._find(Shard(service, zone))
            if dispatcher is not None:
                method(dispatcher, origin, body)
                if dispatcher.waiting or dispatcher.running:
                    self._woken.set()

        return handle

    def _find(self, shard: Shard) -> Dispatcher | None:
        found = self._by_shard.get(shard)
        if found is not None:
            return found
        version = self._version()
        if version is None or shard.service not in version.document.services:
            return None
        if shard.zone not in version.document.zones:
            return None
        # twice the count, since each dispatcher has two series of counters
        life = 2 * self._lives
        self._lives = (self._lives + 1) % (1 << (LIVES_BITS - 1))
        incarnation = (self._mesh.origin.incarnation << LIVES_BITS) + life
        created = Dispatcher(
            shard,
            self._mesh,
            version.document,
            self._placement,
            self._metrics,
            incarnation,
        )
        self._by_shard[shard] = created
        created.set_assigned(self._falls_here(shard), self._settled)
        return created

"""Simulated routers that poll a store and exchange gossip without sockets."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from expression import Error, Ok, Result
from teaselledge_fleet.connection.codec import (
    Datagram,
    decode_datagram,
    decode_state,
    encode_datagram,
    encode_state,
)
from teaselledge_fleet.engines.settings import EngineSpeedSettings
from teaselledge_fleet.migration.directory import OriginDirectory
from teaselledge_fleet.process.admission import AdmissionController
from teaselledge_fleet.process.admissionrpc import AdmissionRpc
from teaselledge_fleet.process.coordinators import Coordinators
from teaselledge_fleet.process.gossip import Gossip
from teaselledge_fleet.process.locating import PrefixLocator
from teaselledge_fleet.process.members import Member, Members, MemberState
from teaselledge_fleet.process.placing import FleetPlacer
from teaselledge_fleet.process.registration import Registration
from teaselledge_fleet.process.stalls import StallDetector
from teaselledge_fleet.process.storecache import Decode, StoreCache
from teaselledge_fleet.process.storepoller import StorePoller
from teaselledge_fleet.process.warmup import WarmupTracker
from teaselledge_fleet.process.work import FleetLoad
from teaselledge_fleet.quarantine.quarantine import Quarantine
from teaselledge_fleet.quarantine.spreading import EndSpreading
from teaselledge_fleet.queueing.settings import QueueSettings
from teaselledge_wire.gen.fleet.ttypes import WholeState

from teaselledge_standins.statestore import MemoryStateStore, StoreClient

__all__ = ["GossipFleet", "GossipRouter", "running_gossip_fleet"]


@dataclass
class GossipRouter:
    """The parts of a router that exchange state with other routers and the store."""

    vm: str
    members: Members
    store_cache: StoreCache
    poller: StorePoller
    registration: Registration
    gossip: Gossip
    admission_rpc: AdmissionRpc
    placer: FleetPlacer
    load: FleetLoad
    link: "_Link"
    quarantine: Quarantine
    origins: OriginDirectory
    tasks: list["asyncio.Task[None]"] = field(default_factory=list)
    killed: bool = False
    queued_datagrams: list[tuple[bytes, str]] | None = None
    """Datagrams received while the VM is suspended; None while it runs."""

    def run(self) -> None:
        """Start the router's tasks."""
        self.tasks = [
            asyncio.create_task(self.gossip.run()),
            asyncio.create_task(self.admission_rpc.run()),
            asyncio.create_task(self.poller.run()),
            asyncio.create_task(self.registration.run()),
        ]

    def stop_tasks(self) -> None:
        """Cancel the router's tasks."""
        for task in self.tasks:
            task.cancel()

    def kill(self) -> None:
        """Stop the router without announcing it."""
        self.killed = True
        self.stop_tasks()

    def receive(self, data: bytes, sender: str) -> None:
        """Handle a datagram, or queue it while the VM is suspended."""
        if self.queued_datagrams is not None:
            self.queued_datagrams.append((data, sender))
            return
        content = decode_datagram(data).ok
        self.link.handlers[type(content)](content, sender)


class _Refusing:
    """Probe to which all endpoints look as if they had ended."""

    async def has_ended(self, address: str) -> bool:
        return True


class _Link:
    """Transport of one router; sends its datagrams and fetches through the fleet."""

    def __init__(self, fleet: "GossipFleet", vm: str) -> None:
        self._fleet = fleet
        self._vm = vm
        self.sent_bytes = 0
        self.handlers: dict[type, Callable[..., None]] = {}

    def on(self, kind: type, handler: Callable[..., None]) -> None:
        self.handlers[kind] = handler

    def send(self, address: str, content: Datagram) -> None:
        self.send_all([address], content)

    def send_all(self, addresses: Iterable[str], content: Datagram) -> None:
        data = encode_datagram(content)
        for address in addresses:
            self.sent_bytes += len(data)
            self._fleet.transmit(self._vm, address, data)

    async def fetch(self, address: str) -> Result[WholeState, str]:
        await asyncio.sleep(2 * self._fleet.delay)
        router = self._fleet.by_address.get(address)
        if router is None or router.killed or self._fleet.cut(self._vm, router.vm):
            return Error("unreachable")
        data = encode_state(router.gossip.snapshot())
        return Ok(decode_state(data).ok)

    def close(self) -> None:
        pass


@dataclass
class GossipFleet:
    """Routers, their store, and the network between them.

    Attributes
    ----------
    by_address : dict of str to GossipRouter
        Routers by peer address.
    delay : float
        Network delay of a datagram in seconds.
    loss : float
        Fraction of the datagrams that are lost.
    cut : callable
        Whether a sending VM is disconnected from a receiving VM.
    rng : Random
        Random numbers for losses and incarnations.
    warmup_rate_factor, warmup_rate_extra : float or None
        Limit of the requests to an endpoint that warms up.
    engine_speeds : EngineSpeedSettings or None
        When the speeds of single engines take effect; None if they are not estimated.
    queueing : QueueSettings or None
        Queue in front of the engines.
    zones : tuple of str
        All zones.
    """

    store: MemoryStateStore
    routers: list[GossipRouter] = field(default_factory=list)
    by_address: dict[str, GossipRouter] = field(default_factory=dict)
    delay: float = 0.02
    loss: float = 0.0
    cut: Callable[[str, str], bool] = lambda sender, receiver: False
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    warmup_rate_factor: float | None = None
    warmup_rate_extra: float | None = None
    engine_speeds: EngineSpeedSettings | None = None
    queueing: QueueSettings | None = None
    zones: tuple[str, ...] = ()

    def transmit(self, sender: str, address: str, data: bytes) -> None:
        """Deliver a datagram after the delay, unless it is lost or the path is cut."""
        receiver = self.by_address.get(address)
        if receiver is None or self.cut(sender, receiver.vm):
            return
        if self.rng.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay, self._deliver, receiver, data, f"{sender}:1")

    def start(self, vm: str, zone: str, decode: Decode, seeds: list[str]) -> None:
        """Start a router."""
        address = f"{vm}:1"
        own = Member(vm, self.rng.getrandbits(60), zone, zone, f"{vm}:2", address)
        members = Members(own)
        members.set_state(MemberState.READY)
        warmup = WarmupTracker(self.warmup_rate_factor, self.warmup_rate_extra)
        store_cache = StoreCache(vm, decode, warmup)
        placer = FleetPlacer(
            store_cache.view,
            zone,
            {},
            store_cache.drained_zones,
            warmup,
            self.engine_speeds,
        )
        load, admission = placer.load, AdmissionController(self.queueing)
        admission.share_usage = placer.share_usage
        admission.warmup_rate = warmup.rate_by_hash
        load.coordinated_load = admission.total_load
        coordinators = Coordinators(members)
        link = _Link(self, vm)
        clock = asyncio.get_running_loop().time
        quarantine = Quarantine(_Refusing())
        gossip = Gossip(
            members,
            store_cache,
            seeds,
            load,
            admission,
            placer.shares,
            placer.prefill,
            link,
            coordinators,
            EndSpreading(quarantine),
            StallDetector(clock),
            placer.engine_speeds,
        )
        gossip._client = link  # type: ignore[assignment]
        admission_rpc = AdmissionRpc(
            members,
            store_cache.view,
            load,
            admission,
            link,
            coordinators,
            self.queueing,
        )
        if self.queueing is not None:
            placer.set_queue(self.queueing, admission_rpc)
        client = StoreClient(self.store, vm)
        poller = StorePoller(vm, client, store_cache, address not in seeds)
        placer.set_admission_check(admission_rpc.request_admission)
        placer.set_restart_report(admission_rpc.report_restart)
        placer.set_locator(PrefixLocator(members, link, coordinators))
        registration = Registration(client, members, store_cache)
        router = GossipRouter(
            vm,
            members,
            store_cache,
            poller,
            registration,
            gossip,
            admission_rpc,
            placer,
            load,
            link,
            quarantine,
            OriginDirectory(members, self.zones, link, coordinators),
        )
        router.run()
        self.routers = [r for r in self.routers if r.vm != vm] + [router]
        self.by_address[address] = router

    def suspend(self, vm: str) -> None:
        """Suspend a VM; datagrams sent to it are queued."""
        router = self.by_address[f"{vm}:1"]
        router.queued_datagrams = []
        router.stop_tasks()

    def resume(self, vm: str) -> None:
        """Resume a suspended VM; it handles its queued datagrams first."""
        router = self.by_address[f"{vm}:1"]
        queued, router.queued_datagrams = router.queued_datagrams or [], None
        for data, sender in queued:
            router.receive(data, sender)
        router.run()

    def _deliver(self, receiver: GossipRouter, data: bytes, sender: str) -> None:
        if not receiver.killed:
            receiver.receive(data, sender)


@asynccontextmanager
async def running_gossip_fleet(
    store: MemoryStateStore,
    count: int,
    decode: Decode,
    zones: int = 3,
    engine_speeds: EngineSpeedSettings | None = None,
    queueing: QueueSettings | None = None,
) -> AsyncIterator[GossipFleet]:
    """Run ``count`` routers, the first three of them seeds, as a context manager."""
    random.seed(count)
    names = tuple(f"z{number}" for number in range(zones))
    fleet = GossipFleet(
        store, engine_speeds=engine_speeds, queueing=queueing, zones=names
    )
    seeds = [f"r{number:03}:1" for number in range(min(3, count))]
    for number in range(count):
        fleet.start(f"r{number:03}", f"z{number % zones}", decode, seeds)
    try:
        yield fleet
    finally:
        for router in fleet.routers:
            router.kill()

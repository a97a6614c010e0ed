"""Routers that follow a store and tell one another, without sockets."""

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
from teaselledge_fleet.process.work import FleetLoad
from teaselledge_wire.gen.fleet.ttypes import WholeState

from teaselledge_standins.statestore import MemoryStateStore, StoreClient

__all__ = ["GossipFleet", "GossipRouter", "running_gossip_fleet"]


@dataclass
class GossipRouter:
    """One router's part that spreads state."""

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
    tasks: list["asyncio.Task[None]"] = field(default_factory=list)
    killed: bool = False
    queued_datagrams: list[tuple[bytes, str]] | None = None
    """What came while its VM is suspended; None while it runs."""

    def run(self) -> None:
        """Let it run."""
        self.tasks = [
            asyncio.create_task(self.gossip.run()),
            asyncio.create_task(self.admission_rpc.run()),
            asyncio.create_task(self.poller.run()),
            asyncio.create_task(self.registration.run()),
        ]

    def stop_tasks(self) -> None:
        """Let it do nothing more."""
        for task in self.tasks:
            task.cancel()

    def kill(self) -> None:
        """End it without a word."""
        self.killed = True
        self.stop_tasks()

    def receive(self, data: bytes, sender: str) -> None:
        """Take a datagram."""
        if self.queued_datagrams is not None:
            self.queued_datagrams.append((data, sender))
            return
        content = decode_datagram(data).ok
        self.link.handlers[type(content)](content, sender)


class _Link:
    """Carries a router's datagrams and fetches through the fleet."""

    def __init__(self, fleet: "GossipFleet", vm: str) -> None:
        self._fleet = fleet
        self._vm = vm
        self.sent_bytes = 0
        self.handlers: dict[type, Callable[..., None]] = {}

    def on(self, kind: type, take: Callable[..., None]) -> None:
        self.handlers[kind] = take

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
    cut : callable
        Whether nothing passes from one VM to another.
    loss : float
        Part of the datagrams that are lost.
    """

    store: MemoryStateStore
    routers: list[GossipRouter] = field(default_factory=list)
    by_address: dict[str, GossipRouter] = field(default_factory=dict)
    delay: float = 0.02
    loss: float = 0.0
    cut: Callable[[str, str], bool] = lambda sender, receiver: False
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def transmit(self, sender: str, address: str, data: bytes) -> None:
        """Deliver a datagram after the delay."""
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
        belief = StoreCache(vm, decode)
        placer = FleetPlacer(belief.view, zone, {})
        work, admission = placer.load, AdmissionController()
        work.coordinated_load = admission.total_load
        coordinators = Coordinators(members)
        link = _Link(self, vm)
        clock = asyncio.get_running_loop().time
        spreading = Gossip(
            members,
            belief,
            seeds,
            work,
            admission,
            placer.shares,
            link,
            coordinators,
            StallDetector(clock),
        )
        spreading._client = link  # type: ignore[assignment]
        asking = AdmissionRpc(members, belief.view, work, admission, link, coordinators)
        client = StoreClient(self.store, vm)
        follower = StorePoller(vm, client, belief, address not in seeds)
        placer.set_admission_check(asking.request_admission)
        placer.set_locator(PrefixLocator(members, link, coordinators))
        registration = Registration(client, members, belief)
        router = GossipRouter(
            vm,
            members,
            belief,
            follower,
            registration,
            spreading,
            asking,
            placer,
            work,
            link,
        )
        router.run()
        self.routers = [r for r in self.routers if r.vm != vm] + [router]
        self.by_address[address] = router

    def suspend(self, vm: str) -> None:
        """Suspend a VM; what is sent to it waits."""
        router = self.by_address[f"{vm}:1"]
        router.queued_datagrams = []
        router.stop_tasks()

    def resume(self, vm: str) -> None:
        """Let a suspended VM go on, with what waits for it first."""
        router = self.by_address[f"{vm}:1"]
        waiting, router.queued_datagrams = router.queued_datagrams or [], None
        for data, sender in waiting:
            router.receive(data, sender)
        router.run()

    def _deliver(self, receiver: GossipRouter, data: bytes, sender: str) -> None:
        if not receiver.killed:
            receiver.receive(data, sender)


@asynccontextmanager
async def running_gossip_fleet(
    store: MemoryStateStore, count: int, decode: Decode, zones: int = 3
) -> AsyncIterator[GossipFleet]:
    """Run so many routers, of which three are seeds."""
    random.seed(count)
    fleet = GossipFleet(store)
    seeds = [f"r{number:03}:1" for number in range(min(3, count))]
    for number in range(count):
        fleet.start(f"r{number:03}", f"z{number % zones}", decode, seeds)
    try:
        yield fleet
    finally:
        for router in fleet.routers:
            router.kill()

"""A simulated network with delays, partitions, a limited region link and counters."""

import asyncio
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from teaselledge.process.mesh import Handler, HandlerRegistry, Origin
from teaselledge_wire.codec import decode, encode
from teaselledge_wire.frame import pack
from teaselledge_wire.gen.router.ttypes import Message

__all__ = ["NetworkPlan", "VirtualMesh", "VirtualNetwork"]

BITS_PER_BYTE = 8
TIME_DECIMALS = 6


@dataclass(frozen=True)
class NetworkPlan:
    """Delays and capacity of the network.

    Attributes
    ----------
    regions : mapping of str to str
        Region of each availability zone.
    zone_delay, near_delay, region_delay : float
        One-way seconds within a zone, between zones and between regions.
    link_bits : float
        Capacity of the link between two regions, in bit/s each way.
    """

    regions: Mapping[str, str]
    zone_delay: float = 0.0002
    near_delay: float = 0.0015
    region_delay: float = 0.020
    link_bits: float = 15e6


@dataclass
class VirtualNetwork:
    """Network between VMs and endpoints, for frames and calls.

    Attributes
    ----------
    cuts : set of tuple of str
        Pairs of sender and receiver that are disconnected in this direction; each
        is a VM or an endpoint.
    loss : float
        Fraction of the frames between VMs that is lost.
    sent_bytes : dict of str to int
        Bytes of frames that each VM sent.
    link_bytes : dict of tuple to int
        Bytes of frames between two regions, by direction.
    """

    plan: NetworkPlan
    random: Random
    cuts: set[tuple[str, str]] = field(default_factory=set)
    loss: float = 0.0
    zones: dict[str, str] = field(default_factory=dict)
    meshes: dict[str, "VirtualMesh"] = field(default_factory=dict)
    sent_bytes: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    sent_frames: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    body_bytes: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    link_bytes: dict[tuple[str, str], int] = field(
        default_factory=lambda: defaultdict(int)
    )
    _link_free: dict[tuple[str, str], float] = field(default_factory=dict)
    _resumed: dict[str, asyncio.Event] = field(default_factory=dict)

    def region_of(self, name: str) -> str:
        """Return the region of a VM or endpoint."""
        return self.plan.regions[self.zones[name]]

    def delay(self, sender: str, receiver: str, size: int = 0) -> float:
        """Return the one-way delay of a message, and reserve link time for it."""
        here, there = self.zones[sender], self.zones[receiver]
        if here == there:
            return self.plan.zone_delay
        link = (self.plan.regions[here], self.plan.regions[there])
        if link[0] == link[1]:
            return self.plan.near_delay
        now = asyncio.get_running_loop().time()
        start = max(now, self._link_free.get(link, 0.0))
        end = start + size * BITS_PER_BYTE / self.plan.link_bits
        self._link_free[link] = end
        return end - now + self.plan.region_delay

    def is_connected(self, sender: str, receiver: str) -> bool:
        """Return whether messages from the sender reach the receiver."""
        return (sender, receiver) not in self.cuts

    def cut(self, side: set[str], other: set[str], both_ways: bool = True) -> None:
        """Disconnect ``side`` from ``other``, by default in both directions."""
        for sender in side:
            for receiver in other:
                self.cuts.add((sender, receiver))
                if both_ways:
                    self.cuts.add((receiver, sender))

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()

    def pause(self, vm: str) -> None:
        """Pause a VM: its calls and frames wait until it is resumed.

        Calls to fakes wait on entry and on return, so that a check made before a
        call can be outdated when the task continues.
        """
        self._resumed[vm] = asyncio.Event()

    def resume(self, vm: str) -> None:
        """Resume a paused VM."""
        event = self._resumed.pop(vm, None)
        if event is not None:
            event.set()

    async def wait_until_resumed(self, vm: str) -> None:
        """Wait while a VM is paused."""
        event = self._resumed.get(vm)
        if event is not None:
            await event.wait()

    def transmit(self, mesh: "VirtualMesh", receiver: str, data: bytes) -> None:
        """Send a frame, unless it is lost or the receiver is disconnected."""
        sender = mesh.origin.vm
        self.sent_bytes[sender] += len(data)
        self.sent_frames[sender] += 1
        if receiver not in self.zones or not self.is_connected(sender, receiver):
            return
        here, there = self.region_of(sender), self.region_of(receiver)
        if here != there:
            self.link_bytes[(here, there)] += len(data)
        if self.loss and self.random.random() < self.loss:
            return
        delay = self.delay(sender, receiver, len(data))
        loop = asyncio.get_running_loop()
        # Rounded so that frames that arrive at the same time in one run do so in
        # every run, independent of the clock's floating-point error.
        when = round(loop.time() + delay, TIME_DECIMALS)
        loop.call_at(when, self._arrive, mesh.origin, receiver, data)

    def _arrive(self, origin: Origin, receiver: str, data: bytes) -> None:
        if not self.is_connected(origin.vm, receiver):
            return
        event = self._resumed.get(receiver)
        if event is not None:
            task = asyncio.ensure_future(event.wait())
            task.add_done_callback(lambda _: self._arrive(origin, receiver, data))
            return
        mesh = self.meshes.get(receiver)
        if mesh is not None:
            mesh.receive(origin, data)


class VirtualMesh:
    """The mesh of one VM on a virtual network, with the encoding of real frames."""

    def __init__(self, network: VirtualNetwork, origin: Origin, zone: str) -> None:
        self._network = network
        self._origin = origin
        self._registry = HandlerRegistry()
        self._batches: dict[str, list[Message]] = {}
        network.zones[origin.vm] = zone
        network.meshes[origin.vm] = self

    @property
    def origin(self) -> Origin:
        """This router as a sender."""
        return self._origin

    def subscribe(self, body: str, handler: Handler) -> None:
        """Call a handler for each message with that body."""
        self._registry.subscribe(body, handler)

    def send(self, vm: str, sent: Message) -> None:
        """Send a message; those of one loop iteration share a frame."""
        loop = asyncio.get_running_loop()
        if vm == self._origin.vm:
            loop.call_soon(self._registry.deliver, self._origin, sent)
            return
        batch = self._batches.get(vm)
        if batch is None:
            batch = self._batches[vm] = []
            loop.call_soon(self._flush, vm)
        batch.append(sent)

    def receive(self, origin: Origin, data: bytes) -> None:
        """Decode a frame's content and deliver its messages."""
        for received in decode(data).messages:
            self._registry.deliver(origin, received)

    def close(self) -> None:
        """Leave the network, as when the process is killed."""
        if self._network.meshes.get(self._origin.vm) is self:
            del self._network.meshes[self._origin.vm]

    def _flush(self, vm: str) -> None:
        messages = self._batches.pop(vm)
        if self._network.meshes.get(self._origin.vm) is not self:
            return
        content = encode(messages, self._origin.incarnation)
        header = len(pack(content)) - len(content)
        self._network.sent_bytes[self._origin.vm] += header
        self._network.transmit(self, vm, content)

"""Routers, endpoints and platform in one event loop with a virtual clock."""

import asyncio
import json
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

from expression import Error, Result
from teaselledge.errors import Fault
from teaselledge.metrics import NullMetrics
from teaselledge.platform import (
    Row,
    StoreError,
    StoreErrorKind,
    TableService,
    VmEntry,
    Write,
)
from teaselledge.process.member import RANDOM_BITS, Member, new_incarnation
from teaselledge.process.mesh import Origin
from teaselledge.process.node import Node, PlatformClients
from teaselledge.process.settings import Platform, Settings
from teaselledge.request.context import CallerRequest
from teaselledge.version.store import unchecked_writes
from tornado.httputil import HTTPHeaders

from teaselledge_standins.objects import MemoryObjects
from teaselledge_standins.tables import MemoryTables
from teaselledge_standins.virtual.endpoint import (
    CHUNKS,
    VirtualClient,
    VirtualEndpoint,
    response_text,
)
from teaselledge_standins.virtual.network import (
    NetworkPlan,
    VirtualMesh,
    VirtualNetwork,
)
from teaselledge_standins.vms import MemoryVms

__all__ = [
    "MemorySink",
    "CallResult",
    "VirtualFleet",
    "VirtualPlan",
    "VirtualService",
    "running_virtual_fleet",
]

STORE_CALL_SECONDS = 3.0
"""Time after which a call to the table service counts as unanswered."""


@dataclass(frozen=True)
class VirtualService:
    """A service of the virtual fleet.

    Attributes
    ----------
    cost : str
        Unit, ``tokens`` or ``seconds``.
    zones : sequence of str
        Zone of each endpoint.
    slots : int
        Slots of each endpoint.
    unit_seconds, slowdown : float
        Speed, see `VirtualEndpoint`.
    kinds : mapping of str to mapping
        Entries of the document; a request for kind ``k`` has path ``k``.
    options : mapping
        Further fields of the service in the document.
    """

    cost: str
    zones: Sequence[str]
    slots: int = 8
    unit_seconds: float = 1.0
    slowdown: float = 0.0
    kinds: Mapping[str, Mapping[str, Any]] = field(
        default_factory=lambda: {"work": {"methods": ["POST"], "paths": ["work"]}}
    )
    options: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class VirtualPlan:
    """What a virtual fleet consists of.

    Attributes
    ----------
    network : NetworkPlan
        Delays and regions.
    routers : mapping of str to str
        Zone of each router.
    shares : mapping of str to float
        Share of each organisation.
    services : mapping of str to VirtualService
        By name.
    list_lag : float
        Seconds by which the VM list lags.
    extra : mapping
        Further sections of the document.
    """

    network: NetworkPlan
    routers: Mapping[str, str]
    shares: Mapping[str, float]
    services: Mapping[str, VirtualService]
    list_lag: float = 2.0
    extra: Mapping[str, Any] = field(default_factory=dict)


class MemorySink:
    """Keeps an answer as a caller would see it."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.complete = False
        self.aborted = False

    @property
    def started(self) -> bool:
        """Whether anything has reached the caller."""
        return self.status != 0

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take the head."""
        self.status = status

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.body += chunk

    async def finish(self) -> None:
        """Note that the answer is whole."""
        self.complete = True

    def abort(self) -> None:
        """Note that the answer is visibly broken."""
        self.aborted = True


@dataclass(frozen=True)
class CallResult:
    """What a caller of the virtual fleet got.

    Attributes
    ----------
    fault : Fault or None
        The refusal, if any.
    sink : MemorySink
        What reached the caller.
    is_correct : bool
        Whether the answer is the whole answer to this request.
    seconds : float
        Time from call to end.
    """

    fault: Fault | None
    sink: MemorySink
    is_correct: bool
    seconds: float


class PausableTables(TableService):
    """The table service as one VM reaches it, with delay and pauses."""

    def __init__(
        self, vm: str, network: VirtualNetwork, tables: MemoryTables, zone: str
    ) -> None:
        self._vm = vm
        self._network = network
        self._tables = tables
        network.zones.setdefault("tables", zone)

    async def get(self, table: str, key: str) -> Result[Row | None, StoreError]:
        """Read a row."""
        if not await self._cross(True):
            return _silence()
        result = await self._tables.get(table, key)
        return result if await self._cross(False) else _silence()

    async def scan(
        self, table: str, prefix: str, limit: int, after: str = ""
    ) -> Result[list[Row], StoreError]:
        """Read rows in key order."""
        if not await self._cross(True):
            return _silence()
        result = await self._tables.scan(table, prefix, limit, after)
        return result if await self._cross(False) else _silence()

    async def commit(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        """Write all rows or none."""
        if not await self._cross(True):
            return _silence()
        result = await self._tables.commit(writes)
        return result if await self._cross(False) else _silence()

    async def _cross(self, there: bool) -> bool:
        """Wait for one way; return whether the network let it pass."""
        network = self._network
        way = (self._vm, "tables") if there else ("tables", self._vm)
        await network.wait_until_resumed(self._vm)
        if not network.is_connected(*way):
            await asyncio.sleep(STORE_CALL_SECONDS)
            await network.wait_until_resumed(self._vm)
            return False
        await asyncio.sleep(network.delay(self._vm, "tables"))
        await network.wait_until_resumed(self._vm)
        return True


def _silence() -> Result[Any, StoreError]:
    return Error(StoreError(StoreErrorKind.UNCERTAIN, "no answer"))


@dataclass
class VirtualFleet:
    """A running virtual fleet.

    Attributes
    ----------
    nodes : dict of str to Node
        Live routers by VM.
    endpoints : dict of str to VirtualEndpoint
        By name, ``{service}-{index}``.
    """

    plan: VirtualPlan
    random: Random
    network: VirtualNetwork
    tables: MemoryTables
    objects: MemoryObjects
    vms: MemoryVms
    nodes: dict[str, Node] = field(default_factory=dict)
    endpoints: dict[str, VirtualEndpoint] = field(default_factory=dict)
    clients: dict[str, VirtualClient] = field(default_factory=dict)
    _calls: dict[str, set[asyncio.Task[Any]]] = field(default_factory=dict)
    _request: int = 0
    clock_skew: float = 0.0
    """Seconds by which a router's wall clock may be wrong."""
    _starts: int = 0

    def document(self) -> dict[str, Any]:
        """Return the configuration document."""
        plan = self.plan
        services: dict[str, Any] = {}
        for name, service in plan.services.items():
            services[name] = {
                "cost": service.cost,
                "kinds": {kind: dict(entry) for kind, entry in service.kinds.items()},
                "endpoints": {
                    f"{name}-{i}": {
                        "address": f"{name}-{i}:1",
                        "zone": zone,
                        "slots": service.slots,
                    }
                    for i, zone in enumerate(service.zones)
                },
                **service.options,
            }
        return {
            "zones": {z: {"region": r} for z, r in plan.network.regions.items()},
            "organisations": {
                name: {"share": share, "keys": [], "services": list(services)}
                for name, share in plan.shares.items()
            },
            "services": services,
            **plan.extra,
        }

    def publish(self, number: int, document: dict[str, Any] | None = None) -> None:
        """Put a document into the table service, past all checks."""
        self.tables.apply(unchecked_writes(document or self.document(), number))

    async def start(self, vm: str) -> Node:
        """Start a router, with nothing kept from an earlier life."""
        zone = self.plan.routers[vm]
        region = self.plan.network.regions[zone]
        # starts are numbered instead of dated, so that runs are the same
        self._starts += 1
        random_bits = self.random.getrandbits(RANDOM_BITS)
        origin = Origin(vm, new_incarnation(self._starts, random_bits))
        mesh = VirtualMesh(self.network, origin, zone)
        settings = Settings(vm, zone, region, Platform("tables", "objects", "vms"))
        first_zone = next(iter(self.plan.network.regions))
        tables = PausableTables(vm, self.network, self.tables, first_zone)
        client = VirtualClient(vm, self.network, self.endpoints)
        own = Member(
            vm, zone, region, f"{vm}:1", f"{vm}:2", incarnation=origin.incarnation
        )
        platform = PlatformClients(tables, self.objects, self.vms)
        loop = asyncio.get_running_loop()
        offset = 0.0
        if self.clock_skew:
            offset = self.random.uniform(-self.clock_skew, self.clock_skew)

        def clock() -> float:
            return loop.time() + offset

        node = Node(settings, own, mesh, platform, client, NullMetrics(), clock)
        self.nodes[vm] = node
        self.clients[vm] = client
        self.vms.add(VmEntry(vm, zone, region, f"{vm}:1", f"{vm}:2"))
        await node.start()
        return node

    async def kill(self, vm: str) -> None:
        """Kill a router: its connections break and its state is gone."""
        node = self.nodes.pop(vm)
        mesh = self.network.meshes.get(vm)
        if mesh is not None:
            mesh.close()
        for task in self._calls.pop(vm, set()):
            task.cancel()
        self.clients.pop(vm).close()
        await node.stop()

    async def call(
        self,
        vm: str,
        organisation: str,
        service: str,
        kind: str,
        name: str,
        cost: float,
        key: str | None = None,
        padding: int = 0,
    ) -> CallResult:
        """Send a request to a router, as a caller would.

        Raises
        ------
        ConnectionError
            If the router is not there or is killed meanwhile.
        """
        node = self.nodes.get(vm)
        if node is None or node.version is None:
            raise ConnectionError(vm)
        request = self._make(
            node, organisation, service, kind, name, cost, key, padding
        )
        loop = asyncio.get_running_loop()
        started = loop.time()
        sink = MemorySink()
        task = asyncio.ensure_future(node.request_runner.run(request, sink))
        calls = self._calls.setdefault(vm, set())
        calls.add(task)
        try:
            result = await task
        except asyncio.CancelledError:
            if self.nodes.get(vm) is not node:
                raise ConnectionError(vm) from None
            raise
        finally:
            calls.discard(task)
        tokens = cost if self.plan.services[service].cost == "tokens" else 0
        expected = b"".join(response_text(name, part, tokens) for part in range(CHUNKS))
        fault = result.error if result.is_error() else None
        right = sink.complete and sink.body == expected
        return CallResult(fault, sink, right, loop.time() - started)

    async def stop(self) -> None:
        """Stop everything."""
        for vm in list(self.nodes):
            await self.kill(vm)

    def _make(
        self,
        node: Node,
        organisation: str,
        service: str,
        kind: str,
        name: str,
        cost: float,
        key: str | None,
        padding: int,
    ) -> CallerRequest:
        version = node.version
        assert version is not None
        self._request += 1
        body = {
            "name": name,
            "organisation": organisation,
            "cost": cost,
            "padding": "x" * padding,
        }
        identifier = f"{node.settings.vm}-{self._request}"
        entry = version.document.services[service].kinds[kind]
        return CallerRequest(
            identifier,
            organisation,
            service,
            kind,
            entry.methods[0],
            f"/{kind}",
            HTTPHeaders({"X-Request-Id": identifier}),
            json.dumps(body).encode(),
            key,
            version,
            asyncio.get_running_loop().time() + entry.deadline,
        )


@asynccontextmanager
async def running_virtual_fleet(
    plan: VirtualPlan, seed: int = 0, settle: float = 3.0
) -> AsyncIterator[VirtualFleet]:
    """Run a virtual fleet for the time of a block.

    Parameters
    ----------
    plan : VirtualPlan
        What it consists of.
    seed : int
        Names the run.
    settle : float
        Virtual seconds to wait until the routers know each other.
    """
    random = Random(seed)
    network = VirtualNetwork(plan.network, random)
    tables, objects = MemoryTables(), MemoryObjects()
    fleet = VirtualFleet(
        plan, random, network, tables, objects, MemoryVms(plan.list_lag)
    )
    for name, service in plan.services.items():
        for index, zone in enumerate(service.zones):
            endpoint = f"{name}-{index}"
            fleet.endpoints[endpoint] = VirtualEndpoint(
                endpoint,
                network,
                zone,
                service.unit_seconds,
                service.slowdown,
                service.cost == "tokens",
            )
    fleet.publish(1)
    try:
        for vm in plan.routers:
            await fleet.start(vm)
        await asyncio.sleep(settle + plan.list_lag)
        yield fleet
    finally:
        await fleet.stop()

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
"""Timeout of a call to the table service."""


@dataclass(frozen=True)
class VirtualService:
    """A service of the virtual fleet.

    Attributes
    ----------
    cost : str
        Unit of cost, ``tokens`` or ``seconds``.
    zones : sequence of str
        Zone of each endpoint.
    slots : int
        Slots of each endpoint.
    unit_seconds, slowdown : float
        Speed, see `VirtualEndpoint`.
    kinds : mapping of str to mapping
        Kinds of the service as in the document; a request of kind ``k`` has path ``k``.
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
    """Configuration of a virtual fleet.

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
        Delay of the VM list in seconds.
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
    """Collects the response that a caller would receive."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.complete = False
        self.aborted = False

    @property
    def started(self) -> bool:
        """Whether the caller has received the status."""
        return self.status != 0

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Record the status."""
        self.status = status

    async def write(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        self.body += chunk

    async def finish(self) -> None:
        """Record that the response is complete."""
        self.complete = True

    def abort(self) -> None:
        """Record that the response was aborted, which the caller can detect."""
        self.aborted = True


@dataclass(frozen=True)
class CallResult:
    """Result of a call to the virtual fleet.

    Attributes
    ----------
    fault : Fault or None
        Error that the router returned, if any.
    sink : MemorySink
        Response as the caller received it.
    is_correct : bool
        Whether the response is complete and belongs to this request.
    seconds : float
        Time from the call to its end.
    """

    fault: Fault | None
    sink: MemorySink
    is_correct: bool
    seconds: float


class PausableTables(TableService):
    """The table service as seen from one VM, with network delay, cuts and pauses."""

    def __init__(
        self, vm: str, network: VirtualNetwork, tables: MemoryTables, zone: str
    ) -> None:
        self._vm = vm
        self._network = network
        self._tables = tables
        network.zones.setdefault("tables", zone)

    async def get(self, table: str, key: str) -> Result[Row | None, StoreError]:
        """Read a row."""
        if not await self._travel(True):
            return _no_response()
        result = await self._tables.get(table, key)
        return result if await self._travel(False) else _no_response()

    async def scan(
        self, table: str, prefix: str, limit: int, after: str = ""
    ) -> Result[list[Row], StoreError]:
        """Read rows in key order."""
        if not await self._travel(True):
            return _no_response()
        result = await self._tables.scan(table, prefix, limit, after)
        return result if await self._travel(False) else _no_response()

    async def commit(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        """Write all rows or none."""
        if not await self._travel(True):
            return _no_response()
        result = await self._tables.commit(writes)
        return result if await self._travel(False) else _no_response()

    async def _travel(self, is_request: bool) -> bool:
        """Wait for the network delay; return False if the message was lost."""
        network = self._network
        path = (self._vm, "tables") if is_request else ("tables", self._vm)
        await network.wait_until_resumed(self._vm)
        if not network.is_connected(*path):
            await asyncio.sleep(STORE_CALL_SECONDS)
            await network.wait_until_resumed(self._vm)
            return False
        await asyncio.sleep(network.delay(self._vm, "tables"))
        await network.wait_until_resumed(self._vm)
        return True


def _no_response() -> Result[Any, StoreError]:
    return Error(StoreError(StoreErrorKind.UNCERTAIN, "no answer"))


@dataclass
class VirtualFleet:
    """A running virtual fleet.

    Attributes
    ----------
    nodes : dict of str to Node
        Running routers by VM.
    endpoints : dict of str to VirtualEndpoint
        Endpoints by name, which is ``{service}-{index}``.
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
    _request_count: int = 0
    clock_skew: float = 0.0
    """Maximum error of a router's wall clock in seconds, in both directions."""
    _start_count: int = 0

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
        """Write a document to the table service without validating it."""
        self.tables.apply(unchecked_writes(document or self.document(), number))

    async def start(self, vm: str) -> Node:
        """Start a router without state of an earlier incarnation."""
        zone = self.plan.routers[vm]
        region = self.plan.network.regions[zone]
        # Incarnations use the number of the start instead of the date, so that runs
        # are reproducible.
        self._start_count += 1
        random_bits = self.random.getrandbits(RANDOM_BITS)
        origin = Origin(vm, new_incarnation(self._start_count, random_bits))
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
        """Kill a router: its connections break and its state is lost."""
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
            If the router is not running or is killed during the call.
        """
        node = self.nodes.get(vm)
        if node is None or node.version is None:
            raise ConnectionError(vm)
        request = self._make_request(
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
        expected = b"".join(response_text(name, i, tokens) for i in range(CHUNKS))
        fault = result.error if result.is_error() else None
        is_correct = sink.complete and sink.body == expected
        return CallResult(fault, sink, is_correct, loop.time() - started)

    async def stop(self) -> None:
        """Stop everything."""
        for vm in list(self.nodes):
            await self.kill(vm)

    def _make_request(
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
        self._request_count += 1
        body = {
            "name": name,
            "organisation": organisation,
            "cost": cost,
            "padding": "x" * padding,
        }
        identifier = f"{node.settings.vm}-{self._request_count}"
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
    """Run a virtual fleet as a context manager.

    Parameters
    ----------
    plan : VirtualPlan
        Configuration of the fleet.
    seed : int
        Seed of the random numbers.
    settle : float
        Virtual seconds to wait for the routers to discover each other.
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

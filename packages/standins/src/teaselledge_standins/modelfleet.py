"""Several routers' placers that exchange load and usage, without a network."""

import asyncio
from collections.abc import Mapping, Sequence

from teaselledge_fleet.engines.rows import RowRotation
from teaselledge_fleet.engines.samples import MAX_SOURCE_WEIGHT_SECONDS
from teaselledge_fleet.process.admission import (
    AdmissionController,
    AdmissionDecision,
    AdmissionQuery,
)
from teaselledge_fleet.process.coordinators import (
    OTHER_REGION_REPLY_TIMEOUT_SECONDS,
    SAME_REGION_REPLY_TIMEOUT_SECONDS,
)
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.placing import FleetPlacer
from teaselledge_fleet.process.roundtrips import RoundTrips
from teaselledge_fleet.process.work import EndpointLoad, name_hash
from teaselledge_fleet.queueing.pending import PendingPlaces
from teaselledge_fleet.queueing.settings import QueueSettings
from teaselledge_fleet.queueing.tickets import (
    PlaceResult,
    PlaceState,
    QueueTicket,
    WaitingEntry,
)

from teaselledge_standins.modellink import ModelLink

__all__ = ["ModelFleet"]

QUERY_SECONDS = 0.003
"""Round-trip time of a query within a region."""

QUERY_BYTES = 150
"""Size of a query or a reply with its headers."""

REPORT_INTERVAL_SECONDS = 0.1
"""Interval at which routers report their load to the coordinators."""

HEARTBEAT_SECONDS = 0.399
"""Interval at which usage and the fleet's load are exchanged."""


class ModelFleet:
    """Connects placers as gossip and admission queries connect routers.

    One controller stands for the coordinators of all endpoints: each endpoint has one,
    and they decide independently of one another.

    Parameters
    ----------
    placers : sequence of FleetPlacer
        The routers.
    regions : sequence of str
        Region of each router.
    endpoints : sequence of Endpoint
        Endpoints to which they send.
    zones : mapping of str to str
        Region of each zone.
    links : mapping of str to ModelLink
        Link on which traffic leaves a region; none if regions are near.
    queueing : QueueSettings, optional
        Settings of the queues in front of the engines; without them no request waits.
    """

    def __init__(
        self,
        placers: Sequence[FleetPlacer],
        regions: Sequence[str],
        endpoints: Sequence[Endpoint],
        zones: Mapping[str, str],
        links: Mapping[str, ModelLink],
        queueing: QueueSettings | None = None,
    ) -> None:
        self._placers = placers
        self._regions = regions
        self._endpoints = endpoints
        self._endpoint_by_hash = {name_hash(each.id): each for each in endpoints}
        self._zones = zones
        self._links = links
        self._round_trips = [RoundTrips() for _ in placers]
        self._admission = AdmissionController(queueing)
        self._admission.share_usage = placers[0].share_usage
        self._admission.on_place_decided = self._on_place_decided
        self._queueing = queueing
        self._deliveries: set[asyncio.Task[None]] = set()
        self._sequence = 0
        self._rotations = [RowRotation() for _ in placers]
        self._queriers: list[_Querier] = []
        for router, placer in enumerate(placers):
            querier = _Querier(self, router)
            placer.set_admission_check(querier, self._round_trips[router])
            self._queriers.append(querier)
            if queueing is not None:
                placer.set_queue(queueing, querier)

    async def run(self) -> None:
        """Exchange load and usage until cancelled."""
        interval = REPORT_INTERVAL_SECONDS
        if self._queueing is not None:
            interval = self._queueing.report_interval
        loop = asyncio.get_running_loop()
        last_heartbeats = loop.time()
        while True:
            await asyncio.sleep(interval)
            self._report_loads()
            if loop.time() - last_heartbeats >= HEARTBEAT_SECONDS:
                last_heartbeats = loop.time()
                self._send_heartbeats()

    def crosses(self, router: int, endpoint: Endpoint) -> bool:
        """Whether an endpoint is in another region than a router."""
        is_remote = self._zones[endpoint.zone] != self._regions[router]
        return is_remote and bool(self._links)

    async def send_body(self, router: int, endpoint: Endpoint, size: int) -> None:
        """Wait until the body of a request has arrived at an endpoint."""
        if self.crosses(router, endpoint):
            await self._links[self._regions[router]].transfer(size)

    async def send_event(self, router: int, endpoint: Endpoint, size: int) -> None:
        """Wait until an event of a response has arrived at a router."""
        if self.crosses(router, endpoint):
            await self._links[self._zones[endpoint.zone]].transfer(size)

    async def query(
        self, router: int, endpoint: Endpoint, request: EndpointLoad, max_wait: float
    ) -> AdmissionDecision | None:
        """Ask the coordinator of an endpoint whether a request may be sent.

        The router's own load already contains the request.
        """
        load = self._placers[router].load.local(endpoint.id).subtract(request)
        self._sequence += 1
        query = AdmissionQuery(
            router,
            self._sequence,
            name_hash(endpoint.id),
            endpoint.slots,
            load,
            request.prefill_seconds,
            max_wait,
        )
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        exchange = asyncio.create_task(self._exchange(router, endpoint, query))
        timeout = (
            OTHER_REGION_REPLY_TIMEOUT_SECONDS
            if self.crosses(router, endpoint)
            else SAME_REGION_REPLY_TIMEOUT_SECONDS
        )
        replied, _ = await asyncio.wait([exchange], timeout=timeout)
        region = self._zones[endpoint.zone]
        if replied:
            self._round_trips[router].observe(region, loop.time() - sent_at)
            return exchange.result()
        self._round_trips[router].record_loss(region)
        return None

    async def _exchange(
        self, router: int, endpoint: Endpoint, query: AdmissionQuery
    ) -> AdmissionDecision:
        await self.send_body(router, endpoint, QUERY_BYTES)
        await asyncio.sleep(QUERY_SECONDS)
        decision = self._admission.decide(query)
        await self.send_event(router, endpoint, QUERY_BYTES)
        return decision

    async def request_place(
        self, router: int, endpoint: Endpoint, query: AdmissionQuery
    ) -> AdmissionDecision:
        """Ask the coordinator of an endpoint for a place."""
        return await self._exchange(router, endpoint, query)

    def next_sequence(self) -> int:
        """Return the sequence of the next message."""
        self._sequence += 1
        return self._sequence

    def withdraw(self, router: int, sequence: int) -> None:
        """Withdraw a request for a place."""
        self._admission.record_load(
            router, self.next_sequence(), {}, withdrawn=[sequence]
        )

    def load_of(self, router: int, endpoint: Endpoint) -> EndpointLoad:
        """Return the load of a router at an endpoint."""
        return self._placers[router].load.local(endpoint.id)

    def _on_place_decided(
        self, entry: WaitingEntry, decision: AdmissionDecision
    ) -> None:
        task = asyncio.create_task(self._deliver(entry, decision))
        self._deliveries.add(task)
        task.add_done_callback(self._deliveries.discard)

    async def _deliver(self, entry: WaitingEntry, decision: AdmissionDecision) -> None:
        endpoint = self._endpoint_by_hash[entry.endpoint_hash]
        await asyncio.sleep(QUERY_SECONDS)
        await self.send_event(entry.sender, endpoint, QUERY_BYTES)
        if not self._queriers[entry.sender].resolve(entry.sequence, decision):
            self.withdraw(entry.sender, entry.sequence)

    def _report_loads(self) -> None:
        for router, querier in enumerate(self._queriers):
            self._admission.record_load(
                router,
                self.next_sequence(),
                self._loads(router),
                granted=querier.pop_granted(),
            )

    def _loads(self, router: int) -> dict[int, EndpointLoad]:
        load = self._placers[router].load
        return {name_hash(e.id): load.local(e.id) for e in self._endpoints}

    def _send_heartbeats(self) -> None:
        totals = self._admission.total_loads()
        usages = [placer.shares.local() for placer in self._placers]
        slowdowns = [placer.prefill.local() for placer in self._placers]
        for receiver, placer in enumerate(self._placers):
            placer.load.update_source("coordinators", totals)
            for sender in range(len(self._placers)):
                if sender != receiver:
                    placer.shares.update_source(str(sender), usages[sender])
                    placer.prefill.update_source(str(sender), slowdowns[sender])
        self._send_engine_speeds()

    def _send_engine_speeds(self) -> None:
        """Exchange samples of engines, as many as fit a heartbeat."""
        speeds = [placer.engine_speeds for placer in self._placers]
        for sender, own in enumerate(speeds):
            if own is None:
                continue
            rows = self._rotations[sender].select(
                own.local(), asyncio.get_running_loop().time()
            )
            for receiver, other in enumerate(speeds):
                if other is not None and receiver != sender:
                    other.update_source(
                        str(sender), rows, max_weight=MAX_SOURCE_WEIGHT_SECONDS
                    )


class _Querier:
    """Admission check of one router, and its requests for places."""

    def __init__(self, fleet: ModelFleet, router: int) -> None:
        self._fleet = fleet
        self._router = router
        self._places: PendingPlaces[PlaceResult] = PendingPlaces()
        self._granted: list[int] = []

    async def __call__(
        self,
        endpoint: Endpoint,
        prefill_seconds: float,
        max_wait: float,
        warmup_rate: int | None = None,
    ) -> AdmissionDecision | None:
        request = EndpointLoad(1, prefill_seconds)
        return await self._fleet.query(self._router, endpoint, request, max_wait)

    async def request_place(
        self,
        endpoint: Endpoint,
        prefill_seconds: float,
        ticket: QueueTicket,
        max_wait: float,
    ) -> PlaceResult | None:
        """Ask the coordinator of an endpoint for a place."""
        sequence = self._fleet.next_sequence()
        query = AdmissionQuery(
            self._router,
            sequence,
            name_hash(endpoint.id),
            endpoint.slots,
            self._fleet.load_of(self._router, endpoint),
            prefill_seconds,
            max_wait,
            ticket=ticket,
        )
        self._places.open(sequence)
        decision = await self._fleet.request_place(self._router, endpoint, query)
        result = _to_result(sequence, decision)
        if result.state is not PlaceState.QUEUED:
            self._places.close(sequence)
        return self._record_grant(result)

    async def wait_for_grant(
        self, endpoint: Endpoint, queued: PlaceResult, seconds: float
    ) -> PlaceResult | None:
        """Return the decision on a request that waits."""
        result = None
        try:
            result = await self._places.wait(queued.sequence, seconds)
        finally:
            self._places.close(queued.sequence)
            if result is None:
                self._fleet.withdraw(self._router, queued.sequence)
        return self._record_grant(result)

    def resolve(self, sequence: int, decision: AdmissionDecision) -> bool:
        """Pass on a decision; return False if nobody waits for it."""
        return self._places.resolve(sequence, _to_result(sequence, decision))

    def pop_granted(self) -> list[int]:
        """Return the grants that no report has named yet."""
        granted, self._granted = self._granted, []
        return granted

    def _record_grant(self, result: PlaceResult | None) -> PlaceResult | None:
        if result is not None and result.state is PlaceState.GRANTED:
            self._granted.append(result.sequence)
        return result


def _to_result(sequence: int, decision: AdmissionDecision) -> PlaceResult:
    place = decision.place
    assert place is not None
    load = decision.remote_load
    return PlaceResult(place.state, sequence, place.expected_wait, load)

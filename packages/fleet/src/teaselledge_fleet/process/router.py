"""One router of the fleet: creates its components and connects them."""

import asyncio
import math
import secrets
from importlib import import_module
from typing import Protocol

from teaselledge_fleet.connection.codec import encode_state
from teaselledge_fleet.connection.front import FrontServer
from teaselledge_fleet.connection.pages import Page, PageServer
from teaselledge_fleet.connection.peers import STATE_PATH, PeerSocket
from teaselledge_fleet.connection.pool import ConnectionPool
from teaselledge_fleet.connection.relay import RelayResult
from teaselledge_fleet.connection.sendbuffers import SendBufferLimits, SendBuffers
from teaselledge_fleet.engines.routeraddresses import RouterAddresses
from teaselledge_fleet.hedging.policy import HedgePolicy
from teaselledge_fleet.log import get_log
from teaselledge_fleet.migration.directory import OriginDirectory
from teaselledge_fleet.migration.streams import StreamOrigins
from teaselledge_fleet.process.addresses import RegionCoverage, addresses_for
from teaselledge_fleet.process.admission import AdmissionController
from teaselledge_fleet.process.admissionrpc import AdmissionRpc
from teaselledge_fleet.process.budget import RetryBudget, RetryLimits
from teaselledge_fleet.process.busyness import EventLoopMonitor
from teaselledge_fleet.process.connectionlimit import ConnectionLimit
from teaselledge_fleet.process.connectionlog import ConnectionCounts, ConnectionLog
from teaselledge_fleet.process.connectionshares import ConnectionShares
from teaselledge_fleet.process.coordinators import Coordinators
from teaselledge_fleet.process.gossip import Gossip
from teaselledge_fleet.process.leaving import GracefulShutdown
from teaselledge_fleet.process.locating import PrefixLocator
from teaselledge_fleet.process.members import Member, Members, MemberState
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.process.offloading import ConnectionOffloader
from teaselledge_fleet.process.passingrate import OffloadLimiter
from teaselledge_fleet.process.placing import FleetPlacer
from teaselledge_fleet.process.registration import Registration
from teaselledge_fleet.process.settings import FleetSettings
from teaselledge_fleet.process.sharelog import ShareLog
from teaselledge_fleet.process.spillover import (
    RefusedFraction,
    ZoneSpillover,
    offered_utilisation,
)
from teaselledge_fleet.process.stalls import boot_clock
from teaselledge_fleet.process.store import StateStore
from teaselledge_fleet.process.storecache import Decode, StoreCache
from teaselledge_fleet.process.storepoller import StorePoller
from teaselledge_fleet.process.warmup import WarmupTracker
from teaselledge_fleet.process.work import name_hash
from teaselledge_fleet.quarantine.probing import PoolProbe
from teaselledge_fleet.quarantine.quarantine import Quarantine
from teaselledge_fleet.quarantine.spreading import EndSpreading
from teaselledge_fleet.relaying.timelimits import RouteTimeLimits
from teaselledge_fleet.request.call import HeaderCodec
from teaselledge_fleet.request.serving import RequestProxy
from teaselledge_fleet.supervision.tasks import (
    TaskSupervisor,
    report_unhandled_errors,
)
from teaselledge_fleet.version.residency import ANYWHERE
from teaselledge_fleet.version.routes import (
    CallerLimits,
    Organisation,
    Route,
    RoutingConfiguration,
)

__all__ = ["FleetRouter", "PageFormats"]

_log = get_log("router")

ADDRESS_CACHE_SECONDS = 0.5
"""Time for which callers cache the addresses of routers.

Callers still use a router this long after it has stopped or died, and some of them
three times as long. Two requests for addresses a second cost a caller 400 bytes a
second.
"""

POOLED_CONNECTIONS_FRACTION = 0.7
"""Fraction of an endpoint's connection limit that all routers together keep open. The
rest is for requests that arrive while all of these connections are in use."""

INCARNATION_BITS = 62
METRICS_PATH = "/metrics"
METRICS_PAGE_MODULE = "teaselledge_fleet.process.metricspage"
"""Module loaded at the first request for the page."""
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class PageFormats(Protocol):
    """Formats of the pages that a router serves to callers and the platform."""

    addresses_path: str

    def caller_location(self, arguments: dict[str, str]) -> tuple[str, str]:
        """Return the zone and region of a caller that requests addresses."""

    def addresses_page(self, addresses: list[str], seconds: float) -> Page:
        """Return the page with router addresses and the seconds to cache them."""


class FleetRouter:
    """A router of the fleet, independent of command line and platform.

    Parameters
    ----------
    settings : FleetSettings
        Location, addresses and limits of this router.
    store : StateStore
        Store of the configuration, the endpoints and the routers' rows.
    dialect : HeaderCodec
        Names and formats of headers.
    pages : PageFormats
        Formats of the pages served to callers and the platform.
    decode : callable
        Decodes a configuration; returns None if it is invalid.
    """

    def __init__(
        self,
        settings: FleetSettings,
        store: StateStore,
        dialect: HeaderCodec,
        pages: PageFormats,
        decode: Decode,
    ) -> None:
        self._settings = settings
        self._pages = pages
        place = settings.place
        own = Member(
            place.vm,
            secrets.randbits(INCARNATION_BITS),
            place.zone,
            place.region,
            settings.listeners.callers,
            settings.listeners.peers,
            cores=settings.cores,
            relay_port=_port(settings.listeners.relays),
        )
        self._members = Members(own, boot_clock)
        self._event_loop = EventLoopMonitor(settings.cores)
        self._event_loop.on_tick = self._update_utilisation
        warmup = WarmupTracker(settings.warmup_rate_factor, settings.warmup_rate_extra)
        self._store_cache = StoreCache(place.vm, decode, warmup, boot_clock)
        self._send_buffers = SendBuffers(_send_buffer_limits(settings))
        self._pool = ConnectionPool(send_buffers=self._send_buffers)
        self._budget = RetryBudget(
            _retry_limits(settings),
            router_count=len({*settings.seeds, settings.listeners.peers}),
        )
        self._placer = FleetPlacer(
            self._store_cache.view,
            place.zone,
            settings.zones,
            self._store_cache.drained_zones,
            warmup,
            settings.engine_speeds,
        )
        self._metrics = FleetMetrics()
        self._quarantine = Quarantine(PoolProbe(self._pool), self._metrics)
        self._server = self._make_server(dialect)
        limits = CallerLimits()
        self._front = FrontServer(
            self._server.handle,
            limits.header_bytes * 2,
            limits.body_bytes,
            limits.idle_seconds,
            self._send_buffers,
        )
        self._front.reconnect_probability = lambda: self._event_loop.rebalance_fraction
        self._offloader = ConnectionOffloader(self._members)
        self._region_coverage = RegionCoverage(settings.zones)
        self._spillover = ZoneSpillover()
        self._refusals = RefusedFraction()
        self._offload_limiter = OffloadLimiter()
        self._connect_acceptor(dialect)
        self._connection_limit = ConnectionLimit()
        self._connection_log = ConnectionLog()
        self._share_log = ShareLog(self._placer.shares)
        self._limit_connections()
        has_seeds = bool(settings.seeds) and own.peer_address not in settings.seeds
        self._registration = Registration(store, self._members, self._store_cache)
        self._socket = PeerSocket()
        admission = self._admission = AdmissionController(settings.queueing)
        admission.share_usage = self._placer.share_usage
        admission.warmup_rate = warmup.rate_by_hash
        coordinators = Coordinators(self._members)
        self._placer.load.coordinated_load = admission.total_load
        self._admission_rpc = AdmissionRpc(
            self._members,
            self._store_cache.view,
            self._placer.load,
            admission,
            self._socket,
            coordinators,
            settings.queueing,
        )
        if settings.queueing is not None:
            self._placer.set_queue(
                settings.queueing, self._admission_rpc, self._metrics
            )
        self._router_addresses = RouterAddresses(self._members, settings.listeners.all)
        self._connect_to_fleet(coordinators)
        self._origins = self._make_origins(store, coordinators)
        self._store_poller = StorePoller(
            place.vm, store, self._store_cache, has_seeds, self._origins.recorder
        )
        self._gossip = Gossip(
            self._members,
            self._store_cache,
            settings.seeds,
            self._placer.load,
            admission,
            self._placer.shares,
            self._placer.prefill,
            self._socket,
            coordinators,
            EndSpreading(self._quarantine),
            engine_speeds=self._placer.engine_speeds,
        )
        self._gossip.on_membership_change = self._update_router_count
        self._shutdown = GracefulShutdown(
            settings.grace_seconds, self._front, self._server
        )
        self._page_servers: list[PageServer] = []
        self._tasks = TaskSupervisor(self._metrics)
        self._store_cache.on_change.append(self._apply_store_cache)

    def _connect_to_fleet(self, coordinators: Coordinators) -> None:
        """Let placing and serving ask other routers."""
        members, peer_socket, rpc = self._members, self._socket, self._admission_rpc
        self._placer.set_router_addresses(self._router_addresses)
        self._placer.set_admission_check(rpc.request_admission, rpc.round_trips)
        self._placer.set_restart_report(rpc.report_restart)
        self._placer.set_locator(PrefixLocator(members, peer_socket, coordinators))

    def _make_origins(
        self, store: StateStore, coordinators: Coordinators
    ) -> StreamOrigins:
        """Return what knows the origins of streams, in memory and in the store."""
        vm, zones = self._settings.place.vm, self._settings.zones
        directory = OriginDirectory(self._members, zones, self._socket, coordinators)
        view = self._store_cache.view
        origins = StreamOrigins.from_store(
            store, view, vm, directory, self._hears_of_changes
        )
        self._store_cache.on_gap = origins.on_gap
        self._server.set_origins(origins)
        return origins

    def _hears_of_changes(self) -> bool:
        """Whether no other router can know of a change that this one has missed.

        While the store is away for all of them, none of them hears of any.
        """
        if self._store_cache.is_fresh:
            return True
        peers = self._members.peers
        return bool(peers) and len(self._members.alive) == len(peers)

    def _make_server(self, dialect: HeaderCodec) -> RequestProxy:
        """Return the request path; it and placing learn when this router is late."""
        server = RequestProxy(
            dialect,
            self._pool,
            self._placer,
            self._budget,
            self._metrics,
            self._quarantine,
        )
        self._placer.set_sample_filter(self._responsive_since)
        server.is_overloaded = lambda: (
            self._event_loop.recently_blocked or self._event_loop.overloaded
        )
        if self._settings.hedging is not None:
            hedger = server.enable_hedging(HedgePolicy(self._settings.hedging))
            hedger.is_sample_valid = self._responsive_since
        return server

    def _responsive_since(self, loop_time: float) -> bool:
        return self._event_loop.responsive_since(loop_time)

    async def start(self) -> None:
        """Open the listeners and start all tasks."""
        listeners = self._settings.listeners
        self._front.listen(*_split(listeners.callers))
        if listeners.relays:
            self._front.acceptor.listen_for_relays(*_split(listeners.relays))
        self._listen(listeners.ready, self._serve_ready)
        if listeners.addresses:
            self._listen(listeners.addresses, self._serve_addresses)
        self._listen(listeners.peers, self._serve_peers)
        if listeners.metrics:
            self._listen(listeners.metrics, self._serve_metrics)
        await self._socket.listen(*_split(listeners.peers))
        report_unhandled_errors(asyncio.get_running_loop(), self._metrics)
        self._tasks.start("gossip", self._gossip.run)
        self._tasks.start("admission", self._admission_rpc.run)
        self._tasks.start("store", self._store_poller.run)
        self._tasks.start("registration", self._registration.run)
        for name, run in self._origins.tasks.items():
            self._tasks.start(name, run)
        self._tasks.start("event-loop", self._event_loop.run)
        _log.info("router started", vm=self._settings.place.vm)

    def apply_settings(self, settings: FleetSettings) -> None:
        """Apply the settings that may change while the process runs."""
        self._gossip.set_seeds(settings.seeds)
        self._budget.set_limits(_retry_limits(settings))
        _log.info("settings applied", seeds=list(settings.seeds))

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        _log.info("router stops", running=self._front.running)
        self._members.set_state(MemberState.LEAVING)
        self._gossip.send_heartbeats()
        self._shutdown.start()

    async def wait_closed(self) -> None:
        """Wait for the end of the graceful shutdown, and close the router."""
        await self._shutdown.wait()
        await self._registration.deregister()
        await self.close()
        _log.info("router stopped", running=self._front.running)

    async def close(self) -> None:
        """Close at once, without notifying other routers."""
        self._tasks.cancel()
        self._front.stop()
        await self._front.close()
        for server in self._page_servers:
            await server.close()
        self._pool.close()
        self._gossip.close()
        self._socket.close()

    def _update_utilisation(self) -> None:
        """Report this router's utilisation, and adapt its limit of connections."""
        acceptor = self._front.acceptor
        self._refusals.update(acceptor.accepted, acceptor.refused)
        self._members.set_utilisation(
            offered_utilisation(self._event_loop.utilisation, self._refusals.value)
        )
        routing = self._server.routing
        if routing is not None and routing.residency.restricted:
            self._region_coverage.update(self._members.ready)
        self._offload_limiter.start_tick()
        longest, utilisation = (
            self._event_loop.pop_longest_iteration(),
            self._event_loop.loop_utilisation,
        )
        limited = math.isfinite(self._connection_limit.limit)
        self._connection_limit.update(longest, utilisation, self._front.running)
        self._share_log.update()
        self._connection_log.update(
            self._connection_counts(),
            self._front.running,
            self._connection_limit.limit,
            utilisation,
        )
        if limited == math.isfinite(self._connection_limit.limit):
            return
        # a warning, as an overloaded router drops lines of lower levels
        _log.warning(
            "connections not limited" if limited else "connections limited",
            limit=None if limited else round(self._connection_limit.limit),
            running=self._front.running,
            longest_turn_ms=round(longest * 1000),
            refused=self._front.acceptor.refused,
        )

    def _connection_counts(self) -> ConnectionCounts:
        acceptor = self._front.acceptor
        results = acceptor.relay_results
        return ConnectionCounts(
            accepted=acceptor.accepted,
            refused=acceptor.refused,
            abandoned=acceptor.abandoned,
            relayed=acceptor.relayed,
            relays_abandoned=acceptor.relays_abandoned,
            relays_refused=results[RelayResult.REFUSED_BY_ROUTER],
            relays_served=results[RelayResult.SERVED],
        )

    def _choose_relay_target(self) -> str | None:
        if self._server.leaving:
            # a connection offloaded now might not end before this router stops
            return None
        if not self._may_relay():
            return None
        return self._offloader.choose(self._event_loop)

    def _may_relay(self) -> bool:
        """Whether the requests of a new connection may be sent to this region's VMs.

        A connection is relayed unread. A caller of another region connects to this
        router only if its region has no ready router; then its requests must stay at
        the VM that it connected to, unless all of them are allowed in this region.
        """
        routing = self._server.routing
        if routing is None or routing.residency.allows(self._settings.place.region):
            return True
        return self._region_coverage.complete

    def _record_offload(self, router: str) -> int:
        self._offloader.record_offload(router)
        return self._offload_limiter.record_offload()

    def _listen(self, address: str, handler: "object") -> None:
        server = PageServer(handler)  # type: ignore[arg-type]
        server.listen(*_split(address))
        self._page_servers.append(server)

    def _apply_store_cache(self) -> None:
        routing = self._store_cache.routing
        if routing is not None and routing is not self._server.routing:
            self._server.routing = routing
            self._placer.apply_routing(routing)
            self._warn_of_unknown_regions(routing)
        self._placer.retain_endpoints()
        self._router_addresses.update()
        self._origins.update(self._store_cache.view.endpoints, routing)
        self._limit_endpoint_connections()
        if self._settings.queueing is not None:
            self._admission.set_unavailable(self._unavailable_endpoints())
        if (
            self._members.own.state is MemberState.STARTING
            and self._store_cache.version
        ):
            _log.info("router ready", version=self._store_cache.version)
            self._members.set_state(MemberState.READY)

    def _unavailable_endpoints(self) -> set[int]:
        """Return the hashes of endpoints to which no more requests may be sent."""
        drained = self._store_cache.drained_zones
        return {
            name_hash(entry.id)
            for entry in self._store_cache.view
            if entry.endpoint is None
            or entry.endpoint.leaving
            or entry.endpoint.zone in drained
        }

    def _warn_of_unknown_regions(self, routing: RoutingConfiguration) -> None:
        """Log routes and organisations that no region with a VM may serve."""
        regions = set(self._settings.zones.values())
        owners: list[Route | Organisation] = [*routing.routes, *routing.organisations]
        for owner in owners:
            if not any(owner.residency.allows(region) for region in regions):
                _log.warning(
                    "no known region allowed",
                    name=owner.name,
                    allowed_regions=sorted(owner.residency.regions or ()),
                    known_regions=sorted(regions),
                    version=routing.version,
                )

    def _connect_acceptor(self, dialect: HeaderCodec) -> None:
        acceptor = self._front.acceptor
        acceptor.set_time_limits(RouteTimeLimits(dialect, lambda: self._server.routing))
        acceptor.on_silent = self._offloader.silent.record
        acceptor.version = lambda: self._store_cache.version
        acceptor.choose_relay_target = self._choose_relay_target
        acceptor.peers_have_capacity = lambda: self._offload_limiter.allowed
        acceptor.on_relayed = self._record_offload
        acceptor.on_relay_refused = self._offload_limiter.record_refusal

    def _limit_connections(self) -> None:
        """Limit connections, but for organisations with less than their share."""
        acceptor, shares = self._front.acceptor, ConnectionShares()
        self._server.on_admitted = shares.record_served
        acceptor.has_capacity = lambda: self._connection_limit.allows(
            self._front.running
        )

        def is_entitled(key: str) -> bool:
            routing = self._server.routing
            organisation = routing.find_organisation(key) if routing else None
            return (
                organisation is not None
                and not self._event_loop.recently_blocked
                and self._connection_limit.allows_entitled(self._front.running)
                and shares.is_entitled(organisation.name)
            )

        acceptor.is_entitled = is_entitled

    def _update_router_count(self) -> None:
        self._router_addresses.update()
        self._budget.update_router_count(len(self._members.peers) + 1)
        self._limit_endpoint_connections()

    def _limit_endpoint_connections(self) -> None:
        """Limit this router to its fraction of each endpoint's connections."""
        routing = self._store_cache.routing
        if routing is None:
            return
        routers = len(self._members.peers) + 1
        limits = {}
        for endpoint in self._store_cache.view.endpoints:
            service = routing.services.get(endpoint.service)
            if service is not None:
                limit = POOLED_CONNECTIONS_FRACTION * service.max_connections / routers
                limits[endpoint.address] = max(1, int(limit))
        self._pool.set_connection_limits(limits)

    def _serve_ready(self, path: str, arguments: dict[str, str]) -> Page:
        ready = self._members.own.state is MemberState.READY
        return Page(200 if ready else 503)

    def _serve_addresses(self, path: str, arguments: dict[str, str]) -> Page:
        if path != self._pages.addresses_path:
            return Page(404)
        if self._event_loop.recently_blocked:
            # its own delay makes other routers look silent; the caller tries another
            return Page(503)
        zone, region = self._pages.caller_location(arguments)
        routing = self._server.routing
        residency = routing.residency if routing is not None else ANYWHERE
        ready = self._members.ready
        addresses = addresses_for(
            ready,
            self._settings.zones,
            zone,
            region,
            residency,
            self._spillover.update(zone, ready),
        )
        if not addresses:
            return Page(503)
        return self._pages.addresses_page(addresses, ADDRESS_CACHE_SECONDS)

    def _serve_peers(self, path: str, arguments: dict[str, str]) -> Page:
        if path == STATE_PATH:
            body = encode_state(self._gossip.snapshot())
            return Page(200, body, "application/octet-stream")
        return Page(404)

    def _serve_metrics(self, path: str, arguments: dict[str, str]) -> Page:
        if path != METRICS_PATH:
            return Page(404)
        metrics = self._metrics
        age = self._store_cache.age
        metrics.set("running", self._front.running)
        metrics.set("busy", self._event_loop.utilisation)
        metrics.set("caller_connections", self._front.acceptor.accepted)
        metrics.set("connections_passed_on", self._front.acceptor.relayed)
        metrics.set("connections_refused", self._front.acceptor.refused)
        metrics.set("version", self._store_cache.version)
        metrics.set("store_age_seconds", -1.0 if age is None else age)
        metrics.set("store_era", self._store_cache.era or 0)
        metrics.set("routers_answering", len(self._members.alive))
        metrics.set("routers_advertised", len(self._members.ready))
        cache, place = self._store_cache, self._settings.place
        metrics.set("zone_spillover", self._spillover.fraction(place.zone))
        shares = self._placer.shares
        level = shares.level
        metrics.set("share_level_tokens", level if math.isfinite(level) else -1.0)
        metrics.set("least_served_ratio", shares.served_ratio.value)
        metrics.set("relaying_allowed", float(self._may_relay()))
        metrics.set("offload_candidates", len(self._offloader.candidates))
        acceptor = self._front.acceptor
        metrics.replace(
            "connection_refusals",
            {(cause,): count for cause, count in acceptor.refusal_causes.items()},
        )
        metrics.replace(
            "relay_responses",
            {(result.value,): n for result, n in acceptor.relay_results.items()},
        )
        metrics.set("relays_not_accepted", acceptor.relays_not_accepted)
        metrics.set("relays_timed_out", acceptor.relays_timed_out)
        metrics.replace("organisation_tokens", shares.totals())
        metrics.set("unsent_bytes", self._send_buffers.total)
        metrics.replace(
            "slow_readers_disconnected",
            {(r.value, c.value): n for (r, c), n in self._send_buffers.ended.items()},
        )
        metrics.set("zones_drained", len(cache.drained_zones.zones))
        metrics.set(
            "endpoints_warming_up", cache.warmup.count_limited(cache.view.endpoints)
        )
        metrics.set("endpoints_paused", self._placer.paused_endpoints)
        speeds = self._placer.engine_speeds
        if speeds is not None:
            metrics.set("engine_speed_spread", max(speeds.spreads.values(), default=0))
        metrics.set("requests_queued", self._placer.waiting_requests)
        if self._admission.places is not None:
            metrics.set("queue_entries", self._admission.places.waiting_count)
            metrics.set("grants_revoked", self._admission.places.outcomes["revoked"])
        metrics.set("store_calls", self._store_poller.calls)
        metrics.set("origin_rows_written", self._origins.written_rows)
        metrics.set("endpoint_connections", self._pool.opened)
        metrics.set("admissions_asked", self._admission_rpc.queries_sent)
        metrics.set("admissions_unanswered", self._admission_rpc.queries_timed_out)
        metrics.set(
            "region_round_trip_seconds",
            self._admission_rpc.round_trips.longest_seconds(place.region),
        )
        metrics.set("peer_sent_bytes", self._socket.sent_bytes)
        metrics.set("peer_malformed", self._socket.malformed_count)
        page = import_module(METRICS_PAGE_MODULE).metrics_page(metrics)
        return Page(200, page, METRICS_CONTENT_TYPE)


def _send_buffer_limits(settings: FleetSettings) -> SendBufferLimits:
    limits = settings.send_buffers
    return limits or SendBufferLimits.from_memory(settings.memory_bytes)


def _retry_limits(settings: FleetSettings) -> RetryLimits:
    return RetryLimits(
        settings.repeat_ratio, settings.repeat_extra, settings.repeat_window
    )


def _port(address: str) -> int:
    """Return the port of an address, 0 for an empty one."""
    return _split(address)[1] if address else 0


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)

"""One router of the fleet: its parts, wired together."""

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
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.addresses import addresses_for
from teaselledge_fleet.process.admission import AdmissionController
from teaselledge_fleet.process.admissionrpc import AdmissionRpc
from teaselledge_fleet.process.budget import RetryBudget, RetryLimits
from teaselledge_fleet.process.busyness import EventLoopMonitor
from teaselledge_fleet.process.connectionlimit import ConnectionLimit
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
from teaselledge_fleet.process.store import StateStore
from teaselledge_fleet.process.storecache import Decode, StoreCache
from teaselledge_fleet.process.storepoller import StorePoller
from teaselledge_fleet.request.call import HeaderCodec
from teaselledge_fleet.request.serving import RequestProxy
from teaselledge_fleet.version.routes import CallerLimits

__all__ = ["FleetRouter", "PageFormats"]

_log = get_log("router")

ADDRESS_SECONDS = 0.5
"""Time for which callers keep the addresses.

A router that stops or dies is named for this long, and three times so by some
callers. Asking twice a second costs a caller 400 bytes a second.
"""

CONNECTIONS_KEPT = 0.7
"""Part of the connections that an endpoint accepts that all routers keep open together.
The rest is for requests that come while all of them are busy."""

INCARNATION_BITS = 62
METRICS_PATH = "/metrics"
METRICS_PAGE = "teaselledge_fleet.process.metricspage"
"""Loaded when it is asked for first."""
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class PageFormats(Protocol):
    """Formats of what callers and the platform ask a router."""

    addresses_path: str

    def caller_location(self, arguments: dict[str, str]) -> tuple[str, str]:
        """Return the zone and region of a caller that asks for addresses."""

    def addresses_page(self, addresses: list[str], seconds: float) -> Page:
        """Return the page that names routers."""


class FleetRouter:
    """A router without its command line.

    Parameters
    ----------
    settings : FleetSettings
        Where it is and what it may use.
    store : StateStore
        What lasts.
    dialect : Dialect
        Names of headers.
    pages : PageFormats
        Formats of the small pages.
    decode : callable
        Reads a configuration; None where it can't.
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
        self._members = Members(own)
        self._busyness = EventLoopMonitor(settings.cores)
        self._busyness.on_tick = self._note_load
        self._belief = StoreCache(place.vm, decode)
        self._pool = ConnectionPool()
        self._budget = RetryBudget(_limits(settings))
        self._placer = FleetPlacer(self._belief.view, place.zone, settings.zones)
        self._placer.set_sample_filter(lambda at: self._busyness.responsive_since(at))
        self._metrics = FleetMetrics()
        self._server = RequestProxy(
            dialect, self._pool, self._placer, self._budget, self._metrics
        )
        self._server.is_overloaded = lambda: (
            self._busyness.recently_blocked or self._busyness.overloaded
        )
        limits = CallerLimits()
        self._front = FrontServer(
            self._server.handle,
            limits.header_bytes * 2,
            limits.body_bytes,
            limits.idle_seconds,
        )
        self._front.reconnect_probability = lambda: self._busyness.rebalance_fraction
        acceptor = self._front.acceptor
        acceptor.version = lambda: self._belief.version
        self._offloading = ConnectionOffloader(self._members)
        acceptor.choose_relay_target = self._choose_router
        self._passing = OffloadLimiter()
        acceptor.peers_have_capacity = lambda: self._passing.allowed
        acceptor.on_relayed = self._note_passed_on
        acceptor.on_relay_refused = self._passing.record_refusal
        self._limit = ConnectionLimit()
        acceptor.has_capacity = lambda: self._limit.allows(self._front.running)
        asks_seeds = bool(settings.seeds) and own.peer_address not in settings.seeds
        self._follower = StorePoller(place.vm, store, self._belief, asks_seeds)
        self._registration = Registration(store, self._members, self._belief)
        self._socket = PeerSocket()
        admission = AdmissionController()
        coordinators = Coordinators(self._members)
        self._placer.load.coordinated_load = admission.total_load
        self._asking = AdmissionRpc(
            self._members,
            self._belief.view,
            self._placer.load,
            admission,
            self._socket,
            coordinators,
        )
        self._placer.set_admission_check(self._asking.request_admission)
        self._placer.set_locator(
            PrefixLocator(self._members, self._socket, coordinators)
        )
        self._spreading = Gossip(
            self._members,
            self._belief,
            settings.seeds,
            self._placer.load,
            admission,
            self._placer.shares,
            self._socket,
            coordinators,
        )
        self._spreading.on_membership_change = self._note_members
        self._leaving = GracefulShutdown(
            settings.grace_seconds, self._front, self._server
        )
        self._page_servers: list[PageServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._belief.on_change.append(self._take_belief)

    async def start(self) -> None:
        """Open the listeners and begin."""
        listeners = self._settings.listeners
        self._front.listen(*_split(listeners.callers))
        if listeners.relays:
            self._front.acceptor.listen_for_relays(*_split(listeners.relays))
        self._listen(listeners.ready, self._answer_ready)
        if listeners.addresses:
            self._listen(listeners.addresses, self._answer_addresses)
        self._listen(listeners.peers, self._answer_peers)
        if listeners.metrics:
            self._listen(listeners.metrics, self._answer_metrics)
        await self._socket.listen(*_split(listeners.peers))
        self._tasks = [
            asyncio.create_task(self._spreading.run()),
            asyncio.create_task(self._asking.run()),
            asyncio.create_task(self._follower.run()),
            asyncio.create_task(self._registration.run()),
            asyncio.create_task(self._busyness.run()),
        ]
        _log.info("router started", vm=self._settings.place.vm)

    def apply_settings(self, settings: FleetSettings) -> None:
        """Take what may change in the settings while the process runs."""
        self._spreading.set_seeds(settings.seeds)
        self._budget.set_limits(_limits(settings))
        _log.info("settings taken", seeds=list(settings.seeds))

    def begin_shutdown(self) -> None:
        """Begin to leave."""
        _log.info("router stops", running=self._front.running)
        self._members.set_state(MemberState.LEAVING)
        self._spreading.send_heartbeats()
        self._leaving.start()

    async def wait_closed(self) -> None:
        """Wait until nothing is left to be done."""
        await self._leaving.wait()
        await self._registration.deregister()
        await self.close()
        _log.info("router stopped", running=self._front.running)

    async def close(self) -> None:
        """End at once, without a word to anybody."""
        for task in self._tasks:
            task.cancel()
        self._front.stop()
        await self._front.close()
        for server in self._page_servers:
            await server.close()
        self._pool.close()
        self._spreading.close()
        self._socket.close()

    def _note_load(self) -> None:
        """Tell how busy this router is, and limit its connections by its time."""
        self._members.set_utilisation(self._busyness.utilisation)
        self._passing.start_tick()
        longest, used = (
            self._busyness.pop_longest_iteration(),
            self._busyness.loop_utilisation,
        )
        limited = math.isfinite(self._limit.limit)
        self._limit.update(longest, used, self._front.running)
        if limited == math.isfinite(self._limit.limit):
            return
        # a warning, as ordinary lines give way on a crowded router
        _log.warning(
            "connections not limited" if limited else "connections limited",
            limit=None if limited else round(self._limit.limit),
            running=self._front.running,
            longest_turn_ms=round(longest * 1000),
            refused=self._front.acceptor.refused,
        )

    def _choose_router(self) -> str | None:
        if self._server.leaving:
            # a request that is passed on now might not end before this router does
            return None
        return self._offloading.choose(self._busyness)

    def _note_passed_on(self, router: str) -> None:
        self._passing.record_offload()
        self._offloading.record_offload(router)

    def _listen(self, address: str, answer: "object") -> None:
        server = PageServer(answer)  # type: ignore[arg-type]
        server.listen(*_split(address))
        self._page_servers.append(server)

    def _take_belief(self) -> None:
        routing = self._belief.routing
        if routing is not None and routing is not self._server.routing:
            self._server.routing = routing
            self._placer.apply_routing(routing)
        self._placer.retain_endpoints()
        self._share_connections()
        if self._members.own.state is MemberState.STARTING and self._belief.version:
            _log.info("router ready", version=self._belief.version)
            self._members.set_state(MemberState.READY)

    def _note_members(self) -> None:
        self._budget.update_router_count(len(self._members.peers) + 1)
        self._share_connections()

    def _share_connections(self) -> None:
        """Keep this router's part of the connections that each endpoint accepts."""
        routing = self._belief.routing
        if routing is None:
            return
        routers = len(self._members.peers) + 1
        caps = {}
        for endpoint in self._belief.view.endpoints:
            service = routing.services.get(endpoint.service)
            if service is not None:
                part = CONNECTIONS_KEPT * service.max_connections / routers
                caps[endpoint.address] = max(1, int(part))
        self._pool.set_connection_limits(caps)

    def _answer_ready(self, path: str, arguments: dict[str, str]) -> Page:
        ready = self._members.own.state is MemberState.READY
        return Page(200 if ready else 503)

    def _answer_addresses(self, path: str, arguments: dict[str, str]) -> Page:
        if path != self._pages.addresses_path:
            return Page(404)
        if self._busyness.recently_blocked:
            # it can't tell who is silent; another router answers better
            return Page(503)
        zone, region = self._pages.caller_location(arguments)
        found = addresses_for(self._members.ready, self._settings.zones, zone, region)
        if not found:
            return Page(503)
        return self._pages.addresses_page(found, ADDRESS_SECONDS)

    def _answer_peers(self, path: str, arguments: dict[str, str]) -> Page:
        if path == STATE_PATH:
            body = encode_state(self._spreading.snapshot())
            return Page(200, body, "application/octet-stream")
        return Page(404)

    def _answer_metrics(self, path: str, arguments: dict[str, str]) -> Page:
        if path != METRICS_PATH:
            return Page(404)
        metrics = self._metrics
        age = self._belief.age
        metrics.set("running", self._front.running)
        metrics.set("busy", self._busyness.utilisation)
        metrics.set("caller_connections", self._front.acceptor.accepted)
        metrics.set("connections_passed_on", self._front.acceptor.relayed)
        metrics.set("connections_refused", self._front.acceptor.refused)
        metrics.set("version", self._belief.version)
        metrics.set("store_age_seconds", -1.0 if age is None else age)
        metrics.set("store_era", self._belief.era or 0)
        metrics.set("routers_answering", len(self._members.alive))
        metrics.set("routers_advertised", len(self._members.ready))
        metrics.set("store_calls", self._follower.calls)
        metrics.set("endpoint_connections", self._pool.opened)
        metrics.set("admissions_asked", self._asking.queries_sent)
        metrics.set("admissions_unanswered", self._asking.queries_timed_out)
        metrics.set("peer_sent_bytes", self._socket.sent_bytes)
        metrics.set("peer_malformed", self._socket.malformed_count)
        page = import_module(METRICS_PAGE).metrics_page(metrics)
        return Page(200, page, METRICS_TYPE)


def _limits(settings: FleetSettings) -> RetryLimits:
    return RetryLimits(
        settings.repeat_ratio, settings.repeat_extra, settings.repeat_window
    )


def _port(address: str) -> int:
    """Return the port of an address, 0 for none."""
    return _split(address)[1] if address else 0


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)

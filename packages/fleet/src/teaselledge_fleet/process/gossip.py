"""Gossip: exchange heartbeats and snapshots of the state with other routers."""

import asyncio
import copy
import math
import random
from collections.abc import Callable, Iterable

from teaselledge_wire.gen.fleet.ttypes import (
    EndpointState,
    Pulse,
    RouterInfo,
    WholeState,
    ZoneState,
)

from teaselledge_fleet.connection.codec import PROTOCOL
from teaselledge_fleet.connection.figures import (
    pack_engine_slowdowns,
    pack_loads,
    pack_member_ages,
    pack_member_statuses,
    pack_pulse_marks,
    pack_slowdowns,
    pack_usage,
    unpack_loads,
    unpack_member_statuses,
    unpack_pulse_marks,
    unpack_slowdowns,
    unpack_usage,
)
from teaselledge_fleet.connection.peers import StateClient
from teaselledge_fleet.engines.speeds import EngineSpeeds
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.admission import AdmissionController
from teaselledge_fleet.process.admissionrpc import PeerTransport
from teaselledge_fleet.process.advertised import AdvertisedLog
from teaselledge_fleet.process.coordinators import Coordinators
from teaselledge_fleet.process.drains import ZoneDrain
from teaselledge_fleet.process.endpoints import AnnouncementId, Endpoint, EndpointEntry
from teaselledge_fleet.process.forwarding import (
    Delivery,
    SeenMessages,
    plan_deliveries,
)
from teaselledge_fleet.process.members import Member, MemberReport, Members
from teaselledge_fleet.process.prefill import PrefillModel
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.sent import NO_MARK, LoadStats
from teaselledge_fleet.process.shares import OrganisationShares
from teaselledge_fleet.process.stalls import StallDetector
from teaselledge_fleet.process.storecache import StoreCache
from teaselledge_fleet.process.sums import LoadTotals
from teaselledge_fleet.process.topology import Scope, Topology
from teaselledge_fleet.process.work import FleetLoad, name_hash
from teaselledge_fleet.quarantine.spreading import EndSpreading

__all__ = ["Gossip"]

_log = get_log("peers")

FULL_MESH_HEARTBEAT_SECONDS = 0.25
"""Time between two heartbeats to a router in a full mesh.

The load at an engine changes within the prefill time of a long prompt, about 0.2 s.
With half as many heartbeats a router of a fleet of nine would save only 2 KB/s.
"""

MAX_CHANGES_PER_HEARTBEAT = 8
"""Maximum of changed entries in one datagram. Each takes about 80 bytes, and datagrams
of more than 1,400 bytes would be fragmented."""

CHANGE_SEND_COUNT = 3
"""Heartbeats that carry the same change, in case some of them are lost."""

CHANGE_RESEND_SECONDS = 0.1
"""Time between these heartbeats if routers forward them to others. A lost datagram then
delays the change for a whole zone."""

REPORT_COUNT = 2
"""Member reports in a heartbeat that carries any."""

INTRODUCTION_COUNT = 8
"""Member reports that a new router gets, all on routers of its zone."""

HEARTBEATS_PER_REPORT = 4
"""One in this many heartbeats carries member reports; each report takes 90 bytes."""

AGGREGATED_HEARTBEAT_SECONDS = 0.4
"""Time between two heartbeats in a fleet with aggregators."""

MIN_TOTALS_SECONDS = 0.35
"""Minimum time between two sends of an aggregator's totals.

Heartbeats are sent more often while there are changes; those in between carry no load.
"""

MIN_AGE_DECREASE_SECONDS = 0.3
"""Decrease of the store cache's age that triggers a heartbeat at once."""

MIN_HEARTBEAT_SECONDS = 0.03
"""Minimum time between two heartbeats."""

STARTING_SECONDS = 3.0
"""Time after its start in which a router may not know all others yet."""

MAX_HOPS = 10
"""Maximum number of times that a heartbeat is forwarded. Eight hops reach 500 routers;
more hops mean a loop among routers whose views of the fleet differ."""

MIN_FETCH_SECONDS = 0.4
"""Minimum time between two fetches of a snapshot."""

NEXT_FETCH_SECONDS = 0.8
"""Time after which another router is asked, too, if a fetch has not ended. The first
one goes on: a router with a full link would otherwise never end any."""

MAX_FETCHES = 3
"""Maximum number of concurrent fetches."""


class Gossip:
    """Sends heartbeats to the other routers and applies those that it receives."""

    def __init__(
        self,
        members: Members,
        store_cache: StoreCache,
        seeds: Iterable[str],
        load: FleetLoad,
        admission: AdmissionController,
        shares: OrganisationShares,
        prefill: PrefillModel,
        socket: PeerTransport,
        coordinators: Coordinators,
        ends: EndSpreading,
        stalls: StallDetector | None = None,
        engine_speeds: EngineSpeeds | None = None,
    ) -> None:
        self._members = members
        self._store_cache = store_cache
        self._seeds = tuple(seeds)
        self._load = load
        self._totals = LoadTotals(load, shares, admission, prefill, engine_speeds)
        self._coordinators = coordinators
        self._advertised_log = AdvertisedLog(members)
        self._topology = Topology(members)
        self._socket = socket
        socket.on(Pulse, self._receive)
        self._client = StateClient()
        self._sequence = 0
        self._rounds = 0
        self._started = asyncio.get_running_loop().time()
        self._pending_changes: list[tuple[EndpointEntry, int]] = []
        """Changed entries, each with the number of heartbeats still to carry it."""
        self._fetched_at = -math.inf
        self._extrapolated_at = -math.inf
        self._stalls = stalls or StallDetector()
        self._seen_messages = SeenMessages()
        self._totals_sent = 0
        self._totals_sent_at = -math.inf
        self._fetches: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self.on_membership_change: Callable[[], None] = lambda: None
        self._resends_left = 0
        store_cache.on_change.append(self._send_changes)
        self._ends = ends
        ends.connect(self._send_changes, self.send_heartbeats)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds."""
        self._seeds = tuple(seeds)

    async def run(self) -> None:
        """Send heartbeats for ever: periodically, and at once after a change."""
        while True:
            self._wake.clear()
            self.send_heartbeats()
            await asyncio.sleep(MIN_HEARTBEAT_SECONDS)
            try:
                async with asyncio.timeout(self._next_interval()):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _next_interval(self) -> float:
        """Return the time until the next heartbeat unless something changes."""
        if self._topology.is_full_mesh:
            return FULL_MESH_HEARTBEAT_SECONDS * random.uniform(0.9, 1.1)
        if self._resends_left:
            self._resends_left -= 1
            return CHANGE_RESEND_SECONDS
        return AGGREGATED_HEARTBEAT_SECONDS * random.uniform(0.9, 1.1)

    def _send_changes(self) -> None:
        """Send a change at once, and resend it in the next heartbeats."""
        self._resends_left = CHANGE_SEND_COUNT - 1
        self._wake.set()

    def send_heartbeats(self) -> None:
        """Send this round's heartbeats to their recipients and to unknown seeds."""
        self._stalls.tick()
        self._advertised_log.update()
        self._extrapolate_load()
        changes, ends = self._next_changes(), self._ends.next_reports()
        if self._ends.has_more:
            self._wake.set()
        self._rounds += 1
        totals_due = self._totals_due()
        for group in self._topology.recipient_groups():
            scope = group.scope
            if scope in (Scope.FLEET, Scope.ZONE) and not totals_due:
                scope = Scope.NEWS
            self._deliver(self._make_heartbeat(scope, changes, ends), group.deliveries)
        known = {member.peer_address for member in self._members.peers}
        seeds = set(self._seeds) - known - {self._members.own.peer_address}
        if seeds:
            self._socket.send_all(
                sorted(seeds), self._make_heartbeat(Scope.OWN, changes, ends)
            )

    def snapshot(self) -> WholeState:
        """Return the full state of this router."""
        store_cache = self._store_cache
        return WholeState(
            PROTOCOL,
            self._members.own.to_wire(),
            store_cache.version,
            store_cache.configuration,
            store_cache.digest,
            _to_milliseconds(store_cache.age),
            [self._entry_to_wire(entry) for entry in store_cache.view],
            [report.to_wire() for report in self._members.reports],
            store_cache.era,
            [_drain_to_wire(drain) for drain in store_cache.drained_zones],
            self._ends.snapshot(),
        )

    async def fetch_snapshot(self, address: str) -> bool:
        """Fetch and apply the snapshot of another router; False if that failed."""
        fetched = await self._client.fetch(address)
        if fetched.is_error():
            _log.info("snapshot not fetched", peer=address, error=fetched.error)
            return False
        try:
            self._apply_snapshot(fetched.ok)
        except Exception as error:
            # a field may be missing or hold a value of a later release
            _log.warning("snapshot malformed", peer=address, error=repr(error))
            return False
        return True

    def close(self) -> None:
        """Cancel all calls to other routers."""
        self._client.close()

    def _extrapolate_load(self) -> None:
        """Extrapolate the fleet's load to routers whose load is unknown.

        When all routers start at the same time, each of them sees idle engines until
        it receives the others' heartbeats. Together nine routers would send the
        engines nine times the prompts that these can prefill. So routers without a
        heartbeat are assumed to have the same load as the others.
        """
        now = asyncio.get_running_loop().time()
        if now - self._extrapolated_at < MIN_HEARTBEAT_SECONDS:
            return
        self._extrapolated_at = now
        members = self._members
        others, with_heartbeat = members.peers, members.alive
        if not self._topology.is_full_mesh:
            zone = members.own.zone
            others = [m for m in others if m.zone == zone]
            with_heartbeat = [m for m in with_heartbeat if m.zone == zone]
        known, alive = len(others) + 1, len(with_heartbeat) + 1
        starting = now - self._started < STARTING_SECONDS
        missing = starting or 2 * alive < known
        self._load.extrapolation_factor = known / alive if missing else 1.0

    def _next_changes(self) -> list[EndpointState]:
        """Return the changed entries for this round's heartbeats."""
        self._pending_changes += [
            (entry, CHANGE_SEND_COUNT) for entry in self._store_cache.pop_changes()
        ]
        now, later = (
            self._pending_changes[:MAX_CHANGES_PER_HEARTBEAT],
            self._pending_changes[MAX_CHANGES_PER_HEARTBEAT:],
        )
        self._pending_changes = later + [
            (entry, left - 1) for entry, left in now if left > 1
        ]
        if later:
            self._wake.set()
        return [self._entry_to_wire(entry) for entry, _ in now]

    def _entry_to_wire(self, entry: EndpointEntry) -> EndpointState:
        state = _to_wire(entry)
        if entry.endpoint is not None:
            warmup_seconds = self._store_cache.warmup.announced_seconds(entry.endpoint)
            state.warmup_ms = int(warmup_seconds * 1000) or None
        return state

    def _totals_due(self) -> bool:
        """Whether it is time for an aggregator to send its totals."""
        now = asyncio.get_running_loop().time()
        if now - self._totals_sent_at < MIN_TOTALS_SECONDS:
            return False
        self._totals_sent_at = now
        self._totals_sent += 1
        return True

    def _make_heartbeat(
        self, scope: Scope, changes: list[EndpointState], ends: bytes | None = None
    ) -> Pulse:
        """Return a heartbeat with the load of a scope."""
        store_cache = self._store_cache
        members = self._members
        zone_peers = members.zone_peers
        alive = zone_peers if scope is Scope.FLEET else []
        # those of other zones come last, as marks are sent of the zone's own only
        reports = [
            members.report(each)
            for each in [*alive, *self._other_zones_to_report(scope)]
        ]
        self._sequence += 1
        heartbeat = Pulse(
            PROTOCOL,
            members.own.to_wire(),
            self._sequence,
            store_cache.version,
            store_cache.digest,
            _to_milliseconds(store_cache.age),
            store_cache.poller,
            changes,
            int(scope),
            others=self._make_reports(self._members_to_report()),
            alive=pack_member_statuses(reports),
            alive_ages=pack_member_ages(reports),
            admitting=[
                member.to_wire() for member in self._coordinators_to_send(scope)
            ],
            era=store_cache.era,
            zones=[_drain_to_wire(d) for d in store_cache.recent_drains] or None,
            ends=ends,
        )
        self._ends.write_summary(heartbeat)
        if alive:
            marks = [self._totals.mark(peer.vm) for peer in alive]
            heartbeat.alive_marks = pack_pulse_marks(marks)
        stats = self._totals.for_scope(scope, zone_peers)
        if stats is None:
            return heartbeat
        if scope is Scope.OWN:
            self._totals.record_sent(self._sequence, stats)
        heartbeat.work = pack_loads(stats.loads)
        heartbeat.uses = pack_usage(stats.usage)
        heartbeat.slowdowns = pack_slowdowns(stats.slowdowns) or None
        heartbeat.engine_slowdowns = (
            pack_engine_slowdowns(stats.engine_slowdowns) or None
        )
        return heartbeat

    def _deliver(self, heartbeat: Pulse, deliveries: Iterable[Delivery]) -> None:
        """Send a heartbeat to the recipients of some deliveries."""
        direct = [
            delivery.recipient.peer_address
            for delivery in deliveries
            if not delivery.forward_to
        ]
        self._socket.send_all(direct, heartbeat)
        for delivery in deliveries:
            if delivery.forward_to:
                forwarded = copy.copy(heartbeat)
                forwarded.pass_to = delivery.forward_to
                if delivery.unknown_members and heartbeat.scope == Scope.ZONE:
                    forwarded.others = self._make_reports(delivery.unknown_members)
                self._socket.send(delivery.recipient.peer_address, forwarded)

    def _other_zones_to_report(self, scope: Scope) -> list[Member]:
        """Return the routers of other zones that this zone's aggregator hears.

        The others of its zone hear none of them, and would take zones for dead between
        two member reports.
        """
        if scope is not Scope.FLEET:
            return []
        return [m for m in self._members.alive if m.zone != self._members.own.zone]

    def _coordinators_to_send(self, scope: Scope) -> list[Member]:
        """Return the coordinators of one zone; the other zones take turns."""
        own = self._members.own.zone
        if scope is Scope.ZONE:
            return self._coordinators.for_zone(own)
        zones = sorted(self._topology.other_zones)
        if scope is not Scope.FLEET or not zones:
            return []
        return self._coordinators.for_zone(zones[self._totals_sent % len(zones)])

    def _make_reports(self, members: Iterable[Member]) -> list[RouterInfo]:
        return [self._members.report(member).to_wire() for member in members]

    def _members_to_report(self) -> list[Member]:
        """Return a sample of routers whose heartbeats the receivers may not get."""
        if self._rounds % HEARTBEATS_PER_REPORT:
            return []
        members = self._members
        candidates = members.alive
        if not self._topology.is_full_mesh and self._topology.is_aggregator:
            # the status of the zone's own routers is in the heartbeat already
            candidates = [m for m in members.ready if m.zone != members.own.zone]
        return random.sample(candidates, min(REPORT_COUNT, len(candidates)))

    def _receive(self, heartbeat: Pulse, address: str) -> None:
        sender = Member.from_wire(heartbeat.sender)
        if sender.vm == self._members.own.vm:
            return
        forwarded = bool(heartbeat.hops)
        forwards = forwarded or bool(heartbeat.pass_to) or heartbeat.scope == Scope.ZONE
        if forwards and self._stalls.recently_stalled:
            # it may have queued while this VM was stalled: its sender may be dead now
            return
        if self._stalls.recently_stalled_for_long:
            # this router would report the sender as alive, and others believe it
            return
        for info in heartbeat.others or ():
            if self._members.merge_report(MemberReport.from_wire(info)):
                self.on_membership_change()
        if forwards and not self._forward(sender, heartbeat):
            return
        self._extrapolate_load()
        if not self._members.is_known(sender.vm):
            self._introduce_peers(sender)
        if self._members.update_from_heartbeat(sender, forwarded):
            _log.info(
                "router joined or changed",
                vm=sender.vm,
                incarnation=sender.incarnation,
                state=sender.state.name.lower(),
                relayed=forwarded,
            )
            self.on_membership_change()
        self._coordinators.set_zone_coordinators(
            [Member.from_wire(m) for m in heartbeat.admitting or ()]
        )
        store_cache = self._store_cache
        before = store_cache.as_of
        self._apply_changes(sender, heartbeat)
        lacks_ends = self._ends.apply(heartbeat)
        self._apply_statuses(sender, heartbeat)
        if heartbeat.work is not None or heartbeat.uses is not None:
            self._apply_load(sender, heartbeat)
        newer = (
            store_cache.as_of is not None
            and store_cache.as_of > (before or 0) + MIN_AGE_DECREASE_SECONDS
        )
        if newer and not forwarded:
            # report at once that the store was read, so that no other router reads it
            self._wake.set()
        if self._is_behind(heartbeat) or lacks_ends:
            self._fetch(sender)

    def _apply_changes(self, sender: Member, heartbeat: Pulse) -> None:
        """Apply the changes of the store that a heartbeat reports, and its age."""
        store_cache = self._store_cache
        current = self._update_era(heartbeat.era, sender.vm)
        if heartbeat.changes:
            store_cache.merge_entries(map(_from_wire, heartbeat.changes), sender.vm)
        if heartbeat.zones:
            store_cache.merge_drains(map(_drain_from_wire, heartbeat.zones), sender.vm)
        if current and heartbeat.store_age is not None and heartbeat.store_age >= 0:
            store_cache.update_age(
                heartbeat.digest, heartbeat.store_age / 1000, heartbeat.follower or ""
            )

    def _update_era(self, era: int | None, source: str) -> bool:
        """Apply a router's store era; False if the store was restored since then."""
        return era is None or self._store_cache.update_era(era, source)

    def _forward(self, sender: Member, heartbeat: Pulse) -> bool:
        """Forward a heartbeat to its further recipients; False for a duplicate."""
        if not self._seen_messages.add(sender.incarnation, heartbeat.sequence or 0):
            return False
        members = self._members
        forwarded = copy.copy(heartbeat)
        forwarded.pass_to = None
        forwarded.hops = (heartbeat.hops or 0) + 1
        if forwarded.hops < MAX_HOPS:
            hashes = [*(heartbeat.pass_to or ()), *self._missed_by(sender, heartbeat)]
            region = members.own.region
            self._deliver(
                forwarded, plan_deliveries(hashes, region, members.find_by_hash)
            )
        return True

    def _missed_by(self, sender: Member, heartbeat: Pulse) -> list[int]:
        """Return the hash of this zone's aggregator if it was not sent a heartbeat.

        Aggregators know few routers of other zones, and may take one of these for the
        zone's aggregator. Unless that router forwards their heartbeats, its zone's
        aggregator doesn't get to know them and doesn't send them its own.
        """
        aggregator = self._topology.aggregator
        near = sender.zone == aggregator.zone
        if heartbeat.scope != Scope.ZONE or near or self._topology.is_aggregator:
            return []
        return [name_hash(aggregator.vm)]

    def _apply_statuses(self, sender: Member, heartbeat: Pulse) -> None:
        """Apply the statuses that this zone's aggregator sent."""
        near = sender.zone == self._members.own.zone
        if not heartbeat.alive or not near or self._topology.is_aggregator:
            return
        statuses = unpack_member_statuses(heartbeat.alive, heartbeat.alive_ages or b"")
        self._members.update_from_aggregator(statuses)

    def _introduce_peers(self, new_member: Member) -> None:
        """Send a heartbeat with reports on routers of its zone to a new router.

        It may know only seeds, which send heartbeats to their own zones only. Unless
        it is known in its zone, no callers are sent to it, and it returns only its own
        address to callers that ask for routers.
        """
        zone_peers = [m for m in self._members.peers if m.zone == new_member.zone]
        heartbeat = self._make_heartbeat(Scope.OWN, [])
        reported = random.sample(zone_peers, min(INTRODUCTION_COUNT, len(zone_peers)))
        heartbeat.others = self._make_reports(reported)
        self._socket.send(new_member.peer_address, heartbeat)

    def _apply_load(self, sender: Member, heartbeat: Pulse) -> None:
        """Apply the load and usage in a heartbeat, by its scope."""
        scope = heartbeat.scope or Scope.OWN
        near = sender.zone == self._members.own.zone
        aggregates = self._topology.is_aggregator
        stats = LoadStats(
            unpack_loads(heartbeat.work or b""),
            unpack_usage(heartbeat.uses or b""),
            unpack_slowdowns(heartbeat.slowdowns or b""),
            unpack_slowdowns(heartbeat.engine_slowdowns or b""),
        )
        if scope == Scope.ZONE:
            if not near and aggregates:
                self._topology.record_aggregator(sender)
                self._totals.update_zone(sender.zone, stats)
                self._totals.discard_previous_total(self._topology.other_zones)
        elif scope == Scope.FLEET:
            if near and not aggregates:
                marks = unpack_pulse_marks(
                    heartbeat.alive or b"", heartbeat.alive_marks or b""
                )
                mark = marks.get(name_hash(self._members.own.vm), NO_MARK)
                self._totals.update_fleet(stats, mark)
        elif scope == Scope.OTHERS:
            if near and not aggregates:
                self._totals.update_others(stats)
        elif self._topology.is_full_mesh or (near and aggregates):
            # otherwise the aggregator's totals contain it, and it would count twice
            self._totals.update_router(sender.vm, heartbeat.sequence or 0, stats)

    def _is_behind(self, heartbeat: Pulse) -> bool:
        """Whether the sender of a heartbeat has newer state than this router."""
        store_cache = self._store_cache
        if (heartbeat.version or 0) > store_cache.version:
            return True
        if heartbeat.digest == store_cache.digest or (heartbeat.store_age or -1) < 0:
            return False
        age = store_cache.age
        return age is None or heartbeat.store_age / 1000 < age

    def _fetch(self, sender: Member) -> None:
        now = asyncio.get_running_loop().time()
        elapsed = now - self._fetched_at
        if elapsed < (NEXT_FETCH_SECONDS if self._fetches else MIN_FETCH_SECONDS):
            return
        if len(self._fetches) >= MAX_FETCHES:
            return
        self._fetched_at = now
        task = asyncio.create_task(self._fetch_from(sender.peer_address))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    async def _fetch_from(self, address: str) -> None:
        if not await self.fetch_snapshot(address):
            # the next heartbeat of any router may start another fetch
            self._fetched_at = -math.inf
            return
        for task in self._fetches - {asyncio.current_task()}:
            task.cancel()

    def _apply_snapshot(self, state: WholeState) -> None:
        store_cache = self._store_cache
        vm = state.sender.vm
        current = self._update_era(state.era, vm)
        if state.configuration and (state.version or 0) > store_cache.version:
            store_cache.update_configuration(state.configuration, vm)
        store_cache.merge_entries(map(_from_wire, state.endpoints or ()), vm)
        store_cache.merge_drains(map(_drain_from_wire, state.zones or ()), vm)
        self._ends.restore(state.ends)
        if current and state.store_age is not None and state.store_age >= 0:
            store_cache.update_age(state.digest, state.store_age / 1000, vm)
        self._members.merge_report(MemberReport(Member.from_wire(state.sender), 0.0))
        for info in state.routers or ():
            self._members.merge_report(MemberReport.from_wire(info))
        self.on_membership_change()


def _to_milliseconds(seconds: float | None) -> int:
    return -1 if seconds is None else min(int(seconds * 1000), 1 << 30)


def _to_wire(entry: EndpointEntry) -> EndpointState:
    endpoint, revision, announcement_id = (
        entry.endpoint,
        entry.revision,
        entry.announcement_id,
    )
    state = EndpointState(
        entry.id,
        revision.number,
        endpoint is None,
        born=announcement_id.started_ms,
        era=revision.era,
        sequence=announcement_id.sequence,
    )
    if endpoint is not None:
        state.service_name = endpoint.service
        state.address = endpoint.address
        state.zone = endpoint.zone
        state.slots = endpoint.slots
        state.leaving = endpoint.leaving
        state.version = endpoint.version or None
    return state


def _from_wire(state: EndpointState) -> EndpointEntry:
    revision = Revision(state.era or 0, state.revision)
    announcement_id = AnnouncementId(state.born or 0, state.sequence or 0)
    if state.gone:
        return EndpointEntry(state.id, revision, None, announcement_id)
    endpoint = Endpoint(
        state.id,
        state.service_name or "",
        state.address or "",
        state.zone or "",
        state.slots or 1,
        bool(state.leaving),
        warmup_seconds=(state.warmup_ms or 0) / 1000,
        started_ms=announcement_id.started_ms,
        sequence=announcement_id.sequence,
        version=state.version or "",
    )
    return EndpointEntry(state.id, revision, endpoint, announcement_id)


def _drain_to_wire(drain: ZoneDrain) -> ZoneState:
    return ZoneState(
        drain.zone, drain.revision.number, drain.revision.era, drain.drained
    )


def _drain_from_wire(state: ZoneState) -> ZoneDrain:
    revision = Revision(state.era or 0, state.revision or 0)
    return ZoneDrain(state.zone, revision, bool(state.drained))

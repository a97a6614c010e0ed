"""Tell other routers what this one knows, and learn from them."""

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
)

from teaselledge_fleet.connection.codec import PROTOCOL
from teaselledge_fleet.connection.figures import (
    pack_loads,
    pack_member_ages,
    pack_member_statuses,
    pack_pulse_marks,
    pack_usage,
    unpack_loads,
    unpack_member_statuses,
    unpack_pulse_marks,
    unpack_usage,
)
from teaselledge_fleet.connection.peers import StateClient
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.admission import AdmissionController
from teaselledge_fleet.process.admissionrpc import PeerTransport
from teaselledge_fleet.process.advertised import AdvertisedLog
from teaselledge_fleet.process.coordinators import Coordinators
from teaselledge_fleet.process.endpoints import AnnouncementId, Endpoint, EndpointEntry
from teaselledge_fleet.process.forwarding import (
    Delivery,
    SeenMessages,
    plan_deliveries,
)
from teaselledge_fleet.process.members import Member, MemberReport, Members
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.sent import NO_MARK, LoadStats
from teaselledge_fleet.process.shares import OrganisationShares
from teaselledge_fleet.process.stalls import StallDetector
from teaselledge_fleet.process.storecache import StoreCache
from teaselledge_fleet.process.sums import LoadTotals
from teaselledge_fleet.process.topology import Scope, Topology
from teaselledge_fleet.process.work import FleetLoad, name_hash

__all__ = ["Gossip"]

_log = get_log("peers")

PULSE_SECONDS = 0.25
"""Time between two pulses to a router.

What routers have under way at an engine changes within the time that a long prompt
takes to read, about 0.2 s. Half as often saves 2 KB/s a router at nine routers.
"""

CHANGES_A_PULSE = 8
"""Changed entries in one datagram; each takes about 80 bytes, and a datagram over
1,400 bytes would be sent in parts."""

REPEATED = 3
"""Pulses in which a change is told, against losses."""

REPEAT_SECONDS = 0.1
"""Time between these pulses in a fleet in which news is passed on by several routers. A
lost datagram holds it up for a whole zone."""

REPORTS = 2
"""Other routers named in some pulses."""

INTRODUCED = 8
"""Routers of its zone that a newcomer is told of."""

REPORT_EVERY = 4
"""Pulses of which one names other routers; each name takes 90 bytes."""

CALM_PULSE_SECONDS = 0.4
"""Time between two pulses in a fleet in which routers tell their zone only."""

SUMS_SECONDS = 0.35
"""Least time between two sums of an aggregator; its pulses between them tell news only.

Pulses come more often while there is news.
"""

NEWS_SECONDS = 0.3
"""Advance of what is known of the store that is passed on at once."""

SOONEST_SECONDS = 0.03
"""Least time between two pulses."""

STARTING_SECONDS = 3.0
"""Time after its start in which a router may not know all others yet."""

MOST_HOPS = 10
"""Routers that pass one pulse on. Eight reach 500; one that goes further is lost in a
circle of routers that disagree."""

FETCH_PAUSE = 0.4
"""Least time between two fetches of a whole state."""


class Gossip:
    """Sends pulses to the other routers and takes theirs."""

    def __init__(
        self,
        members: Members,
        belief: StoreCache,
        seeds: Iterable[str],
        work: FleetLoad,
        admission: AdmissionController,
        shares: OrganisationShares,
        socket: PeerTransport,
        coordinators: Coordinators,
        stalls: StallDetector | None = None,
    ) -> None:
        self._members = members
        self._belief = belief
        self._seeds = tuple(seeds)
        self._work = work
        self._sums = LoadTotals(work, shares, admission)
        self._coordinators = coordinators
        self._advertised_log = AdvertisedLog(members)
        self._topology = Topology(members)
        self._socket = socket
        socket.on(Pulse, self._hear)
        self._client = StateClient()
        self._sequence = 0
        self._turn = 0
        self._started = asyncio.get_running_loop().time()
        self._told: list[tuple[EndpointEntry, int]] = []
        self._next_fetch = 0.0
        self._noted_unheard_at = -math.inf
        self._stalls = stalls or StallDetector()
        self._passed = SeenMessages()
        self._sums_told = 0
        self._summed_at = -math.inf
        self._fetching: asyncio.Task[None] | None = None
        self._soon = asyncio.Event()
        self.on_membership_change: Callable[[], None] = lambda: None
        self._repeats = 0
        belief.on_change.append(self._repeat_soon)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Take other seeds."""
        self._seeds = tuple(seeds)

    async def run(self) -> None:
        """Send pulses for ever, and at once after a change."""
        while True:
            self.send_heartbeats()
            self._soon.clear()
            await asyncio.sleep(SOONEST_SECONDS)
            try:
                async with asyncio.timeout(self._next_pause()):
                    await self._soon.wait()
            except TimeoutError:
                continue

    def _next_pause(self) -> float:
        """Return the time until the next pulse, unless there is news."""
        if self._topology.is_full_mesh:
            return PULSE_SECONDS * random.uniform(0.9, 1.1)
        if self._repeats:
            self._repeats -= 1
            return REPEAT_SECONDS
        return CALM_PULSE_SECONDS * random.uniform(0.9, 1.1)

    def _repeat_soon(self) -> None:
        """Tell a change at once, and some times more."""
        self._repeats = REPEATED - 1
        self._soon.set()

    def send_heartbeats(self) -> None:
        """Send a pulse to each router that is to be told."""
        self._stalls.tick()
        self._advertised_log.update()
        self._note_unheard()
        changes = self._next_changes()
        self._turn += 1
        sums_due = self._sums_due()
        for audience in self._topology.recipient_groups():
            scope = audience.scope
            if scope in (Scope.FLEET, Scope.ZONE) and not sums_due:
                scope = Scope.NEWS
            self._deliver(self._make(scope, changes), audience.deliveries)
        told = {member.peer_address for member in self._members.peers}
        seeds = set(self._seeds) - told - {self._members.own.peer_address}
        if seeds:
            self._socket.send_all(sorted(seeds), self._make(Scope.OWN, changes))

    def snapshot(self) -> WholeState:
        """Return everything this router knows."""
        belief = self._belief
        return WholeState(
            PROTOCOL,
            self._members.own.to_wire(),
            belief.version,
            belief.configuration,
            belief.view.digest,
            _milliseconds(belief.age),
            [_to_wire(entry) for entry in belief.view],
            [report.to_wire() for report in self._members.reports],
            belief.era,
        )

    async def fetch_snapshot(self, address: str) -> bool:
        """Fetch everything that a router knows; False where that failed."""
        fetched = await self._client.fetch(address)
        if fetched.is_error():
            _log.info("state not fetched", peer=address, error=fetched.error)
            return False
        self._take_state(fetched.ok)
        return True

    def close(self) -> None:
        """End all calls."""
        self._client.close()

    def _note_unheard(self) -> None:
        """Tell how many routers there are for each whose work is known.

        When all routers start at the same time, each of them sees idle engines until
        it hears the others, and together they send the engines nine times what they
        can read. So those that are not heard yet count like those that are.
        """
        now = asyncio.get_running_loop().time()
        if now - self._noted_unheard_at < SOONEST_SECONDS:
            return
        self._noted_unheard_at = now
        members = self._members
        others, answering = members.peers, members.alive
        if not self._topology.is_full_mesh:
            zone = members.own.zone
            others = [m for m in others if m.zone == zone]
            answering = [m for m in answering if m.zone == zone]
        known, heard = len(others) + 1, len(answering) + 1
        starting = now - self._started < STARTING_SECONDS
        missing = starting or 2 * heard < known
        self._work.extrapolation_factor = known / heard if missing else 1.0

    def _next_changes(self) -> list[EndpointState]:
        """Return the changes to be told now."""
        self._told += [(entry, REPEATED) for entry in self._belief.pop_changes()]
        now, later = self._told[:CHANGES_A_PULSE], self._told[CHANGES_A_PULSE:]
        self._told = later + [(entry, left - 1) for entry, left in now if left > 1]
        if later:
            self._soon.set()
        return [_to_wire(entry) for entry, _ in now]

    def _sums_due(self) -> bool:
        """Whether it is time for an aggregator to tell its sums."""
        now = asyncio.get_running_loop().time()
        if now - self._summed_at < SUMS_SECONDS:
            return False
        self._summed_at = now
        self._sums_told += 1
        return True

    def _make(self, scope: Scope, changes: list[EndpointState]) -> Pulse:
        """Return the pulse of a scope."""
        belief = self._belief
        members = self._members
        zone_peers = members.zone_peers
        alive = zone_peers if scope is Scope.FLEET else []
        reports = [members.report(peer) for peer in alive]
        self._sequence += 1
        pulse = Pulse(
            PROTOCOL,
            members.own.to_wire(),
            self._sequence,
            belief.version,
            belief.view.digest,
            _milliseconds(belief.age),
            belief.poller,
            changes,
            int(scope),
            others=self._reports(self._to_report()),
            alive=pack_member_statuses(reports),
            alive_ages=pack_member_ages(reports),
            admitting=[member.to_wire() for member in self._admitting(scope)],
            era=belief.era,
        )
        if alive:
            marks = [self._sums.mark(peer.vm) for peer in alive]
            pulse.alive_marks = pack_pulse_marks(marks)
        figures = self._sums.for_scope(scope, zone_peers)
        if figures is None:
            return pulse
        if scope is Scope.OWN:
            self._sums.record_sent(self._sequence, figures)
        pulse.work = pack_loads(figures.work)
        pulse.uses = pack_usage(figures.uses)
        return pulse

    def _deliver(self, pulse: Pulse, copies: Iterable[Delivery]) -> None:
        """Send a pulse to the first routers that get it."""
        direct = [
            delivery.recipient.peer_address
            for delivery in copies
            if not delivery.forward_to
        ]
        self._socket.send_all(direct, pulse)
        for delivery in copies:
            if delivery.forward_to:
                passed = copy.copy(pulse)
                passed.pass_to = delivery.forward_to
                if delivery.unknown_members and pulse.scope == Scope.ZONE:
                    passed.others = self._reports(delivery.unknown_members)
                self._socket.send(delivery.recipient.peer_address, passed)

    def _admitting(self, scope: Scope) -> list[Member]:
        """Return the routers that admit in one zone, a different one each time."""
        own = self._members.own.zone
        if scope is Scope.ZONE:
            return self._coordinators.for_zone(own)
        zones = sorted(self._topology.other_zones)
        if scope is not Scope.FLEET or not zones:
            return []
        return self._coordinators.for_zone(zones[self._sums_told % len(zones)])

    def _reports(self, members: Iterable[Member]) -> list[RouterInfo]:
        return [self._members.report(member).to_wire() for member in members]

    def _to_report(self) -> list[Member]:
        """Return some routers that the receivers may not hear themselves."""
        if self._turn % REPORT_EVERY:
            return []
        members = self._members
        known = members.alive
        if not self._topology.is_full_mesh and self._topology.is_aggregator:
            # the zone's own routers are told with their ages already
            known = [m for m in members.ready if m.zone != members.own.zone]
        return random.sample(known, min(REPORTS, len(known)))

    def _hear(self, pulse: Pulse, address: str) -> None:
        sender = Member.from_wire(pulse.sender)
        if sender.vm == self._members.own.vm:
            return
        relayed = bool(pulse.hops)
        passes_on = relayed or bool(pulse.pass_to) or pulse.scope == Scope.ZONE
        if passes_on and self._stalls.recently_stalled:
            # what waited while this VM was frozen is no news
            return
        for info in pulse.others or ():
            if self._members.merge_report(MemberReport.from_wire(info)):
                self.on_membership_change()
        if passes_on and not self._pass_on(sender, pulse):
            return
        self._note_unheard()
        if not self._members.is_known(sender.vm):
            self._introduce(sender)
        if self._members.update_from_heartbeat(sender, relayed):
            _log.info(
                "router heard",
                vm=sender.vm,
                incarnation=sender.incarnation,
                state=sender.state.name.lower(),
                relayed=relayed,
            )
            self.on_membership_change()
        self._coordinators.set_zone_coordinators(
            [Member.from_wire(m) for m in pulse.admitting or ()]
        )
        belief = self._belief
        known_at = belief.as_of
        current = self._note_era(pulse.era, sender.vm)
        if pulse.changes:
            belief.merge_entries(map(_from_wire, pulse.changes), sender.vm)
        if current and pulse.store_age is not None and pulse.store_age >= 0:
            belief.update_age(
                pulse.digest, pulse.store_age / 1000, pulse.follower or ""
            )
        self._take_alive(sender, pulse)
        if pulse.work is not None or pulse.uses is not None:
            self._hear_figures(sender, pulse)
        news = (
            belief.as_of is not None and belief.as_of > (known_at or 0) + NEWS_SECONDS
        )
        if news and not relayed:
            # pass on at once that the store was read, so that nobody else reads it
            self._soon.set()
        if self._behind(pulse):
            self._fetch(sender)

    def _note_era(self, era: int | None, source: str) -> bool:
        """Whether a router tells of the store as it is, not before it went back."""
        return era is None or self._belief.update_era(era, source)

    def _pass_on(self, sender: Member, pulse: Pulse) -> bool:
        """Pass a pulse on to those for whom it is; False where it came before."""
        if not self._passed.add(sender.incarnation, pulse.sequence or 0):
            return False
        members = self._members
        passed = copy.copy(pulse)
        passed.pass_to = None
        passed.hops = (pulse.hops or 0) + 1
        if passed.hops < MOST_HOPS:
            keys = [*(pulse.pass_to or ()), *self._meant_for(sender, pulse)]
            region = members.own.region
            self._deliver(passed, plan_deliveries(keys, region, members.find_by_hash))
        return True

    def _meant_for(self, sender: Member, pulse: Pulse) -> list[int]:
        """Return who should have got a pulse that came here by mistake.

        Aggregators know few routers of other zones, and take one of them for its
        aggregator. That one would not hear of them, nor tell them of itself.
        """
        aggregator = self._topology.aggregator
        near = sender.zone == aggregator.zone
        if pulse.scope != Scope.ZONE or near or self._topology.is_aggregator:
            return []
        return [name_hash(aggregator.vm)]

    def _take_alive(self, sender: Member, pulse: Pulse) -> None:
        """Take which routers of this zone its aggregator hears."""
        near = sender.zone == self._members.own.zone
        if not pulse.alive or not near or self._topology.is_aggregator:
            return
        alive = unpack_member_statuses(pulse.alive, pulse.alive_ages or b"")
        self._members.update_from_aggregator(alive)

    def _introduce(self, newcomer: Member) -> None:
        """Answer a router that is not known, and name routers of its zone.

        It may know nobody but seeds, which tell their own zones only. Unheard in its
        zone it would take no callers, and names none but itself to those who ask.
        """
        zone_peers = [m for m in self._members.peers if m.zone == newcomer.zone]
        pulse = self._make(Scope.OWN, [])
        named = random.sample(zone_peers, min(INTRODUCED, len(zone_peers)))
        pulse.others = self._reports(named)
        self._socket.send(newcomer.peer_address, pulse)

    def _hear_figures(self, sender: Member, pulse: Pulse) -> None:
        scope = pulse.scope or Scope.OWN
        near = sender.zone == self._members.own.zone
        aggregates = self._topology.is_aggregator
        work = unpack_loads(pulse.work or b"")
        figures = LoadStats(work, unpack_usage(pulse.uses or b""))
        if scope == Scope.ZONE:
            if not near and aggregates:
                self._topology.record_aggregator(sender)
                self._sums.update_zone(sender.zone, figures)
                self._sums.discard_previous_total(self._topology.other_zones)
        elif scope == Scope.FLEET:
            if near and not aggregates:
                marks = unpack_pulse_marks(pulse.alive or b"", pulse.alive_marks or b"")
                mark = marks.get(name_hash(self._members.own.vm), NO_MARK)
                self._sums.update_fleet(figures, mark)
        elif scope == Scope.OTHERS:
            if near and not aggregates:
                self._sums.update_others(figures)
        elif self._topology.is_full_mesh or (near and aggregates):
            # else the aggregator tells of its work, and it must not count twice
            self._sums.update_router(sender.vm, pulse.sequence or 0, figures)

    def _behind(self, pulse: Pulse) -> bool:
        """Whether the sender of a pulse knows what this router doesn't."""
        belief = self._belief
        if (pulse.version or 0) > belief.version:
            return True
        if pulse.digest == belief.view.digest or (pulse.store_age or -1) < 0:
            return False
        age = belief.age
        return age is None or pulse.store_age / 1000 < age

    def _fetch(self, sender: Member) -> None:
        now = asyncio.get_running_loop().time()
        if self._fetching is not None and not self._fetching.done():
            return
        if now < self._next_fetch:
            return
        self._next_fetch = now + FETCH_PAUSE
        self._fetching = asyncio.create_task(self._fetch_from(sender.peer_address))

    async def _fetch_from(self, address: str) -> None:
        if not await self.fetch_snapshot(address):
            # another sender's next pulse starts the next fetch
            self._next_fetch = 0.0

    def _take_state(self, state: WholeState) -> None:
        belief = self._belief
        vm = state.sender.vm
        current = self._note_era(state.era, vm)
        if state.configuration and (state.version or 0) > belief.version:
            belief.update_configuration(state.configuration, vm)
        belief.merge_entries(map(_from_wire, state.endpoints or ()), vm)
        if current and state.store_age is not None and state.store_age >= 0:
            belief.update_age(state.digest, state.store_age / 1000, vm)
        self._members.merge_report(MemberReport(Member.from_wire(state.sender), 0.0))
        for info in state.routers or ():
            self._members.merge_report(MemberReport.from_wire(info))
        self.on_membership_change()


def _milliseconds(seconds: float | None) -> int:
    return -1 if seconds is None else min(int(seconds * 1000), 1 << 30)


def _to_wire(entry: EndpointEntry) -> EndpointState:
    endpoint, revision, statement = (
        entry.endpoint,
        entry.revision,
        entry.announcement_id,
    )
    state = EndpointState(
        entry.id,
        revision.number,
        endpoint is None,
        born=statement.started_ms,
        era=revision.era,
        sequence=statement.sequence,
    )
    if endpoint is not None:
        state.service_name = endpoint.service
        state.address = endpoint.address
        state.zone = endpoint.zone
        state.slots = endpoint.slots
        state.leaving = endpoint.leaving
    return state


def _from_wire(state: EndpointState) -> EndpointEntry:
    revision = Revision(state.era or 0, state.revision)
    statement = AnnouncementId(state.born or 0, state.sequence or 0)
    if state.gone:
        return EndpointEntry(state.id, revision, None, statement)
    endpoint = Endpoint(
        state.id,
        state.service_name or "",
        state.address or "",
        state.zone or "",
        state.slots or 1,
        bool(state.leaving),
        started_ms=statement.started_ms,
        sequence=statement.sequence,
    )
    return EndpointEntry(state.id, revision, endpoint, statement)

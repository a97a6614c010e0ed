"""Tell other routers what this one knows, and learn from them."""

import asyncio
import copy
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from teaselledge_wire.gen.fleet.ttypes import (
    EndpointState,
    Pulse,
    RouterInfo,
    WholeState,
)

from teaselledge_fleet.connection.codec import PROTOCOL
from teaselledge_fleet.connection.figures import (
    pack_ages,
    pack_alive,
    pack_uses,
    pack_work,
    unpack_alive,
    unpack_uses,
    unpack_work,
)
from teaselledge_fleet.connection.peers import StateClient
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.admission import Admission
from teaselledge_fleet.process.advertised import AdvertisedLog
from teaselledge_fleet.process.asking import Socket
from teaselledge_fleet.process.belief import Belief
from teaselledge_fleet.process.coordinators import Coordinators
from teaselledge_fleet.process.endpoints import Endpoint, Entry
from teaselledge_fleet.process.members import Member, Members, Report
from teaselledge_fleet.process.shares import OrganisationShares, Use
from teaselledge_fleet.process.topology import Scope, Topology
from teaselledge_fleet.process.work import FleetWork, Work

__all__ = ["Spreading"]

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

REPORTS = 2
"""Other routers named in some pulses."""

INTRODUCED = 8
"""Routers of its zone that a newcomer is told of."""

REPORT_EVERY = 4
"""Pulses of which one names other routers; each name takes 90 bytes."""

CALM_PULSE_SECONDS = 0.4
"""Time between two pulses in a fleet in which routers tell their zone only. A zone may
have 15 routers, and each pulse goes to all of them."""

ADMITTING_EVERY = 2
"""Pulses of which one tells who admits in one zone, 360 bytes; 21 zones take 17 s."""

NEWS_SECONDS = 0.3
"""Advance of what is known of the store that is passed on at once."""

SOONEST_SECONDS = 0.03
"""Least time between two pulses."""

OTHERS_SOURCE = "all others"

STARTING_SECONDS = 3.0
"""Time after its start in which a router may not know all others yet."""

FETCH_PAUSE = 0.4
"""Least time between two fetches of a whole state."""


@dataclass(frozen=True)
class _Known:
    """What a router tells in all pulses of one moment.

    An aggregator sends each router of its zone another sum, and would look all this up
    for each of them.

    Attributes
    ----------
    work : dict of int to Work
        At the endpoints to which this router admits.
    uses : dict of int to Use
        Of organisations, by its own requests.
    mates : list of Member
        Other routers of its zone that answer.
    """

    work: dict[int, Work]
    uses: dict[int, Use]
    mates: list[Member]


class Spreading:
    """Sends pulses to the other routers and takes theirs."""

    def __init__(
        self,
        members: Members,
        belief: Belief,
        seeds: Iterable[str],
        work: FleetWork,
        admission: Admission,
        shares: OrganisationShares,
        socket: Socket,
        coordinators: Coordinators,
    ) -> None:
        self._members = members
        self._belief = belief
        self._seeds = tuple(seeds)
        self._work = work
        self._admission = admission
        self._coordinators = coordinators
        self._shares = shares
        self._advertised_log = AdvertisedLog(members)
        self._topology = Topology(members)
        self._socket = socket
        socket.on(Pulse, self._hear)
        self._client = StateClient()
        self._sequence = 0
        self._started = asyncio.get_running_loop().time()
        self._told: list[tuple[Entry, int]] = []
        self._next_fetch = 0.0
        self._heard_zones: set[str] = set()
        self._fetching: asyncio.Task[None] | None = None
        self._soon = asyncio.Event()
        self.on_members: Callable[[], None] = lambda: None
        belief.on_change.append(self._soon.set)

    def use_seeds(self, seeds: Iterable[str]) -> None:
        """Take other seeds."""
        self._seeds = tuple(seeds)

    async def run(self) -> None:
        """Send pulses for ever, and at once after a change."""
        while True:
            self.pulse()
            self._soon.clear()
            await asyncio.sleep(SOONEST_SECONDS)
            period = PULSE_SECONDS if self._topology.flat else CALM_PULSE_SECONDS
            try:
                async with asyncio.timeout(period * random.uniform(0.9, 1.1)):
                    await self._soon.wait()
            except TimeoutError:
                continue

    def pulse(self) -> None:
        """Send a pulse to each router that is to be told."""
        self._advertised_log.update()
        self._note_unheard()
        changes = self._next_changes()
        self._sequence += 1
        known = self._known()
        common: dict[Scope, Pulse] = {}
        for audience in self._topology.audiences():
            scope = audience.scope
            if scope not in common:
                common[scope] = self._make(scope, changes, known)
            pulse = self._fill(common[scope], audience.members, known)
            for member in audience.members:
                self._socket.send(member.peers, pulse)
        told = {member.peers for member in self._members.others}
        for seed in self._seeds:
            if seed not in told and seed != self._members.own.peers:
                pulse = self._make(Scope.OWN, changes, known)
                self._socket.send(seed, self._fill(pulse, [], known))

    def state(self) -> WholeState:
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
        )

    async def learn_from(self, address: str) -> bool:
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
        members = self._members
        others, answering = members.others, members.answering
        if not self._topology.flat:
            zone = members.own.zone
            others = [m for m in others if m.zone == zone]
            answering = [m for m in answering if m.zone == zone]
        known, heard = len(others) + 1, len(answering) + 1
        starting = asyncio.get_running_loop().time() - self._started < STARTING_SECONDS
        missing = starting or 2 * heard < known
        self._work.unheard = known / heard if missing else 1.0

    def _next_changes(self) -> list[EndpointState]:
        """Return the changes to be told now."""
        self._told += [(entry, REPEATED) for entry in self._belief.take_changes()]
        now, later = self._told[:CHANGES_A_PULSE], self._told[CHANGES_A_PULSE:]
        self._told = later + [(entry, left - 1) for entry, left in now if left > 1]
        if later:
            self._soon.set()
        return [_to_wire(entry) for entry, _ in now]

    def _known(self) -> _Known:
        zone = self._members.own.zone
        mates = [m for m in self._members.answering if m.zone == zone]
        return _Known(self._admission.totals(), self._shares.own(), mates)

    def _make(self, scope: Scope, changes: list[EndpointState], known: _Known) -> Pulse:
        """Return what all pulses of a scope have in common."""
        belief = self._belief
        members = self._members
        mates = known.mates if scope is Scope.OTHERS else []
        alive = [members.report(mate) for mate in mates]
        return Pulse(
            PROTOCOL,
            members.own.to_wire(),
            self._sequence,
            belief.version,
            belief.view.digest,
            _milliseconds(belief.age),
            belief.follower,
            changes,
            int(scope),
            alive=pack_alive(alive),
            alive_ages=pack_ages(alive),
            admitting=[member.to_wire() for member in self._admitting(scope)],
        )

    def _fill(self, common: Pulse, receivers: list[Member], known: _Known) -> Pulse:
        """Return a pulse with what differs from receiver to receiver."""
        scope = Scope(common.scope)
        work, uses = self._figures(scope, receivers, known)
        pulse = copy.copy(common)
        pulse.work = pack_work(work)
        pulse.uses = pack_uses(uses)
        pulse.others = self._reports(self._to_report(scope))
        return pulse

    def _admitting(self, scope: Scope) -> list[Member]:
        """Return the routers that admit in one zone, a different one each time."""
        if scope is Scope.OWN or self._sequence % ADMITTING_EVERY:
            return []
        own = self._members.own.zone
        if scope is Scope.ZONE:
            return self._coordinators.of_zone(own)
        zones = sorted({m.zone for m in self._members.others} - {own})
        if not zones:
            return []
        turn = self._sequence // ADMITTING_EVERY
        return self._coordinators.of_zone(zones[turn % len(zones)])

    def _figures(
        self, scope: Scope, receivers: list[Member], known: _Known
    ) -> tuple[dict[int, Work], dict[int, Use]]:
        """Return the work and use that a scope stands for."""
        if scope is Scope.OWN:
            return known.work, known.uses
        work, uses = dict(known.work), dict(known.uses)
        sources = {member.vm for member in known.mates}
        if scope is Scope.OTHERS:
            sources -= {member.vm for member in receivers}
            sources |= {_zone_source(zone) for zone in self._heard_zones}
        for key, each in self._work.from_sources(sources).items():
            work[key] = work.get(key, Work()) + each
        for key, use in self._shares.from_sources(sources).items():
            uses[key] = uses.get(key, Use()) + use
        return work, uses

    def _reports(self, members: Iterable[Member]) -> list[RouterInfo]:
        return [self._members.report(member).to_wire() for member in members]

    def _to_report(self, scope: Scope) -> list[Member]:
        """Return some routers that the receivers may not hear themselves."""
        if self._sequence % REPORT_EVERY:
            return []
        members = self._members
        known = members.answering
        if scope is Scope.OTHERS:
            # the zone's own routers are told with their ages already
            known = [m for m in members.ready if m.zone != members.own.zone]
        return random.sample(known, min(REPORTS, len(known)))

    def _hear(self, pulse: Pulse, address: str) -> None:
        sender = Member.from_wire(pulse.sender)
        if sender.vm == self._members.own.vm:
            return
        self._note_unheard()
        if not self._members.knows(sender.vm):
            self._introduce(sender)
        if self._members.hear(sender):
            _log.info(
                "router heard",
                vm=sender.vm,
                incarnation=sender.incarnation,
                state=sender.state.name.lower(),
            )
            self.on_members()
        for info in pulse.others or ():
            if self._members.learn(Report.from_wire(info)):
                self.on_members()
        self._coordinators.hear([Member.from_wire(m) for m in pulse.admitting or ()])
        belief = self._belief
        known_at = belief.as_of
        if pulse.changes:
            belief.take_news(map(_from_wire, pulse.changes), sender.vm)
        if pulse.store_age is not None and pulse.store_age >= 0:
            belief.confirm(pulse.digest, pulse.store_age / 1000, pulse.follower or "")
        self._hear_figures(sender, pulse)
        if belief.as_of is not None and belief.as_of > (known_at or 0) + NEWS_SECONDS:
            # pass on at once that the store was read, so that nobody else reads it
            self._soon.set()
        if self._behind(pulse):
            self._fetch(sender)

    def _introduce(self, newcomer: Member) -> None:
        """Answer a router that is not known, and name routers of its zone.

        It may know nobody but seeds, which tell their own zones only. Unheard in its
        zone it would take no callers, and names none but itself to those who ask.
        """
        mates = [m for m in self._members.others if m.zone == newcomer.zone]
        known = self._known()
        pulse = self._fill(self._make(Scope.OWN, [], known), [newcomer], known)
        named = random.sample(mates, min(INTRODUCED, len(mates)))
        pulse.others = self._reports(named)
        self._socket.send(newcomer.peers, pulse)

    def _hear_figures(self, sender: Member, pulse: Pulse) -> None:
        scope = pulse.scope or Scope.OWN
        near = sender.zone == self._members.own.zone
        aggregates = self._topology.aggregates
        source = sender.vm
        if scope == Scope.ZONE:
            if near or not aggregates:
                return
            self._heard_zones.add(sender.zone)
            source = _zone_source(sender.zone)
            # what it heard of all others before it spoke must not count twice
            self._forget(OTHERS_SOURCE)
        elif scope == Scope.OTHERS:
            if aggregates or not near:
                return
            source = OTHERS_SOURCE
            self._work.keep_source(source)
            self._shares.keep_source(source)
            alive = unpack_alive(pulse.alive or b"", pulse.alive_ages or b"")
            self._members.take_statuses(alive)
        elif not self._topology.flat and not (near and aggregates):
            # the aggregator tells of its work; it must not count twice
            return
        self._work.hear(source, unpack_work(pulse.work or b""))
        self._shares.hear(source, unpack_uses(pulse.uses or b""))

    def _forget(self, source: str) -> None:
        self._work.hear(source, {})
        self._shares.hear(source, {})

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
        self._fetching = asyncio.create_task(self._fetch_from(sender.peers))

    async def _fetch_from(self, address: str) -> None:
        if not await self.learn_from(address):
            # another sender's next pulse starts the next fetch
            self._next_fetch = 0.0

    def _take_state(self, state: WholeState) -> None:
        belief = self._belief
        vm = state.sender.vm
        if state.configuration and (state.version or 0) > belief.version:
            belief.take_configuration(state.configuration, vm)
        belief.take_news(map(_from_wire, state.endpoints or ()), vm)
        if state.store_age is not None and state.store_age >= 0:
            belief.confirm(state.digest, state.store_age / 1000, vm)
        self._members.learn(Report(Member.from_wire(state.sender), 0.0))
        for info in state.routers or ():
            self._members.learn(Report.from_wire(info))
        self.on_members()


def _zone_source(zone: str) -> str:
    return f"zone {zone}"


def _milliseconds(seconds: float | None) -> int:
    return -1 if seconds is None else min(int(seconds * 1000), 1 << 30)


def _to_wire(entry: Entry) -> EndpointState:
    endpoint = entry.endpoint
    if endpoint is None:
        return EndpointState(entry.id, entry.revision, True)
    return EndpointState(
        entry.id,
        entry.revision,
        False,
        endpoint.service,
        endpoint.address,
        endpoint.zone,
        endpoint.slots,
        endpoint.leaving,
        endpoint.born,
    )


def _from_wire(state: EndpointState) -> Entry:
    if state.gone:
        return Entry(state.id, state.revision, None)
    endpoint = Endpoint(
        state.id,
        state.service_name or "",
        state.address or "",
        state.zone or "",
        state.slots or 1,
        bool(state.leaving),
        0.0,
        state.born or 0,
    )
    return Entry(state.id, state.revision, endpoint)

"""Membership of the fleet, from heartbeats, gossip and the platform's list."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random

from teaselledge_wire.gen.router.ttypes import (
    Beat,
    EndpointNews,
    Gossip,
    Heartbeat,
    Message,
    Rumour,
)

from teaselledge.log import get_log
from teaselledge.platform import VmEntry, VmList
from teaselledge.process.endpointstatus import (
    EndpointKey,
    EndpointStatus,
    EndpointStatusTable,
)
from teaselledge.process.gossip import neighbours
from teaselledge.process.liveness import (
    REFUTE_BEATS,
    Change,
    MemberRecord,
    MembershipView,
    State,
)
from teaselledge.process.member import Member
from teaselledge.process.mesh import Mesh, Origin, make_message

__all__ = [
    "HEARTBEAT_SECONDS",
    "Membership",
    "HEARTBEAT_TIMEOUT_SECONDS",
    "SUSPICION_TIMEOUT_SECONDS",
]

_log = get_log("members")

HEARTBEAT_SECONDS = 1.0
HEARTBEAT_TIMEOUT_SECONDS = 3.2
"""Time without a response after which a router is suspected."""

SUSPICION_TIMEOUT_SECONDS = 0.9
"""Time after which a suspected router is dead unless someone refutes it."""

MAX_HEARTBEAT_TIMEOUT_SECONDS = 60.0
"""Limit of the heartbeat timeout, which doubles with each suspicion of a router."""

AUDIT_BEATS = 5
"""Heartbeats between two checks of a router chosen round robin."""

PRUNE_BEATS = 60
"""Heartbeats between two removals of expired state."""

JOIN_FANOUT = 3
"""Number of unknown or dead routers contacted per heartbeat."""

LIST_READS_PER_SECOND = 4.0
"""Target rate for the whole fleet of reads of the platform's list."""

LIST_JITTER_FRACTION = 0.2
"""Random variation of the time between reads, which spreads them over time."""

LIST_TRUST_SECONDS = 30.0
"""Age of an incarnation from which a leaving mark in the list applies to it.

The list lags: for a younger incarnation the mark may mean its predecessor.
"""

MISMATCHED_BEATS = 4
"""Heartbeats with a different digest after which full views are exchanged."""

MIN_SYNC_GAP_SECONDS = 20.0
"""Minimum time between two exchanges of full views."""

RETAIN_DEAD_SECONDS = 7200.0
"""Time for which dead routers are retained and contacted in case they are back."""

PACKET_EXPIRY_SECONDS = 300.0
"""Time after which no packet of a process that has ended can arrive."""

MAX_REPORTS_PER_MESSAGE = 200

JOIN_SECONDS = 5.0
"""Time after the start in which updates on over JOIN_FANOUT routers stay local."""


class Membership:
    """This router's view of the fleet; views differ between VMs for seconds.

    Every router sends heartbeats to a few neighbours and expects one in
    response. Each router forwards a change at once when it receives it. A router
    that does not respond becomes suspect; routers that have received a later
    heartbeat from it refute the suspicion; otherwise it is declared dead.
    """

    def __init__(
        self,
        own: Member,
        mesh: Mesh,
        vm_list: VmList,
        load: Callable[[], float],
        version: Callable[[], int],
        seeds: Iterable[str] = (),
    ) -> None:
        self._own = own
        self._mesh = mesh
        self._vm_list = vm_list
        self._load = load
        self._version = version
        self._seeds = tuple(f"@{seed}" for seed in seeds)
        self._leaving = False
        self._superseded = False
        self._beat_number = 1
        self._view = MembershipView()
        self._listed: dict[str, VmEntry] = {}
        self._unlisted_since: dict[str, float] = {}
        self._first_seen: dict[tuple[str, int], float] = {}
        # loop time of the first heartbeat without a response
        self._unanswered_since: dict[str, float] = {}
        self._last_beat_at: dict[str, float] = {}
        self._timeout_seconds: dict[str, float] = {}
        self._refused_at: dict[str, float] = {}
        self._mismatches: dict[str, int] = {}
        self._others_cache: tuple[int, float, list[Member]] = (-1, 0.0, [])
        self._neighbours_cache: tuple[int, list[str]] = (-1, [])
        self._endpoint_status = EndpointStatusTable(f"{own.vm}/{own.incarnation:x}")
        self._callbacks: list[Callable[[], None]] = []
        self._next_sync = 0.0
        self._last_tick: float | None = None
        self._audit_count = 0
        self._list_failed = False
        self._had_blocked_endpoints = False
        self._announced_configured = version() > 0
        self._started = float("inf")
        mesh.subscribe("heartbeat", self._on_heartbeat)
        mesh.subscribe("beat", self._on_beat)
        mesh.subscribe("gossip", self._on_gossip)

    @property
    def own(self) -> Member:
        """This router."""
        return replace(
            self._own,
            leaving=self._leaving,
            version=self._version(),
            load=self._load(),
        )

    @property
    def superseded(self) -> bool:
        """Whether a newer process uses this VM's name."""
        return self._superseded

    @property
    def list_reachable(self) -> bool:
        """Whether the last read of the platform's list succeeded."""
        return not self._list_failed

    def update_own(self, own: Member) -> None:
        """Replace the data that this router announces about itself."""
        self._own = own

    def hello(self) -> Heartbeat:
        """Return the first message that this router sends on each connection."""
        own = self.own
        return Heartbeat(
            own.vm,
            own.incarnation,
            own.zone,
            own.region,
            own.leaving,
            own.version,
            own.peer_address,
            own.caller_address,
            own.load,
            [],
            [],
            [],
            own.operator_address,
        )

    def load_reports(self, reports: Iterable[Rumour]) -> None:
        """Merge member reports without forwarding them."""
        now = asyncio.get_running_loop().time()
        for report in reports:
            self._view.merge(report, now)
            self._first_seen.setdefault((report.vm, report.incarnation), now)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a function to call when members or endpoint notices change."""
        self._callbacks.append(callback)

    def announce_leaving(self) -> None:
        """Announce that this router accepts no new work."""
        if self._leaving:
            return
        self._leaving = True
        self._beat_number += 1
        self._forward([self._own_report()], [])
        self._notify_callbacks()

    def announce_shutdown(self) -> None:
        """Announce to the neighbours that this process ends now."""
        report = self._own_report()
        report.state = int(State.DEAD)
        self._forward([report], [])

    def live(self) -> list[Member]:
        """Return this router and the others that are not dead.

        States and leaving marks are current; loads may be a second old.
        """
        now = asyncio.get_running_loop().time()
        epoch, cached_at, others = self._others_cache
        if epoch != self._view.epoch or now - cached_at >= HEARTBEAT_SECONDS:
            members = (record.member for record in self._view.live_records())
            others = [member for member in members if member.vm != self._own.vm]
            self._others_cache = (self._view.epoch, now, others)
        return [self.own, *others]

    def find(self, vm: str) -> Member | None:
        """Return another live router, None if it is unknown or dead."""
        record = self._view.current(vm)
        return record.member if record is not None else None

    def reachable_members(self) -> list[Member]:
        """Return the live routers reachable in both directions.

        A router with a connection that works in one direction only is live for
        the fleet, but this router can't use it as a dispatcher.
        """
        now = asyncio.get_running_loop().time()
        unreachable = {
            vm
            for vm, at in self._unanswered_since.items()
            if now - at >= HEARTBEAT_TIMEOUT_SECONDS
        }
        unreachable |= {
            vm
            for vm, at in self._refused_at.items()
            if now - at < HEARTBEAT_TIMEOUT_SECONDS
        }
        if not unreachable:
            return self.live()
        return [member for member in self.live() if member.vm not in unreachable]

    def report_connection_refused(self, vm: str) -> None:
        """Record that a router's host refused a connection."""
        now = asyncio.get_running_loop().time()
        record = self._view.current(vm)
        if record is not None and record.state is State.ALIVE:
            self._refused_at[vm] = now
            self._suspect(record, now)

    def report_endpoint(
        self, service: str, endpoint: str, reason: EndpointStatus
    ) -> None:
        """Report an endpoint's status to the fleet."""
        now = asyncio.get_running_loop().time()
        notice = self._endpoint_status.report((service, endpoint), reason, now)
        if notice is not None:
            self._forward([], [notice])
            self._notify_callbacks()

    def blocked_endpoints(self) -> dict[EndpointKey, EndpointStatus]:
        """Return the endpoints that get no new work now, with the reason."""
        return self._endpoint_status.blocked(asyncio.get_running_loop().time())

    def listed(self) -> list[str]:
        """Return the VMs in the platform's list, as of the last read."""
        return list(self._listed)

    def recently_dead(self, seconds: float) -> list[str]:
        """Return the VMs declared dead within that time that are not live again."""
        since = asyncio.get_running_loop().time() - seconds
        live_vms = {member.vm for member in self.live()}
        dead = {
            record.member.vm
            for record in self._view.records()
            if record.state is State.DEAD and record.since >= since
        }
        return sorted(dead - live_vms)

    def is_terminated(self, holder: str) -> bool:
        """Return whether a process has ended and none of its packets can arrive.

        A holder is ``vm/incarnation``, with the incarnation in hex. The platform
        lists a VM until it is removed, and a successor can bind an address only
        after the process there has ended; its packets may arrive for some time
        after that. Silence alone is no proof, since a paused process can resume.
        """
        vm, _, text = holder.partition("/")
        now = asyncio.get_running_loop().time()
        since = self._unlisted_since.get(vm)
        if since is not None and now - since >= PACKET_EXPIRY_SECONDS:
            return True
        record = self._view.find(vm, int(text, 16))
        current = self._view.current(vm)
        if record is None or current is None:
            return False
        if current.member.incarnation <= record.member.incarnation:
            return False
        first_seen = self._first_seen.get((vm, current.member.incarnation), now)
        same_address = current.member.peer_address == record.member.peer_address
        return same_address and now - first_seen >= PACKET_EXPIRY_SECONDS

    def address_of(self, vm: str) -> str | None:
        """Return a router's address for peers, None if it is unknown."""
        if vm.startswith("@"):
            return vm[1:]
        record = self._view.current(vm)
        if record is not None:
            return record.member.peer_address
        listed = self._listed.get(vm)
        if listed is not None:
            return listed.peer_address
        dead = [r.member for r in self._view.records() if r.member.vm == vm]
        return dead[-1].peer_address if dead else None

    async def refresh(self) -> None:
        """Read the platform's list once."""
        result = await self._vm_list.list()
        if result.is_error():
            if not self._list_failed:
                _log.warning("The list of VMs is out of reach.")
            self._list_failed = True
            return
        self._list_failed = False
        self._update_unlisted({entry.vm for entry in result.ok})
        before, self._listed = self._listed, {entry.vm: entry for entry in result.ok}
        now = asyncio.get_running_loop().time()
        updates = []
        for record in list(self._view.live_records()):
            if self._is_listed_leaving(record, before, now):
                marked = self._view.mark_leaving(record)
                updates.append(marked.to_report())
        own = self._listed.get(self._own.vm)
        if (
            own is not None
            and own.leaving
            and own.peer_address == self._own.peer_address
        ):
            # the platform decides that this router leaves; the process continues
            # to serve its requests, and drains when it receives the signal to stop
            self.announce_leaving()
        if updates:
            self._forward(updates, [])
            self._notify_callbacks()

    async def run(self) -> None:
        """Read the list and send heartbeats until cancelled."""
        self._started = asyncio.get_running_loop().time()
        polling = asyncio.create_task(self._poll_list())
        try:
            while True:
                self.send_heartbeats()
                await asyncio.sleep(HEARTBEAT_SECONDS)
        finally:
            polling.cancel()

    async def _poll_list(self) -> None:
        # in a separate task, since a call may block while the platform is down
        random = Random(self._own.incarnation)
        first = True
        while True:
            try:
                await self.refresh()
            except Exception as error:
                # an unreadable list must not stop the heartbeats
                self._list_failed = True
                _log.warning(f"Reading the list of VMs failed: {error!r}.")
            # routers that started together, as after a failure of a whole zone,
            # would otherwise all read at once and then none for a whole period
            factor = random.uniform(1 - LIST_JITTER_FRACTION, 1 + LIST_JITTER_FRACTION)
            if first:
                factor, first = random.random(), False
            await asyncio.sleep(self._list_period() * factor)

    def send_heartbeats(self) -> None:
        """Send one heartbeat to the neighbours and check for timeouts."""
        now = asyncio.get_running_loop().time()
        self._beat_number += 1
        if (
            self._last_tick is not None
            and now - self._last_tick > 2 * HEARTBEAT_SECONDS
        ):
            # this process was paused, so missing responses prove nothing about
            # the others: contact them again before suspecting any
            self._unanswered_since.clear()
        self._last_tick = now
        blocked = bool(self._endpoint_status.blocked(now))
        if blocked or self._had_blocked_endpoints:
            # also reports notices that have expired, and reaches dispatchers
            # started since
            self._notify_callbacks()
        self._had_blocked_endpoints = blocked
        self._check_timeouts(now)
        self._contact_missing()
        if self._announced_configured != (self._version() > 0):
            # callers and dispatchers wait for a router's first version
            self._announced_configured = not self._announced_configured
            self._forward([self._own_report()], [])
        known = self._view.live_vms()
        for vm in set(self._unanswered_since) - known:
            del self._unanswered_since[vm]
        targets = set(self.neighbours()) | self._audit_targets()
        # routers without a response get another heartbeat, since a single frame
        # may have been lost
        targets |= set(self._unanswered_since)
        for vm in sorted(targets & known):
            self._unanswered_since.setdefault(vm, now)
            self._mesh.send(vm, make_message("beat", self._own_beat(True)))
        if self._beat_number % PRUNE_BEATS == 0:
            self._prune(now)

    def _prune(self, now: float) -> None:
        self._view.prune_dead(now - RETAIN_DEAD_SECONDS)
        known = {
            (m.vm, m.incarnation) for m in (r.member for r in self._view.records())
        }
        self._first_seen = {k: v for k, v in self._first_seen.items() if k in known}
        names = {vm for vm, _ in known}
        for table in (
            self._last_beat_at,
            self._timeout_seconds,
            self._refused_at,
            self._mismatches,
        ):
            for vm in set(table) - names:
                del table[vm]

    def neighbours(self) -> list[str]:
        """Return the routers to which this one sends heartbeats."""
        epoch, found = self._neighbours_cache
        if epoch != self._view.epoch:
            found = neighbours(self._own, self.live())
            self._neighbours_cache = (self._view.epoch, found)
        return found

    def _list_period(self) -> float:
        return max(HEARTBEAT_SECONDS, len(self.live()) / LIST_READS_PER_SECOND)

    def _update_unlisted(self, listed: set[str]) -> None:
        now = asyncio.get_running_loop().time()
        known = {record.member.vm for record in self._view.records()}
        known |= set(self._listed)
        for vm in known - listed:
            self._unlisted_since.setdefault(vm, now)
        for vm in set(self._unlisted_since) & listed:
            del self._unlisted_since[vm]

    def _is_listed_leaving(
        self, record: MemberRecord, before: dict[str, VmEntry], now: float
    ) -> bool:
        member = record.member
        old, new = before.get(member.vm), self._listed.get(member.vm)
        if member.leaving or (old is None and new is None):
            return False
        if new is not None and (
            not new.leaving or new.peer_address != member.peer_address
        ):
            return False
        if new is None and old is not None and old.peer_address != member.peer_address:
            return False
        # the list lags and may still mean a predecessor with the same name and
        # address; a change seen during this incarnation applies to it
        first_seen = self._first_seen.get((member.vm, member.incarnation), now)
        if old is not None and not old.leaving:
            return True
        return new is not None and now - first_seen > LIST_TRUST_SECONDS

    def _audit_targets(self) -> set[str]:
        # a router that failed together with all its neighbours would otherwise
        # stay in the view, so every router is contacted every few seconds
        if self._beat_number % AUDIT_BEATS:
            return set()
        others = sorted(self._view.live_vms() - {self._own.vm})
        if not others:
            return set()
        self._audit_count += 1
        # a different starting point for each router
        start = self._own.incarnation
        return {others[(start + self._audit_count) % len(others)]}

    def _contact_missing(self) -> None:
        """Contact routers that are listed, retained as dead, or seeds."""
        known = self._view.live_vms()
        candidates = sorted((set(self._listed) - known) - {self._own.vm})
        if not candidates and self._beat_number % AUDIT_BEATS == 0:
            dead = {record.member.vm for record in self._view.records()}
            candidates = sorted(dead - known - {self._own.vm})
        if not known:
            candidates.extend(self._seeds)
        if not candidates:
            return
        start = (self._beat_number + self._own.incarnation) * JOIN_FANOUT
        for step in range(min(JOIN_FANOUT, len(candidates))):
            vm = candidates[(start + step) % len(candidates)]
            self._mesh.send(vm, self._gossip_message([self._own_report()], [], True))

    def _check_timeouts(self, now: float) -> None:
        for record in list(self._view.live_records()):
            vm = record.member.vm
            if record.state is State.SUSPECT:
                if now - record.since >= SUSPICION_TIMEOUT_SECONDS:
                    self._view.set_state(record, State.DEAD, now)
                    _log.info(f"Router {vm} is dead.")
                    self._notify_callbacks()
                continue
            timeout_seconds = self._timeout_seconds.get(vm, HEARTBEAT_TIMEOUT_SECONDS)
            if now - self._unanswered_since.get(vm, now) >= timeout_seconds:
                self._suspect(record, now)

    def _suspect(self, record: MemberRecord, now: float) -> None:
        vm = record.member.vm
        # where a connection works in one direction only, others refute each
        # suspicion; with a constant timeout every such pair would flood the
        # fleet with suspicions
        timeout_seconds = self._timeout_seconds.get(vm, HEARTBEAT_TIMEOUT_SECONDS)
        self._timeout_seconds[vm] = min(
            2 * timeout_seconds, MAX_HEARTBEAT_TIMEOUT_SECONDS
        )
        suspected = self._view.set_state(record, State.SUSPECT, now)
        self._forward([suspected.to_report()], [])

    def _own_for_digest(self) -> Member:
        configured = min(1, self._version())
        return replace(self._own, leaving=self._leaving, version=configured)

    def _own_report(self) -> Rumour:
        return MemberRecord(self.own, self._beat_number, State.ALIVE, 0.0).to_report()

    def _own_beat(self, ask: bool) -> Beat:
        digest = self._view.digest(self._own_for_digest())
        return Beat(
            self._beat_number, digest, self._version(), self._load(), self._leaving, ask
        )

    def _gossip_message(
        self, reports: list[Rumour], endpoints: list[EndpointNews], ask: bool = False
    ) -> Message:
        return make_message("gossip", Gossip(reports, endpoints, ask))

    def _forward(
        self, reports: list[Rumour], endpoints: list[EndpointNews], exclude: str = ""
    ) -> None:
        now = asyncio.get_running_loop().time()
        recent = {
            vm
            for vm, last_beat_at in self._last_beat_at.items()
            if now - last_beat_at < HEARTBEAT_TIMEOUT_SECONDS
        }
        for vm in sorted(set(self.neighbours()) | recent):
            if vm != exclude:
                self._mesh.send(vm, self._gossip_message(reports, endpoints))

    def _on_heartbeat(self, origin: Origin, _s: str, _z: str, body: Heartbeat) -> None:
        if not body.peer_address or body.vm != origin.vm:
            return
        report = Rumour(
            body.vm,
            origin.incarnation,
            0,
            int(State.ALIVE),
            body.leaving,
            body.zone,
            body.region,
            body.peer_address,
            body.caller_address,
            body.version,
            body.load,
            body.operator_address or "",
        )
        self._apply_reports([report], origin.vm)

    def _on_beat(self, origin: Origin, _s: str, _z: str, body: Beat) -> None:
        if origin.vm == self._own.vm:
            return
        now = asyncio.get_running_loop().time()
        record = self._view.find(origin.vm, origin.incarnation)
        if record is not None and record.state is State.DEAD:
            # the sender was cut off or paused; it refutes the report of its
            # death with a higher beat number
            self._mesh.send(origin.vm, self._gossip_message([record.to_report()], []))
        if record is None:
            # the sender's first message was lost, or this router has restarted
            self._mesh.send(
                origin.vm, self._gossip_message([self._own_report()], [], True)
            )
            return
        self._last_beat_at[origin.vm] = now
        self._refused_at.pop(origin.vm, None)
        if not body.ask:
            # only a response shows that the sender receives from this router
            if origin.vm in self._unanswered_since:
                del self._unanswered_since[origin.vm]
                self._timeout_seconds.pop(origin.vm, None)
        else:
            self._mesh.send(origin.vm, make_message("beat", self._own_beat(False)))
        report = record.to_report()
        report.beat, report.leaving = body.beat, body.leaving
        report.state = int(State.ALIVE)
        member = record.member
        report.zone, report.region = member.zone, member.region
        report.peer_address = member.peer_address
        report.caller_address = member.caller_address
        report.operator_address = member.operator_address
        report.version, report.load = body.version, body.load
        self._apply_reports([report], origin.vm)
        self._compare_digest(origin.vm, body.digest, now)

    def _compare_digest(self, vm: str, digest: int, now: float) -> None:
        if digest == self._view.digest(self._own_for_digest()):
            self._mismatches.pop(vm, None)
            return
        self._mismatches[vm] = self._mismatches.get(vm, 0) + 1
        if self._mismatches[vm] < MISMATCHED_BEATS or now < self._next_sync:
            return
        self._mismatches.pop(vm)
        self._next_sync = now + MIN_SYNC_GAP_SECONDS
        self._mesh.send(vm, self._gossip_message([self._own_report()], [], True))

    def _on_gossip(self, origin: Origin, _s: str, _z: str, body: Gossip) -> None:
        if origin.vm == self._own.vm:
            return
        self._apply_reports(body.rumours or [], origin.vm)
        now = asyncio.get_running_loop().time()
        new_notices = [
            n for n in body.endpoints or [] if self._endpoint_status.merge(n, now)
        ]
        if new_notices:
            self._forward([], new_notices, origin.vm)
            self._notify_callbacks()
        if body.ask:
            self._send_all_reports(origin.vm)

    def _send_all_reports(self, vm: str) -> None:
        reports = [self._own_report()]
        reports += [record.to_report() for record in self._view.live_records()]
        for start in range(0, len(reports), MAX_REPORTS_PER_MESSAGE):
            chunk = reports[start : start + MAX_REPORTS_PER_MESSAGE]
            self._mesh.send(vm, self._gossip_message(chunk, []))

    def _apply_reports(self, reports: list[Rumour], sender: str) -> None:
        now = asyncio.get_running_loop().time()
        updates: list[Rumour] = []
        corrections: list[Rumour] = []
        for report in reports:
            if report.vm == self._own.vm:
                self._apply_own_report(report, sender)
                continue
            if report.state not in (0, 1, 2):
                continue
            key = (report.vm, report.incarnation)
            change = self._view.merge(report, now)
            if change is Change.UPDATED:
                self._first_seen.setdefault(key, now)
                updates.append(report)
                updates.extend(self._mark_predecessors_dead(report, now))
            elif change is Change.STALE and report.state != State.ALIVE:
                found = self._view.find(*key)
                if found is not None:
                    corrections.append(found.to_report())
        if corrections:
            self._mesh.send(sender, self._gossip_message(corrections, []))
        if not updates:
            return
        # a router that has just started receives all members in one message,
        # which the others know already
        if now - self._started > JOIN_SECONDS or len(updates) <= JOIN_FANOUT:
            self._forward(updates, [], sender)
        self._notify_callbacks()

    def _apply_own_report(self, report: Rumour, sender: str) -> None:
        own = self._own
        if report.incarnation == own.incarnation:
            if report.state != State.ALIVE:
                # refute with a beat number that no report of death can reach
                self._beat_number = (
                    max(self._beat_number, report.beat + REFUTE_BEATS) + 1
                )
                self._forward([self._own_report()], [], sender)
                self._mesh.send(sender, self._gossip_message([self._own_report()], []))
            if report.leaving:
                self.announce_leaving()
            return
        if report.incarnation > own.incarnation and report.state == State.ALIVE:
            if not self._superseded:
                _log.error(
                    f"A newer process uses the name {own.vm}; "
                    "this one accepts no new work."
                )
            self._superseded = True
            self.announce_leaving()

    def _mark_predecessors_dead(self, report: Rumour, now: float) -> list[Rumour]:
        # two processes can't listen at one address, so the older incarnation at
        # the same address has ended
        if report.state != State.ALIVE or not report.peer_address:
            return []
        marked_dead = []
        for record in list(self._view.records()):
            member = record.member
            if (
                member.vm == report.vm
                and member.incarnation < report.incarnation
                and member.peer_address == report.peer_address
                and record.state is not State.DEAD
            ):
                dead = self._view.set_state(record, State.DEAD, now)
                marked_dead.append(dead.to_report())
        return marked_dead

    def _notify_callbacks(self) -> None:
        for callback in self._callbacks:
            callback()

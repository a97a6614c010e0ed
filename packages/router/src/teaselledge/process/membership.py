"""Which routers there are, from heartbeats, gossip and the platform's list."""

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
"""Without an answer for so long a router is suspected."""

SUSPICION_TIMEOUT_SECONDS = 0.9
"""A suspicion that nobody refutes for so long makes a router dead."""

MAX_PATIENCE_SECONDS = 60.0
"""Longest wait until a router that was vouched for is suspected again."""

AUDIT_BEATS = 5
"""Beats between two questions to a router chosen in turn."""

FORGET_BEATS = 60
"""Beats between two looks for what can be forgotten."""

JOIN_FANOUT = 3
"""Unknown or dead routers that are asked at one beat."""

LIST_READS_PER_SECOND = 4.0
"""Reads of the platform's list that the whole fleet aims at."""

LIST_JITTER = 0.2
"""Part by which the time between two reads varies, so that they spread."""

LIST_TRUST_SECONDS = 30.0
"""Age from which the list's word on an incarnation is taken at first sight."""

MISMATCHED_BEATS = 4
"""Beats with another digest after which the view is compared in full."""

SYNC_SECONDS = 20.0
"""Least time between two full comparisons."""

RETAIN_SECONDS = 7200.0
"""How long the dead are remembered and asked whether they are back."""

GONE_SECONDS = 300.0
"""Time after which nothing can come any more from a process that has ended."""

RUMOURS_IN_MESSAGE = 200

JOIN_SECONDS = 5.0


class Membership:
    """This router's view of the fleet; views differ between VMs for seconds.

    Every router beats to a few neighbours and wants a beat in return. What
    changes is passed on at once by everyone who learns it. Silence makes a
    suspect; whoever heard a later beat refutes that; else the suspect is dead.
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
        self._beat = 1
        self._view = MembershipView()
        self._listed: dict[str, VmEntry] = {}
        self._unlisted: dict[str, float] = {}
        self._first_seen: dict[tuple[str, int], float] = {}
        # loop time of the first question that has no answer yet
        self._unanswered: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._patience: dict[str, float] = {}
        self._lost: dict[str, float] = {}
        self._mismatches: dict[str, int] = {}
        self._others: tuple[int, float, list[Member]] = (-1, 0.0, [])
        self._neighbours: tuple[int, list[str]] = (-1, [])
        self._notices = EndpointStatusTable(f"{own.vm}/{own.incarnation:x}")
        self._callbacks: list[Callable[[], None]] = []
        self._next_sync = 0.0
        self._last_tick: float | None = None
        self._audit = 0
        self._list_failed = False
        self._blocked = False
        self._configured = version() > 0
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
        """Whether another process goes by this VM's name and is newer."""
        return self._superseded

    @property
    def list_reachable(self) -> bool:
        """Whether the last read of the platform's list succeeded."""
        return not self._list_failed

    def update_own(self, own: Member) -> None:
        """Replace what this router tells of itself."""
        self._own = own

    def hello(self) -> Heartbeat:
        """Return what this router says first on each connection."""
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

    def load_rumours(self, rumours: Iterable[Rumour]) -> None:
        """Take in what is known without passing it on."""
        now = asyncio.get_running_loop().time()
        for rumour in rumours:
            self._view.merge(rumour, now)
            self._first_seen.setdefault((rumour.vm, rumour.incarnation), now)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call a function after each change of members or endpoint notices."""
        self._callbacks.append(callback)

    def announce_leaving(self) -> None:
        """Tell the others that this router takes no new work."""
        if self._leaving:
            return
        self._leaving = True
        self._beat += 1
        self._spread([self._own_rumour()], [])
        self._changed()

    def announce_shutdown(self) -> None:
        """Tell the neighbours that this process ends now."""
        rumour = self._own_rumour()
        rumour.state = int(State.DEAD)
        self._spread([rumour], [])

    def live(self) -> list[Member]:
        """Return this router and those that are not known to be dead.

        Who lives and leaves is as known now; loads may be a second old.
        """
        now = asyncio.get_running_loop().time()
        epoch, made, others = self._others
        if epoch != self._view.epoch or now - made >= HEARTBEAT_SECONDS:
            members = (record.member for record in self._view.live_records())
            others = [member for member in members if member.vm != self._own.vm]
            self._others = (self._view.epoch, now, others)
        return [self.own, *others]

    def find(self, vm: str) -> Member | None:
        """Return another live router, None where it is not known or dead."""
        record = self._view.current(vm)
        return record.member if record is not None else None

    def reachable_members(self) -> list[Member]:
        """Return the live routers with which messages pass both ways.

        A router that is heard but doesn't hear, or the other way round, is live
        for the fleet and yet of no use as a dispatcher to this one.
        """
        now = asyncio.get_running_loop().time()
        away = {
            vm
            for vm, at in self._unanswered.items()
            if now - at >= HEARTBEAT_TIMEOUT_SECONDS
        }
        away |= {
            vm for vm, at in self._lost.items() if now - at < HEARTBEAT_TIMEOUT_SECONDS
        }
        if not away:
            return self.live()
        return [member for member in self.live() if member.vm not in away]

    def report_connection_refused(self, vm: str) -> None:
        """Note that a router's host refused a connection."""
        now = asyncio.get_running_loop().time()
        record = self._view.current(vm)
        if record is not None and record.state is State.ALIVE:
            self._lost[vm] = now
            self._suspect(record, now)

    def report_endpoint(
        self, service: str, endpoint: str, reason: EndpointStatus
    ) -> None:
        """Tell the fleet what this router noticed about an endpoint."""
        now = asyncio.get_running_loop().time()
        news = self._notices.report((service, endpoint), reason, now)
        if news is not None:
            self._spread([], [news])
            self._changed()

    def blocked_endpoints(self) -> dict[EndpointKey, EndpointStatus]:
        """Return the endpoints that get no new work now, and why."""
        return self._notices.blocked(asyncio.get_running_loop().time())

    def listed(self) -> list[str]:
        """Return the VMs of the platform's list, as last read."""
        return list(self._listed)

    def recently_dead(self, seconds: float) -> list[str]:
        """Return the VMs that died within that time and have not come back."""
        since = asyncio.get_running_loop().time() - seconds
        living = {member.vm for member in self.live()}
        dead = {
            record.member.vm
            for record in self._view.records()
            if record.state is State.DEAD and record.since >= since
        }
        return sorted(dead - living)

    def is_terminated(self, holder: str) -> bool:
        """Return whether a process can send nothing any more.

        A holder is ``vm/incarnation``, in hex. The platform lists a VM until it
        is taken away, and an address can be taken by a successor only after the
        process there has ended; then its packets live for a while yet. Silence
        alone proves nothing, since a paused process goes on later.
        """
        vm, _, text = holder.partition("/")
        now = asyncio.get_running_loop().time()
        since = self._unlisted.get(vm)
        if since is not None and now - since >= GONE_SECONDS:
            return True
        record = self._view.find(vm, int(text, 16))
        current = self._view.current(vm)
        if record is None or current is None:
            return False
        if current.member.incarnation <= record.member.incarnation:
            return False
        first = self._first_seen.get((vm, current.member.incarnation), now)
        same = current.member.peer_address == record.member.peer_address
        return same and now - first >= GONE_SECONDS

    def address_of(self, vm: str) -> str | None:
        """Return where a router listens for its peers."""
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
        self._note_unlisted({entry.vm for entry in result.ok})
        before, self._listed = self._listed, {entry.vm: entry for entry in result.ok}
        now = asyncio.get_running_loop().time()
        news = []
        for record in list(self._view.live_records()):
            if self._list_says_leaving(record, before, now):
                marked = self._view.mark_leaving(record)
                news.append(marked.to_rumour())
        own = self._listed.get(self._own.vm)
        if (
            own is not None
            and own.leaving
            and own.peer_address == self._own.peer_address
        ):
            # the platform's word; the process goes on serving what it has and
            # drains when it is told to stop
            self.announce_leaving()
        if news:
            self._spread(news, [])
            self._changed()

    async def run(self) -> None:
        """Read the list and send heartbeats until cancelled."""
        self._started = asyncio.get_running_loop().time()
        reading = asyncio.create_task(self._follow_list())
        try:
            while True:
                self.send_heartbeats()
                await asyncio.sleep(HEARTBEAT_SECONDS)
        finally:
            reading.cancel()

    async def _follow_list(self) -> None:
        # a task of its own: a call may hang as long as the platform does
        random = Random(self._own.incarnation)
        first = True
        while True:
            try:
                await self.refresh()
            except Exception as error:
                # a list that can't be read at all must not end the heartbeats
                self._list_failed = True
                _log.warning(f"Reading the list of VMs failed: {error!r}.")
            # routers that started together, as after a failure of a whole zone,
            # would else all read at once and then none for a whole period
            part = random.uniform(1 - LIST_JITTER, 1 + LIST_JITTER)
            if first:
                part, first = random.random(), False
            await asyncio.sleep(self._list_period() * part)

    def send_heartbeats(self) -> None:
        """Send one heartbeat to the neighbours and judge who is silent."""
        now = asyncio.get_running_loop().time()
        self._beat += 1
        if (
            self._last_tick is not None
            and now - self._last_tick > 2 * HEARTBEAT_SECONDS
        ):
            # this process was paused: the others seem silent, but it is this one
            # that was; ask all again before judging anyone
            self._unanswered.clear()
        self._last_tick = now
        blocked = bool(self._notices.blocked(now))
        if blocked or self._blocked:
            # also tells that a notice has ended, and dispatchers started since
            self._changed()
        self._blocked = blocked
        self._judge(now)
        self._join()
        if self._configured != (self._version() > 0):
            # callers and dispatchers wait for the first version
            self._configured = not self._configured
            self._spread([self._own_rumour()], [])
        known = self._view.live_vms()
        for vm in set(self._unanswered) - known:
            del self._unanswered[vm]
        targets = set(self.neighbours()) | self._audited()
        # one lost frame must not decide, so who owes an answer is asked again
        targets |= set(self._unanswered)
        for vm in sorted(targets & known):
            self._unanswered.setdefault(vm, now)
            self._mesh.send(vm, make_message("beat", self._own_beat(True)))
        if self._beat % FORGET_BEATS == 0:
            self._forget(now)

    def _forget(self, now: float) -> None:
        self._view.prune_dead(now - RETAIN_SECONDS)
        known = {
            (m.vm, m.incarnation) for m in (r.member for r in self._view.records())
        }
        self._first_seen = {k: v for k, v in self._first_seen.items() if k in known}
        names = {vm for vm, _ in known}
        for table in (self._heard, self._patience, self._lost, self._mismatches):
            for vm in set(table) - names:
                del table[vm]

    def neighbours(self) -> list[str]:
        """Return the routers that this one beats to."""
        epoch, found = self._neighbours
        if epoch != self._view.epoch:
            found = neighbours(self._own, self.live())
            self._neighbours = (self._view.epoch, found)
        return found

    def _list_period(self) -> float:
        return max(HEARTBEAT_SECONDS, len(self.live()) / LIST_READS_PER_SECOND)

    def _note_unlisted(self, listed: set[str]) -> None:
        now = asyncio.get_running_loop().time()
        known = {record.member.vm for record in self._view.records()}
        known |= set(self._listed)
        for vm in known - listed:
            self._unlisted.setdefault(vm, now)
        for vm in set(self._unlisted) & listed:
            del self._unlisted[vm]

    def _list_says_leaving(
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
        # the list lags and may still speak of a predecessor with the same name
        # and address; a change seen while this incarnation lived is about it
        first = self._first_seen.get((member.vm, member.incarnation), now)
        if old is not None and not old.leaving:
            return True
        return new is not None and now - first > LIST_TRUST_SECONDS

    def _audited(self) -> set[str]:
        # a router whose every watcher failed with it would stay in the view for
        # ever; each router is asked by someone every few seconds
        if self._beat % AUDIT_BEATS:
            return set()
        others = sorted(self._view.live_vms() - {self._own.vm})
        if not others:
            return set()
        self._audit += 1
        # each router starts its round elsewhere
        start = self._own.incarnation
        return {others[(start + self._audit) % len(others)]}

    def _join(self) -> None:
        """Ask routers that are listed or remembered, but not known to live."""
        known = self._view.live_vms()
        candidates = sorted((set(self._listed) - known) - {self._own.vm})
        if not candidates and self._beat % AUDIT_BEATS == 0:
            dead = {record.member.vm for record in self._view.records()}
            candidates = sorted(dead - known - {self._own.vm})
        if not known:
            candidates.extend(self._seeds)
        if not candidates:
            return
        start = (self._beat + self._own.incarnation) * JOIN_FANOUT
        for step in range(min(JOIN_FANOUT, len(candidates))):
            vm = candidates[(start + step) % len(candidates)]
            self._mesh.send(vm, self._gossip([self._own_rumour()], [], True))

    def _judge(self, now: float) -> None:
        for record in list(self._view.live_records()):
            vm = record.member.vm
            if record.state is State.SUSPECT:
                if now - record.since >= SUSPICION_TIMEOUT_SECONDS:
                    self._view.set_state(record, State.DEAD, now)
                    _log.info(f"Router {vm} is dead.")
                    self._changed()
                continue
            patience = self._patience.get(vm, HEARTBEAT_TIMEOUT_SECONDS)
            if now - self._unanswered.get(vm, now) >= patience:
                self._suspect(record, now)

    def _suspect(self, record: MemberRecord, now: float) -> None:
        vm = record.member.vm
        # on a way that works in one direction only, others vouch for the router
        # each time; without growing patience every such pair would keep the
        # whole fleet busy with suspicions
        patience = self._patience.get(vm, HEARTBEAT_TIMEOUT_SECONDS)
        self._patience[vm] = min(2 * patience, MAX_PATIENCE_SECONDS)
        suspected = self._view.set_state(record, State.SUSPECT, now)
        self._spread([suspected.to_rumour()], [])

    def _own_state(self) -> Member:
        configured = min(1, self._version())
        return replace(self._own, leaving=self._leaving, version=configured)

    def _own_rumour(self) -> Rumour:
        return MemberRecord(self.own, self._beat, State.ALIVE, 0.0).to_rumour()

    def _own_beat(self, ask: bool) -> Beat:
        digest = self._view.digest(self._own_state())
        return Beat(
            self._beat, digest, self._version(), self._load(), self._leaving, ask
        )

    def _gossip(
        self, rumours: list[Rumour], endpoints: list[EndpointNews], ask: bool = False
    ) -> Message:
        return make_message("gossip", Gossip(rumours, endpoints, ask))

    def _spread(
        self, rumours: list[Rumour], endpoints: list[EndpointNews], but: str = ""
    ) -> None:
        now = asyncio.get_running_loop().time()
        recent = {
            vm
            for vm, heard in self._heard.items()
            if now - heard < HEARTBEAT_TIMEOUT_SECONDS
        }
        for vm in sorted(set(self.neighbours()) | recent):
            if vm != but:
                self._mesh.send(vm, self._gossip(rumours, endpoints))

    def _on_heartbeat(self, origin: Origin, _s: str, _z: str, body: Heartbeat) -> None:
        if not body.peer_address or body.vm != origin.vm:
            return
        rumour = Rumour(
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
        self._take([rumour], origin.vm)

    def _on_beat(self, origin: Origin, _s: str, _z: str, body: Beat) -> None:
        if origin.vm == self._own.vm:
            return
        now = asyncio.get_running_loop().time()
        record = self._view.find(origin.vm, origin.incarnation)
        if record is not None and record.state is State.DEAD:
            # it was cut off or paused; told of its death notice, it answers
            # with a beat above it
            self._mesh.send(origin.vm, self._gossip([record.to_rumour()], []))
        if record is None:
            # its introduction was lost or this router restarted empty
            self._mesh.send(origin.vm, self._gossip([self._own_rumour()], [], True))
            return
        self._heard[origin.vm] = now
        self._lost.pop(origin.vm, None)
        if not body.ask:
            # only an answer shows that this router is heard too
            if origin.vm in self._unanswered:
                del self._unanswered[origin.vm]
                self._patience.pop(origin.vm, None)
        else:
            self._mesh.send(origin.vm, make_message("beat", self._own_beat(False)))
        rumour = record.to_rumour()
        rumour.beat, rumour.leaving = body.beat, body.leaving
        rumour.state = int(State.ALIVE)
        member = record.member
        rumour.zone, rumour.region = member.zone, member.region
        rumour.peer_address = member.peer_address
        rumour.caller_address = member.caller_address
        rumour.operator_address = member.operator_address
        rumour.version, rumour.load = body.version, body.load
        self._take([rumour], origin.vm)
        self._compare(origin.vm, body.digest, now)

    def _compare(self, vm: str, digest: int, now: float) -> None:
        if digest == self._view.digest(self._own_state()):
            self._mismatches.pop(vm, None)
            return
        self._mismatches[vm] = self._mismatches.get(vm, 0) + 1
        if self._mismatches[vm] < MISMATCHED_BEATS or now < self._next_sync:
            return
        self._mismatches.pop(vm)
        self._next_sync = now + SYNC_SECONDS
        self._mesh.send(vm, self._gossip([self._own_rumour()], [], True))

    def _on_gossip(self, origin: Origin, _s: str, _z: str, body: Gossip) -> None:
        if origin.vm == self._own.vm:
            return
        self._take(body.rumours or [], origin.vm)
        now = asyncio.get_running_loop().time()
        fresh = [n for n in body.endpoints or [] if self._notices.merge(n, now)]
        if fresh:
            self._spread([], fresh, origin.vm)
            self._changed()
        if body.ask:
            self._tell_all(origin.vm)

    def _tell_all(self, vm: str) -> None:
        rumours = [self._own_rumour()]
        rumours += [record.to_rumour() for record in self._view.live_records()]
        for start in range(0, len(rumours), RUMOURS_IN_MESSAGE):
            part = rumours[start : start + RUMOURS_IN_MESSAGE]
            self._mesh.send(vm, self._gossip(part, []))

    def _take(self, rumours: list[Rumour], sender: str) -> None:
        now = asyncio.get_running_loop().time()
        news: list[Rumour] = []
        answers: list[Rumour] = []
        for rumour in rumours:
            if rumour.vm == self._own.vm:
                self._take_own(rumour, sender)
                continue
            if rumour.state not in (0, 1, 2):
                continue
            key = (rumour.vm, rumour.incarnation)
            change = self._view.merge(rumour, now)
            if change is Change.UPDATED:
                self._first_seen.setdefault(key, now)
                news.append(rumour)
                news.extend(self._bury_predecessors(rumour, now))
            elif change is Change.STALE and rumour.state != State.ALIVE:
                found = self._view.find(*key)
                if found is not None:
                    answers.append(found.to_rumour())
        if answers:
            self._mesh.send(sender, self._gossip(answers, []))
        if not news:
            return
        # a router that has just started learns the whole fleet in one message;
        # passing that on would tell everybody what they know
        if now - self._started > JOIN_SECONDS or len(news) <= JOIN_FANOUT:
            self._spread(news, [], sender)
        self._changed()

    def _take_own(self, rumour: Rumour, sender: str) -> None:
        own = self._own
        if rumour.incarnation == own.incarnation:
            if rumour.state != State.ALIVE:
                # refute: a beat that no suspicion can match
                self._beat = max(self._beat, rumour.beat + REFUTE_BEATS) + 1
                self._spread([self._own_rumour()], [], sender)
                self._mesh.send(sender, self._gossip([self._own_rumour()], []))
            if rumour.leaving:
                self.announce_leaving()
            return
        if rumour.incarnation > own.incarnation and rumour.state == State.ALIVE:
            if not self._superseded:
                _log.error(
                    f"Another process goes by the name {own.vm} and is newer; "
                    "this one takes no new work."
                )
            self._superseded = True
            self.announce_leaving()

    def _bury_predecessors(self, rumour: Rumour, now: float) -> list[Rumour]:
        # one address can't be served by two processes at once, so the older
        # incarnation at the same address has ended
        if rumour.state != State.ALIVE or not rumour.peer_address:
            return []
        buried = []
        for record in list(self._view.records()):
            member = record.member
            if (
                member.vm == rumour.vm
                and member.incarnation < rumour.incarnation
                and member.peer_address == rumour.peer_address
                and record.state is not State.DEAD
            ):
                dead = self._view.set_state(record, State.DEAD, now)
                buried.append(dead.to_rumour())
        return buried

    def _changed(self) -> None:
        for callback in self._callbacks:
            callback()

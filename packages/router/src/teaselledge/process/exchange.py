"""Reports of service between the dispatchers of one service."""

import asyncio
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from teaselledge_wire.gen.router.ttypes import Account, Report

from teaselledge.metrics import Metrics
from teaselledge.process.due import is_due
from teaselledge.process.invalidinput import InvalidInputReporter
from teaselledge.process.mesh import Mesh, Origin, make_message
from teaselledge.process.placement import (
    CROSS_REGION,
    PeerDispatcher,
    Placement,
    Shard,
    distance,
    representative_zone,
    service_zones,
)
from teaselledge.process.preset import Preset, get_preset_by_name
from teaselledge.process.standing import UsageAccounts
from teaselledge.version.document import Document

__all__ = ["UsageExchange", "PeerLoad"]

ADOPT_SECONDS = 3.0
"""Age up to which a dispatcher takes standings over from its peers."""

FIRST_SEQUENCES = 5
"""Reports after which a sender counts as older than one that just started."""

KEEPALIVE_SECONDS = 1.0
"""Interval at which all backlogged organisations are repeated."""

VIEW_SECONDS = 4.0
"""Silence after which what a peer told of its waiting requests is dropped."""

URGENT_SECONDS = 0.02
"""Shortest interval between two reports that tell of idle slots."""

NEAR_WEIGHT = 0.5
FAR_WEIGHT = 0.1
"""Part of the way that a standing goes towards one that a peer tells."""

ACCOUNT_BYTES = 18
MESSAGE_BYTES = 60
"""Size of an account without its name and of the rest, for the pacing."""

MAX_COUNTERS = 4096
LARGEST_SERVED = 1e18


@dataclass
class PeerLoad:
    """What a dispatcher, or the representative of a region, told last.

    Attributes
    ----------
    peer : Peer
        Whom to ask for work.
    region : str or None
        Set where the figures are the sums of a region.
    updated_at : float
        Loop time.
    free_slots : int
        Free slots.
    waiting : dict of str to int
        Waiting requests by organisation.
    """

    peer: PeerDispatcher
    region: str | None
    updated_at: float
    free_slots: int = 0
    waiting: dict[str, int] = field(default_factory=dict)


@dataclass
class _Counters:
    """Counters of one incarnation of a dispatcher, as last received."""

    older: bool
    sequence: int = -1
    heard: float = -math.inf
    served: dict[str, float] = field(default_factory=dict)
    adopted: set[str] = field(default_factory=set)


def _size(accounts: list[Account]) -> int:
    names = sum(len(account.organisation) for account in accounts)
    return MESSAGE_BYTES + names + ACCOUNT_BYTES * len(accounts)


class UsageExchange:
    """Sends what this dispatcher counted and takes in what others did.

    The incarnation names this dispatcher; the next number names the sums that
    it sends for its region.

    Counters are cumulative by incarnation, so a report that is lost, doubled
    or out of order does no harm: the next one tells the same and more.
    """

    def __init__(
        self,
        shard: Shard,
        mesh: Mesh,
        standings: UsageAccounts,
        placement: Placement,
        metrics: Metrics,
        incarnation: int,
    ) -> None:
        self._shard = shard
        self._mesh = mesh
        self._standings = standings
        self._placement = placement
        self._complaints = InvalidInputReporter("dispatch", metrics)
        self._incarnation = incarnation
        now = asyncio.get_running_loop().time()
        self._born = now
        self._document: Document | None = None
        self._preset: Preset = get_preset_by_name("fairness")
        self._quantum = self._margin = 1.0
        self._speaks = False
        self._counters: dict[int, _Counters] = {}
        self._views: dict[PeerDispatcher | str, PeerLoad] = {}
        self._changed: set[str] = set()
        self._told_waiting: set[str] = set()
        self._unreported = 0.0
        self._reported: dict[str, float] = {}
        self._sequence = 0
        self._earliest = now
        self._latest = now
        self._keepalive = now
        self._told_free = 0
        self.free_slots = 0
        self.assigned = True
        self._region_served: dict[str, float] = {}
        self._region_changed: set[str] = set()
        self._region_waiting: set[str] = set()
        self._region_latest = now
        self._region_keepalive = now

    @property
    def quantum(self) -> float:
        """Unreported service that makes a report due."""
        return self._quantum

    @property
    def fetch_margin(self) -> float:
        """Deficit from which work is fetched from another zone."""
        return self._margin

    @property
    def peer_loads(self) -> Iterable[PeerLoad]:
        """What others told, those of this region first."""
        return sorted(self._views.values(), key=lambda v: v.region is not None)

    def apply_document(self, document: Document) -> None:
        """Take a new version of the document."""
        self._document = document
        service = document.services[self._shard.service]
        self._preset = get_preset_by_name(service.preset)
        self._quantum = self._preset.quantum(service)
        self._margin = self._preset.fetch_margin(service)
        name = self._shard.service
        speaker = representative_zone(document, name, self._region)
        self._speaks = speaker == self._shard.zone
        for view in self._views.values():
            for gone in [n for n in view.waiting if n not in document.organisations]:
                del view.waiting[gone]

    def charge(self, organisation: str, cost: float) -> None:
        """Count service that was granted here, or its correction."""
        if organisation not in self._standings:
            return
        self._standings.charge(organisation, cost)
        self._note(organisation, cost)
        self._changed.add(organisation)
        self._unreported += abs(cost)
        now = asyncio.get_running_loop().time()
        if self._unreported >= self._quantum and is_due(now, self._earliest):
            self.send(now)

    def tick(self, now: float) -> None:
        """Send what is due and drop views that are too old."""
        for name in [n for n, v in self._views.items() if self._stale(v, now)]:
            self._tell_waiting(self._views.pop(name), {})
        due = self._unreported >= self._quantum
        late = is_due(now, self._latest + self._preset.interval)
        wanted = due or (late and self._has_news()) or self._needs_keepalive(now)
        if wanted and is_due(now, self._earliest):
            self.send(now)
        if not self._speaks or not self.assigned:
            # two speakers would have their region's service counted twice
            return
        if is_due(now, self._region_latest + self._preset.region_interval):
            self._send_region(now)

    def report_idle(self, free: int) -> None:
        """Tell at once that slots became free while nothing waits here."""
        self.free_slots = free
        if free <= 0 or self._told_free > 0:
            return
        now = asyncio.get_running_loop().time()
        if is_due(now, self._latest + URGENT_SECONDS):
            self.send(now)

    def send(self, now: float) -> None:
        """Send one report to the dispatchers of this region."""
        standings = self._standings
        names = {n for n in self._changed if n in standings}
        full = is_due(now, self._keepalive + KEEPALIVE_SECONDS)
        if full:
            self._keepalive = now
            names |= {n for n in standings.backlogged if standings.local_waiting(n)}
        names |= self._told_waiting
        accounts = [self._account(n, full) for n in sorted(names) if n in standings]
        self._told_waiting = {a.organisation for a in accounts if a.waiting}
        self._told_waiting &= {n for n in self._changed if n in standings}
        self._changed.clear()
        self._unreported = 0.0
        self._latest = now
        self._told_free = self.free_slots
        for account in accounts:
            self._reported[account.organisation] = account.served
        peers = self.peers()
        self._sequence += 1
        body = Report(
            self._shard.zone,
            self._incarnation,
            self._sequence,
            accounts,
            self.free_slots,
        )
        for peer in peers:
            self._send(peer, body)
        size = _size(accounts) * len(peers)
        self._earliest = now + size / self._preset.report_bytes

    def mark_waiting_changed(self, organisation: str) -> None:
        """Note that an organisation began or ceased to wait here."""
        self._changed.add(organisation)
        self._region_changed.add(organisation)

    def handle_report(self, origin: Origin, body: Report) -> None:
        """Take in a report."""
        document = self._document
        zone = body.zone or ""
        if document is None or body.incarnation is None or body.sequence is None:
            return
        own = (self._incarnation, self._incarnation + 1)
        if zone not in document.zones or body.incarnation in own:
            return
        now = asyncio.get_running_loop().time()
        counters = self._counters_of(body.incarnation, body.sequence, now)
        if body.sequence <= counters.sequence:
            return
        counters.sequence, counters.heard = body.sequence, now
        region = body.region
        peer = PeerDispatcher(body.vm or origin.vm, zone)
        # one that just started has yet to take its standings over
        young = body.sequence <= FIRST_SEQUENCES
        weight = 0.0 if young else (NEAR_WEIGHT if region is None else FAR_WEIGHT)
        view = self._view(peer, region, now)
        view.free_slots = max(0, body.free_slots or 0)
        waiting: dict[str, int] = {}
        for account in body.accounts or []:
            if self._take(account, counters, region is None, weight):
                waiting[account.organisation] = max(0, account.waiting or 0)
        self._tell_waiting(view, {**view.waiting, **waiting})
        if (
            region is not None
            and origin.vm == peer.vm
            and self._speaks
            and self.assigned
        ):
            self._relay(origin, body)

    def peers(self) -> list[PeerDispatcher]:
        """Return the other dispatchers of the service in this region."""
        document = self._document
        if document is None:
            return []
        found = {v.peer for v in self._views.values() if v.region is None}
        service, own = self._shard.service, self._shard.zone
        for zone in service_zones(document, service) | {own}:
            if distance(document, own, zone) == CROSS_REGION:
                continue
            member = self._placement.dispatcher(document, Shard(service, zone))
            if member is not None:
                found.add(PeerDispatcher(member.vm, zone))
        found.discard(PeerDispatcher(self._mesh.origin.vm, own))
        return sorted(found, key=lambda p: (p.zone, p.vm))

    @property
    def _region(self) -> str:
        document = self._document
        if document is None or self._shard.zone not in document.zones:
            return ""
        return document.zones[self._shard.zone].region

    @property
    def _starting(self) -> bool:
        return asyncio.get_running_loop().time() - self._born < ADOPT_SECONDS

    def _account(self, name: str, full: bool) -> Account:
        # standings serve to bring views together slowly; most reports go
        # without them, which halves their size
        standings = self._standings
        return Account(
            name,
            standings.local_usage(name),
            standings.normalised_usage(name) if full else None,
            standings.local_waiting(name),
        )

    def _send(self, peer: PeerDispatcher, body: Report) -> None:
        sent = make_message("report", body, self._shard.service, peer.zone)
        self._mesh.send(peer.vm, sent)

    def _note(self, organisation: str, cost: float) -> None:
        if not self._speaks or not self.assigned:
            return
        total = self._region_served.get(organisation, 0.0)
        self._region_served[organisation] = total + cost
        self._region_changed.add(organisation)

    def _has_news(self) -> bool:
        idle = (self.free_slots > 0) != (self._told_free > 0)
        return bool(self._changed) or bool(self._told_waiting) or idle

    def _needs_keepalive(self, now: float) -> bool:
        return self.assigned and is_due(now, self._latest + KEEPALIVE_SECONDS)

    def _stale(self, view: PeerLoad, now: float) -> bool:
        return now - view.updated_at > VIEW_SECONDS

    def _view(self, peer: PeerDispatcher, region: str | None, now: float) -> PeerLoad:
        name = peer if region is None else region
        view = self._views.get(name)
        if view is None:
            view = self._views[name] = PeerLoad(peer, region, now)
        view.peer, view.updated_at = peer, now
        return view

    def _tell_waiting(self, view: PeerLoad, waiting: dict[str, int]) -> None:
        old = {name for name, count in view.waiting.items() if count > 0}
        new = {name: count for name, count in waiting.items() if count > 0}
        for name in old - set(new):
            self._standings.add_remote_backlog(name, -1)
        for name in set(new) - old:
            self._standings.add_remote_backlog(name, 1)
        if view.region is None:
            self._region_changed |= old ^ set(new)
        view.waiting = new

    def _counters_of(self, incarnation: int, sequence: int, now: float) -> _Counters:
        counters = self._counters.get(incarnation)
        if counters is not None:
            return counters
        if len(self._counters) >= MAX_COUNTERS:
            oldest = min(self._counters, key=lambda i: self._counters[i].heard)
            del self._counters[oldest]
        older = self._starting and sequence > FIRST_SEQUENCES
        counters = self._counters[incarnation] = _Counters(older)
        return counters

    def _take(
        self, account: Account, counters: _Counters, near: bool, weight: float
    ) -> bool:
        name, served = account.organisation, account.served
        if name not in self._standings:
            self._refuse("unknown", f"Report names unknown organisation {name!r:.80}.")
            return False
        standing = account.standing
        told = (served, served if standing is None else standing)
        if any(v is None or not abs(v) < LARGEST_SERVED for v in told):
            self._refuse("number", f"Report has no sane figures for {name}.")
            return False
        last = counters.served.get(name)
        counters.served[name] = served
        # the sender has not heard yet what was served here since the last report
        unheard = self._standings.local_usage(name) - self._reported.get(name, 0.0)
        share = self._standings.share(name)
        if standing is not None:
            standing += unheard / share
        if counters.older and standing is not None and name not in counters.adopted:
            counters.adopted.add(name)
            if self._starting:
                self._standings.set_usage(name, standing)
        if last is None and counters.older:
            # what a dispatcher served before this one started is in the
            # standing that it tells; counting it too would count it twice
            return True
        growth = served - (last or 0.0)
        if growth < -self._standings.max_lead * share:
            self._refuse("backwards", f"Counter of {name} runs backwards.")
            return False
        self._standings.add_remote_usage(name, growth)
        if near:
            self._note(name, growth)
        if standing is not None:
            self._standings.blend_usage(name, standing, weight)
        return True

    def _refuse(self, cause: str, text: str) -> None:
        self._complaints.report("dispatch.bad_reports", cause, text)

    def _relay(self, origin: Origin, body: Report) -> None:
        body.vm = origin.vm
        for peer in self.peers():
            self._send(peer, body)

    def _send_region(self, now: float) -> None:
        standings = self._standings
        waiting: dict[str, int] = {}
        for view in self._views.values():
            if view.region is None:
                for name, count in view.waiting.items():
                    waiting[name] = waiting.get(name, 0) + count
        backlogged = list(standings.backlogged)
        for name in backlogged:
            if standings.local_waiting(name):
                waiting[name] = waiting.get(name, 0) + standings.local_waiting(name)
        changed = self._region_changed & set(backlogged)
        changed |= self._region_waiting - set(waiting)
        full = is_due(now, self._region_keepalive + 2 * KEEPALIVE_SECONDS)
        if full:
            self._region_keepalive = now
            changed |= set(backlogged)
        self._region_waiting = set(waiting)
        self._region_changed.clear()
        near = [v for v in self._views.values() if v.region is None]
        free = self.free_slots + sum(view.free_slots for view in near)
        self._region_latest = now
        self._sequence += 1
        accounts = [
            Account(
                name,
                self._region_served.get(name, 0.0),
                standings.normalised_usage(name) if full else None,
                waiting.get(name, 0),
            )
            for name in sorted(changed)
            if name in standings
        ]
        body = Report(
            self._shard.zone,
            self._incarnation + 1,
            self._sequence,
            accounts,
            free,
            self._region,
        )
        for peer in self._speakers():
            self._send(peer, body)
        pause = (
            2 * _size(accounts) / self._preset.report_bytes
            - self._preset.region_interval
        )
        self._region_latest = now + max(0.0, pause)

    def _speakers(self) -> list[PeerDispatcher]:
        document = self._document
        if document is None:
            return []
        service = self._shard.service
        regions = {document.zones[z].region for z in service_zones(document, service)}
        found = []
        for region in sorted(regions - {self._region}):
            zone = representative_zone(document, service, region)
            if zone is None:
                continue
            member = self._placement.dispatcher(document, Shard(service, zone))
            if member is not None:
                found.append(PeerDispatcher(member.vm, zone))
        return found

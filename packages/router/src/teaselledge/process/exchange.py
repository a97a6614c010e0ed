"""Exchange of usage reports between the dispatchers of one service."""

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

ADOPTION_PERIOD_SECONDS = 3.0
"""Time after its start in which a dispatcher adopts the usage of its peers."""

NEW_SENDER_REPORTS = 5
"""Number of reports up to which a sender counts as newly started."""

KEEPALIVE_INTERVAL_SECONDS = 1.0
"""Interval of reports that contain all backlogged organisations."""

PEER_LOAD_TTL_SECONDS = 4.0
"""Time without a report after which the load of a peer is removed."""

MIN_IDLE_REPORT_INTERVAL_SECONDS = 0.02
"""Minimum time after a report before idle slots are reported at once."""

REGION_BLEND_WEIGHT = 0.5
CROSS_REGION_BLEND_WEIGHT = 0.1
"""Fraction by which usage moves towards the value that a peer reports."""

ACCOUNT_BYTES = 18
MESSAGE_BYTES = 60
"""Size of an account without its name, and of the rest of a report.

The rate of reports is limited by these estimates.
"""

MAX_SENDERS = 4096
"""Maximum number of incarnations whose counters are kept."""

MAX_USAGE = 1e18
"""Limit of the values in a report; larger values are rejected."""


@dataclass
class PeerLoad:
    """Load that a dispatcher, or the representative of a region, last reported.

    Attributes
    ----------
    peer : PeerDispatcher
        The dispatcher that sent the report.
    region : str or None
        Region whose sums were reported, None for a single dispatcher.
    updated_at : float
        Loop time of the last report.
    free_slots : int
        Number of free slots.
    waiting : dict of str to int
        Number of waiting requests by organisation.
    """

    peer: PeerDispatcher
    region: str | None
    updated_at: float
    free_slots: int = 0
    waiting: dict[str, int] = field(default_factory=dict)


@dataclass
class _Counters:
    """Counters of one incarnation of a dispatcher, as last received."""

    sender_is_older: bool
    sequence: int = -1
    last_received_at: float = -math.inf
    served: dict[str, float] = field(default_factory=dict)
    adopted: set[str] = field(default_factory=set)


def _estimate_bytes(accounts: list[Account]) -> int:
    names = sum(len(account.organisation) for account in accounts)
    return MESSAGE_BYTES + names + ACCOUNT_BYTES * len(accounts)


class UsageExchange:
    """Reports the usage counted here and applies the reports of other dispatchers.

    The incarnation identifies the counters of this dispatcher; the next number
    identifies the sums that it sends for its region.

    Counters are cumulative for an incarnation. Lost, duplicated and reordered
    reports do no harm, since the next report contains their values.
    """

    def __init__(
        self,
        shard: Shard,
        mesh: Mesh,
        usage: UsageAccounts,
        placement: Placement,
        metrics: Metrics,
        incarnation: int,
    ) -> None:
        self._shard = shard
        self._mesh = mesh
        self._usage = usage
        self._placement = placement
        self._invalid_input = InvalidInputReporter("dispatch", metrics)
        self._incarnation = incarnation
        now = asyncio.get_running_loop().time()
        self._started_at = now
        self._document: Document | None = None
        self._preset: Preset = get_preset_by_name("fairness")
        self._quantum = self._margin = 1.0
        self._is_representative = False
        self._counters: dict[int, _Counters] = {}
        self._peer_loads: dict[PeerDispatcher | str, PeerLoad] = {}
        self._changed: set[str] = set()
        self._reported_waiting: set[str] = set()
        self._unreported_usage = 0.0
        self._reported_usage: dict[str, float] = {}
        self._sequence = 0
        self._earliest_send = now
        self._last_sent = now
        self._last_full = now
        self._reported_free_slots = 0
        self.free_slots = 0
        self.assigned = True
        self._region_served: dict[str, float] = {}
        self._region_changed: set[str] = set()
        self._region_waiting: set[str] = set()
        self._region_interval_start = now
        self._region_last_full = now

    @property
    def quantum(self) -> float:
        """Unreported usage that makes a report due."""
        return self._quantum

    @property
    def fetch_margin(self) -> float:
        """Deficit above which requests are fetched from another zone."""
        return self._margin

    @property
    def peer_loads(self) -> Iterable[PeerLoad]:
        """Loads of the other dispatchers, those of this region first."""
        return sorted(
            self._peer_loads.values(), key=lambda load: load.region is not None
        )

    def apply_document(self, document: Document) -> None:
        """Apply a new version of the document."""
        self._document = document
        service = document.services[self._shard.service]
        self._preset = get_preset_by_name(service.preset)
        self._quantum = self._preset.quantum(service)
        self._margin = self._preset.fetch_margin(service)
        name = self._shard.service
        representative = representative_zone(document, name, self._region)
        self._is_representative = representative == self._shard.zone
        for load in self._peer_loads.values():
            for removed in [n for n in load.waiting if n not in document.organisations]:
                del load.waiting[removed]

    def charge(self, organisation: str, cost: float) -> None:
        """Add the cost, or its correction, of a request that was granted here."""
        if organisation not in self._usage:
            return
        self._usage.charge(organisation, cost)
        self._add_region_usage(organisation, cost)
        self._changed.add(organisation)
        self._unreported_usage += abs(cost)
        now = asyncio.get_running_loop().time()
        if self._unreported_usage >= self._quantum and is_due(now, self._earliest_send):
            self.send(now)

    def tick(self, now: float) -> None:
        """Send the reports that are due and remove expired peer loads."""
        for name in [
            n for n, load in self._peer_loads.items() if self._is_expired(load, now)
        ]:
            self._update_waiting(self._peer_loads.pop(name), {})
        quantum_reached = self._unreported_usage >= self._quantum
        interval_over = is_due(now, self._last_sent + self._preset.interval)
        wanted = (
            quantum_reached
            or (interval_over and self._has_changes())
            or self._needs_keepalive(now)
        )
        if wanted and is_due(now, self._earliest_send):
            self.send(now)
        if not self._is_representative or not self.assigned:
            # With two representatives the usage of the region would be counted
            # twice.
            return
        if is_due(now, self._region_interval_start + self._preset.region_interval):
            self._send_region(now)

    def report_idle(self, free: int) -> None:
        """Report at once that slots became free while no request waits here."""
        self.free_slots = free
        if free <= 0 or self._reported_free_slots > 0:
            return
        now = asyncio.get_running_loop().time()
        if is_due(now, self._last_sent + MIN_IDLE_REPORT_INTERVAL_SECONDS):
            self.send(now)

    def send(self, now: float) -> None:
        """Send a report to the dispatchers of this region."""
        usage = self._usage
        names = {n for n in self._changed if n in usage}
        full = is_due(now, self._last_full + KEEPALIVE_INTERVAL_SECONDS)
        if full:
            self._last_full = now
            names |= {n for n in usage.backlogged if usage.local_waiting(n)}
        names |= self._reported_waiting
        accounts = [self._account(n, full) for n in sorted(names) if n in usage]
        self._reported_waiting = {a.organisation for a in accounts if a.waiting}
        self._reported_waiting &= {n for n in self._changed if n in usage}
        self._changed.clear()
        self._unreported_usage = 0.0
        self._last_sent = now
        self._reported_free_slots = self.free_slots
        for account in accounts:
            self._reported_usage[account.organisation] = account.served
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
        size = _estimate_bytes(accounts) * len(peers)
        self._earliest_send = now + size / self._preset.report_bytes

    def mark_waiting_changed(self, organisation: str) -> None:
        """Record that the waiting requests of an organisation changed."""
        self._changed.add(organisation)
        self._region_changed.add(organisation)

    def handle_report(self, origin: Origin, body: Report) -> None:
        """Apply a report of another dispatcher."""
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
        counters.sequence, counters.last_received_at = body.sequence, now
        region = body.region
        peer = PeerDispatcher(body.vm or origin.vm, zone)
        # a new sender may not have adopted the usage of its peers yet
        sender_is_new = body.sequence <= NEW_SENDER_REPORTS
        weight = (
            0.0
            if sender_is_new
            else (REGION_BLEND_WEIGHT if region is None else CROSS_REGION_BLEND_WEIGHT)
        )
        load = self._peer_load(peer, region, now)
        load.free_slots = max(0, body.free_slots or 0)
        waiting: dict[str, int] = {}
        for account in body.accounts or []:
            if self._apply_account(account, counters, region is None, weight):
                waiting[account.organisation] = max(0, account.waiting or 0)
        self._update_waiting(load, {**load.waiting, **waiting})
        if (
            region is not None
            and origin.vm == peer.vm
            and self._is_representative
            and self.assigned
        ):
            self._forward(origin, body)

    def peers(self) -> list[PeerDispatcher]:
        """Return the other dispatchers of the service in this region."""
        document = self._document
        if document is None:
            return []
        found = {load.peer for load in self._peer_loads.values() if load.region is None}
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
        return (
            asyncio.get_running_loop().time() - self._started_at
            < ADOPTION_PERIOD_SECONDS
        )

    def _account(self, name: str, full: bool) -> Account:
        # The field `standing` makes the usage of the dispatchers converge slowly.
        # Most reports omit it, which halves their size.
        usage = self._usage
        return Account(
            name,
            usage.local_usage(name),
            usage.normalised_usage(name) if full else None,
            usage.local_waiting(name),
        )

    def _send(self, peer: PeerDispatcher, body: Report) -> None:
        sent = make_message("report", body, self._shard.service, peer.zone)
        self._mesh.send(peer.vm, sent)

    def _add_region_usage(self, organisation: str, cost: float) -> None:
        if not self._is_representative or not self.assigned:
            return
        total = self._region_served.get(organisation, 0.0)
        self._region_served[organisation] = total + cost
        self._region_changed.add(organisation)

    def _has_changes(self) -> bool:
        idle = (self.free_slots > 0) != (self._reported_free_slots > 0)
        return bool(self._changed) or bool(self._reported_waiting) or idle

    def _needs_keepalive(self, now: float) -> bool:
        return self.assigned and is_due(
            now, self._last_sent + KEEPALIVE_INTERVAL_SECONDS
        )

    def _is_expired(self, load: PeerLoad, now: float) -> bool:
        return now - load.updated_at > PEER_LOAD_TTL_SECONDS

    def _peer_load(
        self, peer: PeerDispatcher, region: str | None, now: float
    ) -> PeerLoad:
        name = peer if region is None else region
        load = self._peer_loads.get(name)
        if load is None:
            load = self._peer_loads[name] = PeerLoad(peer, region, now)
        load.peer, load.updated_at = peer, now
        return load

    def _update_waiting(self, load: PeerLoad, waiting: dict[str, int]) -> None:
        old = {name for name, count in load.waiting.items() if count > 0}
        new = {name: count for name, count in waiting.items() if count > 0}
        for name in old - set(new):
            self._usage.add_remote_backlog(name, -1)
        for name in set(new) - old:
            self._usage.add_remote_backlog(name, 1)
        if load.region is None:
            self._region_changed |= old ^ set(new)
        load.waiting = new

    def _counters_of(self, incarnation: int, sequence: int, now: float) -> _Counters:
        counters = self._counters.get(incarnation)
        if counters is not None:
            return counters
        if len(self._counters) >= MAX_SENDERS:
            oldest = min(
                self._counters, key=lambda i: self._counters[i].last_received_at
            )
            del self._counters[oldest]
        sender_is_older = self._starting and sequence > NEW_SENDER_REPORTS
        counters = self._counters[incarnation] = _Counters(sender_is_older)
        return counters

    def _apply_account(
        self, account: Account, counters: _Counters, same_region: bool, weight: float
    ) -> bool:
        name, served = account.organisation, account.served
        if name not in self._usage:
            self._reject("unknown", f"Report names unknown organisation {name!r:.80}.")
            return False
        standing = account.standing
        values = (served, served if standing is None else standing)
        if any(v is None or not abs(v) < MAX_USAGE for v in values):
            self._reject("number", f"Report has invalid values for {name}.")
            return False
        previous = counters.served.get(name)
        counters.served[name] = served
        # usage of this dispatcher that the sender does not know yet
        unreported = self._usage.local_usage(name) - self._reported_usage.get(name, 0.0)
        share = self._usage.share(name)
        if standing is not None:
            standing += unreported / share
        if (
            counters.sender_is_older
            and standing is not None
            and name not in counters.adopted
        ):
            counters.adopted.add(name)
            if self._starting:
                self._usage.set_usage(name, standing)
        if previous is None and counters.sender_is_older:
            # The reported standing contains the usage from before this dispatcher
            # started. To add the counter as well would count that usage twice.
            return True
        growth = served - (previous or 0.0)
        if growth < -self._usage.max_lead * share:
            self._reject("backwards", f"Usage counter of {name} decreased.")
            return False
        self._usage.add_remote_usage(name, growth)
        if same_region:
            self._add_region_usage(name, growth)
        if standing is not None:
            self._usage.blend_usage(name, standing, weight)
        return True

    def _reject(self, cause: str, text: str) -> None:
        self._invalid_input.report("dispatch.bad_reports", cause, text)

    def _forward(self, origin: Origin, body: Report) -> None:
        body.vm = origin.vm
        for peer in self.peers():
            self._send(peer, body)

    def _send_region(self, now: float) -> None:
        usage = self._usage
        waiting: dict[str, int] = {}
        for load in self._peer_loads.values():
            if load.region is None:
                for name, count in load.waiting.items():
                    waiting[name] = waiting.get(name, 0) + count
        backlogged = list(usage.backlogged)
        for name in backlogged:
            if usage.local_waiting(name):
                waiting[name] = waiting.get(name, 0) + usage.local_waiting(name)
        changed = self._region_changed & set(backlogged)
        changed |= self._region_waiting - set(waiting)
        full = is_due(now, self._region_last_full + 2 * KEEPALIVE_INTERVAL_SECONDS)
        if full:
            self._region_last_full = now
            changed |= set(backlogged)
        self._region_waiting = set(waiting)
        self._region_changed.clear()
        same_region = [
            load for load in self._peer_loads.values() if load.region is None
        ]
        free = self.free_slots + sum(load.free_slots for load in same_region)
        self._region_interval_start = now
        self._sequence += 1
        accounts = [
            Account(
                name,
                self._region_served.get(name, 0.0),
                usage.normalised_usage(name) if full else None,
                waiting.get(name, 0),
            )
            for name in sorted(changed)
            if name in usage
        ]
        body = Report(
            self._shard.zone,
            self._incarnation + 1,
            self._sequence,
            accounts,
            free,
            self._region,
        )
        for peer in self._representatives():
            self._send(peer, body)
        delay = (
            2 * _estimate_bytes(accounts) / self._preset.report_bytes
            - self._preset.region_interval
        )
        self._region_interval_start = now + max(0.0, delay)

    def _representatives(self) -> list[PeerDispatcher]:
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

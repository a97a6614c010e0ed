"""Grants the free slots of a shard to its waiting requests."""

import asyncio
import math
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from teaselledge_wire.gen.router.ttypes import (
    Accept,
    Decline,
    Done,
    Fetch,
    FetchAnswer,
    Grant,
    Preempt,
    Progress,
    Register,
    Report,
    Running,
    Snapshot,
    SnapshotReply,
    Withdraw,
)

from teaselledge.metrics import Metrics
from teaselledge.process.affinity import CacheEvent
from teaselledge.process.due import is_due
from teaselledge.process.estimate import CostEstimator, clamp_cost
from teaselledge.process.exchange import UsageExchange
from teaselledge.process.fetch import RequestTransfer, make_queued_request
from teaselledge.process.holding import Digest, HeldRequests
from teaselledge.process.invalidinput import InvalidInputReporter
from teaselledge.process.latency import (
    Admission,
    LatencyPolicy,
    get_latency_policy_by_name,
)
from teaselledge.process.loadreport import LoadReport
from teaselledge.process.mesh import Mesh, Origin, make_message
from teaselledge.process.placement import CROSS_REGION, Placement, Shard, distance
from teaselledge.process.pool import EndpointPool
from teaselledge.process.preset import largest_hint
from teaselledge.process.queue import QueuedRequest, RequestKey, WaitingQueue
from teaselledge.process.standing import UsageAccounts
from teaselledge.version.document import Document

__all__ = ["LATENCY_POLICY", "Dispatcher"]

LATENCY_POLICY = "burst"
"""Latency policy of services whose endpoints batch; the others use "plain"."""

ACCEPT_TIMEOUT_SECONDS = 2.0
"""Time after which a grant that was not accepted expires."""

INGRESS_TIMEOUT_SECONDS = 3.0
"""Time without a message after which the requests of an ingress are removed."""

GAUGE_INTERVAL_SECONDS = 1.0

SLOTS_PER_UNASSIGNED_GRANT = 8
"""Slots for each request that an unassigned dispatcher may have running."""

SLOTS_PER_EARLY_GRANT = 8
"""Slots for each request from another region that may be granted early."""

MAX_LEAD_FLOOR_HINTS = 4.0
"""Lower limit of `UsageAccounts.max_lead`, as a multiple of the largest hint."""

INTERACTIVE_LEAD_HINTS = 3.0
"""Maximum lead of an organisation whose interactive requests go first.

A multiple of the largest cost hint.
"""


@dataclass
class _Granted:
    number: int
    key: RequestKey
    organisation: str
    kind: str
    hint: float
    endpoint: str
    charged: float
    granted_at: float
    accepted: bool = False
    fetched: bool = False
    preempted: bool = False


class Dispatcher:
    """Queues the requests of one shard and grants them slots of its endpoints.

    The state is kept in memory only. A new dispatcher restores the requests
    from snapshots of the ingresses, and the usage from reports of other
    dispatchers.

    Parameters
    ----------
    shard : Shard
        The shard.
    mesh : Mesh
        Sends messages to ingresses and other dispatchers.
    document : Document
        The configuration in force.
    placement : Placement
        Maps the shards to the VMs that dispatch for them.
    metrics : Metrics
        Receives the counts and gauges.
    incarnation : int
        Identifies the usage counters of this dispatcher. The next number
        identifies those of its region.
    """

    def __init__(
        self,
        shard: Shard,
        mesh: Mesh,
        document: Document,
        placement: Placement,
        metrics: Metrics,
        incarnation: int,
    ) -> None:
        self._shard = shard
        self._mesh = mesh
        self._metrics = metrics
        self._invalid_input = InvalidInputReporter("dispatch", metrics)
        self._pool = EndpointPool(shard, document)
        self._blocked: set[str] = set()
        self._usage = UsageAccounts(0.0)
        self._queue = WaitingQueue(self._usage)
        self._exchange = UsageExchange(
            shard, mesh, self._usage, placement, metrics, incarnation
        )
        self._transfer = RequestTransfer(
            shard, mesh, self._queue, self._usage, self._exchange, metrics
        )
        self._estimates = CostEstimator()
        self._held = HeldRequests()
        self._granted: dict[RequestKey, _Granted] = {}
        self._keys_by_grant: dict[int, RequestKey] = {}
        self._running_by_endpoint: Counter[str] = Counter()
        self._next_grant = 1
        self._preempted = 0
        self._assigned = True
        self._last_tick = asyncio.get_running_loop().time()
        self._last_active = -math.inf
        self._next_gauge_at = self._last_tick
        self._policy: LatencyPolicy = get_latency_policy_by_name("plain")
        self._apply(document)

    @property
    def shard(self) -> Shard:
        """The shard of this dispatcher."""
        return self._shard

    @property
    def usage(self) -> UsageAccounts:
        """Usage of the organisations, as this dispatcher knows it."""
        return self._usage

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._granted)

    @property
    def free_slots(self) -> int:
        """Number of free slots."""
        return self._pool.free_slots

    @property
    def last_active(self) -> float:
        """Loop time at which a request last waited or ran; -inf if none did."""
        return self._last_active

    def apply_document(self, document: Document) -> None:
        """Apply a new version of the document."""
        for entry in list(self._queue):
            if entry.organisation not in document.organisations:
                self._queue.remove(entry.key)
                self._held.discard(entry.key)
        self._apply(document)
        self._dispatch()

    def set_assigned(self, assigned: bool, converged: bool = True) -> None:
        """Set whether this VM is assigned the shard.

        While routers disagree on the membership, two dispatchers may serve one
        shard. The unassigned one uses only a fraction of the slots, so that
        the endpoints get few requests above their slots.

        Parameters
        ----------
        assigned : bool
            Whether the shard is assigned to this VM in its own view of the
            membership.
        converged : bool
            Whether this view is reliable. A router that just started knows no
            other members and assigns every shard to itself.
        """
        self._assigned = assigned
        self._exchange.assigned = assigned and converged
        self._dispatch()

    def tick(self, now: float) -> None:
        """Expire requests and grants, dispatch, and send the reports that are due."""
        self._usage.tick(now - self._last_tick)
        self._last_tick = now
        for entry in self._queue.expire(now):
            if entry.fetched_from is None:
                self._held.discard(entry.key)
        for origin in self._held.timed_out(now - INGRESS_TIMEOUT_SECONDS):
            self._remove_ingress(origin)
        self._expire_grants(now)
        self._transfer.tick(self._pool.free_slots, now)
        self._dispatch()
        self._exchange.tick(now)
        if self._granted or len(self._queue):
            self._last_active = now
        if is_due(now, self._next_gauge_at):
            self._next_gauge_at = now + GAUGE_INTERVAL_SECONDS
            self._send_gauges()

    def _send_gauges(self) -> None:
        label = f"{self._shard.service}.{self._shard.zone}"
        self._metrics.gauge("dispatch.free_slots", self._pool.free_slots, label)
        self._metrics.gauge("dispatch.waiting", len(self._queue), label)
        self._metrics.gauge("dispatch.gap", self._usage.gap, label)

    def set_blocked_endpoints(self, blocked: Collection[str]) -> None:
        """Replace the set of endpoints that get no new requests."""
        for name in self._blocked | set(blocked):
            self._pool.set_blocked(name, name in blocked)
        self._blocked = set(blocked)

    def observe_load(self, report: LoadReport) -> None:
        """Update the load that an engine reported."""
        self._pool.observe_load(report)

    def observe_cache(self, event: CacheEvent) -> None:
        """Apply an event of an engine's prefix cache."""
        self._pool.observe_cache(event)

    def handle_register(self, origin: Origin, body: Register) -> None:
        """Add a request to the queue."""
        self._touch_ingress(origin)
        if self._enqueue(origin, body):
            self._dispatch()

    def handle_withdraw(self, origin: Origin, body: Withdraw) -> None:
        """Remove a withdrawn request, or end its transfer."""
        if body.owner_vm:
            key = RequestKey(body.owner_vm, body.owner_incarnation or 0, body.request)
            entry = self._queue.get(key)
            if entry is not None and entry.fetched_from is not None:
                self._queue.remove(key)
            return
        key = RequestKey(origin.vm, origin.incarnation, body.request)
        self._held.discard(key)
        entry = self._queue.remove(key)
        if entry is not None:
            self._exchange.mark_waiting_changed(entry.organisation)
        self._transfer.cancel_transfer(key)

    def handle_accept(self, origin: Origin, body: Accept) -> None:
        """Record that an ingress runs a granted request."""
        key = self._keys_by_grant.get(body.grant)
        if key is None or key.vm != origin.vm:
            # The grant has expired and its slot may be in use again. The
            # request runs, so a snapshot must restore it.
            self._send_snapshot_reply(origin, True)
            return
        granted = self._granted[key]
        granted.accepted = True
        self._touch_ingress(origin)
        self._held.add(key)

    def handle_decline(self, origin: Origin, body: Decline) -> None:
        """Cancel a grant that the ingress does not use."""
        key = self._keys_by_grant.get(body.grant)
        if key is None or key.vm != origin.vm:
            return
        self._metrics.count("dispatch.declined")
        granted = self._granted[key]
        self._release(granted, 0.0, False, 0.0)
        self._dispatch()

    def handle_progress(self, origin: Origin, body: Progress) -> None:
        """Charge the cost of a stream that exceeds what was charged before."""
        granted = self._find_granted(origin, body.request, body.grant)
        if granted is None:
            return
        cost = self._clamp_cost(body.cost, granted)
        if cost > granted.charged:
            self._exchange.charge(granted.organisation, cost - granted.charged)
            granted.charged = cost

    def handle_done(self, origin: Origin, body: Done) -> None:
        """Free the slot of a finished request and correct its charge."""
        granted = self._find_granted(origin, body.request, body.grant)
        if granted is None:
            if body.request is not None:
                key = RequestKey(origin.vm, origin.incarnation, body.request)
                self._held.discard(key)
            return
        if body.moved:
            self._release(granted, granted.charged, False, 0.0)
            return
        cost = self._clamp_cost(body.cost, granted)
        if not body.failed:
            self._estimates.update(
                granted.organisation, granted.kind, granted.hint, cost
            )
        seconds = body.seconds or 0.0
        self._release(granted, cost, bool(body.failed), seconds)
        self._dispatch()

    def handle_snapshot(self, origin: Origin, body: Snapshot) -> None:
        """Compare the digest of an ingress, or apply its full snapshot.

        A digest that differs is answered with a request for a full snapshot.
        """
        self._touch_ingress(origin)
        if not body.full:
            reported = Digest(body.count or 0, body.digest or 0)
            self._send_snapshot_reply(origin, reported != self._held.digest(origin))
            return
        self._metrics.count("dispatch.rebuilt")
        held = self._held.requests(origin)
        listed: set[int] = set()
        for running in body.running or []:
            if running.request is not None:
                listed.add(running.request)
                self._restore_running(origin, running)
        for waiting in body.waiting or []:
            if waiting.request is not None:
                listed.add(waiting.request)
                self._enqueue(origin, waiting)
        for request in held - listed:
            self._remove_request(RequestKey(origin.vm, origin.incarnation, request))
        self._send_snapshot_reply(origin, False)
        self._dispatch()

    def handle_report(self, origin: Origin, body: Report) -> None:
        """Apply a usage report of another dispatcher."""
        self._exchange.handle_report(origin, body)
        self._dispatch()

    def handle_fetch(self, origin: Origin, body: Fetch) -> None:
        """Transfer waiting requests to the dispatcher that fetches them."""
        self._transfer.handle_fetch(origin, body)

    def handle_fetch_answer(self, origin: Origin, body: FetchAnswer) -> None:
        """Queue the requests that another dispatcher transfers."""
        for entry in self._transfer.handle_fetch_answer(origin, body):
            if entry.key not in self._granted and entry.key not in self._transfer:
                self._queue.add(entry)
        self._dispatch()

    def _apply(self, document: Document) -> None:
        service = document.services[self._shard.service]
        self._document = document
        self._service = service
        self._largest_hint = largest_hint(service)
        self._pool.apply_document(document)
        self._slots = sum(
            endpoint.slots
            for endpoint in service.endpoints.values()
            if endpoint.zone == self._shard.zone and not endpoint.leaving
        )
        shares = [entry.share for entry in document.organisations.values()]
        smallest = min(shares, default=1.0)
        self._usage.max_lead_floor = (
            MAX_LEAD_FLOOR_HINTS * self._largest_hint / smallest
        )
        self._usage.set_organisations(document.organisations)
        self._exchange.apply_document(document)
        self._transfer.apply_document(document, self._slots)
        self._estimates.retain_organisations(set(document.organisations))
        batches = service.cost == "tokens"
        name = LATENCY_POLICY if batches else "plain"
        self._policy = get_latency_policy_by_name(name)

    def _enqueue(self, origin: Origin, body: Register) -> bool:
        entry = make_queued_request(origin, body, self._document, self._shard.service)
        if entry is None:
            return False
        key = entry.key
        if key in self._granted or key in self._transfer:
            return False
        queued = self._queue.get(key)
        if queued is not None and queued.fetched_from is not None:
            self._queue.remove(key)
        if not self._queue.add(entry):
            return False
        self._held.add(key)
        self._exchange.mark_waiting_changed(entry.organisation)
        return True

    def _restore_running(self, origin: Origin, running: Running) -> None:
        key = RequestKey(origin.vm, origin.incarnation, running.request)
        self._queue.remove(key)
        self._transfer.cancel_transfer(key)
        granted = self._granted.get(key)
        if granted is not None:
            granted.accepted = True
            self._held.add(key)
            return
        endpoint = self._service.endpoints.get(running.endpoint or "")
        if endpoint is None or endpoint.zone != self._shard.zone:
            # the endpoint was removed from the document while the request runs
            self._held.add(key)
            return
        charged = clamp_cost(running.charged, 0.0, self._largest_hint)
        kind = self._service.kinds.get(running.kind or "")
        granted = _Granted(
            running.grant or 0,
            key,
            running.organisation or "",
            running.kind or "",
            kind.cost_hint if kind else charged,
            running.endpoint,
            charged,
            asyncio.get_running_loop().time(),
            accepted=True,
        )
        self._granted[key] = granted
        self._pool.acquire(granted.endpoint)
        self._running_by_endpoint[granted.endpoint] += 1
        self._held.add(key)

    def _remove_request(self, key: RequestKey) -> None:
        """Remove a request that its ingress no longer holds."""
        self._held.discard(key)
        self._queue.remove(key)
        self._transfer.cancel_transfer(key)
        granted = self._granted.get(key)
        if granted is not None:
            cost = granted.charged if granted.accepted else 0.0
            self._release(granted, cost, False, 0.0)

    def _remove_ingress(self, origin: Origin) -> None:
        for request in self._held.requests(origin):
            self._remove_request(RequestKey(origin.vm, origin.incarnation, request))
        self._held.remove(origin)

    def _touch_ingress(self, origin: Origin) -> None:
        now = asyncio.get_running_loop().time()
        for previous in self._held.touch(origin, now):
            self._remove_ingress(previous)

    def _send_snapshot_reply(self, origin: Origin, wanted: bool) -> None:
        body = SnapshotReply(wanted)
        shard = self._shard
        sent = make_message("snapshot_reply", body, shard.service, shard.zone)
        self._mesh.send(origin.vm, sent)

    def _find_granted(
        self, origin: Origin, request: int | None, grant: int | None
    ) -> _Granted | None:
        key = self._keys_by_grant.get(grant or 0)
        if request is not None:
            key = RequestKey(origin.vm, origin.incarnation, request)
        if key is None or key.vm != origin.vm:
            return None
        return self._granted.get(key)

    def _clamp_cost(self, cost: float | None, granted: _Granted) -> float:
        clamped = clamp_cost(cost, granted.charged, self._largest_hint)
        if clamped != cost:
            text = f"Cost of a request on {granted.endpoint} is out of range."
            self._invalid_input.report("dispatch.bad_costs", "range", text)
        return clamped

    def _release(
        self, granted: _Granted, cost: float, failed: bool, seconds: float
    ) -> None:
        """Free a slot and correct the charge."""
        del self._granted[granted.key]
        # the grant of a restored request has a number of another dispatcher
        if self._keys_by_grant.get(granted.number) == granted.key:
            del self._keys_by_grant[granted.number]
        self._held.discard(granted.key)
        self._pool.release(granted.endpoint, failed, seconds, max(0.0, cost))
        self._running_by_endpoint[granted.endpoint] -= 1
        self._preempted -= granted.preempted
        if cost != granted.charged:
            self._exchange.charge(granted.organisation, cost - granted.charged)

    def _expire_grants(self, now: float) -> None:
        """Free the slots of grants that were not accepted in time."""
        oldest_valid = now - ACCEPT_TIMEOUT_SECONDS
        expired = [
            granted
            for granted in self._granted.values()
            if not granted.accepted and granted.granted_at < oldest_valid
        ]
        for granted in expired:
            self._metrics.count("dispatch.expired")
            self._release(granted, 0.0, False, 0.0)

    def _dispatch(self) -> None:
        now = asyncio.get_running_loop().time()
        while len(self._queue) and self._may_grant():
            free = self._pool.free_slots
            over_limit = max(0, len(self._granted) - self._slots) + self._preempted
            admission = self._policy.admission(free, self._slots, over_limit)
            selected = self._select(admission, over_limit, now)
            if selected is None:
                break
            self._grant(*selected, now)
        free = self._pool.free_slots if self._assigned else 0
        self._exchange.free_slots = free
        if free > 0 and not len(self._queue):
            self._exchange.report_idle(free)
        self._transfer.push()
        if self._exchange.assigned:
            self._transfer.pull(free)

    def _may_grant(self) -> bool:
        if self._assigned:
            return True
        return len(self._granted) < max(1, self._slots // SLOTS_PER_UNASSIGNED_GRANT)

    def _select(
        self, admission: Admission, over_limit: int, now: float
    ) -> tuple[QueuedRequest, str] | None:
        if admission is Admission.NONE:
            return None
        if admission is Admission.PREEMPT:
            self._preempt()
            return None
        if admission is Admission.ANY:
            return self._select_any(now)
        if admission is Admission.ABOVE and over_limit < max(
            1, self._slots // SLOTS_PER_EARLY_GRANT
        ):
            early = self._select_early(now)
            if early is not None:
                return early
        # An organisation with a large lead gets no preference. It could
        # exceed its share by declaring all its requests interactive.
        allowed = INTERACTIVE_LEAD_HINTS * self._largest_hint
        for entry in self._queue.candidates(now, only_interactive=True):
            name = entry.organisation
            lead = self._usage.lead(name) * self._usage.share(name)
            if lead > allowed:
                continue
            if admission is Admission.INTERACTIVE:
                endpoint = self._pool.choose(entry.registration)
            else:
                endpoint = self._choose_over_limit(entry)
            if endpoint is not None:
                return entry, endpoint
        return None

    def _select_any(self, now: float) -> tuple[QueuedRequest, str] | None:
        for entry in self._queue.candidates(now):
            endpoint = self._pool.choose(entry.registration)
            if endpoint is not None:
                return entry, endpoint
            if not entry.registration.excluded:
                # no endpoint has room for any request
                return None
        return None

    def _select_early(self, now: float) -> tuple[QueuedRequest, str] | None:
        """Return the next request if it comes from another region.

        Its grant and its body each cross the region link, and a free slot would
        idle meanwhile. If it is granted early, a slot has become free when it
        arrives.
        """
        entry = next(self._queue.candidates(now), None)
        if entry is None or entry.fetched_from is None:
            return None
        zones = (self._shard.zone, entry.fetched_from.zone)
        if distance(self._document, *zones) != CROSS_REGION:
            return None
        endpoint = self._choose_over_limit(entry)
        return None if endpoint is None else (entry, endpoint)

    def _choose_over_limit(self, entry: QueuedRequest) -> str | None:
        # an endpoint with running requests is not ejected
        names = [
            name
            for name, running in self._running_by_endpoint.items()
            if running > 0 and self._usable(name, entry)
        ]
        return min(names, key=self._load, default=None)

    def _usable(self, name: str, entry: QueuedRequest) -> bool:
        endpoint = self._service.endpoints.get(name)
        if endpoint is None or endpoint.leaving:
            return False
        return name not in (entry.registration.excluded or [])

    def _load(self, name: str) -> float:
        return self._running_by_endpoint[name] / self._service.endpoints[name].slots

    def _preempt(self) -> None:
        """Preempt a long stream of the organisation with the highest usage."""
        if not self._queue.has_interactive:
            return
        victims = [g for g in self._granted.values() if self._may_preempt(g)]
        victim = max(
            victims,
            key=lambda g: (self._usage.normalised_usage(g.organisation), g.granted_at),
            default=None,
        )
        if victim is None:
            return
        victim.preempted = True
        self._preempted += 1
        self._send(victim.key, "preempt", Preempt(victim.number))

    def _may_preempt(self, granted: _Granted) -> bool:
        kind = self._service.kinds.get(granted.kind)
        if kind is None or kind.interactive or not kind.repeatable:
            return False
        known = granted.organisation in self._usage
        return granted.accepted and not granted.preempted and known

    def _grant(self, entry: QueuedRequest, endpoint: str, now: float) -> None:
        body = entry.registration
        self._queue.remove_started(entry.key)
        self._pool.acquire(endpoint, body.prefix)
        number = self._next_grant
        self._next_grant += 1
        charged = self._estimates.predict(
            body.organisation, body.kind or "", body.cost_hint
        )
        granted = _Granted(
            number,
            entry.key,
            body.organisation,
            body.kind or "",
            body.cost_hint,
            endpoint,
            charged,
            now,
            fetched=entry.fetched_from is not None,
        )
        self._granted[entry.key] = granted
        self._keys_by_grant[number] = entry.key
        self._running_by_endpoint[endpoint] += 1
        self._usage.record_start(body.organisation)
        self._exchange.charge(body.organisation, charged)
        self._exchange.mark_waiting_changed(body.organisation)
        grant = Grant(body.request, number, endpoint, charged, entry.key.incarnation)
        self._send(entry.key, "grant", grant)

    def _send(self, key: RequestKey, name: str, body: Grant | Preempt) -> None:
        shard = self._shard
        self._mesh.send(key.vm, make_message(name, body, shard.service, shard.zone))

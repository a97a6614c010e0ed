"""Decide which waiting request gets the next free slot of a shard."""

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
"""Policy of services whose endpoints batch; the others have plain slots."""

ACCEPT_SECONDS = 2.0
"""Time after which a grant without an answer returns to the pool."""

INGRESS_TIMEOUT_SECONDS = 3.0
"""Time after which an ingress that is not heard holds nothing any more."""

GAUGE_SECONDS = 1.0

IRREGULAR_PART = 8
"""Part of the slots that a dispatcher uses while another should dispatch."""

EARLY_PART = 8
"""One request from another region may be granted early for so many slots."""

DEBT_HINTS = 4.0
"""Smallest debt that is remembered, as a multiple of the largest hint."""

LEAD_HINTS = 3.0
"""Lead, in largest hints, up to which interactive requests go before others."""


@dataclass
class _Granted:
    number: int
    key: RequestKey
    organisation: str
    kind: str
    hint: float
    endpoint: str
    charged: float
    since: float
    accepted: bool = False
    borrowed: bool = False
    preempted: bool = False


class Dispatcher:
    """Dispatcher of one shard; holds soft state only.

    Parameters
    ----------
    shard : Shard
        The shard.
    mesh : Mesh
        For messages to ingresses and other dispatchers.
    document : Document
        The configuration in force.
    placement : Placement
        Where the other dispatchers are.
    metrics : Metrics
        Where to count.
    incarnation : int
        Names this dispatcher and its counters; the next number is used too.
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
        self._complaints = InvalidInputReporter("dispatch", metrics)
        self._pool = EndpointPool(shard, document)
        self._hinted: set[str] = set()
        self._standings = UsageAccounts(0.0)
        self._queue = WaitingQueue(self._standings)
        self._exchange = UsageExchange(
            shard, mesh, self._standings, placement, metrics, incarnation
        )
        self._lending = RequestTransfer(
            shard, mesh, self._queue, self._standings, self._exchange, metrics
        )
        self._estimates = CostEstimator()
        self._holdings = HeldRequests()
        self._granted: dict[RequestKey, _Granted] = {}
        self._numbers: dict[int, RequestKey] = {}
        self._per_endpoint: Counter[str] = Counter()
        self._next_grant = 1
        self._preempted = 0
        self._regular = True
        self._last_tick = asyncio.get_running_loop().time()
        self._active = -math.inf
        self._next_gauge = self._last_tick
        self._policy: LatencyPolicy = get_latency_policy_by_name("plain")
        self._take(document)

    @property
    def shard(self) -> Shard:
        """The shard that it dispatches for."""
        return self._shard

    @property
    def usage(self) -> UsageAccounts:
        """Standings of the organisations, as this dispatcher knows them."""
        return self._standings

    @property
    def waiting(self) -> int:
        """Requests that wait here."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._granted)

    @property
    def free_slots(self) -> int:
        """Free slots."""
        return self._pool.free_slots

    @property
    def last_active(self) -> float:
        """Loop time when it last held a request, minus infinity if never."""
        return self._active

    def apply_document(self, document: Document) -> None:
        """Take a new version of the document."""
        for entry in list(self._queue):
            if entry.organisation not in document.organisations:
                self._queue.remove(entry.key)
                self._holdings.discard(entry.key)
        self._take(document)
        self._dispatch()

    def set_assigned(self, assigned: bool, converged: bool = True) -> None:
        """Tell whether this VM should dispatch for the shard.

        Where views differ two dispatchers serve one shard. The one that
        should not keeps to a part of the slots, so that the endpoints get
        little more than their slots.

        Parameters
        ----------
        assigned : bool
            Whether the shard falls to this VM in its own view.
        converged : bool
            Whether that view is old enough to be right; a router that just
            started knows no other and takes every shard for its own.
        """
        self._regular = assigned
        self._exchange.assigned = assigned and converged
        self._dispatch()

    def tick(self, now: float) -> None:
        """Do what is due: reports, expired grants and requests, returns."""
        self._standings.tick(now - self._last_tick)
        self._last_tick = now
        for entry in self._queue.expire(now):
            if entry.fetched_from is None:
                self._holdings.discard(entry.key)
        for origin in self._holdings.timed_out(now - INGRESS_TIMEOUT_SECONDS):
            self._forget(origin)
        self._expire_grants(now)
        self._lending.tick(self._pool.free_slots, now)
        self._dispatch()
        self._exchange.tick(now)
        if self._granted or len(self._queue):
            self._active = now
        if is_due(now, self._next_gauge):
            self._next_gauge = now + GAUGE_SECONDS
            self._gauge()

    def _gauge(self) -> None:
        label = f"{self._shard.service}.{self._shard.zone}"
        self._metrics.gauge("dispatch.free_slots", self._pool.free_slots, label)
        self._metrics.gauge("dispatch.waiting", len(self._queue), label)
        self._metrics.gauge("dispatch.gap", self._standings.gap, label)

    def set_blocked_endpoints(self, blocked: Collection[str]) -> None:
        """Give no new work to some endpoints for now, and to the others again."""
        for name in self._hinted | set(blocked):
            self._pool.set_blocked(name, name in blocked)
        self._hinted = set(blocked)

    def observe_load(self, report: LoadReport) -> None:
        """Take an engine's report of its load."""
        self._pool.observe_load(report)

    def observe_cache(self, event: CacheEvent) -> None:
        """Take an event of an engine's prefix cache."""
        self._pool.observe_cache(event)

    def handle_register(self, origin: Origin, body: Register) -> None:
        """Add a waiting request."""
        self._hear(origin)
        if self._add(origin, body):
            self._dispatch()

    def handle_withdraw(self, origin: Origin, body: Withdraw) -> None:
        """Remove a request that no longer waits."""
        if body.owner_vm:
            key = RequestKey(body.owner_vm, body.owner_incarnation or 0, body.request)
            entry = self._queue.get(key)
            if entry is not None and entry.fetched_from is not None:
                self._queue.remove(key)
            return
        key = RequestKey(origin.vm, origin.incarnation, body.request)
        self._holdings.discard(key)
        entry = self._queue.remove(key)
        if entry is not None:
            self._exchange.mark_waiting_changed(entry.organisation)
        self._lending.cancel_transfer(key)

    def handle_accept(self, origin: Origin, body: Accept) -> None:
        """Note that an ingress runs a granted request."""
        key = self._numbers.get(body.grant)
        if key is None or key.vm != origin.vm:
            # the grant had expired and its slot may be in use again; the
            # request runs, so a snapshot has to bring it back into the count
            self._reply(origin, True)
            return
        granted = self._granted[key]
        granted.accepted = True
        self._hear(origin)
        self._holdings.add(key)

    def handle_decline(self, origin: Origin, body: Decline) -> None:
        """Take back a grant that the ingress does not use."""
        key = self._numbers.get(body.grant)
        if key is None or key.vm != origin.vm:
            return
        self._metrics.count("dispatch.declined")
        granted = self._granted[key]
        self._end(granted, 0.0, False, 0.0)
        self._dispatch()

    def handle_progress(self, origin: Origin, body: Progress) -> None:
        """Charge what a stream has cost beyond its first charge."""
        granted = self._find(origin, body.request, body.grant)
        if granted is None:
            return
        cost = self._sane(body.cost, granted)
        if cost > granted.charged:
            self._exchange.charge(granted.organisation, cost - granted.charged)
            granted.charged = cost

    def handle_done(self, origin: Origin, body: Done) -> None:
        """Correct the charge and free the slot."""
        granted = self._find(origin, body.request, body.grant)
        if granted is None:
            if body.request is not None:
                key = RequestKey(origin.vm, origin.incarnation, body.request)
                self._holdings.discard(key)
            return
        if body.moved:
            self._end(granted, granted.charged, False, 0.0)
            return
        cost = self._sane(body.cost, granted)
        if not body.failed:
            self._estimates.update(
                granted.organisation, granted.kind, granted.hint, cost
            )
        seconds = body.seconds or 0.0
        self._end(granted, cost, bool(body.failed), seconds)
        self._dispatch()

    def handle_snapshot(self, origin: Origin, body: Snapshot) -> None:
        """Compare what an ingress holds, or learn it in full."""
        self._hear(origin)
        if not body.full:
            told = Digest(body.count or 0, body.digest or 0)
            self._reply(origin, told != self._holdings.digest(origin))
            return
        self._metrics.count("dispatch.rebuilt")
        held = self._holdings.requests(origin)
        named: set[int] = set()
        for running in body.running or []:
            if running.request is not None:
                named.add(running.request)
                self._adopt(origin, running)
        for waiting in body.waiting or []:
            if waiting.request is not None:
                named.add(waiting.request)
                self._add(origin, waiting)
        for request in held - named:
            self._drop(RequestKey(origin.vm, origin.incarnation, request))
        self._reply(origin, False)
        self._dispatch()

    def handle_report(self, origin: Origin, body: Report) -> None:
        """Take in what another dispatcher counted."""
        self._exchange.handle_report(origin, body)
        self._dispatch()

    def handle_fetch(self, origin: Origin, body: Fetch) -> None:
        """Lend waiting requests to another dispatcher."""
        self._lending.handle_fetch(origin, body)

    def handle_fetch_answer(self, origin: Origin, body: FetchAnswer) -> None:
        """Queue requests that another dispatcher lends."""
        for entry in self._lending.handle_fetch_answer(origin, body):
            if entry.key not in self._granted and entry.key not in self._lending:
                self._queue.add(entry)
        self._dispatch()

    def _take(self, document: Document) -> None:
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
        self._standings.max_lead_floor = DEBT_HINTS * self._largest_hint / smallest
        self._standings.set_organisations(document.organisations)
        self._exchange.apply_document(document)
        self._lending.apply_document(document, self._slots)
        self._estimates.retain_organisations(set(document.organisations))
        batches = service.cost == "tokens"
        name = LATENCY_POLICY if batches else "plain"
        self._policy = get_latency_policy_by_name(name)

    def _add(self, origin: Origin, body: Register) -> bool:
        entry = make_queued_request(origin, body, self._document, self._shard.service)
        if entry is None:
            return False
        key = entry.key
        if key in self._granted or key in self._lending:
            return False
        borrowed = self._queue.get(key)
        if borrowed is not None and borrowed.fetched_from is not None:
            self._queue.remove(key)
        if not self._queue.add(entry):
            return False
        self._holdings.add(key)
        self._exchange.mark_waiting_changed(entry.organisation)
        return True

    def _adopt(self, origin: Origin, running: Running) -> None:
        key = RequestKey(origin.vm, origin.incarnation, running.request)
        self._queue.remove(key)
        self._lending.cancel_transfer(key)
        granted = self._granted.get(key)
        if granted is not None:
            granted.accepted = True
            self._holdings.add(key)
            return
        endpoint = self._service.endpoints.get(running.endpoint or "")
        if endpoint is None or endpoint.zone != self._shard.zone:
            # the endpoint left the document while the request runs on it
            self._holdings.add(key)
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
        self._per_endpoint[granted.endpoint] += 1
        self._holdings.add(key)

    def _drop(self, key: RequestKey) -> None:
        """Forget a request that its ingress does not hold any more."""
        self._holdings.discard(key)
        self._queue.remove(key)
        self._lending.cancel_transfer(key)
        granted = self._granted.get(key)
        if granted is not None:
            cost = granted.charged if granted.accepted else 0.0
            self._end(granted, cost, False, 0.0)

    def _forget(self, origin: Origin) -> None:
        for request in self._holdings.requests(origin):
            self._drop(RequestKey(origin.vm, origin.incarnation, request))
        self._holdings.remove(origin)

    def _hear(self, origin: Origin) -> None:
        now = asyncio.get_running_loop().time()
        for earlier in self._holdings.touch(origin, now):
            self._forget(earlier)

    def _reply(self, origin: Origin, wanted: bool) -> None:
        body = SnapshotReply(wanted)
        shard = self._shard
        sent = make_message("snapshot_reply", body, shard.service, shard.zone)
        self._mesh.send(origin.vm, sent)

    def _find(
        self, origin: Origin, request: int | None, grant: int | None
    ) -> _Granted | None:
        key = self._numbers.get(grant or 0)
        if request is not None:
            key = RequestKey(origin.vm, origin.incarnation, request)
        if key is None or key.vm != origin.vm:
            return None
        return self._granted.get(key)

    def _sane(self, cost: float | None, granted: _Granted) -> float:
        bounded = clamp_cost(cost, granted.charged, self._largest_hint)
        if bounded != cost:
            text = f"Cost of a request on {granted.endpoint} is out of range."
            self._complaints.report("dispatch.bad_costs", "range", text)
        return bounded

    def _end(
        self, granted: _Granted, cost: float, failed: bool, seconds: float
    ) -> None:
        """Free a slot and settle the charge."""
        del self._granted[granted.key]
        # the number of an adopted request is another dispatcher's
        if self._numbers.get(granted.number) == granted.key:
            del self._numbers[granted.number]
        self._holdings.discard(granted.key)
        self._pool.release(granted.endpoint, failed, seconds, max(0.0, cost))
        self._per_endpoint[granted.endpoint] -= 1
        self._preempted -= granted.preempted
        if cost != granted.charged:
            self._exchange.charge(granted.organisation, cost - granted.charged)

    def _expire_grants(self, now: float) -> None:
        """Return the slots of grants that nobody accepted."""
        late = now - ACCEPT_SECONDS
        expired = [
            granted
            for granted in self._granted.values()
            if not granted.accepted and granted.since < late
        ]
        for granted in expired:
            self._metrics.count("dispatch.expired")
            self._end(granted, 0.0, False, 0.0)

    def _dispatch(self) -> None:
        now = asyncio.get_running_loop().time()
        while len(self._queue) and self._may_grant():
            free = self._pool.free_slots
            above = max(0, len(self._granted) - self._slots) + self._preempted
            room = self._policy.admission(free, self._slots, above)
            picked = self._pick(room, above, now)
            if picked is None:
                break
            self._grant(*picked, now)
        free = self._pool.free_slots if self._regular else 0
        self._exchange.free_slots = free
        if free > 0 and not len(self._queue):
            self._exchange.report_idle(free)
        self._lending.push()
        if self._exchange.assigned:
            self._lending.pull(free)

    def _may_grant(self) -> bool:
        if self._regular:
            return True
        return len(self._granted) < max(1, self._slots // IRREGULAR_PART)

    def _pick(
        self, room: Admission, above: int, now: float
    ) -> tuple[QueuedRequest, str] | None:
        if room is Admission.NONE:
            return None
        if room is Admission.PREEMPT:
            self._preempt()
            return None
        if room is Admission.ANY:
            return self._pick_any(now)
        if room is Admission.ABOVE and above < max(1, self._slots // EARLY_PART):
            early = self._pick_early(now)
            if early is not None:
                return early
        # an organisation that is ahead gets nothing out of turn; else it could
        # buy more than its share by calling all its requests interactive
        allowed = LEAD_HINTS * self._largest_hint
        for entry in self._queue.candidates(now, only_interactive=True):
            name = entry.organisation
            lead = self._standings.lead(name) * self._standings.share(name)
            if lead > allowed:
                continue
            if room is Admission.INTERACTIVE:
                endpoint = self._pool.choose(entry.registration)
            else:
                endpoint = self._choose_above(entry)
            if endpoint is not None:
                return entry, endpoint
        return None

    def _pick_any(self, now: float) -> tuple[QueuedRequest, str] | None:
        for entry in self._queue.candidates(now):
            endpoint = self._pool.choose(entry.registration)
            if endpoint is not None:
                return entry, endpoint
            if not entry.registration.excluded:
                # no endpoint takes anything now
                return None
        return None

    def _pick_early(self, now: float) -> tuple[QueuedRequest, str] | None:
        """Return the next request if it comes from another region.

        Its grant and body take two crossings of the region link, for which a
        free slot would idle; granted a little early, it arrives when one of
        the slots has become free.
        """
        entry = next(self._queue.candidates(now), None)
        if entry is None or entry.fetched_from is None:
            return None
        zones = (self._shard.zone, entry.fetched_from.zone)
        if distance(self._document, *zones) != CROSS_REGION:
            return None
        endpoint = self._choose_above(entry)
        return None if endpoint is None else (entry, endpoint)

    def _choose_above(self, entry: QueuedRequest) -> str | None:
        # an endpoint that runs something is not ejected
        names = [
            name
            for name, running in self._per_endpoint.items()
            if running > 0 and self._usable(name, entry)
        ]
        return min(names, key=self._load, default=None)

    def _usable(self, name: str, entry: QueuedRequest) -> bool:
        endpoint = self._service.endpoints.get(name)
        if endpoint is None or endpoint.leaving:
            return False
        return name not in (entry.registration.excluded or [])

    def _load(self, name: str) -> float:
        return self._per_endpoint[name] / self._service.endpoints[name].slots

    def _preempt(self) -> None:
        """Ask for the end of a long stream of the most over-served."""
        if not self._queue.has_interactive:
            return
        victims = [g for g in self._granted.values() if self._may_preempt(g)]
        victim = max(
            victims,
            key=lambda g: (self._standings.normalised_usage(g.organisation), g.since),
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
        known = granted.organisation in self._standings
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
            borrowed=entry.fetched_from is not None,
        )
        self._granted[entry.key] = granted
        self._numbers[number] = entry.key
        self._per_endpoint[endpoint] += 1
        self._standings.record_start(body.organisation)
        self._exchange.charge(body.organisation, charged)
        self._exchange.mark_waiting_changed(body.organisation)
        grant = Grant(body.request, number, endpoint, charged, entry.key.incarnation)
        self._send(entry.key, "grant", grant)

    def _send(self, key: RequestKey, name: str, body: Grant | Preempt) -> None:
        shard = self._shard
        self._mesh.send(key.vm, make_message(name, body, shard.service, shard.zone))

"""Transfer of waiting requests to dispatchers with free slots."""

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from teaselledge_wire.gen.router.ttypes import Fetch, FetchAnswer, Register, Withdraw

from teaselledge.metrics import Metrics
from teaselledge.process.exchange import PeerLoad, UsageExchange
from teaselledge.process.mesh import Mesh, Origin, make_message
from teaselledge.process.placement import CROSS_REGION, PeerDispatcher, Shard, distance
from teaselledge.process.queue import QueuedRequest, RequestKey, WaitingQueue
from teaselledge.process.standing import UsageAccounts
from teaselledge.version.document import Document

__all__ = ["RequestTransfer", "make_queued_request"]

TRANSFER_TIMEOUT_SECONDS = 1.0
CROSS_REGION_TRANSFER_TIMEOUT_SECONDS = 2.0
"""Time after which the source requeues a transferred request."""

RETURN_MARGIN_SECONDS = 0.25
"""Time by which the destination drops a request before the source requeues it."""

RECLAIM_DELAY_SECONDS = 0.3
"""Time after which a source with free slots requeues a transferred request."""

FETCH_TIMEOUT_SECONDS = 0.25
CROSS_REGION_FETCH_TIMEOUT_SECONDS = 1.0
"""Time after which a fetch without an answer is abandoned."""

EMPTY_FETCH_PAUSE_SECONDS = 0.1
"""Time until the next fetch from a dispatcher that had no request."""

MAX_TRANSFER_COUNT = 16
SLOTS_PER_PREFETCH = 16
SLOTS_PER_CROSS_REGION_PREFETCH = 8
"""Slots for each request that is fetched in advance."""

MAX_CHECKED_ORGANISATIONS = 4
CROSS_REGION_MARGIN_FACTOR = 4.0
"""Factor on the fetch margin for fetches across regions."""

LINK_BYTES_PER_SECOND = 375_000.0
"""Rate of bodies of fetched requests on a region link: 20 % of its capacity."""

LARGE_BODY_WAIT_SECONDS = 5.0
"""Queueing time after which a body may exceed the remaining link budget."""

MIN_CROSS_REGION_WAIT_SECONDS = 0.08
"""Minimum queueing time before a request may move to another region.

A slot in the same region is cheaper.
"""

MAX_REGISTRATION_VALUE = 1e9
"""Limit of the numbers in a registration; larger numbers are rejected."""


def make_queued_request(
    origin: Origin,
    body: Register,
    document: Document,
    service: str,
    fetched_from: PeerDispatcher | None = None,
    return_at: float = 0.0,
) -> QueuedRequest | None:
    """Return the queue entry of a registration, or None if it is malformed."""
    known = body.organisation in document.organisations
    kind = document.services[service].kinds.get(body.kind or "")
    numbers = (body.cost_hint, body.waited, body.deadline)
    if not known or kind is None or body.request is None:
        return None
    if any(n is None or not abs(n) < MAX_REGISTRATION_VALUE for n in numbers):
        return None
    if body.cost_hint <= 0:
        return None
    now = asyncio.get_running_loop().time()
    key = RequestKey(
        body.owner_vm or origin.vm,
        origin.incarnation if body.owner_vm is None else body.owner_incarnation,
        body.request,
    )
    arrived = now - max(0.0, body.waited)
    deadline = now + body.deadline
    return QueuedRequest(
        key, body, kind.interactive, arrived, deadline, fetched_from, return_at
    )


@dataclass(frozen=True)
class _Transferred:
    entry: QueuedRequest
    destination: PeerDispatcher
    transferred_at: float
    expires_at: float


@dataclass(frozen=True)
class _PendingFetch:
    peer_name: str
    expires_at: float


def _round_robin(entries: Iterable[QueuedRequest]) -> list[QueuedRequest]:
    """Return the first entry of each organisation, then the second, and so on."""
    counts: Counter[str] = Counter()
    rounds = []
    for entry in entries:
        rounds.append((counts[entry.organisation], entry))
        counts[entry.organisation] += 1
    return [entry for _, entry in sorted(rounds, key=lambda item: item[0])]


def _peer_name(load: PeerLoad) -> str:
    return load.region or f"{load.peer.vm}/{load.peer.zone}"


class RequestTransfer:
    """Fetches requests from other dispatchers and transfers own ones to them.

    A transferred request leaves the queue of the source until a grant of the
    destination is accepted or the transfer expires. If both grant it, as after
    a lost message, its ingress declines the second grant.
    """

    def __init__(
        self,
        shard: Shard,
        mesh: Mesh,
        queue: WaitingQueue,
        usage: UsageAccounts,
        exchange: UsageExchange,
        metrics: Metrics,
    ) -> None:
        self._shard = shard
        self._mesh = mesh
        self._queue = queue
        self._usage = usage
        self._exchange = exchange
        self._metrics = metrics
        self._document: Document | None = None
        self._slots = 1
        self._transferred: dict[RequestKey, _Transferred] = {}
        self._pending_fetches: dict[int, _PendingFetch] = {}
        self._paused_until: dict[str, float] = {}
        self._next_fetch = 1
        self._link_budget_bytes = LINK_BYTES_PER_SECOND
        self._link_updated_at = asyncio.get_running_loop().time()

    def __contains__(self, key: object) -> bool:
        return key in self._transferred

    def apply_document(self, document: Document, slots: int) -> None:
        """Apply a new version of the document and the number of own slots."""
        self._document = document
        self._slots = max(1, slots)

    def push(self) -> None:
        """Transfer waiting requests to dispatchers that reported free slots."""
        if len(self._queue) > self._queue.fetched_count:
            self._push_to_free_slots(asyncio.get_running_loop().time())

    def pull(self, free: int) -> None:
        """Fetch requests for free slots, or of organisations with lower usage."""
        now = asyncio.get_running_loop().time()
        missing = free + self._prefetch_count(SLOTS_PER_PREFETCH) - len(self._queue)
        if missing > 0 and self._fetch_for_free_slots(missing, free, now):
            return
        self._fetch_least_served(now)

    def handle_fetch(self, origin: Origin, body: Fetch) -> None:
        """Transfer requests to a dispatcher that fetches, or forward its fetch."""
        document = self._document
        if document is None or body.zone not in document.zones:
            return
        destination = PeerDispatcher(body.vm or origin.vm, body.zone)
        now = asyncio.get_running_loop().time()
        idle = max(0, body.idle or 0)
        surplus = (
            len(self._queue)
            - self._queue.fetched_count
            - self._prefetch_count(SLOTS_PER_PREFETCH)
        )
        count = min(body.count or 1, MAX_TRANSFER_COUNT, max(idle, surplus))
        if body.organisations:
            count = min(body.count or 1, MAX_TRANSFER_COUNT)
        selected = self._select(body.organisations or [], count, destination, now)
        if selected or not self._forward_fetch(origin, body):
            self._transfer(selected, destination, body.fetch or 0, now)

    def handle_fetch_answer(
        self, origin: Origin, body: FetchAnswer
    ) -> list[QueuedRequest]:
        """Return the requests that another dispatcher transferred."""
        document = self._document
        now = asyncio.get_running_loop().time()
        pending = self._pending_fetches.pop(body.fetch or 0, None)
        if pending is not None and not body.found:
            self._paused_until[pending.peer_name] = now + EMPTY_FETCH_PAUSE_SECONDS
        if document is None or body.zone not in document.zones:
            return []
        source = PeerDispatcher(origin.vm, body.zone)
        expires_at = now + self._transfer_timeout(source) - RETURN_MARGIN_SECONDS
        entries = []
        for registration in body.entries or []:
            if not registration.owner_vm or registration.owner_incarnation is None:
                continue
            service = self._shard.service
            entry = make_queued_request(
                origin, registration, document, service, source, expires_at
            )
            if entry is not None:
                entries.append(entry)
        self._metrics.count("dispatch.fetched", len(entries))
        return entries

    def cancel_transfer(self, key: RequestKey) -> bool:
        """End a transfer because the request no longer waits."""
        transferred = self._transferred.pop(key, None)
        if transferred is None:
            return False
        self._usage.add_local_waiting(transferred.entry.organisation, -1)
        body = Withdraw(key.request, key.vm, key.incarnation)
        self._send(transferred.destination, "withdraw", body)
        return True

    def tick(self, free: int, now: float) -> None:
        """Requeue the requests of expired transfers."""
        for number in [
            n for n, fetch in self._pending_fetches.items() if fetch.expires_at <= now
        ]:
            del self._pending_fetches[number]
        idle = free > 0 and not len(self._queue)
        for key, transferred in list(self._transferred.items()):
            if transferred.expires_at <= now or (
                idle and now - transferred.transferred_at > RECLAIM_DELAY_SECONDS
            ):
                del self._transferred[key]
                self._queue.add(transferred.entry)
                self._usage.add_local_waiting(transferred.entry.organisation, -1)

    def _prefetch_count(self, slots_per_request: int) -> int:
        return 1 + self._slots // slots_per_request

    def _is_cross_region(self, zone: str) -> bool:
        document = self._document
        return (
            document is None
            or distance(document, self._shard.zone, zone) == CROSS_REGION
        )

    def _transfer_timeout(self, peer: PeerDispatcher) -> float:
        return (
            CROSS_REGION_TRANSFER_TIMEOUT_SECONDS
            if self._is_cross_region(peer.zone)
            else TRANSFER_TIMEOUT_SECONDS
        )

    def _push_to_free_slots(self, now: float) -> None:
        for load in self._exchange.peer_loads:
            if load.free_slots <= 0:
                continue
            selected = self._select(
                [], min(load.free_slots, MAX_TRANSFER_COUNT), load.peer, now
            )
            if not selected:
                return
            load.free_slots -= len(selected)
            self._transfer(selected, load.peer, 0, now)

    def _fetch_for_free_slots(self, missing: int, free: int, now: float) -> bool:
        loads = [
            load for load in self._exchange.peer_loads if any(load.waiting.values())
        ]
        same_region = [load for load in loads if load.region is None]
        if same_region:
            load = max(same_region, key=lambda load: sum(load.waiting.values()))
            return self._send_fetch(load, [], missing, free, now)
        if not loads or len(self._queue):
            return False
        missing = free + self._prefetch_count(SLOTS_PER_CROSS_REGION_PREFETCH)
        load = max(loads, key=lambda load: sum(load.waiting.values()))
        return self._send_fetch(load, [], missing, missing, now)

    def _fetch_least_served(self, now: float) -> None:
        first = self._queue.least_served
        if first is None:
            return
        usage = self._usage
        for name in list(islice(usage.backlogged, MAX_CHECKED_ORGANISATIONS)):
            if self._queue.count_of(name) or not usage.has_remote_waiting(name):
                continue
            difference = usage.normalised_usage(first) - usage.normalised_usage(name)
            deficit = difference * usage.share(name)
            margin = self._exchange.fetch_margin
            if deficit <= margin:
                return
            for load in self._exchange.peer_loads:
                if not load.waiting.get(name):
                    continue
                if (
                    load.region is not None
                    and deficit <= margin * CROSS_REGION_MARGIN_FACTOR
                ):
                    continue
                count = self._prefetch_count(SLOTS_PER_PREFETCH)
                self._send_fetch(load, [name], count, count, now)
                return

    def _send_fetch(
        self,
        load: PeerLoad,
        organisations: list[str],
        count: int,
        idle: int,
        now: float,
    ) -> bool:
        name = _peer_name(load)
        if self._paused_until.get(name, 0.0) > now:
            return False
        if any(pending.peer_name == name for pending in self._pending_fetches.values()):
            return False
        number = self._next_fetch
        self._next_fetch += 1
        cross_region = self._is_cross_region(load.peer.zone)
        limit = (
            CROSS_REGION_FETCH_TIMEOUT_SECONDS
            if cross_region
            else FETCH_TIMEOUT_SECONDS
        )
        self._pending_fetches[number] = _PendingFetch(name, now + limit)
        body = Fetch(
            self._shard.zone,
            "",
            organisations,
            number,
            min(count, MAX_TRANSFER_COUNT),
            None,
            min(idle, MAX_TRANSFER_COUNT),
        )
        self._send(load.peer, "fetch", body)
        return True

    def _forward_fetch(self, origin: Origin, body: Fetch) -> bool:
        # the representative of a region may have no requests itself
        if body.vm is not None or not self._is_cross_region(body.zone):
            return False
        loads = [load for load in self._exchange.peer_loads if load.region is None]
        wanted = body.organisations or []

        def waiting(load: PeerLoad) -> int:
            names = wanted or list(load.waiting)
            return sum(load.waiting.get(name, 0) for name in names)

        best = max(loads, key=waiting, default=None)
        if best is None or not waiting(best):
            return False
        body.vm = origin.vm
        self._send(best.peer, "fetch", body)
        return True

    def _select(
        self,
        organisations: list[str],
        count: int,
        destination: PeerDispatcher,
        now: float,
    ) -> list[QueuedRequest]:
        if count <= 0:
            return []
        cross_region = self._is_cross_region(destination.zone)
        candidates: list[QueuedRequest] = []
        if organisations:
            for name in organisations[:MAX_TRANSFER_COUNT]:
                candidates += self._queue.candidates_of(name, now, limit=count)
        else:
            candidates += _round_robin(self._queue.candidates(now))
        selected: list[QueuedRequest] = []
        for entry in candidates:
            if len(selected) >= count:
                break
            if entry.fetched_from is not None:
                continue
            if cross_region and now - entry.arrived < MIN_CROSS_REGION_WAIT_SECONDS:
                continue
            if not cross_region or self._consume_link_budget(entry, now):
                selected.append(entry)
        return selected

    def _consume_link_budget(self, entry: QueuedRequest, now: float) -> bool:
        """Consume the size of a body if the budget of the region link allows it."""
        elapsed = now - self._link_updated_at
        self._link_updated_at = now
        self._link_budget_bytes = min(
            LINK_BYTES_PER_SECOND,
            self._link_budget_bytes + elapsed * LINK_BYTES_PER_SECOND,
        )
        size = max(0, entry.registration.body_bytes or 0)
        waited_long = now - entry.arrived > LARGE_BODY_WAIT_SECONDS
        if size > self._link_budget_bytes and not (
            waited_long and self._link_budget_bytes > 0
        ):
            return False
        self._link_budget_bytes -= size
        return True

    def _transfer(
        self,
        selected: list[QueuedRequest],
        destination: PeerDispatcher,
        fetch: int,
        now: float,
    ) -> None:
        expires_at = now + self._transfer_timeout(destination)
        bodies = []
        for entry in selected:
            # a transferred request still counts as waiting here
            self._usage.add_local_waiting(entry.organisation, 1)
            self._queue.remove(entry.key)
            self._transferred[entry.key] = _Transferred(
                entry, destination, now, expires_at
            )
            bodies.append(self._make_registration(entry, now))
        body = FetchAnswer(fetch, bool(selected), bodies, self._shard.zone)
        self._send(destination, "fetch_answer", body)

    def _make_registration(self, entry: QueuedRequest, now: float) -> Register:
        key, registration = entry.key, entry.registration
        return Register(
            registration.request,
            registration.organisation,
            registration.kind,
            registration.cost_hint,
            now - entry.arrived,
            entry.deadline - now,
            registration.body_bytes,
            registration.prefix,
            registration.repeatable,
            registration.excluded,
            key.vm,
            key.incarnation,
        )

    def _send(
        self, peer: PeerDispatcher, name: str, body: Fetch | FetchAnswer | Withdraw
    ) -> None:
        sent = make_message(name, body, self._shard.service, peer.zone)
        self._mesh.send(peer.vm, sent)

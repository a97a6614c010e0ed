"""Waiting requests that move to a dispatcher with free slots."""

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

LEND_SECONDS = 1.0
FAR_LEND_SECONDS = 2.0
"""Time after which a request that was lent waits at its lender again."""

RETURN_SECONDS = 0.25
"""The borrower drops a request so much earlier than the lender takes it back."""

RECLAIM_SECONDS = 0.3
"""Time after which a lender with free slots takes back what it lent."""

ANSWER_SECONDS = 0.25
FAR_ANSWER_SECONDS = 1.0
"""Time after which an unanswered fetch is given up."""

PAUSE_SECONDS = 0.1
"""Pause after a fetch that found nothing."""

MAX_COUNT = 16
AHEAD_PART = 16
FAR_AHEAD_PART = 8
"""One request is fetched ahead for so many slots."""

NEEDY_LOOK = 4
FAR_MARGIN = 4.0
"""Factor on the margin from which work is fetched across regions."""

LINK_BYTES = 375_000.0
"""Body bytes a second that fetched work may move over a region link: 20 %."""

PATIENCE_SECONDS = 5.0
"""Wait after which a body larger than what the link has left may still move."""

FAR_WAIT_SECONDS = 0.08
"""Wait before a request may move to another region; a near slot is cheaper."""

LONGEST_SECONDS = 1e9


def make_queued_request(
    origin: Origin,
    body: Register,
    document: Document,
    service: str,
    fetched_from: PeerDispatcher | None = None,
    return_at: float = 0.0,
) -> QueuedRequest | None:
    """Return the queue entry of a registration, None where it is malformed."""
    known = body.organisation in document.organisations
    kind = document.services[service].kinds.get(body.kind or "")
    numbers = (body.cost_hint, body.waited, body.deadline)
    if not known or kind is None or body.request is None:
        return None
    if any(n is None or not abs(n) < LONGEST_SECONDS for n in numbers):
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
class _Lent:
    entry: QueuedRequest
    borrower: PeerDispatcher
    since: float
    until: float


@dataclass(frozen=True)
class _Asked:
    view: str
    until: float


def _in_turns(entries: Iterable[QueuedRequest]) -> list[QueuedRequest]:
    """Order entries so that each organisation has one before any has two."""
    counts: Counter[str] = Counter()
    turns = []
    for entry in entries:
        turns.append((counts[entry.organisation], entry))
        counts[entry.organisation] += 1
    return [entry for _, entry in sorted(turns, key=lambda turn: turn[0])]


def _name(view: PeerLoad) -> str:
    return view.region or f"{view.peer.vm}/{view.peer.zone}"


class RequestTransfer:
    """Fetches waiting requests from other dispatchers and lends own ones.

    A request that is lent has left the lender's queue until the borrower's
    grant is accepted, or until its time there is over. Where both grant it,
    as after a lost message, its ingress declines the second grant.
    """

    def __init__(
        self,
        shard: Shard,
        mesh: Mesh,
        queue: WaitingQueue,
        standings: UsageAccounts,
        exchange: UsageExchange,
        metrics: Metrics,
    ) -> None:
        self._shard = shard
        self._mesh = mesh
        self._queue = queue
        self._standings = standings
        self._exchange = exchange
        self._metrics = metrics
        self._document: Document | None = None
        self._slots = 1
        self._lent: dict[RequestKey, _Lent] = {}
        self._asked: dict[int, _Asked] = {}
        self._pauses: dict[str, float] = {}
        self._next_fetch = 1
        self._link_bytes = LINK_BYTES
        self._link_time = asyncio.get_running_loop().time()

    def __contains__(self, key: object) -> bool:
        return key in self._lent

    def apply_document(self, document: Document, slots: int) -> None:
        """Take a new version of the document and the number of own slots."""
        self._document = document
        self._slots = max(1, slots)

    def push(self) -> None:
        """Lend what waits here to dispatchers that told of free slots."""
        if len(self._queue) > self._queue.fetched_count:
            self._push(asyncio.get_running_loop().time())

    def pull(self, free: int) -> None:
        """Fetch where work is short here or somebody elsewhere is needier."""
        now = asyncio.get_running_loop().time()
        missing = free + self._ahead(AHEAD_PART) - len(self._queue)
        if missing > 0 and self._pull(missing, free, now):
            return
        self._pull_needy(now)

    def handle_fetch(self, origin: Origin, body: Fetch) -> None:
        """Lend to a dispatcher that asks."""
        document = self._document
        if document is None or body.zone not in document.zones:
            return
        borrower = PeerDispatcher(body.vm or origin.vm, body.zone)
        now = asyncio.get_running_loop().time()
        idle = max(0, body.idle or 0)
        spare = len(self._queue) - self._queue.fetched_count - self._ahead(AHEAD_PART)
        count = min(body.count or 1, MAX_COUNT, max(idle, spare))
        if body.organisations:
            count = min(body.count or 1, MAX_COUNT)
        picked = self._pick(body.organisations or [], count, borrower, now)
        if picked or not self._pass_on(origin, body):
            self._lend(picked, borrower, body.fetch or 0, now)

    def handle_fetch_answer(
        self, origin: Origin, body: FetchAnswer
    ) -> list[QueuedRequest]:
        """Return the requests that another dispatcher lends."""
        document = self._document
        now = asyncio.get_running_loop().time()
        asked = self._asked.pop(body.fetch or 0, None)
        if asked is not None and not body.found:
            self._pauses[asked.view] = now + PAUSE_SECONDS
        if document is None or body.zone not in document.zones:
            return []
        lender = PeerDispatcher(origin.vm, body.zone)
        until = now + self._lend_seconds(lender) - RETURN_SECONDS
        entries = []
        for told in body.entries or []:
            if not told.owner_vm or told.owner_incarnation is None:
                continue
            service = self._shard.service
            entry = make_queued_request(origin, told, document, service, lender, until)
            if entry is not None:
                entries.append(entry)
        self._metrics.count("dispatch.fetched", len(entries))
        return entries

    def cancel_transfer(self, key: RequestKey) -> bool:
        """End a loan because the request no longer waits."""
        lent = self._lent.pop(key, None)
        if lent is None:
            return False
        self._standings.add_local_waiting(lent.entry.organisation, -1)
        body = Withdraw(key.request, key.vm, key.incarnation)
        self._send(lent.borrower, "withdraw", body)
        return True

    def tick(self, free: int, now: float) -> None:
        """Take back what was lent for too long."""
        for number in [n for n, a in self._asked.items() if a.until <= now]:
            del self._asked[number]
        idle = free > 0 and not len(self._queue)
        for key, lent in list(self._lent.items()):
            if lent.until <= now or (idle and now - lent.since > RECLAIM_SECONDS):
                del self._lent[key]
                self._queue.add(lent.entry)
                self._standings.add_local_waiting(lent.entry.organisation, -1)

    def _ahead(self, part: int) -> int:
        return 1 + self._slots // part

    def _across(self, zone: str) -> bool:
        document = self._document
        return (
            document is None
            or distance(document, self._shard.zone, zone) == CROSS_REGION
        )

    def _lend_seconds(self, peer: PeerDispatcher) -> float:
        return FAR_LEND_SECONDS if self._across(peer.zone) else LEND_SECONDS

    def _push(self, now: float) -> None:
        for view in self._exchange.peer_loads:
            if view.free_slots <= 0:
                continue
            picked = self._pick([], min(view.free_slots, MAX_COUNT), view.peer, now)
            if not picked:
                return
            view.free_slots -= len(picked)
            self._lend(picked, view.peer, 0, now)

    def _pull(self, missing: int, free: int, now: float) -> bool:
        views = [v for v in self._exchange.peer_loads if any(v.waiting.values())]
        near = [v for v in views if v.region is None]
        if near:
            view = max(near, key=lambda v: sum(v.waiting.values()))
            return self._ask(view, [], missing, free, now)
        if not views or len(self._queue):
            return False
        missing = free + self._ahead(FAR_AHEAD_PART)
        view = max(views, key=lambda v: sum(v.waiting.values()))
        return self._ask(view, [], missing, missing, now)

    def _pull_needy(self, now: float) -> None:
        first = self._queue.least_served
        if first is None:
            return
        standings = self._standings
        for name in list(islice(standings.backlogged, NEEDY_LOOK)):
            if self._queue.count_of(name) or not standings.has_remote_waiting(name):
                continue
            behind = standings.normalised_usage(first) - standings.normalised_usage(
                name
            )
            deficit = behind * standings.share(name)
            margin = self._exchange.fetch_margin
            if deficit <= margin:
                return
            for view in self._exchange.peer_loads:
                if not view.waiting.get(name):
                    continue
                if view.region is not None and deficit <= margin * FAR_MARGIN:
                    continue
                count = self._ahead(AHEAD_PART)
                self._ask(view, [name], count, count, now)
                return

    def _ask(
        self,
        view: PeerLoad,
        organisations: list[str],
        count: int,
        idle: int,
        now: float,
    ) -> bool:
        name = _name(view)
        if self._pauses.get(name, 0.0) > now:
            return False
        if any(asked.view == name for asked in self._asked.values()):
            return False
        number = self._next_fetch
        self._next_fetch += 1
        far = self._across(view.peer.zone)
        limit = FAR_ANSWER_SECONDS if far else ANSWER_SECONDS
        self._asked[number] = _Asked(name, now + limit)
        body = Fetch(
            self._shard.zone,
            "",
            organisations,
            number,
            min(count, MAX_COUNT),
            None,
            min(idle, MAX_COUNT),
        )
        self._send(view.peer, "fetch", body)
        return True

    def _pass_on(self, origin: Origin, body: Fetch) -> bool:
        # the representative of a region may have nothing itself
        if body.vm is not None or not self._across(body.zone):
            return False
        views = [v for v in self._exchange.peer_loads if v.region is None]
        wanted = body.organisations or []

        def waiting(view: PeerLoad) -> int:
            names = wanted or list(view.waiting)
            return sum(view.waiting.get(name, 0) for name in names)

        best = max(views, key=waiting, default=None)
        if best is None or not waiting(best):
            return False
        body.vm = origin.vm
        self._send(best.peer, "fetch", body)
        return True

    def _pick(
        self, organisations: list[str], count: int, borrower: PeerDispatcher, now: float
    ) -> list[QueuedRequest]:
        if count <= 0:
            return []
        across = self._across(borrower.zone)
        found: list[QueuedRequest] = []
        if organisations:
            for name in organisations[:MAX_COUNT]:
                found += self._queue.candidates_of(name, now, limit=count)
        else:
            found += _in_turns(self._queue.candidates(now))
        picked: list[QueuedRequest] = []
        for entry in found:
            if len(picked) >= count:
                break
            if entry.fetched_from is not None:
                continue
            if across and now - entry.arrived < FAR_WAIT_SECONDS:
                continue
            if not across or self._affordable(entry, now):
                picked.append(entry)
        return picked

    def _affordable(self, entry: QueuedRequest, now: float) -> bool:
        """Return whether the region link has room for a body, and take it."""
        passed = now - self._link_time
        self._link_time = now
        self._link_bytes = min(LINK_BYTES, self._link_bytes + passed * LINK_BYTES)
        size = max(0, entry.registration.body_bytes or 0)
        patient = now - entry.arrived > PATIENCE_SECONDS
        if size > self._link_bytes and not (patient and self._link_bytes > 0):
            return False
        self._link_bytes -= size
        return True

    def _lend(
        self,
        picked: list[QueuedRequest],
        borrower: PeerDispatcher,
        fetch: int,
        now: float,
    ) -> None:
        until = now + self._lend_seconds(borrower)
        bodies = []
        for entry in picked:
            # a lent request still counts in its organisation's backlog
            self._standings.add_local_waiting(entry.organisation, 1)
            self._queue.remove(entry.key)
            self._lent[entry.key] = _Lent(entry, borrower, now, until)
            bodies.append(self._body(entry, now))
        body = FetchAnswer(fetch, bool(picked), bodies, self._shard.zone)
        self._send(borrower, "fetch_answer", body)

    def _body(self, entry: QueuedRequest, now: float) -> Register:
        key, told = entry.key, entry.registration
        return Register(
            told.request,
            told.organisation,
            told.kind,
            told.cost_hint,
            now - entry.arrived,
            entry.deadline - now,
            told.body_bytes,
            told.prefix,
            told.repeatable,
            told.excluded,
            key.vm,
            key.incarnation,
        )

    def _send(
        self, peer: PeerDispatcher, name: str, body: Fetch | FetchAnswer | Withdraw
    ) -> None:
        sent = make_message(name, body, self._shard.service, peer.zone)
        self._mesh.send(peer.vm, sent)

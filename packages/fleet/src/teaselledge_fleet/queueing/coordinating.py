"""Grant the places of the engines that a router coordinates.

The module addresses overload, in which callers compete for engines. A place is room for
one more prompt in an engine's backlog. The backlog at the engine is kept just long
enough that the engine stays busy; all other requests wait here, where their order can
still be chosen. The coordinator knows the load that all routers report, what it has
granted since, and the fleet's usage by organisation. It grants, queues or declines.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from teaselledge_fleet.process.work import EndpointLoad
from teaselledge_fleet.queueing.backlog import PrefillProgress
from teaselledge_fleet.queueing.order import OrderKey, RecentGrants, served_step
from teaselledge_fleet.queueing.settings import QueueSettings
from teaselledge_fleet.queueing.tickets import (
    PlaceDecision,
    PlaceState,
    WaitingEntry,
)

__all__ = ["EngineFacts", "PlaceCoordinator", "PlaceOutcome", "CHECK_SECONDS"]

CHECK_SECONDS = 0.01
"""Interval at which queues are checked for places that opened by progress alone; a
tenth of the prefill of a mean prompt."""

CONFIRMATION_SECONDS = 0.3
"""Time within which a router reports a request as load after its grant. The report
takes 20 to 60 ms, and a lost one is repeated after that."""

SILENCE_SECONDS = 0.5
"""Time without a repeated query after which the router of an entry is taken for dead.
Queries are repeated every 0.25 s, and one of them may be lost."""

REORDER_SECONDS = 0.1
"""Interval at which the order follows the usage of organisations."""


@dataclass(frozen=True)
class PlaceOutcome:
    """End of the wait of an entry."""

    entry: WaitingEntry
    decision: PlaceDecision


@dataclass(frozen=True)
class EngineFacts:
    """What the coordinator's router knows about engines and organisations.

    Attributes
    ----------
    reported_load : callable
        Returns the load of all routers at an engine, without unconfirmed grants.
    queue_wait : callable
        Returns the time that the engine needs for some load, given its slots.
    share_usage : callable
        Returns the allocated tokens of an organisation, by hash, and the share level.
    may_grant : callable
        Whether an engine may get one more request now.
    is_available : callable
        Whether an engine may get any requests; it may be leaving.
    """

    reported_load: Callable[[int], EndpointLoad]
    queue_wait: Callable[[EndpointLoad, int], float]
    share_usage: Callable[[int], tuple[float, float]]
    may_grant: Callable[[int], bool]
    is_available: Callable[[int], bool] = lambda endpoint_hash: True


@dataclass(frozen=True)
class _Grant:
    entry: WaitingEntry
    granted_at: float


@dataclass
class _EngineQueue:
    """Waiting entries and unconfirmed grants of one engine."""

    slots: int
    entries: list[tuple[OrderKey, WaitingEntry]] = field(default_factory=list)
    grants: dict[tuple[int, int], _Grant] = field(default_factory=dict)
    progress: PrefillProgress = field(default_factory=PrefillProgress)
    ordered_at: float = 0.0
    due_at: float = 0.0

    def granted_load(self, excluded_sender: int | None = None) -> EndpointLoad:
        """Return the load of the grants that no report includes yet."""
        count, prefill_seconds = 0, 0.0
        for grant in self.grants.values():
            if grant.entry.sender != excluded_sender:
                count += 1
                prefill_seconds += grant.entry.prefill_seconds
        return EndpointLoad(count, prefill_seconds)


class PlaceCoordinator:
    """Queues of the engines that one router coordinates.

    Parameters
    ----------
    settings : QueueSettings
        Target backlog and bounds.
    facts : EngineFacts
        Loads and usage.

    Attributes
    ----------
    outcomes : Counter of str
        Ended requests for places by outcome.
    """

    def __init__(self, settings: QueueSettings, facts: EngineFacts) -> None:
        self._settings = settings
        self._facts = facts
        self._queues: dict[int, _EngineQueue] = {}
        self._waiting: set[int] = set()
        self._endpoint_by_key: dict[tuple[int, int], int] = {}
        self._heard_at: dict[tuple[int, int], float] = {}
        """Loop time of the last query for each waiting entry."""
        self._recent_grants = RecentGrants()
        self.outcomes: Counter[str] = Counter()

    @property
    def waits(self) -> bool:
        """Whether any entry waits."""
        return bool(self._waiting)

    @property
    def waiting_count(self) -> int:
        """Number of entries that wait."""
        return sum(len(self._queues[each].entries) for each in self._waiting)

    def granted_load(
        self, endpoint_hash: int, excluded_sender: int | None = None
    ) -> EndpointLoad:
        """Return the load of grants at an engine that no report includes yet."""
        queue = self._queues.get(endpoint_hash)
        return queue.granted_load(excluded_sender) if queue else EndpointLoad()

    def waiting_seconds(self, endpoint_hash: int) -> float:
        """Return the prefill of the entries that wait for an engine."""
        queue = self._queues.get(endpoint_hash)
        if queue is None:
            return 0.0
        return sum(entry.prefill_seconds for _, entry in queue.entries)

    def request(
        self, entry: WaitingEntry, now: float
    ) -> tuple[PlaceDecision, list[PlaceOutcome]]:
        """Decide on a request for a place.

        Returns the decision, and the outcomes of other entries that it causes.
        """
        endpoint_hash = entry.endpoint_hash
        queue = self._queues.get(endpoint_hash)
        if queue is None:
            queue = self._queues[endpoint_hash] = _EngineQueue(entry.slots)
            queue.progress.observe(
                self._load(endpoint_hash, queue).prefill_seconds, now
            )
        self._expire_grants(endpoint_hash, queue, now)
        outcomes = self._advance(endpoint_hash, queue, now) if queue.entries else []
        backlog = self._backlog(endpoint_hash, queue, now)
        if entry.key in self._endpoint_by_key:
            return self._repeat(queue, entry, backlog, now), outcomes
        key = self._order_key(entry, now)
        expected, position = backlog, 0
        for other_key, other in queue.entries:
            if other_key > key:
                break
            expected += other.engine_seconds
            position += 1
        in_time = now + expected <= entry.latest_start and self._facts.is_available(
            endpoint_hash
        )
        if in_time and not queue.entries and self._has_place(entry, backlog):
            self._grant(queue, entry, now)
            return PlaceDecision(PlaceState.GRANTED, backlog, 0), outcomes
        if not in_time or not self._may_queue(queue, entry):
            self.outcomes["declined"] += 1
            length = len(queue.entries)
            return PlaceDecision(PlaceState.DECLINED, expected, length), outcomes
        queue.entries.insert(position, (key, entry))
        self._endpoint_by_key[entry.key] = endpoint_hash
        self._heard_at[entry.key] = now
        outcomes += self._decline_late(endpoint_hash, queue, backlog, now)
        length = len(queue.entries)
        return PlaceDecision(PlaceState.QUEUED, expected, length), outcomes

    def update(self, endpoint_hash: int, now: float) -> list[PlaceOutcome]:
        """Follow a change of the load at an engine."""
        queue = self._queues.get(endpoint_hash)
        return self._advance(endpoint_hash, queue, now) if queue else []

    def check(self, now: float) -> list[PlaceOutcome]:
        """Follow the progress of all engines for which requests wait."""
        outcomes = []
        for endpoint_hash in list(self._waiting):
            queue = self._queues[endpoint_hash]
            if queue.due_at <= now:
                outcomes += self._advance(endpoint_hash, queue, now)
        return outcomes

    def decline_unavailable(self, now: float) -> list[PlaceOutcome]:
        """Decline the entries of engines that may get no more requests."""
        outcomes = []
        for endpoint_hash in list(self._waiting):
            if self._facts.is_available(endpoint_hash):
                continue
            queue = self._queues[endpoint_hash]
            entries, queue.entries = queue.entries, []
            outcomes += [self._decline(entry, 0.0, queue) for _, entry in entries]
            self._note_waiting(endpoint_hash, queue)
        return outcomes

    def confirm(self, sender: int, sequences: Iterable[int]) -> set[int]:
        """Drop grants that a report includes; return the hashes of their engines."""
        return self._remove(sender, sequences, "confirmed")

    def withdraw(self, sender: int, sequences: Iterable[int]) -> set[int]:
        """Drop entries and grants that a router has given up; return the same."""
        return self._remove(sender, sequences, "withdrawn")

    def discard_idle(self, now: float) -> None:
        """Drop the state of engines without load, entries and grants."""
        for endpoint_hash, queue in list(self._queues.items()):
            self._expire_grants(endpoint_hash, queue, now)
            if queue.entries or queue.grants:
                continue
            if not self._facts.reported_load(endpoint_hash).in_flight:
                del self._queues[endpoint_hash]

    def _repeat(
        self, queue: _EngineQueue, entry: WaitingEntry, backlog: float, now: float
    ) -> PlaceDecision:
        """Answer a repeated query; the reply to an earlier one may have been lost."""
        length = len(queue.entries)
        if entry.key in queue.grants:
            return PlaceDecision(PlaceState.GRANTED, backlog, length)
        self._heard_at[entry.key] = now
        expected = backlog
        for _, other in queue.entries:
            if other.key == entry.key:
                break
            expected += other.engine_seconds
        return PlaceDecision(PlaceState.QUEUED, expected, length)

    def _remove(self, sender: int, sequences: Iterable[int], reason: str) -> set[int]:
        changed = set()
        for sequence in sequences:
            key = (sender, sequence)
            endpoint_hash = self._endpoint_by_key.pop(key, None)
            if endpoint_hash is None:
                continue
            self._heard_at.pop(key, None)
            changed.add(endpoint_hash)
            queue = self._queues[endpoint_hash]
            if queue.grants.pop(key, None) is not None:
                if reason != "confirmed":
                    self.outcomes["returned"] += 1
                    self._rebase(endpoint_hash, queue)
                continue
            self.outcomes[reason] += 1
            queue.entries = [each for each in queue.entries if each[1].key != key]
            self._note_waiting(endpoint_hash, queue)
        return changed

    def _advance(
        self, endpoint_hash: int, queue: _EngineQueue, now: float
    ) -> list[PlaceOutcome]:
        """Grant the places that are open and decline what can't be in time."""
        self._expire_grants(endpoint_hash, queue, now)
        load = self._load(endpoint_hash, queue)
        queue.progress.observe(load.prefill_seconds, now)
        if not queue.entries:
            return []
        self._reorder(queue, now)
        outcomes: list[PlaceOutcome] = []
        backlog = self._backlog(endpoint_hash, queue, now)
        while queue.entries and self._has_place(queue.entries[0][1], backlog):
            _, entry = queue.entries.pop(0)
            if now + backlog > entry.latest_start:
                outcomes.append(self._decline(entry, backlog, queue))
                continue
            self._grant(queue, entry, now)
            decision = PlaceDecision(PlaceState.GRANTED, backlog, len(queue.entries))
            outcomes.append(PlaceOutcome(entry, decision))
            backlog = self._backlog(endpoint_hash, queue, now)
        outcomes += self._decline_late(endpoint_hash, queue, backlog, now)
        return outcomes

    def _decline_late(
        self, endpoint_hash: int, queue: _EngineQueue, backlog: float, now: float
    ) -> list[PlaceOutcome]:
        """Decline the entries that can no longer be in time."""
        outcomes, retained, slacks = [], [], []
        expected = backlog
        for key, entry in queue.entries:
            slack = min(
                entry.latest_start - (now + expected),
                self._heard_at[entry.key] + SILENCE_SECONDS - now,
            )
            if slack < 0:
                outcomes.append(self._decline(entry, expected, queue))
                continue
            retained.append((key, entry))
            expected += entry.engine_seconds
            slacks.append(slack)
        queue.entries = retained
        queue.due_at = now + min(slacks, default=0.0)
        queue.due_at = min(queue.due_at, self._opens_at(queue, backlog, now))
        self._note_waiting(endpoint_hash, queue)
        return outcomes

    def _opens_at(self, queue: _EngineQueue, backlog: float, now: float) -> float:
        """Return when a place may open without a report, by progress or revocation."""
        excess = max(0.0, backlog - self._settings.target_backlog)
        if excess <= queue.progress.seconds_left(now):
            return now + excess
        revoked = [
            grant.granted_at + CONFIRMATION_SECONDS for grant in queue.grants.values()
        ]
        return min(revoked, default=math.inf)

    def _decline(
        self, entry: WaitingEntry, expected: float, queue: _EngineQueue
    ) -> PlaceOutcome:
        self.outcomes["expired"] += 1
        self._endpoint_by_key.pop(entry.key, None)
        self._heard_at.pop(entry.key, None)
        decision = PlaceDecision(PlaceState.DECLINED, expected, len(queue.entries))
        return PlaceOutcome(entry, decision)

    def _grant(self, queue: _EngineQueue, entry: WaitingEntry, now: float) -> None:
        self.outcomes["granted"] += 1
        queue.grants[entry.key] = _Grant(entry, now)
        self._heard_at.pop(entry.key, None)
        self._endpoint_by_key[entry.key] = entry.endpoint_hash
        self._recent_grants.add(
            entry.ticket.organisation_hash, entry.ticket.tokens, now
        )
        queue.progress.add(entry.prefill_seconds, now)

    def _expire_grants(
        self, endpoint_hash: int, queue: _EngineQueue, now: float
    ) -> None:
        """Revoke grants that their routers have not confirmed in time."""
        if not queue.grants:
            return
        expired = [
            key
            for key, grant in queue.grants.items()
            if now - grant.granted_at > CONFIRMATION_SECONDS
        ]
        for key in expired:
            del queue.grants[key]
            self._endpoint_by_key.pop(key, None)
            self.outcomes["revoked"] += 1
        if expired:
            self._rebase(endpoint_hash, queue)

    def _rebase(self, endpoint_hash: int, queue: _EngineQueue) -> None:
        load = self._load(endpoint_hash, queue)
        queue.progress.rebase(load.prefill_seconds)

    def _load(self, endpoint_hash: int, queue: _EngineQueue) -> EndpointLoad:
        """Return the load of all routers at an engine, with unconfirmed grants."""
        load = self._facts.reported_load(endpoint_hash)
        return load + queue.granted_load() if queue.grants else load

    def _backlog(self, endpoint_hash: int, queue: _EngineQueue, now: float) -> float:
        load = self._load(endpoint_hash, queue)
        wait = self._facts.queue_wait(load, queue.slots)
        return max(0.0, wait - queue.progress.seconds(now))

    def _has_place(self, entry: WaitingEntry, backlog: float) -> bool:
        return backlog <= self._settings.target_backlog and self._facts.may_grant(
            entry.endpoint_hash
        )

    def _may_queue(self, queue: _EngineQueue, entry: WaitingEntry) -> bool:
        if len(queue.entries) >= self._settings.max_engine_entries:
            return False
        own = sum(other.sender == entry.sender for _, other in queue.entries)
        return own < self._settings.max_sender_entries

    def _reorder(self, queue: _EngineQueue, now: float) -> None:
        if now - queue.ordered_at < REORDER_SECONDS:
            return
        queue.ordered_at = now
        entries = [entry for _, entry in queue.entries]
        queue.entries = sorted(
            ((self._order_key(entry, now), entry) for entry in entries),
            key=lambda item: item[0],
        )

    def _order_key(self, entry: WaitingEntry, now: float) -> OrderKey:
        organisation = entry.ticket.organisation_hash
        allocated, level = self._facts.share_usage(organisation)
        allocated += self._recent_grants.tokens(organisation, now)
        step = served_step(allocated, level)
        return step, entry.ticket.priority, entry.latest_start

    def _note_waiting(self, endpoint_hash: int, queue: _EngineQueue) -> None:
        if queue.entries:
            self._waiting.add(endpoint_hash)
        else:
            self._waiting.discard(endpoint_hash)

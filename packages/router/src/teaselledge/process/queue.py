"""Waiting requests of one dispatcher, neediest organisation first."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from sortedcontainers import SortedDict
from teaselledge_wire.gen.router.ttypes import Register

from teaselledge.process.placement import PeerDispatcher
from teaselledge.process.standing import SortedByValue, UsageAccounts

__all__ = ["QueuedRequest", "RequestKey", "WaitingQueue"]

MAX_PASSES = 8
"""Interactive requests that may pass an aged request of their organisation."""

AGEING_SECONDS = 10.0
"""Wait after which a request that is not interactive counts as aged."""

HEAP_SLACK = 1000

LOOK_ORGANISATIONS = 8
LOOK_REQUESTS = 3
"""Limits of the search where the first request can't run on any endpoint."""


@dataclass(frozen=True)
class RequestKey:
    """Names one request over the fleet.

    Attributes
    ----------
    vm : str
        VM of the ingress that owns it.
    incarnation : int
        One life of that ingress.
    request : int
        The ingress's number for it.
    """

    vm: str
    incarnation: int
    request: int


@dataclass(frozen=True)
class QueuedRequest:
    """A waiting request.

    Attributes
    ----------
    key : RequestKey
        Its name.
    registration : Register
        As the ingress told it.
    interactive : bool
        Goes before the other requests of its organisation.
    arrived, deadline : float
        Loop times.
    fetched_from : Peer or None
        Where it was fetched from.
    return_at : float
        Loop time at which a fetched request goes back to its lender.
    """

    key: RequestKey
    registration: Register
    interactive: bool
    arrived: float
    deadline: float
    fetched_from: PeerDispatcher | None = None
    return_at: float = 0.0

    @property
    def expires_at(self) -> float:
        """Loop time after which it no longer waits here."""
        if self.fetched_from is None:
            return self.deadline
        return min(self.deadline, self.return_at)

    @property
    def organisation(self) -> str:
        """The organisation that asks."""
        return self.registration.organisation


class _Line:
    """Waiting requests of one organisation."""

    def __init__(self) -> None:
        self.interactive: SortedDict = SortedDict()
        self.others: SortedDict = SortedDict()
        self.passes = 0

    def __len__(self) -> int:
        return len(self.interactive) + len(self.others)

    def side(self, entry: QueuedRequest) -> SortedDict:
        return self.interactive if entry.interactive else self.others

    def candidates(self, now: float, only_interactive: bool) -> Iterator[QueuedRequest]:
        """Yield the requests in the order in which they should start."""
        if only_interactive:
            yield from self.interactive.values()
            return
        aged = None
        if self.others and self.passes >= MAX_PASSES:
            oldest = self.others.peekitem(0)[1]
            if now - oldest.arrived >= AGEING_SECONDS:
                aged = oldest
                yield aged
        yield from self.interactive.values()
        for entry in self.others.values():
            if entry is not aged:
                yield entry


class WaitingQueue:
    """Waiting requests; adding, removing and choosing take logarithmic time.

    Within an organisation interactive requests go first. So that the others
    always run, one that has aged goes after `MAX_PASSES` interactive ones.
    """

    def __init__(self, standings: UsageAccounts) -> None:
        self._standings = standings
        self._entries: dict[RequestKey, QueuedRequest] = {}
        self._lines: dict[str, _Line] = {}
        self._ready = SortedByValue()
        self._interactive = SortedByValue()
        self._deadlines: list[tuple[float, int, RequestKey]] = []
        self._pushed = 0
        self._borrowed = 0
        standings.subscribe(self._on_standing)

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: object) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._entries.values())

    @property
    def fetched_count(self) -> int:
        """Requests that were fetched from another dispatcher."""
        return self._borrowed

    @property
    def has_interactive(self) -> bool:
        """Whether an interactive request waits."""
        return len(self._interactive) > 0

    @property
    def least_served(self) -> str | None:
        """The organisation that is next."""
        return next(iter(self._ready), None)

    def get(self, key: RequestKey) -> QueuedRequest | None:
        """Return a waiting request."""
        return self._entries.get(key)

    def count_of(self, organisation: str) -> int:
        """Return how many requests of an organisation wait here."""
        line = self._lines.get(organisation)
        return len(line) if line else 0

    def add(self, entry: QueuedRequest) -> bool:
        """Add a request; False where it waits already."""
        if entry.key in self._entries:
            return False
        name = entry.organisation
        self._entries[entry.key] = entry
        line = self._lines.setdefault(name, _Line())
        line.side(entry)[self._rank(entry)] = entry
        self._push_end(entry)
        if entry.fetched_from is None:
            self._standings.add_local_waiting(name, 1)
        else:
            self._borrowed += 1
        standing = self._standings.normalised_usage(name)
        self._ready.put(name, standing)
        if entry.interactive:
            self._interactive.put(name, standing)
        return True

    def remove(self, key: RequestKey) -> QueuedRequest | None:
        """Take a request out, None where it does not wait."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        name = entry.organisation
        line = self._lines[name]
        del line.side(entry)[self._rank(entry)]
        if not line.interactive:
            self._interactive.drop(name)
        if not len(line):
            self._ready.drop(name)
            del self._lines[name]
        if entry.fetched_from is None:
            self._standings.add_local_waiting(name, -1)
        else:
            self._borrowed -= 1
        return entry

    def remove_started(self, key: RequestKey) -> QueuedRequest | None:
        """Take a request out because it starts, and count who was passed."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        line = self._lines[entry.organisation]
        if not entry.interactive:
            line.passes = 0
        elif line.others:
            line.passes += 1
        return self.remove(key)

    def candidates(
        self, now: float, only_interactive: bool = False
    ) -> Iterator[QueuedRequest]:
        """Yield the requests that should start next, a bounded number."""
        order = self._interactive if only_interactive else self._ready
        for name in list(islice(order, LOOK_ORGANISATIONS)):
            yield from self.candidates_of(name, now, only_interactive, LOOK_REQUESTS)

    def candidates_of(
        self, name: str, now: float, only_interactive: bool = False, limit: int = 1
    ) -> list[QueuedRequest]:
        """Return the next requests of one organisation."""
        line = self._lines.get(name)
        if line is None:
            return []
        return list(islice(line.candidates(now, only_interactive), limit))

    def expire(self, now: float) -> list[QueuedRequest]:
        """Take out the requests whose time is over."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, key = heapq.heappop(self._deadlines)
            entry = self._entries.get(key)
            if entry is None:
                continue
            # the same key may have been added again with a later end
            if entry.expires_at <= now:
                self.remove(key)
                expired.append(entry)
        return expired

    def _push_end(self, entry: QueuedRequest) -> None:
        # requests that started long before a late deadline would fill the heap
        if len(self._deadlines) > HEAP_SLACK + 2 * len(self._entries):
            self._deadlines = [
                (e.expires_at, number, e.key)
                for number, e in enumerate(self._entries.values())
            ]
            heapq.heapify(self._deadlines)
            self._pushed = len(self._deadlines)
            return
        self._pushed += 1
        heapq.heappush(self._deadlines, (entry.expires_at, self._pushed, entry.key))

    def _rank(self, entry: QueuedRequest) -> tuple[float, str, int, int]:
        key = entry.key
        return (entry.arrived, key.vm, key.incarnation, key.request)

    def _on_standing(self, name: str, standing: float) -> None:
        if name in self._ready:
            self._ready.put(name, standing)
        if name in self._interactive:
            self._interactive.put(name, standing)

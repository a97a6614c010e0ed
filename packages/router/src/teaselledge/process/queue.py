"""Queue of waiting requests, ordered by the usage of their organisations."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from sortedcontainers import SortedDict
from teaselledge_wire.gen.router.ttypes import Register

from teaselledge.process.placement import PeerDispatcher
from teaselledge.process.standing import SortedByValue, UsageAccounts

__all__ = ["QueuedRequest", "RequestKey", "WaitingQueue"]

MAX_OVERTAKES = 8
"""Number of interactive requests that may overtake an aged request."""

AGEING_SECONDS = 10.0
"""Queueing time after which a request that is not interactive is aged."""

HEAP_SLACK_ENTRIES = 1000

MAX_CANDIDATE_ORGANISATIONS = 8
MAX_CANDIDATES_PER_ORGANISATION = 3
"""Limits of the search if no endpoint can run the first request."""


@dataclass(frozen=True)
class RequestKey:
    """Identifies a request in the fleet.

    Attributes
    ----------
    vm : str
        VM of the ingress that owns it.
    incarnation : int
        Incarnation of that ingress.
    request : int
        Number that the ingress assigned.
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
        Identifies the request.
    registration : Register
        As received from the ingress.
    interactive : bool
        Whether it goes before the other requests of its organisation.
    arrived, deadline : float
        Loop times.
    fetched_from : PeerDispatcher or None
        Dispatcher from which it was fetched.
    return_at : float
        Loop time at which a fetched request leaves this queue, because the
        dispatcher that transferred it requeues it.
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
        """Loop time at which it leaves this queue."""
        if self.fetched_from is None:
            return self.deadline
        return min(self.deadline, self.return_at)

    @property
    def organisation(self) -> str:
        """The organisation of the request."""
        return self.registration.organisation


class _OrganisationQueue:
    """Waiting requests of one organisation."""

    def __init__(self) -> None:
        self.interactive: SortedDict = SortedDict()
        self.non_interactive: SortedDict = SortedDict()
        self.overtakes = 0

    def __len__(self) -> int:
        return len(self.interactive) + len(self.non_interactive)

    def bucket_of(self, entry: QueuedRequest) -> SortedDict:
        return self.interactive if entry.interactive else self.non_interactive

    def candidates(self, now: float, only_interactive: bool) -> Iterator[QueuedRequest]:
        """Yield the requests in the order in which they should start."""
        if only_interactive:
            yield from self.interactive.values()
            return
        aged = None
        if self.non_interactive and self.overtakes >= MAX_OVERTAKES:
            oldest = self.non_interactive.peekitem(0)[1]
            if now - oldest.arrived >= AGEING_SECONDS:
                aged = oldest
                yield aged
        yield from self.interactive.values()
        for entry in self.non_interactive.values():
            if entry is not aged:
                yield entry


class WaitingQueue:
    """Waiting requests; adding, removing and selecting take logarithmic time.

    The organisation with the lowest normalised usage goes first, and its
    interactive requests go before the others. To prevent starvation, the oldest
    of the others goes first once it has aged and `MAX_OVERTAKES` interactive
    requests have overtaken it.
    """

    def __init__(self, usage: UsageAccounts) -> None:
        self._usage = usage
        self._entries: dict[RequestKey, QueuedRequest] = {}
        self._queues: dict[str, _OrganisationQueue] = {}
        self._organisations = SortedByValue()
        self._interactive_organisations = SortedByValue()
        self._deadlines: list[tuple[float, int, RequestKey]] = []
        self._heap_sequence = 0
        self._fetched_count = 0
        usage.subscribe(self._reorder)

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: object) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._entries.values())

    @property
    def fetched_count(self) -> int:
        """Number of requests that were fetched from other dispatchers."""
        return self._fetched_count

    @property
    def has_interactive(self) -> bool:
        """Whether an interactive request waits."""
        return len(self._interactive_organisations) > 0

    @property
    def least_served(self) -> str | None:
        """The organisation with the lowest normalised usage."""
        return next(iter(self._organisations), None)

    def get(self, key: RequestKey) -> QueuedRequest | None:
        """Return a waiting request."""
        return self._entries.get(key)

    def count_of(self, organisation: str) -> int:
        """Return the number of waiting requests of an organisation."""
        queue = self._queues.get(organisation)
        return len(queue) if queue else 0

    def add(self, entry: QueuedRequest) -> bool:
        """Add a request and return True, or False if it is queued already."""
        if entry.key in self._entries:
            return False
        name = entry.organisation
        self._entries[entry.key] = entry
        queue = self._queues.setdefault(name, _OrganisationQueue())
        queue.bucket_of(entry)[self._sort_key(entry)] = entry
        self._push_deadline(entry)
        if entry.fetched_from is None:
            self._usage.add_local_waiting(name, 1)
        else:
            self._fetched_count += 1
        normalised_usage = self._usage.normalised_usage(name)
        self._organisations.put(name, normalised_usage)
        if entry.interactive:
            self._interactive_organisations.put(name, normalised_usage)
        return True

    def remove(self, key: RequestKey) -> QueuedRequest | None:
        """Remove and return a request, or return None if it is not queued."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        name = entry.organisation
        queue = self._queues[name]
        del queue.bucket_of(entry)[self._sort_key(entry)]
        if not queue.interactive:
            self._interactive_organisations.drop(name)
        if not len(queue):
            self._organisations.drop(name)
            del self._queues[name]
        if entry.fetched_from is None:
            self._usage.add_local_waiting(name, -1)
        else:
            self._fetched_count -= 1
        return entry

    def remove_started(self, key: RequestKey) -> QueuedRequest | None:
        """Remove a request that starts, and count whether it overtook others."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        queue = self._queues[entry.organisation]
        if not entry.interactive:
            queue.overtakes = 0
        elif queue.non_interactive:
            queue.overtakes += 1
        return self.remove(key)

    def candidates(
        self, now: float, only_interactive: bool = False
    ) -> Iterator[QueuedRequest]:
        """Yield a limited number of requests in starting order."""
        order = (
            self._interactive_organisations if only_interactive else self._organisations
        )
        for name in list(islice(order, MAX_CANDIDATE_ORGANISATIONS)):
            yield from self.candidates_of(
                name, now, only_interactive, MAX_CANDIDATES_PER_ORGANISATION
            )

    def candidates_of(
        self, name: str, now: float, only_interactive: bool = False, limit: int = 1
    ) -> list[QueuedRequest]:
        """Return the next requests of one organisation."""
        queue = self._queues.get(name)
        if queue is None:
            return []
        return list(islice(queue.candidates(now, only_interactive), limit))

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that have expired."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, key = heapq.heappop(self._deadlines)
            entry = self._entries.get(key)
            if entry is None:
                continue
            # the same key may have been added again with a later expiry
            if entry.expires_at <= now:
                self.remove(key)
                expired.append(entry)
        return expired

    def _push_deadline(self, entry: QueuedRequest) -> None:
        # Requests that start long before their deadline leave entries behind,
        # which would fill the heap.
        if len(self._deadlines) > HEAP_SLACK_ENTRIES + 2 * len(self._entries):
            self._deadlines = [
                (e.expires_at, number, e.key)
                for number, e in enumerate(self._entries.values())
            ]
            heapq.heapify(self._deadlines)
            self._heap_sequence = len(self._deadlines)
            return
        self._heap_sequence += 1
        heapq.heappush(
            self._deadlines, (entry.expires_at, self._heap_sequence, entry.key)
        )

    def _sort_key(self, entry: QueuedRequest) -> tuple[float, str, int, int]:
        key = entry.key
        return (entry.arrived, key.vm, key.incarnation, key.request)

    def _reorder(self, name: str, normalised_usage: float) -> None:
        if name in self._organisations:
            self._organisations.put(name, normalised_usage)
        if name in self._interactive_organisations:
            self._interactive_organisations.put(name, normalised_usage)

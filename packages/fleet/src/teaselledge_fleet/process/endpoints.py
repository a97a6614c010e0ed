"""What this router believes of the endpoints: their entries, newest first."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

import xxhash

from teaselledge_fleet.process.revision import Revision

__all__ = ["Endpoint", "EndpointView", "EndpointEntry", "AnnouncementId"]


@dataclass(frozen=True, order=True)
class AnnouncementId:
    """Place of a statement among all that an endpoint says of itself.

    Attributes
    ----------
    started_ms : int
        Unix time of its start in milliseconds; 0 where it is not told.
    sequence : int
        Its count of statements since then; 0 where it is not told.
    """

    started_ms: int = 0
    sequence: int = 0

    def next(self) -> "AnnouncementId":
        """Return the place of the statement that follows."""
        return AnnouncementId(self.started_ms, self.sequence + 1)


@dataclass(frozen=True)
class Endpoint:
    """An endpoint as it announces itself.

    Attributes
    ----------
    id : str
        Names this endpoint and no other.
    service : str
        Service that it runs.
    address : str
        ``host:port``.
    zone : str
        Availability zone.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it takes no new work.
    warmup_seconds : float
        How much longer it is slow after its start.
    started_ms : int
        Unix time of its start in milliseconds; 0 where it is not told.
    sequence : int
        Its count of statements since then; 0 where it is not told.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    warmup_seconds: float = field(default=0.0, compare=False)
    started_ms: int = 0
    sequence: int = field(default=0, compare=False)

    @property
    def announcement_id(self) -> AnnouncementId:
        """Which of its statements this is."""
        return AnnouncementId(self.started_ms, self.sequence)


@dataclass(frozen=True)
class EndpointEntry:
    """What the store holds of an endpoint at some revision.

    Attributes
    ----------
    id : str
        Of the endpoint.
    revision : Revision
        The store's revision of this state.
    endpoint : Endpoint or None
        None where the entry is gone.
    announcement_id : AnnouncementId
        The endpoint's own count up to which this state is known to hold.
    """

    id: str
    revision: Revision
    endpoint: Endpoint | None
    announcement_id: AnnouncementId = AnnouncementId()

    @classmethod
    def from_row(
        cls, name: str, revision: Revision, endpoint: Endpoint | None
    ) -> "EndpointEntry":
        """Return the entry that a row stands for."""
        statement = (
            endpoint.announcement_id if endpoint is not None else AnnouncementId()
        )
        return cls(name, revision, endpoint, statement)

    @property
    def accepts_requests(self) -> bool:
        """Whether the endpoint is there and not leaving."""
        return self.endpoint is not None and not self.endpoint.leaving

    def as_deleted(self, revision: Revision) -> "EndpointEntry":
        """Return the entry once its row is gone.

        An older copy of the store may hold the row again: it was written by an
        earlier statement than the one that would follow.
        """
        return EndpointEntry(self.id, revision, None, self.announcement_id.next())

    def merged_with(self, other: "EndpointEntry") -> "EndpointEntry":
        """Return which of two entries of an endpoint holds.

        Within an era the store's order decides. Across eras it means nothing; what the
        endpoint said last decides, and that it leaves where both are the same word.
        """
        if self.revision.era == other.revision.era:
            return max(self, other, key=lambda e: (e.revision, e.announcement_id))
        older, newer = sorted((self, other), key=lambda e: e.revision)
        held = older.announcement_id, not older.accepts_requests
        if held > (newer.announcement_id, not newer.accepts_requests):
            return replace(older, revision=newer.revision)
        return newer


class EndpointView:
    """Entries of all endpoints, merged by revision.

    Two views that have seen the same entries are equal, in whatever order the news
    came, because the store's revisions order all changes of an era.
    """

    def __init__(self) -> None:
        self._entries: dict[str, EndpointEntry] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._digest = 0

    def __iter__(self) -> Iterator[EndpointEntry]:
        return iter(self._entries.values())

    @property
    def digest(self) -> int:
        """Hash of the entries; equal views have equal digests."""
        return self._digest

    @property
    def endpoints(self) -> list[Endpoint]:
        """All endpoints, leaving ones included."""
        return [e.endpoint for e in self._entries.values() if e.endpoint is not None]

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint by its id."""
        entry = self._entries.get(name)
        return entry.endpoint if entry is not None else None

    def entry(self, name: str) -> EndpointEntry | None:
        """Return the entry of an endpoint, also of one that is gone."""
        return self._entries.get(name)

    def contains(self, entry: EndpointEntry) -> bool:
        """Whether an entry is known just as it is."""
        return self._entries.get(entry.id) == entry

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new work."""
        return self._by_service.get(service, [])

    def merge(self, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """Take entries that are newer, and return those that change something."""
        changed = []
        for entry in entries:
            known = self._entries.get(entry.id)
            held = entry if known is None else known.merged_with(entry)
            self._entries[entry.id] = held
            if known is None or known.endpoint != held.endpoint:
                changed.append(held)
        if changed:
            self._index()
        return changed

    def prune(self, keep: int) -> None:
        """Forget the oldest of the entries that are gone, but for so many."""
        gone = [e for e in self._entries.values() if e.endpoint is None]
        gone.sort(key=lambda entry: entry.revision)
        for entry in gone[: max(0, len(gone) - keep)]:
            del self._entries[entry.id]

    def _index(self) -> None:
        by_service: dict[str, list[Endpoint]] = {}
        digest = 0
        for entry in self._entries.values():
            endpoint = entry.endpoint
            if endpoint is None:
                continue
            text = f"{endpoint.id}\0{endpoint.address}\0{endpoint.leaving}"
            digest ^= xxhash.xxh3_64_intdigest(text.encode())
            if not endpoint.leaving:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = by_service
        self._digest = digest >> 1

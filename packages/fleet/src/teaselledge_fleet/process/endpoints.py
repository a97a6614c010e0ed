"""Endpoints, their entries in the store, and the view of all entries."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

import xxhash

from teaselledge_fleet.process.revision import Revision

__all__ = ["Endpoint", "EndpointView", "EndpointEntry", "AnnouncementId"]


@dataclass(frozen=True, order=True)
class AnnouncementId:
    """Position of an announcement among all announcements of an endpoint.

    Attributes
    ----------
    started_ms : int
        Unix time of the endpoint's start in milliseconds; 0 if unknown.
    sequence : int
        Number of the announcement since that start; 0 if unknown.
    """

    started_ms: int = 0
    sequence: int = 0

    def next(self) -> "AnnouncementId":
        """Return the position of the next announcement."""
        return AnnouncementId(self.started_ms, self.sequence + 1)


@dataclass(frozen=True)
class Endpoint:
    """An endpoint as it announces itself.

    Attributes
    ----------
    id : str
        Unique name.
    service : str
        Name of its service.
    address : str
        ``host:port``.
    zone : str
        Availability zone.
    slots : int
        Number of requests that it runs at once.
    leaving : bool
        Whether it accepts no new requests.
    warmup_seconds : float
        Remaining time in which it is slow after its start.
    started_ms : int
        Unix time of its start in milliseconds; 0 if unknown.
    sequence : int
        Number of this announcement since its start; 0 if unknown.
    version : str
        Version of its software; empty if unknown. Streams of two versions don't fit
        together.
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
    version: str = ""

    @property
    def announcement_id(self) -> AnnouncementId:
        """Position of this announcement among all of the endpoint."""
        return AnnouncementId(self.started_ms, self.sequence)


@dataclass(frozen=True)
class EndpointEntry:
    """State of an endpoint in the store at some revision.

    Attributes
    ----------
    id : str
        Name of the endpoint.
    revision : Revision
        Revision of the store at which this state was written.
    endpoint : Endpoint or None
        The announced endpoint; None if its row was deleted.
    announcement_id : AnnouncementId
        Last announcement of the endpoint that this state accounts for.
    """

    id: str
    revision: Revision
    endpoint: Endpoint | None
    announcement_id: AnnouncementId = AnnouncementId()

    @classmethod
    def from_row(
        cls, name: str, revision: Revision, endpoint: Endpoint | None
    ) -> "EndpointEntry":
        """Return the entry of a row."""
        announcement_id = (
            endpoint.announcement_id if endpoint is not None else AnnouncementId()
        )
        return cls(name, revision, endpoint, announcement_id)

    @property
    def accepts_requests(self) -> bool:
        """Whether the endpoint exists and is not leaving."""
        return self.endpoint is not None and not self.endpoint.leaving

    def as_deleted(self, revision: Revision) -> "EndpointEntry":
        """Return the entry after the deletion of its row.

        A restored copy of the store may contain the row again. Its announcement is
        older than the next one, which this entry accounts for.
        """
        return EndpointEntry(self.id, revision, None, self.announcement_id.next())

    def _position(self) -> tuple[Revision, AnnouncementId, bool]:
        return self.revision, self.announcement_id, self.endpoint is not None

    def merged_with(self, other: "EndpointEntry") -> "EndpointEntry":
        """Return which of two entries of an endpoint is in force.

        Within an era the later revision wins; of two entries at one revision, the one
        whose engine is not withheld. Revisions of different eras can't be compared, so
        the endpoint's later announcement wins; of two entries with the same
        announcement, the one that is leaving or deleted wins.
        """
        if self.revision.era == other.revision.era:
            return max(self, other, key=EndpointEntry._position)
        older, newer = sorted((self, other), key=lambda e: e.revision)
        older_key = older.announcement_id, not older.accepts_requests
        if older_key > (newer.announcement_id, not newer.accepts_requests):
            return replace(older, revision=newer.revision)
        return newer


class EndpointView:
    """Entries of all endpoints, merged by revision.

    Two views that merged the same entries are equal, whatever the order in which
    these arrived, because the store's revisions order all changes of an era.
    """

    def __init__(self) -> None:
        self._entries: dict[str, EndpointEntry] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._digest = 0

    def __iter__(self) -> Iterator[EndpointEntry]:
        return iter(self._entries.values())

    @property
    def digest(self) -> int:
        """Hash of the endpoints; equal views have equal digests."""
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
        """Return the entry of an endpoint, also of a deleted one."""
        return self._entries.get(name)

    def contains(self, entry: EndpointEntry) -> bool:
        """Whether the view contains an equal entry."""
        return self._entries.get(entry.id) == entry

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests."""
        return self._by_service.get(service, [])

    def merge(self, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """Merge entries and return those that changed an endpoint."""
        changed = []
        for entry in entries:
            known = self._entries.get(entry.id)
            merged = entry if known is None else known.merged_with(entry)
            self._entries[entry.id] = merged
            if known is None or known.endpoint != merged.endpoint:
                changed.append(merged)
        if changed:
            self._index()
        return changed

    def prune(self, keep: int) -> None:
        """Remove the entries of deleted endpoints, except for the newest `keep`."""
        deleted = [e for e in self._entries.values() if e.endpoint is None]
        deleted.sort(key=lambda entry: entry.revision)
        for entry in deleted[: max(0, len(deleted) - keep)]:
            del self._entries[entry.id]

    def _index(self) -> None:
        by_service: dict[str, list[Endpoint]] = {}
        digest = 0
        for entry in self._entries.values():
            endpoint = entry.endpoint
            if endpoint is None:
                continue
            text = f"{endpoint.id}\0{endpoint.address}\0{endpoint.leaving}"
            if endpoint.version:
                text += f"\0{endpoint.version}"
            digest ^= xxhash.xxh3_64_intdigest(text.encode())
            if not endpoint.leaving:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = by_service
        self._digest = digest >> 1

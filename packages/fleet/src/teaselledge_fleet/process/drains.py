"""Zones that operators have drained: their endpoints get no new requests."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

import xxhash

from teaselledge_fleet.process.revision import Revision

__all__ = ["DrainedZones", "ZoneDrain"]


@dataclass(frozen=True)
class ZoneDrain:
    """Whether a zone is drained, as of a revision of the store.

    Attributes
    ----------
    zone : str
        Availability zone.
    revision : Revision
        Revision at which the zone was drained or taken back.
    drained : bool
        False once the zone was taken back.
    """

    zone: str
    revision: Revision
    drained: bool


class DrainedZones:
    """The drains of all zones, merged by revision.

    Entries of zones that were taken back are retained, so that a router that was cut
    off can't drain them again. There are no more of them than zones.

    Attributes
    ----------
    version : int
        Number of changes so far.
    """

    def __init__(self) -> None:
        self._drains: dict[str, ZoneDrain] = {}
        self.version = 0

    def __iter__(self) -> Iterator[ZoneDrain]:
        return iter(self._drains.values())

    def __contains__(self, zone: object) -> bool:
        drain = self._drains.get(zone) if isinstance(zone, str) else None
        return drain is not None and drain.drained

    @property
    def zones(self) -> list[str]:
        """Names of the drained zones."""
        return sorted(drain.zone for drain in self if drain.drained)

    @property
    def digest(self) -> int:
        """Hash of the drained zones; 0 without any."""
        digest = 0
        for zone in self.zones:
            digest ^= xxhash.xxh3_64_intdigest(f"drained\0{zone}".encode())
        return digest >> 1

    def merge(self, drains: Iterable[ZoneDrain]) -> list[ZoneDrain]:
        """Merge drains and return those that drained a zone or took it back."""
        changed = []
        for drain in drains:
            known = self._drains.get(drain.zone)
            if known is not None and drain.revision <= known.revision:
                continue
            self._drains[drain.zone] = drain
            if drain.drained != (known is not None and known.drained):
                changed.append(drain)
        self.version += len(changed)
        return changed

    def missing_from(
        self, present: Mapping[str, ZoneDrain], revision: Revision
    ) -> list[ZoneDrain]:
        """Return the drains that a read of all rows at a revision shows as ended."""
        return [
            replace(drain, revision=revision, drained=False)
            for drain in self
            if drain.drained and drain.zone not in present and drain.revision < revision
        ]

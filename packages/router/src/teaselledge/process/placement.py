"""Which VM dispatches for a shard."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import xxhash

from teaselledge.process.member import Member
from teaselledge.version.document import Document

__all__ = [
    "PeerDispatcher",
    "Placement",
    "Shard",
    "select_dispatcher",
    "distance",
    "home_shard",
    "representative_zone",
    "service_zones",
]

CROSS_REGION = 2
"""Distance between zones of different regions."""


@dataclass(frozen=True)
class Shard:
    """The endpoints of one service in one availability zone."""

    service: str
    zone: str


@dataclass(frozen=True)
class PeerDispatcher:
    """The dispatcher of another shard of the service.

    Attributes
    ----------
    vm : str
        VM on which it runs.
    zone : str
        Zone of its shard.
    """

    vm: str
    zone: str


def distance(document: Document, zone: str, other: str) -> int:
    """Return 0 in a zone, 1 in a region and 2 across regions."""
    if zone == other:
        return 0
    here, there = document.zones.get(zone), document.zones.get(other)
    if here is None or there is None:
        return CROSS_REGION
    return 1 if here.region == there.region else CROSS_REGION


def _score(member: Member, shard: Shard) -> int:
    text = f"{shard.service}\0{shard.zone}\0{member.vm}"
    return xxhash.xxh3_64_intdigest(text.encode())


def select_dispatcher(
    document: Document, shard: Shard, members: Iterable[Member]
) -> Member | None:
    """Return the VM that dispatches for a shard.

    Rendezvous hashing over the VMs that are not leaving, nearest zone first:
    a VM that comes or goes moves only its own shards. Views of the members
    differ for seconds; until they agree a shard may have two dispatchers,
    which over-admits a little and harms nothing else.
    """
    staying = [member for member in members if not member.leaving]
    if not staying:
        return None
    return min(
        staying,
        key=lambda m: (distance(document, shard.zone, m.zone), -_score(m, shard)),
    )


def service_zones(document: Document, service: str) -> set[str]:
    """Return the zones in which a service has endpoints that take work."""
    endpoints = document.services[service].endpoints.values()
    staying = {endpoint.zone for endpoint in endpoints if not endpoint.leaving}
    return staying or {endpoint.zone for endpoint in endpoints}


def home_shard(
    document: Document, service: str, zone: str, excluded: Iterable[str] = ()
) -> Shard | None:
    """Return the shard where an ingress in a zone registers its requests.

    It is the nearest with an endpoint that is not excluded.
    """
    found = document.services.get(service)
    if found is None:
        return None
    usable = {name: e for name, e in found.endpoints.items() if name not in excluded}
    staying = [e for e in usable.values() if not e.leaving]
    zones = {endpoint.zone for endpoint in staying or usable.values()}
    if not zones:
        return None
    nearest = min(zones, key=lambda z: (distance(document, zone, z), z))
    return Shard(service, nearest)


def representative_zone(document: Document, service: str, region: str) -> str | None:
    """Return the zone whose dispatcher speaks for a region to the others."""
    zones = [
        zone
        for zone in service_zones(document, service)
        if zone in document.zones and document.zones[zone].region == region
    ]
    if not zones:
        return None
    return max(
        zones, key=lambda z: xxhash.xxh3_64_intdigest(f"{service}\0{z}".encode())
    )


class Placement:
    """Which VM dispatches for which shard, in this router's view.

    Answers are kept until the members change. A VM under suspicion does not
    answer although it is heard, as after a split in one direction; it is
    passed over until it answers.
    """

    def __init__(self, members: Callable[[], Iterable[Member]]) -> None:
        self._members = members
        self._seen: frozenset[tuple[str, str, int]] = frozenset()
        self._suspects: set[str] = set()
        self._by_zone: dict[str, list[Member]] = {}
        self._found: dict[Shard, Member | None] = {}
        self._document: Document | None = None

    @property
    def suspects(self) -> set[str]:
        """VMs that are passed over."""
        return self._suspects

    def suspect(self, vm: str) -> None:
        """Pass a VM over."""
        self._suspects.add(vm)
        self._seen = frozenset()

    def clear_suspect(self, vm: str) -> None:
        """End the suspicion against a VM."""
        if vm in self._suspects:
            self._suspects.discard(vm)
            self._seen = frozenset()

    def refresh(self) -> bool:
        """Look at the members again and return whether any came or went."""
        staying = [member for member in self._members() if not member.leaving]
        seen = frozenset((m.vm, m.zone, m.incarnation) for m in staying)
        if seen == self._seen:
            return False
        self._seen = seen
        self._suspects &= {member.vm for member in staying}
        self._by_zone = {}
        for member in staying:
            if member.vm not in self._suspects:
                self._by_zone.setdefault(member.zone, []).append(member)
        self._found = {}
        return True

    def live(self, vm: str) -> bool:
        """Return whether a VM was a member at the last refresh."""
        return any(name == vm for name, _, _ in self._seen)

    def dispatcher(self, document: Document, shard: Shard) -> Member | None:
        """Return the VM that dispatches for a shard, see `select_dispatcher`."""
        if not self._seen:
            self.refresh()
        if document is not self._document:
            self._document = document
            self._found = {}
        if shard not in self._found:
            candidates = self._by_zone.get(shard.zone)
            if not candidates:
                candidates = [m for zone in self._by_zone.values() for m in zone]
            self._found[shard] = select_dispatcher(document, shard, candidates)
        return self._found[shard]

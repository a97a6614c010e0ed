"""Assignment of shards to the VMs that dispatch for them."""

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
    """Dispatcher of another shard of the service.

    Attributes
    ----------
    vm : str
        VM of the dispatcher.
    zone : str
        Zone of its shard.
    """

    vm: str
    zone: str


def distance(document: Document, zone: str, other: str) -> int:
    """Return 0 for the same zone, 1 for the same region and 2 across regions."""
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

    Uses rendezvous hashing over the VMs of the nearest zone that are not
    leaving, so that a VM that joins or leaves moves only its own shards.
    Membership views differ for seconds. Until they converge, a shard may have
    two dispatchers, which admit slightly too many requests; there is no other
    harm.
    """
    active = [member for member in members if not member.leaving]
    if not active:
        return None
    return min(
        active,
        key=lambda m: (distance(document, shard.zone, m.zone), -_score(m, shard)),
    )


def service_zones(document: Document, service: str) -> set[str]:
    """Return the zones in which a service has endpoints that are not leaving.

    If all are leaving, return the zones of all endpoints.
    """
    endpoints = document.services[service].endpoints.values()
    active = {endpoint.zone for endpoint in endpoints if not endpoint.leaving}
    return active or {endpoint.zone for endpoint in endpoints}


def home_shard(
    document: Document, service: str, zone: str, excluded: Iterable[str] = ()
) -> Shard | None:
    """Return the shard where an ingress in a zone registers its requests.

    It is the nearest one with an endpoint that is not excluded.
    """
    definition = document.services.get(service)
    if definition is None:
        return None
    usable = {
        name: e for name, e in definition.endpoints.items() if name not in excluded
    }
    active = [e for e in usable.values() if not e.leaving]
    zones = {endpoint.zone for endpoint in active or usable.values()}
    if not zones:
        return None
    nearest = min(zones, key=lambda z: (distance(document, zone, z), z))
    return Shard(service, nearest)


def representative_zone(document: Document, service: str, region: str) -> str | None:
    """Return the zone whose dispatcher exchanges reports with other regions."""
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
    """Assignment of the shards to VMs, in the membership view of this router.

    Results are cached until the members change. A suspected VM does not reply
    although its messages arrive, as after a network partition in one direction;
    it is excluded until it replies.
    """

    def __init__(self, members: Callable[[], Iterable[Member]]) -> None:
        self._members = members
        self._known_members: frozenset[tuple[str, str, int]] = frozenset()
        self._suspects: set[str] = set()
        self._members_by_zone: dict[str, list[Member]] = {}
        self._dispatchers: dict[Shard, Member | None] = {}
        self._document: Document | None = None

    @property
    def suspects(self) -> set[str]:
        """VMs that are excluded."""
        return self._suspects

    def suspect(self, vm: str) -> None:
        """Exclude a VM until `clear_suspect`."""
        self._suspects.add(vm)
        self._known_members = frozenset()

    def clear_suspect(self, vm: str) -> None:
        """Include a suspected VM again."""
        if vm in self._suspects:
            self._suspects.discard(vm)
            self._known_members = frozenset()

    def refresh(self) -> bool:
        """Update the members and return whether any joined or left."""
        active = [member for member in self._members() if not member.leaving]
        known_members = frozenset((m.vm, m.zone, m.incarnation) for m in active)
        if known_members == self._known_members:
            return False
        self._known_members = known_members
        self._suspects &= {member.vm for member in active}
        self._members_by_zone = {}
        for member in active:
            if member.vm not in self._suspects:
                self._members_by_zone.setdefault(member.zone, []).append(member)
        self._dispatchers = {}
        return True

    def live(self, vm: str) -> bool:
        """Return whether a VM was a member at the last refresh."""
        return any(name == vm for name, _, _ in self._known_members)

    def dispatcher(self, document: Document, shard: Shard) -> Member | None:
        """Return the VM that dispatches for a shard, see `select_dispatcher`."""
        if not self._known_members:
            self.refresh()
        if document is not self._document:
            self._document = document
            self._dispatchers = {}
        if shard not in self._dispatchers:
            candidates = self._members_by_zone.get(shard.zone)
            if not candidates:
                candidates = [
                    m for zone in self._members_by_zone.values() for m in zone
                ]
            self._dispatchers[shard] = select_dispatcher(document, shard, candidates)
        return self._dispatchers[shard]

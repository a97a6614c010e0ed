"""Selection of the routers that a router exchanges heartbeats with."""

from collections.abc import Iterable, Sequence

import xxhash

from teaselledge.process.member import Member

__all__ = ["FULL_MESH", "NEAR_RINGS", "neighbours"]

FULL_MESH = 9
"""Fleet size up to which every router sends heartbeats to all others."""

NEAR_RINGS = 3
"""Number of rings among the routers of one zone."""


def neighbours(own: Member, members: Iterable[Member]) -> list[str]:
    """Return the routers to which a router sends heartbeats.

    The routers are ordered on several hash rings, each with its own hash. A router's
    neighbours are its successors on the rings of its zone, the next router of another
    zone and the next one of another region. So every router is monitored by about as
    many routers as it monitors, some of them outside its zone, and updates cross the
    fleet in few hops. A router that joins or leaves changes only adjacent links.
    """
    all_members = [member for member in members if member.vm != own.vm]
    if len(all_members) < FULL_MESH:
        return sorted(member.vm for member in all_members)
    zone = [member for member in all_members if member.zone == own.zone]
    found: dict[str, None] = {}
    for ring in range(NEAR_RINGS):
        _add_next(found, own.vm, zone, ring)
    other_zones = [member for member in all_members if member.zone != own.zone]
    _add_next(found, own.vm, other_zones, NEAR_RINGS)
    other_regions = [member for member in other_zones if member.region != own.region]
    _add_next(found, own.vm, other_regions or other_zones, NEAR_RINGS + 1)
    return list(found)


def _ring_position(vm: str, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode(), ring)


def _add_next(
    found: dict[str, None], own: str, members: Sequence[Member], ring: int
) -> None:
    own_position = _ring_position(own, ring)
    candidates = [member.vm for member in members if member.vm not in found]
    if not candidates:
        return
    ring_size = 1 << 64
    found[
        min(
            candidates,
            key=lambda vm: (_ring_position(vm, ring) - own_position) % ring_size,
        )
    ] = None

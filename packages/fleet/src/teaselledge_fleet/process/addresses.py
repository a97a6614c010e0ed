"""Which routers a caller should use."""

import random
from collections.abc import Mapping, Sequence

from teaselledge_fleet.process.members import Member

__all__ = ["addresses_for", "spare_cores"]

ENOUGH = 2
"""Least routers in an answer, where there are as many.

With one alone, its loss would leave the caller without any until it asks again.
"""

MOST = 64
"""Addresses in one answer that callers read."""

EASY = 0.55
"""Part of its processor time up to which a zone's routers take all its callers.

Beyond it callers are sent to other zones too, so that the zone stays at about 0.75
when it is asked for a fifth more than it can do. Streams are passed on late by a
router that is used up.
"""

MOST_ELSEWHERE = 0.8
"""Largest part of the addresses that are in other zones."""

USED_UP = 0.85
"""Part of its processor time beyond which a router is not named."""

ALIKE = 1.5
"""Routers whose room differs by less are all named; they share callers evenly."""

LEAST_SPARE = 0.05
"""Part of its cores that a router counts with, however busy it is."""


def addresses_for(
    ready: Sequence[Member], zones: Mapping[str, str], zone: str, region: str
) -> list[str]:
    """Return the addresses of routers that take requests, nearest first.

    Callers pick one at random for each connection. So the nearest are named, those
    with more room more often, and others as far as the nearest are busy.
    """
    region = region or zones.get(zone, "")
    near = [m for m in ready if m.zone == zone]
    roomy = _with_room(near)
    chosen = _sample(roomy, _count(roomy))
    missing = max(ENOUGH - len(chosen), _elsewhere(near, len(chosen)))
    for ring in (
        [m for m in ready if m.zone != zone and m.region == region],
        [m for m in ready if m.zone != zone and m.region != region],
    ):
        added = _sample(_with_room(ring), max(0, missing))
        chosen += added
        missing -= len(added)
    return [member.caller_address for member in chosen[:MOST]]


def _with_room(members: Sequence[Member]) -> Sequence[Member]:
    """Leave out routers of a zone that are used up, as long as enough are left.

    Callers drop their open connections to routers that are not named.
    """
    left = [member for member in members if member.utilisation < USED_UP]
    return left if len(left) >= ENOUGH else members


def spare_cores(member: Member) -> float:
    """Return the processor time a second that a router has left."""
    return member.cores * max(LEAST_SPARE, 1.0 - member.utilisation)


def _busy(members: Sequence[Member]) -> float:
    """Return which part of all their processor time routers use."""
    cores = sum(member.cores for member in members)
    return sum(m.cores * m.utilisation for m in members) / cores if cores else 0.0


def _count(members: Sequence[Member]) -> int:
    """Return how many of a zone's routers one answer names.

    Where they differ, each answer names half of them, drawn by room: over many
    answers a router is named, and picked, as often as its room allows.
    """
    if len(members) <= ENOUGH:
        return len(members)
    spares = [spare_cores(member) for member in members]
    if max(spares) < ALIKE * min(spares):
        return len(members)
    return max(ENOUGH, len(members) // 2)


def _elsewhere(near: Sequence[Member], named: int) -> int:
    """Return how many routers of other zones to name beside those of the own."""
    busy = _busy(near)
    if busy <= EASY:
        return 0
    part = min(MOST_ELSEWHERE, (busy - EASY) / busy)
    return round(named * part / (1 - part) + random.random() - 0.5)


def _sample(members: Sequence[Member], count: int) -> list[Member]:
    """Draw routers by their room, without repeating any."""
    keyed = [(random.random() ** (1 / spare_cores(m)), m) for m in members]
    keyed.sort(key=lambda pair: pair[0], reverse=True)
    return [member for _, member in keyed[:count]]

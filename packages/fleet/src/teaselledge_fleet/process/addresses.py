"""Selection of the router addresses that are returned to a caller."""

import asyncio
import random
from collections.abc import Iterable, Mapping, Sequence

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.members import Member
from teaselledge_fleet.process.spillover import zone_utilisation
from teaselledge_fleet.version.residency import ANYWHERE, Residency

__all__ = ["RegionCoverage", "addresses_for", "spare_cores"]

_log = get_log("addresses")

MIN_ADDRESSES = 2
"""Minimum number of routers in a response, if that many are ready.

A caller that knows a single router has none if that one dies, until its next request
for addresses.
"""

MAX_ADDRESSES = 64
"""Maximum number of addresses in a response that callers read."""

MAX_ZONE_UTILISATION = 0.55
"""Utilisation of a zone's routers up to which they get all callers of their zone.

Above it some callers are sent to other zones. With a fifth more load than the zone can
serve, its utilisation then stays at about 0.75. Overloaded routers delay the events of
streams.
"""

MAX_OTHER_ZONES_FRACTION = 0.8
"""Maximum fraction of the addresses that are in other zones."""

OVERLOADED_UTILISATION = 0.85
"""Utilisation from which a router is omitted from responses."""

SIMILAR_SPARE_RATIO = 1.5
"""Ratio of spare cores below which all routers of a zone are returned, so that callers
spread evenly."""

MIN_SPARE_FRACTION = 0.05
"""Minimum fraction of its cores that counts as spare, whatever the utilisation."""


COVERAGE_SECONDS = 5.0
"""Time for which every region must have had a ready router until callers are assumed to
connect to their own region only. They use outdated addresses for up to 1.5 s."""


def addresses_for(
    ready: Sequence[Member],
    zones: Mapping[str, str],
    zone: str,
    region: str,
    residency: Residency = ANYWHERE,
    spillover: float = 0.0,
) -> list[str]:
    """Return the addresses of routers that accept requests, nearest first.

    Callers pick an address at random for each connection. So the nearest routers are
    returned, those with more spare cores more often, and routers of other zones in
    proportion to the excess utilisation of the nearest.

    Parameters
    ----------
    ready : sequence of Member
        The routers that accept requests.
    zones : mapping of str to str
        Region of each zone.
    zone, region : str
        Location of the caller.
    residency : Residency
        Other regions whose routers may receive the caller's requests. Routers of the
        remaining regions are returned only if there are no others.
    spillover : float
        Minimum fraction of the addresses that are in other zones of the region.
    """
    region = region or zones.get(zone, "")
    allowed = [m for m in ready if m.region == region or residency.allows(m.region)]
    ready = allowed or ready
    near = [m for m in ready if m.zone == zone]
    candidates = _omit_overloaded(near)
    chosen = _sample(candidates, _near_count(candidates))
    near_count = len(chosen)
    missing = max(
        MIN_ADDRESSES - near_count,
        _addresses_beside(near_count, _other_zones_fraction(near)),
    )
    same_region = [m for m in ready if m.zone != zone and m.region == region]
    added = _sample(
        _omit_overloaded(same_region),
        max(missing, _addresses_beside(near_count, spillover)),
    )
    chosen += added
    others = [m for m in ready if m.zone != zone and m.region != region]
    chosen += _sample(_omit_overloaded(others), max(0, missing - len(added)))
    return [member.caller_address for member in chosen[:MAX_ADDRESSES]]


class RegionCoverage:
    """Tracks whether callers connect to routers of their own region only.

    While a region has no ready router, its callers are sent to others.

    Parameters
    ----------
    zones : mapping of str to str
        Region of each zone.
    """

    def __init__(self, zones: Mapping[str, str]) -> None:
        self._regions = frozenset(zones.values())
        self._covered_since: float | None = None

    def update(self, ready: Iterable[Member]) -> None:
        """Record the routers that accept requests at present."""
        ready_regions = {member.region for member in ready}
        covered = self._regions <= ready_regions
        if covered is not (self._covered_since is not None):
            # a warning, as an overloaded router drops lines of lower levels
            _log.warning(
                "all regions ready" if covered else "region without a ready router",
                ready_regions=sorted(ready_regions),
            )
        if not covered:
            self._covered_since = None
        elif self._covered_since is None:
            self._covered_since = asyncio.get_running_loop().time()

    @property
    def complete(self) -> bool:
        """Whether every region has had a ready router for some time."""
        since = self._covered_since
        return (
            since is not None
            and asyncio.get_running_loop().time() - since >= COVERAGE_SECONDS
        )


def _omit_overloaded(members: Sequence[Member]) -> Sequence[Member]:
    """Return the routers that are not overloaded, or all if too few are left.

    Callers close their open connections to routers that are not in the response.
    """
    remaining = [
        member for member in members if member.utilisation < OVERLOADED_UTILISATION
    ]
    return remaining if len(remaining) >= MIN_ADDRESSES else members


def spare_cores(member: Member) -> float:
    """Return the number of cores that a router has left."""
    return member.cores * max(MIN_SPARE_FRACTION, 1.0 - member.utilisation)


def _near_count(members: Sequence[Member]) -> int:
    """Return the number of a zone's routers in one response.

    If their spare cores differ, a response contains half of them, drawn with spare
    cores as weights: over many responses, the frequency of a router, and so the number
    of its callers, follows its spare cores.
    """
    if len(members) <= MIN_ADDRESSES:
        return len(members)
    spares = [spare_cores(member) for member in members]
    if max(spares) < SIMILAR_SPARE_RATIO * min(spares):
        return len(members)
    return max(MIN_ADDRESSES, len(members) // 2)


def _other_zones_fraction(near: Sequence[Member]) -> float:
    """Return the fraction of addresses in other zones by the utilisation of a zone."""
    utilisation = zone_utilisation(near)
    if utilisation <= MAX_ZONE_UTILISATION:
        return 0.0
    return min(
        MAX_OTHER_ZONES_FRACTION, (utilisation - MAX_ZONE_UTILISATION) / utilisation
    )


def _addresses_beside(near_count: int, fraction: float) -> int:
    """Return how many addresses of other zones make up a fraction of all.

    Rounded up or down at random, so that the mean over many responses is exact.
    """
    if not fraction:
        return 0
    return round(near_count * fraction / (1 - fraction) + random.random() - 0.5)


def _sample(members: Sequence[Member], count: int) -> list[Member]:
    """Draw distinct routers with their spare cores as weights."""
    keyed = [(random.random() ** (1 / spare_cores(m)), m) for m in members]
    keyed.sort(key=lambda pair: pair[0], reverse=True)
    return [member for _, member in keyed[:count]]

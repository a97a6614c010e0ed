"""Which routers a caller should use."""

import random
from collections.abc import Mapping, Sequence

from teaselledge_fleet.process.members import Member

__all__ = ["addresses_for"]

ENOUGH = 2
"""Routers in the caller's own zone from which on no others are named.

With one alone, its loss would leave the caller without any until it asks again.
"""

MOST = 64
"""Addresses in one answer that callers read."""


def addresses_for(
    ready: Sequence[Member], zones: Mapping[str, str], zone: str, region: str
) -> list[str]:
    """Return the addresses of the nearest routers that take requests.

    Callers pick one at random for each connection, so naming only the nearest
    keeps their traffic inside the zone and spreads it evenly there.
    """
    region = region or zones.get(zone, "")
    rings = [
        [m for m in ready if m.zone == zone],
        [m for m in ready if m.zone != zone and m.region == region],
        [m for m in ready if m.zone != zone and m.region != region],
    ]
    chosen: list[Member] = []
    for ring in rings:
        chosen += random.sample(ring, len(ring))
        if len(chosen) >= ENOUGH:
            break
    return [member.callers for member in chosen[:MOST]]

"""Send callers of a crowded zone to other zones of its region.

Answers a load that one zone can't serve while the others have room. The utilisation of
saturated routers does not tell how many more callers there are than they can serve, so
the fraction sent elsewhere grows until the utilisation of the zone falls.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from teaselledge_fleet.process.members import Member

__all__ = [
    "RefusedFraction",
    "ZoneSpillover",
    "offered_utilisation",
    "zone_utilisation",
]

TARGET_UTILISATION = 0.6
"""Utilisation of a zone's routers at which the fraction stays as it is, unless the
other zones of the region are used more."""

GROWTH_PER_SECOND = 1.0
"""Growth of the fraction in a second for each unit of utilisation above the target.

A zone that is saturated sends 0.4 of its callers elsewhere after a second. Callers use
new addresses within 0.5 s, and routers report their utilisation every 0.4 s."""

MAX_FRACTION = 0.8
MAX_STEP_SECONDS = 0.5
"""Longest time between two updates that is counted."""

REFUSING_UTILISATION = 0.6
"""Utilisation that a router reports at least while it refuses connections, to which the
refused fraction is added."""

MIN_REFUSED_FRACTION = 0.02
"""Refused fraction below which a router does not count as refusing."""

SMOOTHING_FACTOR = 0.15
"""Weight of the latest tick; the average follows a change within half a second."""


class RefusedFraction:
    """Fraction of a router's new connections that it refused lately.

    Attributes
    ----------
    value : float
        The fraction, 0 to 1.
    """

    def __init__(self) -> None:
        self.value = 0.0
        self._opened = self._refused = 0.0

    def update(self, opened: float, refused: float) -> None:
        """Update the fraction once a tick.

        Parameters
        ----------
        opened, refused : float
            Connections that callers opened since the start, and those of them refused.
        """
        new_opened, new_refused = opened - self._opened, refused - self._refused
        self._opened, self._refused = opened, refused
        latest = new_refused / new_opened if new_opened else 0.0
        self.value += SMOOTHING_FACTOR * (min(1.0, latest) - self.value)


@dataclass
class _ZoneState:
    fraction: float
    updated_at: float


class ZoneSpillover:
    """Adapts the fraction of each zone's callers that are sent to other zones."""

    def __init__(self) -> None:
        self._states: dict[str, _ZoneState] = {}

    def fraction(self, zone: str) -> float:
        """Return the fraction of a zone as it was last updated; 0 if it never was."""
        state = self._states.get(zone)
        return state.fraction if state is not None else 0.0

    def update(self, zone: str, ready: Sequence[Member]) -> float:
        """Update the fraction for callers of a zone by the ready routers; return it."""
        now = asyncio.get_running_loop().time()
        state = self._states.setdefault(zone, _ZoneState(0.0, now))
        seconds = min(MAX_STEP_SECONDS, now - state.updated_at)
        utilisation = zone_utilisation([m for m in ready if m.zone == zone])
        state.fraction += (
            GROWTH_PER_SECOND * seconds * (utilisation - TARGET_UTILISATION)
        )
        state.fraction = min(MAX_FRACTION, max(0.0, state.fraction))
        state.updated_at = now
        return state.fraction


def _excess_utilisation(zone: str, ready: Sequence[Member]) -> float:
    """Return by how much a zone exceeds the target and the rest of its region."""
    own = [member for member in ready if member.zone == zone]
    regions = {member.region for member in own}
    others = [m for m in ready if m.zone != zone and m.region in regions]
    return zone_utilisation(own) - max(TARGET_UTILISATION, zone_utilisation(others))


def zone_utilisation(members: Sequence[Member]) -> float:
    """Return the utilisation of some routers together, 0 without any."""
    cores = sum(member.cores for member in members)
    return sum(m.cores * m.utilisation for m in members) / cores if cores else 0.0


def offered_utilisation(utilisation: float, refused_fraction: float) -> float:
    """Return the utilisation that a router reports, 0 to 1.

    A router that limits its connections has time left just because it refuses some.
    """
    if refused_fraction < MIN_REFUSED_FRACTION:
        return utilisation
    return min(1.0, max(utilisation, REFUSING_UTILISATION + refused_fraction))

"""Address lists: the routers that a caller should use, and for how long."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from teaselledge.process.member import Member
from teaselledge.process.placement import distance
from teaselledge.version.document import Version

__all__ = ["RouterResolver", "AddressList"]

MAX_ADDRESSES = 16
"""Maximum number of addresses in a list."""

MAX_NEAREST = 12
"""Maximum number of addresses from the nearest zone, in case that zone fails."""


@dataclass(frozen=True)
class AddressList:
    """Address list for a caller.

    Attributes
    ----------
    keep_seconds : float
        Time for which the caller may cache the list.
    members : tuple of Member
        Routers in the order in which to try them.
    """

    keep_seconds: float
    members: tuple[Member, ...]

    def as_json(self) -> dict[str, Any]:
        """Return the body of the response."""
        return {
            "keep_seconds": self.keep_seconds,
            "addresses": [
                {"address": m.caller_address, "zone": m.zone, "region": m.region}
                for m in self.members
            ],
        }


class RouterResolver:
    """Selects the routers that callers should use.

    Parameters
    ----------
    zone : str
        This router's zone, used for callers that name none.
    keep_seconds : float
        Validity of a list; a leaving router continues to serve for that time.
    members : callable
        Returns the live routers.
    version : callable
        Returns the configuration in force, which contains the regions.
    chance : random.Random or None
        Random numbers for the order of the routers.
    """

    def __init__(
        self,
        zone: str,
        keep_seconds: float,
        members: Callable[[], Iterable[Member]],
        version: Callable[[], Version | None],
        rng: random.Random | None = None,
    ) -> None:
        self._zone = zone
        self._keep_seconds = keep_seconds
        self._members = members
        self._version = version
        self._rng = rng or random.Random()

    def resolve(self, zone: str | None = None) -> AddressList:
        """Return the routers for a caller in a zone, nearest first.

        Leaving routers are excluded, and so are routers without a configuration
        unless none has one. Routers at the same distance are shuffled for each
        list, with idle ones more often in front: with a fixed order all callers
        would use the same router.
        """
        not_leaving = [m for m in self._members() if not m.leaving and m.caller_address]
        configured = [member for member in not_leaving if member.version > 0]
        groups = self._by_distance(configured or not_leaving, zone)
        ordered: list[Member] = []
        for members in groups:
            ordered.extend(self._shuffle(members))
        if len(groups) > 1 and len(groups[0]) > MAX_NEAREST:
            first = ordered[:MAX_NEAREST]
            ordered = first + ordered[len(groups[0]) :] + ordered[MAX_NEAREST:]
        return AddressList(self._keep_seconds, tuple(ordered[:MAX_ADDRESSES]))

    def alternative_address(self, own: str) -> str:
        """Return the address of another router, or an empty string.

        The router is live and not leaving.
        """
        others = [m for m in self.resolve().members if m.vm != own]
        return others[0].caller_address if others else ""

    def _by_distance(
        self, members: Iterable[Member], zone: str | None
    ) -> list[list[Member]]:
        version = self._version()
        caller_zone = zone or self._zone
        if version is not None and caller_zone not in version.document.zones:
            caller_zone = self._zone
        groups: dict[int, list[Member]] = {}
        for member in members:
            zone_distance = 0 if member.zone == caller_zone else 1
            if version is not None:
                zone_distance = distance(version.document, caller_zone, member.zone)
            groups.setdefault(zone_distance, []).append(member)
        return [groups[zone_distance] for zone_distance in sorted(groups)]

    def _shuffle(self, members: list[Member]) -> list[Member]:
        def key(member: Member) -> float:
            # weighted shuffle: weight 1 for an idle router, less under load
            return self._rng.random() ** (1.0 + max(0.0, member.load))

        return sorted(members, key=key, reverse=True)

"""Which routers a caller should use, and for how long."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from teaselledge.process.member import Member
from teaselledge.process.placement import distance
from teaselledge.version.document import Version

__all__ = ["RouterResolver", "AddressList"]

MAX_ADDRESSES = 16
"""Addresses in one answer."""

MAX_NEAREST = 12
"""Of these, such from the nearest zone, so that its loss leaves others."""


@dataclass(frozen=True)
class AddressList:
    """An answer to a caller.

    Attributes
    ----------
    keep_seconds : float
        How long the caller may use it.
    members : tuple of Member
        The routers, those to try first in front.
    """

    keep_seconds: float
    members: tuple[Member, ...]

    def as_json(self) -> dict[str, Any]:
        """Return the answer's body."""
        return {
            "keep_seconds": self.keep_seconds,
            "addresses": [
                {"address": m.caller_address, "zone": m.zone, "region": m.region}
                for m in self.members
            ],
        }


class RouterResolver:
    """Answers the callers' question which routers to use.

    Parameters
    ----------
    zone : str
        Zone of a caller that names none: this router's.
    keep_seconds : float
        How long an answer holds; a leaving router serves for so long.
    members : callable
        The live routers.
    version : callable
        The configuration in force, which knows the regions.
    chance : random.Random or None
        Spreads the callers.
    """

    def __init__(
        self,
        zone: str,
        keep_seconds: float,
        members: Callable[[], Iterable[Member]],
        version: Callable[[], Version | None],
        chance: random.Random | None = None,
    ) -> None:
        self._zone = zone
        self._keep_seconds = keep_seconds
        self._members = members
        self._version = version
        self._chance = chance or random.Random()

    def resolve(self, zone: str | None = None) -> AddressList:
        """Return the routers for a caller in a zone, nearest first.

        Routers that leave are absent, and so are those without a configuration
        where others have one. Within one distance the order is drawn for each
        answer, idle routers in front more often: a fixed order would send all
        callers to the same router.
        """
        staying = [m for m in self._members() if not m.leaving and m.caller_address]
        configured = [member for member in staying if member.version > 0]
        near = self._by_distance(configured or staying, zone)
        ordered: list[Member] = []
        for members in near:
            ordered.extend(self._shuffle(members))
        if len(near) > 1 and len(near[0]) > MAX_NEAREST:
            first = ordered[:MAX_NEAREST]
            ordered = first + ordered[len(near[0]) :] + ordered[MAX_NEAREST:]
        return AddressList(self._keep_seconds, tuple(ordered[:MAX_ADDRESSES]))

    def alternative_address(self, own: str) -> str:
        """Return the address of another router that takes new work, or nothing."""
        others = [m for m in self.resolve().members if m.vm != own]
        return others[0].caller_address if others else ""

    def _by_distance(
        self, members: Iterable[Member], zone: str | None
    ) -> list[list[Member]]:
        version = self._version()
        here = zone or self._zone
        if version is not None and here not in version.document.zones:
            here = self._zone
        groups: dict[int, list[Member]] = {}
        for member in members:
            far = 0 if member.zone == here else 1
            if version is not None:
                far = distance(version.document, here, member.zone)
            groups.setdefault(far, []).append(member)
        return [groups[far] for far in sorted(groups)]

    def _shuffle(self, members: list[Member]) -> list[Member]:
        def key(member: Member) -> float:
            # a weighted order: weight 1 for an idle router, less under load
            return self._chance.random() ** (1.0 + max(0.0, member.load))

        return sorted(members, key=key, reverse=True)

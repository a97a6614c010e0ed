"""Data residency: the regions in which a request may be served and cached."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ANYWHERE", "Residency"]


@dataclass(frozen=True)
class Residency:
    """Regions in which requests may be served, cached and stored.

    Attributes
    ----------
    regions : frozenset of str or None
        The allowed regions; None if all are allowed. An empty set allows none.
    """

    regions: frozenset[str] | None = None

    @classmethod
    def from_regions(cls, regions: Iterable[str]) -> "Residency":
        """Return the residency in some regions; without any, all are allowed."""
        named = frozenset(regions)
        return cls(named) if named else ANYWHERE

    @property
    def restricted(self) -> bool:
        """Whether there are regions that are not allowed."""
        return self.regions is not None

    def allows(self, region: str | None) -> bool:
        """Whether a region is allowed; an unknown one only without a restriction."""
        return self.regions is None or region in self.regions

    def intersect(self, other: "Residency") -> "Residency":
        """Return the residency that allows only what both allow."""
        if self.regions is None:
            return other
        if other.regions is None:
            return self
        return Residency(self.regions & other.regions)


ANYWHERE = Residency()
"""Allows all regions."""

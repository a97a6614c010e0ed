"""Result of a benchmark case, with its bounds."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Bound", "Case"]


@dataclass(frozen=True)
class Bound:
    """Limits of one figure; None for no limit."""

    at_least: float | None = None
    at_most: float | None = None

    def holds(self, value: float) -> bool:
        """Return whether a value is within the limits."""
        if self.at_least is not None and not value >= self.at_least:
            return False
        return self.at_most is None or value <= self.at_most


@dataclass(frozen=True)
class Case:
    """Result of a benchmark case.

    Attributes
    ----------
    name : str
        Name of the case.
    seed : int
        Seed of the run.
    figures : mapping of str to float
        Measured values; the names end with the unit.
    bounds : mapping of str to Bound
        Limits by figure.
    """

    name: str
    seed: int
    figures: Mapping[str, float]
    bounds: Mapping[str, Bound] = field(default_factory=dict)

    @property
    def broken(self) -> list[str]:
        """Figures whose bound is broken; a missing figure breaks its bound."""
        return [
            name
            for name, bound in self.bounds.items()
            if name not in self.figures or not bound.holds(self.figures[name])
        ]

    @property
    def ok(self) -> bool:
        """Whether every bound holds."""
        return not self.broken

    def line(self) -> str:
        """Return the case as a line of JSON."""
        bounds = {
            name: [bound.at_least, bound.at_most] for name, bound in self.bounds.items()
        }
        return json.dumps(
            {
                "name": self.name,
                "seed": self.seed,
                "figures": dict(self.figures),
                "bounds": bounds,
                "ok": self.ok,
            }
        )

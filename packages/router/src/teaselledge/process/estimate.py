"""Expected cost of a request, learnt from what such requests did cost."""

import math

__all__ = ["CostEstimator", "clamp_cost"]

WEIGHT = 0.1
LARGEST_RATIO = 64.0
LARGEST_COST_RATIO = 1000.0
"""Cost, as a multiple of the service's largest hint, above which it is cut."""


class CostEstimator:
    """Ratio of cost to hint by organisation and kind.

    A hint that is ten times too low would let an organisation start ten times
    its share before the first costs are known; after a few requests the ratio
    corrects what is charged at the start.
    """

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], float] = {}

    def predict(self, organisation: str, kind: str, hint: float) -> float:
        """Return the cost to charge at the start."""
        return hint * self._ratios.get((organisation, kind), 1.0)

    def update(self, organisation: str, kind: str, hint: float, cost: float) -> None:
        """Note what a request did cost."""
        if hint <= 0:
            return
        seen = min(LARGEST_RATIO, max(1 / LARGEST_RATIO, cost / hint))
        old = self._ratios.get((organisation, kind), 1.0)
        self._ratios[(organisation, kind)] = old + (seen - old) * WEIGHT

    def retain_organisations(self, organisations: set[str]) -> None:
        """Forget organisations that the document no longer has."""
        gone = [key for key in self._ratios if key[0] not in organisations]
        for key in gone:
            del self._ratios[key]


def clamp_cost(cost: float | None, charged: float, largest_hint: float) -> float:
    """Return a cost that a peer or endpoint told, within sane limits.

    Parameters
    ----------
    cost : float or None
        As told; what is no number or negative counts as `charged`.
    charged : float
        What was charged at the start.
    largest_hint : float
        Largest cost hint of the service.
    """
    if cost is None or not math.isfinite(cost) or cost < 0:
        return charged
    return min(cost, LARGEST_COST_RATIO * largest_hint)

"""Prediction of the cost of a request from the cost of similar ones."""

import math

__all__ = ["CostEstimator", "clamp_cost"]

EWMA_WEIGHT = 0.1
MAX_RATIO = 64.0
MAX_COST_RATIO = 1000.0
"""Maximum cost, as a multiple of the largest hint of the service."""


class CostEstimator:
    """Ratio of cost to hint by organisation and kind.

    With a hint that is ten times too low, an organisation could start ten times
    its share before the first costs are known. After a few requests the ratio
    corrects the charge at the start.
    """

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], float] = {}

    def predict(self, organisation: str, kind: str, hint: float) -> float:
        """Return the cost to charge at the start of a request."""
        return hint * self._ratios.get((organisation, kind), 1.0)

    def update(self, organisation: str, kind: str, hint: float, cost: float) -> None:
        """Update the ratio with the cost of a request."""
        if hint <= 0:
            return
        observed = min(MAX_RATIO, max(1 / MAX_RATIO, cost / hint))
        old = self._ratios.get((organisation, kind), 1.0)
        self._ratios[(organisation, kind)] = old + (observed - old) * EWMA_WEIGHT

    def retain_organisations(self, organisations: set[str]) -> None:
        """Remove the ratios of organisations that are not in the document."""
        removed = [key for key in self._ratios if key[0] not in organisations]
        for key in removed:
            del self._ratios[key]


def clamp_cost(cost: float | None, charged: float, largest_hint: float) -> float:
    """Return the cost that a peer or endpoint reported, limited to a valid range.

    Parameters
    ----------
    cost : float or None
        As reported; `charged` replaces a missing, non-finite or negative one.
    charged : float
        Cost that was charged at the start.
    largest_hint : float
        Largest cost hint of the service.
    """
    if cost is None or not math.isfinite(cost) or cost < 0:
        return charged
    return min(cost, MAX_COST_RATIO * largest_hint)

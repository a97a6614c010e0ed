"""Log organisations that get far less than others while their requests wait."""

import asyncio
import math

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.shares import OrganisationShares

__all__ = ["ShareLog"]

_log = get_log("shares")

LOG_INTERVAL_SECONDS = 1.0

LOGGED_RATIO = 0.6
"""Ratio to the best served organisation from which lines are written. An organisation
is owed half of what the best served one gets."""


class ShareLog:
    """Writes a line a second while an organisation of this router is underserved.

    Parameters
    ----------
    shares : OrganisationShares
        Usage of all organisations.
    """

    def __init__(self, shares: OrganisationShares) -> None:
        self._shares = shares
        self._checked_at = 0.0

    def update(self) -> None:
        """Write a line if it is time."""
        now = asyncio.get_running_loop().time()
        if now - self._checked_at < LOG_INTERVAL_SECONDS:
            return
        self._checked_at = now
        shares = self._shares
        ratio = shares.served_ratio
        organisation = shares.local_name(ratio.least)
        if ratio.value >= LOGGED_RATIO or organisation is None:
            return
        usage, best = (
            shares.usage_by_hash(ratio.least),
            shares.usage_by_hash(ratio.best),
        )
        level = shares.level
        _log.warning(
            "organisation underserved",
            organisation=organisation,
            ratio=round(ratio.value, 2),
            requested=usage.requested,
            allocated=usage.allocated,
            best_organisation=shares.local_name(ratio.best),
            best_requested=best.requested,
            best_allocated=best.allocated,
            # the shares may have been refreshed since, and all requests fit
            share_level=round(level) if math.isfinite(level) else None,
        )

"""Which organisations are owed a connection by a router without capacity.

Answers a load in which the callers of one organisation fill a router to which those of
others connect, too. Refused unread, the others would be served as rarely as the flood.
"""

import asyncio
import math
from collections import defaultdict

__all__ = ["ConnectionShares"]

MIN_SHARE = 0.5
"""Part of the requests of the best served organisation that is due to any other."""

DECAY_SECONDS = 2.0
"""Time in which the weight of a served request decays to 1/e."""

MAX_DECAY_TIMES = 14.0
"""Number of decay times after which all weights are scaled down, by a millionfold."""

MIN_SERVED = 1e-6
"""Weight below which the requests of an organisation no longer count."""


class ConnectionShares:
    """Counts the requests that a router has served lately, by organisation."""

    def __init__(self) -> None:
        # later requests get more weight, which decays all earlier ones at once
        self._served: defaultdict[str, float] = defaultdict(float)
        self._most_served = 0.0
        self._began_at = asyncio.get_running_loop().time()

    def record_served(self, organisation: str) -> None:
        """Count a request that is served."""
        # scales all counts down if it is time, so it comes before they are read
        weight = self._next_weight()
        self._served[organisation] += weight
        self._most_served = max(self._most_served, self._served[organisation])

    def is_entitled(self, organisation: str) -> bool:
        """Return whether an organisation got less than its share of this router."""
        served = self._served.get(organisation, 0.0)
        return served < MIN_SHARE * self._most_served

    def _next_weight(self) -> float:
        now = asyncio.get_running_loop().time()
        decay_times = (now - self._began_at) / DECAY_SECONDS
        if decay_times < MAX_DECAY_TIMES:
            return math.exp(decay_times)
        self._began_at = now
        factor = math.exp(-decay_times)
        self._most_served *= factor
        for organisation in list(self._served):
            self._served[organisation] *= factor
            if self._served[organisation] < MIN_SERVED:
                del self._served[organisation]
        return 1.0

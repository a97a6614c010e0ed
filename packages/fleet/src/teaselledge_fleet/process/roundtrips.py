"""Measure the round-trip times to the regions' coordinators."""

import asyncio
import math
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["RoundTrips"]

LOST_QUERY_SECONDS = 1.0
"""Round-trip time assumed for a query without a reply.

A full link drops datagrams; connections wait in its queue instead, some round trips for
each body, and repeat what was dropped."""

DECAY_SECONDS = 0.5
"""Time in which the weight of a measurement decays to 1/e."""

MAX_WEIGHT = 10.0
"""Weight of the earlier measurements together, relative to that of the next one.

A busy router would otherwise need as many replies as queries were lost before."""

MAX_AGE_SECONDS = 1.0
"""Time after which a measurement tells nothing about the path any more.

Requests then use the path again; their queries show whether it is still congested."""


@dataclass
class _DecayingMean:
    weight: float = 0.0
    weighted_seconds: float = 0.0
    observed_at: float = 0.0
    decayed_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the weight of the measurements so far to that of the present."""
        factor = math.exp((self.decayed_at - now) / DECAY_SECONDS)
        if self.weight * factor > MAX_WEIGHT:
            factor = MAX_WEIGHT / self.weight
        self.weight *= factor
        self.weighted_seconds *= factor
        self.decayed_at = now


class RoundTrips:
    """Tracks how long queries to routers of each region take to be answered.

    All traffic between two regions shares one link. When it is full, everything that
    crosses it is late, and queries show that before a prompt has been sent.
    """

    def __init__(self) -> None:
        self._means: defaultdict[str, _DecayingMean] = defaultdict(_DecayingMean)

    def observe(self, region: str, seconds: float) -> None:
        """Record the round-trip time of a query."""
        mean, now = self._means[region], self._now()
        mean.decay(now)
        mean.weight += 1.0
        mean.weighted_seconds += seconds
        mean.observed_at = now

    def record_loss(self, region: str) -> None:
        """Record that a query got no reply in time."""
        self.observe(region, LOST_QUERY_SECONDS)

    def seconds(self, region: str) -> float:
        """Return the recent mean to a region; 0 without recent measurements."""
        mean = self._means.get(region)
        if mean is None or self._now() - mean.observed_at > MAX_AGE_SECONDS:
            return 0.0
        return mean.weighted_seconds / mean.weight

    def longest_seconds(self, own_region: str) -> float:
        """Return the longest recent mean to another region; 0 if there is none."""
        return max(
            (self.seconds(each) for each in self._means if each != own_region),
            default=0.0,
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

"""Quantiles of recent latencies, weighted by age.

A second attempt is worth its cost only if the first one is slower than most requests
of its kind. This module knows the times to first byte of each kind at this router and
decides what counts as slow. An observation costs about a microsecond: it adds its
weight to one bucket of a histogram. Quantiles are computed at most a few times a
second.
"""

import math
from array import array
from collections.abc import Hashable

__all__ = ["DecayingHistogram", "LatencyQuantiles"]

MIN_SECONDS = 0.001
BUCKET_RATIO = 1.1
"""Upper bound of a bucket relative to the one before, so that a quantile is at most a
tenth too long."""

BUCKET_COUNT = 100
"""Buckets up to 13 s, beyond the longest deadline of 10 s."""

DECAY_SECONDS = 30.0
"""Time in which the weight of an observation falls to 1/e.

A router gets 0.2 to 0.6 requests a second of the rarest routes. Waves of demand last
17 s; a time much shorter than that would make the slow part of each wave the usual."""

MIN_WEIGHT = 5.0
"""Weight of the observations below which there is no quantile.

A quantile of few observations is their longest one, so it errs towards fewer hedges."""

MAX_GROWTH = 30.0
"""Exponent of the weight at which all weights are scaled down."""

REFRESH_SECONDS = 0.25
"""Time for which a computed quantile is used."""

MAX_HISTOGRAMS = 256
"""Histograms of 0.8 KB each that are retained; those of deleted routes are never used
again."""

_LOG_RATIO = math.log(BUCKET_RATIO)


class DecayingHistogram:
    """Histogram of latencies in which older observations count less.

    Weights grow with time instead of all buckets decaying at each observation.

    Parameters
    ----------
    now : float
        Time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._weights = array("d", bytes(8 * BUCKET_COUNT))
        self._total = 0.0
        self._origin = now
        self._quantile: float | None = None
        self._computed_at = -math.inf

    def observe(self, seconds: float, now: float) -> None:
        """Add an observation."""
        growth = (now - self._origin) / DECAY_SECONDS
        if growth > MAX_GROWTH:
            self._rescale(math.exp(-growth), now)
            growth = 0.0
        weight = math.exp(growth)
        index = 0
        if seconds > MIN_SECONDS:
            index = math.ceil(math.log(seconds / MIN_SECONDS) / _LOG_RATIO)
        self._weights[min(index, BUCKET_COUNT - 1)] += weight
        self._total += weight

    def quantile(self, fraction: float, now: float) -> float | None:
        """Return the upper bound of the bucket with a quantile.

        None if too few observations are recent.
        """
        if now - self._computed_at >= REFRESH_SECONDS:
            self._quantile = self._compute(fraction, now)
            self._computed_at = now
        return self._quantile

    def _compute(self, fraction: float, now: float) -> float | None:
        if self._total * math.exp(-(now - self._origin) / DECAY_SECONDS) < MIN_WEIGHT:
            return None
        above = (1.0 - fraction) * self._total
        for index in range(BUCKET_COUNT - 1, -1, -1):
            above -= self._weights[index]
            if above < 0.0:
                return float(MIN_SECONDS * BUCKET_RATIO**index)
        return MIN_SECONDS

    def _rescale(self, factor: float, now: float) -> None:
        self._weights = array("d", (weight * factor for weight in self._weights))
        self._total *= factor
        self._origin = now


class LatencyQuantiles:
    """Learns a quantile of the latencies of each kind of request.

    Parameters
    ----------
    fraction : float
        The quantile, 0 to 1.
    """

    def __init__(self, fraction: float) -> None:
        self._fraction = fraction
        self._histograms: dict[Hashable, DecayingHistogram] = {}

    def observe(self, kind: Hashable, seconds: float, now: float) -> None:
        """Add the latency of a request."""
        histogram = self._histograms.get(kind)
        if histogram is None:
            if len(self._histograms) >= MAX_HISTOGRAMS:
                self._histograms.clear()
            histogram = self._histograms[kind] = DecayingHistogram(now)
        histogram.observe(seconds, now)

    def quantile(self, kind: Hashable, now: float) -> float | None:
        """Return the quantile in seconds; None if too little is known."""
        histogram = self._histograms.get(kind)
        return None if histogram is None else histogram.quantile(self._fraction, now)

"""Latency sketches that are sent as JSON and merged over the fleet."""

from collections.abc import Mapping
from typing import Any

from ddsketch import DDSketch

__all__ = ["ACCURACY", "add_seconds", "add_sketch", "encode_sketch", "new_sketch"]

ACCURACY = 0.02
"""Relative error of a quantile."""

MIN_SECONDS, MAX_SECONDS = 1e-6, 1e7
"""Range to which durations are clamped."""

MAX_BINS = 2048
MAX_KEY = 1000
"""Maximum absolute key of a bin.

It is far above the keys for the minimum and maximum durations, 345 and 403.
"""


def new_sketch() -> DDSketch:
    """Return an empty sketch that can be merged with those of other routers."""
    return DDSketch(ACCURACY)


def add_seconds(sketch: DDSketch, seconds: float) -> None:
    """Add one duration."""
    sketch.add(min(MAX_SECONDS, max(MIN_SECONDS, seconds)))


def encode_sketch(sketch: DDSketch) -> dict[str, float]:
    """Return the weights of the bins by key; ``zero`` is the count of zeros.

    The library has no JSON encoding, so the bins are read from its store.
    """
    store = sketch._store
    bins = {
        str(store.offset + i): weight for i, weight in enumerate(store.bins) if weight
    }
    if sketch._zero_count:
        bins["zero"] = sketch._zero_count
    return bins


def add_sketch(sketch: DDSketch, bins: Mapping[str, Any]) -> None:
    """Add the bins of another router's sketch.

    Raises
    ------
    ValueError
        If the bins are invalid.
    """
    if len(bins) > MAX_BINS:
        raise ValueError(f"sketch has too many bins: {len(bins)}")
    for name, weight in bins.items():
        if not isinstance(weight, int | float) or not weight > 0:
            raise ValueError(f"bin has an invalid weight: {weight!r}")
        if name == "zero":
            sketch.add(0.0, weight)
            continue
        key = int(name)
        if abs(key) > MAX_KEY:
            # a distant key would make the sketch allocate all bins up to it
            raise ValueError(f"bin is out of range: {key}")
        sketch.add(sketch._mapping.value(key), weight)

"""Estimate of the prefixes in the caches of the endpoints.

It is derived from events that arrive late and may be lost.
"""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["CacheEvent", "PrefixCaches"]

MAX_PREFIXES = 4096
"""Maximum number of recorded prefixes of an endpoint, to limit the memory."""

SENT_CONFIDENCE = 0.8
"""Confidence in a prefix of a request that this dispatcher sent there."""

EVENT_CONFIDENCE = 1.0
LOST_EVENT_FACTOR = 0.5
"""Factor on the confidence in all earlier prefixes after events were lost."""

MIN_CONFIDENCE = 0.1


@dataclass(frozen=True)
class CacheEvent:
    """A change of the prefix cache of an engine.

    Attributes
    ----------
    endpoint : str
        Name of the engine.
    sequence : int
        Number of the event; a gap means that events were lost.
    stored, evicted : tuple of int
        Hashes of prefixes.
    cleared : bool
        Whether the cache was cleared before.
    """

    endpoint: str
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False


class _Cache:
    def __init__(self) -> None:
        self.sequence = -1
        self.confidences: OrderedDict[int, float] = OrderedDict()

    def store(self, prefix: int, confidence: float) -> None:
        self.confidences[prefix] = max(confidence, self.confidences.pop(prefix, 0.0))
        if len(self.confidences) > MAX_PREFIXES:
            self.confidences.popitem(last=False)

    def reduce_confidences(self) -> None:
        # An eviction may be among the lost events, and an endpoint without the
        # prefix must compute it again.
        reduced = {p: c * LOST_EVENT_FACTOR for p, c in self.confidences.items()}
        self.confidences = OrderedDict(
            (p, c) for p, c in reduced.items() if c >= MIN_CONFIDENCE
        )


class PrefixCaches:
    """Estimated cached prefixes of the endpoints of a shard; only a hint."""

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}

    def observe(self, event: CacheEvent) -> bool:
        """Apply an event and return whether it directly followed the previous one."""
        cache = self._caches.setdefault(event.endpoint, _Cache())
        if event.cleared:
            cache.confidences.clear()
            cache.sequence = event.sequence - 1
        if event.sequence <= cache.sequence:
            # late or duplicated
            return False
        in_order = event.sequence == cache.sequence + 1 or cache.sequence < 0
        if not in_order:
            cache.reduce_confidences()
        cache.sequence = event.sequence
        for prefix in event.evicted:
            cache.confidences.pop(prefix, None)
        for prefix in event.stored:
            cache.store(prefix, EVENT_CONFIDENCE)
        return in_order

    def record_sent(self, endpoint: str, prefix: int) -> None:
        """Record that a request with a prefix was sent to an endpoint."""
        self._caches.setdefault(endpoint, _Cache()).store(prefix, SENT_CONFIDENCE)

    def confidence(self, endpoint: str, prefix: int) -> float:
        """Return the confidence, from 0 to 1, that an endpoint has cached a prefix."""
        cache = self._caches.get(endpoint)
        return cache.confidences.get(prefix, 0.0) if cache else 0.0

    def retain_endpoints(self, endpoints: set[str]) -> None:
        """Remove the state of endpoints that are not in the document."""
        for name in set(self._caches) - endpoints:
            del self._caches[name]

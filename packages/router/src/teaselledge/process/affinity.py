"""Guess which endpoint holds a prompt's prefix, from late and gappy events."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["CacheEvent", "PrefixCaches"]

MAX_PREFIXES = 4096
"""Prefixes remembered for an endpoint, so that the memory is bounded."""

SENT_TRUST = 0.8
"""Trust in a prefix that this dispatcher sent there itself."""

EVENT_TRUST = 1.0
GAP_FACTOR = 0.5
"""Factor on the trust in all that was known before events were lost."""

FORGET_TRUST = 0.1


@dataclass(frozen=True)
class CacheEvent:
    """What an engine tells of its prefix cache.

    Attributes
    ----------
    endpoint : str
        Name of the engine.
    sequence : int
        Number of the event; a missing number is a lost event.
    stored, evicted : tuple of int
        Hashes of prefixes.
    cleared : bool
        The cache was emptied before.
    """

    endpoint: str
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False


class _Cache:
    def __init__(self) -> None:
        self.sequence = -1
        self.trust: OrderedDict[int, float] = OrderedDict()

    def store(self, prefix: int, trust: float) -> None:
        self.trust[prefix] = max(trust, self.trust.pop(prefix, 0.0))
        if len(self.trust) > MAX_PREFIXES:
            self.trust.popitem(last=False)

    def doubt(self) -> None:
        # an eviction may be among the lost events; a wrong guess sends a
        # request to an endpoint that must compute its prefix anew
        kept = {p: t * GAP_FACTOR for p, t in self.trust.items()}
        self.trust = OrderedDict((p, t) for p, t in kept.items() if t >= FORGET_TRUST)


class PrefixCaches:
    """What the endpoints of a shard are thought to hold; hints only."""

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}

    def observe(self, event: CacheEvent) -> bool:
        """Take an event; return whether it was in order, or came after a gap."""
        cache = self._caches.setdefault(event.endpoint, _Cache())
        if event.cleared:
            cache.trust.clear()
            cache.sequence = event.sequence - 1
        if event.sequence <= cache.sequence:
            # late or doubled: what it says is older than what is known
            return False
        whole = event.sequence == cache.sequence + 1 or cache.sequence < 0
        if not whole:
            cache.doubt()
        cache.sequence = event.sequence
        for prefix in event.evicted:
            cache.trust.pop(prefix, None)
        for prefix in event.stored:
            cache.store(prefix, EVENT_TRUST)
        return whole

    def record_sent(self, endpoint: str, prefix: int) -> None:
        """Note that a request with a prefix was sent to an endpoint."""
        self._caches.setdefault(endpoint, _Cache()).store(prefix, SENT_TRUST)

    def confidence(self, endpoint: str, prefix: int) -> float:
        """Return from 0 to 1 how sure it is that an endpoint holds a prefix."""
        cache = self._caches.get(endpoint)
        return cache.trust.get(prefix, 0.0) if cache else 0.0

    def retain_endpoints(self, endpoints: set[str]) -> None:
        """Forget endpoints that are gone from the document."""
        for name in set(self._caches) - endpoints:
            del self._caches[name]

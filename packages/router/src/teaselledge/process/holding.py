"""Requests that each ingress holds at a dispatcher, compared by digest."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from teaselledge.process.mesh import Origin
from teaselledge.process.queue import RequestKey

__all__ = ["Digest", "HeldRequests", "digest_of_requests"]

MIX_MULTIPLIER = 0x9E3779B97F4A7C15
MASK_63_BITS = (1 << 63) - 1


@dataclass(frozen=True)
class Digest:
    """Count and hash of a set of request numbers, equal for equal sets."""

    count: int = 0
    value: int = 0


def _mix(request: int) -> int:
    mixed = (request * MIX_MULTIPLIER) & MASK_63_BITS
    return (mixed ^ (mixed >> 29)) * MIX_MULTIPLIER & MASK_63_BITS


def digest_of_requests(requests: Iterable[int]) -> Digest:
    """Return the digest of a set of request numbers."""
    count = value = 0
    for request in requests:
        count += 1
        value ^= _mix(request)
    return Digest(count, value)


@dataclass
class _Held:
    last_message_at: float
    requests: set[int] = field(default_factory=set)
    value: int = 0


class HeldRequests:
    """Request numbers by ingress, with the time of its last message."""

    def __init__(self) -> None:
        self._held: dict[Origin, _Held] = {}

    def touch(self, origin: Origin, now: float) -> list[Origin]:
        """Record a message and return other incarnations of the same ingress."""
        held = self._held.get(origin)
        if held is not None:
            held.last_message_at = now
            return []
        self._held[origin] = _Held(now)
        return [o for o in self._held if o.vm == origin.vm and o != origin]

    def timed_out(self, before: float) -> list[Origin]:
        """Return the ingresses whose last message arrived before a time."""
        return [o for o, held in self._held.items() if held.last_message_at < before]

    def add(self, key: RequestKey) -> None:
        """Record that an ingress holds a request here."""
        held = self._held.get(Origin(key.vm, key.incarnation))
        if held is None or key.request in held.requests:
            return
        held.requests.add(key.request)
        held.value ^= _mix(key.request)

    def discard(self, key: RequestKey) -> None:
        """Record that an ingress no longer holds a request."""
        held = self._held.get(Origin(key.vm, key.incarnation))
        if held is None or key.request not in held.requests:
            return
        held.requests.discard(key.request)
        held.value ^= _mix(key.request)

    def requests(self, origin: Origin) -> set[int]:
        """Return the request numbers of an ingress."""
        held = self._held.get(origin)
        return set(held.requests) if held else set()

    def digest(self, origin: Origin) -> Digest:
        """Return the digest of the requests of an ingress."""
        held = self._held.get(origin)
        return Digest(len(held.requests), held.value) if held else Digest()

    def remove(self, origin: Origin) -> None:
        """Remove an ingress with its requests."""
        self._held.pop(origin, None)

"""Policies that keep the latency of interactive requests low."""

from enum import Enum
from typing import Protocol

__all__ = [
    "LATENCY_POLICIES",
    "LatencyPolicy",
    "LatencyPolicyNotFoundError",
    "Admission",
    "get_latency_policy_by_name",
]

SLOTS_PER_RESERVED_SLOT = 8
"""Slots for each slot that is reserved for interactive requests."""

SLOTS_PER_BURST_REQUEST = 2
"""Slots for each interactive request that may run above the slots."""

SLOTS_PER_PREEMPTION = 8
"""Slots for each stream that may be preempted at a time."""


class Admission(Enum):
    """Kinds of requests that may start now."""

    ANY = "any"
    """Any request."""

    INTERACTIVE = "interactive"
    """Interactive requests in the nominal slots."""

    ABOVE = "above"
    """Interactive requests above the nominal slots."""

    PREEMPT = "preempt"
    """Nothing; a long stream may be preempted for an interactive request."""

    NONE = "none"
    """Nothing."""


class LatencyPolicy(Protocol):
    """Decides which requests may start."""

    def admission(self, free: int, slots: int, over_limit: int) -> Admission:
        """Return which requests may start.

        Parameters
        ----------
        free : int
            Free slots of the shard.
        slots : int
            Slots of the shard.
        over_limit : int
            Number of requests above the slots and of preempted streams that
            have not ended yet.
        """


class LatencyPolicyNotFoundError(LookupError):
    """There is no latency policy of that name."""


def _quota(slots: int, slots_per_request: int) -> int:
    return max(1, slots // slots_per_request)


class PlainPolicy:
    """Reserves no slots; interactive requests only go first in the queue."""

    def admission(self, free: int, slots: int, over_limit: int) -> Admission:
        """Return which requests may start."""
        return Admission.ANY if free > 0 else Admission.NONE


class ReservePolicy:
    """Reserves slots for interactive requests; without any they are idle."""

    def admission(self, free: int, slots: int, over_limit: int) -> Admission:
        """Return which requests may start."""
        if free <= 0:
            return Admission.NONE
        return (
            Admission.ANY
            if free > _quota(slots, SLOTS_PER_RESERVED_SLOT)
            else Admission.INTERACTIVE
        )


class BurstPolicy:
    """Starts interactive requests above the slots, which slows the batch slightly."""

    def admission(self, free: int, slots: int, over_limit: int) -> Admission:
        """Return which requests may start."""
        if free > 0:
            return Admission.ANY
        return (
            Admission.ABOVE
            if over_limit < _quota(slots, SLOTS_PER_BURST_REQUEST)
            else Admission.NONE
        )


class PreemptPolicy:
    """Preempts a long stream, which is resumed later, for an interactive request."""

    def admission(self, free: int, slots: int, over_limit: int) -> Admission:
        """Return which requests may start."""
        if free > 0:
            return Admission.ANY
        return (
            Admission.PREEMPT
            if over_limit < _quota(slots, SLOTS_PER_PREEMPTION)
            else Admission.NONE
        )


LATENCY_POLICIES: dict[str, type[LatencyPolicy]] = {
    "plain": PlainPolicy,
    "reserve": ReservePolicy,
    "burst": BurstPolicy,
    "preempt": PreemptPolicy,
}


def get_latency_policy_by_name(name: str) -> LatencyPolicy:
    """Return a new policy.

    Raises
    ------
    LatencyPolicyNotFoundError
        If no policy has that name.
    """
    found = LATENCY_POLICIES.get(name)
    if found is None:
        raise LatencyPolicyNotFoundError(name)
    return found()

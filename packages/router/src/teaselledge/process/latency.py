"""Ways to keep interactive requests fast beside long ones."""

from enum import Enum
from typing import Protocol

__all__ = [
    "LATENCY_POLICIES",
    "LatencyPolicy",
    "LatencyPolicyNotFoundError",
    "Admission",
    "get_latency_policy_by_name",
]

RESERVE_PART = 8
"""One slot in so many is kept for interactive requests."""

BURST_PART = 2
"""One slot in so many is added for interactive requests."""

PREEMPT_PART = 8
"""One stream in so many may be asked to end at a time."""


class Admission(Enum):
    """What may start now."""

    ANY = "any"
    """Any request."""

    INTERACTIVE = "interactive"
    """Interactive requests in the nominal slots."""

    ABOVE = "above"
    """Interactive requests above the nominal slots."""

    PREEMPT = "preempt"
    """Nothing; an interactive request may end a long stream."""

    NONE = "none"
    """Nothing."""


class LatencyPolicy(Protocol):
    """Decides what may start."""

    def admission(self, free: int, slots: int, over_limit: int) -> Admission:
        """Return what may start.

        Parameters
        ----------
        free : int
            Free slots of the shard.
        slots : int
            Slots of the shard.
        over_limit : int
            Requests that were started above the slots, or streams that were
            asked to end and did not yet.
        """


class LatencyPolicyNotFoundError(LookupError):
    """There is no latency policy of that name."""


def _part(slots: int, part: int) -> int:
    return max(1, slots // part)


class PlainPolicy:
    """Interactive requests are first in line and have no slots of their own."""

    def admission(self, free: int, slots: int, over_limit: int) -> Admission:
        """Return what may start."""
        return Admission.ANY if free > 0 else Admission.NONE


class ReservePolicy:
    """Keeps some slots for interactive requests; they idle without any."""

    def admission(self, free: int, slots: int, over_limit: int) -> Admission:
        """Return what may start."""
        if free <= 0:
            return Admission.NONE
        return (
            Admission.ANY
            if free > _part(slots, RESERVE_PART)
            else Admission.INTERACTIVE
        )


class BurstPolicy:
    """Starts interactive requests above the slots; the batch slows a little."""

    def admission(self, free: int, slots: int, over_limit: int) -> Admission:
        """Return what may start."""
        if free > 0:
            return Admission.ANY
        return (
            Admission.ABOVE if over_limit < _part(slots, BURST_PART) else Admission.NONE
        )


class PreemptPolicy:
    """Ends a long stream, which is resumed later, for an interactive request."""

    def admission(self, free: int, slots: int, over_limit: int) -> Admission:
        """Return what may start."""
        if free > 0:
            return Admission.ANY
        return (
            Admission.PREEMPT
            if over_limit < _part(slots, PREEMPT_PART)
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

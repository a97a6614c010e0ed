"""Timing of an order's claim, so that slots seldom stay idle for the journal."""

from typing import Protocol

__all__ = [
    "PredictiveClaimTiming",
    "ImmediateClaimTiming",
    "LateClaimTiming",
    "ClaimTiming",
]

CLAIM_TIME_WEIGHT = 0.2
"""Weight of the newest claim duration in its moving average."""

LONGER_WAIT_WEIGHT = 0.02
"""Weight of a slot wait that is longer than the expected one.

Waits of successive orders differ several times over, so the expected wait follows
the shortest of about the last 50. With a weight of 0.2 it exceeded half of the
waits, and those slots stayed idle until the journal had the claim.
"""

CLAIM_LEAD_FACTOR = 4.0
"""Multiple of the usual claim duration by which a claim precedes the slot."""

INITIAL_CLAIM_SECONDS = 0.01
"""Claim duration assumed until the first claim was timed."""


class ClaimTiming(Protocol):
    """Chooses how long after its arrival an order is claimed.

    With an early claim, a router that is killed while the order is queued leaves
    an unknown outcome although nothing was sent. With a late claim, the slot
    stays idle until the journal has the claim.
    """

    @property
    def journal_failing(self) -> bool:
        """Whether the journal is assumed to be unavailable."""

    def claim_delay(self, service: str) -> float:
        """Return seconds from arrival to claim; infinite to claim with the slot."""

    def record_slot_wait(self, service: str, seconds: float) -> None:
        """Record how long an order waited for its slot."""

    def record_claim_time(self, seconds: float) -> None:
        """Record how long a claim took."""

    def record_failure(self) -> None:
        """Record that a call to the journal failed."""


class PredictiveClaimTiming:
    """Claims shortly before the slot is expected according to recent waits.

    While the journal fails, orders claim on arrival and request a slot only
    afterwards, since they could not use one.
    """

    def __init__(self) -> None:
        self._claim_seconds = INITIAL_CLAIM_SECONDS
        self._slot_waits: dict[str, float] = {}
        self._failing = False

    @property
    def journal_failing(self) -> bool:
        """Whether the last call to the journal failed."""
        return self._failing

    def claim_delay(self, service: str) -> float:
        """Return seconds from arrival to claim."""
        if self._failing:
            return 0.0
        return max(
            0.0,
            self._slot_waits.get(service, 0.0)
            - CLAIM_LEAD_FACTOR * self._claim_seconds,
        )

    def record_slot_wait(self, service: str, seconds: float) -> None:
        """Record how long an order waited for its slot."""
        expected = self._slot_waits.get(service, seconds)
        # follows the shortest waits: a late claim always costs slot time, an early
        # one matters only if the router is killed
        weight = LONGER_WAIT_WEIGHT if seconds > expected else 1.0
        self._slot_waits[service] = expected + weight * (seconds - expected)

    def record_claim_time(self, seconds: float) -> None:
        """Record how long a claim took."""
        self._claim_seconds += CLAIM_TIME_WEIGHT * (seconds - self._claim_seconds)
        self._failing = False

    def record_failure(self) -> None:
        """Record that a call to the journal failed."""
        self._failing = True


class ImmediateClaimTiming:
    """Claims on arrival."""

    journal_failing = False

    def claim_delay(self, service: str) -> float:
        """Return seconds from arrival to claim."""
        return 0.0

    def record_slot_wait(self, service: str, seconds: float) -> None:
        """Do nothing."""

    def record_claim_time(self, seconds: float) -> None:
        """Do nothing."""

    def record_failure(self) -> None:
        """Do nothing."""


class LateClaimTiming(ImmediateClaimTiming):
    """Claims once the slot is granted."""

    def claim_delay(self, service: str) -> float:
        """Return seconds from arrival to claim."""
        return float("inf")

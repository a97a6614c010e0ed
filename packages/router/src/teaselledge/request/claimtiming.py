"""When an order claims its record, so that slots seldom wait for the journal."""

from typing import Protocol

__all__ = [
    "PredictiveClaimTiming",
    "ImmediateClaimTiming",
    "LateClaimTiming",
    "ClaimTiming",
]

WEIGHT = 0.2
"""Weight of the newest value in a moving average."""

RISE = 0.02
"""Weight of a wait that is longer than the expected one.

Waits differ by several times from one order to the next. The expected one
follows the shortest of the last fifty or so: with a weight of 0.2 it lay above
the half of them, and their slots waited for the journal.
"""

MARGIN = 4.0
"""Claims start so many times the usual claim's duration before the slot."""

START_SECONDS = 0.01
"""Duration of a claim that is assumed before the first one."""


class ClaimTiming(Protocol):
    """Chooses how long after its arrival an order is claimed.

    A claim that comes early lies in the journal while the order waits: a router
    that is killed meanwhile leaves an outcome open that need not be. One that
    comes late keeps a slot waiting.
    """

    @property
    def journal_failing(self) -> bool:
        """Whether the journal is out of reach, as far as is known."""

    def claim_delay(self, service: str) -> float:
        """Return seconds from arrival to claim; infinite for "with the slot"."""

    def record_slot_wait(self, service: str, seconds: float) -> None:
        """Learn how long an order waited for its slot."""

    def record_claim_time(self, seconds: float) -> None:
        """Learn how long a claim took."""

    def record_failure(self) -> None:
        """Learn that the journal is out of reach."""


class PredictiveClaimTiming:
    """Claims shortly before the slot is expected, from recent waits.

    While the journal fails, orders claim on arrival: no slot is asked for by
    an order that could not use it.
    """

    def __init__(self) -> None:
        self._claim = START_SECONDS
        self._waits: dict[str, float] = {}
        self._failing = False

    @property
    def journal_failing(self) -> bool:
        """Whether the last call to the journal failed."""
        return self._failing

    def claim_delay(self, service: str) -> float:
        """Return seconds from arrival to claim."""
        if self._failing:
            return 0.0
        return max(0.0, self._waits.get(service, 0.0) - MARGIN * self._claim)

    def record_slot_wait(self, service: str, seconds: float) -> None:
        """Learn how long an order waited for its slot."""
        before = self._waits.get(service, seconds)
        # the shortest waits count: a claim that is late costs a slot's time now,
        # one that is early only matters where the router is killed
        weight = RISE if seconds > before else 1.0
        self._waits[service] = before + weight * (seconds - before)

    def record_claim_time(self, seconds: float) -> None:
        """Learn how long a claim took."""
        self._claim += WEIGHT * (seconds - self._claim)
        self._failing = False

    def record_failure(self) -> None:
        """Learn that the journal is out of reach."""
        self._failing = True


class ImmediateClaimTiming:
    """Claims on arrival."""

    journal_failing = False

    def claim_delay(self, service: str) -> float:
        """Return seconds from arrival to claim."""
        return 0.0

    def record_slot_wait(self, service: str, seconds: float) -> None:
        """Learn nothing."""

    def record_claim_time(self, seconds: float) -> None:
        """Learn nothing."""

    def record_failure(self) -> None:
        """Learn nothing."""


class LateClaimTiming(ImmediateClaimTiming):
    """Claims when the slot is there."""

    def claim_delay(self, service: str) -> float:
        """Return seconds from arrival to claim."""
        return float("inf")

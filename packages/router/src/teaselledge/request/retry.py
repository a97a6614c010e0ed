"""Outcomes of attempts, for the retries of repeatable requests."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from teaselledge.errors import ErrorKind, Fault, Ran

__all__ = [
    "MAX_ATTEMPTS",
    "Budget",
    "AttemptOutcome",
    "AttemptResult",
    "is_refusal",
    "merge_ran",
]

MAX_ATTEMPTS = 3

REFUSAL_STATUSES = frozenset({429, 503})
"""HTTP statuses by which an endpoint refuses a request without running it."""

RAN_PRECEDENCE = (Ran.NO, Ran.UNKNOWN, Ran.YES)


class Budget(Protocol):
    """Limits retries to a small fraction of all attempts."""

    def deposit(self) -> None:
        """Record a first attempt."""

    def try_withdraw(self) -> bool:
        """Use up one retry; return False if none is left."""


class AttemptOutcome(Enum):
    """Outcome of an attempt."""

    WHOLE = "whole"
    """The complete response was relayed."""

    UNSENT = "unsent"
    """The endpoint received nothing."""

    REFUSED = "refused"
    """The endpoint refused the request without running it."""

    FAILED = "failed"
    """There was no response, or it was incomplete."""

    PREEMPTED = "preempted"
    """The dispatcher reclaimed the slot."""


@dataclass(frozen=True)
class AttemptResult:
    """Outcome and fault of an attempt.

    Attributes
    ----------
    outcome : AttemptOutcome
        How the attempt ended.
    fault : Fault
        Fault to report to the caller if no further attempt is made.
    """

    outcome: AttemptOutcome
    fault: Fault = field(default_factory=lambda: Fault(ErrorKind.ENDPOINT_FAILED))


def is_refusal(status: int) -> bool:
    """Return whether an HTTP status means that the endpoint refused the request."""
    return status in REFUSAL_STATUSES


def merge_ran(one: Ran, other: Ran) -> Ran:
    """Return the value of ``ran`` that covers two attempts."""
    return max(one, other, key=RAN_PRECEDENCE.index)

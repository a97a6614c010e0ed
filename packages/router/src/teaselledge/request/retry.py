"""Whether a repeatable request is tried again."""

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

REFUSALS = frozenset({429, 503})
"""Statuses of an endpoint that took no work."""

ORDER = (Ran.NO, Ran.UNKNOWN, Ran.YES)


class Budget(Protocol):
    """Keeps retries a small part of all attempts."""

    def deposit(self) -> None:
        """Note a first attempt."""

    def try_withdraw(self) -> bool:
        """Take one retry; False where none is left."""


class AttemptOutcome(Enum):
    """How one attempt ended."""

    WHOLE = "whole"
    """The whole answer was passed on."""

    UNSENT = "unsent"
    """Nothing reached the endpoint."""

    REFUSED = "refused"
    """The endpoint answered that it takes no work."""

    FAILED = "failed"
    """There was no answer, or it broke off."""

    PREEMPTED = "preempted"
    """The dispatcher wanted the slot back."""


@dataclass(frozen=True)
class AttemptResult:
    """The end of one attempt.

    Attributes
    ----------
    outcome : End
        How it ended.
    fault : Fault
        What to tell the caller if no further attempt is made.
    """

    outcome: AttemptOutcome
    fault: Fault = field(default_factory=lambda: Fault(ErrorKind.ENDPOINT_FAILED))


def is_refusal(status: int) -> bool:
    """Return whether an endpoint's status says that it took no work."""
    return status in REFUSALS


def merge_ran(one: Ran, other: Ran) -> Ran:
    """Return what two attempts together allow to say."""
    return max(one, other, key=ORDER.index)

"""What this router served lately, by trait."""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

__all__ = ["ServedHistory", "ServedTrait"]

DECAY_SECONDS = 10.0
"""Time in which the count of what was served falls to a third."""

MAX_TRAITS = 2048
"""Maximum number of traits that are remembered, the last ones served."""


@dataclass(frozen=True)
class ServedTrait:
    """Requests with a trait that were served.

    Attributes
    ----------
    at : float
        Loop time of the last one.
    count : float
        Their number, each counted less with time.
    """

    at: float
    count: float


class ServedHistory:
    """Counts served requests by trait, for traits under which endpoints end later.

    Parameters
    ----------
    clock : callable
        Returns the loop time.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._served: OrderedDict[int, ServedTrait] = OrderedDict()

    def __len__(self) -> int:
        return len(self._served)

    def record(self, traits: Iterable[int]) -> None:
        """Count a request that was served in full."""
        now = self._clock()
        for trait in traits:
            last = self._served.pop(trait, None)
            count = 1.0
            if last is not None:
                count += last.count * math.exp((last.at - now) / DECAY_SECONDS)
            self._served[trait] = ServedTrait(now, count)
        while len(self._served) > MAX_TRAITS:
            self._served.popitem(last=False)

    def find(self, trait: int) -> ServedTrait | None:
        """Return what is known of a trait, None if it was not served lately."""
        return self._served.get(trait)

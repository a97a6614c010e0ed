"""Engines for long prompts, apart from those for short ones."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from teaselledge_fleet.process.endpoints import Endpoint

__all__ = ["LONG_SECONDS", "Lanes", "LaneSplit"]

LONG_SECONDS = 0.1
"""Reading from which on a prompt counts as long.

A running stream pauses while a prompt beside it is read. Beside prompts of up to 0.1 s
the longest pause of a stream was 0.11 s at the median and over 0.4 s in one of 25;
beside longer ones 0.34 s and over 0.4 s in one of three.
"""

FIRST_SHARE = 0.35
"""Part of all reading that is expected to be for long prompts, until it is known."""

PRIOR_SECONDS = 20.0
"""Reading that the expectation counts for."""

FADE = 0.999
"""What is left of earlier reading after each prompt, so that the split follows."""

LEAST_ENGINES = 3
"""With fewer engines both kinds share all of them."""


@dataclass(frozen=True)
class LaneSplit:
    """The engines of a service, split.

    Attributes
    ----------
    short, long : list of Endpoint
        Engines for either kind of prompt; the same where there is no split.
    """

    short: list[Endpoint]
    long: list[Endpoint]


class Lanes:
    """Gives long prompts as many engines of their own as they need to be read.

    Long prompts delay the tokens of all requests beside them. On engines of their
    own they delay one another only, and all other streams flow evenly. Which engines
    those are follows from hashes, so that all routers choose the same.
    """

    def __init__(self) -> None:
        self._all = PRIOR_SECONDS
        self._long = PRIOR_SECONDS * FIRST_SHARE

    @property
    def share(self) -> float:
        """Part of the reading that is for long prompts."""
        return self._long / self._all

    def note(self, reading: float) -> None:
        """Count a prompt that is sent."""
        self._all = self._all * FADE + reading
        self._long *= FADE
        if reading >= LONG_SECONDS:
            self._long += reading

    def split(self, endpoints: Sequence[Endpoint]) -> LaneSplit:
        """Return which engines are for which prompts."""
        everyone = list(endpoints)
        count = min(round(self.share * len(everyone)), len(everyone) // 2)
        if len(everyone) < LEAST_ENGINES or count == 0:
            return LaneSplit(everyone, everyone)
        everyone.sort(key=lambda e: xxhash.xxh3_64_intdigest(e.id.encode()))
        return LaneSplit(everyone[count:], everyone[:count])

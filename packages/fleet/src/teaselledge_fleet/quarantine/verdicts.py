"""Decide by what requests endpoints ended, from those that were in flight there.

Answers the load of requests that each end their endpoint and share a trait: a segment
of their prompts, or all of their content. Knows the traits in flight at each endpoint
that ended, and not served since. Decides which combinations of traits are refused.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

__all__ = ["MIN_EVENTS", "Suspect", "Verdict", "count_events", "find_verdicts"]

MIN_EVENTS = 3
"""Events after which a trait may be refused.

Whatever else runs at an endpoint is in flight when it ends as well. A request that did
not end it may be next to the one that did a second time, but hardly a third time."""

FEW_ENDS = 4
"""Endpoints on which a verdict on segments is soon tried again."""

FIRST_TRIAL_SECONDS = 6.0
"""Time after the last of few ends until some such requests are sent again. Those that
are refused without cause could not be served otherwise, which acquits them."""

TRIAL_SECONDS = 60.0
"""The same after more ends; it doubles with each further one."""

MAX_DOUBLINGS = 10

TRIAL_DIVISOR = 4
"""One of so many of them is sent, by its content, so that few more endpoints end before
all routers know of the next end."""

EVENT_SECONDS = 0.02
"""Time within which endpoints that end do so in one event, such as the loss of a rack,
that no single request causes."""


@dataclass(frozen=True)
class Suspect:
    """A trait that was in flight at endpoints that ended.

    Attributes
    ----------
    ended_at : mapping of int to float
        Times at which endpoints ended, by their hashes.
    companions : frozenset of int
        Traits that all of these requests had in common, with the suspect itself.
    identical : bool
        Whether all of them have the same content.
    """

    ended_at: Mapping[int, float]
    companions: frozenset[int]
    identical: bool = False

    def count_events(self, explained: Collection[int] = ()) -> int:
        """Return the number of events that are not explained otherwise.

        Attempts of one request follow one another, and retries are fast.
        """
        times = [at for each, at in self.ended_at.items() if each not in explained]
        return len(times) if self.identical else count_events(times)


@dataclass(frozen=True)
class Verdict:
    """Requests that have all of some traits are refused.

    Attributes
    ----------
    traits : frozenset of int
        The traits.
    events : int
        Number of events that this explains.
    until : float
        Loop time from which some of these requests are sent again.
    """

    traits: frozenset[int]
    events: int
    until: float = math.inf

    def applies(self, traits: frozenset[int], content: int, now: float) -> bool:
        """Whether a request with these traits, one of them its content, is refused."""
        if not self.traits <= traits:
            return False
        return now < self.until or content % TRIAL_DIVISOR != 0


def count_events(times: Iterable[float]) -> int:
    """Return the number of events in which endpoints ended, by their times."""
    count, started = 0, float("-inf")
    for at in sorted(times):
        if at > started + EVENT_SECONDS:
            count, started = count + 1, at
    return count


def find_verdicts(suspects: Mapping[int, Suspect]) -> list[Verdict]:
    """Return what is refused, the verdict that explains most events first.

    An end that one verdict explains is no evidence for another one: what often runs
    beside fatal requests is in flight whenever they end an endpoint. Traits that always
    occur together can't be told apart, and are refused only together. Of a verdict and
    a narrower one that leaves too few events for another verdict, the narrower one is
    taken; if it is wrong, the events that it does not explain become more.
    """
    verdicts: list[Verdict] = []
    explained: set[int] = set()
    remaining = dict(suspects)
    while remaining:
        events = {
            trait: suspect.count_events(explained)
            for trait, suspect in remaining.items()
        }
        remaining = {t: s for t, s in remaining.items() if events[t] >= MIN_EVENTS}
        if not remaining:
            break
        most = max(events.values())
        found = {
            _narrow(trait, remaining, explained)
            for trait in remaining
            if events[trait] == most
        }
        by_traits = {remaining[trait].companions: trait for trait in found}
        verdicts += [_verdict(remaining[trait]) for trait in by_traits.values()]
        for trait in found:
            explained.update(remaining.pop(trait).ended_at)
    return verdicts


def _verdict(suspect: Suspect) -> Verdict:
    times = suspect.ended_at.values()
    until = math.inf if suspect.identical else max(times) + _hold_seconds(len(times))
    return Verdict(suspect.companions, suspect.count_events(), until)


def _hold_seconds(ends: int) -> float:
    """Return the time for which all requests that a verdict applies to are refused."""
    if ends <= FEW_ENDS:
        return FIRST_TRIAL_SECONDS
    return TRIAL_SECONDS * 2.0 ** min(ends - FEW_ENDS - 1, MAX_DOUBLINGS)


def _narrow(
    trait: int, suspects: Mapping[int, Suspect], explained: Collection[int]
) -> int:
    """Return the narrowest suspect that explains nearly as much as another one."""
    while True:
        suspect = suspects[trait]
        narrower = [
            other
            for other, candidate in suspects.items()
            if suspect.companions < candidate.companions
            and suspect.count_events({*explained, *candidate.ended_at}) < MIN_EVENTS
        ]
        if not narrower:
            return trait
        trait = max(narrower, key=lambda other: suspects[other].count_events(explained))

"""What organisations asked for and got, and whether one got less than its share."""

from collections import defaultdict
from dataclasses import dataclass, field

__all__ = ["ShareLedger", "ShareViolation"]

WINDOW_SECONDS = 6
MIN_SHARE = 0.5
"""Part of the tokens of the best served one that is due to any other."""

TOLERATED_REQUESTS = 3
"""Number of the largest requests by which an organisation may fall short."""


@dataclass
class _Usage:
    """Tokens of one organisation by second of arrival or of start."""

    asked: defaultdict[int, int] = field(default_factory=lambda: defaultdict(int))
    got: defaultdict[int, int] = field(default_factory=lambda: defaultdict(int))
    waited: set[int] = field(default_factory=set)
    largest_request: int = 0


@dataclass(frozen=True)
class ShareViolation:
    """An organisation that got less than its share.

    Attributes
    ----------
    second : int
        First second of the window.
    organisation, best_organisation : str
        The organisation, and the one that was served best.
    asked, got, best_got : int
        Tokens asked for and served in the window.
    """

    second: int
    organisation: str
    best_organisation: str
    asked: int
    got: int
    best_got: int


class ShareLedger:
    """Counts the tokens of whole prompts and of responses, twice each of the latter."""

    def __init__(self) -> None:
        self._usage: defaultdict[str, _Usage] = defaultdict(_Usage)

    def record_request(self, organisation: str, at: float, tokens: int) -> None:
        """Count a request that arrived."""
        usage = self._usage[organisation]
        usage.asked[int(at)] += tokens
        usage.largest_request = max(usage.largest_request, tokens)

    def record_start(self, organisation: str, at: float, tokens: int) -> None:
        """Count a request that began to run."""
        self._usage[organisation].got[int(at)] += tokens

    def record_wait(self, organisation: str, at: float) -> None:
        """Note that a request was refused or waited beyond its objective."""
        self._usage[organisation].waited.add(int(at))

    def got(self, organisation: str, begin: int, end: int) -> int:
        """Return the tokens that an organisation got from one second to another."""
        usage = self._usage[organisation]
        return sum(usage.got[second] for second in range(begin, end))

    def violations(self, begin: int, end: int) -> list[ShareViolation]:
        """Return the windows in which an organisation got less than its share.

        That is one that waited in each second and got less than half of what it asked
        for, or than half of what the best served one got, whichever is less.
        """
        found = []
        for start in range(begin, end - WINDOW_SECONDS + 1):
            window = range(start, start + WINDOW_SECONDS)
            best = max(
                self._usage, key=lambda name: self.got(name, window.start, window.stop)
            )
            found += [
                violation
                for name, usage in self._usage.items()
                if usage.waited.issuperset(window)
                and (violation := self._check(name, best, window)) is not None
            ]
        return found

    def _check(self, name: str, best: str, window: range) -> ShareViolation | None:
        usage, best_usage = self._usage[name], self._usage[best]
        due = sum(min(usage.asked[s], best_usage.got[s]) for s in window)
        got = self.got(name, window.start, window.stop)
        if got >= MIN_SHARE * due - TOLERATED_REQUESTS * usage.largest_request:
            return None
        return ShareViolation(
            window.start,
            name,
            best,
            sum(usage.asked[s] for s in window),
            got,
            self.got(best, window.start, window.stop),
        )

"""Each organisation's fair share of what the model engines can do."""

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from teaselledge_fleet.process.sources import StatsBySource
from teaselledge_fleet.process.work import name_hash

__all__ = ["OrganisationShares", "ShareStatus", "TokenUsage", "max_min_share"]

WINDOW_SECONDS = 4.0
"""Time over which use is counted; shares are owed over windows of 4 s."""

SLICE_SECONDS = 0.5
"""A window is made of slices, so that it moves on without keeping each request."""


def max_min_share(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min level: what a demand above it is cut to.

    Parameters
    ----------
    demands : iterable of float
        What each organisation asks for.
    capacity : float
        What there is for all.

    Returns
    -------
    float
        Infinity where all demands fit.
    """
    left = capacity
    rising = sorted(demands)
    for position, demand in enumerate(rising):
        level = left / (len(rising) - position)
        if demand > level:
            return level
        left -= demand
    return float("inf")


class ShareStatus(IntEnum):
    """What an organisation received, against what all ask for."""

    INSIDE = 0
    """No more than its share of what is promised."""

    OVER = 1
    """More than that."""

    AHEAD = 2
    """More than its share of all that engines give, where they give more."""


@dataclass(frozen=True)
class TokenUsage:
    """Tokens within the last window.

    Attributes
    ----------
    requested, allocated : int
        Of requests that came, and of those that were sent to an engine.
    """

    requested: int = 0
    allocated: int = 0

    def __add__(self, other: "TokenUsage") -> "TokenUsage":
        return TokenUsage(
            self.requested + other.requested, self.allocated + other.allocated
        )

    def subtract(self, other: "TokenUsage") -> "TokenUsage":
        """Return what is left without another's part, never below nothing."""
        received = max(0, self.allocated - other.allocated)
        return TokenUsage(max(0, self.requested - other.requested), received)


@dataclass
class _Counter:
    asked: int = 0
    received: int = 0


@dataclass
class _Window:
    """Growth of a pair of counters over the last slices."""

    marks: deque[tuple[float, int, int]] = field(default_factory=deque)

    def mark(self, now: float, counter: _Counter) -> None:
        """Note the counters."""
        if self.marks and now - self.marks[-1][0] < SLICE_SECONDS:
            return
        self.marks.append((now, counter.asked, counter.received))
        while len(self.marks) > 1 and now - self.marks[1][0] >= WINDOW_SECONDS:
            self.marks.popleft()

    def growth(self, counter: _Counter) -> TokenUsage:
        """Return how far the counters grew within the window."""
        if not self.marks:
            return TokenUsage(counter.asked, counter.received)
        _, asked, received = self.marks[0]
        return TokenUsage(counter.asked - asked, counter.received - received)


class OrganisationShares(StatsBySource[TokenUsage]):
    """Counts what organisations ask for and receive over the whole fleet.

    Every source tells its use within the last window, in tokens of work: a token that
    an engine reads counts one, and a token that it generates counts two.
    """

    def __init__(self) -> None:
        super().__init__()
        self._counters: defaultdict[int, _Counter] = defaultdict(_Counter)
        self._windows: defaultdict[int, _Window] = defaultdict(_Window)
        self._names: dict[str, int] = {}
        self._promised = float("inf")
        self._level = float("inf")
        self._given_level = float("inf")
        """The same of all that engines give."""
        self._fleet: dict[int, TokenUsage] = {}
        self._levelled_at = -SLICE_SECONDS

    def set_guaranteed_rate(self, tokens_per_second: float) -> None:
        """Take what the operator promises to all organisations together.

        0 where nothing is promised.
        """
        self._promised = tokens_per_second * WINDOW_SECONDS or float("inf")

    def record_request(self, organisation: str, tokens: int) -> None:
        """Count a request that arrives."""
        self._counter(organisation).asked += tokens

    def record_allocation(self, organisation: str, tokens: int) -> None:
        """Count a request that is sent to an engine."""
        self._counter(organisation).received += tokens

    def status(self, organisation: str, margin: float) -> ShareStatus:
        """Return where an organisation stands, with so much of a share as margin.

        Inside while all demands fit.
        """
        self._refresh()
        use = self._fleet.get(self._key(organisation), TokenUsage())
        if use.allocated <= self._level * margin:
            return ShareStatus.INSIDE
        more_is_given = self._given_level > self._level
        if more_is_given and use.allocated > self._given_level * margin:
            return ShareStatus.AHEAD
        return ShareStatus.OVER

    def is_over_share(self, organisation: str, margin: float) -> bool:
        """Whether an organisation received more than its share by a factor."""
        return self.status(organisation, margin) is not ShareStatus.INSIDE

    def seconds_until_within_share(self, organisation: str) -> float:
        """Return when an organisation that receives nothing more is inside its share.

        Its use leaves the window evenly; 0 where it is inside already.
        """
        self._refresh()
        use = self._fleet.get(self._key(organisation), TokenUsage())
        if use.allocated <= self._level:
            return 0.0
        return WINDOW_SECONDS * (1.0 - self._level / use.allocated)

    def local(self) -> dict[int, TokenUsage]:
        """Return this router's use by organisation."""
        now = self._now()
        found = {}
        for key, counter in self._counters.items():
            window = self._windows[key]
            window.mark(now, counter)
            use = window.growth(counter)
            if use.requested or use.allocated:
                found[key] = use
        return found

    def _refresh(self) -> None:
        now = self._now()
        if now - self._levelled_at < SLICE_SECONDS / 2:
            return
        self._levelled_at = now
        fleet: defaultdict[int, TokenUsage] = defaultdict(TokenUsage, self.local())
        for key, use in self.sum_of_sources().items():
            fleet[key] += use
        self._fleet = dict(fleet)
        received = sum(use.allocated for use in fleet.values())
        asked = [use.requested for use in fleet.values()]
        # engines that happen to do more than is promised raise nobody's share; what
        # they do beyond it is divided by the same rule
        self._level = max_min_share(asked, min(received, self._promised))
        self._given_level = max_min_share(asked, received)

    def _counter(self, organisation: str) -> _Counter:
        key = self._key(organisation)
        if key not in self._windows:
            # before its first tokens, so that they count as growth
            self._windows[key].mark(self._now(), self._counters[key])
        return self._counters[key]

    def _key(self, organisation: str) -> int:
        key = self._names.get(organisation)
        if key is None:
            key = self._names[organisation] = name_hash(organisation)
        return key

"""Each organisation's fair share of what the model engines can do."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from teaselledge_wire.gen.fleet.ttypes import OrganisationUse

from teaselledge_fleet.process.work import key_of

__all__ = ["OrganisationShares", "fair_level"]

WINDOW_SECONDS = 4.0
"""Time over which use is counted; shares are owed over windows of 4 s."""

SLICE_SECONDS = 0.5
"""A window is made of slices, so that it moves on without keeping each request."""


def fair_level(demands: Iterable[float], capacity: float) -> float:
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


@dataclass
class _Counter:
    asked: int = 0
    received: int = 0


@dataclass
class _Window:
    """Differences of a pair of growing counters over the last slices."""

    marks: deque[tuple[float, int, int]] = field(default_factory=deque)

    def mark(self, now: float, asked: int, received: int) -> None:
        """Note the counters."""
        if self.marks and (asked < self.marks[-1][1] or received < self.marks[-1][2]):
            # the other router has started anew
            self.marks.clear()
        if self.marks and now - self.marks[-1][0] < SLICE_SECONDS:
            self.marks[-1] = (self.marks[-1][0], asked, received)
        else:
            self.marks.append((now, asked, received))
        while len(self.marks) > 1 and now - self.marks[1][0] > WINDOW_SECONDS:
            self.marks.popleft()

    def growth(self, now: float) -> tuple[int, int]:
        """Return how far the counters grew within the window."""
        inside = [m for m in self.marks if now - m[0] <= WINDOW_SECONDS + SLICE_SECONDS]
        if len(inside) < 2:  # noqa: PLR2004
            return (0, 0)
        first, last = inside[0], inside[-1]
        return (last[1] - first[1], last[2] - first[2])


class OrganisationShares:
    """Counts what organisations ask for and receive over the whole fleet.

    Every router tells growing counters, so a lost pulse does no harm: the next one
    makes up for it.
    """

    def __init__(self) -> None:
        self._own: defaultdict[int, _Counter] = defaultdict(_Counter)
        self._windows: defaultdict[tuple[str, int], _Window] = defaultdict(_Window)
        self._names: dict[str, int] = {}
        self._level = float("inf")
        self._received: dict[int, float] = {}
        self._levelled_at = -1.0

    def ask(self, organisation: str, tokens: int) -> None:
        """Count a request that arrives."""
        self._note(organisation).asked += tokens

    def receive(self, organisation: str, tokens: int) -> None:
        """Count a request that is sent to an engine."""
        self._note(organisation).received += tokens

    def over(self, organisation: str, margin: float) -> bool:
        """Whether an organisation received more than its fair share by a factor.

        False while all demands fit.
        """
        self._refresh()
        received = self._received.get(self._key(organisation), 0.0)
        return received > self._level * margin

    def tell(self) -> list[OrganisationUse]:
        """Return this router's counters, for the others."""
        return [
            OrganisationUse(key, counter.received, counter.asked)
            for key, counter in self._own.items()
        ]

    def hear(self, vm: str, uses: Iterable[OrganisationUse]) -> None:
        """Take another router's counters."""
        now = self._now()
        for use in uses:
            window = self._windows[vm, use.organisation]
            window.mark(now, use.asked or 0, use.received or 0)

    def _refresh(self) -> None:
        now = self._now()
        if now - self._levelled_at < SLICE_SECONDS / 2:
            return
        self._levelled_at = now
        for key, counter in self._own.items():
            self._windows["", key].mark(now, counter.asked, counter.received)
        asked, received = self._sums(now)
        self._received = received
        self._level = fair_level(asked.values(), sum(received.values()))

    def _sums(self, now: float) -> tuple[Mapping[int, float], dict[int, float]]:
        asked: defaultdict[int, float] = defaultdict(float)
        received: defaultdict[int, float] = defaultdict(float)
        for (vm, key), window in list(self._windows.items()):
            grown_asked, grown_received = window.growth(now)
            if not grown_asked and not grown_received and vm:
                if now - window.marks[-1][0] > 2 * WINDOW_SECONDS:
                    del self._windows[vm, key]
                continue
            asked[key] += grown_asked
            received[key] += grown_received
        return asked, dict(received)

    def _note(self, organisation: str) -> _Counter:
        return self._own[self._key(organisation)]

    def _key(self, organisation: str) -> int:
        key = self._names.get(organisation)
        if key is None:
            key = self._names[organisation] = key_of(organisation)
        return key

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

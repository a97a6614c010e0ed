"""Standings of the organisations of one service, as one dispatcher knows them."""

import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from sortedcontainers import SortedList

from teaselledge.version.document import Organisation

__all__ = ["SortedByValue", "UsageAccounts"]

MAX_LEAD_SECONDS = 3.0
"""Longest time for which an organisation may be kept waiting to pay back."""

MAX_LEAD_FACTOR = 1.5
"""Debts that reports may add up to."""

RATE_SECONDS = 5.0
"""Time constant of the measured service rate."""


class SortedByValue:
    """Names ordered by a value; each step is logarithmic in their number."""

    def __init__(self) -> None:
        self._sorted: SortedList = SortedList()
        self._values: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._values)

    def __contains__(self, name: object) -> bool:
        return name in self._values

    def __iter__(self) -> Iterator[str]:
        return (name for _, name in self._sorted)

    @property
    def lowest(self) -> float | None:
        """Smallest value, None where there is no name."""
        return self._sorted[0][0] if self._sorted else None

    @property
    def highest(self) -> float | None:
        """Largest value, None where there is no name."""
        return self._sorted[-1][0] if self._sorted else None

    def put(self, name: str, value: float) -> None:
        """Add a name or move it to another value."""
        old = self._values.get(name)
        if old == value:
            return
        if old is not None:
            self._sorted.remove((old, name))
        self._sorted.add((value, name))
        self._values[name] = value

    def drop(self, name: str) -> None:
        """Remove a name, if it is there."""
        old = self._values.pop(name, None)
        if old is not None:
            self._sorted.remove((old, name))


@dataclass
class _Account:
    share: float
    standing: float = 0.0
    own: float = 0.0
    local: int = 0
    remote: int = 0


class UsageAccounts:
    """Normalised service, cost divided by share, of each organisation.

    Only differences between standings matter. An organisation that is not in
    the document has no account; what is told about it is refused.

    Parameters
    ----------
    max_lead_floor : float
        Smallest debt that is remembered, in cost per share.
    """

    def __init__(self, max_lead_floor: float) -> None:
        self.max_lead_floor = max_lead_floor
        self._accounts: dict[str, _Account] = {}
        self._backlogged = SortedByValue()
        self._shares = 0.0
        self._last_start = 0.0
        self._rate = 0.0
        self._growth = 0.0
        self._listeners: list[Callable[[str, float], None]] = []

    def __contains__(self, name: object) -> bool:
        return name in self._accounts

    @property
    def backlogged(self) -> SortedByValue:
        """Organisations with waiting requests anywhere, neediest first."""
        return self._backlogged

    @property
    def rate(self) -> float:
        """Measured cost that the whole service completes in a second."""
        return self._rate

    @property
    def max_lead(self) -> float:
        """Largest lead over the neediest that is remembered."""
        return max(
            self.max_lead_floor, MAX_LEAD_SECONDS * self._rate / max(self._shares, 1e-9)
        )

    def subscribe(self, listener: Callable[[str, float], None]) -> None:
        """Call a listener with name and standing whenever one changes."""
        self._listeners.append(listener)

    def set_organisations(self, organisations: Mapping[str, Organisation]) -> None:
        """Take the organisations and shares of a new document."""
        for name in [n for n in self._accounts if n not in organisations]:
            self._backlogged.drop(name)
            del self._accounts[name]
        for name, entry in organisations.items():
            account = self._accounts.get(name)
            if account is None:
                self._accounts[name] = _Account(entry.share)
                continue
            account.share = entry.share
        self._shares = sum(self._accounts[name].share for name in self._backlogged)

    def normalised_usage(self, name: str) -> float:
        """Return an organisation's standing."""
        return self._accounts[name].standing

    def share(self, name: str) -> float:
        """Return an organisation's share."""
        return self._accounts[name].share

    def local_usage(self, name: str) -> float:
        """Return the cost that this dispatcher counted."""
        return self._accounts[name].own

    def local_waiting(self, name: str) -> int:
        """Return how many requests wait here."""
        return self._accounts[name].local

    def has_remote_waiting(self, name: str) -> bool:
        """Return whether another dispatcher has requests of it waiting."""
        return self._accounts[name].remote > 0

    @property
    def gap(self) -> float:
        """Difference between the highest and the lowest backlogged standing."""
        order = self._backlogged
        return (order.highest or 0.0) - (order.lowest or 0.0)

    def lead(self, name: str) -> float:
        """Return how far a standing is above the lowest backlogged one."""
        lowest = self._backlogged.lowest
        return 0.0 if lowest is None else self._accounts[name].standing - lowest

    def charge(self, name: str, cost: float) -> None:
        """Count service that this dispatcher granted, or its correction."""
        account = self._accounts.get(name)
        if account is None:
            return
        account.own += cost
        self._growth += cost
        self._set(name, account, account.standing + cost / account.share)

    def record_start(self, name: str) -> None:
        """Note the standing at which a request starts, before its charge.

        While nobody is backlogged this is the level to which an organisation
        that returns is lifted, so that the use of idle capacity makes no debt.
        """
        account = self._accounts.get(name)
        if account is not None:
            self._last_start = account.standing

    def add_remote_usage(self, name: str, cost: float) -> None:
        """Count service that another dispatcher reported.

        After a split or from an old counter the growth of an hour may arrive
        at once; without a limit the organisation would wait until all others
        had caught up. One report adds a debt at most, and several together
        lift the standing to `MAX_LEAD_FACTOR` above the neediest at most. In daily
        use neither limit is reached, so no service is forgotten.
        """
        account = self._accounts.get(name)
        if account is None:
            return
        self._growth += cost
        self._last_start = account.standing
        target = account.standing + min(cost / account.share, self.max_lead)
        lowest = self._backlogged.lowest
        if cost > 0 and lowest is not None:
            limit = lowest + MAX_LEAD_FACTOR * self.max_lead
            target = min(target, max(account.standing, limit))
        self._set(name, account, target)

    def blend_usage(self, name: str, standing: float, weight: float) -> None:
        """Move a standing towards another dispatcher's view of it."""
        account = self._accounts.get(name)
        if account is None:
            return
        step = (standing - account.standing) * weight
        limit = self.max_lead
        self._set(name, account, account.standing + max(-limit, min(limit, step)))

    def set_usage(self, name: str, standing: float) -> None:
        """Take a standing as another dispatcher has it."""
        account = self._accounts.get(name)
        if account is not None:
            self._set(name, account, standing)

    def add_local_waiting(self, name: str, change: int) -> None:
        """Note that requests began or ceased to wait here."""
        account = self._accounts.get(name)
        if account is None:
            return
        account.local = max(0, account.local + change)
        self._update(name, account)

    def add_remote_backlog(self, name: str, change: int) -> None:
        """Note that a dispatcher began or ceased to have requests waiting."""
        account = self._accounts.get(name)
        if account is None:
            return
        account.remote = max(0, account.remote + change)
        self._update(name, account)

    def tick(self, seconds: float) -> None:
        """Measure the service rate."""
        if seconds <= 0:
            return
        weight = 1 - math.exp(-seconds / RATE_SECONDS)
        self._rate += (max(0.0, self._growth) / seconds - self._rate) * weight
        self._growth = 0.0

    def _update(self, name: str, account: _Account) -> None:
        backlogged = account.local > 0 or account.remote > 0
        if backlogged == (name in self._backlogged):
            return
        if not backlogged:
            self._backlogged.drop(name)
            self._shares -= account.share
            return
        lowest = self._backlogged.lowest
        # idleness earns no credit, and an old lead is forgiven beyond the debt
        if lowest is None:
            standing = max(account.standing, self._last_start)
        else:
            standing = min(max(account.standing, lowest), lowest + self.max_lead)
        self._shares += account.share
        self._backlogged.put(name, standing)
        self._set(name, account, standing)

    def _set(self, name: str, account: _Account, standing: float) -> None:
        account.standing = standing
        if name in self._backlogged:
            self._backlogged.put(name, standing)
        for listener in self._listeners:
            listener(name, standing)

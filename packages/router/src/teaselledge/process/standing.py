"""Usage of one service by its organisations, as one dispatcher knows it."""

import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from sortedcontainers import SortedList

from teaselledge.version.document import Organisation

__all__ = ["SortedByValue", "UsageAccounts"]

MAX_LEAD_SECONDS = 3.0
"""Maximum time for which an organisation may wait because of its lead."""

MAX_LEAD_FACTOR = 1.5
"""Maximum lead that reports may add up to, as a multiple of `max_lead`."""

RATE_TIME_CONSTANT_SECONDS = 5.0
"""Time constant of the measured service rate."""


class SortedByValue:
    """Names sorted by a value; updates take logarithmic time."""

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
        """Minimum value, None if there are no names."""
        return self._sorted[0][0] if self._sorted else None

    @property
    def highest(self) -> float | None:
        """Maximum value, None if there are no names."""
        return self._sorted[-1][0] if self._sorted else None

    def put(self, name: str, value: float) -> None:
        """Add a name or change its value."""
        old = self._values.get(name)
        if old == value:
            return
        if old is not None:
            self._sorted.remove((old, name))
        self._sorted.add((value, name))
        self._values[name] = value

    def drop(self, name: str) -> None:
        """Remove a name if it is present."""
        old = self._values.pop(name, None)
        if old is not None:
            self._sorted.remove((old, name))


@dataclass
class _Account:
    share: float
    normalised_usage: float = 0.0
    local_usage: float = 0.0
    local_waiting: int = 0
    remote_backlog_count: int = 0


class UsageAccounts:
    """Normalised usage, cost divided by share, of each organisation.

    Only differences of normalised usage matter. An organisation that is not in
    the document has no account, and updates of its usage are ignored.

    Parameters
    ----------
    max_lead_floor : float
        Lower limit of `max_lead`, in cost per share.
    """

    def __init__(self, max_lead_floor: float) -> None:
        self.max_lead_floor = max_lead_floor
        self._accounts: dict[str, _Account] = {}
        self._backlogged = SortedByValue()
        self._backlogged_shares = 0.0
        self._last_start_usage = 0.0
        self._rate = 0.0
        self._usage_since_tick = 0.0
        self._listeners: list[Callable[[str, float], None]] = []

    def __contains__(self, name: object) -> bool:
        return name in self._accounts

    @property
    def backlogged(self) -> SortedByValue:
        """Organisations with waiting requests in the fleet, lowest usage first."""
        return self._backlogged

    @property
    def rate(self) -> float:
        """Measured cost that the whole service completes per second."""
        return self._rate

    @property
    def max_lead(self) -> float:
        """Maximum lead over the lowest backlogged usage that is retained."""
        return max(
            self.max_lead_floor,
            MAX_LEAD_SECONDS * self._rate / max(self._backlogged_shares, 1e-9),
        )

    def subscribe(self, listener: Callable[[str, float], None]) -> None:
        """Call a listener with the name and the normalised usage after each change."""
        self._listeners.append(listener)

    def set_organisations(self, organisations: Mapping[str, Organisation]) -> None:
        """Apply the organisations and shares of a new document."""
        for name in [n for n in self._accounts if n not in organisations]:
            self._backlogged.drop(name)
            del self._accounts[name]
        for name, entry in organisations.items():
            account = self._accounts.get(name)
            if account is None:
                self._accounts[name] = _Account(entry.share)
                continue
            account.share = entry.share
        self._backlogged_shares = sum(
            self._accounts[name].share for name in self._backlogged
        )

    def normalised_usage(self, name: str) -> float:
        """Return the normalised usage of an organisation."""
        return self._accounts[name].normalised_usage

    def share(self, name: str) -> float:
        """Return the share of an organisation."""
        return self._accounts[name].share

    def local_usage(self, name: str) -> float:
        """Return the cost of an organisation that this dispatcher charged."""
        return self._accounts[name].local_usage

    def local_waiting(self, name: str) -> int:
        """Return the number of requests of an organisation that wait here."""
        return self._accounts[name].local_waiting

    def has_remote_waiting(self, name: str) -> bool:
        """Return whether requests of an organisation wait at another dispatcher."""
        return self._accounts[name].remote_backlog_count > 0

    @property
    def gap(self) -> float:
        """Difference between the highest and the lowest backlogged usage."""
        order = self._backlogged
        return (order.highest or 0.0) - (order.lowest or 0.0)

    def lead(self, name: str) -> float:
        """Return by how much an organisation exceeds the lowest backlogged usage."""
        lowest = self._backlogged.lowest
        return 0.0 if lowest is None else self._accounts[name].normalised_usage - lowest

    def charge(self, name: str, cost: float) -> None:
        """Add the cost, or its correction, of a request that was granted here."""
        account = self._accounts.get(name)
        if account is None:
            return
        account.local_usage += cost
        self._usage_since_tick += cost
        self._set_usage(name, account, account.normalised_usage + cost / account.share)

    def record_start(self, name: str) -> None:
        """Record the usage at which a request starts, before its charge.

        While no organisation is backlogged, one that becomes backlogged is
        raised to this level, so that the use of idle capacity does not count
        as a lead.
        """
        account = self._accounts.get(name)
        if account is not None:
            self._last_start_usage = account.normalised_usage

    def add_remote_usage(self, name: str, cost: float) -> None:
        """Add the cost that another dispatcher reported.

        After a network partition or from an old counter, the growth of an hour
        may arrive at once; without a limit the organisation would wait until
        all others had caught up. One report adds at most `max_lead`, and
        several together raise the usage to at most `MAX_LEAD_FACTOR` times
        `max_lead` above the lowest backlogged usage. In normal operation
        neither limit is reached, so no usage is lost.
        """
        account = self._accounts.get(name)
        if account is None:
            return
        self._usage_since_tick += cost
        self._last_start_usage = account.normalised_usage
        target = account.normalised_usage + min(cost / account.share, self.max_lead)
        lowest = self._backlogged.lowest
        if cost > 0 and lowest is not None:
            limit = lowest + MAX_LEAD_FACTOR * self.max_lead
            target = min(target, max(account.normalised_usage, limit))
        self._set_usage(name, account, target)

    def blend_usage(self, name: str, normalised_usage: float, weight: float) -> None:
        """Move the normalised usage towards the value of another dispatcher."""
        account = self._accounts.get(name)
        if account is None:
            return
        step = (normalised_usage - account.normalised_usage) * weight
        limit = self.max_lead
        self._set_usage(
            name, account, account.normalised_usage + max(-limit, min(limit, step))
        )

    def set_usage(self, name: str, normalised_usage: float) -> None:
        """Set the normalised usage to the value of another dispatcher."""
        account = self._accounts.get(name)
        if account is not None:
            self._set_usage(name, account, normalised_usage)

    def add_local_waiting(self, name: str, change: int) -> None:
        """Change the number of requests of an organisation that wait here."""
        account = self._accounts.get(name)
        if account is None:
            return
        account.local_waiting = max(0, account.local_waiting + change)
        self._update_backlog(name, account)

    def add_remote_backlog(self, name: str, change: int) -> None:
        """Change the number of other dispatchers at which an organisation waits."""
        account = self._accounts.get(name)
        if account is None:
            return
        account.remote_backlog_count = max(0, account.remote_backlog_count + change)
        self._update_backlog(name, account)

    def tick(self, seconds: float) -> None:
        """Update the measured rate after an interval."""
        if seconds <= 0:
            return
        weight = 1 - math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS)
        self._rate += (max(0.0, self._usage_since_tick) / seconds - self._rate) * weight
        self._usage_since_tick = 0.0

    def _update_backlog(self, name: str, account: _Account) -> None:
        backlogged = account.local_waiting > 0 or account.remote_backlog_count > 0
        if backlogged == (name in self._backlogged):
            return
        if not backlogged:
            self._backlogged.drop(name)
            self._backlogged_shares -= account.share
            return
        lowest = self._backlogged.lowest
        # An idle organisation accumulates no credit, and an old lead is
        # limited to `max_lead`.
        if lowest is None:
            normalised_usage = max(account.normalised_usage, self._last_start_usage)
        else:
            normalised_usage = min(
                max(account.normalised_usage, lowest), lowest + self.max_lead
            )
        self._backlogged_shares += account.share
        self._backlogged.put(name, normalised_usage)
        self._set_usage(name, account, normalised_usage)

    def _set_usage(self, name: str, account: _Account, normalised_usage: float) -> None:
        account.normalised_usage = normalised_usage
        if name in self._backlogged:
            self._backlogged.put(name, normalised_usage)
        for listener in self._listeners:
            listener(name, normalised_usage)

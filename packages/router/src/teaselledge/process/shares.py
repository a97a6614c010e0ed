"""Statistics of the dispatchers of this router, for the status page."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from teaselledge.process.bound import gap_bound
from teaselledge.process.dispatcher import Dispatcher
from teaselledge.process.placement import Shard
from teaselledge.process.preset import get_preset_by_name, largest_hint
from teaselledge.process.standing import UsageAccounts
from teaselledge.version.document import Service, Version

__all__ = ["DispatcherShares", "ShardStats", "ShareStats", "ShareSource"]

MAX_SHARE_STATS = 1000
"""Maximum number of organisations in a status, sorted by waiting requests."""


@dataclass(frozen=True)
class ShardStats:
    """Statistics of a shard from its dispatcher.

    Attributes
    ----------
    service, zone : str
        The shard.
    waiting, running, free : int
        Number of waiting and running requests, and of free slots.
    rate : float
        Cost that the whole service completes per second.
    gap : float
        Maximum lead among the backlogged organisations, as a fraction of the
        bound for requests whose cost equals the hint of their kind.
    """

    service: str
    zone: str
    waiting: int
    running: int
    free: int
    rate: float
    gap: float

    @property
    def idle(self) -> int:
        """Number of slots that are free while requests wait."""
        return min(self.waiting, self.free)


@dataclass(frozen=True)
class ShareStats:
    """Share and usage of an organisation from one dispatcher.

    Attributes
    ----------
    service, zone : str
        The dispatcher's shard.
    organisation : str
        The organisation.
    share : float
        Share of the organisation.
    served : float
        Cost that this dispatcher has charged.
    waiting : int
        Number of requests that wait here.
    lead : float
        Normalised usage above the lowest backlogged usage.
    """

    service: str
    zone: str
    organisation: str
    share: float
    served: float
    waiting: int
    lead: float


class ShareSource(Protocol):
    """Source of the statistics of dispatchers."""

    def shards(self) -> Sequence[ShardStats]:
        """Return the statistics of the shards that this router dispatches for."""

    def shares(self) -> Sequence[ShareStats]:
        """Return the statistics of their organisations."""


class DispatcherShares:
    """Reads the statistics from the dispatchers.

    Parameters
    ----------
    running : callable
        Returns the dispatchers of this router.
    version : callable
        Returns the configuration in force.
    """

    def __init__(
        self,
        running: Callable[[], Iterable[Dispatcher]],
        version: Callable[[], Version | None],
    ) -> None:
        self._dispatchers = running
        self._version = version

    def shards(self) -> list[ShardStats]:
        """Return the statistics of the shards that this router dispatches for."""
        version = self._version()
        stats = []
        for dispatcher in self._dispatchers():
            usage = dispatcher.usage
            name = dispatcher.shard.service
            service = version.document.services.get(name) if version else None
            if service is None:
                continue
            stats.append(
                ShardStats(
                    dispatcher.shard.service,
                    dispatcher.shard.zone,
                    dispatcher.waiting,
                    dispatcher.running,
                    dispatcher.free_slots,
                    usage.rate,
                    _relative_gap(usage, service),
                )
            )
        return stats

    def shares(self) -> list[ShareStats]:
        """Return the statistics of organisations with usage or waiting requests."""
        version = self._version()
        if version is None:
            return []
        stats = [
            entry
            for dispatcher in self._dispatchers()
            for name in version.document.organisations
            if (entry := _share_stats(dispatcher.shard, dispatcher.usage, name))
        ]
        stats.sort(key=lambda f: (-f.waiting, f.service, f.zone, f.organisation))
        return stats[:MAX_SHARE_STATS]


def _relative_gap(usage: UsageAccounts, service: Service) -> float:
    names = list(usage.backlogged)
    if not names:
        return 0.0
    preset = get_preset_by_name(service.preset)
    bound = gap_bound(
        sum(endpoint.slots for endpoint in service.endpoints.values()),
        largest_hint(service),
        preset.quantum(service),
        preset.interval + preset.region_interval,
        usage.rate,
        min(usage.share(name) for name in names),
        len({endpoint.zone for endpoint in service.endpoints.values()}),
    )
    return max(usage.lead(name) for name in names) / bound


def _share_stats(shard: Shard, usage: UsageAccounts, name: str) -> ShareStats | None:
    if name not in usage:
        return None
    served, waiting = usage.local_usage(name), usage.local_waiting(name)
    if not served and not waiting:
        return None
    return ShareStats(
        shard.service,
        shard.zone,
        name,
        usage.share(name),
        served,
        waiting,
        usage.lead(name),
    )

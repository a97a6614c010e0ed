"""Figures of the dispatchers that this router runs, for the status page."""

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
"""Organisations that one status tells of, those with most waiting first."""


@dataclass(frozen=True)
class ShardStats:
    """One shard, as its dispatcher sees it.

    Attributes
    ----------
    service, zone : str
        The shard.
    waiting, running, free : int
        Requests that wait and run, and free slots.
    rate : float
        Cost that the whole service completes in a second.
    gap : float
        Largest lead among the backlogged organisations, as a part of the
        bound for requests that cost what their kind's hint says.
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
        """Slots that are free while requests wait for them."""
        return min(self.waiting, self.free)


@dataclass(frozen=True)
class ShareStats:
    """What one organisation is due and gets, as one dispatcher sees it.

    Attributes
    ----------
    service, zone : str
        The dispatcher's shard.
    organisation : str
        The organisation.
    share : float
        Its share.
    served : float
        Cost that this dispatcher granted so far.
    waiting : int
        Requests that wait here.
    lead : float
        Normalised service above the neediest organisation that waits.
    """

    service: str
    zone: str
    organisation: str
    share: float
    served: float
    waiting: int
    lead: float


class ShareSource(Protocol):
    """Where the figures of the dispatchers come from."""

    def shards(self) -> Sequence[ShardStats]:
        """Return the figures of all shards that this router dispatches for."""

    def shares(self) -> Sequence[ShareStats]:
        """Return the figures of their organisations."""


class DispatcherShares:
    """Reads the figures from the dispatchers.

    Parameters
    ----------
    running : callable
        The dispatchers of this router.
    version : callable
        The configuration in force.
    """

    def __init__(
        self,
        running: Callable[[], Iterable[Dispatcher]],
        version: Callable[[], Version | None],
    ) -> None:
        self._running = running
        self._version = version

    def shards(self) -> list[ShardStats]:
        """Return the figures of all shards that this router dispatches for."""
        version = self._version()
        figures = []
        for dispatcher in self._running():
            standings = dispatcher.usage
            name = dispatcher.shard.service
            service = version.document.services.get(name) if version else None
            if service is None:
                continue
            figures.append(
                ShardStats(
                    dispatcher.shard.service,
                    dispatcher.shard.zone,
                    dispatcher.waiting,
                    dispatcher.running,
                    dispatcher.free_slots,
                    standings.rate,
                    _gap(standings, service),
                )
            )
        return figures

    def shares(self) -> list[ShareStats]:
        """Return the figures of organisations that were served or wait."""
        version = self._version()
        if version is None:
            return []
        figures = [
            figure
            for dispatcher in self._running()
            for name in version.document.organisations
            if (figure := _figure(dispatcher.shard, dispatcher.usage, name))
        ]
        figures.sort(key=lambda f: (-f.waiting, f.service, f.zone, f.organisation))
        return figures[:MAX_SHARE_STATS]


def _gap(standings: UsageAccounts, service: Service) -> float:
    names = list(standings.backlogged)
    if not names:
        return 0.0
    preset = get_preset_by_name(service.preset)
    bound = gap_bound(
        sum(endpoint.slots for endpoint in service.endpoints.values()),
        largest_hint(service),
        preset.quantum(service),
        preset.interval + preset.region_interval,
        standings.rate,
        min(standings.share(name) for name in names),
        len({endpoint.zone for endpoint in service.endpoints.values()}),
    )
    return max(standings.lead(name) for name in names) / bound


def _figure(shard: Shard, standings: UsageAccounts, name: str) -> ShareStats | None:
    if name not in standings:
        return None
    served, waiting = standings.local_usage(name), standings.local_waiting(name)
    if not served and not waiting:
        return None
    return ShareStats(
        shard.service,
        shard.zone,
        name,
        standings.share(name),
        served,
        waiting,
        standings.lead(name),
    )

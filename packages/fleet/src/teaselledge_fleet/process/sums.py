"""Totals of the load and token usage of several routers."""

from collections.abc import Iterable

from teaselledge_fleet.process.admission import AdmissionController
from teaselledge_fleet.process.members import Member
from teaselledge_fleet.process.prefill import PrefillModel, SlowdownSamples
from teaselledge_fleet.process.sent import NO_MARK, LoadStats, SentLoadStats, mark_of
from teaselledge_fleet.process.shares import OrganisationShares, TokenUsage
from teaselledge_fleet.process.sources import EXPIRY_SECONDS, TOTAL_EXPIRY_SECONDS
from teaselledge_fleet.process.topology import Scope
from teaselledge_fleet.process.work import EndpointLoad, FleetLoad

__all__ = ["LoadTotals"]

OTHERS_SOURCE = "all others"


class LoadTotals:
    """Computes the statistics that a router sends, and applies those it receives.

    Parameters
    ----------
    load : FleetLoad
        Stores the load of other routers.
    shares : OrganisationShares
        Counts this router's token usage, and stores that of other routers.
    admission : AdmissionController
        Counts the load of endpoints that this router coordinates.
    prefill : PrefillModel
        Estimates engines' speed from the responses at this and other routers.
    """

    def __init__(
        self,
        load: FleetLoad,
        shares: OrganisationShares,
        admission: AdmissionController,
        prefill: PrefillModel,
    ) -> None:
        self._load = load
        self._shares = shares
        self._admission = admission
        self._prefill = prefill
        self._sent = SentLoadStats()
        self._marks: dict[str, int] = {}
        """Marks of the latest heartbeats of other routers, by VM."""
        self._zones: set[str] = set()
        """Other zones whose totals have been received."""

    def own(self) -> LoadStats:
        """Return the statistics of this router."""
        return LoadStats(
            self._admission.total_loads(),
            self._shares.local(),
            self._prefill.local(),
        )

    def for_scope(self, scope: Scope, zone_peers: Iterable[Member]) -> LoadStats | None:
        """Return the statistics to send in a scope; None if the scope has none.

        Parameters
        ----------
        scope : Scope
            Routers to include.
        zone_peers : iterable of Member
            The other alive routers of this zone.
        """
        if scope is Scope.NEWS:
            return None
        own = self.own()
        if scope is Scope.OWN:
            return own
        loads, usage, slowdowns = (
            dict(own.loads),
            dict(own.usage),
            dict(own.slowdowns),
        )
        sources = {member.vm for member in zone_peers}
        if scope is Scope.FLEET:
            sources |= {_zone_source(zone) for zone in self._zones}
            if self._load.is_fresh(OTHERS_SOURCE):
                # this router became aggregator and lacks the totals of some zones
                sources = {OTHERS_SOURCE}
        for key, load in self._load.sum_of_sources(sources).items():
            loads[key] = loads.get(key, EndpointLoad()) + load
        for key, used in self._shares.sum_of_sources(sources).items():
            usage[key] = usage.get(key, TokenUsage()) + used
        for key, samples in self._prefill.sum_of_sources(sources).items():
            slowdowns[key] = slowdowns.get(key, SlowdownSamples()) + samples
        return LoadStats(loads, usage, slowdowns)

    def record_sent(self, sequence: int, stats: LoadStats) -> None:
        """Record this router's statistics as sent in a heartbeat."""
        self._sent.record(sequence, stats)

    def mark(self, vm: str) -> int:
        """Return the mark of the heartbeat of a router that the totals include."""
        return self._marks.get(vm, NO_MARK) if self._load.is_fresh(vm) else NO_MARK

    def update_router(self, vm: str, sequence: int, stats: LoadStats) -> None:
        """Apply the statistics that a router sent of itself."""
        self._marks[vm] = mark_of(sequence)
        self._update(vm, stats, EXPIRY_SECONDS)

    def update_zone(self, zone: str, stats: LoadStats) -> None:
        """Apply the total of a zone, sent by its aggregator."""
        self._zones.add(zone)
        self._update(_zone_source(zone), stats, TOTAL_EXPIRY_SECONDS)

    def update_others(self, stats: LoadStats) -> None:
        """Apply the total of all other routers, sent by this zone's aggregator."""
        self._load.retain_only_source(OTHERS_SOURCE)
        self._shares.retain_only_source(OTHERS_SOURCE)
        self._prefill.retain_only_source(OTHERS_SOURCE)
        self._update(OTHERS_SOURCE, stats, TOTAL_EXPIRY_SECONDS)

    def update_fleet(self, stats: LoadStats, mark: int) -> None:
        """Apply the total of the fleet, sent by this zone's aggregator.

        Parameters
        ----------
        stats : LoadStats
            The total.
        mark : int
            Mark of the heartbeat of this router that the total includes.
        """
        self.update_others(self._sent.subtract_sent(stats, mark))

    def discard_previous_total(self, zones: Iterable[str]) -> None:
        """Remove the last total of all others once all zones' totals are received.

        Otherwise their load would count twice.
        """
        if all(self._load.is_fresh(_zone_source(zone)) for zone in zones):
            self._load.remove_source(OTHERS_SOURCE)
            self._shares.remove_source(OTHERS_SOURCE)
            self._prefill.remove_source(OTHERS_SOURCE)

    def _update(self, source: str, stats: LoadStats, seconds: float) -> None:
        self._load.update_source(source, stats.loads, seconds)
        self._shares.update_source(source, stats.usage, seconds)
        self._prefill.update_source(source, stats.slowdowns, seconds)


def _zone_source(zone: str) -> str:
    return f"zone {zone}"

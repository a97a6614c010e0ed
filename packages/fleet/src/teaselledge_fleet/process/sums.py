"""The work and use of many routers, as they tell it and as it is told to them."""

from collections.abc import Iterable

from teaselledge_fleet.process.admission import AdmissionController
from teaselledge_fleet.process.members import Member
from teaselledge_fleet.process.sent import NO_MARK, LoadStats, SentLoadStats, mark_of
from teaselledge_fleet.process.shares import OrganisationShares, TokenUsage
from teaselledge_fleet.process.sources import EXPIRY_SECONDS, SUM_EXPIRY_SECONDS
from teaselledge_fleet.process.topology import Scope
from teaselledge_fleet.process.work import EndpointLoad, FleetLoad

__all__ = ["LoadTotals"]

OTHERS_SOURCE = "all others"


class LoadTotals:
    """Makes the figures that a router tells, and takes those that it is told.

    Parameters
    ----------
    work : FleetLoad
        Takes the work of others.
    shares : OrganisationShares
        Counts this router's use, and takes that of others.
    admission : AdmissionController
        Counts the work at endpoints to which this router admits.
    """

    def __init__(
        self,
        work: FleetLoad,
        shares: OrganisationShares,
        admission: AdmissionController,
    ) -> None:
        self._work = work
        self._shares = shares
        self._admission = admission
        self._sent = SentLoadStats()
        self._marks: dict[str, int] = {}
        """Marks of the figures that are known of other routers, by VM."""
        self._zones: set[str] = set()
        """Zones whose sums were told."""

    def own(self) -> LoadStats:
        """Return this router's own figures."""
        return LoadStats(self._admission.total_loads(), self._shares.local())

    def for_scope(self, scope: Scope, zone_peers: Iterable[Member]) -> LoadStats | None:
        """Return the figures that a scope stands for; None where it has none.

        Parameters
        ----------
        scope : Scope
            Whose figures.
        zone_peers : iterable of Member
            The other routers of this zone that answer.
        """
        if scope is Scope.NEWS:
            return None
        own = self.own()
        if scope is Scope.OWN:
            return own
        work, uses = dict(own.work), dict(own.uses)
        sources = {member.vm for member in zone_peers}
        if scope is Scope.FLEET:
            sources |= {_zone_source(zone) for zone in self._zones}
            if self._work.is_fresh(OTHERS_SOURCE):
                # it has just taken over, and not all zones tell it yet
                sources = {OTHERS_SOURCE}
        for key, each in self._work.sum_of_sources(sources).items():
            work[key] = work.get(key, EndpointLoad()) + each
        for key, use in self._shares.sum_of_sources(sources).items():
            uses[key] = uses.get(key, TokenUsage()) + use
        return LoadStats(work, uses)

    def record_sent(self, sequence: int, figures: LoadStats) -> None:
        """Keep this router's own figures, as a pulse tells them."""
        self._sent.record(sequence, figures)

    def mark(self, vm: str) -> int:
        """Return which pulse of a router the sums hold."""
        return self._marks.get(vm, NO_MARK) if self._work.is_fresh(vm) else NO_MARK

    def update_router(self, vm: str, sequence: int, figures: LoadStats) -> None:
        """Take what a router tells of itself."""
        self._marks[vm] = mark_of(sequence)
        self._hear(vm, figures, EXPIRY_SECONDS)

    def update_zone(self, zone: str, figures: LoadStats) -> None:
        """Take what an aggregator tells of its zone."""
        self._zones.add(zone)
        self._hear(_zone_source(zone), figures, SUM_EXPIRY_SECONDS)

    def update_others(self, figures: LoadStats) -> None:
        """Take what the own aggregator tells of all other routers."""
        self._work.retain_only_source(OTHERS_SOURCE)
        self._shares.retain_only_source(OTHERS_SOURCE)
        self._hear(OTHERS_SOURCE, figures, SUM_EXPIRY_SECONDS)

    def update_fleet(self, figures: LoadStats, mark: int) -> None:
        """Take what the own aggregator tells of all routers.

        Parameters
        ----------
        figures : LoadStats
            The sums.
        mark : int
            Which pulse of this router they hold.
        """
        self.update_others(self._sent.subtract_sent(figures, mark))

    def discard_previous_total(self, zones: Iterable[str]) -> None:
        """Forget the last sum of all others, once all zones tell theirs.

        It must not count twice.
        """
        if all(self._work.is_fresh(_zone_source(zone)) for zone in zones):
            self._work.remove_source(OTHERS_SOURCE)
            self._shares.remove_source(OTHERS_SOURCE)

    def _hear(self, source: str, figures: LoadStats, seconds: float) -> None:
        self._work.update_source(source, figures.work, seconds)
        self._shares.update_source(source, figures.uses, seconds)


def _zone_source(zone: str) -> str:
    return f"zone {zone}"

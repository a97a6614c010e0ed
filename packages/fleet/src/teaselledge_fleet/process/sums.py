"""Totals of the load and token usage of several routers."""

import asyncio
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import replace

from teaselledge_fleet.engines.rows import RowRotation
from teaselledge_fleet.engines.samples import MAX_SOURCE_WEIGHT_SECONDS
from teaselledge_fleet.engines.speeds import EngineSpeeds
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
    engine_speeds : EngineSpeeds, optional
        Estimates the speed of single engines.
    """

    def __init__(
        self,
        load: FleetLoad,
        shares: OrganisationShares,
        admission: AdmissionController,
        prefill: PrefillModel,
        engine_speeds: EngineSpeeds | None = None,
    ) -> None:
        self._load = load
        self._shares = shares
        self._admission = admission
        self._prefill = prefill
        self._engine_speeds = engine_speeds
        self._rotations: defaultdict[Scope, RowRotation] = defaultdict(RowRotation)
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
            return replace(own, engine_slowdowns=self._engine_rows(scope, ()))
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
        return LoadStats(loads, usage, slowdowns, self._engine_rows(scope, sources))

    def _engine_rows(
        self, scope: Scope, sources: Iterable[str]
    ) -> dict[int, SlowdownSamples]:
        """Return the samples of engines for a heartbeat, with those of some sources."""
        if self._engine_speeds is None:
            return {}
        totals = self._engine_speeds.local()
        for key, samples in self._engine_speeds.sum_of_sources(sources).items():
            totals[key] = totals.get(key, SlowdownSamples()) + samples
        now = asyncio.get_running_loop().time()
        return self._rotations[scope].select(totals, now)

    def record_sent(self, sequence: int, stats: LoadStats) -> None:
        """Record this router's statistics as sent in a heartbeat."""
        self._sent.record(sequence, stats)

    def mark(self, vm: str) -> int:
        """Return the mark of the heartbeat of a router that the totals include."""
        return self._marks.get(vm, NO_MARK) if self._load.is_fresh(vm) else NO_MARK

    def update_router(self, vm: str, sequence: int, stats: LoadStats) -> None:
        """Apply the statistics that a router sent of itself."""
        self._marks[vm] = mark_of(sequence)
        self._update(vm, stats, EXPIRY_SECONDS, MAX_SOURCE_WEIGHT_SECONDS)

    def update_zone(self, zone: str, stats: LoadStats) -> None:
        """Apply the total of a zone, sent by its aggregator."""
        self._zones.add(zone)
        self._update(_zone_source(zone), stats, TOTAL_EXPIRY_SECONDS)

    def update_others(self, stats: LoadStats) -> None:
        """Apply the total of all other routers, sent by this zone's aggregator."""
        self._load.retain_only_source(OTHERS_SOURCE)
        self._shares.retain_only_source(OTHERS_SOURCE)
        self._prefill.retain_only_source(OTHERS_SOURCE)
        if self._engine_speeds is not None:
            self._engine_speeds.retain_only_source(OTHERS_SOURCE)
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
        others = self._sent.subtract_sent(stats, mark)
        engines = self._rotations[Scope.OWN].subtract_sent(stats.engine_slowdowns)
        self.update_others(replace(others, engine_slowdowns=engines))

    def discard_previous_total(self, zones: Iterable[str]) -> None:
        """Remove the last total of all others once all zones' totals are received.

        Otherwise their load would count twice.
        """
        if all(self._load.is_fresh(_zone_source(zone)) for zone in zones):
            self._load.remove_source(OTHERS_SOURCE)
            self._shares.remove_source(OTHERS_SOURCE)
            self._prefill.remove_source(OTHERS_SOURCE)
            if self._engine_speeds is not None:
                self._engine_speeds.remove_source(OTHERS_SOURCE)

    def _update(
        self,
        source: str,
        stats: LoadStats,
        seconds: float,
        max_engine_weight: float = math.inf,
    ) -> None:
        self._load.update_source(source, stats.loads, seconds)
        self._shares.update_source(source, stats.usage, seconds)
        self._prefill.update_source(source, stats.slowdowns, seconds)
        if self._engine_speeds is not None:
            self._engine_speeds.update_source(
                source, stats.engine_slowdowns, seconds, max_engine_weight
            )


def _zone_source(zone: str) -> str:
    return f"zone {zone}"

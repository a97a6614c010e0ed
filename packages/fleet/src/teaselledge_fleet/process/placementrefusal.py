"""Refuse a request for which no endpoint has room, and log why."""

import math

from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.choosing import Candidate, EndpointChooser
from teaselledge_fleet.process.distance import Distance
from teaselledge_fleet.process.drains import DrainedZones
from teaselledge_fleet.process.eligibility import EligibleEndpoints
from teaselledge_fleet.process.endpoints import EndpointView
from teaselledge_fleet.process.inflight import total_tokens
from teaselledge_fleet.process.results import OutlierDetector
from teaselledge_fleet.process.retryafter import (
    retry_after_refusal,
    retry_without_endpoint,
)
from teaselledge_fleet.process.shares import OrganisationShares, ShareStatus
from teaselledge_fleet.process.signals import EndpointSignals
from teaselledge_fleet.process.work import FleetLoad
from teaselledge_fleet.request.context import RequestContext

__all__ = ["PlacementLog", "PlacementRefusal"]

_log = get_log("placing")


class PlacementLog:
    """Values behind a decision, as fields of a log line.

    Parameters
    ----------
    load : FleetLoad
        Load of the fleet at the endpoints.
    distance : Distance
        Round trips to the endpoints.
    outliers : OutlierDetector
        Failure rates of the endpoints.
    chooser : EndpointChooser
        Its estimates of prefill times.
    """

    def __init__(
        self,
        load: FleetLoad,
        distance: Distance,
        outliers: OutlierDetector,
        chooser: EndpointChooser,
    ) -> None:
        self._load = load
        self._distance = distance
        self._outliers = outliers
        self._chooser = chooser

    def fields(self, best: Candidate) -> dict[str, float]:
        """Return the values behind the choice of a candidate."""
        load = self._load.total(best.endpoint.id)
        fields = {
            "wait_ms": round(best.wait * 1000),
            "path_ms": round(
                self._distance.round_trip_seconds(best.endpoint.zone) * 1000
            ),
            "running": load.in_flight,
            "reading_before_ms": round(load.prefill_seconds * 1000),
            "failing": round(self._outliers.failure_rate(best.endpoint.id), 2),
            "keeps_part": best.has_prefix,
            "reading_factor": round(
                self._chooser.prefill.slowdown(best.endpoint.service), 2
            ),
        }
        if self._chooser.engine_speeds is not None:
            fields["engine_factor"] = round(best.prefill_factor, 2)
        return fields


class PlacementRefusal:
    """Refuses requests that can't be placed.

    Parameters
    ----------
    view : EndpointView
        The endpoints.
    eligible : EligibleEndpoints
        Those that may be used.
    signals : EndpointSignals
        What endpoints said about themselves.
    drained_zones : DrainedZones
        Zones whose endpoints get no new requests.
    shares : OrganisationShares
        Token usage of organisations.
    log : PlacementLog
        Values behind the last choice.
    """

    def __init__(
        self,
        view: EndpointView,
        eligible: EligibleEndpoints,
        signals: EndpointSignals,
        drained_zones: DrainedZones,
        shares: OrganisationShares,
        log: PlacementLog,
    ) -> None:
        self._view = view
        self._eligible = eligible
        self._signals = signals
        self._drained_zones = drained_zones
        self._shares = shares
        self._placement_log = log

    def no_endpoint(self, context: RequestContext) -> Fault:
        """Refuse a request for which no endpoint may be used."""
        regions = context.residency.regions
        of_service = self._view.of_service(context.service)
        _log.info(
            "no endpoint may be used",
            id=context.request.id,
            service=context.service,
            known=len(of_service),
            paused=self._signals.count_paused(of_service),
            allowed_regions=None if regions is None else sorted(regions),
            drained_zones=self._drained_zones.zones,
            tried=context.attempted_endpoints,
        )
        allowed = self._eligible.allowed(context.service, context.residency)
        pauses = [left for each in allowed if (left := self._signals.pause_left(each))]
        return Fault(FaultKind.NO_ENDPOINT, retry_without_endpoint(pauses))

    def no_room(
        self,
        context: RequestContext,
        best: Candidate,
        share_status: ShareStatus,
        queries: int,
    ) -> Fault:
        """Refuse a request for which no engine has room.

        Parameters
        ----------
        context : RequestContext
            The request.
        best : Candidate
            The candidate that was queried last.
        share_status : ShareStatus
            Share status of its organisation.
        queries : int
            Number of engines whose coordinator was queried.
        """
        prompt = context.request.prompt
        assert prompt is not None
        organisation = context.organisation_name
        over_share = share_status is not ShareStatus.INSIDE
        fault_kind = FaultKind.OVER_SHARE if over_share else FaultKind.OVER_CAPACITY
        self._shares.record_declined(organisation, total_tokens(prompt))
        _log.info(
            "request not placed",
            id=context.request.id,
            fault=fault_kind.value,
            endpoint=best.endpoint.id,
            asked=queries,
            standing=share_status.name.lower(),
            **self.share_fields(organisation),
            **self._placement_log.fields(best),
        )
        if not over_share:
            return Fault(fault_kind, retry_after_refusal())
        share_seconds = self._shares.seconds_until_within_share(organisation)
        return Fault(fault_kind, retry_after_refusal(share_seconds))

    def share_fields(self, organisation: str) -> dict[str, float | None]:
        """Return the usage behind a share status, as fields of the log line."""
        usage, level = self._shares.usage(organisation), self._shares.level
        return {
            "requested": usage.requested,
            "allocated": usage.allocated,
            "share_level": round(level) if math.isfinite(level) else None,
            "contended_use": round(self._shares.contended_use(organisation), 2),
            "excess": round(self._shares.excess(organisation), 2),
        }

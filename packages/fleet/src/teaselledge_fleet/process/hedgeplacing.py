"""Which endpoints may get the hedge of a request."""

from teaselledge_fleet.process.choosing import Candidate
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.results import OutlierDetector
from teaselledge_fleet.process.warmup import WarmupTracker
from teaselledge_fleet.process.work import FleetLoad
from teaselledge_fleet.request.context import RequestContext

__all__ = ["MAX_HEDGE_WAIT_SECONDS", "HedgeEndpoints"]

MAX_HEDGE_WAIT_SECONDS = 0.01
"""Maximum queueing time of a hedge at an engine.

A hedge must not delay other prompts. The limit is above 0, as reported loads contain
rounding errors and prompts that have just been computed."""

MIN_ZONE_FAILURE_RATE = 0.1
"""Failure rate of any endpoint from which the hedges of a zone go to others.

A single failure among a few attempts counts for some seconds."""


class HedgeEndpoints:
    """Selects endpoints that have room for a hedge.

    Parameters
    ----------
    view : EndpointView
        The endpoints.
    load : FleetLoad
        Load of the fleet at the endpoints.
    outliers : OutlierDetector
        Failure rates of the endpoints.
    warmup : WarmupTracker
        Endpoints that are warming up, which get no hedges.
    """

    def __init__(
        self,
        view: EndpointView,
        load: FleetLoad,
        outliers: OutlierDetector,
        warmup: WarmupTracker,
    ) -> None:
        self._view = view
        self._load = load
        self._outliers = outliers
        self._warmup = warmup

    def plain(
        self, context: RequestContext, endpoints: list[Endpoint]
    ) -> list[Endpoint]:
        """Return those endpoints of a plain service that have room for a hedge."""
        avoided_zone = self._failing_zone(context)
        return [each for each in endpoints if self._accepts(each, avoided_zone)]

    def first_engine(
        self, context: RequestContext, candidates: list[Candidate]
    ) -> Candidate | None:
        """Return the first candidate that would begin a hedge at once, if any."""
        avoided_zone = self._failing_zone(context)
        for candidate in candidates:
            if candidate.wait <= MAX_HEDGE_WAIT_SECONDS and self._accepts(
                candidate.endpoint, avoided_zone
            ):
                return candidate
        return None

    def _accepts(self, endpoint: Endpoint, avoided_zone: str | None) -> bool:
        return (
            endpoint.zone != avoided_zone
            and not self._outliers.is_ejected(endpoint.id)
            and self._warmup.rate(endpoint) is None
            and self._load.total(endpoint.id).in_flight < endpoint.slots
        )

    def _failing_zone(self, context: RequestContext) -> str | None:
        """Return the zone of the last attempt if an endpoint there has failed lately.

        The endpoints of a zone may share the cause of a failure.
        """
        if not context.attempted_endpoints:
            return None
        first = self._view.get(context.attempted_endpoints[-1])
        if first is None:
            # its entry was deleted, so that its zone is unknown
            return None
        for endpoint in self._view.of_service(context.service):
            if endpoint.zone != first.zone:
                continue
            if self._outliers.failure_rate(endpoint.id) >= MIN_ZONE_FAILURE_RATE:
                return first.zone
        return None

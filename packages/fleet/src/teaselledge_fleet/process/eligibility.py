"""Which endpoints a request may be sent to, whatever their load."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from teaselledge_fleet.engines.routeraddresses import RouterAddresses
from teaselledge_fleet.process.drains import DrainedZones
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.process.signals import EndpointSignals
from teaselledge_fleet.version.residency import Residency

__all__ = ["EligibleEndpoints"]


MAX_SELECTIONS = 256
"""Maximum number of cached selections, one for each service and residency."""


@dataclass(frozen=True)
class _Selection:
    """Endpoints selected from those of a service, and what they were selected by."""

    source: list[Endpoint]
    version: tuple[int, int]
    """Versions of the drained zones and of the addresses of routers."""
    allowed: list[Endpoint]
    signals_version: int = -1
    accepting: list[Endpoint] = field(default_factory=list)


class EligibleEndpoints:
    """Endpoints that accept requests, outside drained zones and in allowed regions.

    The candidates of each attempt, and the engines from which a prefix may be copied,
    are taken from here only.

    Parameters
    ----------
    view : EndpointView
        The endpoints.
    zones : mapping of str to str
        Region of each zone.
    drained_zones : DrainedZones
        Zones whose endpoints get no new requests.
    signals : EndpointSignals
        What endpoints said in their responses.

    Attributes
    ----------
    router_addresses : RouterAddresses or None
        Addresses that no endpoint can have; None if no other router is known.
    """

    def __init__(
        self,
        view: EndpointView,
        zones: Mapping[str, str],
        drained_zones: DrainedZones,
        signals: EndpointSignals,
    ) -> None:
        self._view = view
        self._zones = zones
        self._drained_zones = drained_zones
        self._signals = signals
        self._selections: dict[tuple[str, Residency], _Selection] = {}
        self.router_addresses: RouterAddresses | None = None

    def of_service(self, service: str, residency: Residency) -> list[Endpoint]:
        """Return the endpoints of a service to which a request may be sent."""
        selection = self._select(service, residency)
        version = self._signals.version
        if selection.signals_version != version:
            accepting = [
                endpoint
                for endpoint in selection.allowed
                if self._signals.accepts_requests(endpoint)
            ]
            selection = replace(selection, signals_version=version, accepting=accepting)
            self._selections[service, residency] = selection
        return selection.accepting

    def allowed(self, service: str, residency: Residency) -> list[Endpoint]:
        """Return the same endpoints, and those that want no requests at present."""
        return self._select(service, residency).allowed

    def contains(self, endpoint: Endpoint, residency: Residency) -> bool:
        """Whether a request may still be sent to an endpoint that was chosen before."""
        known = self._view.get(endpoint.id)
        return (
            known is not None
            and not known.leaving
            and self._signals.accepts_requests(known)
            and self._is_allowed(endpoint, residency)
        )

    def _select(self, service: str, residency: Residency) -> _Selection:
        source = self._view.of_service(service)
        routers = self.router_addresses
        version = self._drained_zones.version, routers.version if routers else 0
        selection = self._selections.get((service, residency))
        if (
            selection is not None
            and selection.source is source
            and selection.version == version
        ):
            return selection
        allowed = [each for each in source if self._is_allowed(each, residency)]
        if len(self._selections) >= MAX_SELECTIONS:
            self._selections.clear()
        selection = _Selection(source, version, allowed)
        self._selections[service, residency] = selection
        return selection

    def _is_allowed(self, endpoint: Endpoint, residency: Residency) -> bool:
        routers = self.router_addresses
        if routers is not None and routers.contains(endpoint.address):
            return False
        return endpoint.zone not in self._drained_zones and residency.allows(
            self._zones.get(endpoint.zone)
        )

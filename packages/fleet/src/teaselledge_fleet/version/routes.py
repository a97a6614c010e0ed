"""One version of the configuration: routes, services and organisations."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from teaselledge_fleet.version.residency import ANYWHERE, Residency

__all__ = [
    "CallerLimits",
    "Organisation",
    "RetryPolicy",
    "Route",
    "RoutingConfiguration",
    "ServiceConfiguration",
    "Target",
    "request_residency",
]


class RetryPolicy(Enum):
    """Whether and how a request may be retried after an attempt that may have run."""

    ANY = "any"
    """Idempotent: may run any number of times."""

    NEVER = "never"
    """May run at most once."""

    RESUME = "resume"
    """A stream that another endpoint can resume after a given event."""


@dataclass(frozen=True)
class Target:
    """A service to which a route sends requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other targets of the route.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """Matching and handling of one kind of request.

    Attributes
    ----------
    name : str
        Unique within a version.
    host, prefix : str
        Host and path prefix of matching requests; the longest prefix wins.
    retry_policy : RetryPolicy
        Which retries are allowed.
    stream : bool
        Whether the response is an event stream.
    carries_prompt : bool
        Whether requests carry a prompt for a model engine.
    timeout, latency_objective : float
        Maximum time to the end of the response, and the latency objective, in
        seconds. For a stream the objective is the time to its first event.
    event_gap_objective : float
        Latency objective for the gap between events, in seconds.
    attempts : int
        Maximum number of endpoints to which one request is sent.
    priority : int
        0 is the most urgent.
    public : bool
        Whether requests need no key.
    targets : tuple of Target
        Services to which the requests are sent.
    residency : Residency
        Regions in which the requests may be served.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    stream: bool
    carries_prompt: bool
    timeout: float
    latency_objective: float
    event_gap_objective: float
    attempts: int
    priority: int
    public: bool
    targets: tuple[Target, ...]
    residency: Residency = ANYWHERE

    def choose_service(self, fraction: float) -> str:
        """Return the service for a request, given a number in [0, 1)."""
        remaining = fraction * sum(target.weight for target in self.targets)
        for target in self.targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        return self.targets[-1].service


@dataclass(frozen=True)
class ServiceConfiguration:
    """A service and the limits of its endpoints.

    Attributes
    ----------
    name : str
        Unique within a version.
    health_path : str
        Path of the endpoints' health check.
    max_connections : int
        Number of connections that one endpoint accepts from all routers together.
    warmup_seconds : float
        Time after its start in which an endpoint tolerates fewer requests.
    warmup_requests_per_second : float
        Requests a second that it tolerates then.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_seconds: float = 0.0
    warmup_requests_per_second: float = 0.0


@dataclass(frozen=True)
class Organisation:
    """An organisation and the keys of its callers.

    Attributes
    ----------
    name : str
        Unique within a version.
    keys : tuple of str
        Bearer keys.
    priority : int or None
        Overrides the priority of the route.
    residency : Residency
        Regions in which the requests of its callers may be served.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    residency: Residency = ANYWHERE


@dataclass(frozen=True)
class CallerLimits:
    """Limits on callers' requests, and the capacity of all engines.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of the headers and of the body.
    header_seconds, idle_seconds : float
        Timeout for receiving the headers, and for the next request.
    capacity_tokens_per_second : float
        Capacity of all model engines together, where a prompt token counts as one
        and a generated token as two; 0 if unknown.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
    capacity_tokens_per_second: float = 0.0


@dataclass(frozen=True)
class RoutingConfiguration:
    """A complete version of the configuration.

    Attributes
    ----------
    version : int
        Increases with each new version.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServiceConfiguration
        Services by name.
    organisations : tuple of Organisation
        Organisations; empty if keys are not used.
    limits : CallerLimits
        Limits on callers' requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceConfiguration]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def __post_init__(self) -> None:
        routes_by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        for routes in routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        organisation_by_key = {
            key: org for org in self.organisations for key in org.keys
        }
        residency = ANYWHERE
        for route in self.routes:
            residency = residency.intersect(route.residency)
        for organisation in self.organisations:
            residency = residency.intersect(organisation.residency)
        object.__setattr__(self, "_residency", residency)
        object.__setattr__(self, "_by_host", routes_by_host)
        object.__setattr__(self, "_holders", organisation_by_key)

    @property
    def residency(self) -> Residency:
        """Regions in which every request may be served, whatever its route and key."""
        residency: Residency = self._residency  # type: ignore[attr-defined]
        return residency

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if none matches."""
        routes_by_host: dict[str, list[Route]] = self._by_host  # type: ignore[attr-defined]
        for route in routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation of a key, None if the key is unknown."""
        organisation_by_key: dict[str, Organisation] = self._holders  # type: ignore[attr-defined]
        return organisation_by_key.get(key)


def request_residency(route: Route, organisation: Organisation | None) -> Residency:
    """Return the residency of a request; that of route and organisation both bind."""
    if organisation is None:
        return route.residency
    return route.residency.intersect(organisation.residency)

"""One version of the configuration: routes, services and organisations."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

__all__ = [
    "CallerLimits",
    "Organisation",
    "RetryPolicy",
    "Route",
    "RoutingConfiguration",
    "ServiceConfiguration",
    "Target",
]


class RetryPolicy(Enum):
    """What may be done again when an attempt fails."""

    ANY = "any"
    """Idempotent: may run any number of times."""

    NEVER = "never"
    """Runs at most once."""

    RESUME = "resume"
    """A stream that another endpoint can continue after a given event."""


@dataclass(frozen=True)
class Target:
    """A service that a route leads to.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the route's requests, relative to the other targets.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """Rules for one kind of request.

    Attributes
    ----------
    name : str
        Unique within a version.
    host, prefix : str
        Select the route: the longest prefix of the path on that host.
    retry_policy : Repeat
        What may be repeated.
    stream : bool
        Whether the answer is a series of events.
    carries_prompt : bool
        Whether requests carry a prompt for a model engine.
    timeout, latency_objective : float
        Longest time to a final answer, and the time aimed at, in seconds. For
        a stream the objective is the time to its first event.
    event_gap_objective : float
        Longest pause between events that is still on time, in seconds.
    attempts : int
        Most endpoints that one request is sent to.
    priority : int
        0 is the most urgent.
    public : bool
        Whether no key is needed.
    targets : tuple of Target
        Where its requests go.
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

    def choose_service(self, fraction: float) -> str:
        """Return the service for a request, given a number from 0 to below 1."""
        left = fraction * sum(target.weight for target in self.targets)
        for target in self.targets:
            left -= target.weight
            if left < 0:
                return target.service
        return self.targets[-1].service


@dataclass(frozen=True)
class ServiceConfiguration:
    """A service and what its endpoints accept.

    Attributes
    ----------
    name : str
        Unique within a version.
    health_path : str
        Path that tells whether an endpoint is well.
    max_connections : int
        Connections that one endpoint accepts from all routers together.
    """

    name: str
    health_path: str
    max_connections: int


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
        Replaces the rank of the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What callers may send.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest headers and body.
    header_seconds, idle_seconds : float
        Longest time for the headers, and between requests.
    capacity_tokens_per_second : float
        What all model engines do together, a token read counting one and a
        token generated two; 0 where it is not told.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
    capacity_tokens_per_second: float = 0.0


@dataclass(frozen=True)
class RoutingConfiguration:
    """A whole version.

    Attributes
    ----------
    version : int
        Grows from one version to the next.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServiceEntry
        Services by name.
    organisations : tuple of Organisation
        Empty where no keys are used.
    limits : CallerLimits
        What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceConfiguration]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        holders = {key: org for org in self.organisations for key in org.keys}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_holders", holders)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, None without one."""
        by_host: dict[str, list[Route]] = self._by_host  # type: ignore[attr-defined]
        for route in by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        holders: dict[str, Organisation] = self._holders  # type: ignore[attr-defined]
        return holders.get(key)

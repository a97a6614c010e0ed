"""State of one request, and the interface that chooses its endpoints."""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from expression import Result

from teaselledge_fleet.faults import Fault
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.request.call import CallerRequest, EndpointSignal
from teaselledge_fleet.version.residency import ANYWHERE, Residency
from teaselledge_fleet.version.routes import Organisation, Route

__all__ = ["RequestContext", "Outcome", "Placement", "Placer"]


class Outcome(Enum):
    """How an attempt ended."""

    WHOLE = auto()
    """The complete response was forwarded."""

    DECLINED = auto()
    """The endpoint did not run the request, or no endpoint could be chosen."""

    UNSENT = auto()
    """The request was not sent: connecting failed."""

    WITHDRAWN = auto()
    """The request was not sent: the endpoint may no longer be used."""

    LOST = auto()
    """The request was sent without a usable response: it may have run."""

    FAILED = auto()
    """The endpoint ran the request and reported a failure."""

    BROKEN = auto()
    """The response broke off after some of it was forwarded."""

    ABANDONED = auto()
    """The caller disconnected, the deadline passed, or the request was rejected."""


@dataclass
class RequestContext:
    """State of one request.

    Attributes
    ----------
    request : CallerRequest
        The decoded request.
    body : bytes
        Body of the request.
    route : Route
        Route of the request.
    service : str
        Service chosen from the route's targets.
    organisation : Organisation or None
        The caller's organisation.
    arrived_at, deadline : float
        Loop times.
    attempted_endpoints : list of str
        Ids of the endpoints that were chosen so far, reachable or not.
    send_count : int
        Number of times that the request was sent.
    possible_runs : int
        Number of attempts that were sent and not declined, so that they may have run.
    first_event_at : float or None
        Loop time of the first event of a stream.
    longest_event_gap : float
        Longest gap between events of a stream, in seconds.
    version : int
        Version of the configuration under which the request was admitted.
    prefill_seconds : float
        Expected time that the engine needs for the prompt, in seconds.
    residency : Residency
        Regions in which the request may be served.
    content : int or None
        Hash of the request's content; None until it is computed.
    engine_version : str or None
        Software version at which its stream must go on; None until that is decided.
    """

    request: CallerRequest
    body: bytes
    route: Route
    service: str
    organisation: Organisation | None
    arrived_at: float
    deadline: float
    attempted_endpoints: list[str] = field(default_factory=list)
    send_count: int = 0
    possible_runs: int = 0
    first_event_at: float | None = None
    longest_event_gap: float = 0.0
    version: int = 0
    prefill_seconds: float = 0.0
    residency: Residency = ANYWHERE
    content: int | None = None
    engine_version: str | None = None

    @property
    def priority(self) -> int:
        """Priority of the organisation if it has one, else of the route; 0 is first."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return self.possible_runs > 0

    @property
    def organisation_name(self) -> str:
        """Name of the organisation, or an empty string."""
        return self.organisation.name if self.organisation is not None else ""


@dataclass(frozen=True)
class Placement:
    """The endpoint chosen for an attempt.

    Attributes
    ----------
    endpoint : Endpoint
        The endpoint.
    fetch_from : str or None
        Address of an engine that may have cached the prompt's shared prefix.
    log_fields : dict of str to float
        Values on which the choice was based, for the log.
    """

    endpoint: Endpoint
    fetch_from: str | None = None
    log_fields: dict[str, float] = field(default_factory=dict)


class Placer(Protocol):
    """Chooses the endpoint for each attempt of a request."""

    def record_demand(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Count the demand of a permitted request, even if it is refused later.

        `weight` is the number of requests that this one represents; the others were
        refused without being read.
        """

    def record_shed(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Count a permitted request that is refused before it is placed."""

    async def place(self, context: RequestContext) -> Result[Placement, Fault]:
        """Return the endpoint for the next attempt, or why there is none."""

    def may_send(self, context: RequestContext, endpoint: Endpoint) -> bool:
        """Whether a request that was placed at an endpoint may still be sent to it."""

    async def place_hedge(self, context: RequestContext) -> Placement | None:
        """Return another endpoint that has room now; None if there is none.

        The last attempt of the request is in flight.
        """

    def is_inside_share(self, context: RequestContext) -> bool:
        """Whether the organisation of a request is inside its share."""

    def on_signal(self, endpoint: Endpoint, signal: EndpointSignal) -> None:
        """Record what an endpoint said about itself in a response."""

    def on_response_started(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Record that an endpoint began to respond."""

    def on_attempt_ended(
        self, context: RequestContext, endpoint: Endpoint, outcome: Outcome
    ) -> None:
        """Record the outcome of an attempt."""

    def on_attempt_superseded(
        self, context: RequestContext, endpoint: Endpoint
    ) -> None:
        """Record that an attempt was cancelled, as another one of its request goes on.

        It says nothing about the endpoint, and its tokens no longer count.
        """

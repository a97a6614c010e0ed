"""What one request has been through, and what decides where it goes."""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from expression import Result

from teaselledge_fleet.faults import Fault
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.request.call import CallerRequest
from teaselledge_fleet.version.routes import Organisation, Route

__all__ = ["RequestContext", "Outcome", "Placement", "Placer"]


class Outcome(Enum):
    """How an attempt ended."""

    WHOLE = auto()
    """The answer was passed on whole."""

    DECLINED = auto()
    """The endpoint did not run it."""

    UNSENT = auto()
    """No connection came about."""

    LOST = auto()
    """It was sent, and no usable answer came: it may have run."""

    FAILED = auto()
    """The endpoint ran it and told of a failure."""

    BROKEN = auto()
    """The answer stopped after a part of it was passed on."""

    ABANDONED = auto()
    """The caller left, or its time ran out."""


@dataclass
class RequestContext:
    """What one request has been through.

    Attributes
    ----------
    request : Call
        The request.
    body : bytes
        Its body.
    route : Route
        Its route.
    service : str
        The service it goes to.
    organisation : Organisation or None
        Whose it is.
    arrived_at, deadline : float
        Loop times.
    attempted_endpoints : list of str
        Ids of the endpoints it was sent to, or that could not be reached.
    send_count : int
        How often it was sent.
    may_have_run : bool
        Whether any attempt may have run.
    first_event_at : float or None
        Loop time of the first event of a stream.
    longest_event_gap : float
        Longest time between two parts of a stream, in seconds.
    version : int
        Configuration under which it runs.
    prefill_seconds : float
        Time that the engine is expected to read its prompt, in seconds.
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
    may_have_run: bool = False
    first_event_at: float | None = None
    longest_event_gap: float = 0.0
    version: int = 0
    prefill_seconds: float = 0.0

    @property
    def organisation_name(self) -> str:
        """Name of the organisation, empty without one."""
        return self.organisation.name if self.organisation is not None else ""


@dataclass(frozen=True)
class Placement:
    """Where an attempt goes.

    Attributes
    ----------
    endpoint : Endpoint
        Runs it.
    fetch_from : str or None
        Address of an engine that may keep the shared parts of the prompt.
    log_fields : dict of str to float
        Figures that decided it, for the log.
    """

    endpoint: Endpoint
    fetch_from: str | None = None
    log_fields: dict[str, float] = field(default_factory=dict)


class Placer(Protocol):
    """Decides where and when a request runs."""

    def record_demand(
        self, call: CallerRequest, organisation: Organisation | None, weight: int = 1
    ) -> None:
        """Count a request that an organisation may make, also one that is refused.

        It may stand for several that were refused unread.
        """

    async def place(self, context: RequestContext) -> Result[Placement, Fault]:
        """Return the endpoint for the next attempt, or why there is none."""

    def accepts_requests(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is there still and not leaving."""

    def on_response_started(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Note the first part of an answer."""

    def on_attempt_ended(
        self, context: RequestContext, endpoint: Endpoint, outcome: Outcome
    ) -> None:
        """Note the end of an attempt."""

"""The configuration document as frozen data classes."""

from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

__all__ = [
    "Document",
    "Endpoint",
    "Kind",
    "Model",
    "Objective",
    "Operator",
    "Organisation",
    "Service",
    "Version",
    "Zone",
]

_STRICT = ConfigDict(extra="forbid")

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Positive = Annotated[float, Field(gt=0, le=1e9, allow_inf_nan=False)]


@dataclass(frozen=True, config=_STRICT)
class Zone:
    """An availability zone.

    Attributes
    ----------
    region : str
        Region of the zone; traffic between regions is charged.
    """

    region: Name


@dataclass(frozen=True, config=_STRICT)
class Organisation:
    """An organisation, its share and the services it may use.

    Attributes
    ----------
    share : float
        Weight of the organisation in the division of capacity.
    keys : tuple of str
        SHA-256 digest of each bearer key, in hex.
    services : tuple of str
        Services that it may use.
    max_waiting : int
        Maximum number of its requests waiting in one router.
    """

    share: Positive
    keys: tuple[Sha256, ...]
    services: tuple[Name, ...]
    max_waiting: Annotated[int, Field(ge=1, le=100_000)] = 200


@dataclass(frozen=True, config=_STRICT)
class Kind:
    """A kind of request.

    Attributes
    ----------
    methods : tuple of str
        HTTP methods.
    paths : tuple of str
        Path patterns below the service, in the syntax of `fnmatch`.
    repeatable : bool
        Whether running a request twice is harmless.
    interactive : bool
        Served before the other kinds of requests of the same organisation.
    cost_hint : float
        Expected cost of a request, in tokens or slot-seconds.
    deadline : float
        Seconds from arrival until the caller gets its final response.
    latency_target : float or None
        Target for the time to first byte, in seconds.
    """

    methods: tuple[Literal["GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"], ...]
    paths: tuple[str, ...]
    repeatable: bool = True
    interactive: bool = False
    cost_hint: Positive = 1.0
    deadline: Positive = 60.0
    latency_target: Positive | None = None


@dataclass(frozen=True, config=_STRICT)
class Endpoint:
    """A process that serves requests of a service.

    Attributes
    ----------
    address : str
        ``host:port``.
    zone : str
        Availability zone of the endpoint.
    slots : int
        Number of requests that it runs concurrently.
    leaving : bool
        Whether it gets no new work.
    models : tuple of str
        Models that an engine has loaded.
    role : str
        Work that an engine does: ``prefill``, ``decode`` or ``any``.
    """

    address: Annotated[str, Field(pattern=r"^[^\s:/]+:\d{1,5}$")]
    zone: Name
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    leaving: bool = False
    models: tuple[Name, ...] = ()
    role: Literal["any", "prefill", "decode"] = "any"


@dataclass(frozen=True, config=_STRICT)
class Model:
    """A model that engines of a service may load.

    Attributes
    ----------
    version : str
        Version of the weights.
    adapters : tuple of str
        Adapters loaded with it.
    """

    version: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    adapters: tuple[Name, ...] = ()


@dataclass(frozen=True, config=_STRICT)
class Service:
    """A service and its endpoints.

    Attributes
    ----------
    cost : str
        ``tokens`` for model engines, ``seconds`` for plain services.
    endpoints : dict of str to Endpoint
        Endpoints by name.
    kinds : dict of str to Kind
        Kinds of requests by name; the first that matches a request applies.
    resumes : bool
        Whether a broken stream can be resumed at its position.
    checks_fencing : bool
        Whether endpoints refuse orders with an old fencing number.
    reports_load : bool
        Whether endpoints report their load, which arrives with a lag.
    preset : str
        Exchange of usage reports between routers: with ``fairness`` at short, with
        ``traffic`` at long intervals.
    models : dict of str to Model
        Version and adapters of the models that its engines load, by model name.
    loads_at_once : int
        Number of engines that may load from the weight store concurrently.
    """

    cost: Literal["tokens", "seconds"]
    endpoints: dict[Name, Endpoint]
    kinds: dict[Name, Kind]
    resumes: bool = False
    checks_fencing: bool = False
    reports_load: bool = False
    preset: Literal["fairness", "traffic"] = "fairness"
    models: dict[Name, Model] = Field(default_factory=dict)
    loads_at_once: Annotated[int, Field(ge=1, le=1000)] = 1


@dataclass(frozen=True, config=_STRICT)
class Objective:
    """A service-level objective.

    Attributes
    ----------
    service, kind : str
        Service and kind of the requests that it applies to.
    target : float
        Fraction of the requests that must be good.
    seconds : float
        Maximum duration of a good request, in seconds; it must not fail either.
    organisations : tuple of str
        Organisations that it applies to; empty for all.
    window_hours : float
        Time window of the error budget, in hours.
    """

    service: Name
    kind: Name
    target: Annotated[float, Field(gt=0, lt=1)]
    seconds: Positive
    organisations: tuple[Name, ...] = ()
    window_hours: Annotated[float, Field(ge=1, le=72)] = 72.0


@dataclass(frozen=True, config=_STRICT)
class Operator:
    """A user of the operators' interface.

    Attributes
    ----------
    keys : tuple of str
        SHA-256 digest of each bearer key, in hex.
    role : str
        ``viewer`` reads; ``editor`` also changes the given sections; ``support``
        reads, settles orders and drains routers; ``admin`` may do everything.
    sections : tuple of str
        Sections that an editor may change, such as ``organisations``, or single
        entries, such as ``services/registar``.
    """

    keys: tuple[Sha256, ...]
    role: Literal["viewer", "editor", "support", "admin"]
    sections: tuple[str, ...] = ()


@dataclass(frozen=True, config=_STRICT)
class Document:
    """The complete configuration.

    Attributes
    ----------
    zones : dict of str to Zone
        Availability zones by name.
    organisations : dict of str to Organisation
        Organisations by name.
    services : dict of str to Service
        Services by name.
    objectives : dict of str to Objective
        Service-level objectives by name.
    operators : dict of str to Operator
        Operators by name.
    """

    zones: dict[Name, Zone]
    organisations: dict[Name, Organisation]
    services: dict[Name, Service]
    objectives: dict[Name, Objective] = Field(default_factory=dict)
    operators: dict[Name, Operator] = Field(default_factory=dict)


@dataclass(frozen=True)
class Version:
    """A numbered version of the document; each request keeps that of its start."""

    number: int
    document: Document

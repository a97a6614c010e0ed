"""Settings of one router process."""

from pathlib import Path
from typing import Annotated

from expression import Result
from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from teaselledge import yamlsource

__all__ = ["Limits", "Listener", "Platform", "Settings", "Statsd", "Tls", "load"]

_STRICT = ConfigDict(extra="forbid")

Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0, le=86_400, allow_inf_nan=False)]


@dataclass(frozen=True, config=_STRICT)
class Tls:
    """Files for TLS, in PEM.

    Attributes
    ----------
    certificate, key : str
        This router's certificate and its private key. Between routers the
        certificate must name the VM as a DNS name.
    authority : str or None
        Certificates of the authority; if set, clients need one signed by it.
    """

    certificate: str
    key: str
    authority: str | None = None


@dataclass(frozen=True, config=_STRICT)
class Listener:
    """Address of a listener.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        Port; 0 for any free port.
    advertise : str or None
        ``host:port`` to advertise if it differs from the listener's.
    tls : Tls or None
        TLS files; without them the listener has no TLS.
    """

    host: str = "127.0.0.1"
    port: Port = 0
    advertise: Annotated[str, Field(pattern=r"^[^\s:/]+:\d{1,5}$")] | None = None
    tls: Tls | None = None

    def advertised(self, port: int) -> str:
        """Return the address to advertise, given the port in use."""
        return self.advertise or f"{self.host}:{port}"


@dataclass(frozen=True, config=_STRICT)
class Platform:
    """Addresses of the platform's services, each ``host:port``.

    Attributes
    ----------
    tables : str
        The transactional table service.
    objects : str
        The object store.
    vms : str
        The list of VMs.
    """

    tables: str
    objects: str
    vms: str


@dataclass(frozen=True, config=_STRICT)
class Statsd:
    """Statsd daemon to which metrics are sent.

    Attributes
    ----------
    host : str
        Host name or IP address of the daemon.
    port : int
        UDP port of the daemon.
    """

    host: str
    port: Port = 8125


@dataclass(frozen=True, config=_STRICT)
class Limits:
    """Limits of one router.

    Attributes
    ----------
    body_bytes, header_bytes : int
        Maximum size of request bodies and of headers.
    upload_bytes : int
        Maximum body size of a repeatable request; a body over ``body_bytes`` is
        streamed to the endpoint as it arrives.
    waiting : int
        Maximum number of waiting requests.
    waiting_bytes : int
        Maximum total size of the bodies of waiting requests.
    connections : int
        Maximum number of callers' connections.
    """

    body_bytes: Annotated[int, Field(ge=1024, le=1 << 30)] = 4 << 20
    upload_bytes: Annotated[int, Field(ge=1024, le=1 << 40)] = 1 << 30
    header_bytes: Annotated[int, Field(ge=1024, le=1 << 20)] = 32 << 10
    waiting: Annotated[int, Field(ge=1, le=1_000_000)] = 2000
    waiting_bytes: Annotated[int, Field(ge=1024, le=1 << 32)] = 64 << 20
    connections: Annotated[int, Field(ge=1, le=100_000)] = 4000


@dataclass(frozen=True, config=_STRICT)
class Settings:
    """Settings of one router.

    Attributes
    ----------
    vm : str
        Name of the VM.
    zone, region : str
        Location of the VM.
    platform : Platform
        The platform's services.
    callers, peers, operators : Listener
        Listeners for callers, other routers and operators; three ports.
    statsd : Statsd or None
        Daemon for metrics; without it they are only on the status page.
    limits : Limits
        Limits on requests and connections.
    drain_seconds : float
        Maximum duration of a graceful shutdown.
    address_seconds : float
        Time for which callers may cache an address list.
    seeds : tuple of str
        Peer addresses to try while no other router is known, as when the list of
        VMs is out of reach.
    first_key : str or None
        SHA-256, in hex, of the key that may publish the first version.
    """

    vm: str
    zone: str
    region: str
    platform: Platform
    callers: Listener = Field(default_factory=Listener)
    peers: Listener = Field(default_factory=Listener)
    operators: Listener = Field(default_factory=Listener)
    statsd: Statsd | None = None
    limits: Limits = Field(default_factory=Limits)
    drain_seconds: Seconds = 600.0
    address_seconds: Seconds = 10.0
    seeds: tuple[str, ...] = ()
    first_key: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")] | None = None


def load(path: Path) -> Result[Settings, list[yamlsource.ConfigIssue]]:
    """Read the settings file.

    Returns
    -------
    Result of Settings or list of ConfigIssue
        The settings, or all errors in the file.
    """
    return yamlsource.read(path).bind(
        lambda source: yamlsource.validate_as(Settings, source)
    )

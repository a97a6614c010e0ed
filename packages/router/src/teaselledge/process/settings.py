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
        Certificates that sign the clients'; clients then need one.
    """

    certificate: str
    key: str
    authority: str | None = None


@dataclass(frozen=True, config=_STRICT)
class Listener:
    """An address to listen on.

    Attributes
    ----------
    host : str
        IP number.
    port : int
        Port; 0 takes a free one.
    advertise : str or None
        ``host:port`` told to others where it differs from the listener's.
    tls : Tls or None
        TLS on this listener.
    """

    host: str = "127.0.0.1"
    port: Port = 0
    advertise: Annotated[str, Field(pattern=r"^[^\s:/]+:\d{1,5}$")] | None = None
    tls: Tls | None = None

    def advertised(self, port: int) -> str:
        """Return the address to tell others, given the port in use."""
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
    """Where metrics go.

    Attributes
    ----------
    host : str
        Name or IP number of the statsd daemon.
    port : int
        Its UDP port.
    """

    host: str
    port: Port = 8125


@dataclass(frozen=True, config=_STRICT)
class Limits:
    """Limits of one router.

    Attributes
    ----------
    body_bytes, header_bytes : int
        Largest request body and headers.
    upload_bytes : int
        Largest body of a repeatable request; what is beyond ``body_bytes`` is
        passed on as it arrives.
    waiting : int
        Requests that may wait in total.
    waiting_bytes : int
        Bytes of waiting bodies in total.
    connections : int
        Callers' connections.
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
        Where it is.
    platform : Platform
        The platform's services.
    callers, peers, operators : Listener
        Where callers, other routers and operators connect; three ports.
    statsd : Statsd or None
        Where metrics go; without it they are only on the status page.
    limits : Limits
        What it holds at most.
    drain_seconds : float
        Longest time that a graceful shutdown takes.
    address_seconds : float
        How long callers keep the answer of the address list.
    seeds : tuple of str
        Peer addresses to try when the list of VMs is out of reach.
    first_key : str or None
        SHA-256, in hex, of the key that may make the first version.
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
        The settings, or every fault in the file.
    """
    return yamlsource.read(path).bind(
        lambda source: yamlsource.validate_as(Settings, source)
    )

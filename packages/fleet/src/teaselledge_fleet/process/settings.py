"""Settings of one router process."""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["FleetSettings", "Listeners", "Place"]


@dataclass(frozen=True)
class Place:
    """Which VM this is and where.

    Attributes
    ----------
    vm : str
        Name of the VM.
    host : str
        Its IP number.
    zone, region : str
        Availability zone and region.
    """

    vm: str
    host: str
    zone: str
    region: str


@dataclass(frozen=True)
class Listeners:
    """Addresses to listen on, each ``host:port``.

    Attributes
    ----------
    callers : str
        Requests to services.
    ready : str
        Whether this router takes requests.
    peers : str
        Other routers, over UDP and over HTTP.
    addresses : str
        Which routers callers should use.
    metrics : str
        Metrics as text; empty where they are not served.
    relays : str
        Callers' connections that other routers pass on; empty where none are taken.
    """

    callers: str
    ready: str
    peers: str
    addresses: str
    metrics: str = ""
    relays: str = ""


@dataclass(frozen=True)
class FleetSettings:
    """Settings of one router.

    Attributes
    ----------
    place : Place
        Where it is.
    zones : mapping of str to str
        Region of each availability zone.
    listeners : Listeners
        Where it listens.
    peer_ports : tuple of int
        First and last port that are free for traffic between routers.
    seeds : tuple of str
        Peer addresses of some routers; they may be stale.
    memory_bytes, descriptors : int
        Limits of the process.
    cores : float
        Processor time a second.
    grace_seconds : float
        Time from the signal to stop to the kill.
    address_seconds : float
        Longest time for which callers keep an answer of the address list.
    repeat_ratio, repeat_window, repeat_extra : float
        The fleet's budget of repeated sends; see `RetryLimits`.
    share_window : float
        Seconds over which organisations' shares are counted.
    drain_seconds : float
        Time within which a leaving endpoint must get no new work.
    beat_seconds : float
        Time between two writes of an endpoint's entry.
    """

    place: Place
    zones: Mapping[str, str]
    listeners: Listeners
    peer_ports: tuple[int, ...] = ()
    seeds: tuple[str, ...] = ()
    memory_bytes: int = 256 << 20
    descriptors: int = 1024
    cores: float = 1.0
    grace_seconds: float = 8.0
    address_seconds: float = 5.0
    repeat_ratio: float = 0.2
    repeat_window: float = 10.0
    repeat_extra: float = 50.0
    share_window: float = 4.0
    drain_seconds: float = 2.5
    beat_seconds: float = 1.2

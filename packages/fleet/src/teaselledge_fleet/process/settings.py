"""Settings of one router process."""

from collections.abc import Mapping
from dataclasses import dataclass

from teaselledge_fleet.connection.sendbuffers import SendBufferLimits
from teaselledge_fleet.engines.settings import EngineSpeedSettings
from teaselledge_fleet.hedging.policy import HedgeSettings
from teaselledge_fleet.queueing.settings import QueueSettings

__all__ = ["FleetSettings", "Listeners", "Place"]


@dataclass(frozen=True)
class Place:
    """Name and location of the VM of this router.

    Attributes
    ----------
    vm : str
        Name of the VM.
    host : str
        Its IP address.
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
        For requests to services.
    ready : str
        For readiness checks.
    peers : str
        For other routers, over UDP and HTTP.
    addresses : str
        For callers that request router addresses.
    metrics : str
        For the metrics page; empty if it is not served.
    relays : str
        For connections that other routers offload; empty if none are accepted.
    """

    callers: str
    ready: str
    peers: str
    addresses: str
    metrics: str = ""
    relays: str = ""

    @property
    def all(self) -> tuple[str, ...]:
        """All addresses, those that are not served as empty texts."""
        return (
            self.callers,
            self.ready,
            self.peers,
            self.addresses,
            self.metrics,
            self.relays,
        )


@dataclass(frozen=True)
class FleetSettings:
    """Settings of one router.

    Attributes
    ----------
    place : Place
        Name and location of its VM.
    zones : mapping of str to str
        Region of each availability zone.
    listeners : Listeners
        Addresses on which it listens.
    peer_ports : tuple of int
        First and last port of the range for traffic between routers.
    seeds : tuple of str
        Peer addresses of some routers, which may be out of date.
    memory_bytes, descriptors : int
        Limits of the process: memory and open file descriptors.
    cores : float
        CPU seconds that the process may use each second.
    grace_seconds : float
        Time between the signal to shut down and the kill.
    address_seconds : float
        Maximum time for which callers cache router addresses.
    repeat_ratio, repeat_window, repeat_extra : float
        The fleet's retry budget; see `RetryLimits`.
    share_window : float
        Seconds over which the token usage of organisations is counted.
    drain_seconds : float
        Time after which a leaving endpoint must get no new requests.
    beat_seconds : float
        Time between two writes of an endpoint's row.
    warmup_rate_factor, warmup_rate_extra : float or None
        Limit of the requests to an endpoint that warms up; see `WarmupTracker`.
    engine_speeds : EngineSpeedSettings or None
        When the speeds of single engines take effect; None if they are not estimated.
    queueing : QueueSettings or None
        Queue in front of the engines; None if no request waits.
    hedging : HedgeSettings or None
        Settings of hedged requests; None if no request is hedged.
    send_buffers : SendBufferLimits or None
        Limits on bytes held for peers that read slowly; None derives them from
        `memory_bytes`.
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
    warmup_rate_factor: float | None = None
    warmup_rate_extra: float | None = None
    engine_speeds: EngineSpeedSettings | None = None
    queueing: QueueSettings | None = None
    hedging: HedgeSettings | None = None
    send_buffers: SendBufferLimits | None = None

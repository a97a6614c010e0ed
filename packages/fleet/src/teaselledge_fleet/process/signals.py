"""What endpoints said about themselves in their responses to this router."""

import asyncio
import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.request.call import EndpointSignal

__all__ = ["EndpointSignals"]

_log = get_log("signals")


LEAVING_RETENTION_SECONDS = 120.0
"""Time for which it is remembered that an endpoint leaves that is no longer known.

Its row may expire while the store is away and be written again after it, as that of a
ready endpoint."""


@dataclass(frozen=True)
class _Departure:
    """A process of an endpoint that leaves, and when its row was last known."""

    started_ms: int
    known_at: float


@dataclass(frozen=True)
class _Pause:
    """Time until which a process of an endpoint wants no requests."""

    started_ms: int
    until: float


class EndpointSignals:
    """Tracks the endpoints that want no requests from this router.

    The endpoint's row in the store may say so seconds later, or not at all while the
    store is away. A signal holds for the process of the endpoint that sent it: one
    that starts again under the same name has sent none.
    """

    def __init__(self) -> None:
        self._version = 0
        self._departures: dict[str, _Departure] = {}
        self._pauses: dict[str, _Pause] = {}
        self._next_expiry = math.inf
        """Loop time at which the first pause ends."""

    @property
    def version(self) -> int:
        """Number that changes when an endpoint begins or stops to want no requests."""
        now = _now()
        if now >= self._next_expiry:
            self._set_pauses(
                {name: each for name, each in self._pauses.items() if each.until > now}
            )
        return self._version

    def record(self, endpoint: Endpoint, signal: EndpointSignal) -> None:
        """Record what an endpoint said in a response."""
        if signal.leaving and not self._is_leaving(endpoint):
            departure = _Departure(endpoint.started_ms, _now())
            self._departures[endpoint.id] = departure
            self._version += 1
            _log.info("endpoint leaves, by its response", endpoint=endpoint.id)
        if signal.pause_seconds:
            self._record_pause(endpoint, signal.pause_seconds)

    def accepts_requests(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint has not asked this router to send it none."""
        return not (self._is_leaving(endpoint) or self.pause_left(endpoint))

    def pause_left(self, endpoint: Endpoint) -> float:
        """Return the seconds for which an endpoint still wants no requests."""
        pause = self._pauses.get(endpoint.id)
        if pause is None or pause.started_ms != endpoint.started_ms:
            return 0.0
        return max(0.0, pause.until - _now())

    def count_paused(self, endpoints: Iterable[Endpoint]) -> int:
        """Return how many of some endpoints want no requests for some time."""
        return sum(self.pause_left(endpoint) > 0.0 for endpoint in endpoints)

    def retain_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Drop the signals of endpoints that started again or are gone for long."""
        started = {endpoint.id: endpoint.started_ms for endpoint in endpoints}
        now = _now()
        retained = {}
        for name, departure in self._departures.items():
            started_ms = started.get(name)
            if started_ms == departure.started_ms:
                retained[name] = replace(departure, known_at=now)
            elif (
                started_ms is None
                and now - departure.known_at < LEAVING_RETENTION_SECONDS
            ):
                retained[name] = departure
        self._departures = retained
        # those of endpoints that are gone end by themselves
        self._set_pauses(
            {
                name: pause
                for name, pause in self._pauses.items()
                if started.get(name, pause.started_ms) == pause.started_ms
            }
        )

    def _record_pause(self, endpoint: Endpoint, seconds: float) -> None:
        """Record a pause, unless one that ends later has been asked for."""
        if seconds <= self.pause_left(endpoint):
            return
        pause = _Pause(endpoint.started_ms, _now() + seconds)
        self._set_pauses({**self._pauses, endpoint.id: pause})
        _log.info(
            "endpoint wants no requests",
            endpoint=endpoint.id,
            seconds=round(seconds, 2),
        )

    def _set_pauses(self, pauses: dict[str, _Pause]) -> None:
        if pauses == self._pauses:
            return
        self._pauses = pauses
        self._next_expiry = min(
            (pause.until for pause in pauses.values()), default=math.inf
        )
        self._version += 1

    def _is_leaving(self, endpoint: Endpoint) -> bool:
        departure = self._departures.get(endpoint.id)
        return departure is not None and departure.started_ms == endpoint.started_ms


def _now() -> float:
    return asyncio.get_running_loop().time()

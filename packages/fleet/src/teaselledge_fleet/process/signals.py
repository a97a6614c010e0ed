"""What endpoints said about themselves in their responses to this router."""

import asyncio
import math
from collections.abc import Iterable
from dataclasses import dataclass

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.request.call import EndpointSignal

__all__ = ["EndpointSignals"]

_log = get_log("signals")


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
        self._leaving: dict[str, int] = {}
        """Start time of the process that leaves, by the endpoint's id."""
        self._pauses: dict[str, _Pause] = {}
        self._next_expiry = math.inf
        """Loop time at which the first pause ends."""

    @property
    def version(self) -> int:
        """Number that changes when an endpoint begins or stops to want no requests."""
        now = asyncio.get_running_loop().time()
        if now >= self._next_expiry:
            self._set_pauses(
                {name: each for name, each in self._pauses.items() if each.until > now}
            )
        return self._version

    def record(self, endpoint: Endpoint, signal: EndpointSignal) -> None:
        """Record what an endpoint said in a response."""
        if signal.leaving and not self._is_leaving(endpoint):
            self._leaving[endpoint.id] = endpoint.started_ms
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
        return max(0.0, pause.until - asyncio.get_running_loop().time())

    def count_paused(self, endpoints: Iterable[Endpoint]) -> int:
        """Return how many of some endpoints want no requests for some time."""
        return sum(self.pause_left(endpoint) > 0.0 for endpoint in endpoints)

    def retain_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Drop the signals of endpoints that no longer exist or started again."""
        started = {endpoint.id: endpoint.started_ms for endpoint in endpoints}
        self._leaving = {
            name: started_ms
            for name, started_ms in self._leaving.items()
            if started.get(name) == started_ms
        }
        self._set_pauses(
            {
                name: pause
                for name, pause in self._pauses.items()
                if started.get(name) == pause.started_ms
            }
        )

    def _record_pause(self, endpoint: Endpoint, seconds: float) -> None:
        """Record a pause, unless one that ends later has been asked for."""
        if seconds <= self.pause_left(endpoint):
            return
        until = asyncio.get_running_loop().time() + seconds
        pause = _Pause(endpoint.started_ms, until)
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
        return self._leaving.get(endpoint.id) == endpoint.started_ms

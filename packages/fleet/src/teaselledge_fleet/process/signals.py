"""What endpoints said about themselves in their responses to this router."""

from collections.abc import Iterable

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.request.call import EndpointSignal

__all__ = ["EndpointSignals"]

_log = get_log("signals")


class EndpointSignals:
    """Tracks the endpoints that want no requests from this router.

    The endpoint's row in the store may say so seconds later, or not at all while the
    store is away. A signal holds for the process of the endpoint that sent it: one
    that starts again under the same name has sent none.
    """

    def __init__(self) -> None:
        self._leaving: dict[str, int] = {}
        """Start time of the process that leaves, by the endpoint's id."""

    @property
    def active(self) -> bool:
        """Whether some endpoint wants no requests."""
        return bool(self._leaving)

    def record(self, endpoint: Endpoint, signal: EndpointSignal) -> None:
        """Record what an endpoint said in a response."""
        if signal.leaving and not self._is_leaving(endpoint):
            self._leaving[endpoint.id] = endpoint.started_ms
            _log.info("endpoint leaves, by its response", endpoint=endpoint.id)

    def accepts_requests(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint has not asked this router to send it none."""
        return not self._is_leaving(endpoint)

    def retain_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Drop the signals of endpoints that no longer exist or started again."""
        started = {endpoint.id: endpoint.started_ms for endpoint in endpoints}
        self._leaving = {
            name: started_ms
            for name, started_ms in self._leaving.items()
            if started.get(name) == started_ms
        }

    def _is_leaving(self, endpoint: Endpoint) -> bool:
        return self._leaving.get(endpoint.id) == endpoint.started_ms

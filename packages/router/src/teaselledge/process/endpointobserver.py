"""Endpoint client that reports the status of the endpoints it talks to."""

from collections.abc import Callable

from expression import Result

from teaselledge.connection.endpoint import (
    EndpointClient,
    EndpointResponse,
    OutboundRequest,
    SendFailure,
)
from teaselledge.process.endpointstatus import EndpointStatus

__all__ = ["LEAVING_HEADER", "ObservingEndpointClient"]

LEAVING_HEADER = "X-Leaving"
"""Response header with which an endpoint announces that it is leaving."""


class ObservingEndpointClient:
    """Forwards requests and reports refused connections and leaving endpoints.

    Parameters
    ----------
    client : EndpointClient
        Sends the requests.
    on_status : callable
        Called with the endpoint's address and its status.
    """

    def __init__(
        self, client: EndpointClient, on_status: Callable[[str, EndpointStatus], None]
    ) -> None:
        self._client = client
        self._on_status = on_status

    async def send(
        self, address: str, request: OutboundRequest
    ) -> Result[EndpointResponse, SendFailure]:
        """Send a request and wait for the head of the response."""
        result = await self._client.send(address, request)
        if result.is_error():
            # a timeout may be due to this router's network path; a refused
            # connection is refused for all routers
            if result.error.refused:
                self._on_status(address, EndpointStatus.REFUSED)
            return result
        leaving = result.ok.headers.get(LEAVING_HEADER, "").lower() in ("1", "true")
        self._on_status(
            address, EndpointStatus.LEAVING if leaving else EndpointStatus.BACK
        )
        return result

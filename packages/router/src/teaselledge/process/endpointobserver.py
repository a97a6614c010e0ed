"""An endpoint client that tells what it notices about the endpoints."""

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
"""Header of an endpoint's answers with which it says that it leaves."""


class ObservingEndpointClient:
    """Passes requests on and reports refusals and the endpoint's own word.

    Parameters
    ----------
    client : EndpointClient
        Sends the requests.
    on_status : callable
        Called with the endpoint's address and what was noticed.
    """

    def __init__(
        self, client: EndpointClient, on_status: Callable[[str, EndpointStatus], None]
    ) -> None:
        self._client = client
        self._notice = on_status

    async def send(
        self, address: str, request: OutboundRequest
    ) -> Result[EndpointResponse, SendFailure]:
        """Send a request and wait for the head of its answer."""
        result = await self._client.send(address, request)
        if result.is_error():
            # no answer in time may be this router's way there; a refusal is the
            # endpoint's host itself, whoever asks
            if result.error.refused:
                self._notice(address, EndpointStatus.REFUSED)
            return result
        leaving = result.ok.headers.get(LEAVING_HEADER, "").lower() in ("1", "true")
        self._notice(
            address, EndpointStatus.LEAVING if leaving else EndpointStatus.BACK
        )
        return result

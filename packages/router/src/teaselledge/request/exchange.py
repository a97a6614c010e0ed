"""Exchange of an order with an endpoint."""

from collections.abc import Callable
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from teaselledge.connection.endpoint import (
    EndpointClient,
    IncompleteResponseError,
    OutboundRequest,
)
from teaselledge.errors import ErrorKind
from teaselledge.request.context import CallerRequest
from teaselledge.request.record import StoredResponse
from teaselledge.request.relay import RecordingSink

__all__ = ["ExchangeResult", "exchange_order", "is_mismatched_response"]

ID_HEADER = "X-Request-Id"


@dataclass(frozen=True)
class ExchangeResult:
    """Outcome of an exchange with an endpoint.

    Attributes
    ----------
    maybe_sent : bool
        Whether the endpoint may have received a part of the request.
    response : StoredResponse or None
        The complete response, None if it was not received.
    kind : ErrorKind
        Kind of the fault if there is no response.
    reason : str
        Description of the failure.
    """

    maybe_sent: bool
    response: StoredResponse | None = None
    kind: ErrorKind = ErrorKind.ENDPOINT_FAILED
    reason: str = ""


def is_mismatched_response(sent: HTTPHeaders, received: HTTPHeaders) -> bool:
    """Return whether a response carries the identifier of another request.

    An endpoint with a faulty connection pool may return one caller's response
    to another. This is detected if the endpoint echoes the identifier.
    """
    echoed = received.get(ID_HEADER)
    return echoed is not None and echoed != sent.get(ID_HEADER)


async def exchange_order(
    client: EndpointClient,
    address: str,
    request: CallerRequest,
    relay: RecordingSink,
    on_chunk: Callable[[bytes], None],
) -> ExchangeResult:
    """Send an order and relay the response to its end."""
    outbound = OutboundRequest(
        request.method, request.path, request.headers, request.body
    )
    sent = await client.send(address, outbound)
    if sent.is_error():
        failure = sent.error
        kind = ErrorKind.ENDPOINT_FAILED
        if failure.malformed:
            kind = ErrorKind.ENDPOINT_GARBAGE
        return ExchangeResult(failure.maybe_sent, None, kind, failure.detail)
    response = sent.ok
    try:
        if is_mismatched_response(outbound.headers, response.headers):
            detail = "the endpoint answered another request"
            return ExchangeResult(True, None, ErrorKind.ENDPOINT_GARBAGE, detail)
        await relay.start(response.status, response.headers)
        async for chunk in response.chunks():
            on_chunk(chunk)
            await relay.write(chunk)
    except IncompleteResponseError:
        return ExchangeResult(
            True, None, ErrorKind.ENDPOINT_FAILED, "the answer broke off"
        )
    finally:
        response.close()
    await relay.finish()
    return ExchangeResult(True, relay.response)

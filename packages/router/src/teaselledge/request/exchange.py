"""One exchange of an order with an endpoint."""

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
    """How an exchange with an endpoint ended.

    Attributes
    ----------
    maybe_sent : bool
        Whether the endpoint may have received anything.
    response : StoredResponse or None
        The whole answer, if it came.
    kind : ErrorKind
        What to tell the caller where it did not.
    reason : str
        What happened.
    """

    maybe_sent: bool
    response: StoredResponse | None = None
    kind: ErrorKind = ErrorKind.ENDPOINT_FAILED
    reason: str = ""


def is_mismatched_response(sent: HTTPHeaders, received: HTTPHeaders) -> bool:
    """Return whether an answer names another request than the one sent.

    An endpoint behind a broken pool of its own may give a caller another
    caller's answer. Those that echo the identifier show it in time.
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
    """Send an order and pass its answer on, to the answer's end."""
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
    answer = sent.ok
    try:
        if is_mismatched_response(outbound.headers, answer.headers):
            detail = "the endpoint answered another request"
            return ExchangeResult(True, None, ErrorKind.ENDPOINT_GARBAGE, detail)
        await relay.start(answer.status, answer.headers)
        async for chunk in answer.chunks():
            on_chunk(chunk)
            await relay.write(chunk)
    except IncompleteResponseError:
        return ExchangeResult(
            True, None, ErrorKind.ENDPOINT_FAILED, "the answer broke off"
        )
    finally:
        answer.close()
    await relay.finish()
    return ExchangeResult(True, relay.response)

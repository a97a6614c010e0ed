"""The kinds of fault that end a request, and the response to each of them."""

import json
from dataclasses import dataclass
from enum import Enum

from tornado.httputil import HTTPHeaders, responses

__all__ = [
    "FAULT_RESPONSES",
    "ROUTER_FAULTS",
    "FaultResponse",
    "Fault",
    "FaultKind",
    "encode_fault_response",
    "fault_body",
    "fault_headers",
]


class FaultKind(Enum):
    """Reasons for which the router itself responds with an error."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_KEY = "unknown-key"
    NO_ROUTE = "no-route"
    NOT_CONFIGURED = "not-configured"
    LEAVING = "leaving"
    ROUTER_BUSY = "router-busy"
    NO_ENDPOINT = "no-endpoint"
    NO_ALLOWED_REGION = "no-allowed-region"
    OVER_CAPACITY = "over-capacity"
    OVER_SHARE = "over-share"
    NOT_IN_TIME = "not-in-time"
    ENDPOINT_DECLINED = "endpoint-declined"
    ENDPOINT_FAILED = "endpoint-failed"
    ENDPOINT_TIMEOUT = "endpoint-timeout"
    ROUTER_TIMEOUT = "router-timeout"
    QUARANTINED = "quarantined"
    ORIGIN_GONE = "origin-gone"
    ORIGIN_UNANSWERED = "origin-unanswered"
    ORIGIN_UNKNOWN = "origin-unknown"


@dataclass(frozen=True)
class FaultResponse:
    """Status and title of the response to a kind of fault.

    Attributes
    ----------
    status : int
        HTTP status. 429 and 503 promise that the request has not run and never
        will; 502 and 504 make no promise.
    title : str
        Short summary for the response body.
    """

    status: int
    title: str


FAULT_RESPONSES: dict[FaultKind, FaultResponse] = {
    FaultKind.BAD_REQUEST: FaultResponse(400, "The request is malformed"),
    FaultKind.UNKNOWN_KEY: FaultResponse(401, "The key is missing or unknown"),
    FaultKind.NO_ROUTE: FaultResponse(404, "No route leads there"),
    FaultKind.NOT_CONFIGURED: FaultResponse(503, "The router has no configuration yet"),
    FaultKind.LEAVING: FaultResponse(503, "This router is leaving"),
    FaultKind.ROUTER_BUSY: FaultResponse(503, "This router is held up"),
    FaultKind.NO_ENDPOINT: FaultResponse(503, "No endpoint can be reached"),
    FaultKind.NO_ALLOWED_REGION: FaultResponse(
        503, "Route and organisation have no allowed region in common"
    ),
    FaultKind.OVER_CAPACITY: FaultResponse(503, "No endpoint has room"),
    FaultKind.OVER_SHARE: FaultResponse(429, "The organisation is over its share"),
    FaultKind.NOT_IN_TIME: FaultResponse(503, "No endpoint was free in time"),
    FaultKind.ENDPOINT_DECLINED: FaultResponse(503, "The endpoints declined"),
    FaultKind.ENDPOINT_FAILED: FaultResponse(502, "The endpoint failed"),
    FaultKind.ENDPOINT_TIMEOUT: FaultResponse(504, "The endpoint took too long"),
    FaultKind.ROUTER_TIMEOUT: FaultResponse(
        504, "The router to which the request was passed on gives no answer"
    ),
    FaultKind.QUARANTINED: FaultResponse(502, "Endpoints ended running this request"),
    FaultKind.ORIGIN_GONE: FaultResponse(
        502, "No endpoint of the version that began this stream is left"
    ),
    FaultKind.ORIGIN_UNANSWERED: FaultResponse(
        503, "Routers that may know what began this stream do not answer"
    ),
    FaultKind.ORIGIN_UNKNOWN: FaultResponse(
        502, "It is not known what began this stream"
    ),
}


ROUTER_FAULTS = (FaultKind.NOT_CONFIGURED, FaultKind.LEAVING, FaultKind.ROUTER_BUSY)
"""Faults of the router that responds. Another router may serve the request."""


@dataclass(frozen=True)
class Fault:
    """One fault of a request.

    Attributes
    ----------
    kind : FaultKind
        Kind of fault.
    retry_after : float or None
        Seconds after which a retry by the caller may succeed.
    """

    kind: FaultKind
    retry_after: float | None = None


def fault_body(fault: Fault) -> bytes:
    """Return the body of a fault's response, a problem object (RFC 9457)."""
    response = FAULT_RESPONSES[fault.kind]
    fields = {
        "title": response.title,
        "status": response.status,
        "kind": fault.kind.value,
    }
    return json.dumps(fields).encode()


def fault_headers(fault: Fault, headers: HTTPHeaders, length: int) -> HTTPHeaders:
    """Return the headers of a fault's response."""
    result = headers.copy()
    result["Content-Type"] = "application/problem+json"
    result["Content-Length"] = str(length)
    if fault.retry_after is not None:
        result["Retry-After"] = f"{max(0.0, fault.retry_after):.2f}"
    return result


def encode_fault_response(
    fault: Fault, headers: HTTPHeaders, with_body: bool = True
) -> bytes:
    """Return the encoded response to a fault, after which the connection closes.

    Parameters
    ----------
    fault : Fault
        The fault.
    headers : HTTPHeaders
        Further headers.
    with_body : bool
        False for the response to a HEAD request.
    """
    body = fault_body(fault)
    fields = fault_headers(fault, headers, len(body))
    fields["Connection"] = "close"
    status = FAULT_RESPONSES[fault.kind].status
    lines = [f"HTTP/1.1 {status} {responses[status]}"]
    lines += [f"{name}: {value}" for name, value in fields.get_all()]
    encoded = "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")
    return encoded + body if with_body else encoded

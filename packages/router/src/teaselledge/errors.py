"""Error kinds of requests and their HTTP responses."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["FAULT_RESPONSES", "FaultResponse", "ErrorKind", "Fault", "Ran", "problem"]

PROBLEM_TYPE = "application/problem+json"


class Ran(Enum):
    """Whether an endpoint may have carried out the request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Kind of failure of a request. The list is complete."""

    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    BAD_REQUEST = "bad-request"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_MISMATCH = "idempotency-key-mismatch"
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    ORGANISATION_LIMIT = "organisation-limit"
    ROUTER_FULL = "router-full"
    QUEUE_TIMEOUT = "queue-timeout"
    NO_ENDPOINT = "no-endpoint"
    ENDPOINT_FAILED = "endpoint-failed"
    ENDPOINT_TIMEOUT = "endpoint-timeout"
    ENDPOINT_GARBAGE = "endpoint-garbage"
    ORDER_IN_PROGRESS = "order-in-progress"
    ORDER_UNKNOWN = "order-unknown"
    ANSWER_LOST = "answer-lost"
    JOURNAL_UNAVAILABLE = "journal-unavailable"
    LEAVING = "leaving"
    NOT_CONFIGURED = "not-configured"
    INTERNAL = "internal"


@dataclass(frozen=True)
class FaultResponse:
    """HTTP response for an error kind.

    Attributes
    ----------
    status : int
        HTTP status.
    title : str
        Short summary, the same for each occurrence.
    retry_after : int or None
        Seconds after which a retry may succeed.
    """

    status: int
    title: str
    retry_after: int | None = None


FAULT_RESPONSES: dict[ErrorKind, FaultResponse] = {
    ErrorKind.UNAUTHENTICATED: FaultResponse(401, "The key is missing or unknown"),
    ErrorKind.FORBIDDEN: FaultResponse(403, "The organisation may not reach this"),
    ErrorKind.NOT_FOUND: FaultResponse(404, "There is nothing at this path"),
    ErrorKind.METHOD_NOT_ALLOWED: FaultResponse(
        405, "No kind of request has this method"
    ),
    ErrorKind.BAD_REQUEST: FaultResponse(400, "The request is malformed"),
    ErrorKind.KEY_REQUIRED: FaultResponse(400, "An order needs an Idempotency-Key"),
    ErrorKind.KEY_MISMATCH: FaultResponse(422, "The key belongs to another request"),
    ErrorKind.BODY_TOO_LARGE: FaultResponse(413, "The body is over the limit"),
    ErrorKind.HEADERS_TOO_LARGE: FaultResponse(431, "The headers are over the limit"),
    ErrorKind.ORGANISATION_LIMIT: FaultResponse(
        429, "The organisation's limit is reached", 2
    ),
    ErrorKind.ROUTER_FULL: FaultResponse(503, "The router's limit is reached", 1),
    ErrorKind.QUEUE_TIMEOUT: FaultResponse(503, "No endpoint was free in time", 5),
    ErrorKind.NO_ENDPOINT: FaultResponse(503, "No endpoint can be reached", 5),
    ErrorKind.ENDPOINT_FAILED: FaultResponse(502, "The endpoint failed"),
    ErrorKind.ENDPOINT_TIMEOUT: FaultResponse(504, "The endpoint took too long"),
    ErrorKind.ENDPOINT_GARBAGE: FaultResponse(
        502, "The endpoint's answer is malformed"
    ),
    ErrorKind.ORDER_IN_PROGRESS: FaultResponse(409, "The order is in progress", 2),
    ErrorKind.ORDER_UNKNOWN: FaultResponse(
        504, "It is not known whether the order ran"
    ),
    ErrorKind.ANSWER_LOST: FaultResponse(502, "The order ran; its answer was not kept"),
    ErrorKind.JOURNAL_UNAVAILABLE: FaultResponse(
        503, "The order journal is out of reach", 5
    ),
    ErrorKind.LEAVING: FaultResponse(503, "This router is leaving", 0),
    ErrorKind.NOT_CONFIGURED: FaultResponse(
        503, "The router has no configuration yet", 2
    ),
    ErrorKind.INTERNAL: FaultResponse(500, "The router failed"),
}


@dataclass(frozen=True)
class Fault:
    """Occurrence of an error.

    Attributes
    ----------
    kind : ErrorKind
        Kind of failure.
    ran : Ran
        Whether an endpoint may have carried out the request, over all
        attempts under its key.
    detail : str
        A sentence about this occurrence, free of secrets.
    retry_after : int or None
        Seconds after which a retry may succeed; overrides `FAULT_RESPONSES`.
    """

    kind: ErrorKind
    ran: Ran = Ran.NO
    detail: str = ""
    retry_after: int | None = None


@dataclass(frozen=True)
class Problem:
    """Error response in the format of RFC 9457.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers in addition to the request's id.
    body : dict
        Members of the JSON object.
    """

    status: int
    headers: dict[str, str]
    body: dict[str, object]


def problem(fault: Fault, request_id: str) -> Problem:
    """Return the error response for a fault."""
    response = FAULT_RESPONSES[fault.kind]
    headers = {"Content-Type": PROBLEM_TYPE}
    retry_after = response.retry_after
    if fault.retry_after is not None:
        retry_after = fault.retry_after
    if retry_after is not None:
        headers["Retry-After"] = str(retry_after)
    body: dict[str, object] = {
        "type": "about:blank",
        "title": response.title,
        "status": response.status,
        "kind": fault.kind.value,
        "ran": fault.ran.value,
        "request_id": request_id,
    }
    if fault.detail:
        body["detail"] = fault.detail
    return Problem(response.status, headers, body)

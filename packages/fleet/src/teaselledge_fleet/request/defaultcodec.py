"""The product's own headers."""

import math
import secrets

from tornado.httputil import HTTPHeaders

from teaselledge_fleet.request.call import (
    CallerRequest,
    EndpointSignal,
    ForwardingInfo,
    ResponseHead,
)
from teaselledge_fleet.request.headers import from_pairs, parse_pause_seconds

__all__ = ["DefaultHeaderCodec"]

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Seconds"
ENDPOINT = "X-Endpoint"
ORGANISATION = "X-Organisation"
NOT_RUN = "X-Not-Run"
LEAVING = "X-Leaving"
"""Present in all responses of an endpoint that is about to stop."""

LAST_EVENT = "Last-Event-Id"
RESUMED_REQUEST = "X-Resumes"
FETCH_FROM = "X-Fetch-From"

STRIPPED_HEADERS = frozenset(
    name.lower()
    for name in (
        "Authorization",
        "Connection",
        "Content-Length",
        "Expect",
        "Host",
        "Keep-Alive",
        "Transfer-Encoding",
        "Upgrade",
        DEADLINE,
        ENDPOINT,
        ORGANISATION,
        LAST_EVENT,
        FETCH_FROM,
    )
)
"""Hop-by-hop headers, and those that the router reads or sets itself."""

REQUEST_ID_BYTES = 8
SUCCESS_STATUSES = range(200, 300)
MISDIRECTED_STATUS = 421


class DefaultHeaderCodec:
    """Decodes and encodes the product's own headers."""

    def decode_request(
        self, method: str, target: str, headers: HTTPHeaders
    ) -> CallerRequest:
        """Decode a caller's request; a request without an id gets a random one."""
        forwarded = HTTPHeaders()
        for name, value in headers.get_all():
            if name.lower() not in STRIPPED_HEADERS:
                forwarded.add(name, value)
        request_id = headers.get(REQUEST_ID) or secrets.token_hex(REQUEST_ID_BYTES)
        forwarded[REQUEST_ID] = request_id
        scheme, _, key = headers.get("Authorization", "").partition(" ")
        return CallerRequest(
            id=request_id,
            method=method,
            target=target,
            host=headers.get("Host", "").split(":", 1)[0],
            headers=forwarded,
            key=key.strip() if scheme.lower() == "bearer" else None,
            timeout_seconds=_parse_seconds(headers.get(DEADLINE)),
            resume_after=headers.get(LAST_EVENT),
            resumed_request=headers.get(RESUMED_REQUEST),
        )

    def endpoint_request_headers(
        self, request: CallerRequest, forwarding: ForwardingInfo
    ) -> list[tuple[str, str]]:
        """Return all headers for an endpoint except those of the body's length."""
        encoded = [("Host", request.host), *request.headers.get_all()]
        encoded.append((ENDPOINT, forwarding.endpoint))
        optional = {
            ORGANISATION: forwarding.organisation,
            DEADLINE: f"{forwarding.timeout_seconds:.3f}"
            if forwarding.timeout_seconds is not None
            else None,
            LAST_EVENT: forwarding.resume_after or request.resume_after,
            FETCH_FROM: forwarding.fetch_from,
        }
        encoded += [(name, value) for name, value in optional.items() if value]
        return encoded

    def decode_response_head(
        self, request: CallerRequest, status: int, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Decode the head of an endpoint's response."""
        fields = from_pairs(headers)
        forwarded = HTTPHeaders()
        for name, value in fields.get_all():
            if name.lower() not in STRIPPED_HEADERS or name.lower() == "content-length":
                forwarded.add(name, value)
        declined = NOT_RUN in fields
        return ResponseHead(
            status=status,
            headers=forwarded,
            matches_request=fields.get(REQUEST_ID, request.id) == request.id,
            declined=declined,
            authentic=REQUEST_ID in fields or status not in SUCCESS_STATUSES,
            signal=EndpointSignal(
                leaving=LEAVING in fields,
                pause_seconds=parse_pause_seconds(status, fields),
                misdirected=declined and status == MISDIRECTED_STATUS,
            ),
        )

    def local_reply_headers(self, request: CallerRequest) -> HTTPHeaders:
        """Return the headers of a response that the router generates itself."""
        return HTTPHeaders({REQUEST_ID: request.id})


def _parse_seconds(text: str | None) -> float | None:
    try:
        seconds = float(text) if text is not None else None
    except ValueError:
        return None
    # a deadline that is not a number would stop the timers of the event loop
    if seconds is None or not math.isfinite(seconds):
        return None
    return max(0.0, seconds)

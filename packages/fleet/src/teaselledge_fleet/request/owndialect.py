"""The product's own header names."""

import secrets

from tornado.httputil import HTTPHeaders

from teaselledge_fleet.request.call import Call, EndpointHead, Onward
from teaselledge_fleet.request.headers import from_pairs

__all__ = ["OwnDialect"]

REQUEST_ID = "X-Request-Id"
PATIENCE = "X-Deadline-Seconds"
ENDPOINT = "X-Endpoint"
ORGANISATION = "X-Organisation"
NOT_RUN = "X-Not-Run"
LAST_EVENT = "Last-Event-Id"
FETCH_FROM = "X-Fetch-From"

OWN = frozenset(
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
        PATIENCE,
        ENDPOINT,
        ORGANISATION,
        LAST_EVENT,
        FETCH_FROM,
    )
)
"""Headers of one connection, and those that the router reads or sets itself."""

ID_BYTES = 8
SUCCESS = range(200, 300)


class OwnDialect:
    """Reads and writes the product's own headers."""

    def read_call(self, method: str, target: str, headers: HTTPHeaders) -> Call:
        """Decode a caller's request; one without an id is given one."""
        passed = HTTPHeaders()
        for name, value in headers.get_all():
            if name.lower() not in OWN:
                passed.add(name, value)
        request_id = headers.get(REQUEST_ID) or secrets.token_hex(ID_BYTES)
        passed[REQUEST_ID] = request_id
        scheme, _, key = headers.get("Authorization", "").partition(" ")
        return Call(
            id=request_id,
            method=method,
            target=target,
            host=headers.get("Host", "").split(":", 1)[0],
            headers=passed,
            key=key.strip() if scheme.lower() == "bearer" else None,
            patience=_seconds(headers.get(PATIENCE)),
            resume_after=headers.get(LAST_EVENT),
        )

    def onward_headers(self, call: Call, onward: Onward) -> list[tuple[str, str]]:
        """Return all headers for an endpoint but those of the body's length."""
        result = [("Host", call.host), *call.headers.get_all()]
        result.append((ENDPOINT, onward.endpoint))
        optional = {
            ORGANISATION: onward.organisation,
            PATIENCE: f"{onward.seconds:.3f}" if onward.seconds is not None else None,
            LAST_EVENT: onward.resume_after or call.resume_after,
            FETCH_FROM: onward.fetch_from,
        }
        result += [(name, value) for name, value in optional.items() if value]
        return result

    def read_head(
        self, call: Call, status: int, headers: list[tuple[str, str]]
    ) -> EndpointHead:
        """Decode the head of an endpoint's answer."""
        fields = from_pairs(headers)
        passed = HTTPHeaders()
        for name, value in fields.get_all():
            if name.lower() not in OWN or name.lower() == "content-length":
                passed.add(name, value)
        declined = NOT_RUN in fields
        return EndpointHead(
            status=status,
            headers=passed,
            own=fields.get(REQUEST_ID, call.id) == call.id,
            declined=declined,
            sound=REQUEST_ID in fields or status not in SUCCESS,
        )

    def refusal_headers(self, call: Call) -> HTTPHeaders:
        """Return the headers of an answer that the router makes itself."""
        return HTTPHeaders({REQUEST_ID: call.id})


def _seconds(text: str | None) -> float | None:
    try:
        return float(text) if text is not None else None
    except ValueError:
        return None

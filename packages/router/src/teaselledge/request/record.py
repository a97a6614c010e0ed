"""The record of one order in the journal."""

import base64
import hashlib
import json
import re
from dataclasses import dataclass, replace
from enum import Enum

from teaselledge.request.context import CallerRequest

__all__ = [
    "ORDERS_TABLE",
    "UNKNOWN_TABLE",
    "OrderRecord",
    "OrderState",
    "StoredResponse",
    "decode_record",
    "request_digest",
    "encode_record",
    "is_valid_key",
    "order_row",
    "split_order_row",
]

ORDERS_TABLE = "orders"
UNKNOWN_TABLE = "orders-unknown"
"""Index of the orders with unknown outcome, updated in the same commits."""

KEY_PATTERN = re.compile(r"[!-~]{1,200}")


class OrderState(Enum):
    """State of an order."""

    STARTED = "started"
    """An attempt holds the key and may have sent the request."""

    RELEASED = "released"
    """Nothing was sent, and no attempt that arrived earlier may send the order."""

    FINISHED = "finished"
    """The endpoint responded; the response is stored unless it was too large."""

    UNKNOWN = "unknown"
    """The request was sent, but no complete response was received."""

    SETTLED = "settled"
    """An operator recorded that the order ran; there is no response."""


@dataclass(frozen=True)
class StoredResponse:
    """An endpoint's response as stored in the journal.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers as received.
    body : bytes or None
        The body, None if it is in the object store or was too large to store.
    object_key : str
        Key of the body in the object store; empty if it is not there.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    object_key: str = ""


@dataclass(frozen=True)
class OrderRecord:
    """Record of the order with a given organisation and idempotency key.

    Attributes
    ----------
    state : OrderState
        State of the order.
    digest : str
        Digest of the request, see `request_digest`.
    attempt : str
        The attempt that wrote the record.
    owner : str
        VM and incarnation of that attempt.
    service, kind : str
        Names from the configuration document.
    written_at : float
        Wall-clock time of this write, in seconds.
    send_deadline : float
        Wall-clock time after which the attempt must not send the order.
    response : StoredResponse or None
        The response of a finished order.
    reason : str
        Why the outcome is unknown, or who settled the order.
    """

    state: OrderState
    digest: str
    attempt: str
    owner: str
    service: str
    kind: str
    written_at: float
    send_deadline: float
    response: StoredResponse | None = None
    reason: str = ""

    def with_state(
        self,
        state: OrderState,
        written_at: float,
        response: StoredResponse | None = None,
        reason: str = "",
    ) -> "OrderRecord":
        """Return the record in another state."""
        return replace(
            self, state=state, written_at=written_at, response=response, reason=reason
        )


def is_valid_key(key: str) -> bool:
    """Return whether an idempotency key is 1 to 200 visible ASCII characters."""
    return KEY_PATTERN.fullmatch(key) is not None


def order_row(organisation: str, key: str) -> str:
    """Return the row key; names of organisations contain no slash."""
    return f"{organisation}/{key}"


def split_order_row(row: str) -> tuple[str, str]:
    """Return the organisation and the idempotency key of a row key."""
    organisation, _, key = row.partition("/")
    return organisation, key


def request_digest(request: CallerRequest) -> str:
    """Return a digest of a request's service, method, path and body.

    Each field is preceded by its length: otherwise, moving bytes from one
    field to the next would give the same digest.
    """
    fields = (request.service, request.method, request.path)
    digest = hashlib.sha256()
    for field in (*(field.encode() for field in fields), request.body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()


def encode_record(record: OrderRecord) -> bytes:
    """Return the record as stored."""
    value: dict[str, object] = {
        "state": record.state.value,
        "digest": record.digest,
        "attempt": record.attempt,
        "owner": record.owner,
        "service": record.service,
        "kind": record.kind,
        "at": record.written_at,
        "until": record.send_deadline,
    }
    if record.reason:
        value["reason"] = record.reason
    if record.response is not None:
        value["answer"] = _encode_response(record.response)
    return json.dumps(value, separators=(",", ":")).encode()


def decode_record(value: bytes) -> OrderRecord | None:
    """Return a stored record, or None if the value is invalid."""
    try:
        decoded = json.loads(value)
        response = decoded.get("answer")
        return OrderRecord(
            OrderState(decoded["state"]),
            str(decoded["digest"]),
            str(decoded["attempt"]),
            str(decoded["owner"]),
            str(decoded["service"]),
            str(decoded["kind"]),
            float(decoded["at"]),
            float(decoded["until"]),
            None if response is None else _decode_response(response),
            str(decoded.get("reason", "")),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _encode_response(response: StoredResponse) -> dict[str, object]:
    body = None if response.body is None else base64.b64encode(response.body).decode()
    return {
        "status": response.status,
        "headers": [list(pair) for pair in response.headers],
        "body": body,
        "object": response.object_key,
    }


def _decode_response(decoded: dict[str, object]) -> StoredResponse:
    body = decoded["body"]
    headers = decoded["headers"]
    assert isinstance(headers, list)
    return StoredResponse(
        int(str(decoded["status"])),
        tuple((str(name), str(value)) for name, value in headers),
        None if body is None else base64.b64decode(str(body)),
        str(decoded["object"]),
    )

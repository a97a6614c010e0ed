"""Encode and decode messages between routers in Thrift's compact protocol."""

import zlib
from typing import TypeVar

from expression import Error, Ok, Result
from teaselledge_wire.gen.fleet.ttypes import (
    AdmissionReply,
    AdmissionRequest,
    OriginNote,
    OriginReply,
    OriginRequest,
    PartNote,
    PartReply,
    PartRequest,
    PeerMessage,
    Pulse,
    WholeState,
    WorkReport,
)
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

__all__ = [
    "PROTOCOL",
    "Datagram",
    "decode_datagram",
    "decode_state",
    "encode_datagram",
    "encode_state",
]

PROTOCOL = 2
"""Version of the message format."""

MAX_STATE_BYTES = 32 << 20

_PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(fallback=True)

MessageT = TypeVar("MessageT", PeerMessage, WholeState)

Datagram = (
    Pulse
    | WorkReport
    | AdmissionRequest
    | AdmissionReply
    | PartRequest
    | PartReply
    | PartNote
    | OriginNote
    | OriginRequest
    | OriginReply
)
"""Payload of a datagram."""

_DATAGRAM_FIELDS: dict[type, str] = {
    Pulse: "pulse",
    WorkReport: "report",
    AdmissionRequest: "request",
    AdmissionReply: "reply",
    PartRequest: "part_request",
    PartReply: "part_reply",
    PartNote: "part_note",
    OriginNote: "origin_note",
    OriginRequest: "origin_request",
    OriginReply: "origin_reply",
}


def encode_datagram(payload: Datagram) -> bytes:
    """Encode a datagram with a payload."""
    field = _DATAGRAM_FIELDS[type(payload)]
    return _encode(PeerMessage(protocol=PROTOCOL, **{field: payload}))


def decode_datagram(data: bytes) -> Result[Datagram, str]:
    """Return the payload of a datagram, or why it is invalid."""
    decoded = _decode(PeerMessage(), data)
    if decoded.is_error():
        return Error(decoded.error)
    message = decoded.ok
    for field in _DATAGRAM_FIELDS.values():
        payload: Datagram | None = getattr(message, field)
        if payload is not None:
            return _validate(payload)
    return Error("datagram without a known payload")


def encode_state(state: WholeState) -> bytes:
    """Encode and compress a snapshot."""
    return zlib.compress(_encode(state), 1)


def decode_state(data: bytes) -> Result[WholeState, str]:
    """Decode a compressed snapshot."""
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(data, MAX_STATE_BYTES)
    except zlib.error as error:
        return Error(str(error))
    if not inflater.eof:
        return Error("snapshot truncated or too large")
    decoded = _decode(WholeState(), inflated)
    if decoded.is_ok() and not _has_sender(decoded.ok):
        return Error("no sender")
    return decoded


def _validate(payload: Datagram) -> Result[Datagram, str]:
    if isinstance(payload, Pulse) and not _has_sender(payload):
        return Error("no sender")
    return Ok(payload)


def _has_sender(message: Pulse | WholeState) -> bool:
    return message.sender is not None and bool(message.sender.vm)


def _encode(message: PeerMessage | WholeState) -> bytes:
    transport = TTransport.TMemoryBuffer()
    message.write(_PROTOCOL_FACTORY.getProtocol(transport))
    return transport.getvalue()


def _decode(message: MessageT, data: bytes) -> Result[MessageT, str]:
    try:
        message.read(_PROTOCOL_FACTORY.getProtocol(TTransport.TMemoryBuffer(data)))
    except Exception as error:
        # Thrift raises many types of exception for malformed bytes
        return Error(repr(error))
    if message.protocol != PROTOCOL:
        return Error(f"unsupported protocol version {message.protocol}")
    return Ok(message)

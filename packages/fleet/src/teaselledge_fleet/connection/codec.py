"""Encode and decode messages between routers, by thrift's compact protocol."""

import zlib
from typing import TypeVar

from expression import Error, Ok, Result
from teaselledge_wire.gen.fleet.ttypes import Pulse, WholeState
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

__all__ = ["PROTOCOL", "decode_pulse", "decode_state", "encode_pulse", "encode_state"]

PROTOCOL = 1
"""Version of the messages."""

MAX_STATE_BYTES = 32 << 20

_factory = TCompactProtocol.TCompactProtocolAcceleratedFactory(fallback=True)

MessageT = TypeVar("MessageT", Pulse, WholeState)


def encode_pulse(pulse: Pulse) -> bytes:
    """Encode a pulse for one datagram."""
    return _encode(pulse)


def decode_pulse(data: bytes) -> Result[Pulse, str]:
    """Decode a datagram."""
    return _decode(Pulse(), data)


def encode_state(state: WholeState) -> bytes:
    """Encode a whole state, compressed."""
    return zlib.compress(_encode(state), 1)


def decode_state(data: bytes) -> Result[WholeState, str]:
    """Decode a whole state."""
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, MAX_STATE_BYTES)
    except zlib.error as error:
        return Error(str(error))
    if not inflater.eof:
        return Error("truncated or too large")
    return _decode(WholeState(), plain)


def _encode(message: Pulse | WholeState) -> bytes:
    transport = TTransport.TMemoryBuffer()
    message.write(_factory.getProtocol(transport))
    return transport.getvalue()


def _decode(message: MessageT, data: bytes) -> Result[MessageT, str]:
    try:
        message.read(_factory.getProtocol(TTransport.TMemoryBuffer(data)))
    except Exception as error:
        # the library raises errors of many kinds on malformed bytes
        return Error(repr(error))
    if message.protocol != PROTOCOL or message.sender is None:
        return Error(f"protocol {message.protocol}")
    if not message.sender.vm:
        return Error("no sender")
    return Ok(message)

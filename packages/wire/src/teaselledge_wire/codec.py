"""Encode and decode envelopes in Thrift's compact protocol."""

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from teaselledge_wire.gen.router.ttypes import Envelope, Message

__all__ = ["PROTOCOL", "CodecError", "decode", "encode"]

PROTOCOL = 1
"""Protocol version that this release sends."""

MIN_PROTOCOL = 1
"""Lowest protocol version that this release accepts."""

_factory = TCompactProtocol.TCompactProtocolAcceleratedFactory(fallback=True)


class CodecError(Exception):
    """The bytes are not an envelope of a supported protocol version."""


def encode(messages: list[Message], incarnation: int) -> bytes:
    """Encode messages as one envelope.

    Parameters
    ----------
    messages : list of Message
        The messages, in order.
    incarnation : int
        Incarnation of the sending process.

    Returns
    -------
    bytes
        The encoded envelope, without the frame header.
    """
    envelope = Envelope(PROTOCOL, incarnation, messages)
    transport = TTransport.TMemoryBuffer()
    envelope.write(_factory.getProtocol(transport))
    return transport.getvalue()


def decode(data: bytes) -> Envelope:
    """Decode one envelope.

    Parameters
    ----------
    data : bytes
        The content of one frame.

    Returns
    -------
    Envelope
        The envelope, with all required fields.

    Raises
    ------
    CodecError
        If the bytes are malformed or of an unsupported version.
    """
    envelope = Envelope()
    try:
        envelope.read(_factory.getProtocol(TTransport.TMemoryBuffer(data)))
    except Exception as error:
        # On malformed bytes the Thrift reader raises exceptions of many kinds
        # (EOFError, TypeError, UnicodeDecodeError, MemoryError). The peer's
        # connection is closed in all cases.
        raise CodecError(f"malformed envelope: {error!r}") from error
    if envelope.protocol is None or envelope.protocol < MIN_PROTOCOL:
        raise CodecError(f"unsupported protocol version {envelope.protocol!r}")
    if envelope.messages is None or envelope.incarnation is None:
        raise CodecError("envelope lacks its messages or incarnation")
    return envelope

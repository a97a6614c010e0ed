"""Frames on a byte stream: a four-byte length, then the envelope."""

import struct
from collections.abc import Awaitable
from typing import Protocol

__all__ = ["MAX_FRAME", "FrameError", "pack", "read_frame"]

MAX_FRAME = 4 * 1024 * 1024
"""Maximum size of a frame's content in bytes."""

_HEADER = struct.Struct(">I")


class FrameError(Exception):
    """The content of a frame is empty or larger than `MAX_FRAME`."""


class ByteSource(Protocol):
    """The method of a Tornado stream that `read_frame` uses."""

    def read_bytes(self, num_bytes: int) -> Awaitable[bytes]:
        """Read exactly ``num_bytes`` bytes."""


def pack(content: bytes) -> bytes:
    """Return the content preceded by its frame header.

    Raises
    ------
    FrameError
        If the content is larger than `MAX_FRAME`.
    """
    if len(content) > MAX_FRAME:
        raise FrameError(
            f"frame of {len(content)} bytes exceeds the maximum of {MAX_FRAME}"
        )
    return _HEADER.pack(len(content)) + content


async def read_frame(source: ByteSource) -> bytes:
    """Read the content of the next frame.

    Raises
    ------
    FrameError
        If the length in the header is 0 or larger than `MAX_FRAME`.
    """
    header = await source.read_bytes(_HEADER.size)
    (length,) = _HEADER.unpack(header)
    if not 0 < length <= MAX_FRAME:
        raise FrameError(
            f"frame header gives a length of {length} bytes, not 1 to {MAX_FRAME}"
        )
    return await source.read_bytes(length)

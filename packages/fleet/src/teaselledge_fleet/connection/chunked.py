"""Decoder of bodies with the transfer coding ``chunked`` (RFC 9112, section 7.1)."""

import re
from enum import Enum, auto

from teaselledge_fleet.connection.invalidresponse import InvalidResponseError
from teaselledge_fleet.connection.responselimits import (
    MAX_CHUNK_EXTENSION_BYTES,
    MAX_CHUNK_LINE_BYTES,
    MAX_TRAILER_BYTES,
)

__all__ = ["ChunkedBody"]

_TOKEN = rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]+"
_QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'
CHUNK_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,16})(?:;%b(?:=(?:%b|%b))?)*\r\n" % (_TOKEN, _TOKEN, _QUOTED)
)
PLAIN_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")
TRAILER_LINE = re.compile(rb"%b:[\t\x20-\x7e\x80-\xff]*" % _TOKEN)
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
LINE_END = b"\r\n"
TRAILER_END = b"\r\n\r\n"


class _State(Enum):
    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILERS = auto()
    COMPLETE = auto()


class ChunkedBody:
    """Decodes a chunked body from consecutive reads of a connection."""

    def __init__(self) -> None:
        self._state = _State.SIZE
        self._remaining = 0
        self._extension_bytes = 0

    @property
    def complete(self) -> bool:
        """Whether the last chunk and the trailers were read."""
        return self._state is _State.COMPLETE

    def read(self, data: bytes, start: int) -> tuple[bytes, int]:
        """Return the content of all chunks in the data, and where the rest starts.

        Raises
        ------
        InvalidResponseError
            If a chunk is invalid; the chunks before it have been returned by then.
        """
        parts: list[bytes] = []
        try:
            while start < len(data) and self._state is not _State.COMPLETE:
                before = start
                if self._state is _State.SIZE:
                    start = _read_whole_chunks(data, start, parts)
                if start < len(data):
                    start = self._read_step(data, start, parts)
                if start == before:
                    break
        except InvalidResponseError:
            # raised again by the next call, which starts at the invalid chunk
            if not parts:
                raise
        return parts[0] if len(parts) == 1 else b"".join(parts), start

    def _read_step(self, data: bytes, start: int, parts: list[bytes]) -> int:
        """Read the next element, and return its end; `start` if it is not complete."""
        if self._state is _State.SIZE:
            return self._read_size(data, start)
        if self._state is _State.DATA:
            part = data[start : start + self._remaining]
            parts.append(part)
            self._remaining -= len(part)
            if not self._remaining:
                self._state = _State.DATA_END
            return start + len(part)
        if self._state is _State.DATA_END:
            return self._read_data_end(data, start)
        return self._read_trailers(data, start)

    def _read_size(self, data: bytes, start: int) -> int:
        line = CHUNK_LINE.match(data, start)
        end = line.end() if line is not None else len(data)
        if end - start > MAX_CHUNK_LINE_BYTES:
            raise InvalidResponseError(f"chunk line over {MAX_CHUNK_LINE_BYTES} bytes")
        if line is None:
            if data.find(b"\n", start) >= 0:
                raise InvalidResponseError("invalid chunk line")
            return start
        self._extension_bytes += end - line.end(1) - len(LINE_END)
        if self._extension_bytes > MAX_CHUNK_EXTENSION_BYTES:
            raise InvalidResponseError(
                f"chunk extensions over {MAX_CHUNK_EXTENSION_BYTES} bytes"
            )
        self._remaining = int(line[1], 16)
        self._state = _State.DATA if self._remaining else _State.TRAILERS
        return end

    def _read_data_end(self, data: bytes, start: int) -> int:
        received = data[start : start + len(LINE_END)]
        if not LINE_END.startswith(received):
            raise InvalidResponseError("a chunk is longer than its size")
        if len(received) < len(LINE_END):
            return start
        self._state = _State.SIZE
        return start + len(LINE_END)

    def _read_trailers(self, data: bytes, start: int) -> int:
        if data.startswith(LINE_END, start):
            self._state = _State.COMPLETE
            return start + len(LINE_END)
        found = data.find(TRAILER_END, start)
        end = found + len(TRAILER_END) if found >= 0 else len(data)
        if end - start > MAX_TRAILER_BYTES:
            raise InvalidResponseError(f"trailers over {MAX_TRAILER_BYTES} bytes")
        if found < 0:
            if BARE_LINE_FEED.search(data, start):
                raise InvalidResponseError("line feed without carriage return")
            return start
        for line in data[start:found].split(LINE_END):
            if not TRAILER_LINE.fullmatch(line):
                raise InvalidResponseError("invalid trailer")
        self._state = _State.COMPLETE
        return end


def _read_whole_chunks(data: bytes, start: int, parts: list[bytes]) -> int:
    """Read complete chunks without extensions, and return where the rest starts.

    Nearly all chunks are of this kind: a read mostly brings one event in one chunk.
    """
    line = PLAIN_CHUNK_LINE.match(data, start)
    while line is not None:
        content_start = line.end()
        content_end = content_start + int(line[1], 16)
        if content_end == content_start or not data.startswith(LINE_END, content_end):
            break
        parts.append(data[content_start:content_end])
        start = content_end + len(LINE_END)
        line = PLAIN_CHUNK_LINE.match(data, start)
    return start

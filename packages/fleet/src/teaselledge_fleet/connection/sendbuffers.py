"""Accounting of the bytes that a router holds for peers that read slowly.

Addresses callers, relays and endpoints that take their bytes more slowly than the
router gets them. The accounting knows the unsent bytes of each connection that the
kernel did not take at once, and nothing of sockets. It decides which connection ends
when all of them together exceed the limit of the process. A write that fits into the
kernel's buffer, which is the usual case, is not recorded at all.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from teaselledge_fleet.log import get_log

__all__ = ["EndCause", "Reader", "SendBuffer", "SendBufferLimits", "SendBuffers"]

_log = get_log("sendbuffers")

TOTAL_FRACTION = 1 / 8
"""Fraction of the process's memory for unsent bytes: 20 MB of the 160 MB of the
smallest router."""

CONNECTION_FRACTION = 1 / 640
"""The same for one connection: 256 KB of 160 MB, over 100 times the stream of 25 events
of 65 bytes that an engine sends for a request."""

DEFAULT_MEMORY_BYTES = 256 << 20
"""Memory of a process whose settings name no limit."""

MIN_CONNECTION_BYTES = 64 << 10
"""One read from an endpoint; with less, each read would apply back pressure."""


class Reader(Enum):
    """The peer that reads slowly. The values are labels of a metric."""

    CALLER = "caller"
    ENDPOINT = "endpoint"
    RELAY = "relay"


class EndCause(Enum):
    """Why a connection to a slow reader was closed. The values are labels."""

    TIMEOUT = "timeout"
    """A write, or the end of the response, took too long."""

    STALLED = "stalled"
    """The connection's buffer stayed full until the endpoint would cut off the
    response."""

    TOTAL = "total"
    """It held the most when all connections together exceeded the limit."""


@dataclass(frozen=True)
class SendBufferLimits:
    """Limits on bytes that peers have not read.

    Attributes
    ----------
    connection_bytes : int
        Unsent bytes of a stream beyond which no more is read from its endpoint.
    total_bytes : int
        Unsent bytes of all connections beyond which the largest one is closed.
    stall_seconds : float
        Time for which an endpoint may be kept from sending. It must be shorter than
        the time after which endpoints cut off a response that remains unread.
    """

    connection_bytes: int
    total_bytes: int
    stall_seconds: float = 2.0

    @classmethod
    def from_memory(
        cls, memory_bytes: int = DEFAULT_MEMORY_BYTES
    ) -> "SendBufferLimits":
        """Return the limits for a process that may use some memory."""
        return cls(
            max(MIN_CONNECTION_BYTES, int(memory_bytes * CONNECTION_FRACTION)),
            int(memory_bytes * TOTAL_FRACTION),
        )


class SendBuffer:
    """Unsent bytes of one connection.

    Parameters
    ----------
    buffers : SendBuffers
        Accounting of the process.
    reader : Reader
        Kind of peer.
    peer : str
        Its address, for the log; empty if unknown.
    on_excess : callable
        Closes the connection at once, and discards its unsent bytes.
    """

    __slots__ = ("_buffers", "on_excess", "peer", "reader", "size")

    def __init__(
        self,
        buffers: "SendBuffers",
        reader: Reader,
        peer: str,
        on_excess: Callable[[], None],
    ) -> None:
        self._buffers = buffers
        self.reader = reader
        self.peer = peer
        self.on_excess = on_excess
        self.size = 0

    def resize(self, size: int) -> None:
        """Set the number of unsent bytes; may close this or another connection."""
        self._buffers.resize(self, size)

    def release(self) -> None:
        """Record that nothing is unsent any more."""
        self._buffers.resize(self, 0)


class SendBuffers:
    """Unsent bytes of all connections of the process.

    Parameters
    ----------
    limits : SendBufferLimits
        Limits of one connection and of all.

    Attributes
    ----------
    limits : SendBufferLimits
        The same.
    total : int
        Unsent bytes now.
    peak : int
        Maximum of the total so far.
    ended : Counter of (Reader, EndCause)
        Number of connections closed so far.
    """

    def __init__(self, limits: SendBufferLimits) -> None:
        self.limits = limits
        self.total = 0
        self.peak = 0
        self.ended: Counter[tuple[Reader, EndCause]] = Counter()
        self._holding: set[SendBuffer] = set()

    @property
    def count(self) -> int:
        """Number of connections with unsent bytes."""
        return len(self._holding)

    def open(
        self, reader: Reader, peer: str, on_excess: Callable[[], None]
    ) -> SendBuffer:
        """Return an empty buffer of a connection."""
        return SendBuffer(self, reader, peer, on_excess)

    def resize(self, buffer: SendBuffer, size: int) -> None:
        """Set the number of unsent bytes of a connection."""
        growth = size - buffer.size
        if not growth:
            return
        buffer.size = size
        self.total += growth
        if not size:
            self._holding.discard(buffer)
            return
        self._holding.add(buffer)
        if growth > 0:
            self._end_largest()
            self.peak = max(self.peak, self.total)

    def record_end(self, buffer: SendBuffer, cause: EndCause) -> None:
        """Count and log a connection that is closed because its peer reads slowly."""
        self.ended[buffer.reader, cause] += 1
        _log.info(
            "slow reader disconnected",
            reader=buffer.reader.value,
            peer=buffer.peer,
            cause=cause.value,
            unsent=buffer.size,
            total=self.total,
            holding=self.count,
        )

    def _end_largest(self) -> None:
        """Close the connections that hold the most until the rest is in the limit."""
        while self.total > self.limits.total_bytes:
            largest = max(self._holding, key=lambda buffer: buffer.size)
            self.record_end(largest, EndCause.TOTAL)
            largest.release()
            largest.on_excess()

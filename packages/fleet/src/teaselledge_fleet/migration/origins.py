"""Which service and version began a stream, and how that is found."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import xxhash

__all__ = [
    "NotFound",
    "OriginTable",
    "StreamOrigin",
    "stream_key",
]

RETENTION_SECONDS = 60.0
"""Time after its first event for which the origin of a stream is kept. Callers take a
stream up before its deadline."""

MAX_ORIGINS = 16384
"""Maximum number of streams whose origins are kept, some 3 MB."""


@dataclass(frozen=True)
class StreamOrigin:
    """What began a stream.

    Attributes
    ----------
    service : str
        Name of the service.
    version : str
        Software version of the engine; empty if engines don't announce any.
    """

    service: str
    version: str


class NotFound(Enum):
    """Why the origin of a stream is not known."""

    UNKNOWN = auto()
    """No router that would know it does."""

    UNANSWERED = auto()
    """A router that may know it gave no answer."""


def stream_key(organisation: str, request_id: str) -> int:
    """Return the key of a stream by the attempt that received its first event."""
    text = f"{organisation}\0{request_id}"
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogateescape")) >> 1


class OriginTable:
    """Origins of the streams that this router began or keeps for others.

    Parameters
    ----------
    clock : callable, optional
        Returns the loop time.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self._clock = clock or (lambda: asyncio.get_running_loop().time())
        self._origins: OrderedDict[int, tuple[float, StreamOrigin | None]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, key: int, origin: StreamOrigin) -> None:
        """Record what began a stream; two records that differ cancel each other."""
        known = self._find(key)
        conflicting = known is not None and known[1] != origin
        self._origins[key] = self._clock(), None if conflicting else origin
        self._origins.move_to_end(key)
        while len(self._origins) > MAX_ORIGINS or self._is_expired(
            next(iter(self._origins.values()))
        ):
            self._origins.popitem(last=False)

    def get(self, key: int) -> StreamOrigin | None:
        """Return what began a stream, None if that is unknown or contradictory."""
        known = self._find(key)
        return known[1] if known is not None else None

    def pop_all(self) -> list[tuple[int, StreamOrigin]]:
        """Remove all origins, and return those that have not expired."""
        origins = [
            (key, known[1])
            for key, known in self._origins.items()
            if known[1] is not None and not self._is_expired(known)
        ]
        self._origins.clear()
        return origins

    def _find(self, key: int) -> tuple[float, StreamOrigin | None] | None:
        known = self._origins.get(key)
        return None if known is None or self._is_expired(known) else known

    def _is_expired(self, known: tuple[float, StreamOrigin | None]) -> bool:
        return self._clock() - known[0] > RETENTION_SECONDS

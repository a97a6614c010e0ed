"""Meters for the cost of a request."""

import asyncio
from typing import Protocol

__all__ = ["METERS", "Meter", "MeterNotFoundError", "get_meter_by_name"]


class Meter(Protocol):
    """Counts what one request costs."""

    @property
    def cost(self) -> float:
        """Cost so far, in the service's unit."""

    def observe(self, chunk: bytes) -> None:
        """Count a part of the answer."""


class MeterNotFoundError(LookupError):
    """There is no meter of that name."""


class SecondsMeter:
    """Counts the seconds for which a slot is held."""

    def __init__(self) -> None:
        self._start = asyncio.get_running_loop().time()

    @property
    def cost(self) -> float:
        """Seconds so far."""
        return asyncio.get_running_loop().time() - self._start

    def observe(self, chunk: bytes) -> None:
        """Count nothing; time is enough."""


class TokensMeter:
    """Counts the events of a server-sent stream, one a token."""

    MARK = b"data:"

    def __init__(self) -> None:
        self._events = 0
        self._tail = b""

    @property
    def cost(self) -> float:
        """Tokens so far."""
        return float(self._events)

    def observe(self, chunk: bytes) -> None:
        """Count events, also those split between two chunks."""
        text = self._tail + chunk
        self._events += text.count(self.MARK)
        keep = len(self.MARK) - 1
        self._tail = text[-keep:]


METERS: dict[str, type[SecondsMeter] | type[TokensMeter]] = {
    "seconds": SecondsMeter,
    "tokens": TokensMeter,
}


def get_meter_by_name(name: str) -> Meter:
    """Return a new meter.

    Raises
    ------
    MeterNotFoundError
        If no meter has that name.
    """
    found = METERS.get(name)
    if found is None:
        raise MeterNotFoundError(name)
    return found()

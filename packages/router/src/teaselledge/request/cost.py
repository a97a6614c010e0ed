"""Meters of the cost of a request."""

import asyncio
from typing import Protocol

__all__ = ["METERS", "Meter", "MeterNotFoundError", "get_meter_by_name"]


class Meter(Protocol):
    """Measures the cost of one request."""

    @property
    def cost(self) -> float:
        """Cost so far, in the service's unit."""

    def observe(self, chunk: bytes) -> None:
        """Process a chunk of the response."""


class MeterNotFoundError(LookupError):
    """Raised if no meter has the given name."""


class SecondsMeter:
    """Measures the seconds for which a slot is occupied."""

    def __init__(self) -> None:
        self._start = asyncio.get_running_loop().time()

    @property
    def cost(self) -> float:
        """Seconds so far."""
        return asyncio.get_running_loop().time() - self._start

    def observe(self, chunk: bytes) -> None:
        """Do nothing."""


class TokensMeter:
    """Counts the events of a server-sent event stream, one per token."""

    EVENT_MARK = b"data:"

    def __init__(self) -> None:
        self._events = 0
        self._tail = b""

    @property
    def cost(self) -> float:
        """Tokens so far."""
        return float(self._events)

    def observe(self, chunk: bytes) -> None:
        """Count events, including those split between two chunks."""
        text = self._tail + chunk
        self._events += text.count(self.EVENT_MARK)
        keep = len(self.EVENT_MARK) - 1
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
    meter_class = METERS.get(name)
    if meter_class is None:
        raise MeterNotFoundError(name)
    return meter_class()

"""Fault switches of the test doubles."""

from dataclasses import dataclass

__all__ = ["EndpointFaults", "StoreFaults"]


@dataclass
class StoreFaults:
    """Fault switches of a platform service.

    Attributes
    ----------
    down : bool
        Whether calls are refused and nothing is written.
    delay : float
        Seconds added to each call.
    lose_answers : int
        Number of next writes that take effect but whose responses are lost.
    late_writes : float
        Seconds until a write whose response was lost takes effect.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    late_writes: float = 0.0


@dataclass
class EndpointFaults:
    """Fault switches of an endpoint.

    Attributes
    ----------
    refuse : bool
        Whether new requests get status 503.
    slow : float
        Factor on all durations.
    drop_after_run : int
        Number of next requests that are executed but whose connection is dropped.
    break_after : int
        Bytes of a response after which the connection is dropped; -1 for never.
    break_times : int
        Number of next responses that break; -1 for all.
    garbage : int
        Number of next requests that get bytes that are not HTTP.
    """

    refuse: bool = False
    slow: float = 1.0
    drop_after_run: int = 0
    break_after: int = -1
    garbage: int = 0
    break_times: int = -1

    def next_break_offset(self) -> int:
        """Return the bytes after which the next response breaks; -1 for never."""
        if self.break_times == 0:
            return -1
        if self.break_after >= 0 and self.break_times > 0:
            self.break_times -= 1
        return self.break_after

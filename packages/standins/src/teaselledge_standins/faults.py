"""The fault switches of every stand-in, in one place."""

from dataclasses import dataclass

__all__ = ["EndpointFaults", "StoreFaults"]


@dataclass
class StoreFaults:
    """Faults of a platform service.

    Attributes
    ----------
    down : bool
        Calls are refused; nothing is written.
    delay : float
        Seconds added to each call.
    lose_answers : int
        So many of the next writes take effect, and their answers are lost.
    late_writes : float
        Seconds by which a write whose answer was lost takes effect late.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    late_writes: float = 0.0


@dataclass
class EndpointFaults:
    """Faults of an endpoint.

    Attributes
    ----------
    refuse : bool
        New requests get status 503.
    slow : float
        Factor on all durations.
    drop_after_run : int
        So many of the next requests run, and their connection is dropped.
    break_after : int
        Bytes of an answer after which the connection is dropped; -1 never.
    break_times : int
        So many of the next answers break; -1 all.
    garbage : int
        So many of the next requests are answered with bytes that are no HTTP.
    """

    refuse: bool = False
    slow: float = 1.0
    drop_after_run: int = 0
    break_after: int = -1
    garbage: int = 0
    break_times: int = -1

    def next_break_offset(self) -> int:
        """Return the bytes after which the next answer breaks; -1 never."""
        if self.break_times == 0:
            return -1
        if self.break_after >= 0 and self.break_times > 0:
            self.break_times -= 1
        return self.break_after

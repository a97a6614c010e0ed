"""Settings of the queue in front of the engines."""

from dataclasses import dataclass

__all__ = ["QueueSettings"]


@dataclass(frozen=True)
class QueueSettings:
    """Settings of the queue in front of the engines.

    Attributes
    ----------
    target_backlog : float
        Backlog of an engine, in seconds of prefill, up to which its next place is
        granted: the longest path from a grant to the engine, 40 ms between regions, and
        a part of a prompt.
    report_interval : float
        Seconds within which a router reports the start of a response.
    max_engine_entries, max_sender_entries : int
        Entries that wait for one engine at its coordinator, and those of one router.
    max_requests, max_bytes : int
        Requests of this router that wait, and the bytes of their bodies.
    """

    target_backlog: float = 0.08
    report_interval: float = 0.02
    max_engine_entries: int = 64
    max_sender_entries: int = 16
    max_requests: int = 200
    max_bytes: int = 8 << 20

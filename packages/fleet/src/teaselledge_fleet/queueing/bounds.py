"""Bounds of the requests of one router that wait for places."""

from teaselledge_fleet.queueing.settings import QueueSettings

__all__ = ["WaitingBounds"]


class WaitingBounds:
    """Counts waiting requests and the bytes of their bodies.

    Parameters
    ----------
    settings : QueueSettings
        Its maximum numbers of requests and bytes.

    Attributes
    ----------
    requests, bytes : int
        Requests that wait, and the size of their bodies.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self.requests = 0
        self.bytes = 0

    def has_room(self, size: int) -> bool:
        """Whether one more request with a body of some size may wait."""
        return (
            self.requests < self._settings.max_requests
            and self.bytes + size <= self._settings.max_bytes
        )

    def add(self, size: int) -> None:
        """Count a request that waits."""
        self.requests += 1
        self.bytes += size

    def remove(self, size: int) -> None:
        """Stop counting a request."""
        self.requests -= 1
        self.bytes -= size

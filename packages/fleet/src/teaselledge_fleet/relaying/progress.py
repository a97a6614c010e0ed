"""How far a relayed request has come, and when it has to be ended here."""

import math

from teaselledge_fleet.relaying.timelimits import (
    END_OF_HEAD,
    TimeLimit,
    TimeLimitSource,
)

__all__ = ["RequestProgress"]

LATE_SECONDS = 0.1
"""Time after a request's limit at which the other router's answer counts as missing. It
keeps the same limit, and its answer takes a moment to arrive."""

CHECK_SECONDS = 0.1
"""Interval at which a late request is looked at again whose head is not complete, or
whose response is still being sent."""

MAX_HEAD_BYTES = 1 << 15
"""Bytes kept of a request until its time limit is known; heads have up to 16 KB."""


class RequestProgress:
    """Progress of the request on one relayed connection. All times are loop times.

    The head is read only if the shortest limit of all routes has passed: most requests
    have ended by then, and a busy router has little time for each.

    Parameters
    ----------
    limits : TimeLimitSource
        Knows the time limits of requests.
    """

    def __init__(self, limits: TimeLimitSource) -> None:
        self._limits = limits
        self._head: bytes | None = b""
        """What has arrived of the request, None once its time limit is known."""
        self._head_at: float | None = None
        self._limit: TimeLimit | None = None
        self._responded_at: float | None = None
        """Time at which the response last made progress."""

    @property
    def responded(self) -> bool:
        """Whether the response has begun."""
        return self._responded_at is not None

    @property
    def late_response(self) -> bytes | None:
        """The response to a request that is late; None if one has begun."""
        if self.responded or self._limit is None:
            return None
        return self._limit.response

    def record_request(self, data: bytes, now: float) -> None:
        """Record bytes of the request."""
        if self._head is None or len(self._head) >= MAX_HEAD_BYTES:
            return
        self._head += data[:MAX_HEAD_BYTES]
        if self._head_at is None:
            self._head_at = now

    def record_response(self, now: float) -> None:
        """Record that bytes of the response have arrived."""
        self._responded_at = now

    def record_drained(self, now: float) -> None:
        """Record that the caller has read everything; the router may send more."""
        if self.responded:
            self._responded_at = now

    def late_at(self, now: float, caller_reads_slowly: bool) -> float:
        """Return when the request may have to be ended; infinite without a limit.

        Parameters
        ----------
        now : float
            The time.
        caller_reads_slowly : bool
            Whether bytes of the response wait for the caller.
        """
        shortest = self._limits.shortest
        if shortest is None:
            return math.inf
        if self._head_at is None:
            return now + shortest
        if now < self._head_at + shortest:
            return self._head_at + shortest
        if self._head is not None:
            if END_OF_HEAD not in self._head:
                return now + CHECK_SECONDS
            self._limit = self._limits.find(self._head)
            self._head = None
        if self._limit is None:
            return math.inf
        late_at = self._head_at + self._limit.seconds + LATE_SECONDS
        if self._responded_at is None:
            return late_at
        if caller_reads_slowly:
            return max(late_at, now + CHECK_SECONDS)
        return max(late_at, self._responded_at + LATE_SECONDS)

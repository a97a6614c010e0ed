"""Limit the memory that request bodies take in one router."""

from expression import Error, Ok, Result

from teaselledge.errors import ErrorKind, Fault

__all__ = ["BodyBudget", "BodyReservation"]


class BodyReservation:
    """Bytes reserved for one request, released together at its end."""

    def __init__(self, budget: "BodyBudget") -> None:
        self._budget = budget
        self._bytes = 0

    def grow(self, size: int) -> Result[None, Fault]:
        """Reserve additional bytes."""
        result = self._budget.acquire(size)
        if result.is_ok():
            self._bytes += size
        return result

    def release(self) -> None:
        """Release all reserved bytes."""
        self._budget.release(self._bytes)
        self._bytes = 0


class BodyBudget:
    """Counts the bytes reserved for all request bodies.

    Without it, many bodies under the limit per request could fill the memory of the
    VM, and the process would be killed with all its requests.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._reserved = 0

    @property
    def reserved_bytes(self) -> int:
        """Number of bytes currently reserved."""
        return self._reserved

    def reserve(self) -> BodyReservation:
        """Return an empty reservation."""
        return BodyReservation(self)

    def acquire(self, size: int) -> Result[None, Fault]:
        """Reserve bytes; fail if they exceed the limit."""
        if self._reserved + size > self._limit:
            return Error(
                Fault(
                    ErrorKind.ROUTER_FULL, detail="memory for request bodies exhausted"
                )
            )
        self._reserved += size
        return Ok(None)

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self._reserved -= size

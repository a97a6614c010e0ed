"""Bound the memory that callers' bodies take in one router."""

from expression import Error, Ok, Result

from teaselledge.errors import ErrorKind, Fault

__all__ = ["BodyBudget", "BodyReservation"]


class BodyReservation:
    """The bytes that one request holds; released once, at its end."""

    def __init__(self, budget: "BodyBudget") -> None:
        self._budget = budget
        self._bytes = 0

    def grow(self, size: int) -> Result[None, Fault]:
        """Reserve so many more bytes."""
        result = self._budget.acquire(size)
        if result.is_ok():
            self._bytes += size
        return result

    def release(self) -> None:
        """Give all bytes back."""
        self._budget.release(self._bytes)
        self._bytes = 0


class BodyBudget:
    """Counts the bytes of all bodies that are held.

    Without it, many callers with bodies under the limit fill the memory of
    the VM, and the process is killed with every request in it.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held = 0

    @property
    def reserved_bytes(self) -> int:
        """Bytes held now."""
        return self._held

    def reserve(self) -> BodyReservation:
        """Return a reservation of no bytes yet."""
        return BodyReservation(self)

    def acquire(self, size: int) -> Result[None, Fault]:
        """Take bytes, or tell that the router is full."""
        if self._held + size > self._limit:
            return Error(Fault(ErrorKind.ROUTER_FULL, detail="bodies fill the memory"))
        self._held += size
        return Ok(None)

    def release(self, size: int) -> None:
        """Return bytes."""
        self._held -= size

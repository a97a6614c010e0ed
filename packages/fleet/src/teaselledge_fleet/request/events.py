"""Split a stream of events at their edges."""

import re

__all__ = ["EventSplitter"]

EVENT_BOUNDARY = re.compile(rb"\r?\n\r?\n")
"""A blank line ends an event (HTML standard, section 9.2.5)."""


class EventSplitter:
    """Holds back the beginning of an event until the rest of it is there.

    An engine that stops in the middle of an event would leave half of it with the
    caller, and the event would come twice when another engine continues the
    stream. So only whole events are passed on.
    """

    def __init__(self) -> None:
        self._held = b""
        self._last_id: str | None = None

    @property
    def last_id(self) -> str | None:
        """Id of the last whole event."""
        return self._last_id

    @property
    def has_partial_event(self) -> bool:
        """Whether a part of an event is held."""
        return bool(self._held.strip())

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events."""
        held = self._held + data
        end = 0
        for edge in EVENT_BOUNDARY.finditer(held):
            self._note(held[end : edge.end()])
            end = edge.end()
        self._held = held[end:]
        return held[:end]

    def discard_partial_event(self) -> None:
        """Forget the event that was not completed."""
        self._held = b""

    def _note(self, event: bytes) -> None:
        for line in event.splitlines():
            if line.startswith(b"id:"):
                self._last_id = line[3:].strip().decode("latin1")

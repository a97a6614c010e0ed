"""Split a stream of server-sent events at event boundaries."""

import re

from teaselledge_fleet.connection.responselimits import (
    MAX_EVENT_BYTES,
    MAX_SHORT_EVENTS,
    MIN_EVENT_BYTES,
)

__all__ = ["EventSplitter"]

EVENT_BOUNDARY = re.compile(rb"\r?\n\r?\n")
"""A blank line ends an event (HTML standard, section 9.2.5)."""

BLANK_LINES = (b"\n\n", b"\n\r\n")
"""The ends of all event boundaries."""

MAX_BOUNDARY_BYTES = 4
ID_FIELD = b"\nid:"


class EventSplitter:
    """Buffers a partial event until the rest of it arrives.

    Only complete events are forwarded. An engine may stop in the middle of an event:
    the caller would get half of it, and then the whole event again from the engine
    that resumes the stream.
    """

    def __init__(self) -> None:
        self._partial = b""
        self._last_id: str | None = None
        self._oversized = False
        self._event_count = 0
        self._byte_count = 0

    @property
    def last_id(self) -> str | None:
        """Id of the last complete event."""
        return self._last_id

    @property
    def has_partial_event(self) -> bool:
        """Whether a partial event is buffered."""
        return bool(self._partial.strip())

    @property
    def oversized(self) -> bool:
        """Whether an event is longer than `MAX_EVENT_BYTES`; it is not returned."""
        return self._oversized

    @property
    def flooded(self) -> bool:
        """Whether there are very many events that are too short for any content."""
        return (
            self._event_count > MAX_SHORT_EVENTS
            and self._byte_count < self._event_count * MIN_EVENT_BYTES
        )

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now complete.

        The time depends on the bytes only, not on the number of events: a faulty
        endpoint sends thousands of empty ones at a time.
        """
        buffered = self._partial + data
        if len(buffered) > MAX_EVENT_BYTES:
            end = self._find_end_of_short_events(buffered)
        else:
            end = max(_end_of_last(buffered, each) for each in BLANK_LINES)
        events = buffered[:end]
        self._event_count += sum(map(events.count, BLANK_LINES))
        self._byte_count += len(events)
        self._partial = buffered[end:]
        self._oversized = len(self._partial) > MAX_EVENT_BYTES
        if self.flooded:
            return b""
        self._record_id(events)
        return events

    def discard_partial_event(self) -> None:
        """Discard the event that was not completed, and begin to count again."""
        self._partial = b""
        self._oversized = False
        self._event_count = self._byte_count = 0

    def _find_end_of_short_events(self, buffered: bytes) -> int:
        """Return the end of the last event before one that is too long."""
        searched = max(0, len(self._partial) - MAX_BOUNDARY_BYTES + 1)
        end = 0
        for boundary in EVENT_BOUNDARY.finditer(buffered, searched):
            if boundary.end() - end > MAX_EVENT_BYTES:
                break
            end = boundary.end()
        return end

    def _record_id(self, events: bytes) -> None:
        """Record the id of the last event that has one."""
        found = events.rfind(ID_FIELD)
        if found >= 0:
            start = found + len(ID_FIELD)
        elif events.startswith(ID_FIELD[1:]):
            start = len(ID_FIELD) - 1
        else:
            return
        line = events[start : events.index(b"\n", start)]
        self._last_id = line.strip().decode("latin1")


def _end_of_last(data: bytes, part: bytes) -> int:
    """Return where the last occurrence of a part ends, 0 if there is none."""
    found = data.rfind(part)
    return found + len(part) if found >= 0 else 0

"""Limits on what an endpoint may send for one request.

A faulty endpoint sends bytes at full speed until its connection is closed: heads
without end, the body of another response, an event that never ends. Beyond a limit the
connection is closed and the attempt has failed. Each limit is several times what a
legitimate response needs: bodies of plain services have some KB, events 65 bytes to
some KB.
"""

__all__ = [
    "MAX_BUFFERED_BYTES",
    "MAX_CHUNK_EXTENSION_BYTES",
    "MAX_CHUNK_LINE_BYTES",
    "MAX_EVENT_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_INCOMPLETE_SECONDS",
    "MAX_INFORMATIONAL_BYTES",
    "MAX_INFORMATIONAL_HEADS",
    "MAX_SHORT_EVENTS",
    "MAX_SKIPPED_BYTES",
    "MAX_SKIPPED_RESPONSES",
    "MAX_STREAM_BYTES",
    "MAX_TRAILER_BYTES",
    "MIN_EVENT_BYTES",
]

MAX_HEAD_BYTES = 64 * 1024
"""Heads of endpoints have some hundred bytes; servers accept 8 to 80 KiB by default."""

MAX_INFORMATIONAL_HEADS = 8
"""A response is preceded by at most one 100 and a few 102 or 103."""

MAX_INFORMATIONAL_BYTES = 16 * 1024
"""For all informational heads together; a 103 lists some links, in 1 or 2 KiB."""

MAX_CHUNK_LINE_BYTES = 1024
"""A size has up to 6 digits, and endpoints send no chunk extensions."""

MAX_CHUNK_EXTENSION_BYTES = 16 * 1024
"""For all chunk extensions of a body together."""

MAX_TRAILER_BYTES = 8 * 1024
"""Endpoints send no trailers; those in use elsewhere have some hundred bytes."""

MAX_SKIPPED_RESPONSES = 2
"""Responses to other requests that are skipped before a connection is closed."""

MAX_SKIPPED_BYTES = 256 * 1024
"""For all skipped bodies of an exchange: a stream of 1,000 events has 65 KB."""

MAX_BUFFERED_BYTES = 1024 * 1024
"""For a body that is buffered whole. The smallest router has 160 MB for all of its
requests, 36 of which can be at one plain service."""

MAX_EVENT_BYTES = 64 * 1024
"""For one event, complete or not."""

MIN_EVENT_BYTES = 8
MAX_SHORT_EVENTS = 1000
"""Beyond this number, events must have so many bytes at the mean. Those that engines
send have 65 bytes and more; a comment that keeps a connection open has 3, and comes
each few seconds."""

MAX_STREAM_BYTES = 16 * 1024 * 1024
"""For a whole stream: 16,000 events of 1 KB. It is not buffered; the limit ends a
stream that a faulty endpoint repeats until the deadline."""

MAX_INCOMPLETE_SECONDS = 3.0
"""Time in which a head, a chunk line, trailers, an event or a skipped response must end
after its first byte. Endpoints send each of them at once, so that only a lost packet
delays the rest: a connection without acknowledgement for 1.5 s is closed. Callers
abandon a stream after a gap of 2 to 4 s."""

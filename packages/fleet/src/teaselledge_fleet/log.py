"""Structured logs: one JSON object a line, rate-limited and non-blocking."""

import json
import os
import sys
import time
from collections import deque
from typing import Any

import loguru

__all__ = ["get_log", "start_logging"]

MAX_LINES_PER_SECOND = 200
"""Sustained rate at which a process writes lines.

A router is planned to serve 10 to 20 requests a second with at most three lines each;
ten times that is taken for a flood of failures.
"""

MAX_BURST_LINES = 400
MAX_PENDING_LINES = 2000
"""Lines buffered while the reader does not read, about 600 KB."""


def get_log(part: str) -> "loguru.Logger":
    """Return a logger that adds the name of a part of the router to its lines."""
    return loguru.logger.bind(part=part)


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    With a blocking descriptor, a log reader that stops reading would stop the router
    at its next line. Lines that can't be written immediately are buffered up to a
    limit. Lines beyond this limit or beyond the rate limit are dropped; the next line
    written reports how many.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._dropped_count = 0
        self._available_lines = float(MAX_BURST_LINES)
        self._refilled_at = time.monotonic()
        os.set_blocking(descriptor, False)

    def __call__(self, message: "loguru.Message") -> None:
        """Write a record of the logger, or drop it."""
        record = message.record
        urgent = record["level"].no >= loguru.logger.level("WARNING").no
        if not self._admit(urgent):
            self._dropped_count += 1
            return
        self._pending.append(_format_line(record, self._reset_dropped_count()))
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # the reader has closed its end, and there is no other place to log to
                self._pending.clear()
                return
            self._pending.popleft()
            if written < len(line):
                self._pending.appendleft(line[written:])
                return

    def _admit(self, urgent: bool) -> bool:
        if len(self._pending) >= MAX_PENDING_LINES:
            return False
        now = time.monotonic()
        refilled = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._available_lines = min(MAX_BURST_LINES, self._available_lines + refilled)
        self._refilled_at = now
        # half of the burst is reserved for warnings and errors
        reserve = 0.0 if urgent else MAX_BURST_LINES / 2
        if self._available_lines < reserve + 1:
            return False
        self._available_lines -= 1
        return True

    def _reset_dropped_count(self) -> int:
        dropped, self._dropped_count = self._dropped_count, 0
        return dropped


def _format_line(record: "loguru.Record", dropped: int) -> bytes:
    extra = dict(record["extra"])
    fields: dict[str, Any] = {
        "at": round(record["time"].timestamp(), 3),
        "level": record["level"].name.lower(),
        "part": extra.pop("part", "process"),
        "event": record["message"],
        **extra,
    }
    if record["exception"] is not None:
        fields["error"] = repr(record["exception"].value)
        fields["where"] = _traceback_lines(record["exception"].traceback)
    if dropped:
        fields["dropped_lines"] = dropped
    return json.dumps(fields, default=str).encode() + b"\n"


def _traceback_lines(traceback: Any) -> list[str]:
    """Return the file and line of each frame, without values of variables."""
    frames = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        frames.append(f"{os.path.basename(code.co_filename)}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return frames


def start_logging(level: str = "INFO") -> LineWriter:
    """Write logs to standard output, and return the writer."""
    writer = LineWriter(sys.stdout.fileno())
    loguru.logger.remove()
    loguru.logger.add(writer, level=level, diagnose=False, backtrace=False)
    return writer

"""Structured logs: one JSON object a line, bounded and never waited for."""

import json
import os
import sys
import time
from collections import deque
from typing import Any

import loguru

__all__ = ["get_log", "start_logging"]

LINES_PER_SECOND = 200
"""Lines a second that a process writes in the long run.

A router of the sizes planned for serves 10 to 20 requests a second with at most
three lines each; ten times that stands for a flood of failures.
"""

BURST_LINES = 400
PENDING_LINES = 2000
"""Lines that wait for a reader that does not read; about 600 KB."""


def get_log(part: str) -> "loguru.Logger":
    """Return the log of one part, whose lines carry its name."""
    return loguru.logger.bind(part=part)


class LineWriter:
    """Writes lines to a file descriptor without ever waiting for its reader.

    A log reader that stops reading would stop the router at its next line. The
    descriptor is set to non-blocking, lines that it does not take are kept up to a
    bound, and what is beyond it, or beyond the rate, is dropped and counted. The
    count is told in the next line that goes out.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._dropped = 0
        self._allowance = float(BURST_LINES)
        self._filled = time.monotonic()
        os.set_blocking(descriptor, False)

    def __call__(self, message: "loguru.Message") -> None:
        """Take a record of the logger."""
        record = message.record
        urgent = record["level"].no >= loguru.logger.level("WARNING").no
        if not self._admit(urgent):
            self._dropped += 1
            return
        self._pending.append(_line(record, self._take_dropped()))
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # nobody can read it any more, and there is nowhere else to tell it
                self._pending.clear()
                return
            self._pending.popleft()
            if written < len(line):
                self._pending.appendleft(line[written:])
                return

    def _admit(self, urgent: bool) -> bool:
        if len(self._pending) >= PENDING_LINES:
            return False
        now = time.monotonic()
        gained = (now - self._filled) * LINES_PER_SECOND
        self._allowance = min(BURST_LINES, self._allowance + gained)
        self._filled = now
        # failures may use what ordinary lines must leave
        reserve = 0.0 if urgent else BURST_LINES / 2
        if self._allowance < reserve + 1:
            return False
        self._allowance -= 1
        return True

    def _take_dropped(self) -> int:
        dropped, self._dropped = self._dropped, 0
        return dropped


def _line(record: "loguru.Record", dropped: int) -> bytes:
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
        fields["where"] = _where(record["exception"].traceback)
    if dropped:
        fields["dropped_lines"] = dropped
    return json.dumps(fields, default=str).encode() + b"\n"


def _where(traceback: Any) -> list[str]:
    """Return file and line of each frame, without the values of variables."""
    frames = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        frames.append(f"{os.path.basename(code.co_filename)}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return frames


def start_logging(level: str = "INFO") -> LineWriter:
    """Send logs to standard output and return the writer."""
    writer = LineWriter(sys.stdout.fileno())
    loguru.logger.remove()
    loguru.logger.add(writer, level=level, diagnose=False, backtrace=False)
    return writer

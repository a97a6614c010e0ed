"""Find the log lines that belong to one request."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

__all__ = ["LogLine", "RequestLog", "read_request_log"]

MAX_DISTANCE_SECONDS = 5.0
"""Maximum distance in time between a log line of a request and a related event."""

RELATED_EVENTS = frozenset(
    {
        "configuration in force",
        "endpoint changed",
        "store lost",
        "store regained",
        "store was away",
        "router started",
        "router ready",
        "router stops",
        "router stopped",
        "requests cut",
    }
)
"""Events of a router that can be the cause of a request's failure."""


@dataclass(frozen=True)
class LogLine:
    """One line of a log.

    Attributes
    ----------
    source : str
        Last word before the JSON object on the line, usually the router; without
        one, the name of the file.
    fields : dict
        The decoded JSON object.
    """

    source: str
    fields: dict[str, Any]

    @property
    def at(self) -> float:
        """Unix time in seconds, 0 if missing; clocks of routers may differ."""
        value = self.fields.get("at")
        return float(value) if isinstance(value, int | float) else 0.0

    @property
    def event(self) -> str:
        """Name of the event."""
        return str(self.fields.get("event", ""))


@dataclass
class RequestLog:
    """Log lines that belong to a request.

    Attributes
    ----------
    lines : list of LogLine
        Lines with the request's id, in ascending order of time.
    related : list of LogLine
        Events at the same routers, close in time, that can be a cause.
    malformed_count : int
        Number of lines that could not be decoded.
    """

    lines: list[LogLine] = field(default_factory=list)
    related: list[LogLine] = field(default_factory=list)
    malformed_count: int = 0


def read_request_log(request: str, texts: Iterable[tuple[str, str]]) -> RequestLog:
    """Collect the log lines that belong to a request.

    Parameters
    ----------
    request : str
        Id of the request.
    texts : iterable of (str, str)
        Pairs of a source, such as a file name, and a line of text. If text precedes
        the first brace of a line, such as a time and the name of a router, its last
        word replaces the source.
    """
    request_log = RequestLog()
    candidates: list[LogLine] = []
    for source, text in texts:
        line = _decode(source, text)
        if line is None:
            request_log.malformed_count += bool(text.strip())
        elif line.fields.get("id") == request:
            request_log.lines.append(line)
        elif line.event in RELATED_EVENTS:
            candidates.append(line)
    request_log.lines.sort(key=lambda line: line.at)
    request_log.related = [
        line for line in candidates if _is_related(line, request_log.lines)
    ]
    return request_log


def _decode(source: str, text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    prefix = text[:start].split()
    return LogLine(prefix[-1] if prefix else source, fields)


def _is_related(event: LogLine, lines: list[LogLine]) -> bool:
    return any(
        event.source == line.source and abs(event.at - line.at) <= MAX_DISTANCE_SECONDS
        for line in lines
    )

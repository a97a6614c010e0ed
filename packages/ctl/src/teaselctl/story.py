"""Find what logs tell of one request."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Line", "Story", "read_story"]

MARGIN_SECONDS = 5.0
"""Time around a request in which changes of a router's belief are part of its story."""

BELIEFS = frozenset(
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
"""Events of a router that can be a cause."""


@dataclass(frozen=True)
class Line:
    """One line of a log.

    Attributes
    ----------
    source : str
        The file, or what stands before the line: usually the router.
    fields : dict
        The object on the line.
    """

    source: str
    fields: dict[str, Any]

    @property
    def at(self) -> float:
        """Unix time in seconds; clocks of routers may differ."""
        value = self.fields.get("at")
        return float(value) if isinstance(value, int | float) else 0.0

    @property
    def event(self) -> str:
        """What happened."""
        return str(self.fields.get("event", ""))


@dataclass
class Story:
    """What is known of a request.

    Attributes
    ----------
    lines : list of Line
        Its own lines, in order.
    around : list of Line
        Changes of belief at the same routers at that time.
    malformed : int
        Lines that could not be read.
    """

    lines: list[Line] = field(default_factory=list)
    around: list[Line] = field(default_factory=list)
    malformed: int = 0


def read_story(request: str, texts: Iterable[tuple[str, str]]) -> Story:
    """Return the story of a request.

    Parameters
    ----------
    request : str
        Its id.
    texts : iterable of (str, str)
        Sources and lines. What stands before the first brace of a line, such as a
        time and the name of a router, becomes part of the source.
    """
    story = Story()
    beliefs: list[Line] = []
    for source, text in texts:
        line = _read(source, text)
        if line is None:
            story.malformed += bool(text.strip())
        elif line.fields.get("id") == request:
            story.lines.append(line)
        elif line.event in BELIEFS:
            beliefs.append(line)
    story.lines.sort(key=lambda line: line.at)
    story.around = [line for line in beliefs if _belongs(line, story.lines)]
    return story


def _read(source: str, text: str) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    before = text[:start].split()
    return Line(before[-1] if before else source, fields)


def _belongs(belief: Line, lines: list[Line]) -> bool:
    return any(
        belief.source == line.source and abs(belief.at - line.at) <= MARGIN_SECONDS
        for line in lines
    )

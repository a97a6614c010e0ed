"""Tell the story of one request from logs."""

import sys
from collections.abc import Iterator
from pathlib import Path

from teaselctl.output import FAULTY, USAGE, CommandError, Output
from teaselctl.story import Line, Story, read_story

__all__ = ["run"]

HIDDEN = frozenset({"at", "level", "part", "event", "id"})


async def run(args: list[str]) -> Output:
    """Read logs and print what they tell of a request."""
    if not args:
        raise CommandError("explain needs the id of a request")
    story = read_story(args[0], _texts(args[1:]))
    value = {
        "lines": [{"source": line.source, **line.fields} for line in story.lines],
        "around": [{"source": line.source, **line.fields} for line in story.around],
        "malformed_lines": story.malformed,
    }
    if not story.lines:
        return Output(value, f"No line tells of {args[0]}.{_skipped(story)}", FAULTY)
    return Output(value, _told(story))


def _texts(names: list[str]) -> Iterator[tuple[str, str]]:
    if not names:
        yield from (("standard input", line) for line in sys.stdin)
        return
    for name in names:
        try:
            with Path(name).open(errors="replace") as file:
                yield from ((Path(name).stem, line) for line in file)
        except OSError as error:
            raise CommandError(str(error), USAGE) from error


def _told(story: Story) -> str:
    start = story.lines[0].at
    text = [_shown(line, start) for line in story.lines]
    if story.around:
        text += ["", "At the same routers, within 5 s:"]
        text += [_shown(line, start) for line in story.around]
    return "\n".join(text) + _skipped(story)


def _shown(line: Line, start: float) -> str:
    fields = ", ".join(
        f"{name} {value}"
        for name, value in line.fields.items()
        if name not in HIDDEN and value is not None
    )
    return f"{line.at - start:+8.3f} s  {line.source}  {line.event}: {fields}"


def _skipped(story: Story) -> str:
    if not story.malformed:
        return ""
    return f"\n{story.malformed} lines could not be read."

"""Print the log lines that belong to one request."""

import sys
from collections.abc import Iterator
from pathlib import Path

from teaselctl.output import FAULTY, USAGE, CommandError, Output
from teaselctl.story import LogLine, RequestLog, read_request_log

__all__ = ["run"]

HIDDEN_FIELDS = frozenset({"at", "level", "part", "event", "id"})


async def run(args: list[str]) -> Output:
    """Read logs from files or standard input and print the lines of a request."""
    if not args:
        raise CommandError("explain needs the id of a request")
    request_log = read_request_log(args[0], _read_lines(args[1:]))
    value = {
        "lines": [{"source": line.source, **line.fields} for line in request_log.lines],
        "around": [
            {"source": line.source, **line.fields} for line in request_log.related
        ],
        "malformed_lines": request_log.malformed_count,
    }
    if not request_log.lines:
        return Output(
            value,
            f"No line tells of {args[0]}.{_format_malformed(request_log)}",
            FAULTY,
        )
    return Output(value, _format_log(request_log))


def _read_lines(names: list[str]) -> Iterator[tuple[str, str]]:
    if not names:
        yield from (("standard input", line) for line in sys.stdin)
        return
    for name in names:
        try:
            with Path(name).open(errors="replace") as file:
                yield from ((Path(name).stem, line) for line in file)
        except OSError as error:
            raise CommandError(str(error), USAGE) from error


def _format_log(request_log: RequestLog) -> str:
    start = request_log.lines[0].at
    text = [_format_line(line, start) for line in request_log.lines]
    if request_log.related:
        text += ["", "At the same routers, within 5 s:"]
        text += [_format_line(line, start) for line in request_log.related]
    return "\n".join(text) + _format_malformed(request_log)


def _format_line(line: LogLine, start: float) -> str:
    fields = ", ".join(
        f"{name} {value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS and value is not None
    )
    return f"{line.at - start:+8.3f} s  {line.source}  {line.event}: {fields}"


def _format_malformed(request_log: RequestLog) -> str:
    if not request_log.malformed_count:
        return ""
    return f"\n{request_log.malformed_count} lines could not be read."

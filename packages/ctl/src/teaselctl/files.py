"""Documents in files, for the commands that read them."""

from collections.abc import Mapping
from dataclasses import asdict
from pathlib import Path
from typing import Any

from teaselledge.version.check import EDITABLE_SECTIONS
from teaselledge.version.source import load_source
from teaselledge.yamlsource import ConfigIssue, Source, format_path, issue_at

from teaselctl.output import FAULTY, USAGE, CommandError

__all__ = ["as_errors", "located", "open_source", "sections_of"]


def as_errors(mistakes: list[ConfigIssue]) -> CommandError:
    """Return the error that lists all faults."""
    lines = [str(mistake) for mistake in mistakes]
    noun = "fault" if len(lines) == 1 else "faults"
    message = "\n".join([f"{len(lines)} {noun}", *lines])
    value = {"mistakes": [asdict(mistake) for mistake in mistakes]}
    return CommandError(message, FAULTY, value)


def open_source(args: list[str]) -> Source:
    """Read the files that the arguments name.

    Raises
    ------
    CommandError
        If there are none, or if they are faulty.
    """
    if not args:
        raise CommandError("name the files or directories of the document")
    for arg in args:
        if not Path(arg).exists():
            raise CommandError(f"there is no file {arg}", USAGE)
    result = load_source([Path(arg) for arg in args])
    if result.is_error():
        raise as_errors(result.error)
    return result.ok


def sections_of(source: Source, wanted: list[str]) -> dict[str, Any]:
    """Return the sections to apply.

    Raises
    ------
    CommandError
        If one is not known or not in the files.
    """
    known = ", ".join(EDITABLE_SECTIONS)
    for name in [*wanted, *source.value]:
        if name not in EDITABLE_SECTIONS:
            raise CommandError(f"no section {name!r}; there are {known}", FAULTY)
    for name in wanted:
        if name not in source.value:
            raise CommandError(f"section {name!r} is not in the files", FAULTY)
    return {name: source.value[name] for name in wanted or source.value}


def located(source: Source, entries: list[Mapping[str, Any]]) -> list[ConfigIssue]:
    """Return a router's faults with the places in the operator's files."""
    paths = {format_path(path): path for path in source.lines}
    mistakes = []
    for entry in entries:
        path, found, allowed = entry["path"], entry["found"], entry["allowed"]
        known = paths.get(path)
        if known is None:
            mistakes.append(ConfigIssue("fleet", 1, path, found, allowed))
            continue
        mistakes.append(issue_at(source, known, found, allowed))
    return mistakes

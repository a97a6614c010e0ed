"""Read configuration documents from files and report their faults."""

from collections.abc import Mapping
from dataclasses import asdict
from pathlib import Path
from typing import Any

from teaselledge.version.check import EDITABLE_SECTIONS
from teaselledge.version.source import load_source
from teaselledge.yamlsource import ConfigIssue, Source, format_path, issue_at

from teaselctl.output import FAULTY, USAGE, CommandError

__all__ = ["issues_error", "locate_issues", "open_source", "sections_of"]


def issues_error(issues: list[ConfigIssue]) -> CommandError:
    """Return an error that lists all faults."""
    lines = [str(issue) for issue in issues]
    noun = "fault" if len(lines) == 1 else "faults"
    message = "\n".join([f"{len(lines)} {noun}", *lines])
    value = {"mistakes": [asdict(issue) for issue in issues]}
    return CommandError(message, FAULTY, value)


def open_source(args: list[str]) -> Source:
    """Read the files and directories named by the arguments.

    Raises
    ------
    CommandError
        If none is named, one doesn't exist, or the files are faulty.
    """
    if not args:
        raise CommandError("name the files or directories of the document")
    for arg in args:
        if not Path(arg).exists():
            raise CommandError(f"there is no file {arg}", USAGE)
    result = load_source([Path(arg) for arg in args])
    if result.is_error():
        raise issues_error(result.error)
    return result.ok


def sections_of(source: Source, wanted: list[str]) -> dict[str, Any]:
    """Return the wanted sections of the files, or all if none is wanted.

    Raises
    ------
    CommandError
        If a section is unknown, or a wanted one isn't in the files.
    """
    known = ", ".join(EDITABLE_SECTIONS)
    for name in [*wanted, *source.value]:
        if name not in EDITABLE_SECTIONS:
            raise CommandError(f"no section {name!r}; there are {known}", FAULTY)
    for name in wanted:
        if name not in source.value:
            raise CommandError(f"section {name!r} is not in the files", FAULTY)
    return {name: source.value[name] for name in wanted or source.value}


def locate_issues(
    source: Source, entries: list[Mapping[str, Any]]
) -> list[ConfigIssue]:
    """Return the faults that a router reported, with their lines in the files."""
    paths = {format_path(path): path for path in source.lines}
    issues = []
    for entry in entries:
        path, found, allowed = entry["path"], entry["found"], entry["allowed"]
        known = paths.get(path)
        if known is None:
            issues.append(ConfigIssue("fleet", 1, path, found, allowed))
            continue
        issues.append(issue_at(source, known, found, allowed))
    return issues

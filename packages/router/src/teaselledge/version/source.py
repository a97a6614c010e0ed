"""Read a configuration document from files and directories."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from teaselledge import yamlsource
from teaselledge.version.check import find_issues
from teaselledge.version.document import Document
from teaselledge.yamlsource import ConfigIssue, Source

__all__ = [
    "CheckedDocument",
    "check_source",
    "check_value",
    "find_yaml_files",
    "load_source",
]

SUFFIXES = frozenset({".yaml", ".yml"})
MAX_FILES = 1000


@dataclass(frozen=True)
class CheckedDocument:
    """A document that passed all checks.

    Attributes
    ----------
    value : dict
        The document as plain mappings.
    document : Document
        The validated document.
    """

    value: dict[str, Any]
    document: Document


def find_yaml_files(paths: Iterable[Path]) -> list[Path]:
    """Return the given files and, sorted, the YAML files of given directories."""
    found: list[Path] = []
    for path in paths:
        if not path.is_dir():
            found.append(path)
            continue
        inside = sorted(p for p in path.rglob("*") if p.suffix in SUFFIXES)
        found.extend(inside)
    return found[:MAX_FILES]


def load_source(paths: Iterable[Path]) -> Result[Source, list[ConfigIssue]]:
    """Read and merge the given files and directories."""
    files = find_yaml_files(paths)
    sources: list[Source] = []
    issues: list[ConfigIssue] = []
    for file in files:
        result = yamlsource.read(file)
        if result.is_error():
            issues.extend(result.error)
            continue
        sources.append(result.ok)
    if not files:
        issues.append(ConfigIssue("", 1, "", "no file", "at least one YAML file"))
    merged = yamlsource.merge(sources)
    if merged.is_error():
        issues.extend(merged.error)
    if issues:
        return Error(issues)
    return merged


def check_source(source: Source) -> Result[CheckedDocument, list[ConfigIssue]]:
    """Check a document and return all its faults."""
    result = yamlsource.validate_as(Document, source)
    if result.is_error():
        return Error(result.error)
    issues = [
        yamlsource.issue_at(source, f.path, f.found, f.allowed)
        for f in find_issues(result.ok)
    ]
    if issues:
        return Error(issues)
    return Ok(CheckedDocument(source.value, result.ok))


def check_value(value: Mapping[str, Any]) -> Result[CheckedDocument, list[ConfigIssue]]:
    """Check a document that was not read from files."""
    return check_source(Source("document", dict(value)))

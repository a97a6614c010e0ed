"""Read YAML with the line of every value, and check it against data classes."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import yaml
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

__all__ = [
    "KeyPath",
    "ConfigIssue",
    "Source",
    "format_path",
    "merge",
    "issue_at",
    "parse",
    "read",
    "validate_as",
]

MAX_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 24
MAX_NODES = 400_000
MAX_SCALAR = 4096
"""Longest value in characters."""

MAX_ISSUES = 500
"""Faults that are listed; a hostile file can hold one a byte."""

LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""The reader of libyaml where there is one; it is ten times faster."""

TAGGED = (yaml.ScalarEvent, yaml.CollectionStartEvent)

PLAIN_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}" for name in ("str", "int", "float", "bool", "null")
)

T = TypeVar("T")
KeyPath = tuple[str | int, ...]


@dataclass(frozen=True)
class ConfigIssue:
    """One fault in a YAML file.

    Attributes
    ----------
    file : str
        Name of the file.
    line : int
        Line, from 1.
    path : str
        Keys from the root, joined by dots.
    found : str
        What stands there.
    allowed : str
        What may stand there.
    """

    file: str
    line: int
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}: {self.path or 'document'}"
        return f"{where}: found {self.found}; allowed: {self.allowed}"


@dataclass(frozen=True)
class Source:
    """Parsed YAML and where its values stand.

    Attributes
    ----------
    file : str
        Name of the file.
    value : object
        Plain mappings, lists and scalars.
    lines : dict of tuple to int
        Line of each value by its path.
    files : dict of tuple to str
        File of each entry, where the values come from several files.
    """

    file: str
    value: Any
    lines: dict[KeyPath, int] = field(default_factory=dict)
    files: dict[KeyPath, str] = field(default_factory=dict)

    def file_of(self, path: KeyPath) -> str:
        """Return the file of the value, or of its nearest parent."""
        for end in range(len(path), -1, -1):
            file = self.files.get(path[:end])
            if file is not None:
                return file
        return self.file

    def line_of(self, path: KeyPath) -> int:
        """Return the line of the value, or of its nearest parent."""
        for end in range(len(path), -1, -1):
            line = self.lines.get(path[:end])
            if line is not None:
                return line
        return 1


class _Builder:
    """Build plain values from a YAML node tree.

    Aliases are refused: a few lines of them can expand to more memory than
    the machine has. Duplicate keys are refused, since the first of two
    would be dropped silently.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._constructor = yaml.constructor.SafeConstructor()
        self.lines: dict[KeyPath, int] = {}
        self.mistakes: list[ConfigIssue] = []

    def build(self, node: yaml.Node, path: KeyPath) -> Any:
        """Return the value of a node and note its line."""
        self.lines[path] = node.start_mark.line + 1
        if isinstance(node, yaml.MappingNode):
            return self._mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [self.build(n, (*path, i)) for i, n in enumerate(node.value)]
        return self._scalar(node, path)

    def _scalar(self, node: yaml.Node, path: KeyPath) -> Any:
        if node.tag not in PLAIN_TAGS:
            found = node.tag.removeprefix("tag:yaml.org,2002:")
            self._add(node, path, found, "text, a number, true, false or null")
            return None
        try:
            value = self._constructor.construct_object(node)
            if isinstance(value, float) and not math.isfinite(value):
                raise ValueError("not finite")
            return value
        except (yaml.YAMLError, ValueError, TypeError) as error:
            self._add(node, path, repr(node.value), f"a plain scalar ({error})")
            return None

    def _mapping(self, node: yaml.MappingNode, path: KeyPath) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for key_node, value_node in node.value:
            # yes, no, on, off and 012 are no text in YAML 1.1; a name written
            # so would become another one silently
            if key_node.tag != "tag:yaml.org,2002:str":
                found = repr(getattr(key_node, "value", ""))[:40]
                self._add(key_node, path, f"the key {found}", "text as key; quote it")
                continue
            name = self._scalar(key_node, path)
            if name is None:
                continue
            if name in result:
                self._add(key_node, (*path, name), "a key twice", "each key once")
                continue
            result[name] = self.build(value_node, (*path, name))
        return result

    def _add(self, node: yaml.Node, path: KeyPath, found: str, allowed: str) -> None:
        if len(self.mistakes) >= MAX_ISSUES:
            return
        line = node.start_mark.line + 1
        self.mistakes.append(
            ConfigIssue(self._file, line, format_path(path), found, allowed)
        )


def format_path(path: KeyPath) -> str:
    """Return a path as one text."""
    return ".".join(str(part) for part in path)


def issue_at(source: Source, path: KeyPath, found: str, allowed: str) -> ConfigIssue:
    """Return a mistake at the place where the value stands."""
    line = source.line_of(path)
    return ConfigIssue(source.file_of(path), line, format_path(path), found, allowed)


def _guard_events(text: str) -> str:
    """Return why the text must not be composed, or nothing."""
    depth = nodes = 0
    for event in yaml.parse(text, Loader=LOADER):
        nodes += isinstance(event, yaml.NodeEvent)
        if nodes > MAX_NODES:
            return f"more than {MAX_NODES} values"
        if isinstance(event, yaml.AliasEvent):
            return "an alias"
        # a tag makes a value of another type out of what one reads there
        if isinstance(event, TAGGED) and event.tag is not None:
            return f"the tag {event.tag[:40]}"
        # matching a long value against the types of YAML takes memory many times
        # its length, and reading a long number takes quadratic time
        if isinstance(event, yaml.ScalarEvent) and len(event.value) > MAX_SCALAR:
            return f"a value of {len(event.value)} characters"
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            return f"more than {MAX_DEPTH} levels"
    return ""


def parse(file: str, data: bytes) -> Result[Source, list[ConfigIssue]]:
    """Parse one YAML document.

    Parameters
    ----------
    file : str
        Name for messages.
    data : bytes
        The content, UTF-8.

    Returns
    -------
    Result of Source or list of ConfigIssue
        The values with their lines, or all faults found.
    """
    if len(data) > MAX_BYTES:
        found = f"{len(data)} bytes"
        return Error([ConfigIssue(file, 1, "", found, f"up to {MAX_BYTES} bytes")])
    try:
        text = data.decode("utf-8")
        refused = _guard_events(text)
        if refused:
            allowed = (
                f"YAML without aliases and tags, {MAX_DEPTH} levels deep, values "
                f"of up to {MAX_SCALAR} characters"
            )
            return Error([ConfigIssue(file, 1, "", refused, allowed)])
        node = yaml.compose(text, Loader=LOADER)
    except UnicodeDecodeError as error:
        return Error([ConfigIssue(file, 1, "", f"byte {error.start}", "UTF-8")])
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 1
        return Error([ConfigIssue(file, line, "", str(error.problem), "valid YAML")])
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        found = str(error).splitlines()[0] if str(error) else repr(error)
        return Error([ConfigIssue(file, 1, "", found, "valid YAML")])
    if node is None:
        return Ok(Source(file, {}, {(): 1}))
    builder = _Builder(file)
    value = builder.build(node, ())
    if builder.mistakes:
        return Error(builder.mistakes)
    return Ok(Source(file, value, builder.lines))


def read(path: Path) -> Result[Source, list[ConfigIssue]]:
    """Read and parse a YAML file."""
    try:
        data = path.read_bytes()
    except OSError as error:
        found = error.strerror or "an error"
        return Error([ConfigIssue(str(path), 1, "", found, "a readable file")])
    return parse(str(path), data)


def merge(sources: Iterable[Source]) -> Result[Source, list[ConfigIssue]]:
    """Merge files whose top-level sections are mappings of entries.

    Parameters
    ----------
    sources : iterable of Source
        The parsed files.

    Returns
    -------
    Result of Source or list of ConfigIssue
        One source that knows the file of each entry, or the entries that stand
        in two files.
    """
    value: dict[str, Any] = {}
    lines: dict[KeyPath, int] = {}
    files: dict[KeyPath, str] = {}
    mistakes: list[ConfigIssue] = []
    first = ""
    for source in sources:
        first = first or source.file
        if not isinstance(source.value, dict):
            found = type(source.value).__name__
            mistakes.append(issue_at(source, (), found, "a mapping of sections"))
            continue
        for section, entries in source.value.items():
            if not isinstance(entries, dict):
                found = repr(entries)[:40]
                allowed = "a mapping of entries"
                mistakes.append(issue_at(source, (section,), found, allowed))
                continue
            merged = value.setdefault(section, {})
            files.setdefault((section,), source.file)
            lines.setdefault((section,), source.line_of((section,)))
            for name, entry in entries.items():
                path = (section, name)
                if name in merged:
                    where = f"{files[path]}:{lines[path]}"
                    allowed = f"each entry once; it also stands in {where}"
                    mistakes.append(issue_at(source, path, "an entry twice", allowed))
                    continue
                merged[name] = entry
                files[path] = source.file
                lines[path] = source.line_of(path)
        lines.update(
            {p: n for p, n in source.lines.items() if files.get(p[:2]) == source.file}
        )
    if mistakes:
        return Error(mistakes)
    return Ok(Source(first, value, lines, files))


def _allowed(error: Any) -> str:
    context = error.get("ctx") or {}
    if error["type"] == "unexpected_keyword_argument":
        return "only the keys that the reference lists"
    if "expected" in context:
        return str(context["expected"])
    return str(error["msg"]).removeprefix("Input should be ")


def validate_as(cls: type[T], source: Source) -> Result[T, list[ConfigIssue]]:
    """Check parsed YAML against a frozen data class.

    Parameters
    ----------
    cls : type
        A pydantic data class.
    source : Source
        The parsed file.

    Returns
    -------
    Result of cls or list of ConfigIssue
        The instance, or all faults in one go.
    """
    try:
        return Ok(TypeAdapter(cls).validate_python(source.value))
    except ValidationError as error:
        mistakes = []
        for entry in error.errors(include_url=False):
            path = entry["loc"]
            found = repr(entry["input"])[:80]
            if entry["type"] in ("missing", "missing_argument"):
                found = "nothing"
            mistakes.append(issue_at(source, path, found, _allowed(entry)))
        return Error(mistakes[:MAX_ISSUES])

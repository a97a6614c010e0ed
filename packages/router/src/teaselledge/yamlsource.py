"""Read YAML with the line of each value, and validate it against data classes."""

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

MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 24
MAX_NODES = 400_000
MAX_SCALAR_CHARACTERS = 4096
"""Maximum length of a scalar, in characters."""

MAX_ISSUES = 500
"""Maximum number of issues reported; a hostile file can contain one per byte."""

LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""Loader of libyaml if available, as it is 10 times faster."""

TAGGABLE_EVENTS = (yaml.ScalarEvent, yaml.CollectionStartEvent)

PLAIN_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}" for name in ("str", "int", "float", "bool", "null")
)

T = TypeVar("T")
KeyPath = tuple[str | int, ...]


@dataclass(frozen=True)
class ConfigIssue:
    """Issue in a YAML file.

    Attributes
    ----------
    file : str
        Name of the file.
    line : int
        Line number, starting at 1.
    path : str
        Keys from the root, joined by dots.
    found : str
        Text found at the path.
    allowed : str
        Description of the allowed values.
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
    """Parsed YAML with the locations of its values.

    Attributes
    ----------
    file : str
        Name of the file.
    value : object
        Plain mappings, lists and scalars.
    lines : dict of tuple to int
        Line of each value, by path.
    files : dict of tuple to str
        File of each entry, by path, if the values come from several files.
    """

    file: str
    value: Any
    lines: dict[KeyPath, int] = field(default_factory=dict)
    files: dict[KeyPath, str] = field(default_factory=dict)

    def file_of(self, path: KeyPath) -> str:
        """Return the file of a value, or of its nearest ancestor."""
        for end in range(len(path), -1, -1):
            file = self.files.get(path[:end])
            if file is not None:
                return file
        return self.file

    def line_of(self, path: KeyPath) -> int:
        """Return the line of a value, or of its nearest ancestor."""
        for end in range(len(path), -1, -1):
            line = self.lines.get(path[:end])
            if line is not None:
                return line
        return 1


class _Builder:
    """Builds plain values from a YAML node tree.

    Duplicate keys are refused, since the first of two would be dropped silently.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._constructor = yaml.constructor.SafeConstructor()
        self.lines: dict[KeyPath, int] = {}
        self.issues: list[ConfigIssue] = []

    def build(self, node: yaml.Node, path: KeyPath) -> Any:
        """Return the value of a node, and record its line."""
        self.lines[path] = node.start_mark.line + 1
        if isinstance(node, yaml.MappingNode):
            return self._build_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [self.build(n, (*path, i)) for i, n in enumerate(node.value)]
        return self._build_scalar(node, path)

    def _build_scalar(self, node: yaml.Node, path: KeyPath) -> Any:
        if node.tag not in PLAIN_TAGS:
            found = node.tag.removeprefix("tag:yaml.org,2002:")
            self._add_issue(node, path, found, "text, a number, true, false or null")
            return None
        try:
            value = self._constructor.construct_object(node)
            if isinstance(value, float) and not math.isfinite(value):
                raise ValueError("not finite")
            return value
        except (yaml.YAMLError, ValueError, TypeError) as error:
            self._add_issue(node, path, repr(node.value), f"a plain scalar ({error})")
            return None

    def _build_mapping(self, node: yaml.MappingNode, path: KeyPath) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for key_node, value_node in node.value:
            # yes, no, on, off and 012 are not strings in YAML 1.1, so such a
            # name would silently change
            if key_node.tag != "tag:yaml.org,2002:str":
                found = repr(getattr(key_node, "value", ""))[:40]
                self._add_issue(
                    key_node, path, f"the key {found}", "text as key; quote it"
                )
                continue
            name = self._build_scalar(key_node, path)
            if name is None:
                continue
            if name in result:
                self._add_issue(key_node, (*path, name), "a key twice", "each key once")
                continue
            result[name] = self.build(value_node, (*path, name))
        return result

    def _add_issue(
        self, node: yaml.Node, path: KeyPath, found: str, allowed: str
    ) -> None:
        if len(self.issues) >= MAX_ISSUES:
            return
        line = node.start_mark.line + 1
        self.issues.append(
            ConfigIssue(self._file, line, format_path(path), found, allowed)
        )


def format_path(path: KeyPath) -> str:
    """Return a path as text, with dots between the keys."""
    return ".".join(str(part) for part in path)


def issue_at(source: Source, path: KeyPath, found: str, allowed: str) -> ConfigIssue:
    """Return an issue at the location of a value."""
    line = source.line_of(path)
    return ConfigIssue(source.file_of(path), line, format_path(path), found, allowed)


def _find_refusal_reason(text: str) -> str:
    """Return why the text must not be composed, or an empty string."""
    depth = nodes = 0
    for event in yaml.parse(text, Loader=LOADER):
        nodes += isinstance(event, yaml.NodeEvent)
        if nodes > MAX_NODES:
            return f"more than {MAX_NODES} values"
        if isinstance(event, yaml.AliasEvent):
            # a few lines of aliases can expand to more memory than the machine has
            return "an alias"
        # a tag gives a value another type than it appears to have
        if isinstance(event, TAGGABLE_EVENTS) and event.tag is not None:
            return f"the tag {event.tag[:40]}"
        # resolving the type of a long scalar takes many times its length in
        # memory, and parsing a long number takes quadratic time
        if (
            isinstance(event, yaml.ScalarEvent)
            and len(event.value) > MAX_SCALAR_CHARACTERS
        ):
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
        File name for messages.
    data : bytes
        The content, UTF-8.

    Returns
    -------
    Result of Source or list of ConfigIssue
        The values with their lines, or all issues found.
    """
    if len(data) > MAX_FILE_BYTES:
        found = f"{len(data)} bytes"
        return Error([ConfigIssue(file, 1, "", found, f"up to {MAX_FILE_BYTES} bytes")])
    try:
        text = data.decode("utf-8")
        refusal_reason = _find_refusal_reason(text)
        if refusal_reason:
            allowed = (
                f"YAML without aliases and tags, {MAX_DEPTH} levels deep, values "
                f"of up to {MAX_SCALAR_CHARACTERS} characters"
            )
            return Error([ConfigIssue(file, 1, "", refusal_reason, allowed)])
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
    if builder.issues:
        return Error(builder.issues)
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
    """Merge files that consist of sections, which are mappings of entries.

    Parameters
    ----------
    sources : iterable of Source
        The parsed files.

    Returns
    -------
    Result of Source or list of ConfigIssue
        Merged source with the file of each entry, or issues such as entries that
        are defined in two files.
    """
    value: dict[str, Any] = {}
    lines: dict[KeyPath, int] = {}
    files: dict[KeyPath, str] = {}
    issues: list[ConfigIssue] = []
    first = ""
    for source in sources:
        first = first or source.file
        if not isinstance(source.value, dict):
            found = type(source.value).__name__
            issues.append(issue_at(source, (), found, "a mapping of sections"))
            continue
        for section, entries in source.value.items():
            if not isinstance(entries, dict):
                found = repr(entries)[:40]
                allowed = "a mapping of entries"
                issues.append(issue_at(source, (section,), found, allowed))
                continue
            merged = value.setdefault(section, {})
            files.setdefault((section,), source.file)
            lines.setdefault((section,), source.line_of((section,)))
            for name, entry in entries.items():
                path = (section, name)
                if name in merged:
                    where = f"{files[path]}:{lines[path]}"
                    allowed = f"each entry once; it also stands in {where}"
                    issues.append(issue_at(source, path, "an entry twice", allowed))
                    continue
                merged[name] = entry
                files[path] = source.file
                lines[path] = source.line_of(path)
        lines.update(
            {p: n for p, n in source.lines.items() if files.get(p[:2]) == source.file}
        )
    if issues:
        return Error(issues)
    return Ok(Source(first, value, lines, files))


def _describe_allowed(error: Any) -> str:
    context = error.get("ctx") or {}
    if error["type"] == "unexpected_keyword_argument":
        return "only the keys that the reference lists"
    if "expected" in context:
        return str(context["expected"])
    return str(error["msg"]).removeprefix("Input should be ")


def validate_as(cls: type[T], source: Source) -> Result[T, list[ConfigIssue]]:
    """Validate parsed YAML against a frozen data class.

    Parameters
    ----------
    cls : type
        A pydantic data class.
    source : Source
        The parsed file.

    Returns
    -------
    Result of cls or list of ConfigIssue
        The instance, or all issues found.
    """
    try:
        return Ok(TypeAdapter(cls).validate_python(source.value))
    except ValidationError as error:
        issues = []
        for entry in error.errors(include_url=False):
            path = entry["loc"]
            found = repr(entry["input"])[:80]
            if entry["type"] in ("missing", "missing_argument"):
                found = "nothing"
            issues.append(issue_at(source, path, found, _describe_allowed(entry)))
        return Error(issues[:MAX_ISSUES])

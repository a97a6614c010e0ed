"""Generate tables of fields for the documentation from data classes."""

import dataclasses
import re
import types
import typing
from collections.abc import Iterator
from typing import Annotated, Any, Literal, get_args, get_origin

from pydantic.fields import FieldInfo

__all__ = ["fill_block", "reference"]

BEGIN_MARK, END_MARK = "<!-- begin {} -->", "<!-- end {} -->"

TYPE_NAMES: dict[Any, str] = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "true or false",
}
LIMIT_TEXTS: dict[str, str] = {
    "gt": "above {}",
    "ge": "at least {}",
    "lt": "below {}",
    "le": "at most {}",
}
PATTERN_NAMES: dict[str, str] = {
    r"^[a-z0-9][a-z0-9-]{0,62}$": "name",
    r"^[0-9a-f]{64}$": "SHA-256 in hex",
    r"^[^\s:/]+:\d{1,5}$": "host:port",
}


def reference(cls: type) -> str:
    """Return tables of fields for a data class and all data classes within it.

    Parameters
    ----------
    cls : type
        A pydantic data class with a numpydoc docstring.
    """
    tables = []
    seen: set[type] = set()
    pending = [cls]
    while pending:
        current = pending.pop(0)
        if current in seen:
            continue
        seen.add(current)
        tables.append(_table(current))
        pending.extend(_nested_classes(current))
    return "\n\n".join(tables)


def fill_block(page: str, name: str, cls: type) -> str:
    """Replace the marked block of a page by the reference of a class."""
    begin, end = BEGIN_MARK.format(name), END_MARK.format(name)
    before, _, remainder = page.partition(begin)
    _, _, after = remainder.partition(end)
    return f"{before}{begin}\n\n{reference(cls)}\n\n{end}{after}"


def _hints(cls: type) -> dict[str, Any]:
    return typing.get_type_hints(cls, include_extras=True)


def _nested_classes(cls: type) -> Iterator[type]:
    for hint in _hints(cls).values():
        yield from _classes_in_hint(hint)


def _classes_in_hint(hint: Any) -> Iterator[type]:
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        yield hint
        return
    for part in get_args(hint):
        yield from _classes_in_hint(part)


def _table(cls: type) -> str:
    doc = cls.__doc__ or ""
    texts = _attribute_texts(doc)
    lines = [
        f"### {cls.__name__}",
        "",
        doc.strip().splitlines()[0].replace("``", "`"),
        "",
        "| key | allowed | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    hints = _hints(cls)
    for entry in dataclasses.fields(cls):
        cells = [
            f"`{entry.name}`",
            _allowed_values(hints[entry.name]),
            _default_text(entry),
            texts.get(entry.name, ""),
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _attribute_texts(doc: str) -> dict[str, str]:
    """Return the description of each attribute in a numpydoc docstring."""
    texts: dict[str, str] = {}
    names: list[str] = []
    for line in doc.splitlines():
        found = re.match(r"^    ([a-z_]+(?:, [a-z_]+)*) : ", line)
        if found:
            names = found.group(1).split(", ")
            continue
        if names and line.startswith("        "):
            for name in names:
                text = f"{texts.get(name, '')} {line.strip()}".strip()
                texts[name] = text.replace("``", "`")
            continue
        names = []
    return texts


def _allowed_values(hint: Any) -> str:
    origin, args = get_origin(hint), get_args(hint)
    if origin is Annotated:
        limits = [text for info in args[1:] for text in _limit_texts(info)]
        if limits and limits[0] in PATTERN_NAMES.values():
            return limits[0]
        return ", ".join([_allowed_values(args[0]), *limits])
    if origin is Literal:
        return " or ".join(f"`{value}`" for value in args)
    if origin in (types.UnionType, typing.Union):
        return " or ".join(_allowed_values(a) for a in args if a is not types.NoneType)
    if origin is tuple:
        return f"list of: {_allowed_values(args[0])}"
    if origin is dict:
        return f"mapping of {_allowed_values(args[0])} to {_allowed_values(args[1])}"
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        return f"[{hint.__name__}](#{hint.__name__.lower()})"
    return TYPE_NAMES.get(hint, str(hint))


def _limit_texts(info: Any) -> Iterator[str]:
    if not isinstance(info, FieldInfo):
        return
    for item in info.metadata:
        pattern = getattr(item, "pattern", None)
        if pattern is not None:
            yield PATTERN_NAMES.get(pattern, f"like `{pattern}`")
        for name, text in LIMIT_TEXTS.items():
            value = getattr(item, name, None)
            if value is not None:
                yield text.format(f"{value:,}")


def _default_text(entry: dataclasses.Field) -> str:
    default = entry.default
    factory = entry.default_factory
    if isinstance(default, FieldInfo):
        factory = default.default_factory or factory  # type: ignore[assignment]
        default = default.default if factory is dataclasses.MISSING else default
    if factory is not dataclasses.MISSING:
        return "empty" if factory is dict else "its defaults"
    if default is dataclasses.MISSING:
        return "required"
    if default is None or default == ():
        return "none"
    if isinstance(default, bool):
        return f"`{str(default).lower()}`"
    return f"`{default}`"

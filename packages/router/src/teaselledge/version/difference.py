"""Differences between two versions by entry."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from teaselledge.version.sections import ENDPOINTS, SECTIONS, Entries

__all__ = [
    "EntryChange",
    "differences",
    "format_field_changes",
    "editable_path",
    "apply_changes",
]

_ABSENT = object()


@dataclass(frozen=True)
class EntryChange:
    """A changed entry.

    Attributes
    ----------
    section, name : str
        Section and name of the entry.
    old, new : object
        Value before and after; None if the entry does not exist.
    """

    section: str
    name: str
    old: Any
    new: Any

    @property
    def path(self) -> str:
        """Section and name joined by a slash."""
        return f"{self.section}/{self.name}"


def differences(old: Entries, new: Entries) -> list[EntryChange]:
    """Return the changed entries, ordered by section and name."""
    found = []
    for section in SECTIONS:
        before, after = old.get(section, {}), new.get(section, {})
        for name in sorted(before.keys() | after.keys()):
            if before.get(name, _ABSENT) != after.get(name, _ABSENT):
                change = EntryChange(section, name, before.get(name), after.get(name))
                found.append(change)
    return found


def apply_changes(entries: Entries, changes: list[EntryChange]) -> Entries:
    """Return a copy of the entries with the changes applied."""
    result = {section: dict(entries.get(section, {})) for section in SECTIONS}
    for change in changes:
        if change.new is None:
            result[change.section].pop(change.name, None)
            continue
        result[change.section][change.name] = change.new
    return result


def editable_path(section: str, name: str) -> tuple[str, str]:
    """Return section and name used for permissions: endpoints belong to services."""
    if section == ENDPOINTS:
        return "services", name.partition("/")[0]
    return section, name


def format_field_changes(change: EntryChange) -> Iterator[str]:
    """Yield the old and new value of each changed field of an entry."""
    old = dict(_flatten_fields(change.old)) if change.old is not None else {}
    new = dict(_flatten_fields(change.new)) if change.new is not None else {}
    for field in sorted(old.keys() | new.keys()):
        before, after = old.get(field, _ABSENT), new.get(field, _ABSENT)
        if before == after:
            continue
        if before is not _ABSENT:
            yield f"- {field}: {before}"
        if after is not _ABSENT:
            yield f"+ {field}: {after}"


def _flatten_fields(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    if isinstance(value, Mapping) and value:
        for key, inner in value.items():
            yield from _flatten_fields(inner, f"{path}.{key}" if path else str(key))
        return
    yield path or "value", value

"""Checks of a document beyond the types of its fields."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from teaselledge.version.document import Document
from teaselledge.yamlsource import KeyPath

__all__ = ["EDITABLE_SECTIONS", "DocumentIssue", "find_issues"]

MAX_PORT = 65_535
MAX_LISTED_NAMES = 12
"""Names listed in a message."""

EDITABLE_SECTIONS: tuple[str, ...] = (
    "zones",
    "organisations",
    "services",
    "objectives",
    "operators",
)
"""Sections of a document that operators write and that permissions refer to."""


@dataclass(frozen=True)
class DocumentIssue:
    """A fault of a document.

    Attributes
    ----------
    path : tuple
        Keys from the root.
    found : str
        The value found.
    allowed : str
        Description of valid values.
    """

    path: KeyPath
    found: str
    allowed: str


def _one_of(names: object) -> str:
    ordered = sorted(names)  # type: ignore[call-overload]
    if not ordered:
        return "nothing, as none is defined"
    rest = (
        f" and {len(ordered) - MAX_LISTED_NAMES} more"
        if len(ordered) > MAX_LISTED_NAMES
        else ""
    )
    return f"one of {', '.join(ordered[:MAX_LISTED_NAMES])}{rest}"


def _organisations(document: Document) -> Iterator[DocumentIssue]:
    owners: dict[str, str] = {}
    for name, organisation in document.organisations.items():
        path = ("organisations", name)
        if not organisation.services:
            yield DocumentIssue(
                (*path, "services"), "no service", "at least one service"
            )
        for i, service in enumerate(organisation.services):
            if service not in document.services:
                allowed = _one_of(document.services)
                yield DocumentIssue((*path, "services", i), service, allowed)
        for i, key in enumerate(organisation.keys):
            if owners.setdefault(key, name) != name:
                found = f"a key of {owners[key]}"
                yield DocumentIssue((*path, "keys", i), found, "keys of this one only")


def _services(document: Document) -> Iterator[DocumentIssue]:
    addresses: dict[str, str] = {}
    used = {s for o in document.organisations.values() for s in o.services}
    for name, service in document.services.items():
        path = ("services", name)
        remaining = [e for e in service.endpoints.values() if not e.leaving]
        if not remaining:
            found = "no endpoint that is not leaving"
            yield DocumentIssue((*path, "endpoints"), found, "at least one")
        if not service.kinds:
            yield DocumentIssue((*path, "kinds"), "no kind", "at least one")
        if name not in used:
            found = "no organisation with access"
            yield DocumentIssue(
                path, found, "at least one organisation that may use it"
            )
        for endpoint, entry in service.endpoints.items():
            endpoint_path = (*path, "endpoints", endpoint)
            if entry.zone not in document.zones:
                yield DocumentIssue(
                    (*endpoint_path, "zone"), entry.zone, _one_of(document.zones)
                )
            if not 1 <= int(entry.address.rpartition(":")[2]) <= MAX_PORT:
                allowed = f"a port from 1 to {MAX_PORT}"
                yield DocumentIssue((*endpoint_path, "address"), entry.address, allowed)
            other = addresses.setdefault(entry.address, f"{name}.{endpoint}")
            if other != f"{name}.{endpoint}":
                found = f"the address of {other}"
                yield DocumentIssue(
                    (*endpoint_path, "address"), found, "an address of its own"
                )


def _kinds(document: Document) -> Iterator[DocumentIssue]:
    for name, service in document.services.items():
        seen: dict[tuple[str, str], str] = {}
        for kind, entry in service.kinds.items():
            path = ("services", name, "kinds", kind)
            pairs = [(m, p) for m in entry.methods for p in entry.paths]
            if not pairs:
                yield DocumentIssue(
                    path, "no method or no path", "at least one of each"
                )
            if pairs and all(pair in seen for pair in pairs):
                found = f"methods and paths matched by {seen[pairs[0]]} already"
                yield DocumentIssue(
                    (*path, "paths"), found, "a path that is matched by this kind first"
                )
            for pair in pairs:
                seen.setdefault(pair, kind)
            target = entry.latency_target
            if target is not None and target > entry.deadline:
                allowed = f"up to the deadline, {entry.deadline:g}"
                yield DocumentIssue((*path, "latency_target"), f"{target:g}", allowed)


def _objectives(document: Document) -> Iterator[DocumentIssue]:
    covered_by: dict[tuple[str, str, str], str] = {}
    for name, objective in document.objectives.items():
        path = ("objectives", name)
        service = document.services.get(objective.service)
        if service is None:
            allowed = _one_of(document.services)
            yield DocumentIssue((*path, "service"), objective.service, allowed)
            continue
        if objective.kind not in service.kinds:
            yield DocumentIssue((*path, "kind"), objective.kind, _one_of(service.kinds))
        for i, organisation in enumerate(objective.organisations):
            if organisation not in document.organisations:
                allowed = _one_of(document.organisations)
                yield DocumentIssue((*path, "organisations", i), organisation, allowed)
        for organisation in objective.organisations or ("",):
            key = (objective.service, objective.kind, organisation)
            if covered_by.setdefault(key, name) != name:
                found = f"the same requests as {covered_by[key]}"
                yield DocumentIssue(
                    path, found, "a single objective per set of requests"
                )


def _operators(document: Document) -> Iterator[DocumentIssue]:
    owners: dict[str, str] = {}
    admins = 0
    for name, operator in document.operators.items():
        path = ("operators", name)
        admins += operator.role == "admin" and bool(operator.keys)
        for i, section in enumerate(operator.sections):
            if section.partition("/")[0] not in EDITABLE_SECTIONS:
                allowed = _one_of(EDITABLE_SECTIONS)
                yield DocumentIssue((*path, "sections", i), section, allowed)
        if operator.role == "editor" and not operator.sections:
            yield DocumentIssue(
                (*path, "sections"), "none", "what the editor may change"
            )
        if operator.role != "editor" and operator.sections:
            found = f"sections of a {operator.role}"
            yield DocumentIssue(
                (*path, "sections"), found, "sections for the role editor only"
            )
        for i, key in enumerate(operator.keys):
            if owners.setdefault(key, name) != name:
                found = f"a key of {owners[key]}"
                yield DocumentIssue((*path, "keys", i), found, "keys of this one only")
    if not admins:
        # without an admin, nobody could change the document again
        found = "no admin with a key"
        yield DocumentIssue(("operators",), found, "at least one")


CHECKS: tuple[Callable[[Document], Iterator[DocumentIssue]], ...] = (
    _organisations,
    _services,
    _kinds,
    _objectives,
    _operators,
)


def find_issues(document: Document) -> list[DocumentIssue]:
    """Return every fault of a document."""
    return [finding for check in CHECKS for finding in check(document)]

"""Accept a change as a new version, by compare-and-swap of the head row."""

import asyncio
import hashlib
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime
from enum import Enum
from typing import Any

from expression import Error, Ok, Result

from teaselledge.log import get_log
from teaselledge.platform import ABSENT, Row, StoreErrorKind, TableService, Write
from teaselledge.version.difference import (
    EntryChange,
    apply_changes,
    differences,
    editable_path,
)
from teaselledge.version.head import (
    APPLY_PREFIX,
    AUDIT_PREFIX,
    CHUNK_PREFIX,
    CONFIG_TABLE,
    HEAD_KEY,
    VERSION_PREFIX,
    ManifestError,
    VersionManifest,
    decode_manifest,
    version_key,
)
from teaselledge.version.sections import (
    ENDPOINTS,
    ChunkError,
    Entries,
    chunk_digest,
    flatten,
    unflatten,
    unpack_chunk,
)
from teaselledge.version.source import check_value
from teaselledge.version.store import chunk_writes, head_writes, pack_sections
from teaselledge.yamlsource import ConfigIssue

__all__ = [
    "ApplyResult",
    "ApplyError",
    "ApplyErrorKind",
    "Change",
    "Conflict",
    "Publisher",
]

_log = get_log("publish")

TRIES = 6
RETRY_SECONDS = 0.2
WRITES_PER_COMMIT = 32
CACHED_CHUNKS = 4096
LISTED_CHANGES = 200
STORE_READS = 16


class ApplyErrorKind(Enum):
    """How an apply can fail."""

    CONFLICT = "conflict"
    REFUSED = "refused"
    FORBIDDEN = "forbidden"
    UNKNOWN_VERSION = "unknown-version"
    ID_REUSED = "apply-id-reused"
    STORE = "store"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True)
class Conflict:
    """An entry that someone else changed meanwhile.

    Attributes
    ----------
    path : str
        The entry.
    version : int
        Version that changed it.
    author, time : str
        Who and when.
    theirs, yours : object
        The value that stands and the value that was refused.
    """

    path: str
    version: int
    author: str
    time: str
    theirs: Any
    yours: Any


@dataclass(frozen=True)
class ApplyError:
    """Why a change was not accepted; nothing has changed but where uncertain."""

    kind: ApplyErrorKind
    detail: str
    issues: tuple[ConfigIssue, ...] = ()
    conflicts: tuple[Conflict, ...] = ()


@dataclass(frozen=True)
class Change:
    """What an operator wants in force.

    Attributes
    ----------
    apply_id : str
        Chosen by the operator's program, the same for each try.
    author : str
        The operator.
    base : int
        Version that the operator saw; 0 for none.
    sections : dict of str to dict
        New content of each section given, as in the document.
    note : str
        The operator's words.
    bootstrap_only : bool
        It may only make the first version.
    """

    apply_id: str
    author: str
    base: int
    sections: Mapping[str, Mapping[str, Any]]
    note: str = ""
    bootstrap_only: bool = False

    @property
    def digest(self) -> str:
        """Tells this change from another with the same identifier."""
        text = json.dumps([self.base, self.sections], sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()


@dataclass(frozen=True)
class ApplyResult:
    """An accepted change.

    Attributes
    ----------
    version : int
        The version that holds it.
    changed : tuple of str
        Changed entries.
    beside : tuple of int
        Versions that others made since the base, and that stay in force.
    found_again : bool
        An earlier try with the same identifier had been accepted.
    """

    version: int
    changed: tuple[str, ...] = ()
    beside: tuple[int, ...] = ()
    found_again: bool = False


@dataclass(frozen=True)
class _State:
    """The head as read, with its entries."""

    row_version: int
    head: VersionManifest
    entries: Entries


class _StoreFailureError(Exception):
    """Carries an apply error out of nested reads."""

    def __init__(self, error: ApplyError) -> None:
        super().__init__(error.detail)
        self.error = error


Allows = Callable[[str, str], bool]
"""Whether the operator may change an entry, given section and name."""

_EMPTY = VersionManifest(0, {})


@dataclass
class Publisher:
    """Reads and writes versions in the table service.

    Parameters
    ----------
    tables : TableService
        The store.
    clock : callable
        Wall time, which goes into history for people to read.
    highest_known_version : callable
        Highest version that the fleet is known to have.
    """

    tables: TableService
    clock: Callable[[], datetime]
    highest_known_version: Callable[[], int] = lambda: 0
    _chunks: dict[str, dict[str, Any]] = field(default_factory=dict)

    async def apply(
        self, change: Change, allows: Allows
    ) -> Result[ApplyResult, ApplyError]:
        """Check a change whole and make it the next version.

        Trying again with the same identifier is safe at any time: the version's
        rows and the identifier's row are written in one transaction.
        """
        uncertain = False
        try:
            for attempt in range(TRIES):
                if attempt:
                    await asyncio.sleep(RETRY_SECONDS * attempt)
                found = await self._found_again(change)
                if found is not None:
                    return found
                outcome = await self._attempt(change, allows)
                if outcome is not None:
                    if outcome.is_error() and uncertain:
                        # the lost write may have been what the new head holds
                        again = await self._found_again(change)
                        return again or outcome
                    return outcome
                uncertain = True
        except _StoreFailureError as failure:
            kind = ApplyErrorKind.UNCERTAIN if uncertain else failure.error.kind
            return Error(replace(failure.error, kind=kind))
        detail = f"no answer after {TRIES} tries; apply {change.apply_id} again"
        return Error(ApplyError(ApplyErrorKind.UNCERTAIN, detail))

    async def load(
        self, number: int
    ) -> Result[tuple[VersionManifest, dict], ApplyError]:
        """Read a version; 0 reads the head."""
        try:
            if not number:
                state = await self._head()
                return Ok((state.head, unflatten(state.entries)))
            head = await self._version_head(number)
            if head is None:
                return Error(_unknown(number))
            return Ok((head, unflatten(await self._entries(head))))
        except _StoreFailureError as failure:
            return Error(failure.error)

    async def history(self, limit: int) -> Result[list[VersionManifest], ApplyError]:
        """Return the latest versions, newest first."""
        try:
            state = await self._head()
        except _StoreFailureError as failure:
            return Error(failure.error)
        after = version_key(max(0, state.head.version - limit))
        rows = await self.tables.scan(CONFIG_TABLE, VERSION_PREFIX, limit, after)
        if rows.is_error():
            return Error(_store_error(rows.error.detail))
        heads = []
        for row in rows.ok:
            try:
                heads.append(decode_manifest(row.value))
            except ManifestError as error:
                _log.warning(f"Row {row.key} can't be read: {error}.")
        return Ok(heads[::-1])

    async def write_audit_row(
        self, operator: str, action: str, what: str, key: str
    ) -> bool:
        """Write an audit row for an act that is no change of the document."""
        now = self.clock().isoformat(timespec="seconds")
        row = {"time": now, "operator": operator, "action": action, "what": what}
        value = json.dumps(row).encode()
        write = Write(CONFIG_TABLE, f"{AUDIT_PREFIX}{now}/{key}", value)
        result = await self.tables.commit([write])
        _log.info(f"Operator {operator}: {action} {what}.")
        return result.is_ok()

    async def _attempt(
        self, change: Change, allows: Allows
    ) -> Result[ApplyResult, ApplyError] | None:
        """Try once; None where another try is due."""
        state = await self._head()
        if state.head.version < self.highest_known_version():
            # a stale read, or a store that lost writes: a version made from it
            # would have a number that the fleet has seen with other content
            detail = (
                f"store shows {state.head.version}, "
                f"fleet has {self.highest_known_version()}"
            )
            return Error(_store_error(detail))
        if change.bootstrap_only and state.head.version:
            # the first key is for an empty store only; a router that restarted
            # empty can't tell, the store can
            detail = "there is a first version already"
            return Error(ApplyError(ApplyErrorKind.FORBIDDEN, detail))
        planned = await self._plan(change, state)
        if planned.is_error():
            return Error(planned.error)
        changes, beside = planned.ok
        if not changes:
            return Ok(ApplyResult(state.head.version, (), beside))
        refused = _forbidden(changes, allows)
        if refused is not None:
            return Error(refused)
        entries = apply_changes(state.entries, changes)
        checked = check_value(unflatten(entries))
        if checked.is_error():
            detail = f"{len(checked.error)} faults"
            mistakes = tuple(checked.error)
            return Error(ApplyError(ApplyErrorKind.REFUSED, detail, mistakes))
        return await self._commit(change, state, entries, changes, beside)

    async def _plan(
        self, change: Change, state: _State
    ) -> Result[tuple[list[EntryChange], tuple[int, ...]], ApplyError]:
        """Return what the change does to the head, or the entries it fights for."""
        if change.base == state.head.version:
            base = state.entries
        elif not change.base:
            base = {}
        else:
            head = await self._version_head(change.base)
            if head is None or change.base > state.head.version:
                return Error(_unknown(change.base))
            base = await self._entries(head)
        yours = differences(base, _with_sections(base, change.sections))
        theirs = {c.path: c for c in differences(base, state.entries)}
        beside = tuple(range(change.base + 1, state.head.version + 1))
        fights = [c for c in yours if c.path in theirs and theirs[c.path].new != c.new]
        if fights:
            conflicts = await self._blame(fights, theirs, beside)
            detail = f"version {state.head.version} changed the same entries"
            return Error(
                ApplyError(ApplyErrorKind.CONFLICT, detail, (), tuple(conflicts))
            )
        return Ok(([c for c in yours if c.path not in theirs], beside))

    async def _blame(
        self,
        fights: list[EntryChange],
        theirs: Mapping[str, EntryChange],
        beside: tuple[int, ...],
    ) -> list[Conflict]:
        makers: dict[str, VersionManifest] = {}
        for number in beside[-LISTED_CHANGES:]:
            head = await self._version_head(number)
            if head is not None:
                makers.update(dict.fromkeys(head.changed, head))
        conflicts = []
        for c in fights:
            maker = makers.get(c.path, _EMPTY)
            conflicts.append(
                Conflict(
                    c.path,
                    maker.version,
                    maker.author,
                    maker.time,
                    theirs[c.path].new,
                    c.new,
                )
            )
        return conflicts

    async def _commit(
        self,
        change: Change,
        state: _State,
        entries: Entries,
        changes: list[EntryChange],
        beside: tuple[int, ...],
    ) -> Result[ApplyResult, ApplyError] | None:
        sections = pack_sections(entries)
        changed = tuple(c.path for c in changes)
        head = VersionManifest(
            state.head.version + 1,
            {name: list(chunks) for name, chunks in sections.items()},
            change.author,
            change.apply_id,
            change.base,
            self.clock().isoformat(timespec="seconds"),
            change.note,
            list(changed[:LISTED_CHANGES]),
        )
        old = set(state.head.digests)
        new = {d: c for part in sections.values() for d, c in part.items()}
        writes = chunk_writes({d: c for d, c in new.items() if d not in old})
        for start in range(0, len(writes), WRITES_PER_COMMIT):
            written = await self.tables.commit(
                writes[start : start + WRITES_PER_COMMIT]
            )
            if written.is_error():
                # no head names these chunks yet, so nothing has changed, and
                # writing them again does no harm
                if written.error.kind is StoreErrorKind.UNCERTAIN:
                    return None
                return Error(_store_error(written.error.detail))
        expect = state.row_version or ABSENT
        audit = {
            "time": head.time,
            "operator": change.author,
            "action": "apply",
            "what": f"version {head.version}: {', '.join(head.changed)}",
        }
        result = await self.tables.commit(
            [
                *head_writes(head, expect),
                Write(
                    CONFIG_TABLE,
                    APPLY_PREFIX + change.apply_id,
                    json.dumps([head.version, change.digest, list(changed)]).encode(),
                    ABSENT,
                ),
                Write(
                    CONFIG_TABLE,
                    f"{AUDIT_PREFIX}{head.time}/{head.version}",
                    json.dumps(audit).encode(),
                ),
            ]
        )
        if result.is_ok():
            _log.info(f"Operator {change.author} made version {head.version}.")
            return Ok(ApplyResult(head.version, changed, beside))
        if result.error.kind is StoreErrorKind.UNAVAILABLE:
            return Error(_store_error(result.error.detail))
        return None

    async def _found_again(
        self, change: Change
    ) -> Result[ApplyResult, ApplyError] | None:
        row = await self._row(APPLY_PREFIX + change.apply_id)
        if row is None:
            return None
        number, digest, changed = json.loads(row.value)
        if digest != change.digest:
            detail = f"{change.apply_id} names another change, version {number}"
            return Error(ApplyError(ApplyErrorKind.ID_REUSED, detail))
        return Ok(ApplyResult(number, tuple(changed), (), True))

    async def _head(self) -> _State:
        row = await self._row(HEAD_KEY)
        if row is None:
            return _State(0, _EMPTY, {})
        head = _readable(row.value)
        return _State(row.version, head, await self._entries(head))

    async def _version_head(self, number: int) -> VersionManifest | None:
        row = await self._row(version_key(number))
        return None if row is None else _readable(row.value)

    async def _entries(self, head: VersionManifest) -> Entries:
        limit = asyncio.Semaphore(STORE_READS)

        async def parsed(digest: str) -> dict[str, Any]:
            async with limit:
                return await self._chunk(digest)

        entries: Entries = {}
        for section, digests in head.sections.items():
            parts = await asyncio.gather(*(parsed(digest) for digest in digests))
            entries[section] = {k: v for part in parts for k, v in part.items()}
        return entries

    async def _chunk(self, digest: str) -> dict[str, Any]:
        known = self._chunks.get(digest)
        if known is not None:
            return known
        row = await self._row(CHUNK_PREFIX + digest)
        if row is None or chunk_digest(row.value) != digest:
            raise _StoreFailureError(
                _store_error(f"chunk {digest} is missing or damaged")
            )
        try:
            entries = unpack_chunk(row.value)
        except ChunkError as error:
            raise _StoreFailureError(
                _store_error(f"chunk {digest}: {error}")
            ) from error
        if len(self._chunks) >= CACHED_CHUNKS:
            self._chunks.clear()
        self._chunks[digest] = entries
        return entries

    async def _row(self, key: str) -> Row | None:
        row = await self.tables.get(CONFIG_TABLE, key)
        if row.is_error():
            raise _StoreFailureError(_store_error(row.error.detail))
        return row.ok


def _with_sections(base: Entries, sections: Mapping[str, Mapping[str, Any]]) -> Entries:
    given = flatten(sections)
    result = {section: dict(entries) for section, entries in base.items()}
    for section in sections:
        result[section] = given[section]
    if "services" in sections:
        result[ENDPOINTS] = given[ENDPOINTS]
    return result


def _forbidden(changes: list[EntryChange], allows: Allows) -> ApplyError | None:
    refused = [c.path for c in changes if not allows(*editable_path(c.section, c.name))]
    if not refused:
        return None
    detail = f"the key may not change {', '.join(refused[:10])}"
    return ApplyError(ApplyErrorKind.FORBIDDEN, detail)


def _readable(raw: bytes) -> VersionManifest:
    try:
        return decode_manifest(raw)
    except ManifestError as error:
        raise _StoreFailureError(
            _store_error(f"head can't be read: {error}")
        ) from error


def _unknown(number: int) -> ApplyError:
    detail = f"there is no version {number}"
    return ApplyError(ApplyErrorKind.UNKNOWN_VERSION, detail)


def _store_error(detail: str) -> ApplyError:
    return ApplyError(ApplyErrorKind.STORE, f"store: {detail}")

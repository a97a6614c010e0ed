"""Accept a change as a new version by compare-and-swap of the head row."""

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

MAX_ATTEMPTS = 6
RETRY_STEP_SECONDS = 0.2
WRITES_PER_COMMIT = 32
MAX_CACHED_CHUNKS = 4096
MAX_LISTED_CHANGES = 200
MAX_CONCURRENT_STORE_READS = 16


class ApplyErrorKind(Enum):
    """Reason why an apply failed."""

    CONFLICT = "conflict"
    REFUSED = "refused"
    FORBIDDEN = "forbidden"
    UNKNOWN_VERSION = "unknown-version"
    ID_REUSED = "apply-id-reused"
    STORE = "store"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True)
class Conflict:
    """An entry that another operator changed since the base version.

    Attributes
    ----------
    path : str
        The entry.
    version : int
        Version that changed it.
    author, time : str
        Operator and time of that version.
    theirs, yours : object
        Value in the latest version and value of the refused change.
    """

    path: str
    version: int
    author: str
    time: str
    theirs: Any
    yours: Any


@dataclass(frozen=True)
class ApplyError:
    """Why a change was not accepted.

    The store is unchanged unless `kind` is ``UNCERTAIN``.
    """

    kind: ApplyErrorKind
    detail: str
    issues: tuple[ConfigIssue, ...] = ()
    conflicts: tuple[Conflict, ...] = ()


@dataclass(frozen=True)
class Change:
    """A change of the configuration that an operator submits.

    Attributes
    ----------
    apply_id : str
        Identifier chosen by the client, the same for each attempt.
    author : str
        The operator.
    base : int
        Version that the change is based on; 0 for none.
    sections : dict of str to dict
        New content of each changed section, as in the document.
    note : str
        The operator's comment.
    bootstrap_only : bool
        Whether it may only create the first version.
    """

    apply_id: str
    author: str
    base: int
    sections: Mapping[str, Mapping[str, Any]]
    note: str = ""
    bootstrap_only: bool = False

    @property
    def digest(self) -> str:
        """Digest that distinguishes changes with the same identifier."""
        text = json.dumps([self.base, self.sections], sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()


@dataclass(frozen=True)
class ApplyResult:
    """An accepted change.

    Attributes
    ----------
    version : int
        The version that contains it.
    changed : tuple of str
        Changed entries.
    beside : tuple of int
        Versions of others accepted since the base, whose changes stay in force.
    found_again : bool
        Whether an earlier attempt with the same identifier had been accepted.
    """

    version: int
    changed: tuple[str, ...] = ()
    beside: tuple[int, ...] = ()
    found_again: bool = False


@dataclass(frozen=True)
class _HeadState:
    """The head row as read, with the entries of its version."""

    row_version: int
    manifest: VersionManifest
    entries: Entries


class _StoreFailureError(Exception):
    """Carries an apply error out of nested reads."""

    def __init__(self, error: ApplyError) -> None:
        super().__init__(error.detail)
        self.error = error


Allows = Callable[[str, str], bool]
"""Returns whether the operator may change an entry, given section and name."""

_NO_MANIFEST = VersionManifest(0, {})


@dataclass
class Publisher:
    """Reads and writes versions in the table service.

    Parameters
    ----------
    tables : TableService
        The store.
    clock : callable
        Wall-clock time, shown in the history.
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
        """Check the resulting document and commit it as the next version.

        Retrying with the same identifier is safe at any time: the version's rows
        and the identifier's row are written in one transaction.
        """
        uncertain = False
        try:
            for attempt in range(MAX_ATTEMPTS):
                if attempt:
                    await asyncio.sleep(RETRY_STEP_SECONDS * attempt)
                found = await self._find_applied(change)
                if found is not None:
                    return found
                outcome = await self._attempt(change, allows)
                if outcome is not None:
                    if outcome.is_error() and uncertain:
                        # the new head may be the write whose response was lost
                        again = await self._find_applied(change)
                        return again or outcome
                    return outcome
                uncertain = True
        except _StoreFailureError as failure:
            kind = ApplyErrorKind.UNCERTAIN if uncertain else failure.error.kind
            return Error(replace(failure.error, kind=kind))
        detail = (
            f"outcome unknown after {MAX_ATTEMPTS} attempts; "
            f"repeat apply {change.apply_id}"
        )
        return Error(ApplyError(ApplyErrorKind.UNCERTAIN, detail))

    async def load(
        self, number: int
    ) -> Result[tuple[VersionManifest, dict], ApplyError]:
        """Read a version; 0 reads the latest."""
        try:
            if not number:
                state = await self._read_head()
                return Ok((state.manifest, unflatten(state.entries)))
            manifest = await self._read_manifest(number)
            if manifest is None:
                return Error(_unknown_version(number))
            return Ok((manifest, unflatten(await self._read_entries(manifest))))
        except _StoreFailureError as failure:
            return Error(failure.error)

    async def history(self, limit: int) -> Result[list[VersionManifest], ApplyError]:
        """Return the latest versions, newest first."""
        try:
            state = await self._read_head()
        except _StoreFailureError as failure:
            return Error(failure.error)
        after = version_key(max(0, state.manifest.version - limit))
        rows = await self.tables.scan(CONFIG_TABLE, VERSION_PREFIX, limit, after)
        if rows.is_error():
            return Error(_store_error(rows.error.detail))
        manifests = []
        for row in rows.ok:
            try:
                manifests.append(decode_manifest(row.value))
            except ManifestError as error:
                _log.warning(f"Row {row.key} cannot be read: {error}.")
        return Ok(manifests[::-1])

    async def write_audit_row(
        self, operator: str, action: str, what: str, key: str
    ) -> bool:
        """Write an audit row for an action that does not change the document."""
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
        """Make one attempt; return None if it has to be retried."""
        state = await self._read_head()
        if state.manifest.version < self.highest_known_version():
            # a stale read or a store that lost writes: the next number would be
            # one that the fleet already knows with other content
            detail = (
                f"store shows {state.manifest.version}, "
                f"fleet has {self.highest_known_version()}"
            )
            return Error(_store_error(detail))
        if change.bootstrap_only and state.manifest.version:
            # the first key is valid for an empty store only; a router that
            # restarted without configuration cannot tell, so the store decides
            detail = "the store already has a first version"
            return Error(ApplyError(ApplyErrorKind.FORBIDDEN, detail))
        merged = await self._merge_changes(change, state)
        if merged.is_error():
            return Error(merged.error)
        changes, beside = merged.ok
        if not changes:
            return Ok(ApplyResult(state.manifest.version, (), beside))
        refused = _check_allowed(changes, allows)
        if refused is not None:
            return Error(refused)
        entries = apply_changes(state.entries, changes)
        checked = check_value(unflatten(entries))
        if checked.is_error():
            detail = f"the document has {len(checked.error)} faults"
            issues = tuple(checked.error)
            return Error(ApplyError(ApplyErrorKind.REFUSED, detail, issues))
        return await self._commit(change, state, entries, changes, beside)

    async def _merge_changes(
        self, change: Change, state: _HeadState
    ) -> Result[tuple[list[EntryChange], tuple[int, ...]], ApplyError]:
        """Return the entries to change and the numbers of the versions since the base.

        Fails if another version changed one of these entries to a different value.
        """
        if change.base == state.manifest.version:
            base = state.entries
        elif not change.base:
            base = {}
        else:
            manifest = await self._read_manifest(change.base)
            if manifest is None or change.base > state.manifest.version:
                return Error(_unknown_version(change.base))
            base = await self._read_entries(manifest)
        own = differences(base, _with_sections(base, change.sections))
        others = {c.path: c for c in differences(base, state.entries)}
        beside = tuple(range(change.base + 1, state.manifest.version + 1))
        conflicting = [
            c for c in own if c.path in others and others[c.path].new != c.new
        ]
        if conflicting:
            conflicts = await self._find_conflicts(conflicting, others, beside)
            detail = f"version {state.manifest.version} changed the same entries"
            return Error(
                ApplyError(ApplyErrorKind.CONFLICT, detail, (), tuple(conflicts))
            )
        return Ok(([c for c in own if c.path not in others], beside))

    async def _find_conflicts(
        self,
        conflicting: list[EntryChange],
        others: Mapping[str, EntryChange],
        beside: tuple[int, ...],
    ) -> list[Conflict]:
        manifests: dict[str, VersionManifest] = {}
        for number in beside[-MAX_LISTED_CHANGES:]:
            manifest = await self._read_manifest(number)
            if manifest is not None:
                manifests.update(dict.fromkeys(manifest.changed, manifest))
        conflicts = []
        for c in conflicting:
            manifest = manifests.get(c.path, _NO_MANIFEST)
            conflicts.append(
                Conflict(
                    c.path,
                    manifest.version,
                    manifest.author,
                    manifest.time,
                    others[c.path].new,
                    c.new,
                )
            )
        return conflicts

    async def _commit(
        self,
        change: Change,
        state: _HeadState,
        entries: Entries,
        changes: list[EntryChange],
        beside: tuple[int, ...],
    ) -> Result[ApplyResult, ApplyError] | None:
        sections = pack_sections(entries)
        changed = tuple(c.path for c in changes)
        manifest = VersionManifest(
            state.manifest.version + 1,
            {name: list(chunks) for name, chunks in sections.items()},
            change.author,
            change.apply_id,
            change.base,
            self.clock().isoformat(timespec="seconds"),
            change.note,
            list(changed[:MAX_LISTED_CHANGES]),
        )
        old = set(state.manifest.digests)
        new = {d: c for chunks in sections.values() for d, c in chunks.items()}
        writes = chunk_writes({d: c for d, c in new.items() if d not in old})
        for start in range(0, len(writes), WRITES_PER_COMMIT):
            written = await self.tables.commit(
                writes[start : start + WRITES_PER_COMMIT]
            )
            if written.is_error():
                # no head refers to these chunks yet, so the configuration is
                # unchanged, and writing them again is harmless
                if written.error.kind is StoreErrorKind.UNCERTAIN:
                    return None
                return Error(_store_error(written.error.detail))
        expect = state.row_version or ABSENT
        audit = {
            "time": manifest.time,
            "operator": change.author,
            "action": "apply",
            "what": f"version {manifest.version}: {', '.join(manifest.changed)}",
        }
        result = await self.tables.commit(
            [
                *head_writes(manifest, expect),
                Write(
                    CONFIG_TABLE,
                    APPLY_PREFIX + change.apply_id,
                    json.dumps(
                        [manifest.version, change.digest, list(changed)]
                    ).encode(),
                    ABSENT,
                ),
                Write(
                    CONFIG_TABLE,
                    f"{AUDIT_PREFIX}{manifest.time}/{manifest.version}",
                    json.dumps(audit).encode(),
                ),
            ]
        )
        if result.is_ok():
            _log.info(f"Operator {change.author} made version {manifest.version}.")
            return Ok(ApplyResult(manifest.version, changed, beside))
        if result.error.kind is StoreErrorKind.UNAVAILABLE:
            return Error(_store_error(result.error.detail))
        return None

    async def _find_applied(
        self, change: Change
    ) -> Result[ApplyResult, ApplyError] | None:
        row = await self._read_row(APPLY_PREFIX + change.apply_id)
        if row is None:
            return None
        number, digest, changed = json.loads(row.value)
        if digest != change.digest:
            detail = f"{change.apply_id} identifies another change, version {number}"
            return Error(ApplyError(ApplyErrorKind.ID_REUSED, detail))
        return Ok(ApplyResult(number, tuple(changed), (), True))

    async def _read_head(self) -> _HeadState:
        row = await self._read_row(HEAD_KEY)
        if row is None:
            return _HeadState(0, _NO_MANIFEST, {})
        manifest = _decode_manifest(row.value)
        return _HeadState(row.version, manifest, await self._read_entries(manifest))

    async def _read_manifest(self, number: int) -> VersionManifest | None:
        row = await self._read_row(version_key(number))
        return None if row is None else _decode_manifest(row.value)

    async def _read_entries(self, manifest: VersionManifest) -> Entries:
        limit = asyncio.Semaphore(MAX_CONCURRENT_STORE_READS)

        async def load(digest: str) -> dict[str, Any]:
            async with limit:
                return await self._read_chunk(digest)

        entries: Entries = {}
        for section, digests in manifest.sections.items():
            chunks = await asyncio.gather(*(load(digest) for digest in digests))
            entries[section] = {k: v for chunk in chunks for k, v in chunk.items()}
        return entries

    async def _read_chunk(self, digest: str) -> dict[str, Any]:
        cached = self._chunks.get(digest)
        if cached is not None:
            return cached
        row = await self._read_row(CHUNK_PREFIX + digest)
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
        if len(self._chunks) >= MAX_CACHED_CHUNKS:
            self._chunks.clear()
        self._chunks[digest] = entries
        return entries

    async def _read_row(self, key: str) -> Row | None:
        row = await self.tables.get(CONFIG_TABLE, key)
        if row.is_error():
            raise _StoreFailureError(_store_error(row.error.detail))
        return row.ok


def _with_sections(base: Entries, sections: Mapping[str, Mapping[str, Any]]) -> Entries:
    flattened = flatten(sections)
    result = {section: dict(entries) for section, entries in base.items()}
    for section in sections:
        result[section] = flattened[section]
    if "services" in sections:
        result[ENDPOINTS] = flattened[ENDPOINTS]
    return result


def _check_allowed(changes: list[EntryChange], allows: Allows) -> ApplyError | None:
    refused = [c.path for c in changes if not allows(*editable_path(c.section, c.name))]
    if not refused:
        return None
    detail = f"the key may not change {', '.join(refused[:10])}"
    return ApplyError(ApplyErrorKind.FORBIDDEN, detail)


def _decode_manifest(raw: bytes) -> VersionManifest:
    try:
        return decode_manifest(raw)
    except ManifestError as error:
        raise _StoreFailureError(
            _store_error(f"version manifest cannot be read: {error}")
        ) from error


def _unknown_version(number: int) -> ApplyError:
    detail = f"version {number} does not exist"
    return ApplyError(ApplyErrorKind.UNKNOWN_VERSION, detail)


def _store_error(detail: str) -> ApplyError:
    return ApplyError(ApplyErrorKind.STORE, f"store: {detail}")

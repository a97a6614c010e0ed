"""Bring new versions of the configuration into force.

A few routers poll the store; the others get new versions from their peers.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random

import xxhash
from teaselledge_wire.gen.router.ttypes import (
    HeadNotice,
    SectionAnswer,
    SectionRequest,
)

from teaselledge.log import get_log
from teaselledge.metrics import Metrics, NullMetrics
from teaselledge.platform import TableService
from teaselledge.process.member import Member
from teaselledge.process.mesh import Mesh, Origin, make_message
from teaselledge.version.assemble import DocumentBuilder
from teaselledge.version.document import Version
from teaselledge.version.head import (
    CHUNK_PREFIX,
    CONFIG_TABLE,
    HEAD_KEY,
    ManifestError,
    VersionManifest,
    decode_manifest,
    version_key,
)
from teaselledge.version.sections import chunk_digest, missing_digests

__all__ = ["CONFIG_TABLE", "HEAD_KEY", "ConfigWatcherState", "ConfigWatcher"]

_log = get_log("version")

POLL_SECONDS = 1.0
POLLERS_PER_REGION = 2
"""Routers of a region that poll the store; two, so that one may fail."""

START_TIMEOUT_SECONDS = 2.0
STALE_AFTER_SECONDS = 5.0
"""Age of the last response of the store after which other routers poll too."""

POLLS_PER_HEAD_READ = 5
"""Interval, in polls, at which the head row is read instead of the next version's."""

TICK_SECONDS = 1.0
EMPTY_TICK_SECONDS = 0.25
NOTIFIED_PEERS = 3
CROSS_REGION_FRACTION = 0.125
"""Fraction of notices sent to other regions, whose links are paid for."""

PEER_TIMEOUT_SECONDS = 1.0
MAX_CONCURRENT_STORE_READS = 16
"""Chunks read from the store concurrently."""

MAX_RESPONSE_BYTES = 1024 * 1024
DIGESTS_PER_REQUEST = 256


@dataclass(frozen=True)
class _CompleteVersion:
    """A version's manifest and all its chunks, served to other routers on request."""

    manifest: VersionManifest
    raw: bytes
    chunks: dict[str, bytes]


@dataclass(frozen=True)
class ConfigWatcherState:
    """Configuration state of a router, as reported to operators.

    Attributes
    ----------
    in_force : int
        Version in force; 0 for none.
    known : int
        Highest version that the router has complete.
    unreadable : int
        Version that this release cannot read; 0 for none.
    store_age : float or None
        Seconds since the latest response of the store known to this router, its own
        or one that a notice reported.
    polls : bool
        Whether this router polls the store.
    store_behind : bool
        The store has an older version than the fleet.
    """

    in_force: int
    known: int
    unreadable: int
    store_age: float | None
    polls: bool
    store_behind: bool


class ConfigWatcher:
    """Applies new versions of the configuration, never a lower one than before.

    Parameters
    ----------
    tables : TableService
        The store.
    mesh : Mesh
        Messages to the other routers.
    members : callable
        Live routers, this one included.
    on_version : callable
        Called with each version that comes into force.
    metrics : Metrics, optional
        Receives counters and gauges.
    """

    def __init__(
        self,
        tables: TableService,
        mesh: Mesh,
        members: Callable[[], Iterable[Member]],
        on_version: Callable[[Version], None],
        metrics: Metrics | None = None,
    ) -> None:
        self._tables = tables
        self._mesh = mesh
        self._members = members
        self._on_version = on_version
        self._metrics = metrics or NullMetrics()
        self._random = Random(mesh.origin.incarnation)
        self._builder = DocumentBuilder()
        self._latest: _CompleteVersion | None = None
        self._current: Version | None = None
        self._unreadable = 0
        self._store_confirmed_at: float | None = None
        self._poll_count = 0
        self._store_reachable = True
        self._store_behind = False
        self._newer_versions: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._pending_manifest: tuple[str, asyncio.Future[bytes]] | None = None
        self._pending_chunks: tuple[str, asyncio.Future[dict[str, bytes]]] | None = None
        mesh.subscribe("head_notice", self._on_notice)
        mesh.subscribe("section_request", self._on_request)
        mesh.subscribe("section_answer", self._on_response)

    @property
    def current(self) -> Version | None:
        """The version in force."""
        return self._current

    @property
    def state(self) -> ConfigWatcherState:
        """The state shown to operators."""
        now = asyncio.get_running_loop().time()
        return ConfigWatcherState(
            self._current.number if self._current else 0,
            self._latest_number(),
            self._unreadable,
            None
            if self._store_confirmed_at is None
            else now - self._store_confirmed_at,
            self._is_poller(),
            self._store_behind,
        )

    async def refresh(self) -> None:
        """Read the head row once and apply a newer version."""
        row = await self._tables.get(CONFIG_TABLE, HEAD_KEY)
        if row.is_error():
            self._set_store_reachable(False)
            return
        self._set_store_reachable(True)
        self._store_confirmed_at = asyncio.get_running_loop().time()
        if row.ok is not None:
            await self._update_from_store(row.ok.value)

    async def start(self) -> None:
        """Read the head row once, but do not wait for a slow store.

        While it waits, the router gets no messages of its peers, which may have
        the version.
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                await self._run_step(self.refresh())
        except TimeoutError:
            self._set_store_reachable(False)

    async def run(self) -> None:
        """Poll, send notices and fetch from peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll())
            group.create_task(self._tick())
            group.create_task(self._catch_up())

    async def _poll(self) -> None:
        while True:
            # spread the polls of routers that started at the same time
            await asyncio.sleep(POLL_SECONDS * self._random.uniform(0.9, 1.1))
            if not self._should_poll():
                continue
            self._poll_count += 1
            read_head = (
                self._latest is None or self._poll_count % POLLS_PER_HEAD_READ == 0
            )
            await self._run_step(self.refresh() if read_head else self._poll_next())

    async def _run_step(self, step: Awaitable[None]) -> None:
        """Await a step and log any exception.

        A malformed response, such as an error page of a proxy in front of the
        store, would otherwise end the task and with it all further updates.
        """
        try:
            await step
        except Exception as error:
            self._set_store_reachable(False)
            _log.error(f"Configuration update failed: {type(error).__name__}.")

    async def _poll_next(self) -> None:
        # versions are numbered without gaps, so reading the next row costs an
        # empty response instead of a whole manifest
        key = version_key(self._latest_number() + 1)
        row = await self._tables.get(CONFIG_TABLE, key)
        if row.is_error():
            self._set_store_reachable(False)
            return
        self._set_store_reachable(True)
        self._store_confirmed_at = asyncio.get_running_loop().time()
        if row.ok is not None:
            await self._update_from_store(row.ok.value)
            # more than one version may have been accepted since the last poll
            await self.refresh()

    async def _update_from_store(self, raw: bytes) -> None:
        manifest = self._decode(raw)
        if manifest is None:
            return
        # an older version than the fleet's comes from a stale read or a store that
        # lost writes; applying it would revert changes of operators
        self._store_behind = manifest.version < self._latest_number()
        if manifest.version <= self._latest_number():
            return
        chunks = self._reusable_chunks(manifest)
        await self._fetch_from_store(manifest, chunks)
        self._apply_version(manifest, raw, chunks)

    async def _fetch_from_store(
        self, manifest: VersionManifest, chunks: dict[str, bytes]
    ) -> None:
        limit = asyncio.Semaphore(MAX_CONCURRENT_STORE_READS)

        async def fetch(digest: str) -> None:
            async with limit:
                row = await self._tables.get(CONFIG_TABLE, CHUNK_PREFIX + digest)
            if row.is_error() or row.ok is None:
                self._metrics.count("store.errors")
                return
            if chunk_digest(row.ok.value) == digest:
                chunks[digest] = row.ok.value

        await asyncio.gather(
            *(fetch(d) for d in missing_digests(manifest.digests, chunks))
        )

    async def _tick(self) -> None:
        while True:
            empty = self._latest is None
            await asyncio.sleep(EMPTY_TICK_SECONDS if empty else TICK_SECONDS)
            for vm in self._choose_peers(1):
                self._send_notice(vm)
            if self._store_confirmed_at is not None:
                age = asyncio.get_running_loop().time() - self._store_confirmed_at
                self._metrics.gauge("version.store_age", age)

    async def _catch_up(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._newer_versions:
                vm = max(
                    self._newer_versions,
                    key=lambda name: (self._newer_versions[name], name),
                )
                version = self._newer_versions.pop(vm)
                if version > self._latest_number():
                    await self._run_step(self._fetch_from_peer(vm))

    async def _fetch_from_peer(self, vm: str) -> None:
        raw = await self._request_manifest(vm)
        manifest = self._decode(raw) if raw else None
        if manifest is None or raw is None or manifest.version <= self._latest_number():
            return
        chunks = self._reusable_chunks(manifest)
        missing = missing_digests(manifest.digests, chunks)
        for start in range(0, len(missing), DIGESTS_PER_REQUEST):
            batch = missing[start : start + DIGESTS_PER_REQUEST]
            chunks.update(await self._request_chunks(vm, batch))
        if missing_digests(manifest.digests, chunks):
            await self._fetch_from_store(manifest, chunks)
        self._apply_version(manifest, raw, chunks)

    async def _request_manifest(self, vm: str) -> bytes | None:
        response: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._pending_manifest = (vm, response)
        self._mesh.send(vm, make_message("section_request", SectionRequest([])))
        try:
            async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
                return await response
        except TimeoutError:
            return None
        finally:
            self._pending_manifest = None

    async def _request_chunks(self, vm: str, digests: list[str]) -> dict[str, bytes]:
        loop = asyncio.get_running_loop()
        response: asyncio.Future[dict[str, bytes]] = loop.create_future()
        self._pending_chunks = (vm, response)
        self._mesh.send(vm, make_message("section_request", SectionRequest(digests)))
        try:
            async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
                received = await response
        except TimeoutError:
            return {}
        finally:
            self._pending_chunks = None
        # a damaged chunk would otherwise be sent on to other routers
        return {
            d: received[d]
            for d in digests
            if d in received and chunk_digest(received[d]) == d
        }

    def _apply_version(
        self, manifest: VersionManifest, raw: bytes, chunks: Mapping[str, bytes]
    ) -> None:
        """Store a complete newer version, and bring it into force if readable."""
        if manifest.version <= self._latest_number() or missing_digests(
            manifest.digests, chunks
        ):
            return
        self._latest = _CompleteVersion(
            manifest, raw, {d: chunks[d] for d in manifest.digests}
        )
        built = self._builder.build(manifest, self._latest.chunks)
        if built.is_error():
            # written by a newer release; the version in force stays, and peers can
            # still fetch this one
            self._unreadable = manifest.version
            self._metrics.count("version.unreadable")
            faults = "; ".join(built.error[:3])
            _log.error(f"Version {manifest.version} cannot be read: {faults}.")
        else:
            self._unreadable = 0
            self._current = Version(manifest.version, built.ok)
            self._metrics.gauge("version.in_force", manifest.version)
            _log.info(f"Version {manifest.version} is in force.")
            self._on_version(self._current)
        for vm in self._choose_peers(NOTIFIED_PEERS):
            self._send_notice(vm)

    def _reusable_chunks(self, manifest: VersionManifest) -> dict[str, bytes]:
        if self._latest is None:
            return {}
        stored = self._latest.chunks
        return {
            digest: stored[digest] for digest in manifest.digests if digest in stored
        }

    def _decode(self, raw: bytes) -> VersionManifest | None:
        try:
            return decode_manifest(raw)
        except ManifestError as error:
            self._metrics.count("version.unreadable")
            _log.error(f"Version manifest cannot be read: {error}.")
            return None

    def _latest_number(self) -> int:
        return self._latest.manifest.version if self._latest else 0

    def _set_store_reachable(self, reachable: bool) -> None:
        if not reachable:
            self._metrics.count("store.errors")
        if reachable != self._store_reachable:
            _log.warning(
                "Store is reachable again." if reachable else "Store is unreachable."
            )
        self._store_reachable = reachable

    def _region_members(self) -> list[Member]:
        members = list(self._members())
        own = next((m for m in members if m.vm == self._mesh.origin.vm), None)
        if own is None:
            return members
        return [member for member in members if member.region == own.region]

    def _is_poller(self) -> bool:
        names = {member.vm for member in self._region_members()} | {
            self._mesh.origin.vm
        }
        ranked = sorted(names, key=lambda vm: xxhash.xxh3_64_intdigest(vm.encode()))
        return self._mesh.origin.vm in ranked[:POLLERS_PER_REGION]

    def _should_poll(self) -> bool:
        """Return whether to poll now.

        If all pollers of a region lose the store but not their peers, the region
        would get no new version. Notices carry the age of the store's last
        response; once it is too old, the other routers poll too, each with a
        probability that keeps the load on the store the same.
        """
        if self._is_poller():
            return True
        now = asyncio.get_running_loop().time()
        if (
            self._store_confirmed_at is not None
            and now - self._store_confirmed_at < STALE_AFTER_SECONDS
        ):
            return False
        return self._random.random() < POLLERS_PER_REGION / max(
            1, len(self._region_members())
        )

    def _choose_peers(self, count: int) -> list[str]:
        """Return randomly chosen other routers, usually of this region."""
        own = self._mesh.origin.vm
        same_region = {member.vm for member in self._region_members()} - {own}
        other_regions = {member.vm for member in self._members()} - same_region - {own}
        if other_regions and (
            not same_region or self._random.random() < CROSS_REGION_FRACTION
        ):
            return [self._random.choice(sorted(other_regions))]
        return self._random.sample(sorted(same_region), min(count, len(same_region)))

    def _send_notice(self, vm: str, raw_manifest: bytes = b"") -> None:
        now = asyncio.get_running_loop().time()
        age = (
            None
            if self._store_confirmed_at is None
            else int((now - self._store_confirmed_at) * 1000)
        )
        self._mesh.send(
            vm,
            make_message(
                "head_notice", HeadNotice(self._latest_number(), raw_manifest, age)
            ),
        )

    def _on_notice(self, origin: Origin, _s: str, _z: str, body: HeadNotice) -> None:
        if body.confirmed_ms is not None and body.confirmed_ms >= 0:
            now = asyncio.get_running_loop().time()
            confirmed_at = now - body.confirmed_ms / 1000
            if (
                self._store_confirmed_at is None
                or confirmed_at > self._store_confirmed_at
            ):
                self._store_confirmed_at = confirmed_at
        pending = self._pending_manifest
        if body.head and pending and pending[0] == origin.vm and not pending[1].done():
            pending[1].set_result(body.head)
            return
        version = body.version or 0
        if version > self._latest_number():
            self._newer_versions[origin.vm] = version
            self._wake.set()
        elif version < self._latest_number():
            self._send_notice(origin.vm)

    def _on_request(
        self, origin: Origin, _s: str, _z: str, body: SectionRequest
    ) -> None:
        latest = self._latest
        if latest is None:
            return
        if not body.digests:
            self._send_notice(origin.vm, latest.raw)
            return
        found: dict[str, bytes] = {}
        size = 0
        for digest in body.digests:
            chunk = latest.chunks.get(digest)
            if chunk is None or size + len(chunk) > MAX_RESPONSE_BYTES:
                continue
            found[digest] = chunk
            size += len(chunk)
        self._mesh.send(origin.vm, make_message("section_answer", SectionAnswer(found)))

    def _on_response(
        self, origin: Origin, _s: str, _z: str, body: SectionAnswer
    ) -> None:
        pending = self._pending_chunks
        if pending and pending[0] == origin.vm and not pending[1].done():
            pending[1].set_result(body.sections or {})

"""Follow the configuration: poll the store in few routers, pass it on in all."""

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
"""Routers of a region that poll the store; two, so that one may die."""

START_SECONDS = 2.0
STALE_SECONDS = 5.0
"""Age of the last word from the store after which others poll too."""

POLLS_PER_HEAD_READ = 5
"""Each so many polls read the head itself instead of the next version's row."""

TICK_SECONDS = 1.0
EMPTY_TICK_SECONDS = 0.25
NOTICE_FANOUT = 3
CROSS_REGION_FRACTION = 0.125
"""Part of the notices that go to other regions, over the paid links."""

ASK_SECONDS = 1.0
STORE_READS = 16
"""Chunks read from the store at once."""

MAX_ANSWER_BYTES = 1024 * 1024
ASK_DIGESTS = 256


@dataclass(frozen=True)
class _Held:
    """A head with all its chunks, which other routers may ask for."""

    head: VersionManifest
    raw: bytes
    chunks: dict[str, bytes]


@dataclass(frozen=True)
class ConfigWatcherState:
    """What a router tells of its configuration.

    Attributes
    ----------
    in_force : int
        Version in force; 0 for none.
    known : int
        Highest version that it has in full.
    unreadable : int
        Version that this release can't read; 0 for none.
    store_age : float or None
        Seconds since any router told that the store had answered.
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
    """Brings new versions into force and never goes back to a lower one.

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
        Where it counts.
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
        self._assembler = DocumentBuilder()
        self._held: _Held | None = None
        self._current: Version | None = None
        self._unreadable = 0
        self._confirmed: float | None = None
        self._polls = 0
        self._store_well = True
        self._store_behind = False
        self._ahead: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._head_asked: tuple[str, asyncio.Future[bytes]] | None = None
        self._chunks_asked: tuple[str, asyncio.Future[dict[str, bytes]]] | None = None
        mesh.subscribe("head_notice", self._on_notice)
        mesh.subscribe("section_request", self._on_request)
        mesh.subscribe("section_answer", self._on_answer)

    @property
    def current(self) -> Version | None:
        """The version in force."""
        return self._current

    @property
    def state(self) -> ConfigWatcherState:
        """What to show to operators."""
        now = asyncio.get_running_loop().time()
        return ConfigWatcherState(
            self._current.number if self._current else 0,
            self._number(),
            self._unreadable,
            None if self._confirmed is None else now - self._confirmed,
            self._is_poller(),
            self._store_behind,
        )

    async def refresh(self) -> None:
        """Read the head once and take a newer version."""
        head = await self._tables.get(CONFIG_TABLE, HEAD_KEY)
        if head.is_error():
            self._note_store(False)
            return
        self._note_store(True)
        self._confirmed = asyncio.get_running_loop().time()
        if head.ok is not None:
            await self._take_from_store(head.ok.value)

    async def start(self) -> None:
        """Read the head once, but do not wait for a slow store.

        A router that waited would not hear its peers either, which could give
        it the version at once.
        """
        try:
            async with asyncio.timeout(START_SECONDS):
                await self._guard(self.refresh())
        except TimeoutError:
            self._note_store(False)

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll())
            group.create_task(self._tick())
            group.create_task(self._catch_up())

    async def _poll(self) -> None:
        while True:
            # routers that started together must not poll together
            await asyncio.sleep(POLL_SECONDS * self._random.uniform(0.9, 1.1))
            if not self._must_poll():
                continue
            self._polls += 1
            whole = self._held is None or self._polls % POLLS_PER_HEAD_READ == 0
            await self._guard(self.refresh() if whole else self._poll_next())

    async def _guard(self, work: Awaitable[None]) -> None:
        """Await a part of the following, and go on whatever it raises.

        An answer that is no row, such as a page of a proxy before the store,
        would end the task, and the router would never take a version again.
        """
        try:
            await work
        except Exception as error:
            self._note_store(False)
            _log.error(f"Following failed: {type(error).__name__}.")

    async def _poll_next(self) -> None:
        # versions are numbered without gaps, so asking for the next one costs
        # an empty answer instead of a whole head
        key = version_key(self._number() + 1)
        row = await self._tables.get(CONFIG_TABLE, key)
        if row.is_error():
            self._note_store(False)
            return
        self._note_store(True)
        self._confirmed = asyncio.get_running_loop().time()
        if row.ok is not None:
            await self._take_from_store(row.ok.value)
            # several may have been accepted since the last poll
            await self.refresh()

    async def _take_from_store(self, raw: bytes) -> None:
        head = self._decode(raw)
        if head is None:
            return
        # an older head than the fleet's is a stale read, or a store that lost
        # writes; taking it would bring back what operators have replaced
        self._store_behind = head.version < self._number()
        if head.version <= self._number():
            return
        chunks = self._known(head)
        await self._fetch_from_store(head, chunks)
        self._adopt(head, raw, chunks)

    async def _fetch_from_store(
        self, head: VersionManifest, chunks: dict[str, bytes]
    ) -> None:
        limit = asyncio.Semaphore(STORE_READS)

        async def fetch(digest: str) -> None:
            async with limit:
                row = await self._tables.get(CONFIG_TABLE, CHUNK_PREFIX + digest)
            if row.is_error() or row.ok is None:
                self._metrics.count("store.errors")
                return
            if chunk_digest(row.ok.value) == digest:
                chunks[digest] = row.ok.value

        await asyncio.gather(*(fetch(d) for d in missing_digests(head.digests, chunks)))

    async def _tick(self) -> None:
        while True:
            empty = self._held is None
            await asyncio.sleep(EMPTY_TICK_SECONDS if empty else TICK_SECONDS)
            for vm in self._pick(1):
                self._send_notice(vm)
            if self._confirmed is not None:
                age = asyncio.get_running_loop().time() - self._confirmed
                self._metrics.gauge("version.store_age", age)

    async def _catch_up(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._ahead:
                vm = max(self._ahead, key=lambda name: (self._ahead[name], name))
                version = self._ahead.pop(vm)
                if version > self._number():
                    await self._guard(self._pull(vm))

    async def _pull(self, vm: str) -> None:
        raw = await self._ask_head(vm)
        head = self._decode(raw) if raw else None
        if head is None or raw is None or head.version <= self._number():
            return
        chunks = self._known(head)
        wanted = missing_digests(head.digests, chunks)
        for start in range(0, len(wanted), ASK_DIGESTS):
            part = wanted[start : start + ASK_DIGESTS]
            chunks.update(await self._ask_chunks(vm, part))
        if missing_digests(head.digests, chunks):
            await self._fetch_from_store(head, chunks)
        self._adopt(head, raw, chunks)

    async def _ask_head(self, vm: str) -> bytes | None:
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._head_asked = (vm, answer)
        self._mesh.send(vm, make_message("section_request", SectionRequest([])))
        try:
            async with asyncio.timeout(ASK_SECONDS):
                return await answer
        except TimeoutError:
            return None
        finally:
            self._head_asked = None

    async def _ask_chunks(self, vm: str, digests: list[str]) -> dict[str, bytes]:
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[dict[str, bytes]] = loop.create_future()
        self._chunks_asked = (vm, answer)
        self._mesh.send(vm, make_message("section_request", SectionRequest(digests)))
        try:
            async with asyncio.timeout(ASK_SECONDS):
                given = await answer
        except TimeoutError:
            return {}
        finally:
            self._chunks_asked = None
        # a damaged chunk would be passed on as if it were the version's
        return {
            d: given[d] for d in digests if d in given and chunk_digest(given[d]) == d
        }

    def _adopt(
        self, head: VersionManifest, raw: bytes, chunks: Mapping[str, bytes]
    ) -> None:
        """Hold a complete newer version, and bring it into force if readable."""
        if head.version <= self._number() or missing_digests(head.digests, chunks):
            return
        self._held = _Held(head, raw, {d: chunks[d] for d in head.digests})
        built = self._assembler.build(head, self._held.chunks)
        if built.is_error():
            # a newer release wrote it; this one goes on serving what it has,
            # and still passes the version on
            self._unreadable = head.version
            self._metrics.count("version.unreadable")
            faults = "; ".join(built.error[:3])
            _log.error(f"Version {head.version} can't be read: {faults}.")
        else:
            self._unreadable = 0
            self._current = Version(head.version, built.ok)
            self._metrics.gauge("version.in_force", head.version)
            _log.info(f"Version {head.version} is in force.")
            self._on_version(self._current)
        for vm in self._pick(NOTICE_FANOUT):
            self._send_notice(vm)

    def _known(self, head: VersionManifest) -> dict[str, bytes]:
        if self._held is None:
            return {}
        held = self._held.chunks
        return {digest: held[digest] for digest in head.digests if digest in held}

    def _decode(self, raw: bytes) -> VersionManifest | None:
        try:
            return decode_manifest(raw)
        except ManifestError as error:
            self._metrics.count("version.unreadable")
            _log.error(f"Head can't be read: {error}.")
            return None

    def _number(self) -> int:
        return self._held.head.version if self._held else 0

    def _note_store(self, well: bool) -> None:
        if not well:
            self._metrics.count("store.errors")
        if well != self._store_well:
            _log.warning("Store answers again." if well else "Store is out of reach.")
        self._store_well = well

    def _near(self) -> list[Member]:
        members = list(self._members())
        own = next((m for m in members if m.vm == self._mesh.origin.vm), None)
        if own is None:
            return members
        return [member for member in members if member.region == own.region]

    def _is_poller(self) -> bool:
        names = {member.vm for member in self._near()} | {self._mesh.origin.vm}
        ranked = sorted(names, key=lambda vm: xxhash.xxh3_64_intdigest(vm.encode()))
        return self._mesh.origin.vm in ranked[:POLLERS_PER_REGION]

    def _must_poll(self) -> bool:
        """Return whether to poll now.

        A poller that is cut off from the store but not from its peers would
        keep its region from every new version. Notices carry the age of the
        last answer of the store, and when that grows the others poll, each now
        and then, so that the load on the store stays the same.
        """
        if self._is_poller():
            return True
        now = asyncio.get_running_loop().time()
        if self._confirmed is not None and now - self._confirmed < STALE_SECONDS:
            return False
        return self._random.random() < POLLERS_PER_REGION / max(1, len(self._near()))

    def _pick(self, count: int) -> list[str]:
        """Return some other routers, most of them of this region."""
        own = self._mesh.origin.vm
        near = {member.vm for member in self._near()} - {own}
        far = {member.vm for member in self._members()} - near - {own}
        if far and (not near or self._random.random() < CROSS_REGION_FRACTION):
            return [self._random.choice(sorted(far))]
        return self._random.sample(sorted(near), min(count, len(near)))

    def _send_notice(self, vm: str, head: bytes = b"") -> None:
        now = asyncio.get_running_loop().time()
        age = None if self._confirmed is None else int((now - self._confirmed) * 1000)
        self._mesh.send(
            vm, make_message("head_notice", HeadNotice(self._number(), head, age))
        )

    def _on_notice(self, origin: Origin, _s: str, _z: str, body: HeadNotice) -> None:
        if body.confirmed_ms is not None and body.confirmed_ms >= 0:
            now = asyncio.get_running_loop().time()
            confirmed = now - body.confirmed_ms / 1000
            if self._confirmed is None or confirmed > self._confirmed:
                self._confirmed = confirmed
        asked = self._head_asked
        if body.head and asked and asked[0] == origin.vm and not asked[1].done():
            asked[1].set_result(body.head)
            return
        version = body.version or 0
        if version > self._number():
            self._ahead[origin.vm] = version
            self._wake.set()
        elif version < self._number():
            self._send_notice(origin.vm)

    def _on_request(
        self, origin: Origin, _s: str, _z: str, body: SectionRequest
    ) -> None:
        held = self._held
        if held is None:
            return
        if not body.digests:
            self._send_notice(origin.vm, held.raw)
            return
        given: dict[str, bytes] = {}
        size = 0
        for digest in body.digests:
            chunk = held.chunks.get(digest)
            if chunk is None or size + len(chunk) > MAX_ANSWER_BYTES:
                continue
            given[digest] = chunk
            size += len(chunk)
        self._mesh.send(origin.vm, make_message("section_answer", SectionAnswer(given)))

    def _on_answer(self, origin: Origin, _s: str, _z: str, body: SectionAnswer) -> None:
        asked = self._chunks_asked
        if asked and asked[0] == origin.vm and not asked[1].done():
            asked[1].set_result(body.sections or {})

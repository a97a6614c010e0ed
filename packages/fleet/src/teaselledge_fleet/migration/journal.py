"""Origins of streams in the store, while their routes have several possible ones.

Each router has a ring of rows; each row holds the origins of a fraction of a second and
is written once. A row is replaced when its origins no longer count.
"""

import asyncio
import json
import time
from collections import defaultdict
from collections.abc import Callable, Iterator

from teaselledge_fleet.log import get_log
from teaselledge_fleet.migration.origins import (
    MAX_ORIGINS,
    RETENTION_SECONDS,
    OriginTable,
    StreamOrigin,
)
from teaselledge_fleet.migration.sharedreads import SharedReads
from teaselledge_fleet.process.store import StateStore

__all__ = ["OriginJournal", "decode_row", "encode_row"]

_log = get_log("streams")

ROW_SECONDS = 0.25
"""Time of which a row holds the origins. If all routers are lost at once, so are the
origins of this time; short streams last twice as long."""

ROW_COUNT = int(RETENTION_SECONDS / ROW_SECONDS) + 1
MAX_ORIGINS_PER_ROW = 2000
"""A row of the store holds 65,536 bytes; each origin takes 19."""

RETRY_SECONDS = 1.0
"""Additional time after a write that failed, as calls to the store are limited."""

MIN_READ_SECONDS = 0.25
"""Minimum time between two reads of the journal."""

CONTRADICTION = StreamOrigin("", "")
"""Stands for the origin of a stream that was recorded with two different ones. No
service has this name, so that the stream goes on nowhere."""

KEY_PREFIX = "origins/"
END_OF_KEYS = "origins0"
"""The first key after all that begin with the prefix."""


def encode_row(origins: dict[int, StreamOrigin]) -> bytes:
    """Encode the origins of streams, by stream key."""
    keys: defaultdict[str, defaultdict[str, list[str]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for key, origin in origins.items():
        keys[origin.service][origin.version].append(f"{key:x}")
    return json.dumps(keys, separators=(",", ":")).encode()


def decode_row(data: bytes) -> dict[int, StreamOrigin]:
    """Decode a row; one that can't be decoded holds no origins."""
    try:
        return dict(_decode_origins(json.loads(data)))
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        _log.warning("row of origins malformed", error=repr(error))
        return {}


def _decode_origins(
    services: dict[str, dict[str, list[str]]],
) -> Iterator[tuple[int, StreamOrigin]]:
    for service, versions in services.items():
        for version, keys in versions.items():
            origin = StreamOrigin(service, version)
            for key in keys:
                yield int(key, 16), origin


class OriginJournal:
    """Writes the origins of streams that began in this zone, and reads those of all.

    Parameters
    ----------
    store : StateStore
        Store that holds the rows.
    vm : str
        Name of this router's VM.
    wall_clock : callable, optional
        Returns a time that goes on while the process does not run.
    """

    def __init__(
        self,
        store: StateStore,
        vm: str,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._vm = vm
        self._wall_clock = wall_clock
        self._pending: dict[int, StreamOrigin] = {}
        self._filled = asyncio.Event()
        self._found = OriginTable()
        self._reads = SharedReads(self._read, MIN_READ_SECONDS)
        self.written_rows = 0

    def add(self, key: int, origin: StreamOrigin) -> None:
        """Write the origin of a stream with the next row.

        Two origins that differ cancel each other.
        """
        known = self._pending.get(key, origin)
        self._pending[key] = origin if known == origin else CONTRADICTION
        if len(self._pending) > MAX_ORIGINS:
            del self._pending[next(iter(self._pending))]
        self._filled.set()

    async def run(self) -> None:
        """Write rows while there are origins, until cancelled."""
        while True:
            await self._filled.wait()
            await asyncio.sleep(ROW_SECONDS)
            if not await self._write_row():
                await asyncio.sleep(RETRY_SECONDS)

    async def find(self, key: int) -> tuple[bool, StreamOrigin | None]:
        """Return whether the journal could be read, and what began a stream.

        The rows are read after the call, as its stream may have begun just before.
        """
        origin = self._found.get(key)
        if origin is not None:
            return True, origin
        complete = await self._reads.get()
        return complete, self._found.get(key)

    async def _write_row(self) -> bool:
        items = list(self._pending.items())[:MAX_ORIGINS_PER_ROW]
        number = int(self._wall_clock() / ROW_SECONDS) % ROW_COUNT
        written = await self._store.put_stream_row(
            f"{KEY_PREFIX}{self._vm}/{number:03d}", encode_row(dict(items)), None
        )
        if written.is_error():
            # in the next row
            return False
        self.written_rows += 1
        for key, _ in items:
            self._pending.pop(key, None)
        if not self._pending:
            self._filled.clear()
        return True

    async def _read(self) -> bool:
        read = await self._store.stream_rows(KEY_PREFIX, END_OF_KEYS)
        if read.is_error():
            return False
        for row in read.ok.rows.values():
            for key, origin in decode_row(row.data).items():
                self._found.record(key, origin)
        return True

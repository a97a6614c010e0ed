"""Start the history of a router from the record in the store."""

import asyncio

from teaselledge_fleet.log import get_log
from teaselledge_fleet.migration.history import OriginHistory
from teaselledge_fleet.migration.record import decode_record
from teaselledge_fleet.migration.recorder import END_OF_RECORD, RECORD_KEY
from teaselledge_fleet.process.store import StateStore

__all__ = ["HistorySeeder"]

_log = get_log("streams")

FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.5


class HistorySeeder:
    """Reads the record at the start, and after each gap in what the router hears.

    Parameters
    ----------
    store : StateStore
        Store that holds the record.
    history : OriginHistory
        History to start.
    """

    def __init__(self, store: StateStore, history: OriginHistory) -> None:
        self._store = store
        self._history = history
        self._gap = asyncio.Event()
        self._gap.set()

    def on_gap(self) -> None:
        """Require the record again, as this router may have missed changes."""
        self._history.unseed()
        self._gap.set()

    async def run(self) -> None:
        """Read the record whenever it is required, until cancelled."""
        while True:
            await self._gap.wait()
            self._gap.clear()
            delay = FIRST_RETRY_SECONDS
            while not await self._seed():
                await asyncio.sleep(delay)
                delay = min(MAX_RETRY_SECONDS, 2 * delay)

    async def _seed(self) -> bool:
        if self._history.routing is None:
            return False
        read = await self._store.stream_rows(RECORD_KEY, END_OF_RECORD)
        found = read.ok.rows.get(RECORD_KEY) if read.is_ok() else None
        if found is None:
            return False
        decoded = decode_record(found.data)
        if decoded.is_error():
            _log.warning("record of origins malformed", error=decoded.error)
            return False
        rows = read.ok
        seeded = self._history.seed(decoded.ok, rows.revision.era, rows.now)
        if seeded:
            _log.info("origins known", complete_since=decoded.ok.complete_since)
        return seeded

"""Read what may have begun the streams of a route, as the store has it now."""

import asyncio
from dataclasses import dataclass

from teaselledge_fleet.log import get_log
from teaselledge_fleet.migration.origins import StreamOrigin
from teaselledge_fleet.migration.record import (
    COUNTED_SECONDS,
    OriginRecord,
    decode_record,
    route_key,
    targets_digest,
)
from teaselledge_fleet.migration.recorder import END_OF_RECORD, RECORD_KEY
from teaselledge_fleet.migration.sharedreads import SharedReads
from teaselledge_fleet.process.store import StateStore
from teaselledge_fleet.version.routes import Route, RoutingConfiguration

__all__ = ["RecordReader", "RecordReading", "possible_origins"]

_log = get_log("streams")

READ_SECONDS = 0.4
"""Time to wait for the store, which responds in 4 ms."""

MIN_READ_SECONDS = 0.25
"""Minimum time between two reads of the record."""


@dataclass(frozen=True)
class RecordReading:
    """The record as it was read.

    Attributes
    ----------
    record : OriginRecord or None
        The record; None if there is none, or one that can't be decoded.
    era : int
        Era of the store.
    now : float
        Time of the store, in seconds.
    """

    record: OriginRecord | None
    era: int
    now: float


def possible_origins(
    reading: RecordReading, route: Route, routing: RoutingConfiguration | None
) -> frozenset[StreamOrigin] | None:
    """Return what may have begun the streams of a route by then.

    A version is in the record before any router uses it, so that none is missing,
    whatever the router that reads has heard of. Returns None if the record does not
    tell: it may be incomplete, or the route may have had other services.
    """
    record, now = reading.record, reading.now
    if record is None or record.era != reading.era:
        return None
    if record.complete_since and now < record.complete_since + COUNTED_SECONDS:
        return None
    if record.targets_digest != targets_digest(routing):
        return None
    changed_at = record.changed_routes.get(route_key(route))
    if changed_at is not None and now - changed_at <= COUNTED_SECONDS:
        return None
    services = {target.service for target in route.targets}
    return frozenset(
        origin
        for origin, left_at in record.origins.items()
        if origin.service in services
        and (left_at is None or now - left_at <= COUNTED_SECONDS)
    )


class RecordReader:
    """Reads the record for requests that need it as it is now.

    Parameters
    ----------
    store : StateStore
        Store that holds the record.
    """

    def __init__(self, store: StateStore) -> None:
        self._store = store
        self._reads = SharedReads(self._read, MIN_READ_SECONDS)

    async def read(self) -> RecordReading | None:
        """Return the record as of now; None if the store gives no answer."""
        return await self._reads.get()

    async def _read(self) -> RecordReading | None:
        try:
            async with asyncio.timeout(READ_SECONDS):
                read = await self._store.stream_rows(RECORD_KEY, END_OF_RECORD)
        except TimeoutError:
            return None
        if read.is_error():
            return None
        row = read.ok.rows.get(RECORD_KEY)
        decoded = decode_record(row.data) if row is not None else None
        if decoded is not None and decoded.is_error():
            _log.warning("record of origins malformed", error=decoded.error)
            decoded = None
        record = decoded.ok if decoded is not None else None
        return RecordReading(record, read.ok.revision.era, read.ok.now)

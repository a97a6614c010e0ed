"""Keep the record of possible origins in the store, ahead of what routers use."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from teaselledge_fleet.log import get_log
from teaselledge_fleet.migration.origins import StreamOrigin
from teaselledge_fleet.migration.record import (
    Observation,
    OriginRecord,
    decode_record,
    encode_record,
    next_record,
    targets_digest,
)
from teaselledge_fleet.process.endpoints import EndpointEntry, EndpointView
from teaselledge_fleet.process.store import EndpointRows, StateStore
from teaselledge_fleet.version.routes import RoutingConfiguration

__all__ = ["END_OF_RECORD", "RECORD_KEY", "OriginRecorder"]

_log = get_log("streams")

RECORD_KEY = "possible-origins"
END_OF_RECORD = RECORD_KEY + "!"
"""A key after that of the record, and before any other one."""

CHECK_SECONDS = 10.0
"""Time after which the record is read again, as another router may have written it."""

RETRY_SECONDS = 0.2
MAX_ROUTINGS = 4
"""Maximum of configurations that are kept to compare the next one with."""

WITHHOLD_SECONDS = 2.0
"""Longest time for which engines wait for the record. If it can't be written for so
long, serving goes before taking streams up after the loss of all routers."""


class OriginRecorder:
    """Writes the record on the router that reads the endpoints from the store.

    An engine whose version the record does not name yet is withheld from the fleet
    until it does.

    Parameters
    ----------
    store : StateStore
        Store that holds the record.
    view : EndpointView
        Endpoints that this router knows.

    Attributes
    ----------
    on_recorded : callable
        Called after withheld engines were recorded, or have waited long enough.
    """

    def __init__(self, store: StateStore, view: EndpointView) -> None:
        self._store = store
        self._view = view
        self._record: OriginRecord | None = None
        self._checked_at = 0.0
        self._era = 0
        self._present: frozenset[StreamOrigin] = frozenset()
        self._routing: RoutingConfiguration | None = None
        self._targets_digest = 0
        self._routings: dict[int, RoutingConfiguration] = {}
        """The last configurations with different services, by digest."""
        self._withheld_since: float | None = None
        self._wake = asyncio.Event()
        self.on_recorded: Callable[[], None] = lambda: None

    def withhold(self, rows: EndpointRows) -> EndpointRows:
        """Return the rows without the engines whose versions are not recorded yet."""
        self._era = rows.revision.era
        endpoints = [
            each.endpoint for each in rows.entries if each.endpoint is not None
        ]
        self._present = frozenset(StreamOrigin(e.service, e.version) for e in endpoints)
        if self._is_due():
            self._wake.set()
        unrecorded = self._unrecorded()
        if not unrecorded:
            self._withheld_since = None
            return rows
        now = self._now()
        if self._withheld_since is None:
            self._withheld_since = now
        if now - self._withheld_since > WITHHOLD_SECONDS:
            _log.warning("versions not recorded", origins=sorted(map(str, unrecorded)))
            return rows
        kept = [self._without(each, unrecorded) for each in rows.entries]
        return replace(rows, entries=tuple(each for each in kept if each is not None))

    def update_routing(self, routing: RoutingConfiguration) -> None:
        """Record the services of the routes of a new configuration."""
        self._routing = routing
        self._targets_digest = targets_digest(routing)
        self._routings.pop(self._targets_digest, None)
        self._routings[self._targets_digest] = routing
        if len(self._routings) > MAX_ROUTINGS:
            del self._routings[next(iter(self._routings))]
        self._wake.set()

    async def run(self) -> None:
        """Write the record whenever it is due, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._routing is None or not self._present or not self._is_due():
                continue
            if not await self._update():
                await asyncio.sleep(RETRY_SECONDS)
                self._wake.set()
                continue
            if self._withheld_since is not None:
                self.on_recorded()

    def _unrecorded(self) -> frozenset[StreamOrigin]:
        record = self._record
        if record is None or record.era != self._era:
            return self._present
        return self._present - record.present

    def _is_due(self) -> bool:
        record = self._record
        return (
            record is None
            or record.era != self._era
            or record.present != self._present
            or record.targets_digest != self._targets_digest
            or self._now() - self._checked_at > CHECK_SECONDS
        )

    def _without(
        self, entry: EndpointEntry, unrecorded: frozenset[StreamOrigin]
    ) -> EndpointEntry | None:
        """Return an entry without its engine if that is withheld.

        Returns None if the engine is not known yet, so that nothing is announced.
        """
        endpoint = entry.endpoint
        if endpoint is None:
            return entry
        if StreamOrigin(endpoint.service, endpoint.version) not in unrecorded:
            return entry
        known = self._view.get(entry.id)
        if known is None:
            return None
        if known.version == endpoint.version:
            return entry
        return EndpointEntry(entry.id, entry.revision, None)

    async def _update(self) -> bool:
        """Read the record, and write it if it changes; False if that failed."""
        read = await self._store.stream_rows(RECORD_KEY, END_OF_RECORD)
        if read.is_error():
            return False
        found = read.ok.rows.get(RECORD_KEY)
        known = None
        if found is not None:
            decoded = decode_record(found.data)
            if decoded.is_error():
                _log.error("record of origins malformed", error=decoded.error)
            # what a record that can't be read named is unknown: nothing is certain
            known = decoded.ok if decoded.is_ok() else OriginRecord(-1)
        recorded = self._routings.get(known.targets_digest) if known else None
        seen = Observation(read.ok.revision.era, self._present, self._routing, recorded)
        record = next_record(known, seen, read.ok.now)
        if record != known:
            revision = found.revision.number if found is not None else 0
            data = encode_record(record)
            written = await self._store.put_stream_row(RECORD_KEY, data, revision)
            if written.is_error():
                return False
            _log.info(
                "origins recorded",
                origins=[
                    [each.service, each.version, left is None]
                    for each, left in record.origins.items()
                ],
                complete_since=record.complete_since,
                changed_routes=len(record.changed_routes),
            )
        self._record = record
        self._checked_at = self._now()
        return True

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

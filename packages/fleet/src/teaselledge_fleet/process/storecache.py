"""What this router believes of the store's content, and how old that is."""

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import replace

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.endpoints import EndpointEntry, EndpointView
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.store import EndpointRows
from teaselledge_fleet.version.routes import RoutingConfiguration

__all__ = ["StoreCache"]

_log = get_log("belief")

SETTLE_SECONDS = 2.3
"""Time after the store's return for which missing entries are waited for.

Entries lapse while the store is away and are back about 2 s after its return.
Without this wait every engine would look gone just then.
"""

LAPSE_SECONDS = 2.4
"""Gap in the fleet's knowledge after which the store counts as having been away.

An entry lapses after three beats of 1.2 s; at most one beat of it is in the past
when the store goes away.
"""

CONFIRM_SECONDS = 6.0
"""Time after a restore from which on an endpoint's row holds against its later word.
An endpoint writes again within 2 s, and the row of a silent one lapses after 3.6 s."""

YIELD_SECONDS = 1.0
"""Age up to which another follower's reading shows that it still reads: its period of
0.7 s and the way of its news."""

ECHO_SECONDS = 0.02
"""An age that is newer by less is this router's own, come back from another one."""

GONE_KEPT = 200
"""Entries of gone endpoints that are remembered, so that old news can't revive them."""

Decode = Callable[[bytes], RoutingConfiguration | None]


class StoreCache:
    """The configuration and the endpoints, as far as this router knows.

    Attributes
    ----------
    view : EndpointView
        The endpoints.
    routing : Routing or None
        The configuration in force; its version never goes back.
    configuration : bytes
        The same as the operator wrote it, for other routers.
    poller : str
        VM that read the store for what is believed.
    era : int or None
        How often the store has gone back to an older copy, by the newest that was
        heard of; None where nothing was.
    on_change : list of callable
        Called after a change.
    """

    def __init__(self, vm: str, decode: Decode) -> None:
        self._vm = vm
        self._decode = decode
        self.view = EndpointView()
        self.routing: RoutingConfiguration | None = None
        self.configuration = b""
        self.poller = ""
        self.era: int | None = None
        self.on_change: list[Callable[[], None]] = []
        self._as_of: float | None = None
        self._follower_as_of = 0.0
        self._returned_at: float | None = None
        self._era_noted_at = -math.inf
        self._fresh_changes: list[EndpointEntry] = []

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        return self.routing.version if self.routing is not None else 0

    @property
    def as_of(self) -> float | None:
        """Loop time at which the endpoints were known to be as they are believed."""
        return self._as_of

    @property
    def age(self) -> float | None:
        """Seconds since the endpoints were known to be as they are believed."""
        return None if self._as_of is None else self._now() - self._as_of

    def update_configuration(self, data: bytes, source: str) -> bool:
        """Take a configuration if it is newer; False if it can't be read."""
        routing = self._decode(data)
        if routing is None:
            return False
        if routing.version <= self.version:
            return True
        _log.info(
            "configuration in force",
            version=routing.version,
            before=self.version,
            source=source,
            routes=len(routing.routes),
            tokens_per_second=routing.limits.capacity_tokens_per_second,
        )
        self.routing = routing
        self.configuration = data
        self._tell()
        return True

    def update_era(self, era: int, source: str) -> bool:
        """Take the era of the store that somebody tells; False for an older one.

        What is told of an older era may have been undone.
        """
        if self.era is not None and era <= self.era:
            return era == self.era
        before, self.era = self.era, era
        # the first era that a router hears of may have begun just now as well
        self._era_noted_at = self._now()
        if before is not None:
            _log.warning("store restored", era=era, before=before, source=source)
            self._returned_at = self._now()
            self._tell()
        return True

    def update_from_rows(self, rows: EndpointRows, as_of: float) -> None:
        """Take a reading of all entries, made by this router."""
        if not self.update_era(rows.revision.era, "store"):
            return
        self._advance(as_of)
        present = {entry.id: entry for entry in rows.entries}
        # nearly all rows of a reading are as they were in the one before
        fresh = [entry for entry in present.values() if not self.view.contains(entry)]
        news = [self._confirmed(entry, rows.revision) for entry in fresh]
        for entry in self.view:
            if entry.endpoint is not None and entry.id not in present:
                if self._settling():
                    continue
                news.append(entry.as_deleted(max(rows.revision, entry.revision.next())))
        self._merge(news, "store")
        self._note_follower(self._vm, as_of)
        self._tell()

    def merge_entries(self, entries: Iterable[EndpointEntry], source: str) -> None:
        """Take entries that another router tells of."""
        self._merge(entries, source)

    def _confirmed(self, row: EndpointEntry, newest: Revision) -> EndpointEntry:
        """Return a row's entry, as a new one if it has stood for long after a restore.

        The row of a restored copy gives way to what its endpoint is known to have said
        later, but not for ever: that may have been lost with the endpoint.
        """
        known = self.view.entry(row.id)
        if known is None or row.revision < known.revision:
            return row
        held_back = known.merged_with(row).endpoint != row.endpoint
        if not held_back or self._now() - self._era_noted_at < CONFIRM_SECONDS:
            return row
        revision = max(newest, known.revision.next())
        return replace(
            row, revision=revision, announcement_id=known.announcement_id.next()
        )

    def update_age(self, digest: int, age: float, follower: str) -> None:
        """Take another router's word on how old an equal view is."""
        if digest != self.view.digest:
            return
        as_of = self._now() - age
        if follower != self._vm:
            # its own name only comes back from others
            self._note_follower(follower, as_of)
        if self._as_of is None or as_of > self._as_of + ECHO_SECONDS:
            self._advance(as_of)

    def release_poller(self) -> None:
        """Note that this router can't read the store, so that another one does."""
        if self.poller == self._vm:
            self.poller = ""

    def _note_follower(self, follower: str, as_of: float) -> None:
        """Take who read the store at some time.

        Of two that read at the same time the first by name goes on: every router
        passes on the first name it heard lately, so the other one hears it too.
        """
        current = self.poller
        if not follower or self._now() - as_of > YIELD_SECONDS:
            return
        stale = self._now() - self._follower_as_of > YIELD_SECONDS
        if not current or stale or follower <= current:
            self.poller = follower
            self._follower_as_of = as_of

    def pop_changes(self) -> list[EndpointEntry]:
        """Return the entries that changed since the last call."""
        changes, self._fresh_changes = self._fresh_changes, []
        return changes

    def _merge(self, entries: Iterable[EndpointEntry], source: str) -> None:
        changed = self.view.merge(entries)
        if not changed:
            return
        for entry in changed:
            endpoint = entry.endpoint
            _log.info(
                "endpoint changed",
                endpoint=entry.id,
                revision=entry.revision.number,
                era=entry.revision.era,
                source=source,
                service=endpoint.service if endpoint else None,
                address=endpoint.address if endpoint else None,
                leaving=endpoint.leaving if endpoint else None,
                gone=endpoint is None,
            )
        self._fresh_changes += changed
        self.view.prune(GONE_KEPT)
        self._tell()

    def _advance(self, as_of: float) -> None:
        """Note that the endpoints were known to be as they are believed."""
        before = self._as_of
        if before is not None and as_of <= before:
            return
        if before is not None and as_of - before > LAPSE_SECONDS:
            _log.info("store was away", seconds=round(as_of - before, 2))
            self._returned_at = self._now()
        self._as_of = as_of

    def _settling(self) -> bool:
        """Whether the store has just come back."""
        returned = self._returned_at
        return returned is not None and self._now() - returned < SETTLE_SECONDS

    def _tell(self) -> None:
        for listener in self.on_change:
            listener()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

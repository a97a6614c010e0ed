"""The store cache: this router's copy of the store's content, and its age."""

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import replace

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.drains import DrainedZones, ZoneDrain
from teaselledge_fleet.process.endpoints import EndpointEntry, EndpointView
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.store import EndpointRows, StoredConfiguration
from teaselledge_fleet.process.warmup import WarmupTracker
from teaselledge_fleet.version.routes import RoutingConfiguration

__all__ = ["StoreCache"]

_log = get_log("belief")

SETTLE_SECONDS = 2.3
"""Time after the end of a store outage in which missing rows don't count as deleted.

Rows expire during an outage and are written again about 2 s after its end. Until then
every engine would look deleted.
"""

OUTAGE_SECONDS = 2.4
"""Time between two successful reads after which a store outage is assumed.

An endpoint writes its row every 1.2 s, and the row expires after three such periods. At
most one of them has passed when an outage begins, so no row expires earlier.
"""

CONFIRM_SECONDS = 6.0
"""Time after a restore from which an endpoint's row overrides a later announcement. An
endpoint writes its row again within 2 s, and the row of a silent one expires after
3.6 s."""

POLLER_TIMEOUT_SECONDS = 1.0
"""Age of a poller's last read after which it no longer counts as the poller: the poll
period of 0.7 s plus the time until the heartbeat arrives."""

MIN_AGE_DECREASE_SECONDS = 0.02
"""Minimum by which a reported age must be lower to be applied. A smaller difference
means that another router returned this router's own value."""

RECENT_DRAIN_SECONDS = 3.0
"""Time for which heartbeats report that a zone was taken back. A router that misses all
of them notices that its state is older, and fetches a newer one."""

MAX_DELETED_ENTRIES = 200
"""Maximum of entries of deleted endpoints that are retained, so that outdated messages
can't add these endpoints again."""

Decode = Callable[[bytes], RoutingConfiguration | None]


class StoreCache:
    """Cache of the configuration and the endpoints in the store.

    It is filled by this router's own reads of the store and by messages of other
    routers.

    Parameters
    ----------
    vm : str
        Name of this router's VM.
    decode : callable
        Decodes a configuration; returns None if it is invalid.
    warmup : WarmupTracker, optional
        Endpoints that are warming up.
    boot_clock : callable, optional
        Returns seconds of a clock that also advances while the VM is suspended. The
        event loop's clock by default.

    Attributes
    ----------
    view : EndpointView
        Entries of the endpoints.
    drained_zones : DrainedZones
        Zones whose endpoints get no new requests.
    warmup : WarmupTracker
        Endpoints that are warming up.
    routing : RoutingConfiguration or None
        Decoded configuration in force; its version never decreases.
    configuration : bytes
        The same configuration as the operator wrote it, to be sent to other routers.
    poller : str
        VM of the router whose reads of the store the others rely on; empty if none.
    era : int or None
        Highest era of the store known so far; None if no era is known.
    on_change : list of callable
        Called after each change.
    on_gap : callable
        Called if changes of the store may have been missed.
    """

    def __init__(
        self,
        vm: str,
        decode: Decode,
        warmup: WarmupTracker | None = None,
        boot_clock: Callable[[], float] | None = None,
    ) -> None:
        self._boot_clock = boot_clock or self._now
        self._vm = vm
        self._decode = decode
        self.warmup = warmup or WarmupTracker()
        self.view = EndpointView()
        self.drained_zones = DrainedZones()
        self.routing: RoutingConfiguration | None = None
        self.configuration = b""
        self.poller = ""
        self.era: int | None = None
        self.on_change: list[Callable[[], None]] = []
        self.on_gap: Callable[[], None] = lambda: None
        self._as_of: float | None = None
        self._as_of_boot = -math.inf
        """The same by the boot clock."""
        self._poller_as_of = 0.0
        self._returned_at: float | None = None
        self._era_changed_at = -math.inf
        self._changes: list[EndpointEntry] = []
        self._drain_changed_at: dict[str, float] = {}
        """Loop time at which each zone was drained or taken back."""

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        return self.routing.version if self.routing is not None else 0

    @property
    def digest(self) -> int:
        """Hash of the endpoints and the drained zones; equal caches have equal ones."""
        return self.view.digest ^ self.drained_zones.digest

    @property
    def recent_drains(self) -> list[ZoneDrain]:
        """Drains in force, and those that ended a moment ago."""
        oldest = self._now() - RECENT_DRAIN_SECONDS
        return [
            drain
            for drain in self.drained_zones
            if drain.drained or self._drain_changed_at.get(drain.zone, 0.0) >= oldest
        ]

    @property
    def settling(self) -> bool:
        """Whether a store outage or a restore has just ended.

        Rows that are missing may be written again in a moment.
        """
        returned = self._returned_at
        return returned is not None and self._now() - returned < SETTLE_SECONDS

    @property
    def is_fresh(self) -> bool:
        """Whether the cached endpoints matched the store a moment ago."""
        return self._boot_clock() - self._as_of_boot <= OUTAGE_SECONDS

    @property
    def as_of(self) -> float | None:
        """Loop time at which the cached endpoints last matched the store."""
        return self._as_of

    @property
    def age(self) -> float | None:
        """Seconds since the cached endpoints last matched the store."""
        return None if self._as_of is None else self._now() - self._as_of

    def update_configuration(self, data: bytes, source: str) -> bool:
        """Apply a configuration if it is newer; False if it can't be decoded."""
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
        self.warmup.apply_routing(routing)
        self._notify()
        return True

    def update_era(self, era: int, source: str) -> bool:
        """Apply the era of a message or read; False if it is older than the known one.

        Changes of an older era may have been undone by the restore.
        """
        if self.era is not None and era <= self.era:
            return era == self.era
        before, self.era = self.era, era
        # the first era that this router gets to know may have begun just now, too
        self._era_changed_at = self._now()
        if before is not None:
            _log.warning("store restored", era=era, before=before, source=source)
            self._returned_at = self._now()
            self.on_gap()
            self._notify()
        return True

    def update_from_rows(self, rows: EndpointRows, as_of: float) -> None:
        """Apply all rows as this router read them from the store."""
        if not self.update_era(rows.revision.era, "store"):
            return
        self._advance(as_of)
        present = {entry.id: entry for entry in rows.entries}
        # nearly all rows are unchanged since the last read
        fresh = [entry for entry in present.values() if not self.view.contains(entry)]
        updates = [self._confirmed(entry, rows.revision) for entry in fresh]
        for entry in self.view:
            if entry.endpoint is not None and entry.id not in present:
                if self.settling:
                    continue
                updates.append(
                    entry.as_deleted(max(rows.revision, entry.revision.next()))
                )
        self._merge(updates, "store")
        self._record_poller(self._vm, as_of)
        self._notify()

    def merge_entries(self, entries: Iterable[EndpointEntry], source: str) -> None:
        """Merge entries that another router sent."""
        self._merge(entries, source)

    def update_drains(self, read: StoredConfiguration) -> None:
        """Apply the drains that this router read from the store."""
        drains = list(read.drains)
        if read.complete and not self.settling:
            present = {drain.zone: drain for drain in drains}
            drains += self.drained_zones.missing_from(present, read.revision)
        self.merge_drains(drains, "store")

    def merge_drains(self, drains: Iterable[ZoneDrain], source: str) -> None:
        """Merge drains that were read or that another router sent."""
        changed = self.drained_zones.merge(drains)
        if not changed:
            return
        for drain in changed:
            self._drain_changed_at[drain.zone] = self._now()
            if not drain.drained:
                self.warmup.suspect_zone(drain.zone, self.view.endpoints)
            _log.info(
                "zone drained" if drain.drained else "zone taken back",
                zone=drain.zone,
                revision=drain.revision.number,
                era=drain.revision.era,
                source=source,
                store_age=self.age,
            )
        self._notify()

    def _confirmed(self, row: EndpointEntry, newest: Revision) -> EndpointEntry:
        """Return a row's entry, with a new revision if it overrides the known entry.

        After a restore a row doesn't replace an announcement that its endpoint is
        known to have made later, but only for `CONFIRM_SECONDS`: that announcement may
        have been lost with the endpoint.
        """
        known = self.view.entry(row.id)
        if known is None or row.revision < known.revision:
            return row
        overridden = known.merged_with(row).endpoint != row.endpoint
        if not overridden or self._now() - self._era_changed_at < CONFIRM_SECONDS:
            return row
        revision = max(newest, known.revision.next())
        return replace(
            row, revision=revision, announcement_id=known.announcement_id.next()
        )

    def update_age(self, digest: int, age: float, poller: str) -> None:
        """Apply the age that another router reports if its view equals this one.

        Parameters
        ----------
        digest : int
            Digest of the other router's cache.
        age : float
            Age of that view in seconds.
        poller : str
            VM of the router that read the store.
        """
        if digest != self.digest:
            return
        as_of = self._now() - age
        if poller != self._vm:
            # this router's own name is only returned by others
            self._record_poller(poller, as_of)
        if self._as_of is None or as_of > self._as_of + MIN_AGE_DECREASE_SECONDS:
            self._advance(as_of)

    def release_poller(self) -> None:
        """Give up polling as this router can't read the store, so another one does."""
        if self.poller == self._vm:
            self.poller = ""

    def _record_poller(self, poller: str, as_of: float) -> None:
        """Record which router read the store at some time.

        Of two routers that poll at the same time, the first by name continues: every
        router sends on the first name that it recently received, so the other poller
        receives that name, too.
        """
        current = self.poller
        if not poller or self._now() - as_of > POLLER_TIMEOUT_SECONDS:
            return
        stale = self._now() - self._poller_as_of > POLLER_TIMEOUT_SECONDS
        if not current or stale or poller <= current:
            self.poller = poller
            self._poller_as_of = as_of

    def pop_changes(self) -> list[EndpointEntry]:
        """Return the entries that changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _merge(self, entries: Iterable[EndpointEntry], source: str) -> None:
        merged = list(entries)
        changed = self.view.merge(merged)
        changed += self._extend_warmups(merged, changed)
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
                warmup_seconds=endpoint.warmup_seconds if endpoint else None,
                gone=endpoint is None,
            )
        self._changes += changed
        self.view.prune(MAX_DELETED_ENTRIES)
        self._notify()

    def _extend_warmups(
        self, merged: Iterable[EndpointEntry], changed: Iterable[EndpointEntry]
    ) -> list[EndpointEntry]:
        """Record announced warm-ups; return the entries that changed by them only."""
        changed_names = {entry.id for entry in changed}
        return [
            entry
            for entry in merged
            if entry.endpoint is not None
            and self.view.get(entry.id) == entry.endpoint
            and self.warmup.record_announcement(entry.endpoint)
            and entry.id not in changed_names
        ]

    def _advance(self, as_of: float) -> None:
        """Record the time at which the cached endpoints matched the store."""
        before = self._as_of
        if before is not None and as_of <= before:
            return
        if before is not None and as_of - before > OUTAGE_SECONDS:
            _log.info("store was away", seconds=round(as_of - before, 2))
            self._returned_at = self._now()
            self.on_gap()
        self._as_of = as_of
        self._as_of_boot = self._boot_clock() - (self._now() - as_of)

    def _notify(self) -> None:
        for listener in self.on_change:
            listener()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

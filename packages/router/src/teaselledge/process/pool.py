"""The slots of a shard's endpoints."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil

from teaselledge_wire.gen.router.ttypes import Register

from teaselledge.log import get_log
from teaselledge.process.affinity import CacheEvent, PrefixCaches
from teaselledge.process.concurrency import ConcurrencyLimit
from teaselledge.process.health import OutlierDetector
from teaselledge.process.loadreport import ExternalLoad, LoadReport
from teaselledge.process.placement import Shard
from teaselledge.version.document import Document, Endpoint

__all__ = ["EndpointPool"]

_log = get_log("endpoints")

AFFINITY = 0.5
"""Part of an endpoint's slots that a cached prefix is worth."""

SLOWEST = 0.25
"""Least weight of a slow endpoint beside the fastest."""

BLOCKED_TTL_SECONDS = 30.0
"""Time after which a hint that is not repeated is forgotten."""


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class _Slots:
    """What is known of one endpoint beyond its entry in the document."""

    entry: Endpoint
    concurrency: ConcurrencyLimit
    reported: ExternalLoad = field(default_factory=ExternalLoad)


class EndpointPool:
    """Counts what runs on each endpoint of a shard and chooses among them.

    Parameters
    ----------
    clock : callable or None
        Gives the time in seconds; the event loop's by default.
    """

    def __init__(
        self,
        shard: Shard,
        document: Document,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._shard = shard
        self._clock = clock or _loop_time
        self._used: dict[str, int] = {}
        self._slots: dict[str, _Slots] = {}
        self._leaving: dict[str, float] = {}
        self._health = OutlierDetector()
        self._prefixes = PrefixCaches()
        self._service_names: frozenset[str] = frozenset()
        self._others_sick: dict[str, bool] = {}
        self._zones: frozenset[str] = frozenset()
        self.apply_document(document)

    @property
    def free_slots(self) -> int:
        """Slots that are free now, over all endpoints."""
        now = self._clock()
        return sum(max(0, self._room(name, now)) for name in self._usable(now))

    @property
    def slots(self) -> int:
        """Slots of all endpoints, free or not."""
        return sum(known.entry.slots for known in self._slots.values())

    @property
    def all_ejected(self) -> bool:
        """Whether every endpoint of the shard is ejected."""
        if self._health.all_healthy or not self._slots:
            return False
        now = self._clock()
        return all(self._health.slot_fraction(name, now) <= 0 for name in self._slots)

    def apply_document(self, document: Document) -> None:
        """Take a new version of the document."""
        staying = {
            name: endpoint
            for name, endpoint in document.services[
                self._shard.service
            ].endpoints.items()
            if not endpoint.leaving
        }
        self._service_names = frozenset(staying)
        self._zones = frozenset(e.zone for e in staying.values()) - {self._shard.zone}
        kept, self._slots = self._slots, {}
        for name, endpoint in staying.items():
            if endpoint.zone != self._shard.zone:
                continue
            known = kept.get(name)
            if known is None or known.entry.address != endpoint.address:
                # another process at the same name starts with a clean record
                known = _Slots(endpoint, ConcurrencyLimit(endpoint.slots))
            known.entry = endpoint
            known.concurrency.resize(endpoint.slots)
            self._slots[name] = known
        self._health.retain_endpoints(self._slots)
        self._prefixes.retain_endpoints(set(self._slots))

    def choose(self, entry: Register) -> str | None:
        """Return the endpoint that should run a request, None where none may."""
        excluded = set(entry.excluded)
        if self._service_names <= excluded:
            # it failed everywhere; to wait for yet another endpoint would hold
            # the caller until its deadline
            excluded = set()
        best, best_score = None, 0.0
        now = self._clock()
        fastest = self._fastest()
        for name in self._usable(now):
            if name in excluded:
                continue
            room = self._room(name, now)
            if room <= 0:
                continue
            score = self._score(name, room, fastest, entry.prefix)
            if best is None or score > best_score:
                best, best_score = name, score
        return best

    def choose_over_limit(self, entry: Register) -> str | None:
        """Return the endpoint for a request above the slots, None if none may.

        A full endpoint may be ejected or leaving as well as one with room; it
        still runs what it began before.
        """
        now = self._clock()
        excluded = set(entry.excluded)
        names = [
            name
            for name in self._usable(now)
            if name not in excluded
            and (self._health.all_healthy or self._health.slot_fraction(name, now) > 0)
        ]
        return min(names, key=self._load, default=None)

    def acquire(self, endpoint: str, prefix: int | None = None) -> None:
        """Note a request that starts."""
        used = self._used[endpoint] = self._used.get(endpoint, 0) + 1
        known = self._slots.get(endpoint)
        if known is not None:
            known.reported.record_own(used, self._clock())
        if prefix is not None and known is not None:
            self._prefixes.record_sent(endpoint, prefix)

    def release(
        self, endpoint: str, failed: bool, seconds: float, cost: float = 0.0
    ) -> None:
        """Note a request that ended.

        Parameters
        ----------
        failed : bool
            Whether the endpoint was at fault.
        seconds : float
            How long it ran there; 0 where unknown.
        cost : float
            What it cost; 0 where unknown, or where cost is time.
        """
        running = self._used.get(endpoint, 0)
        self._used[endpoint] = max(0, running - 1)
        known = self._slots.get(endpoint)
        if known is None:
            return
        now = self._clock()
        known.reported.record_own(self._used[endpoint], now)
        if not failed:
            known.concurrency.observe(running, seconds, cost, now)
        if self._health.record_result(endpoint, failed, now):
            _log.warning(f"Endpoint {endpoint} fails and is ejected.")

    def set_blocked(self, endpoint: str, blocked: bool) -> None:
        """Take a hint that an endpoint is leaving, or that it is not."""
        if not blocked:
            self._leaving.pop(endpoint, None)
        elif endpoint in self._slots:
            self._leaving[endpoint] = self._clock()

    def observe_cache(self, event: CacheEvent) -> None:
        """Take an event of an engine's prefix cache."""
        if event.endpoint in self._slots:
            self._prefixes.observe(event)

    def observe_load(self, report: LoadReport) -> None:
        """Take a load report of an endpoint."""
        known = self._slots.get(report.endpoint)
        if known is not None and report.running >= 0 and report.queued >= 0:
            known.reported.observe(report, self._clock())

    def set_zone_ejected(self, zone: str, ejected: bool) -> None:
        """Learn whether every endpoint of another zone is ejected there."""
        self._others_sick[zone] = ejected

    def _usable(self, now: float) -> list[str]:
        if not self._leaving:
            return list(self._slots)
        for name, told in list(self._leaving.items()):
            if now - told > BLOCKED_TTL_SECONDS:
                del self._leaving[name]
        return [name for name in self._slots if name not in self._leaving]

    def _room(self, name: str, now: float) -> int:
        known = self._slots[name]
        limit = known.concurrency.limit
        if not self._health.all_healthy:
            limit = min(limit, self._healthy_slots(name, now))
        return limit - self._used.get(name, 0) - known.reported.external_requests(now)

    def _healthy_slots(self, name: str, now: float) -> int:
        slots = self._slots[name].entry.slots
        part = self._health.slot_fraction(name, now)
        if part > 0 or not self.all_ejected:
            return ceil(slots * part)
        # the whole shard is ejected: with nothing better in another zone its
        # endpoints are used as ever, else one request at a time tries them
        return 1 if self._others_serve() else slots

    def _others_serve(self) -> bool:
        return any(not self._others_sick.get(zone, False) for zone in self._zones)

    def _load(self, name: str) -> float:
        return self._used.get(name, 0) / self._slots[name].entry.slots

    def _fastest(self) -> float:
        paces = [known.concurrency.seconds_per_unit for known in self._slots.values()]
        return min(filter(None, paces), default=0.0)

    def _score(self, name: str, room: int, fastest: float, prefix: int | None) -> float:
        known = self._slots[name]
        score = room / known.entry.slots
        pace = known.concurrency.seconds_per_unit
        if fastest > 0 and pace > 0:
            score *= max(SLOWEST, fastest / pace)
        if prefix is not None:
            score += AFFINITY * self._prefixes.confidence(name, prefix)
        return score

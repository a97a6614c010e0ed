"""Selection among the endpoints of a shard by their free slots."""

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

CACHED_PREFIX_SCORE = 0.5
"""Score of a cached prefix, in fractions of the slots of an endpoint."""

MIN_SPEED_WEIGHT = 0.25
"""Minimum factor on the score of an endpoint that is slower than the fastest."""

BLOCKED_TTL_SECONDS = 30.0
"""Time after which a block that is not repeated expires."""


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class _EndpointState:
    """An endpoint's entry in the document with its measured state."""

    entry: Endpoint
    concurrency: ConcurrencyLimit
    external_load: ExternalLoad = field(default_factory=ExternalLoad)


class EndpointPool:
    """Counts the requests on each endpoint of a shard and selects endpoints.

    Parameters
    ----------
    clock : callable or None
        Returns the time in seconds; the clock of the event loop by default.
    """

    def __init__(
        self,
        shard: Shard,
        document: Document,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._shard = shard
        self._clock = clock or _loop_time
        self._running: dict[str, int] = {}
        self._endpoints: dict[str, _EndpointState] = {}
        self._blocked_since: dict[str, float] = {}
        self._health = OutlierDetector()
        self._prefixes = PrefixCaches()
        self._service_endpoints: frozenset[str] = frozenset()
        self._ejected_zones: dict[str, bool] = {}
        self._other_zones: frozenset[str] = frozenset()
        self.apply_document(document)

    @property
    def free_slots(self) -> int:
        """Number of free slots of all endpoints."""
        now = self._clock()
        return sum(max(0, self._free_slots_of(name, now)) for name in self._usable(now))

    @property
    def slots(self) -> int:
        """Number of slots of all endpoints."""
        return sum(state.entry.slots for state in self._endpoints.values())

    @property
    def all_ejected(self) -> bool:
        """Whether every endpoint of the shard is ejected."""
        if self._health.all_healthy or not self._endpoints:
            return False
        now = self._clock()
        return all(
            self._health.slot_fraction(name, now) <= 0 for name in self._endpoints
        )

    def apply_document(self, document: Document) -> None:
        """Apply a new version of the document."""
        active = {
            name: endpoint
            for name, endpoint in document.services[
                self._shard.service
            ].endpoints.items()
            if not endpoint.leaving
        }
        self._service_endpoints = frozenset(active)
        self._other_zones = frozenset(e.zone for e in active.values()) - {
            self._shard.zone
        }
        previous, self._endpoints = self._endpoints, {}
        for name, endpoint in active.items():
            if endpoint.zone != self._shard.zone:
                continue
            state = previous.get(name)
            if state is None or state.entry.address != endpoint.address:
                # another process under the same name starts with a new state
                state = _EndpointState(endpoint, ConcurrencyLimit(endpoint.slots))
            state.entry = endpoint
            state.concurrency.resize(endpoint.slots)
            self._endpoints[name] = state
        self._health.retain_endpoints(self._endpoints)
        self._prefixes.retain_endpoints(set(self._endpoints))

    def choose(self, entry: Register) -> str | None:
        """Return the endpoint that should run a request, or None if none has room."""
        excluded = set(entry.excluded)
        if self._service_endpoints <= excluded:
            # The request failed on all endpoints. To wait for another one would
            # keep the caller waiting until its deadline.
            excluded = set()
        best, best_score = None, 0.0
        now = self._clock()
        fastest = self._fastest()
        for name in self._usable(now):
            if name in excluded:
                continue
            free_slots = self._free_slots_of(name, now)
            if free_slots <= 0:
                continue
            score = self._score(name, free_slots, fastest, entry.prefix)
            if best is None or score > best_score:
                best, best_score = name, score
        return best

    def choose_over_limit(self, entry: Register) -> str | None:
        """Return the endpoint for a request above the slots, or None.

        Ejected and blocked endpoints are excluded. A full endpoint may be
        either, since it still runs the requests that it started before.
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
        """Record the start of a request."""
        running = self._running[endpoint] = self._running.get(endpoint, 0) + 1
        state = self._endpoints.get(endpoint)
        if state is not None:
            state.external_load.record_own(running, self._clock())
        if prefix is not None and state is not None:
            self._prefixes.record_sent(endpoint, prefix)

    def release(
        self, endpoint: str, failed: bool, seconds: float, cost: float = 0.0
    ) -> None:
        """Record the end of a request.

        Parameters
        ----------
        failed : bool
            Whether the request failed because of the endpoint.
        seconds : float
            Duration on the endpoint; 0 if unknown.
        cost : float
            Cost of the request; 0 if unknown, or if the cost is a time.
        """
        running = self._running.get(endpoint, 0)
        self._running[endpoint] = max(0, running - 1)
        state = self._endpoints.get(endpoint)
        if state is None:
            return
        now = self._clock()
        state.external_load.record_own(self._running[endpoint], now)
        if not failed:
            state.concurrency.observe(running, seconds, cost, now)
        if self._health.record_result(endpoint, failed, now):
            _log.warning(f"Endpoint {endpoint} fails and is ejected.")

    def set_blocked(self, endpoint: str, blocked: bool) -> None:
        """Block an endpoint that is leaving, or unblock it."""
        if not blocked:
            self._blocked_since.pop(endpoint, None)
        elif endpoint in self._endpoints:
            self._blocked_since[endpoint] = self._clock()

    def observe_cache(self, event: CacheEvent) -> None:
        """Apply an event of an engine's prefix cache."""
        if event.endpoint in self._endpoints:
            self._prefixes.observe(event)

    def observe_load(self, report: LoadReport) -> None:
        """Apply a load report of an endpoint."""
        state = self._endpoints.get(report.endpoint)
        if state is not None and report.running >= 0 and report.queued >= 0:
            state.external_load.observe(report, self._clock())

    def set_zone_ejected(self, zone: str, ejected: bool) -> None:
        """Set whether all endpoints of another zone are ejected."""
        self._ejected_zones[zone] = ejected

    def _usable(self, now: float) -> list[str]:
        if not self._blocked_since:
            return list(self._endpoints)
        for name, blocked_since in list(self._blocked_since.items()):
            if now - blocked_since > BLOCKED_TTL_SECONDS:
                del self._blocked_since[name]
        return [name for name in self._endpoints if name not in self._blocked_since]

    def _free_slots_of(self, name: str, now: float) -> int:
        state = self._endpoints[name]
        limit = state.concurrency.limit
        if not self._health.all_healthy:
            limit = min(limit, self._healthy_slots(name, now))
        return (
            limit
            - self._running.get(name, 0)
            - state.external_load.external_requests(now)
        )

    def _healthy_slots(self, name: str, now: float) -> int:
        slots = self._endpoints[name].entry.slots
        slot_fraction = self._health.slot_fraction(name, now)
        if slot_fraction > 0 or not self.all_ejected:
            return ceil(slots * slot_fraction)
        # The whole shard is ejected. If no other zone serves, its endpoints keep
        # all their slots; otherwise each gets one request at a time as a probe.
        return 1 if self._other_zone_serves() else slots

    def _other_zone_serves(self) -> bool:
        return any(
            not self._ejected_zones.get(zone, False) for zone in self._other_zones
        )

    def _load(self, name: str) -> float:
        return self._running.get(name, 0) / self._endpoints[name].entry.slots

    def _fastest(self) -> float:
        seconds_per_unit = [
            state.concurrency.seconds_per_unit for state in self._endpoints.values()
        ]
        return min(filter(None, seconds_per_unit), default=0.0)

    def _score(
        self, name: str, free_slots: int, fastest: float, prefix: int | None
    ) -> float:
        state = self._endpoints[name]
        score = free_slots / state.entry.slots
        seconds_per_unit = state.concurrency.seconds_per_unit
        if fastest > 0 and seconds_per_unit > 0:
            score *= max(MIN_SPEED_WEIGHT, fastest / seconds_per_unit)
        if prefix is not None:
            score += CACHED_PREFIX_SCORE * self._prefixes.confidence(name, prefix)
        return score

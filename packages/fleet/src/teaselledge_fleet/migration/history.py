"""What may have begun the streams of each route lately, as this router knows it."""

import asyncio
from collections.abc import Callable, Iterable

from teaselledge_fleet.migration.origins import StreamOrigin
from teaselledge_fleet.migration.record import (
    COUNTED_SECONDS,
    OriginRecord,
    changed_routes,
    route_key,
    targets_digest,
)
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.version.routes import Route, RoutingConfiguration

__all__ = ["OriginHistory"]


class OriginHistory:
    """Tells whether a stream of unknown origin can only be of one.

    It starts from the record in the store, as streams may have begun before this router
    has started, and goes on with the changes that the router hears of.

    Parameters
    ----------
    clock : callable, optional
        Returns the loop time.

    Attributes
    ----------
    is_current : callable
        Returns whether this router hears of all changes at present.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self._clock = clock or (lambda: asyncio.get_running_loop().time())
        self._left_at: dict[StreamOrigin, float] = {}
        self._present: frozenset[StreamOrigin] = frozenset()
        self._routing: RoutingConfiguration | None = None
        self._changed_at: dict[int, float] = {}
        self._seeded = False
        self._certain_at = 0.0
        """Loop time from which no origin is missing that counts."""
        self.is_current: Callable[[], bool] = lambda: True

    @property
    def known(self) -> bool:
        """Whether the time before this router has started is known, too."""
        return self._seeded and self.is_current()

    @property
    def routing(self) -> RoutingConfiguration | None:
        """Configuration in force."""
        return self._routing

    def update(self, endpoints: Iterable[Endpoint]) -> bool:
        """Record the versions of all engines that are there, after each change.

        Returns whether there is one that was not there before.
        """
        present = frozenset(StreamOrigin(e.service, e.version) for e in endpoints)
        if present == self._present:
            return False
        self._left_at.update(dict.fromkeys(self._present - present, self._clock()))
        has_new = bool(present - self._present)
        self._present = present
        self._prune()
        return has_new

    def update_routing(self, routing: RoutingConfiguration) -> bool:
        """Record the services of all routes; return whether those of any changed."""
        keys = changed_routes(self._routing, routing)
        self._changed_at.update(dict.fromkeys(keys, self._clock()))
        self._routing = routing
        self._prune()
        return bool(keys)

    def seed(self, record: OriginRecord, era: int, store_now: float) -> bool:
        """Start from the record in the store.

        Returns False if the record is not that of the current era, or of another
        configuration than the one in force here.
        """
        same_targets = record.targets_digest == targets_digest(self._routing)
        if record.era != era or not same_targets:
            return False
        now = self._clock()
        offset = now - store_now
        for origin, left_at in record.origins.items():
            # an engine that the record knows as present may have left since
            left = now if left_at is None else min(now, left_at + offset)
            self._left_at[origin] = max(left, self._left_at.get(origin, left))
        # its routes were all new to this router
        self._changed_at = {k: at + offset for k, at in record.changed_routes.items()}
        self._certain_at = (
            record.complete_since + offset + COUNTED_SECONDS
            if record.complete_since
            else now
        )
        self._seeded = True
        self._prune()
        return True

    def unseed(self) -> None:
        """Require the record again, as changes may have been missed."""
        self._seeded = False

    def only_origin(self, route: Route) -> StreamOrigin | None:
        """Return what began a stream of a route if it can only be one."""
        now = self._clock()
        if not self.known or now < self._certain_at or len(route.targets) != 1:
            return None
        changed_at = self._changed_at.get(route_key(route))
        if changed_at is not None and now - changed_at <= COUNTED_SECONDS:
            return None
        recent = self.seen_origins(route)
        return next(iter(recent)) if len(recent) == 1 else None

    def seen_origins(self, route: Route) -> frozenset[StreamOrigin]:
        """Return what this router has seen that may have begun a route's streams."""
        oldest = self._clock() - COUNTED_SECONDS
        left = {
            origin for origin, left_at in self._left_at.items() if left_at >= oldest
        }
        services = {target.service for target in route.targets}
        return frozenset(
            each for each in self._present | left if each.service in services
        )

    def _prune(self) -> None:
        oldest = self._clock() - COUNTED_SECONDS
        self._left_at = {k: at for k, at in self._left_at.items() if at >= oldest}
        self._changed_at = {k: at for k, at in self._changed_at.items() if at >= oldest}

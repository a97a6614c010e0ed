"""Limit the requests to endpoints that have just started.

An endpoint that is warming up tolerates few requests a second and crashes well above
that. All routers together must stay below the limit, whichever of them reach each
other. Each request to such an endpoint therefore needs a grant of its coordinator
(`admission.py`), and a coordinator grants half of the limit: while routers disagree on
the coordinator, two of them grant.
"""

import asyncio
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.work import name_hash
from teaselledge_fleet.version.routes import RoutingConfiguration

__all__ = ["GRANT_SECONDS", "WarmupGrants", "WarmupTracker"]

GRANTING_COORDINATORS = 2
"""Routers that may consider themselves coordinator of one endpoint at the same time."""

GRANT_SECONDS = 0.25
"""Time for which a grant is valid. A request is sent immediately, unless its connection
takes longer to open or the router is blocked."""

GRANT_WINDOW_SECONDS = 1.0 + GRANT_SECONDS
"""Sliding window of the grants; requests sent within a second were granted in it."""

MAX_LOGGED_GRANTS = 256
"""Maximum number of grants that are remembered for one endpoint, and so of those that
are granted in a window."""

QUERY_MEMORY_SECONDS = 2.0
"""Time for which a coordinator limits an endpoint after a router's last query or report
that did. Until then the announcement of an endpoint that restarted is read."""

MIN_EXTENSION_SECONDS = 0.5
"""Time by which an announcement must prolong a warm-up to be applied."""

TAKEN_BACK_SECONDS = 3.0
"""Time for which the endpoints of a drained zone that was taken back count as warming
up. Their announcements, every 1.2 s and read every 0.75 s, then tell if they are."""

DENIAL_SECONDS = 0.2
"""Time for which an endpoint is not queried again after its coordinator has denied a
grant. Grants become free one after another, spread over the window."""


@dataclass(frozen=True)
class _ServiceLimit:
    """Limit of a service's endpoints during their warm-up.

    Attributes
    ----------
    warmup_seconds : float
        Duration of a warm-up.
    rate : int
        Requests a second that one coordinator may grant.
    """

    warmup_seconds: float
    rate: int


class WarmupTracker:
    """Tracks which endpoints may be warming up, as known to this router.

    An endpoint announces its remaining warm-up. Before that is known here, failed
    connects suggest that it restarts, and endpoints of a zone that was taken back may
    have restarted in the meantime.

    Parameters
    ----------
    rate_factor, rate_extra : float or None
        The requests a second that an endpoint may get from all routers are the rate in
        the configuration of its service times the factor plus the extra. Without these
        settings there is no limit.
    """

    def __init__(
        self, rate_factor: float | None = None, rate_extra: float | None = None
    ) -> None:
        self._rate_factor = rate_factor
        self._rate_extra = rate_extra
        self._limits: Mapping[str, _ServiceLimit] = {}
        self._service_by_endpoint: dict[int, str] = {}
        self._announced_until: dict[int, float] = {}
        self._suspected_until: dict[int, float] = {}
        self._denied_until: dict[int, float] = {}

    @property
    def has_limits(self) -> bool:
        """Whether any endpoint may be limited at present."""
        return bool(self._limits and (self._announced_until or self._suspected_until))

    def apply_routing(self, routing: RoutingConfiguration) -> None:
        """Apply the limits in a version of the configuration."""
        if self._rate_factor is None:
            return
        factor, extra = self._rate_factor, self._rate_extra or 0.0
        self._limits = {
            service.name: _ServiceLimit(
                service.warmup_seconds,
                max(
                    1,
                    int(
                        (service.warmup_requests_per_second * factor + extra)
                        / GRANTING_COORDINATORS
                    ),
                ),
            )
            for service in routing.services.values()
            if service.warmup_seconds or service.warmup_requests_per_second
        }

    def record_announcement(self, endpoint: Endpoint) -> bool:
        """Record the remaining warm-up that an endpoint announces.

        Returns True if it lasts longer than known so far. The time that a message took
        to arrive makes no difference, so that routers don't prolong it together.
        """
        if endpoint.warmup_seconds <= 0:
            return False
        endpoint_hash = name_hash(endpoint.id)
        until = self._now() + endpoint.warmup_seconds
        known = self._announced_until.get(endpoint_hash, 0.0)
        if until <= known + MIN_EXTENSION_SECONDS:
            return False
        self._service_by_endpoint[endpoint_hash] = endpoint.service
        self._announced_until[endpoint_hash] = until
        return True

    def suspect_zone(self, zone: str, endpoints: Iterable[Endpoint]) -> None:
        """Assume that the endpoints of a zone that was taken back are warming up."""
        for endpoint in endpoints:
            if endpoint.zone == zone:
                self._suspect(endpoint, TAKEN_BACK_SECONDS)

    def suspect(self, endpoint: Endpoint) -> None:
        """Assume that an endpoint restarts, as connecting to it failed."""
        limit = self._limits.get(endpoint.service)
        if limit is not None:
            self._suspect(endpoint, limit.warmup_seconds)

    def record_denial(self, endpoint: Endpoint) -> None:
        """Record that the coordinator has granted no request."""
        self._denied_until[name_hash(endpoint.id)] = self._now() + DENIAL_SECONDS

    def recently_denied(self, endpoint: Endpoint) -> bool:
        """Whether another query would probably be denied, too."""
        return self._denied_until.get(name_hash(endpoint.id), 0.0) > self._now()

    def rate(self, endpoint: Endpoint) -> int | None:
        """Return the rate that an endpoint's coordinator may grant.

        Returns None if the endpoint is not limited.
        """
        if not self.has_limits:
            return None
        return self.rate_by_hash(name_hash(endpoint.id))

    def rate_by_hash(self, endpoint_hash: int) -> int | None:
        """Return the same for the endpoint whose id has a hash."""
        until = max(
            self._announced_until.get(endpoint_hash, 0.0),
            self._suspected_until.get(endpoint_hash, 0.0),
        )
        if until <= self._now():
            return None
        limit = self._limits.get(self._service_by_endpoint[endpoint_hash])
        return limit.rate if limit is not None else None

    def count_limited(self, endpoints: Iterable[Endpoint]) -> int:
        """Return how many of some endpoints are limited."""
        return sum(self.rate(endpoint) is not None for endpoint in endpoints)

    def announced_seconds(self, endpoint: Endpoint) -> float:
        """Return how much longer an endpoint warms up by its announcement."""
        until = self._announced_until.get(name_hash(endpoint.id), 0.0)
        return max(0.0, until - self._now()) if until else 0.0

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Drop the state of endpoints that no longer exist."""
        retained = {name_hash(endpoint) for endpoint in endpoints}
        for state in (
            self._service_by_endpoint,
            self._announced_until,
            self._suspected_until,
            self._denied_until,
        ):
            for endpoint_hash in [key for key in state if key not in retained]:
                del state[endpoint_hash]

    def _suspect(self, endpoint: Endpoint, seconds: float) -> None:
        endpoint_hash = name_hash(endpoint.id)
        self._service_by_endpoint[endpoint_hash] = endpoint.service
        self._suspected_until[endpoint_hash] = self._now() + seconds

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


class WarmupGrants:
    """Grants requests to the endpoints that this router coordinates.

    All requests are logged, as an endpoint may begin to warm up at any moment: those
    sent to it just before count, too. A new coordinator grants nothing for one window,
    in which its predecessors may have granted as much as two may.
    """

    def __init__(self) -> None:
        self._complete_at = self._now() + GRANT_WINDOW_SECONDS
        self._granted_at: defaultdict[int, deque[float]] = defaultdict(
            lambda: deque(maxlen=MAX_LOGGED_GRANTS)
        )
        self._queried: dict[int, tuple[float, int]] = {}
        """Loop time and rate of the last query with a limit, by endpoint."""

    def record_query(self, endpoint_hash: int, rate: int | None) -> None:
        """Record the rate in a router's query."""
        if rate is not None:
            self._queried[endpoint_hash] = (self._now(), rate)

    def has_room(self, endpoint_hash: int, rate: int | None) -> bool:
        """Whether one more request may be granted.

        `rate` is the limit known to this router; that of a recent query applies, too.
        """
        queried_at, queried_rate = self._queried.get(endpoint_hash, (None, 0))
        if queried_at is not None:
            if self._now() - queried_at <= QUERY_MEMORY_SECONDS:
                rate = queried_rate if rate is None else min(rate, queried_rate)
            else:
                del self._queried[endpoint_hash]
        if rate is None:
            return True
        if self._now() < self._complete_at:
            return False
        return self._count_recent(endpoint_hash) < min(rate, MAX_LOGGED_GRANTS)

    def record_grant(self, endpoint_hash: int) -> None:
        """Record that a request was granted."""
        self._granted_at[endpoint_hash].append(self._now())

    def discard(self, endpoint_hash: int) -> None:
        """Drop the state of an endpoint that has had no requests for some time."""
        self._granted_at.pop(endpoint_hash, None)

    def _count_recent(self, endpoint_hash: int) -> int:
        granted_at = self._granted_at[endpoint_hash]
        oldest = self._now() - GRANT_WINDOW_SECONDS
        while granted_at and granted_at[0] <= oldest:
            granted_at.popleft()
        return len(granted_at)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

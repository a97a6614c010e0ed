"""Decide when a second attempt of a late request may be sent.

The load is uneven: some endpoints are several times as slow as others, for good or for
some tenths of a second. A request that waits at such an endpoint may be served in time
by another one that has room. The policy knows the latencies of recent requests and the
requests, hedges and refusals of this router. It decides how long a request waits for
its first response, and whether a hedge may be sent then.
"""

import math
from dataclasses import dataclass
from enum import Enum

from teaselledge_fleet.hedging.latency import LatencyQuantiles
from teaselledge_fleet.hedging.limit import HedgeLimit

__all__ = [
    "HedgeDecision",
    "HedgePolicy",
    "HedgeQuery",
    "HedgeReason",
    "HedgeSettings",
]

REFUSAL_SECONDS = 1.0
"""Time after a refusal of a caller in which its service gets no hedges.

A hedge would take the room of a request that is refused for want of it."""

TOLERANCE = 1e-9
"""Rounding error of the sum of many fractions of a request."""


@dataclass(frozen=True)
class HedgeSettings:
    """Settings of hedged requests.

    Attributes
    ----------
    request_fraction : float
        Hedges as a fraction of a service's requests.
    token_fraction : float
        Prompt tokens of hedges as a fraction of those of a service's requests.
    quantile : float
        Quantile of the recent time to the first byte (stream: to the first event)
        after which a request is late.
    min_delay : float
        Minimum time before a hedge, in seconds.
    """

    request_fraction: float = 0.02
    token_fraction: float = 0.02
    quantile: float = 0.95
    min_delay: float = 0.05


class HedgeReason(Enum):
    """Why a hedge is sent or withheld."""

    LATE = "late"
    """The hedge is sent: the response is later than the quantile."""

    ATTEMPTS = "attempts"
    """The request has been sent as often as its route allows."""

    REMAINING_TIME = "remaining-time"
    """The time until the deadline is less than the quantile."""

    ROUTER_BUSY = "router-busy"
    """The router is overloaded, so that it may have read the response late."""

    REFUSALS = "refusals"
    """A caller of the service was refused a moment ago."""

    OVER_SHARE = "over-share"
    """The organisation is over its share."""

    REQUEST_FRACTION = "request-fraction"
    """The hedges would exceed their fraction of the service's requests."""

    TOKEN_FRACTION = "token-fraction"
    """The hedges would exceed their fraction of the service's prompt tokens."""

    NO_ENDPOINT = "no-endpoint"
    """No other endpoint has room."""

    RETRY_BUDGET = "retry-budget"
    """The fleet's budget of retries is used up."""


@dataclass(frozen=True)
class HedgeQuery:
    """What a decision depends on besides the policy's own counts.

    Attributes
    ----------
    route, service : str
        Route and service of the request.
    tokens : int
        Tokens of its prompt; 0 without one.
    attempts_left : int
        Number of endpoints to which it may still be sent.
    remaining : float
        Time until its deadline, in seconds.
    inside_share : bool
        Whether its organisation is inside its share.
    router_busy : bool
        Whether this router is overloaded.
    """

    route: str
    service: str
    tokens: int
    attempts_left: int
    remaining: float
    inside_share: bool = True
    router_busy: bool = False


@dataclass(frozen=True)
class HedgeDecision:
    """Whether a hedge may be sent.

    Attributes
    ----------
    allowed : bool
        Whether it may be sent.
    reason : HedgeReason
        Why.
    """

    allowed: bool
    reason: HedgeReason


class HedgePolicy:
    """Decides on hedges by what this router has measured and sent.

    Parameters
    ----------
    settings : HedgeSettings
        Limits and quantile.
    """

    def __init__(self, settings: HedgeSettings) -> None:
        self._settings = settings
        self._latencies = LatencyQuantiles(settings.quantile)
        self._limits: dict[str, HedgeLimit] = {}
        self._refused_at: dict[str, float] = {}

    def observe(self, route: str, tokens: int, seconds: float, now: float) -> None:
        """Add the time to the first byte of a first attempt.

        Of an attempt that was cancelled for its hedge, the time until then: it is
        longer than the quantile, which only depends on how many are.
        """
        self._latencies.observe((route, _size_class(tokens)), seconds, now)

    def quantile(self, route: str, tokens: int, now: float) -> float | None:
        """Return the time to the first byte after which a request is late."""
        return self._latencies.quantile((route, _size_class(tokens)), now)

    def delay(self, route: str, tokens: int, now: float) -> float | None:
        """Return the time after which a request may be hedged.

        None if too little is known about such requests.
        """
        quantile = self.quantile(route, tokens, now)
        return None if quantile is None else max(quantile, self._settings.min_delay)

    def record_request(self, service: str, tokens: int) -> None:
        """Count a request that is sent for the first time."""
        self._limit(service).record_request(tokens)

    def record_refusal(self, service: str, now: float) -> None:
        """Record that a caller of a service was refused."""
        self._refused_at[service] = now

    def may_hedge(self, query: HedgeQuery, now: float) -> HedgeDecision:
        """Decide on a hedge of a request whose response is late."""
        reason = self._reason_against(query, now)
        if reason is None:
            return HedgeDecision(True, HedgeReason.LATE)
        return HedgeDecision(False, reason)

    def limit_reason(self, service: str, tokens: int) -> HedgeReason | None:
        """Return the limit that a hedge would exceed, if any."""
        limit = self._limit(service)
        if limit.hedges < 1.0 - TOLERANCE:
            return HedgeReason.REQUEST_FRACTION
        if limit.tokens < tokens - TOLERANCE:
            return HedgeReason.TOKEN_FRACTION
        return None

    def record_hedge(self, service: str, tokens: int) -> None:
        """Count a hedge that is sent."""
        self._limit(service).record_hedge(tokens)

    def _reason_against(self, query: HedgeQuery, now: float) -> HedgeReason | None:
        if query.attempts_left < 1:
            return HedgeReason.ATTEMPTS
        quantile = self.quantile(query.route, query.tokens, now)
        if quantile is None or query.remaining < quantile:
            return HedgeReason.REMAINING_TIME
        if query.router_busy:
            return HedgeReason.ROUTER_BUSY
        refused_at = self._refused_at.get(query.service, -math.inf)
        if now - refused_at < REFUSAL_SECONDS:
            return HedgeReason.REFUSALS
        if not query.inside_share:
            return HedgeReason.OVER_SHARE
        return self.limit_reason(query.service, query.tokens)

    def _limit(self, service: str) -> HedgeLimit:
        limit = self._limits.get(service)
        if limit is None:
            settings = self._settings
            limit = HedgeLimit(settings.request_fraction, settings.token_fraction)
            self._limits[service] = limit
        return limit


def _size_class(tokens: int) -> int:
    """Return the class of a prompt; sizes within one differ by less than a factor 2."""
    return tokens.bit_length()

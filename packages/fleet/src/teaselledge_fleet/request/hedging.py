"""Send a hedge beside an attempt whose response is late, and keep the better one."""

import asyncio
from collections.abc import Callable

from teaselledge_fleet.hedging.policy import (
    HedgeDecision,
    HedgePolicy,
    HedgeQuery,
    HedgeReason,
)
from teaselledge_fleet.hedging.race import RaceResult, run_race
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.budget import RetryBudget
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.request.attempt import Attempt, ReadyResponse
from teaselledge_fleet.request.context import Outcome, Placer, RequestContext
from teaselledge_fleet.version.routes import RetryPolicy

__all__ = ["RequestHedger"]

_log = get_log("hedging")

Opened = ReadyResponse | Outcome

RETENTION_ORDER = (
    Outcome.FAILED,
    Outcome.BROKEN,
    Outcome.LOST,
    Outcome.DECLINED,
    Outcome.WITHDRAWN,
    Outcome.UNSENT,
)
"""Outcomes by which a request goes on if both attempts fail, the first of them that
occurs. An attempt that may have run decides on the retry, not one that was not sent."""


class RequestHedger:
    """Opens attempts, and hedges those that are late.

    Parameters
    ----------
    policy : HedgePolicy
        Decides on hedges.
    budget : RetryBudget
        Limits retries and hedges of the fleet.
    placer : Placer
        Chooses the endpoints of hedges.
    metrics : FleetMetrics
        Counts hedges.

    Attributes
    ----------
    is_router_busy : callable
        Returns whether this router is overloaded.
    is_sample_valid : callable
        Returns whether this router was responsive since a loop time.
    """

    def __init__(
        self,
        policy: HedgePolicy,
        budget: RetryBudget,
        placer: Placer,
        metrics: FleetMetrics,
    ) -> None:
        self.policy = policy
        self.budget = budget
        self.placer = placer
        self.metrics = metrics
        self.is_router_busy: Callable[[], bool] = lambda: False
        self.is_sample_valid: Callable[[float], bool] = lambda since: True

    async def open(self, first: Attempt) -> tuple[Attempt, Opened]:
        """Open an attempt, or a hedge beside it.

        Returns the attempt to go on with, which may be the hedge, and its response or
        outcome. The other one has ended then.
        """
        context = first.context
        if not _may_be_hedged(context) or first.response_started:
            return first, await first.open()
        now = _now()
        delay = self.policy.delay(context.route.name, prompt_tokens(context), now)
        if delay is None or context.deadline - now < delay:
            opened = await first.open()
            if _succeeded(opened):
                self.learn(first)
            return first, opened
        return await _HedgedAttempt(self, first, delay).run()

    def learn(self, first: Attempt) -> None:
        """Record how long a first attempt has taken."""
        if first.sent_at is not None and self.is_sample_valid(first.sent_at):
            context, now = first.context, _now()
            self.policy.observe(
                context.route.name, prompt_tokens(context), now - first.sent_at, now
            )

    def record_request(self, context: RequestContext) -> None:
        """Count a request that is sent for the first time."""
        self.policy.record_request(context.service, prompt_tokens(context))

    def record_refusal(self, service: str) -> None:
        """Record that a caller of a service was refused."""
        self.policy.record_refusal(service, _now())


class _HedgedAttempt:
    """An attempt that is hedged if its response is late."""

    def __init__(self, hedger: RequestHedger, first: Attempt, delay: float) -> None:
        self._hedger = hedger
        self._first = first
        self._delay = delay
        self._hedge: Attempt | None = None

    async def run(self) -> tuple[Attempt, Opened]:
        """Return the attempt to go on with; the other one has ended."""
        result: RaceResult[Opened] | None = None
        try:
            result = await run_race(
                self._first.open(), self._open_hedge, self._delay, _wins
            )
        finally:
            if result is None and self._hedge is not None:
                # the caller disconnected, or the deadline passed
                self._abandon(self._hedge, None)
                self._log_end(None, None)
        first = self._first
        if result.first is not None and _succeeded(result.first):
            self._hedger.learn(first)
        hedge = self._hedge
        if hedge is None:
            assert result.first is not None
            return first, result.first
        return self._settle(hedge, result)

    def _settle(
        self, hedge: Attempt, result: RaceResult[Opened]
    ) -> tuple[Attempt, Opened]:
        self._log_end(result.first, result.second)
        if result.winner is None:
            return self._settle_failures(hedge, result)
        if result.winner == 0:
            assert result.first is not None
            self._abandon(hedge, result.second)
            return self._first, result.first
        assert result.second is not None
        if _succeeded(result.second):
            self._hedger.metrics.increment("hedges_won", service=self._service)
            if result.first is None:
                self._hedger.learn(self._first)
        self._abandon(self._first, result.first)
        return hedge, result.second

    def _settle_failures(
        self, hedge: Attempt, result: RaceResult[Opened]
    ) -> tuple[Attempt, Opened]:
        """End one of two failed attempts, and return the other one."""
        opened = result.first
        assert opened is not None
        assert result.second is not None
        if _retention_rank(result.second) < _retention_rank(opened):
            self._first.end(_outcome(opened))
            return hedge, result.second
        hedge.end(_outcome(result.second))
        return self._first, opened

    def _abandon(self, attempt: Attempt, opened: Opened | None) -> None:
        """End the attempt that lost; a failure of its own counts as one."""
        if opened is not None and not _wins(opened):
            attempt.end(_outcome(opened))
            return
        if attempt.sent_at is not None:
            wasted = _now() - attempt.sent_at
            self._hedger.metrics.increment(
                "hedge_wasted_seconds", wasted, service=self._service
            )
        attempt.supersede()

    async def _open_hedge(self) -> Opened | None:
        """Send the hedge; return None if it is withheld."""
        hedge = await self._place_hedge()
        if isinstance(hedge, HedgeReason):
            self._hedger.metrics.increment(
                "hedges_withheld", service=self._service, reason=hedge.value
            )
            self._log("hedge withheld", hedge)
            return None
        self._hedger.metrics.increment("hedges_sent", service=self._service)
        self._log("hedge sent", HedgeReason.LATE, endpoint=hedge.endpoint.id)
        return await hedge.open()

    async def _place_hedge(self) -> Attempt | HedgeReason:
        """Return the hedge, or why it is withheld."""
        decision = self._decide()
        if not decision.allowed:
            return decision.reason
        placement = await self._hedger.placer.place_hedge(self._first.context)
        if placement is None:
            return HedgeReason.NO_ENDPOINT
        hedge = self._first.make_hedge(placement)
        # the limits are used only now, as most hedges are withheld for want of room
        reason = self._acquire()
        if reason is not None:
            hedge.end(Outcome.WITHDRAWN)
            return reason
        self._hedge = hedge
        return hedge

    def _decide(self) -> HedgeDecision:
        hedger, context, now = self._hedger, self._first.context, _now()
        unsent = 1 if self._first.sent_at is None else 0
        query = HedgeQuery(
            context.route.name,
            context.service,
            prompt_tokens(context),
            context.route.attempts - context.send_count - unsent,
            context.deadline - now,
            hedger.placer.is_inside_share(context),
            hedger.is_router_busy(),
        )
        return hedger.policy.may_hedge(query, now)

    def _acquire(self) -> HedgeReason | None:
        """Use both limits; return the one that is exceeded.

        Another hedge may have used them since the decision.
        """
        hedger, context = self._hedger, self._first.context
        tokens = prompt_tokens(context)
        reason = hedger.policy.limit_reason(context.service, tokens)
        if reason is not None:
            return reason
        if not hedger.budget.try_acquire(context.service):
            return HedgeReason.RETRY_BUDGET
        hedger.policy.record_hedge(context.service, tokens)
        return None

    @property
    def _service(self) -> str:
        return self._first.context.service

    def _log(
        self, event: str, reason: HedgeReason, endpoint: str | None = None
    ) -> None:
        context = self._first.context
        _log.info(
            event,
            id=context.request.id,
            reason=reason.value,
            route=context.route.name,
            service=context.service,
            organisation=context.organisation_name,
            first=self._first.endpoint.id,
            endpoint=endpoint,
            delay_ms=round(self._delay * 1000),
            remaining_ms=round((context.deadline - _now()) * 1000),
            prompt=prompt_tokens(context),
            sends=context.send_count,
        )

    def _log_end(self, first: Opened | None, hedge: Opened | None) -> None:
        assert self._hedge is not None
        _log.info(
            "hedge ended",
            id=self._first.context.request.id,
            first=self._first.endpoint.id,
            first_outcome=_outcome_name(first),
            endpoint=self._hedge.endpoint.id,
            outcome=_outcome_name(hedge),
            ms=round((_now() - (self._hedge.sent_at or _now())) * 1000),
        )


def prompt_tokens(context: RequestContext) -> int:
    """Return the tokens of a request's prompt, 0 without one."""
    prompt = context.request.prompt
    return prompt.input_tokens if prompt is not None else 0


def _may_be_hedged(context: RequestContext) -> bool:
    policy = context.route.retry_policy
    if policy is RetryPolicy.RESUME:
        return context.route.stream
    return policy is RetryPolicy.ANY


def _wins(opened: Opened) -> bool:
    """Whether the other attempt is of no more use."""
    return _succeeded(opened) or opened is Outcome.ABANDONED


def _succeeded(opened: Opened) -> bool:
    return isinstance(opened, ReadyResponse) and opened.outcome is Outcome.WHOLE


def _outcome(opened: Opened) -> Outcome:
    return opened if isinstance(opened, Outcome) else opened.outcome


def _outcome_name(opened: Opened | None) -> str:
    return "abandoned" if opened is None else _outcome(opened).name.lower()


def _retention_rank(opened: Opened) -> int:
    """Return the rank of a failed attempt, a response that can be forwarded first."""
    if isinstance(opened, ReadyResponse):
        return -1
    return RETENTION_ORDER.index(opened)


def _now() -> float:
    return asyncio.get_running_loop().time()

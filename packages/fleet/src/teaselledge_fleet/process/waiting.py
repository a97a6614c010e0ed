"""Maximum queueing time of a prompt before it is refused."""

from collections.abc import Mapping

from teaselledge_fleet.process.shares import ShareStatus
from teaselledge_fleet.version.routes import Route, RoutingConfiguration

__all__ = ["QueueWaitLimits"]

WAIT_FRACTION = 0.65
"""Fraction of the latency objective that a request may queue behind other prompts.

The rest is for its own prefill, 50 ms for a mean prompt and 500 ms for one of the
largest, and for the first event. Reported load counts the whole prefill of a prompt
until its first event has been reported, so the queueing time is on average 0.1 s
shorter than estimated. With 0.5 a quiet day of one site earned 0.815 and a busy one of
another 0.603; with 0.65 they earned 0.829 and 0.631.
"""

WAIT_FRACTION_OVER_SHARE = 0.15
"""Fraction of the latency objective for organisations over their fair share.

It is 0.12 s of 0.8 s, about the prefill time of a mean long prompt. An engine with a
longer backlog thus gets no requests of these organisations, and no engine runs idle.
Requests admitted into a backlog delay the first events of organisations that are inside
their share. On the busiest day of a site of nine, 0.2 in place of 0.12 and less earned
0.55 to 0.57 instead of 0.59 to 0.62; on a quiet day of another one, 0.06 earned 0.84
and 0.15 earned 0.86.
"""

WAIT_FRACTION_AHEAD = 0.08
"""Fraction for organisations that exceed their share of the excess capacity too.

It is smaller than that of other organisations over their share, so that those find room
first, and longer than an admission query takes, so that idle engines still accept these
requests.
"""

EXCESS_EXPONENT = 2
"""Exponent with which the limit over the share falls with the excess over it.

Engines otherwise go to the organisation with the most attempts: each finds the same
queue, whether it has a little more than its share or a multiple of it."""

MAX_USE_REDUCTION = 0.7
"""Reduction of the limit for an organisation that has used its whole share while
another one that has used less waits.

It is proportional to the use. With the same limit for all inside their share, those
with the most requests fill the queues up to it, and those far below find no room."""

WAIT_FRACTION_BY_STATUS = {
    ShareStatus.INSIDE: WAIT_FRACTION,
    ShareStatus.OVER: WAIT_FRACTION_OVER_SHARE,
    ShareStatus.AHEAD: WAIT_FRACTION_AHEAD,
}


class QueueWaitLimits:
    """Limits the queueing time of requests by the shortest objective of their service.

    An engine processes prompts in order of arrival. If each route were limited only by
    its own objective, one with a long objective would fill the queue up to its limit,
    and routes with shorter ones would find it full: all headlines, which could wait
    0.75 s, were served, but only a third of the dossiers, which could wait 0.4 s. With
    the shortest objective of a service's routes as the limit of all, each route is
    refused alike.
    """

    def __init__(self) -> None:
        self._min_objective_by_service: Mapping[str, float] = {}

    def apply_routing(self, routing: RoutingConfiguration) -> None:
        """Apply the latency objectives of a version of the configuration."""
        min_objective_by_service: dict[str, float] = {}
        for route in routing.routes:
            if not route.carries_prompt:
                continue
            for target in route.targets:
                current = min_objective_by_service.get(
                    target.service, route.latency_objective
                )
                min_objective_by_service[target.service] = min(
                    current, route.latency_objective
                )
        self._min_objective_by_service = min_objective_by_service

    def max_wait(
        self,
        route: Route,
        service: str,
        share_status: ShareStatus,
        has_prefix: bool = False,
        elapsed: float = 0.0,
        contended_use: float = 0.0,
        excess: float = 1.0,
    ) -> float:
        """Return the maximum queueing time of a request at an engine, in seconds.

        Parameters
        ----------
        route : Route
            Its route.
        service : str
            Service to which it is sent.
        share_status : ShareStatus
            Share status of its organisation.
        has_prefix : bool
            Whether the engine caches the prompt's prefix. Elsewhere the limit is the
            shortest objective of the service's routes; here the request may wait by its
            own, since another engine would have to copy or compute the prefix.
        elapsed : float
            Seconds since its arrival. If its organisation is ahead they are taken off
            its limit, otherwise off the unreduced limit inside the share: queries to
            another region take as long as the shorter limits. The request would be
            refused while engines are idle, or before one of an organisation with more.
        contended_use : float
            Part of its share that its organisation has used while another one that has
            used less waits; it counts inside the share.
        excess : float
            Multiple of its share that its organisation has; it counts over the share.
        """
        objective = route.latency_objective
        if not has_prefix:
            objective = min(
                objective, self._min_objective_by_service.get(service, objective)
            )
        limit = objective * WAIT_FRACTION_BY_STATUS[share_status]
        if share_status is ShareStatus.INSIDE:
            limit *= 1.0 - MAX_USE_REDUCTION * contended_use
        else:
            limit /= max(1.0, excess) ** EXCESS_EXPONENT
        if share_status is ShareStatus.AHEAD:
            return limit - elapsed
        return min(limit, objective * WAIT_FRACTION - elapsed)

"""Tests of the queueing time limits of prompts, alone and under overload."""

import random
from collections import defaultdict
from dataclasses import dataclass, field

from teaselledge_fleet.process.shares import ShareStatus
from teaselledge_fleet.process.waiting import (
    WAIT_FRACTION,
    WAIT_FRACTION_OVER_SHARE,
    QueueWaitLimits,
)
from teaselledge_fleet.version.routes import (
    RetryPolicy,
    Route,
    RoutingConfiguration,
    Target,
)
from teaselledge_standins.routes import make_route


def route(name: str, objective: float, service: str = "books", prompt: bool = True):
    return make_route(
        RetryPolicy.NEVER,
        stream=True,
        name=name,
        carries_prompt=prompt,
        latency_objective=objective,
        targets=(Target(service),),
    )


DOSSIER = route("dossier", 0.8)
HEADLINE = route("headline", 1.5)
ORDER = route("order", 0.2, prompt=False)
OTHER = route("other", 0.1, service="letters")
ROUTES = (DOSSIER, HEADLINE, ORDER, OTHER)


def wait_limits() -> QueueWaitLimits:
    """Return the limits of a configuration with all routes."""
    limits = QueueWaitLimits()
    limits.apply_routing(RoutingConfiguration(1, ROUTES, {}, ()))
    return limits


def test_the_shortest_objective_of_a_service_limits_all_its_prompts():
    """Plain requests and other services queue elsewhere and do not count."""
    for each in (DOSSIER, HEADLINE):
        assert (
            wait_limits().max_wait(each, "books", ShareStatus.INSIDE)
            == WAIT_FRACTION * 0.8
        )
    assert (
        wait_limits().max_wait(OTHER, "letters", ShareStatus.INSIDE)
        == WAIT_FRACTION * 0.1
    )


def test_where_its_prefix_is_cached_a_prompt_may_wait_by_its_own_objective():
    """At any other engine it would cost a copy, or the prefill of the prefix."""
    limits = wait_limits()
    for each in (DOSSIER, HEADLINE):
        limit = limits.max_wait(each, "books", ShareStatus.INSIDE, has_prefix=True)
        assert limit == WAIT_FRACTION * each.latency_objective


def test_time_spent_on_queries_does_not_count_over_the_share():
    """Two queries to another region took longer than the whole limit.

    An organisation over its share was refused while engines were idle, and got less
    than half of what another one got whose routers were nearer.
    """
    limits = wait_limits()
    at_once = limits.max_wait(DOSSIER, "books", ShareStatus.OVER)
    assert limits.max_wait(DOSSIER, "books", ShareStatus.OVER, elapsed=0.15) == at_once
    assert limits.max_wait(DOSSIER, "books", ShareStatus.OVER, elapsed=0.6) < 0


def test_time_spent_on_queries_counts_otherwise():
    limits = wait_limits()
    for status in (ShareStatus.INSIDE, ShareStatus.AHEAD):
        at_once = limits.max_wait(DOSSIER, "books", status)
        later = limits.max_wait(DOSSIER, "books", status, elapsed=0.1)
        assert abs(at_once - later - 0.1) < 1e-9


def test_inside_its_share_a_prompt_may_wait_as_long_as_over_it():
    """Queries left an organisation inside its share less time than one far over it."""
    limits = wait_limits()
    for elapsed in (0.0, 0.05, 0.1, 0.2, 0.4):
        over = limits.max_wait(DOSSIER, "books", ShareStatus.OVER, elapsed=elapsed)
        for use in (0.0, 0.5, 1.0):
            inside = limits.max_wait(
                DOSSIER,
                "books",
                ShareStatus.INSIDE,
                elapsed=elapsed,
                contended_use=use,
            )
            assert inside >= over, (elapsed, use)


def test_organisations_over_their_share_have_a_shorter_limit():
    assert (
        wait_limits().max_wait(DOSSIER, "books", ShareStatus.OVER)
        == WAIT_FRACTION_OVER_SHARE * 0.8
    )


def test_the_limit_over_the_share_falls_with_the_excess():
    """The organisation with most attempts got 2.5 times its share, another one half."""
    limits = wait_limits()
    for status in (ShareStatus.OVER, ShareStatus.AHEAD):
        waits = [
            limits.max_wait(DOSSIER, "books", status, excess=excess)
            for excess in (1.0, 1.5, 2.0, 3.0)
        ]
        assert waits == sorted(waits, reverse=True)
        # at twice its share it leaves the queues to the others, but uses idle engines
        assert 0 < waits[2] < waits[0] / 2


def test_an_unknown_service_is_limited_by_the_routes_own_objective():
    """A traffic split names a service that a newer configuration has added."""
    assert (
        wait_limits().max_wait(DOSSIER, "new", ShareStatus.INSIDE)
        == WAIT_FRACTION * 0.8
    )


@dataclass
class Engine:
    """An engine that processes prompts in order, with counts by route."""

    wait_limits: QueueWaitLimits
    free_at: float = 0.0
    offered: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    served: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def offer(self, route: Route, now: float, prefill_seconds: float) -> None:
        """Admit a prompt unless its queueing time exceeds the limit."""
        self.offered[route.name] += 1
        wait = max(0.0, self.free_at - now)
        if wait <= self.wait_limits.max_wait(route, "books", ShareStatus.INSIDE):
            self.served[route.name] += 1
            self.free_at = now + wait + prefill_seconds

    def served_fraction(self, route: Route) -> float:
        """Return the fraction of a route's requests that was served."""
        return self.served[route.name] / self.offered[route.name]


def test_a_route_with_a_long_objective_does_not_crowd_out_another():
    """Two routes together request twice the prefill that an engine can do.

    The headlines' objective is twice as long. Limited by their own objective, nearly
    all headlines were served and kept the queue longer than dossiers can wait: an
    editor got all headlines and one dossier of three. Both must be refused alike.
    """
    rng = random.Random(1)
    engine = Engine(wait_limits())
    arrivals = [(rng.uniform(0, 300), DOSSIER, 0.12) for _ in range(300 * 10)]
    arrivals += [(rng.uniform(0, 300), HEADLINE, 0.03) for _ in range(300 * 26)]
    for at, each, prefill_seconds in sorted(arrivals, key=lambda arrival: arrival[0]):
        engine.offer(each, at, prefill_seconds)
    assert engine.served_fraction(HEADLINE) < 0.65
    assert (
        abs(engine.served_fraction(DOSSIER) - engine.served_fraction(HEADLINE)) < 0.05
    )

"""Tests of how long prompts may wait, alone and under a load that is too much."""

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


def bounds() -> QueueWaitLimits:
    """Return the bounds of a version with all routes."""
    made = QueueWaitLimits()
    made.apply_routing(RoutingConfiguration(1, ROUTES, {}, ()))
    return made


def test_the_shortest_objective_of_a_service_bounds_all_its_prompts():
    """Plain requests and other services queue elsewhere and don't count."""
    for each in (DOSSIER, HEADLINE):
        assert (
            bounds().max_wait(each, "books", ShareStatus.INSIDE) == WAIT_FRACTION * 0.8
        )
    assert (
        bounds().max_wait(OTHER, "letters", ShareStatus.INSIDE) == WAIT_FRACTION * 0.1
    )


def test_organisations_over_their_share_wait_less():
    assert (
        bounds().max_wait(DOSSIER, "books", ShareStatus.OVER)
        == WAIT_FRACTION_OVER_SHARE * 0.8
    )


def test_an_unknown_service_is_bounded_by_the_own_objective():
    """A split names a service that a newer version has brought."""
    assert bounds().max_wait(DOSSIER, "new", ShareStatus.INSIDE) == WAIT_FRACTION * 0.8


@dataclass
class Engine:
    """An engine that reads prompts in order, and what became of each kind."""

    bounds: QueueWaitLimits
    free_at: float = 0.0
    asked: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    served: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def offer(self, kind: Route, now: float, reading: float) -> None:
        """Take a prompt that need not wait too long."""
        self.asked[kind.name] += 1
        wait = max(0.0, self.free_at - now)
        if wait <= self.bounds.max_wait(kind, "books", ShareStatus.INSIDE):
            self.served[kind.name] += 1
            self.free_at = now + wait + reading

    def part(self, kind: Route) -> float:
        """Return the part of a kind's requests that is served."""
        return self.served[kind.name] / self.asked[kind.name]


def test_a_kind_with_a_long_objective_does_not_crowd_out_another():
    """Engines are asked for twice what they can read, by two kinds of request.

    The headlines' objective is twice as long. Bounded each by its own, they were nearly
    all served and kept the queue longer than dossiers bear: an editor got all the tags
    and one dossier of three. Both must be refused alike.
    """
    chance = random.Random(1)
    engine = Engine(bounds())
    arrivals = [(chance.uniform(0, 300), DOSSIER, 0.12) for _ in range(300 * 10)]
    arrivals += [(chance.uniform(0, 300), HEADLINE, 0.03) for _ in range(300 * 26)]
    for at, kind, reading in sorted(arrivals, key=lambda arrival: arrival[0]):
        engine.offer(kind, at, reading)
    assert engine.part(HEADLINE) < 0.65
    assert abs(engine.part(DOSSIER) - engine.part(HEADLINE)) < 0.05

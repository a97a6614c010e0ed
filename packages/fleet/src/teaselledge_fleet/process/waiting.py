"""How long a prompt may wait behind others before it is refused."""

from collections.abc import Mapping

from teaselledge_fleet.process.shares import ShareStatus
from teaselledge_fleet.version.routes import Route, RoutingConfiguration

__all__ = ["QueueWaitLimits"]

WAIT_FRACTION = 0.65
"""Part of the objective that a request may wait behind others' prompts.

The rest is for its own prompt, 50 ms for a mean one and 500 ms for one of the largest,
and for the first event. What is told counts a prompt whole until its first event has
been reported, so the wait is on average 0.1 s shorter than it looks. At 0.5 a quiet
day of one site earned 0.815 and a busy one of another 0.603, at 0.65 0.829 and 0.631.
"""

WAIT_FRACTION_OVER_SHARE = 0.15
"""The same for organisations beyond their fair share: 0.12 s of 0.8 s, about what a
mean long prompt takes to read, so that an engine that has more to read takes none of
theirs and none runs dry.

What they are given in a backlog makes the first events of the others late, who are
owed theirs. At 0.2 in place of 0.12 and less, 0.55 to 0.57 was earned of what 0.59 to
0.62 was earned of on the busiest day of a site of nine; at 0.06 a quiet day of another
one earned 0.84 of what it earned 0.86 of at 0.15.
"""


WAIT_FRACTION_AHEAD = 0.08
"""The same for organisations beyond their fair part of what engines give besides.

Less than the others over their share wait, so that those find room first; more than it
takes to ask an endpoint's coordinator, so that an idle engine still takes theirs.
"""

WAIT_FRACTIONS = {
    ShareStatus.INSIDE: WAIT_FRACTION,
    ShareStatus.OVER: WAIT_FRACTION_OVER_SHARE,
    ShareStatus.AHEAD: WAIT_FRACTION_AHEAD,
}


class QueueWaitLimits:
    """Bounds the wait of a request by the kinds of request it competes with.

    An engine reads prompts in the order in which they come. A kind with a long
    objective, bounded by that alone, fills the queue up to its own bound, and the kinds
    with shorter ones find it full: headlines that bore 0.75 s were all served, and of
    dossiers that bore 0.4 s, a third. So the shortest objective of a service's kinds
    bounds all of them, and what is refused is refused of each kind alike.
    """

    def __init__(self) -> None:
        self._shortest: Mapping[str, float] = {}

    def apply_routing(self, routing: RoutingConfiguration) -> None:
        """Take the objectives of a version of the configuration."""
        shortest: dict[str, float] = {}
        for route in routing.routes:
            if not route.carries_prompt:
                continue
            for target in route.targets:
                known = shortest.get(target.service, route.latency_objective)
                shortest[target.service] = min(known, route.latency_objective)
        self._shortest = shortest

    def max_wait(self, route: Route, service: str, standing: ShareStatus) -> float:
        """Return the seconds that a request may wait from its arrival.

        Parameters
        ----------
        route : Route
            Its kind.
        service : str
            Where it goes.
        standing : ShareStatus
            What its organisation received, against what all ask for.
        """
        objective = min(
            route.latency_objective,
            self._shortest.get(service, route.latency_objective),
        )
        return objective * WAIT_FRACTIONS[standing]

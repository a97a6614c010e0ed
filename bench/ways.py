"""Alternative dispatch architectures, simulated with delays.

- ``central``: one dispatcher per service, in the first zone.
- ``shards``: one dispatcher per zone; they know each other's service immediately.
- ``static``: each router has a fixed fraction of the slots and decides alone.
- ``sampled``: each router decides alone and chooses the less loaded of two random
  endpoints, by load values that lag.
"""

from collections.abc import Callable, Iterator, Sequence
from functools import partial
from random import Random

from teaselledge_standins.virtual.fleet import VirtualPlan
from teaselledge_standins.virtual.plans import get_plan_by_name

from bench.case import Case
from bench.fairness import shuffled
from bench.measure import (
    Job,
    idle_waits,
    largest_gap,
    over_admission,
    percentile,
    utilisation,
)
from bench.naive import NaiveFleet, SimulatedEndpoint, Simulation, get_policy_by_name
from bench.trace import Source, get_load_by_name, with_kinds

__all__ = [
    "ARCHITECTURES",
    "ArchitectureNotFoundError",
    "get_architecture_by_name",
    "run",
]

DEPLOYMENT = "cellarwright"
LOADS = ("even", "skewed", "one-zone", "flood")
SEEDS = 6
WARM_SECONDS = 4.0
SECONDS = 20.0
LAG_SECONDS = 0.5
TICK_SECONDS = 0.05


class Central(Simulation):
    """One dispatcher, in the first zone."""

    def start_delay(self, job: Job, endpoint: SimulatedEndpoint) -> float:
        """Return the delay of the grant and of the request."""
        at = self.dispatcher_zone(endpoint)
        return self._delay(at, job.zone) + self._delay(job.zone, endpoint.zone)

    def end_delay(self, job: Job, endpoint: SimulatedEndpoint) -> float:
        """Return the delay of the message that the request has ended."""
        return self._delay(job.zone, self.dispatcher_zone(endpoint))

    def dispatcher_zone(self, endpoint: SimulatedEndpoint) -> str:
        """Return the zone of the endpoint's dispatcher."""
        return next(iter(self.plan.network.regions))

    def _delay(self, here: str, there: str) -> float:
        network = self.plan.network
        if here == there:
            return network.zone_delay
        if network.regions[here] == network.regions[there]:
            return network.near_delay
        return network.region_delay


class Shards(Central):
    """A dispatcher for each zone."""

    def dispatcher_zone(self, endpoint: SimulatedEndpoint) -> str:
        """Return the zone of the endpoint's dispatcher."""
        return endpoint.zone


class Alone(Simulation):
    """Each router has queues of its own."""

    def __init__(
        self, plan: VirtualPlan, sources: Sequence[Source], horizon: float
    ) -> None:
        self._fleets: dict[str, NaiveFleet] = {}
        self._random = Random(f"alone/{len(sources)}/{sources[0].seed}")
        policy = get_policy_by_name("least-served")
        super().__init__(plan, sources, horizon, policy, ())

    def fleet_of(self, job: Job) -> NaiveFleet:
        """Return the queues of a request's router."""
        found = self._fleets.get(job.router)
        if found is None:
            base = self.fleet
            found = NaiveFleet(base.shares, base.hints, base.interactive)
            self._fleets[job.router] = found
        return found

    def _dispatch(self) -> None:
        routers = list(self._fleets)
        self._random.shuffle(routers)
        for router in routers:
            self._dispatch_one(router, self._fleets[router])

    def _dispatch_one(self, router: str, fleet: NaiveFleet) -> None:
        while True:
            who = self.policy(fleet)
            if who is None:
                return
            endpoint = self.pick(router)
            if endpoint is None:
                return
            first, second = fleet.queues[who]
            self.start_on((first or second).popleft(), endpoint)

    def pick(self, router: str) -> SimulatedEndpoint | None:
        """Return the endpoint for the router's next request, None to wait."""
        raise NotImplementedError


class Static(Alone):
    """Each router has a fixed fraction of the slots."""

    def pick(self, router: str) -> SimulatedEndpoint | None:
        """Return the endpoint with the lowest utilisation, None without a free slot."""
        slots = sum(e.slots for e in self.endpoints.values())
        used = sum(1 for job in self.jobs if self._runs(job, router))
        if used >= slots // len(self.plan.routers):
            return None
        return min(self.endpoints.values(), key=lambda e: (e.held / e.slots, e.name))

    def _runs(self, job: Job, router: str) -> bool:
        return job.router == router and job.name in self.at_endpoint


class Sampled(Alone):
    """Each router chooses the less loaded of two random endpoints, by lagging load."""

    def __init__(
        self, plan: VirtualPlan, sources: Sequence[Source], horizon: float
    ) -> None:
        self._views: dict[str, int] = {}
        self._sent: dict[tuple[str, str], list[float]] = {}
        super().__init__(plan, sources, horizon)
        self._tick()

    def pick(self, router: str) -> SimulatedEndpoint | None:
        """Return the less loaded of two endpoints, None if it seems to be full."""
        pair = self._random.sample(list(self.endpoints.values()), 2)
        best = min(pair, key=lambda e: self._load(router, e))
        if self._load(router, best) >= best.slots:
            return None
        self._sent.setdefault((router, best.name), []).append(self.now)
        return best

    def _load(self, router: str, endpoint: SimulatedEndpoint) -> int:
        key = (router, endpoint.name)
        recent = [t for t in self._sent.get(key, []) if t > self.now - LAG_SECONDS]
        self._sent[key] = recent
        return self._views.get(endpoint.name, 0) + len(recent)

    def _tick(self) -> None:
        for endpoint in self.endpoints.values():
            seen = partial(self._views.__setitem__, endpoint.name, endpoint.running)
            self.at(self.now + LAG_SECONDS, seen)
        self._dispatch()
        self.at(self.now + TICK_SECONDS, self._tick)


def _central(
    plan: VirtualPlan, sources: Sequence[Source], horizon: float
) -> Simulation:
    return Central(plan, sources, horizon, get_policy_by_name("least-served"), ())


def _shards(plan: VirtualPlan, sources: Sequence[Source], horizon: float) -> Simulation:
    return Shards(plan, sources, horizon, get_policy_by_name("least-served"), ())


Architecture = Callable[[VirtualPlan, Sequence[Source], float], Simulation]

ARCHITECTURES: dict[str, Architecture] = {
    "central": _central,
    "shards": _shards,
    "static": Static,
    "sampled": Sampled,
}


class ArchitectureNotFoundError(LookupError):
    """No architecture has the given name."""


def get_architecture_by_name(name: str) -> Architecture:
    """Return the constructor of an architecture.

    Raises
    ------
    ArchitectureNotFoundError
        If no architecture has that name.
    """
    found = ARCHITECTURES.get(name)
    if found is None:
        raise ArchitectureNotFoundError(name)
    return found


def measure_architecture(name: str, load_name: str, seed: int) -> dict[str, float]:
    """Simulate one architecture and return its figures."""
    load = get_load_by_name(load_name)
    plan = with_kinds(get_plan_by_name(DEPLOYMENT), load)
    sources = shuffled(load.sources(plan, seed), seed)
    simulation = get_architecture_by_name(name)(plan, sources, WARM_SECONDS + SECONDS)
    simulation.run()
    ground = simulation.ground(WARM_SECONDS)
    return {
        "gap": largest_gap(ground),
        "utilisation": utilisation(ground),
        "idle_p99_s": percentile(idle_waits(ground, near=False), 99),
        "over_admission": over_admission(ground),
    }


def run(quick: bool) -> Iterator[Case]:
    """Run the cases."""
    seeds = range(1, 2 if quick else SEEDS + 1)
    for load in LOADS[:1] if quick else LOADS:
        for name in ARCHITECTURES:
            runs = [measure_architecture(name, load, seed) for seed in seeds]
            mean = {key: sum(r[key] for r in runs) / len(runs) for key in runs[0]}
            figures = {key: round(value, 4) for key, value in mean.items()}
            figures["seeds"] = float(len(runs))
            yield Case(f"way-{name}-{load}", 1, figures)

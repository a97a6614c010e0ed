"""Loads of the fairness benchmark: sources of requests and their costs."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from teaselledge_standins.virtual.fleet import VirtualPlan

__all__ = [
    "LOADS",
    "Load",
    "LoadNotFoundError",
    "Source",
    "get_load_by_name",
    "with_kinds",
]

LOOKUP_TOKENS = 20
SUMMARY_TOKENS = 200
READ_SECONDS = 2.0
COST_SPREAD_FRACTION = 0.5
PARETO_SHAPE = 1.5
MAX_PARETO_FACTOR = 20.0
ON_SECONDS = 4.0
OFF_SECONDS = 2.0
FLOOD_FACTOR = 50
HINT_ERROR_FACTOR = 10


@dataclass(frozen=True)
class Source:
    """Requests of one kind from one organisation at one router.

    Attributes
    ----------
    organisation, router, kind : str
        Organisation, router and kind of the requests.
    seed : int
        Seed of the sequence of costs.
    mean : float
        Mean cost.
    outstanding : int
        Number of requests kept in progress; 0 if `rate` is set.
    rate : float
        Requests per second with random arrivals; 0 if `outstanding` is set.
    heavy : bool
        Costs are Pareto distributed instead of uniform.
    on_off : bool
        The source alternates between activity and pauses of random length.
    """

    organisation: str
    router: str
    kind: str
    seed: int
    mean: float = SUMMARY_TOKENS
    outstanding: int = 0
    rate: float = 0.0
    heavy: bool = False
    on_off: bool = False

    def costs(self) -> Iterator[float]:
        """Iterate over the costs, the same for each policy."""
        random = Random(f"cost/{self.seed}")
        while True:
            if self.heavy:
                scale = (PARETO_SHAPE - 1) / PARETO_SHAPE
                factor = min(
                    MAX_PARETO_FACTOR, scale * random.paretovariate(PARETO_SHAPE)
                )
            else:
                factor = random.uniform(
                    1 - COST_SPREAD_FRACTION, 1 + COST_SPREAD_FRACTION
                )
            cost = self.mean * factor
            # tokens are integers; with integer seconds, all requests would end at once
            yield float(max(1, round(cost))) if self.mean > READ_SECONDS else cost

    def arrivals(self, horizon: float) -> list[float]:
        """Return the arrival times of an open source."""
        random = Random(f"arrival/{self.seed}")
        times = []
        now = random.expovariate(self.rate) if self.rate else horizon
        while now < horizon:
            times.append(now)
            now += random.expovariate(self.rate)
        return times

    def windows(self, horizon: float) -> list[tuple[float, float]]:
        """Return the time spans in which a source with `outstanding` is active."""
        if not self.on_off:
            return [(0.0, horizon)]
        random = Random(f"window/{self.organisation}/{self.seed // 1000}")
        windows = []
        now = random.uniform(0, OFF_SECONDS)
        while now < horizon:
            end = min(horizon, now + random.expovariate(1 / ON_SECONDS))
            windows.append((now, end))
            now = end + random.expovariate(1 / OFF_SECONDS)
        return windows


@dataclass(frozen=True)
class Load:
    """A named load.

    Attributes
    ----------
    sources : callable
        Returns the sources for a plan and a seed.
    kinds : mapping of str to mapping
        Kinds that the load adds to the document.
    plain : bool
        The load goes to the plain service instead of the engines.
    """

    sources: Callable[[VirtualPlan, int], list[Source]]
    kinds: dict[str, dict[str, Any]] = field(default_factory=dict)
    plain: bool = False


def with_kinds(plan: VirtualPlan, load: Load) -> VirtualPlan:
    """Return the plan with the kinds that a load uses."""
    if load.plain:
        return _with_plain(plan)
    name = next(iter(plan.services))
    service = plan.services[name]
    kinds = {kind: dict(entry) for kind, entry in service.kinds.items()}
    kinds["lookup"]["cost_hint"] = LOOKUP_TOKENS
    kinds["summary"]["cost_hint"] = SUMMARY_TOKENS
    kinds.update(load.kinds)
    services = {**plan.services, name: replace(service, kinds=kinds)}
    return replace(plan, services=services)


def _with_plain(plan: VirtualPlan) -> VirtualPlan:
    """Return the plan with its plain service first, since loads use the first one."""
    engines, plain = plan.services
    service = plan.services[plain]
    kinds = {kind: dict(entry) for kind, entry in service.kinds.items()}
    kinds["read"] |= {"cost_hint": READ_SECONDS, "deadline": 600}
    services = {plain: replace(service, kinds=kinds), engines: plan.services[engines]}
    return replace(plan, services=services)


def _closed(
    plan: VirtualPlan, seed: int, per_share: int = 1, **options: Any
) -> list[Source]:
    """Keep requests of each organisation in progress at each router, by its share."""
    sources = []
    for i, (organisation, share) in enumerate(plan.shares.items()):
        for j, router in enumerate(plan.routers):
            number = seed * 1000 + i * 10 + j
            count = max(1, round(per_share * min(share, 3)))
            sources.append(
                Source(
                    organisation,
                    router,
                    "summary",
                    number,
                    outstanding=count,
                    **options,
                )
            )
    return sources


def _even(plan: VirtualPlan, seed: int) -> list[Source]:
    return _closed(plan, seed)


def _heavy(plan: VirtualPlan, seed: int) -> list[Source]:
    return _closed(plan, seed, heavy=True)


def _on_off(plan: VirtualPlan, seed: int) -> list[Source]:
    return _closed(plan, seed, on_off=True)


def _skewed(plan: VirtualPlan, seed: int) -> list[Source]:
    """Assign each organisation to one or two routers, preferring the first ones."""
    random = Random(f"skew/{seed}")
    routers = list(plan.routers)
    weights = [1 / (rank + 1) for rank in range(len(routers))]
    home = {
        organisation: set(random.choices(routers, weights, k=2))
        for organisation in plan.shares
    }
    kept = [s for s in _closed(plan, seed) if s.router in home[s.organisation]]
    count = len(routers)
    return [
        replace(s, outstanding=s.outstanding * count // len(home[s.organisation]))
        for s in kept
    ]


def _one_zone(plan: VirtualPlan, seed: int) -> list[Source]:
    """Restrict the first organisation to the far zone, and the others to the rest."""
    far = list(plan.network.regions)[-1]
    first = next(iter(plan.shares))
    sources = []
    for source in _closed(plan, seed):
        here = plan.routers[source.router] == far
        if source.organisation == first and here:
            sources.append(replace(source, outstanding=12))
        if source.organisation != first and not here:
            sources.append(source)
    return sources


def _alone(plan: VirtualPlan, seed: int) -> list[Source]:
    """Send requests of one organisation only, and only in the far zone."""
    far = list(plan.network.regions)[-1]
    first = next(iter(plan.shares))
    return [
        replace(source, outstanding=40)
        for source in _closed(plan, seed)
        if source.organisation == first and plan.routers[source.router] == far
    ]


def _flood(plan: VirtualPlan, seed: int) -> list[Source]:
    """Multiply the requests of the last organisation by fifty."""
    last = list(plan.shares)[-1]
    return [
        replace(source, outstanding=source.outstanding * FLOOD_FACTOR)
        if source.organisation == last
        else source
        for source in _closed(plan, seed)
    ]


def _wrong_hints(plan: VirtualPlan, seed: int) -> list[Source]:
    """Make the hint ten times too low for a third, too high for another third."""
    kinds = [("summary", SUMMARY_TOKENS), ("under", 200), ("over", 100)]
    sources = []
    for i, source in enumerate(_closed(plan, seed)):
        kind, mean = kinds[(i // len(plan.routers)) % len(kinds)]
        sources.append(replace(source, kind=kind, mean=mean))
    return sources


def _mixed(plan: VirtualPlan, seed: int) -> list[Source]:
    """Send lookups from all organisations beside a flood of summaries."""
    return _lookups(plan, seed) + _closed(plan, seed)


def _lookups(plan: VirtualPlan, seed: int) -> list[Source]:
    """Send lookups only, at a tenth of the capacity."""
    sources = []
    for i, organisation in enumerate(plan.shares):
        for j, router in enumerate(plan.routers):
            number = seed * 1000 + 500 + i * 10 + j
            sources.append(
                Source(organisation, router, "lookup", number, LOOKUP_TOKENS, rate=0.13)
            )
    return sources


def _plain(plan: VirtualPlan, seed: int) -> list[Source]:
    """Send reads of two seconds to the plain service."""
    return [
        replace(source, kind="read", mean=READ_SECONDS)
        for source in _closed(plan, seed)
    ]


def _kind(path: str, hint: float) -> dict[str, Any]:
    return {"methods": ["POST"], "paths": [path], "cost_hint": hint, "deadline": 600}


LOADS: dict[str, Load] = {
    "even": Load(_even),
    "skewed": Load(_skewed),
    "one-zone": Load(_one_zone),
    "alone": Load(_alone),
    "flood": Load(_flood),
    "wrong-hints": Load(
        _wrong_hints,
        {
            "under": _kind("under", 200 / HINT_ERROR_FACTOR),
            "over": _kind("over", 100 * HINT_ERROR_FACTOR),
        },
    ),
    "heavy": Load(_heavy),
    "on-off": Load(_on_off),
    "plain": Load(_plain, plain=True),
    "mixed": Load(_mixed),
    "lookups": Load(_lookups),
}


class LoadNotFoundError(LookupError):
    """No load has the given name."""


def get_load_by_name(name: str) -> Load:
    """Return the load with a name.

    Raises
    ------
    LoadNotFoundError
        If no load has that name.
    """
    found = LOADS.get(name)
    if found is None:
        raise LoadNotFoundError(name)
    return found

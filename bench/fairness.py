"""Fair dispatch of the fleet, compared with a naive policy with complete information.

Each case is one load on one deployment, over all seeds; the seed selects the fault.
``gap_ratio`` is the ratio of the largest gap of the fleet to that of the naive policy,
each averaged over the seeds. The ratio of single runs is not bounded: the cases
``scatter`` show that it varies by more than the bound between two runs of the naive
policy that differ only in the order in which the sources start.
"""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context
from random import Random

import loguru
from teaselledge.process.bound import gap_bound
from teaselledge.process.preset import get_preset_by_name
from teaselledge_standins.virtual.fleet import VirtualPlan
from teaselledge_standins.virtual.plans import PLANS, get_plan_by_name

from bench.case import Bound, Case
from bench.driver import Trial, run_trial
from bench.measure import (
    Ground,
    idle_waits,
    largest_gap,
    over_admission,
    percentile,
    service_rate,
    utilisation,
)
from bench.naive import get_policy_by_name, simulate
from bench.script import BEGIN, END, FAULTS, get_fault_by_name, leaving_endpoint
from bench.trace import Source, get_load_by_name, with_kinds

__all__ = ["Spec", "measure_one", "run", "summarise"]

SEEDS = 20
QUICK_SEEDS = 10
WORKERS = 5
WARM_SECONDS = 4.0
SECONDS = 12.0
FAULT_SECONDS = 24.0
RETURN_SECONDS = 10.0
LEAVE_SECONDS = 5.0
SILENT_SECONDS = 5.0
LINK_BYTES = 15e6 / 8
LOADS = (
    "even",
    "skewed",
    "one-zone",
    "alone",
    "flood",
    "wrong-hints",
    "heavy",
    "on-off",
)
QUICK_LOADS = ("skewed", "one-zone")
GAP_RATIO = {"fairness": 1.25, "traffic": 2.0}
LINK_PART = {"fairness": 0.01, "traffic": 0.003}


@dataclass(frozen=True)
class Spec:
    """Parameters of one run.

    Attributes
    ----------
    deployment, load, fault : str
        Their names; an empty fault for none.
    seed : int
        Seed of the run.
    """

    deployment: str
    load: str
    fault: str
    seed: int


@dataclass
class Result:
    """Figures of one run of the fleet and of the naive policy."""

    spec: Spec
    figures: dict[str, float] = field(default_factory=dict)
    lies: list[str] = field(default_factory=list)


def preset_of(plan: VirtualPlan) -> str:
    """Return the preset of a plan's first service."""
    service = next(iter(plan.services.values()))
    return str(service.options.get("preset", "fairness"))


def bound_of(plan: VirtualPlan, ground: Ground, blind: float) -> float:
    """Return the upper bound of the gap for a run.

    Parameters
    ----------
    blind : float
        Seconds for which dispatchers received no reports from each other.
    """
    preset = get_preset_by_name(preset_of(plan))
    service = next(iter(plan.services.values()))
    hints = [float(entry["cost_hint"]) for entry in service.kinds.values()]
    costs = [job.cost for job in ground.jobs]
    delay = preset.region_interval + preset.interval + plan.network.region_delay
    quantum = preset.quantum_hints * max(hints)
    return gap_bound(
        sum(ground.slots.values()),
        max([*costs, *hints]),
        quantum,
        delay + blind,
        service_rate(ground),
        min(ground.shares.values()),
        len(set(service.zones)),
    )


def wait_bound_ratio(ground: Ground, bound: float) -> float:
    """Return the maximum over requests of the waiting time divided by its bound.

    The bound follows from the cost that the organisation has outstanding when the
    request arrives. An organisation that is served at its share of the total rate,
    and lags by at most the bound of the gap, has received this cost after
    (outstanding / share + bound) * shares / rate.
    """
    rate = service_rate(ground)
    shares = sum(ground.shares[n] for n in {j.organisation for j in ground.jobs})
    worst = 0.0
    by_name: dict[str, list[tuple[float, float, float]]] = {}
    for job in ground.jobs:
        end = min(job.ended, ground.end)
        by_name.setdefault(job.organisation, []).append((job.issued, end, job.cost))
    for job in ground.jobs:
        if not ground.start <= job.issued < ground.end or rate <= 0:
            continue
        started = job.runs[0][1] if job.runs else min(job.ended, ground.end)
        entries = by_name[job.organisation]
        ahead = sum(c for a, b, c in entries if a <= job.issued < b)
        allowed = (ahead / ground.shares[job.organisation] + bound) * shares / rate
        worst = max(worst, (started - job.issued) / allowed)
    return worst


def _traffic(trial: Trial, seconds: float) -> dict[str, float]:
    nodes = [n / seconds for n in trial.traffic.node_bytes.values()]
    links = [n / seconds for n in trial.traffic.link_bytes.values()]
    return {
        "control_bytes_per_node_per_s": sum(nodes) / len(nodes),
        "control_bytes_top_node_per_s": max(nodes),
        "link_part": max(links, default=0.0) / LINK_BYTES,
    }


def _late_starts(ground: Ground, endpoint: str) -> int:
    """Count requests that started at a leaving endpoint after `LEAVE_SECONDS`."""
    return sum(
        1
        for job in ground.jobs
        for name, started, _ in job.runs
        if name == endpoint and BEGIN + LEAVE_SECONDS < started < END
    )


def measure_one(spec: Spec) -> Result:
    """Run the fleet and the naive policy once each and return the figures."""
    loguru.logger.remove()
    load = get_load_by_name(spec.load)
    plan = with_kinds(get_plan_by_name(spec.deployment), load)
    sources = shuffled(load.sources(plan, spec.seed), spec.seed)
    fault = get_fault_by_name(spec.fault) if spec.fault else None
    horizon = WARM_SECONDS + (FAULT_SECONDS if fault else SECONDS)
    script = fault.script(spec.seed) if fault else None
    events = fault.events(plan) if fault else ()
    policy = get_policy_by_name("least-served")
    trial = run_trial(plan, sources, spec.seed, horizon, script, WARM_SECONDS)
    naive = simulate(plan, sources, horizon, policy, events, WARM_SECONDS)
    ground = trial.ground
    blind = END - BEGIN + SILENT_SECONDS if fault and fault.splits else 0.0
    bound = bound_of(plan, ground, blind)
    gap = largest_gap(ground)
    naive_utilisation = utilisation(naive)
    figures = {
        "gap": gap,
        "gap_naive": largest_gap(naive),
        "gap_of_bound": gap / bound,
        "utilisation": utilisation(ground),
        "utilisation_of_naive": utilisation(ground) / naive_utilisation,
        "idle_near_p99_s": percentile(idle_waits(ground, True), 99),
        "idle_far_p99_s": percentile(idle_waits(ground, False), 99),
        "over_admission": over_admission(ground),
        "wait_of_bound": wait_bound_ratio(ground, bound),
        "refused": float(trial.refused),
        "broken": float(trial.broken),
        "lies": float(len(trial.lies)),
        "wall_s": trial.wall_seconds,
        **_traffic(trial, horizon - WARM_SECONDS),
    }
    if fault:
        plain_bound = bound_of(plan, ground, 0.0)
        healed = largest_gap(ground, END + RETURN_SECONDS)
        figures["gap_of_bound_after_return"] = healed / plain_bound
        figures["late_starts"] = float(
            _late_starts(ground, leaving_endpoint(plan))
            if spec.fault == "endpoint-leaving"
            else 0
        )
    return Result(spec, figures, trial.lies)


def shuffled(sources: list[Source], seed: int) -> list[Source]:
    """Return the sources in a random order of start."""
    found = list(sources)
    Random(f"order/{seed}").shuffle(found)
    return found


def scatter(load_name: str, seeds: int) -> Case:
    """Compare the naive policy with itself under two orders of the sources."""
    load = get_load_by_name(load_name)
    plan = with_kinds(get_plan_by_name(next(iter(PLANS))), load)
    horizon = WARM_SECONDS + SECONDS

    def gaps(other: int) -> list[float]:
        return [
            largest_gap(
                simulate(
                    plan,
                    shuffled(load.sources(plan, seed), seed + other),
                    horizon,
                    warm=WARM_SECONDS,
                )
            )
            for seed in range(1, seeds + 1)
        ]

    first, second = gaps(0), gaps(SEEDS)
    figures = {
        "seeds": float(seeds),
        "gap_ratio": _ratio(sum(second), sum(first)),
        "gap_ratio_of_largest": _ratio(max(second), max(first)),
        "gap_ratio_worst_seed": max(map(_ratio, second, first)),
    }
    rounded = {key: round(value, 3) for key, value in figures.items()}
    return Case(f"scatter-{load_name}", 1, rounded)


def _bounds(preset: str, faults: bool) -> dict[str, Bound]:
    bounds = {
        "gap_of_bound": Bound(at_most=1.0),
        "utilisation_of_naive": Bound(at_least=0.95 if faults else 0.98),
        "wait_of_bound": Bound(at_most=1.0),
        "lies": Bound(at_most=0),
        "control_bytes_per_node_per_s": Bound(at_most=7000),
        "control_bytes_top_node_per_s": Bound(at_most=7000),
        "link_part": Bound(at_most=LINK_PART[preset]),
    }
    bounds["idle_near_p99_s"] = Bound(at_most=0.050)
    bounds["idle_far_p99_s"] = Bound(at_most=0.250)
    if faults:
        bounds["gap_of_bound_after_return"] = Bound(at_most=1.0)
        bounds["late_starts"] = Bound(at_most=0)
        return bounds
    bounds["gap_ratio"] = Bound(at_most=GAP_RATIO[preset])
    bounds["refused"] = Bound(at_most=0)
    bounds["broken"] = Bound(at_most=0)
    return bounds


MIN_IS_WORST = ("utilisation", "utilisation_of_naive")
"""Figures whose worst value is the minimum."""


def summarise(name: str, preset: str, results: list[Result]) -> Case:
    """Return the worst figures over the seeds as one case."""
    faults = bool(results[0].spec.fault)
    figures: dict[str, float] = {"seeds": float(len(results))}
    for key in results[0].figures:
        values = [r.figures[key] for r in results]
        figures[key] = min(values) if key in MIN_IS_WORST else max(values)
    figures["gap_mean"] = sum(r.figures["gap"] for r in results) / len(results)
    naive = sum(r.figures["gap_naive"] for r in results) / len(results)
    figures["gap_naive_mean"] = naive
    figures["gap_ratio"] = _ratio(figures["gap_mean"], naive)
    figures["gap_ratio_of_largest"] = _ratio(figures["gap"], figures["gap_naive"])
    figures["gap_ratio_worst_seed"] = max(
        _ratio(r.figures["gap"], r.figures["gap_naive"]) for r in results
    )
    rounded = {key: round(value, 5) for key, value in figures.items()}
    seed = results[0].spec.seed
    return Case(name, seed, rounded, _bounds(preset, faults))


def _ratio(value: float, base: float) -> float:
    return value / base if base else 1.0


def specs_of(deployment: str, load: str, faults: bool, seeds: int) -> list[Spec]:
    """Return the runs of one case.

    The seed selects the fault. The seeds with faults are divided between the two
    deployments, so that each load has twenty runs with faults as well.
    """
    names = list(FAULTS)
    number = list(PLANS).index(deployment)
    return [
        Spec(deployment, load, names[seed % len(names)] if faults else "", seed)
        for seed in range(1, seeds + 1)
        if not faults or seed % len(PLANS) == number
    ]


def run(quick: bool) -> Iterator[Case]:
    """Run the cases."""
    seeds = QUICK_SEEDS if quick else SEEDS
    cases = [
        (deployment, load, faults)
        for load in (QUICK_LOADS if quick else LOADS)
        for deployment in PLANS
        for faults in (False, True)
        if not (quick and faults)
    ]
    if not quick:
        yield from (scatter(load, seeds) for load in LOADS)
    context = get_context("spawn")
    with ProcessPoolExecutor(WORKERS, mp_context=context) as pool:
        pending = []
        for deployment, load, faults in cases:
            specs = specs_of(deployment, load, faults, seeds)
            pending.append([pool.submit(measure_one, spec) for spec in specs])
        all_results: list[Result] = []
        for (deployment, load, faults), futures in zip(cases, pending, strict=True):
            label = f"{deployment}-{load}" + ("-faults" if faults else "")
            preset = preset_of(get_plan_by_name(deployment))
            results = [f.result() for f in futures]
            all_results.extend(results)
            yield summarise(label, preset, results)
    yield from _by_fault(all_results)


def _by_fault(results: list[Result]) -> Iterator[Case]:
    """Return the worst figures of each fault over all loads, without bounds."""
    for fault in FAULTS:
        found = [r for r in results if r.spec.fault == fault]
        if found:
            case = summarise(f"fault-{fault}", "fairness", found)
            yield Case(case.name, case.seed, case.figures)

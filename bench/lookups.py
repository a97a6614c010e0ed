"""Waiting times of lookups beside long summaries, by latency policy.

The same lookups run with and without a flood of summaries, under each policy:
plain (lookups are first in the queue), reserve (some slots are kept idle), burst (some
more requests than slots run) and preempt (a stream is cancelled and resumed later).
Each runs in the fleet and, as ``model``, in the naive policy's simulation, where the
engine takes 0.2 s to resume a cancelled stream; in the fleet it resumes at once.
"""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context

import loguru
from teaselledge.process import dispatcher
from teaselledge_standins.virtual.plans import get_plan_by_name

from bench.case import Bound, Case
from bench.driver import run_trial
from bench.fairness import WORKERS, shuffled
from bench.measure import largest_gap, percentile, service_rate, utilisation, waits
from bench.naive import simulate
from bench.trace import get_load_by_name, with_kinds

__all__ = ["POLICIES", "measure_policy", "run"]

POLICIES = ("plain", "reserve", "burst", "preempt")
CHOSEN_POLICY = "burst"
"""The policy that routers use, and that the bound applies to."""

SEEDS = 4
WARM_SECONDS = 4.0
SECONDS = 20.0
DEPLOYMENT = "sudski-trag"
MAX_EXTRA_WAIT_SECONDS = 0.050


def measure_policy(policy: str, seed: int) -> dict[str, float]:
    """Run lookups with and without summaries and return the figures."""
    loguru.logger.remove()
    load = get_load_by_name("mixed")
    plan = with_kinds(get_plan_by_name(DEPLOYMENT), load)
    name = next(iter(plan.services))
    service = plan.services[name]
    options = {**service.options, "resumes": True}
    services = {**plan.services, name: replace(service, options=options)}
    plan = replace(plan, services=services)
    # routers always use the chosen policy; changed in this benchmark process only
    dispatcher.LATENCY_POLICY = policy
    horizon = WARM_SECONDS + SECONDS
    figures = {}
    for label, sources in (
        ("alone", get_load_by_name("lookups").sources(plan, seed)),
        ("mixed", shuffled(load.sources(plan, seed), seed)),
    ):
        trial = run_trial(plan, sources, seed, horizon, warm=WARM_SECONDS)
        ground = trial.ground
        figures[f"lookup_wait_p99_s_{label}"] = percentile(waits(ground, "lookup"), 99)
        figures[f"lookup_wait_p50_s_{label}"] = percentile(waits(ground, "lookup"), 50)
        figures[f"lies_{label}"] = float(len(trial.lies))
        if label == "mixed":
            summaries = waits(ground, "summary")
            figures["summary_wait_max_s"] = max(summaries, default=0.0)
            figures["utilisation"] = utilisation(ground)
            figures["tokens_per_s"] = service_rate(ground)
            figures["gap"] = largest_gap(ground)
            figures["refused"] = float(trial.refused + trial.broken)
    extra = figures["lookup_wait_p99_s_mixed"] - figures["lookup_wait_p99_s_alone"]
    figures["lookup_extra_wait_p99_s"] = extra
    return figures


def model_policy(policy: str, seed: int) -> dict[str, float]:
    """Run lookups beside summaries in the model and return the figures."""
    load = get_load_by_name("mixed")
    plan = with_kinds(get_plan_by_name(DEPLOYMENT), load)
    sources = shuffled(load.sources(plan, seed), seed)
    horizon = WARM_SECONDS + SECONDS
    ground = simulate(plan, sources, horizon, warm=WARM_SECONDS, latency=policy)
    return {
        "lookup_wait_p99_s_mixed": percentile(waits(ground, "lookup"), 99),
        "summary_wait_max_s": max(waits(ground, "summary"), default=0.0),
        "utilisation": utilisation(ground),
        "tokens_per_s": service_rate(ground),
        "gap": largest_gap(ground),
    }


def _worst(runs: list[dict[str, float]]) -> dict[str, float]:
    figures = {key: max(run[key] for run in runs) for key in runs[0]}
    for key in ("utilisation", "tokens_per_s"):
        figures[key] = min(run[key] for run in runs)
    figures["seeds"] = float(len(runs))
    return {key: round(value, 4) for key, value in figures.items()}


def _case(policy: str, runs: list[dict[str, float]]) -> Case:
    bounds = {"lies_mixed": Bound(at_most=0), "lies_alone": Bound(at_most=0)}
    if policy == CHOSEN_POLICY:
        bounds["lookup_extra_wait_p99_s"] = Bound(at_most=MAX_EXTRA_WAIT_SECONDS)
    return Case(f"lookups-{policy}", 1, _worst(runs), bounds)


def run(quick: bool) -> Iterator[Case]:
    """Run the cases."""
    seeds = range(1, 2 if quick else SEEDS + 1)
    policies = (CHOSEN_POLICY,) if quick else POLICIES
    for policy in () if quick else POLICIES:
        found = [model_policy(policy, seed) for seed in seeds]
        yield Case(f"lookups-model-{policy}", 1, _worst(found))
    context = get_context("spawn")
    with ProcessPoolExecutor(WORKERS, mp_context=context) as pool:
        pending = {
            policy: [pool.submit(measure_policy, policy, seed) for seed in seeds]
            for policy in policies
        }
        for policy, futures in pending.items():
            yield _case(policy, [future.result() for future in futures])

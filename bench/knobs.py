"""Fairness gap as a function of control traffic.

The quantum and the intervals of the reports are scaled together, from a quarter
of the fairness preset to 64 times it. ``python -m bench.knobs FILE`` draws
the curve.
"""

import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context

import loguru
from matplotlib.figure import Figure
from teaselledge.process import preset as presets
from teaselledge_standins.virtual.plans import PLANS, get_plan_by_name

from bench.case import Case
from bench.driver import run_trial
from bench.fairness import WARM_SECONDS, WORKERS, shuffled
from bench.measure import largest_gap
from bench.naive import simulate
from bench.trace import get_load_by_name, with_kinds

__all__ = ["draw", "measure_point", "run"]

SCALES = (0.25, 1.0, 4.0, 16.0, 64.0)
SEEDS = 3
SECONDS = 16.0
LOAD = "skewed"
BASE = presets.PRESETS["fairness"]
Point = dict[str, float]


def measure_point(deployment: str, scale: float, seed: int) -> Point:
    """Run one deployment with scaled parameters."""
    loguru.logger.remove()
    scaled = replace(
        BASE,
        quantum_hints=BASE.quantum_hints * scale,
        interval=BASE.interval * scale,
        region_interval=BASE.region_interval * scale,
        report_bytes=BASE.report_bytes / min(scale, 1.0),
    )
    # changes the presets of this benchmark process only
    presets.PRESETS["fairness"] = presets.PRESETS["traffic"] = scaled
    load = get_load_by_name(LOAD)
    plan = with_kinds(get_plan_by_name(deployment), load)
    sources = shuffled(load.sources(plan, seed), seed)
    horizon = WARM_SECONDS + SECONDS
    trial = run_trial(plan, sources, seed, horizon, warm=WARM_SECONDS)
    naive = simulate(plan, sources, horizon, warm=WARM_SECONDS)
    sent = sum(trial.traffic.node_bytes.values())
    return {
        "gap": largest_gap(trial.ground),
        "gap_naive": largest_gap(naive),
        "control_bytes_per_node_per_s": sent / SECONDS / len(plan.routers),
        "link_bytes_per_s": max(trial.traffic.link_bytes.values()) / SECONDS,
    }


def _mean(points: list[Point]) -> Point:
    return {key: sum(p[key] for p in points) / len(points) for key in points[0]}


def curve(seeds: int, scales: tuple[float, ...]) -> dict[str, list[Point]]:
    """Return the mean figures by deployment, in the order of the scales."""
    context = get_context("spawn")
    with ProcessPoolExecutor(WORKERS, mp_context=context) as pool:
        pending = {
            (deployment, scale): [
                pool.submit(measure_point, deployment, scale, seed)
                for seed in range(1, seeds + 1)
            ]
            for deployment in PLANS
            for scale in scales
        }
        found: dict[str, list[Point]] = {name: [] for name in PLANS}
        for (deployment, _), futures in pending.items():
            found[deployment].append(_mean([f.result() for f in futures]))
    return found


def run(quick: bool) -> Iterator[Case]:
    """Run the cases; none if quick, since a single point gives no curve."""
    if quick:
        return
    for deployment, points in curve(SEEDS, SCALES).items():
        for scale, point in zip(SCALES, points, strict=True):
            figures = {key: round(value, 1) for key, value in point.items()}
            yield Case(f"knobs-{deployment}-{scale:g}", 1, figures)


def draw(path: str) -> None:
    """Measure the curve and write its plot to a file."""
    figure = Figure(figsize=(7, 4.5))
    axes = figure.subplots()
    for deployment, points in curve(SEEDS, SCALES).items():
        sent = [p["control_bytes_per_node_per_s"] for p in points]
        gap = [p["gap"] for p in points]
        axes.plot(sent, gap, marker="o", label=deployment)
        for scale, x, y in zip(SCALES, sent, gap, strict=True):
            axes.annotate(
                f"x{scale:g}", (x, y), textcoords="offset points", xytext=(4, 4)
            )
            print(f"{deployment} scale {scale:g}: {x:.0f} B/s, gap {y:.0f}")
        naive = points[0]["gap_naive"]
        print(f"{deployment} naive gap {naive:.0f}")
    axes.axhline(naive, linestyle="--", color="grey", label="one queue, no delay")
    axes.set_xlabel("control traffic, bytes per node and second")
    axes.set_ylabel("largest gap, tokens per share")
    axes.set_title(f"Gap against traffic, load {LOAD}, mean of {SEEDS} seeds")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    draw(sys.argv[1])

"""Simulate random scenarios in which the store is restored from older backups.

``python -m tools.restore_drills --seeds=100 --routers=9`` prints the broken
promises by seed and the time until all routers knew the era of a restored store. The
exit code is 1 if a promise was broken.
"""

import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import quantiles

import loguru
from absl import app, flags
from teaselledge_standins.restores import RestoreOutcome, run_restore_scenario

FLAGS = flags.FLAGS
flags.DEFINE_integer("first", 0, "First seed.")
flags.DEFINE_integer("seeds", 100, "Number of seeds.", lower_bound=1)
flags.DEFINE_integer("routers", 9, "Number of routers.", lower_bound=3)
flags.DEFINE_integer("jobs", 4, "Scenarios run in parallel.", lower_bound=1)


def run_scenario(seed: int, routers: int) -> RestoreOutcome:
    """Run one scenario without log output."""
    loguru.logger.remove()
    return run_restore_scenario(seed, routers)


def main(argv: Sequence[str]) -> None:
    """Run all seeds and print broken promises and convergence times."""
    seeds = range(FLAGS.first, FLAGS.first + FLAGS.seeds)
    convergence_seconds: list[float] = []
    failed = 0
    with ProcessPoolExecutor(FLAGS.jobs) as pool:
        for seed, outcome in zip(
            seeds,
            pool.map(partial(run_scenario, routers=FLAGS.routers), seeds),
            strict=True,
        ):
            convergence_seconds += outcome.convergence_seconds
            failed += bool(outcome.violations)
            for promise in outcome.violations:
                print(f"seed {seed}: {promise}")
    print(f"{len(seeds)} histories of {FLAGS.routers} routers, {failed} with a break")
    if len(convergence_seconds) > 1:
        cuts = quantiles(convergence_seconds, n=100)
        print(f"era known by all: p50 {cuts[49]:.2f} s, p99 {cuts[98]:.2f} s")
    sys.exit(failed > 0)


if __name__ == "__main__":
    app.run(main)

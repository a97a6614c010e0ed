"""Play random histories of a store that comes back from older copies.

``python -m tools.restore_drills --seeds=100 --routers=9`` prints what was broken, by
seed, and the time until all routers knew of a restore. It exits with 1 where a promise
broke.
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
flags.DEFINE_integer("seeds", 100, "How many seeds.", lower_bound=1)
flags.DEFINE_integer("routers", 9, "Size of the fleet.", lower_bound=3)
flags.DEFINE_integer("jobs", 4, "Histories played at the same time.", lower_bound=1)


def play(seed: int, routers: int) -> RestoreOutcome:
    """Play one history without its log."""
    loguru.logger.remove()
    return run_restore_scenario(seed, routers)


def main(argv: Sequence[str]) -> None:
    """Play all seeds and print what was seen."""
    seeds = range(FLAGS.first, FLAGS.first + FLAGS.seeds)
    spread: list[float] = []
    broken = 0
    with ProcessPoolExecutor(FLAGS.jobs) as pool:
        for seed, outcome in zip(
            seeds, pool.map(partial(play, routers=FLAGS.routers), seeds), strict=True
        ):
            spread += outcome.convergence_seconds
            broken += bool(outcome.violations)
            for promise in outcome.violations:
                print(f"seed {seed}: {promise}")
    print(f"{len(seeds)} histories of {FLAGS.routers} routers, {broken} with a break")
    if len(spread) > 1:
        cuts = quantiles(spread, n=100)
        print(f"era known by all: p50 {cuts[49]:.2f} s, p99 {cuts[98]:.2f} s")
    sys.exit(broken > 0)


if __name__ == "__main__":
    app.run(main)

"""Run a small fleet under load and print figures of its callers and endpoints."""

import asyncio
import json
import sys
from collections import Counter
from dataclasses import dataclass

import numpy as np
from teaselledge.log import start_logging
from teaselledge.process.bound import gap_bound
from teaselledge.process.preset import get_preset_by_name
from teaselledge.version.document import Document

from teaselledge_standins.demoload import TOKENS, DemoLoad, Organisation
from teaselledge_standins.fleet import Fleet, FleetPlan, running_fleet

ORGANISATIONS = [
    Organisation("amber", 1.0, "r1", 16),
    Organisation("birch", 2.0, "r2", 8, orders=True),
    Organisation("cedar", 1.0, "r1", 6, orders=True),
    Organisation("dogwood", 4.0, "r3", 10),
]
PLAN = FleetPlan(
    shares={o.name: o.share for o in ORGANISATIONS},
    engine_zones=("north-a", "north-b", "south-a"),
    plain_zones=("north-a", "south-a"),
    slots=2,
    count_peer_bytes=True,
)
SHUT_DOWN_ROUTER = "r2"
WARM_UP_SECONDS = 2.0
RUN_SECONDS = 13.0
SHUT_DOWN_AT_SECONDS = 6.0
SAMPLE_SECONDS = 0.1


@dataclass(frozen=True)
class Sample:
    """State of the engines at one moment.

    Attributes
    ----------
    served : Counter of str
        Tokens by organisation.
    running : int
        Slots in use.
    waiting : dict of str to int
        Outstanding completions of callers, by organisation.
    """

    served: Counter[str]
    running: int
    waiting: Counter[str]


@dataclass(frozen=True)
class Fairness:
    """Fairness figures while every organisation was backlogged.

    Attributes
    ----------
    received : dict of str to float
        Fraction of the tokens, by organisation.
    gap : float
        Maximum difference in tokens per share.
    utilisation : float
        Fraction of the slots in use.
    """

    received: dict[str, float]
    gap: float
    utilisation: float


def take_sample(fleet: Fleet, load: DemoLoad) -> Sample:
    """Return the current state of engines and callers."""
    served: Counter[str] = Counter()
    for engine in fleet.engines.values():
        served.update(engine.served)
    running = sum(engine.running for engine in fleet.engines.values())
    return Sample(served, running, Counter(load.counts.outstanding))


def fairness_of(samples: list[Sample], slots: int) -> Fairness:
    """Compute the figures from samples after the warm-up."""
    first, last = samples[0], samples[-1]
    names = [organisation.name for organisation in ORGANISATIONS]
    shares = {organisation.name: organisation.share for organisation in ORGANISATIONS}
    total = sum(last.served[name] - first.served[name] for name in names)
    gaps = []
    for sample in samples:
        normal = [(sample.served[n] - first.served[n]) / shares[n] for n in names]
        gaps.append(max(normal) - min(normal))
    received = {n: (last.served[n] - first.served[n]) / total for n in names}
    in_use = [min(sample.running, slots) / slots for sample in samples]
    return Fairness(received, max(gaps), float(np.mean(in_use)))


def bound_of(fleet: Fleet, samples: list[Sample]) -> float:
    """Return the upper bound of the gap for this fleet at its engines' speed."""
    router = next(iter(fleet.routers.values()))
    assert router.version is not None
    document: Document = router.version.document
    service = document.services["models"]
    preset = get_preset_by_name(service.preset)
    slots = sum(endpoint.slots for endpoint in service.endpoints.values())
    served = sum(samples[-1].served.values()) - sum(samples[0].served.values())
    rate = served / (len(samples) * SAMPLE_SECONDS)
    share = min(organisation.share for organisation in ORGANISATIONS)
    dispatchers = len({endpoint.zone for endpoint in service.endpoints.values()})
    delay = max(preset.interval, preset.region_interval)
    quantum = preset.quantum(service)
    return gap_bound(slots, TOKENS, quantum, delay, rate, share, dispatchers)


async def shut_down_router(fleet: Fleet) -> None:
    """Shut one router down gracefully in the middle of the run."""
    await asyncio.sleep(WARM_UP_SECONDS + SHUT_DOWN_AT_SECONDS)
    await fleet.drain_router(SHUT_DOWN_ROUTER)


async def observe(fleet: Fleet, load: DemoLoad) -> list[Sample]:
    """Take samples while the load runs, and show progress."""
    await asyncio.sleep(WARM_UP_SECONDS)
    samples = []
    steps = int(RUN_SECONDS / SAMPLE_SECONDS)
    for step in range(steps):
        samples.append(take_sample(fleet, load))
        if step % 10 == 0:
            done = load.counts.answered
            text = f"\r{step * SAMPLE_SECONDS:4.0f} s  {done} answers"
            print(text, end="", file=sys.stderr, flush=True)
        await asyncio.sleep(SAMPLE_SECONDS)
    print(file=sys.stderr)
    load.stop()
    return samples


def print_tables(load: DemoLoad, fairness: Fairness, bound: float) -> None:
    """Print the figures as tables."""
    total = sum(organisation.share for organisation in ORGANISATIONS)
    print(f"{'organisation':<14}{'router':<8}{'asks for':>9}{'due':>8}{'received':>10}")
    for organisation in ORGANISATIONS:
        due = organisation.share / total
        got = fairness.received[organisation.name]
        print(
            f"{organisation.name:<14}{organisation.router:<8}"
            f"{organisation.workers:>9}{due:>8.1%}{got:>10.1%}"
        )
    print(f"\n{'kind':<14}{'answers':>8}{'wait p50':>10}{'wait p95':>10}")
    for kind, waits in sorted(load.counts.waits.items()):
        half, most = np.percentile(waits, [50, 95])
        print(f"{kind:<14}{len(waits):>8}{half:>8.3f} s{most:>8.3f} s")
    print(
        f"\nfairness gap {fairness.gap:.0f} tokens per share (bound {bound:.0f}), "
        f"slots in use {fairness.utilisation:.1%}"
    )


def result_of(
    fleet: Fleet, load: DemoLoad, samples: list[Sample], seconds: float
) -> dict[str, float]:
    """Return the figures of the run."""
    counts = load.counts
    slots = sum(PLAN.slots for _ in PLAN.engine_zones)
    fairness = fairness_of(samples, slots)
    bound = bound_of(fleet, samples)
    print_tables(load, fairness, bound)
    runs = Counter(run.name for p in fleet.plains.values() for run in p.runs)
    control = sum(meter.received for meter in fleet.meters.values())
    return {
        "requests": counts.requests,
        "answered": counts.answered,
        "refused": counts.refused,
        "wrong_answers": counts.wrong,
        "orders": len(counts.orders),
        "orders_run_twice": sum(runs[name] > 1 for name in counts.orders),
        "orders_lost": sum(
            not confirmed or runs[name] == 0
            for name, confirmed in counts.orders.items()
        ),
        "fairness_gap": round(fairness.gap, 1),
        "fairness_gap_bound": round(bound, 1),
        "utilisation": round(fairness.utilisation, 4),
        "control_bytes_per_node_per_s": round(control / len(PLAN.routers) / seconds, 1),
    }


async def run_demo() -> dict[str, float]:
    """Run the demo and return its figures."""
    loop = asyncio.get_running_loop()
    async with running_fleet(PLAN) as fleet:
        load = DemoLoad(fleet, ORGANISATIONS)
        before = sum(meter.received for meter in fleet.meters.values())
        started = loop.time()
        async with asyncio.TaskGroup() as group:
            group.create_task(load.run())
            group.create_task(shut_down_router(fleet))
            samples = group.create_task(observe(fleet, load))
        seconds = loop.time() - started
        for meter in fleet.meters.values():
            meter.received -= before // len(fleet.meters)
        return result_of(fleet, load, samples.result(), seconds)


def main() -> int:
    """Run the demo and return the exit code."""
    start_logging(json=False, level="ERROR")
    result = asyncio.run(run_demo())
    print(json.dumps(result))
    faults = ("wrong_answers", "orders_run_twice", "orders_lost")
    return 1 if any(result[name] for name in faults) else 0


if __name__ == "__main__":
    sys.exit(main())

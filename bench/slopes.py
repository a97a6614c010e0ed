"""Control traffic by size of the fleet, and time to choose an endpoint."""

import time
from collections.abc import Iterator, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from multiprocessing import get_context

import loguru
from teaselledge.process.placement import Shard
from teaselledge.process.pool import EndpointPool
from teaselledge.version.document import Document, Endpoint, Kind, Service, Zone
from teaselledge_standins.virtual.fleet import VirtualPlan
from teaselledge_standins.virtual.plans import get_plan_by_name
from teaselledge_wire.gen.router.ttypes import Register

from bench.case import Bound, Case
from bench.driver import run_trial
from bench.fairness import WORKERS
from bench.trace import Source, get_load_by_name, with_kinds

__all__ = ["Size", "measure_size", "run"]

DEPLOYMENT = "sudski-trag"
WARM_SECONDS = 3.0
SECONDS = 8.0
CHOICES = 2000
CHOICE_ENDPOINTS = (5, 30, 290)


@dataclass(frozen=True)
class Size:
    """Size of a fleet.

    Attributes
    ----------
    nodes, organisations, endpoints : int
        Their numbers.
    requests : float
        Factor on the request rate: the mean cost of a request is divided by it.
    """

    nodes: int = 8
    organisations: int = 16
    endpoints: int = 5
    requests: float = 1.0


SIZES: dict[str, Size] = {
    "base": Size(),
    "nodes-16": Size(nodes=16),
    "nodes-32": Size(nodes=32),
    "organisations-75": Size(organisations=75),
    "endpoints-15": Size(endpoints=15),
    "requests-x2": Size(requests=2.0),
}


def sized_plan(size: Size) -> VirtualPlan:
    """Return the plan of a deployment at another size."""
    plan = with_kinds(get_plan_by_name(DEPLOYMENT), get_load_by_name("even"))
    zones = list(plan.network.regions)
    name = next(iter(plan.services))
    service = plan.services[name]
    placed = [zones[i % len(zones)] for i in range(size.endpoints)]
    return replace(
        plan,
        routers={f"vm-{i}": zones[i % len(zones)] for i in range(size.nodes)},
        shares={f"org-{i:03d}": 1.0 for i in range(size.organisations)},
        services={**plan.services, name: replace(service, zones=placed)},
    )


def measure_size(size: Size) -> dict[str, float]:
    """Measure the traffic of a fleet whose organisations are all backlogged."""
    loguru.logger.remove()
    plan = sized_plan(size)
    routers = list(plan.routers)
    each = max(1, round(3 * 8 * size.endpoints / size.organisations))
    mean = 200 / size.requests
    sources = [
        Source(
            organisation,
            routers[(i + j) % len(routers)],
            "summary",
            i * 10 + j,
            mean,
            outstanding=1,
        )
        for i, organisation in enumerate(plan.shares)
        for j in range(each)
    ]
    trial = run_trial(plan, sources, 1, WARM_SECONDS + SECONDS, warm=WARM_SECONDS)
    sent = list(trial.traffic.node_bytes.values())
    ended = sum(1 for job in trial.ground.jobs if job.ended < trial.ground.end)
    return {
        "control_bytes_per_node_per_s": sum(sent) / SECONDS / len(sent),
        "control_bytes_top_node_per_s": max(sent) / SECONDS,
        "link_bytes_per_s": max(trial.traffic.link_bytes.values()) / SECONDS,
        "requests_per_s": ended / (WARM_SECONDS + SECONDS),
        "waiting": float(len(sources) - 8 * size.endpoints),
    }


def choice_microseconds(endpoints: int) -> float:
    """Return the time of one choice, including acquiring and releasing the slot."""
    names = {f"e{i}": Endpoint(f"e{i}:1", "z", 8) for i in range(endpoints)}
    service = Service("tokens", names, {"w": Kind(("POST",), ("w",))})
    document = Document({"z": Zone("r")}, {}, {"s": service})
    pool = EndpointPool(Shard("s", "z"), document, lambda: 0.0)
    body = Register(1, "o", "w", 1.0, 0.0, 9.0, 0, 7, True, [])
    began = time.perf_counter()
    for _ in range(CHOICES):
        name = pool.choose(body)
        assert name is not None
        pool.acquire(name, 7)
        pool.release(name, False, 1.0, 100.0)
    return (time.perf_counter() - began) / CHOICES * 1e6


def _case(name: str, figures: Mapping[str, float]) -> Case:
    rounded = {key: round(value, 1) for key, value in figures.items()}
    bounds = {"control_bytes_per_node_per_s": Bound(at_most=7000)}
    return Case(f"traffic-{name}", 1, rounded, bounds)


def run(quick: bool) -> Iterator[Case]:
    """Run the cases; no traffic if quick, since one size gives no slope."""
    sizes = {} if quick else SIZES
    context = get_context("spawn")
    with ProcessPoolExecutor(WORKERS, mp_context=context) as pool:
        for name, figures in zip(
            sizes, pool.map(measure_size, sizes.values()), strict=True
        ):
            yield _case(name, figures)
    for endpoints in CHOICE_ENDPOINTS:
        figures = {"choice_us": round(choice_microseconds(endpoints), 1)}
        yield Case(f"choice-{endpoints}-endpoints", 1, figures)

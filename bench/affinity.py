"""Prefix-cache affinity with late and lost events, compared with none and perfect.

One shard with five engines. The prefixes of prompts follow a Zipf distribution. An
engine caches a few prefixes with LRU eviction; a cached prefix saves its prefill.
Events and load reports arrive late, and some events are lost. The pool under test is
the router's own.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from teaselledge.process.affinity import CacheEvent
from teaselledge.process.loadreport import LoadReport
from teaselledge.process.placement import Shard
from teaselledge.process.pool import EndpointPool
from teaselledge.version.document import Document, Endpoint, Kind, Service, Zone
from teaselledge_wire.gen.router.ttypes import Register

from bench.case import Bound, Case
from bench.measure import percentile

__all__ = ["Variant", "run", "simulate_shard"]

ENGINES = 5
SLOTS = 8
PREFIXES = 120
CACHED_PREFIXES = 24
PREFIX_TOKENS = 150.0
ANSWER_TOKENS = 100.0
TOKEN_SECONDS = 0.01
REQUESTS_PER_SECOND = 13.0
EVENT_DELAY_SECONDS = 2.0
EVENT_LOSS_FRACTION = 0.2
REPORT_INTERVAL_SECONDS = 1.0
REPORT_LAG_SECONDS = 1.0
SLOWDOWN_FACTOR = 4.0
SECONDS = 300.0
QUICK_SECONDS = 60.0
SEEDS = 5


@dataclass(frozen=True)
class Variant:
    """Information that the dispatcher has, and the speed of the engines.

    Attributes
    ----------
    prefix : bool
        Requests carry the hash of their prefix.
    delay, loss : float
        Seconds by which cache events are late, and fraction of them that is lost.
    perfect : bool
        The state of the caches is read directly instead of from events.
    slow : bool
        The first engine is four times slower.
    pace : bool
        The dispatcher receives the duration of requests.
    """

    prefix: bool = True
    delay: float = EVENT_DELAY_SECONDS
    loss: float = EVENT_LOSS_FRACTION
    perfect: bool = False
    slow: bool = False
    pace: bool = True


@dataclass
class _Engine:
    name: str
    factor: float
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    running: int = 0
    sequence: int = 0


class _Simulation:
    def __init__(self, variant: Variant, seed: int, seconds: float) -> None:
        self.variant = variant
        self.seconds = seconds
        self.random = Random(f"affinity/{seed}")
        self.loss = Random(f"loss/{seed}")
        self.now = 0.0
        self.engines = {
            f"e{i}": _Engine(
                f"e{i}", SLOWDOWN_FACTOR if variant.slow and i == 0 else 1.0
            )
            for i in range(ENGINES)
        }
        endpoints = {name: Endpoint(f"{name}:1", "z", SLOTS) for name in self.engines}
        service = Service("tokens", endpoints, {"w": Kind(("POST",), ("w",))})
        document = Document({"z": Zone("r")}, {}, {"s": service})
        self.pool = EndpointPool(Shard("s", "z"), document, lambda: self.now)
        self.waiting: list[tuple[float, int]] = []
        self.latencies: list[float] = []
        self.hits = self.total = 0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    def at(self, time: float, action: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (time, self.count, action))

    def run(self) -> None:
        weights = [1 / (n + 1) for n in range(PREFIXES)]
        now = 0.0
        while now < self.seconds:
            now += self.random.expovariate(REQUESTS_PER_SECOND)
            prefix = self.random.choices(range(PREFIXES), weights)[0]
            self.at(now, lambda prefix=prefix: self.arrive(prefix))  # type: ignore[misc]
        self.at(REPORT_INTERVAL_SECONDS, self.report)
        while self.heap:
            self.now, _, action = heapq.heappop(self.heap)
            action()

    def arrive(self, prefix: int) -> None:
        self.waiting.append((self.now, prefix))
        self.dispatch()

    def dispatch(self) -> None:
        while self.waiting:
            arrived, prefix = self.waiting[0]
            prefix_hash = prefix if self.variant.prefix else None
            if self.variant.perfect:
                self.observe_caches(prefix)
            body = Register(1, "o", "w", 1.0, 0.0, 9.0, 0, prefix_hash, True, [])
            name = self.pool.choose(body)
            if name is None:
                return
            self.waiting.pop(0)
            self.pool.acquire(name, prefix_hash)
            self.start(self.engines[name], arrived, prefix)

    def observe_caches(self, prefix: int) -> None:
        for engine in self.engines.values():
            engine.sequence += 1
            held = (prefix,) if prefix in engine.cache else ()
            gone = () if held else (prefix,)
            event = CacheEvent(engine.name, engine.sequence, held, gone)
            self.pool.observe_cache(event)

    def start(self, engine: _Engine, arrived: float, prefix: int) -> None:
        hit = prefix in engine.cache
        self.total += 1
        self.hits += hit
        evicted: tuple[int, ...] = ()
        engine.cache[prefix] = None
        engine.cache.move_to_end(prefix)
        if len(engine.cache) > CACHED_PREFIXES:
            evicted = (engine.cache.popitem(last=False)[0],)
        if not hit and not self.variant.perfect:
            self.publish(engine, prefix, evicted)
        work = ANSWER_TOKENS * self.random.uniform(0.5, 1.5)
        engine.running += 1
        batch = 1 + 0.03 * (engine.running - 1)
        tokens = work + (0 if hit else PREFIX_TOKENS)
        seconds = tokens * TOKEN_SECONDS * batch * engine.factor
        self.at(self.now + seconds, lambda: self.end(engine, arrived, seconds, tokens))

    def publish(self, engine: _Engine, prefix: int, evicted: tuple[int, ...]) -> None:
        engine.sequence += 1
        event = CacheEvent(engine.name, engine.sequence, (prefix,), evicted)
        if self.loss.random() >= self.variant.loss:
            later = self.now + self.variant.delay
            self.at(later, lambda: self.pool.observe_cache(event))

    def end(
        self, engine: _Engine, arrived: float, seconds: float, tokens: float
    ) -> None:
        engine.running -= 1
        duration = seconds if self.variant.pace else 0.0
        self.pool.release(engine.name, False, duration, tokens)
        self.latencies.append(self.now - arrived)
        self.dispatch()

    def report(self) -> None:
        for engine in self.engines.values():
            report = LoadReport(engine.name, engine.running)
            self.at(
                self.now + REPORT_LAG_SECONDS,
                lambda report=report: self.pool.observe_load(report),  # type: ignore[misc]
            )
        if self.now < self.seconds:
            self.at(self.now + REPORT_INTERVAL_SECONDS, self.report)


def simulate_shard(variant: Variant, seed: int, seconds: float) -> dict[str, float]:
    """Run one variant and return its figures."""
    simulation = _Simulation(variant, seed, seconds)
    simulation.run()
    return {
        "hit_part": simulation.hits / simulation.total,
        "latency_p50_s": percentile(simulation.latencies, 50),
        "latency_p99_s": percentile(simulation.latencies, 99),
    }


VARIANTS: dict[str, Variant] = {
    "off": Variant(prefix=False),
    "late-and-gappy": Variant(),
    "perfect": Variant(perfect=True, loss=0.0, delay=0.0),
    "slow-endpoint": Variant(slow=True),
    "slow-endpoint-untold": Variant(slow=True, pace=False),
}


def run(quick: bool) -> Iterator[Case]:
    """Run the cases."""
    seconds = QUICK_SECONDS if quick else SECONDS
    seeds = range(1, 2 if quick else SEEDS + 1)
    found: dict[str, dict[str, float]] = {}
    for name, variant in VARIANTS.items():
        runs = [simulate_shard(variant, seed, seconds) for seed in seeds]
        mean = {key: sum(r[key] for r in runs) / len(runs) for key in runs[0]}
        found[name] = mean
        figures = {key: round(value, 4) for key, value in mean.items()}
        bounds = {}
        if name == "late-and-gappy":
            # the median latency must not be higher than without affinity
            figures["latency_p50_of_off"] = round(
                mean["latency_p50_s"] / found["off"]["latency_p50_s"], 4
            )
            bounds["latency_p50_of_off"] = Bound(at_most=1.0)
        if name == "perfect":
            off, late = found["off"]["hit_part"], found["late-and-gappy"]["hit_part"]
            # late events must bring half of the gain of perfect information
            gain = (late - off) / (mean["hit_part"] - off)
            figures["late_gain_of_perfect"] = round(gain, 4)
            bounds["late_gain_of_perfect"] = Bound(at_least=0.5)
        yield Case(f"affinity-{name}", 1, figures, bounds)

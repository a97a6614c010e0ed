"""Model of a fleet whose engines end by one segment of a prompt.

Routers keep their real quarantine; requests, engines and messages between routers are
modelled on the loop's clock. A run counts what the quarantine has to keep small:
requests with a fatal segment that reach engines after the fifth of them ended, and
requests that share everything else with them and are refused.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from absl import app, flags
from loguru import logger
from looptime import new_event_loop
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.quarantine.quarantine import Quarantine
from teaselledge_fleet.request.call import CallerRequest, Prompt, PromptSegment
from teaselledge_fleet.request.context import RequestContext
from teaselledge_fleet.version.routes import Organisation, RetryPolicy
from tornado.httputil import HTTPHeaders

from teaselledge_standins.routes import make_route

__all__ = ["CrashCase", "CrashCounts", "run_case"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("first_seed", 1, "Seed of the first case.")
flags.DEFINE_integer("cases", 100, "Number of cases; each increments the seed.")

CONTACT_SECONDS = 4.0
"""Time after the fifth end within which all routers must know of it."""

ENDS_BEFORE_LIMIT = 5
MAX_SENT_AFTER_LIMIT = 3
MIN_COMPARED = 10
TICK_SECONDS = 0.25
RECONCILE_SECONDS = 3.0
MAX_SEND_COUNT = 3
SEGMENT_TOKENS = 100


@dataclass(frozen=True)
class CrashCase:
    """One drawn deployment and its load.

    Attributes
    ----------
    seed : int
        Seed of all draws.
    routers, engines : int
        Their numbers.
    fatal_rate, sound_rate : float
        Requests a second with and without the fatal segment, on the same route.
    related_fraction : float
        Fraction of the sound requests that share their organisation and all other
        segments with the fatal ones.
    depth : int
        Number of shared segments of a prompt.
    varied : bool
        Whether fatal requests differ in all segments but the first and the fatal one.
    fatal_segments : int
        Number of fatal segments, each with a load of its own.
    run_seconds : float
        Mean time that a sound request runs.
    end_seconds : float
        Longest time from the start of a fatal request to the end of its engine.
    return_seconds : float
        Time until the engine is back.
    loss : float
        Fraction of the messages between routers that is lost.
    restarts : int
        Routers that start again without memory.
    mass_crashes : int
        Times at which half of the engines end at once.
    stray_ends : int
        Times at which one engine ends for another reason.
    cut_off_seconds : float
        Time for which one router exchanges no messages.
    seconds : float
        Length of the load.
    """

    seed: int
    routers: int
    engines: int
    fatal_rate: float
    sound_rate: float
    related_fraction: float
    depth: int
    varied: bool
    fatal_segments: int
    run_seconds: float
    end_seconds: float
    return_seconds: float
    loss: float
    restarts: int
    mass_crashes: int
    stray_ends: int
    cut_off_seconds: float
    seconds: float

    @classmethod
    def draw(cls, seed: int) -> "CrashCase":
        """Return the case of a seed."""
        rng = random.Random(seed)
        fatal_rate = rng.choice((0.3, 1.0, 3.0, 12.0))
        return cls(
            seed,
            routers=rng.choice((3, 5, 9, 9, 20, 60)),
            engines=rng.choice((4, 5, 5, 12, 30, 70)),
            fatal_rate=fatal_rate,
            sound_rate=rng.choice((10.0, 20.0, 40.0)),
            related_fraction=rng.choice((0.0, 0.02, 0.1, 0.5)),
            depth=rng.choice((2, 2, 3, 4, 6)),
            varied=rng.random() < 0.3,  # noqa: PLR2004
            fatal_segments=rng.choice((1, 1, 1, 2)),
            run_seconds=rng.choice((0.2, 0.8, 2.0)),
            end_seconds=rng.choice((0.05, 0.3, 1.0)),
            return_seconds=rng.choice((1.0, 3.0, 5.0)),
            loss=rng.choice((0.0, 0.0, 0.05, 0.2)),
            restarts=rng.choice((0, 0, 1, 4)),
            mass_crashes=rng.choice((0, 0, 1, 3)),
            stray_ends=rng.choice((0, 0, 2, 5)),
            cut_off_seconds=rng.choice((0.0, 0.0, 6.0)),
            seconds=30.0 + ENDS_BEFORE_LIMIT / fatal_rate,
        )


@dataclass
class CrashCounts:
    """What a run counted, by fatal segment.

    Attributes
    ----------
    ends : list of float
        Times at which engines ended by it.
    sent_at : list of float
        Times at which requests with it reached engines from routers in touch.
    sharing_first, sharing_all : list of (float, bool)
        For each sound request that shares the first segment, or all others and the
        organisation: time, and whether the quarantine let it pass.
    """

    ends: list[float] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    sharing_first: list[tuple[float, bool]] = field(default_factory=list)
    sharing_all: list[tuple[float, bool]] = field(default_factory=list)

    @property
    def sent_late(self) -> int:
        """Requests that reached engines too long after the fifth end."""
        if len(self.ends) < ENDS_BEFORE_LIMIT:
            return 0
        limit = self.ends[ENDS_BEFORE_LIMIT - 1] + CONTACT_SECONDS
        return sum(at > limit for at in self.sent_at)

    @property
    def passed_fraction(self) -> float:
        """Smaller fraction of the sound requests that passed, 1 if they are few."""
        if not self.ends:
            return 1.0
        limit = self.ends[:ENDS_BEFORE_LIMIT][-1] + 2 * CONTACT_SECONDS
        fractions = [1.0]
        for requests in (self.sharing_first, self.sharing_all):
            passed = [ok for at, ok in requests if at > limit]
            if len(passed) >= MIN_COMPARED:
                fractions.append(sum(passed) / len(passed))
        return min(fractions)

    @property
    def kept(self) -> bool:
        """Whether both limits were kept."""
        return (
            self.sent_late <= MAX_SENT_AFTER_LIMIT and self.passed_fraction >= 0.5  # noqa: PLR2004
        )


@dataclass(eq=False)
class _Engine:
    endpoint: Endpoint
    in_flight: dict["_Request", "_Router"] = field(default_factory=dict)
    alive: bool = True


@dataclass(eq=False)
class _Request:
    context: RequestContext
    fatal: int | None = None
    sends: int = 0


@dataclass(eq=False)
class _Router:
    quarantine: Quarantine
    in_touch_at: float = 0.0
    cut_off: bool = False
    flushing: bool = False


class _Probe:
    """Tells after some milliseconds whether an engine has ended."""

    def __init__(self, ended: set[str], rng: random.Random) -> None:
        self._ended = ended
        self._rng = rng

    async def has_ended(self, address: str) -> bool:
        """Whether the engine has ended."""
        await asyncio.sleep(self._rng.uniform(0.005, 0.1))
        return address in self._ended


class _Model:
    def __init__(self, case: CrashCase) -> None:
        self._case = case
        self._rng = random.Random(case.seed + 1)
        self._loop = asyncio.get_running_loop()
        self._ended: set[str] = set()
        self._number = 0
        self._routers = [self._make_router() for _ in range(case.routers)]
        self._engines = [self._make_engine() for _ in range(case.engines)]
        self.counts = [CrashCounts() for _ in range(case.fatal_segments)]

    async def run(self) -> list[CrashCounts]:
        """Run the load, and return what was counted."""
        case = self._case
        for kind in range(case.fatal_segments):
            rate = case.fatal_rate / case.fatal_segments
            self._arrivals(rate, partial(self._send_fatal, kind))
        self._arrivals(case.sound_rate, self._send_sound)
        self._every(RECONCILE_SECONDS, self._reconcile)
        for action, count in (
            (self._restart_router, case.restarts),
            (self._crash_half, case.mass_crashes),
            (self._crash_one, case.stray_ends),
        ):
            for _ in range(count):
                self._loop.call_later(self._rng.uniform(0, case.seconds), action)
        if case.cut_off_seconds:
            self._loop.call_later(self._rng.uniform(0, case.seconds), self._cut_off)
        await asyncio.sleep(case.seconds)
        return self.counts

    def _make_router(self) -> _Router:
        router = _Router(Quarantine(_Probe(self._ended, self._rng)))
        router.quarantine.on_report = lambda: self._flush_later(router)
        return router

    def _make_engine(self) -> _Engine:
        self._number += 1
        name = f"e{self._number}"
        return _Engine(Endpoint(name, "books", name, "north", 8))

    def _arrivals(self, rate: float, arrive: Callable[[], None]) -> None:
        def next_one() -> None:
            arrive()
            self._loop.call_later(self._rng.expovariate(rate), next_one)

        self._loop.call_later(self._rng.expovariate(rate), next_one)

    def _every(self, seconds: float, action: Callable[[], None]) -> None:
        def next_one() -> None:
            action()
            self._loop.call_later(seconds, next_one)

        self._loop.call_later(seconds, next_one)

    def _segments(self, kind: int, fatal: bool) -> list[str]:
        """Return a prompt of the fatal requests, with or without the fatal segment."""
        case, rng = self._case, self._rng
        names = ["first"]
        for level in range(1, case.depth):
            own = rng.getrandbits(40) if case.varied and fatal else kind
            names.append(f"level{level}-{own}")
        if fatal:
            place = 1 + kind % case.depth
            names[place:place] = [f"fatal{kind}"]
        return names

    def _make_request(
        self, organisation: str, names: list[str], fatal: int | None
    ) -> _Request:
        self._number += 1
        own = f"own{self._number}"
        segments = tuple(PromptSegment(name, SEGMENT_TOKENS) for name in [*names, own])
        prompt = Prompt(SEGMENT_TOKENS * len(segments), 10, segments)
        request = CallerRequest(
            own, "POST", "/r/1", "books.example", HTTPHeaders(), prompt=prompt
        )
        route = make_route(RetryPolicy.RESUME, stream=True)
        context = RequestContext(
            request,
            own.encode(),
            route,
            "books",
            Organisation(organisation, ()),
            self._loop.time(),
            self._loop.time() + 10.0,
        )
        return _Request(context, fatal)

    def _send_fatal(self, kind: int) -> None:
        request = self._make_request(
            f"org{kind}", self._segments(kind, fatal=True), kind
        )
        self._send(request, self._rng.choice(self._routers))

    def _send_sound(self) -> None:
        case, rng = self._case, self._rng
        kind = rng.randrange(case.fatal_segments)
        if rng.random() < case.related_fraction:
            names, organisation = self._segments(kind, fatal=False), f"org{kind}"
        else:
            names = ["first", f"other{rng.randrange(20)}"]
            organisation = f"other{rng.randrange(12)}"
        request = self._make_request(organisation, names, None)
        router = rng.choice(self._routers)
        passed = router.quarantine.fault(request.context) is None
        for counts in self.counts:
            counts.sharing_first.append((self._loop.time(), passed))
        if organisation == f"org{kind}":
            self.counts[kind].sharing_all.append((self._loop.time(), passed))
        self._send(request, router)

    def _send(self, request: _Request, router: _Router) -> None:
        """Send a request to an engine, if the router lets it pass."""
        engines = [engine for engine in self._engines if engine.alive]
        if not engines or router.quarantine.fault(request.context) is not None:
            return
        engine, now = self._rng.choice(engines), self._loop.time()
        engine.in_flight[request] = router
        request.sends += 1
        if request.fatal is None:
            seconds = self._rng.expovariate(1 / self._case.run_seconds)
            self._loop.call_later(seconds, self._serve, request, engine, router)
            return
        if now >= router.in_touch_at:
            self.counts[request.fatal].sent_at.append(now)
        seconds = self._rng.uniform(0.01, self._case.end_seconds)
        self._loop.call_later(seconds, self._end_by, request, engine)

    def _serve(self, request: _Request, engine: _Engine, router: _Router) -> None:
        if engine.in_flight.pop(request, None) is not None and engine.alive:
            router.quarantine.on_served(request.context)

    def _end_by(self, request: _Request, engine: _Engine) -> None:
        if engine.alive:
            assert request.fatal is not None
            self.counts[request.fatal].ends.append(self._loop.time())
            self._crash(engine)

    def _crash(self, engine: _Engine) -> None:
        """End an engine with all that runs there; another takes its place later."""
        engine.alive = False
        self._ended.add(engine.endpoint.address)
        in_flight, engine.in_flight = engine.in_flight, {}
        for request, router in in_flight.items():
            router.quarantine.on_cut_off(request.context, engine.endpoint)
            if request.sends < request.context.route.attempts:
                self._loop.create_task(self._retry(request, router))
        self._loop.call_later(self._case.return_seconds, self._replace, engine)

    async def _retry(self, request: _Request, router: _Router) -> None:
        await router.quarantine.settle(request.context)
        self._send(request, router)

    def _replace(self, engine: _Engine) -> None:
        self._engines[self._engines.index(engine)] = self._make_engine()

    def _crash_half(self) -> None:
        for engine in self._engines[::2]:
            if engine.alive:
                self._crash(engine)

    def _crash_one(self) -> None:
        engine = self._rng.choice(self._engines)
        if engine.alive:
            self._crash(engine)

    def _restart_router(self) -> None:
        number = self._rng.randrange(len(self._routers))
        started = self._make_router()
        started.in_touch_at = self._loop.time() + CONTACT_SECONDS
        self._routers[number] = started
        self._loop.call_later(0.5, self._fetch, started)

    def _cut_off(self) -> None:
        router = self._rng.choice(self._routers)
        router.cut_off = True
        seconds = self._case.cut_off_seconds
        router.in_touch_at = self._loop.time() + seconds + CONTACT_SECONDS
        self._loop.call_later(seconds, self._connect, router)

    def _connect(self, router: _Router) -> None:
        router.cut_off = False

    def _fetch(self, router: _Router) -> None:
        others = [each for each in self._routers if each is not router]
        other = self._rng.choice(others)
        if not router.cut_off and not other.cut_off:
            router.quarantine.restore(other.quarantine.records.reports)

    def _reconcile(self) -> None:
        """Fetch what differs, as summaries in heartbeats tell it."""
        for router in self._routers:
            other = self._rng.choice(self._routers)
            own, theirs = router.quarantine.records, other.quarantine.records
            if own.summary != theirs.summary and not router.cut_off | other.cut_off:
                router.quarantine.restore(theirs.reports)

    def _flush_later(self, router: _Router) -> None:
        if not router.flushing:
            router.flushing = True
            delay = self._rng.uniform(0.0, TICK_SECONDS)
            self._loop.call_later(delay, self._flush, router)

    def _flush(self, router: _Router) -> None:
        router.flushing = False
        reports = router.quarantine.pop_reports(10_000)
        for other in self._routers:
            lost = sum(
                self._rng.random() < self._case.loss for _ in range(MAX_SEND_COUNT)
            )
            if other is router or router.cut_off or lost == MAX_SEND_COUNT:
                continue
            delay = 0.03 + TICK_SECONDS * lost
            self._loop.call_later(delay, self._deliver, other, reports)

    def _deliver(self, router: _Router, reports: list) -> None:
        if not router.cut_off:
            router.quarantine.merge(reports)


def run_case(case: CrashCase) -> list[CrashCounts]:
    """Run a case on a virtual clock; return the counts of each fatal segment."""

    async def run() -> list[CrashCounts]:
        return await _Model(case).run()

    def new_loop() -> asyncio.AbstractEventLoop:
        return new_event_loop(start=0, noop_cycles=0)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(run())


def main(argv: list[str]) -> int:
    """Run some cases and print those that broke a limit; return the exit code."""
    logger.remove()
    broken = 0
    for seed in range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.cases):
        case = CrashCase.draw(seed)
        for counts in run_case(case):
            if counts.kept:
                continue
            broken += 1
            print(
                f"late {counts.sent_late}, passed {counts.passed_fraction:.2f}, "
                f"ends {len(counts.ends)}: {case}",
                flush=True,
            )
    print(f"{FLAGS.cases} cases, {broken} segments beyond a limit")
    return 1 if broken else 0


if __name__ == "__main__":
    app.run(main)

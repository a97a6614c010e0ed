"""Model engines under the virtual clock, and the load that callers put on them.

An engine generates in batches: each step makes one token for every running request and
reads at most one chunk of a waiting prompt. Prompts are read in order of arrival. Parts
that are cached are not read again; the least recently used ones are evicted.
"""

import asyncio
import itertools
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from expression import Error, Result
from teaselledge_fleet.engines.settings import EngineSpeedSettings
from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.process.directory import PrefixDirectory
from teaselledge_fleet.process.endpoints import Endpoint, EndpointEntry, EndpointView
from teaselledge_fleet.process.placing import FleetPlacer
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.waiting import QueueWaitLimits
from teaselledge_fleet.process.work import name_hash
from teaselledge_fleet.queueing.settings import QueueSettings
from teaselledge_fleet.request.call import CallerRequest, Prompt, PromptSegment
from teaselledge_fleet.request.context import Outcome, Placement, RequestContext
from teaselledge_fleet.version.routes import (
    Organisation,
    RetryPolicy,
    RoutingConfiguration,
)
from tornado.httputil import HTTPHeaders

from teaselledge_standins.modelfleet import ModelFleet
from teaselledge_standins.modellink import ModelLink
from teaselledge_standins.routes import make_route
from teaselledge_standins.shareledger import ShareLedger

__all__ = [
    "EngineSpeed",
    "KindResult",
    "LoadResult",
    "OrganisationLoad",
    "PromptKind",
    "run_load",
]

SERVICE = "books"
MIN_IDLE_SECONDS = 0.001
LINK_LATENCY_SECONDS = 0.02
EVENT_BYTES = 300
"""Size of an event of a response with its framing."""

UNREAD_RETRY_SECONDS = 0.2
"""Retry-After of a router that refuses requests unread."""

RETRY_DEADLINE_FRACTION = 1 / 3
"""Part of the remaining time up to which callers wait as told before they retry."""


@dataclass(frozen=True)
class EngineSpeed:
    """Speed and size of an engine.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    cache_tokens : int
        Memory for running requests and cached parts.
    step_seconds : float
        Duration of a step without reading.
    context_seconds_per_token : float
        Addition to it for each token in the memory of running requests.
    read_seconds_per_token, read_seconds_per_pair : float
        Time to read a token, and for each token before it.
    chunk_tokens : int
        Tokens that are read in one step.
    event_tokens : int
        Tokens in an event.
    first_event_seconds : float
        Constant part of the time to the first event.
    copy_setup_seconds, copy_seconds_per_token : float
        Time to copy a part from another engine.
    """

    slots: int = 48
    cache_tokens: int = 444_000
    step_seconds: float = 3.29e-3
    context_seconds_per_token: float = 2.62e-8
    read_seconds_per_token: float = 1 / 93_000
    read_seconds_per_pair: float = 4.42e-10
    chunk_tokens: int = 4096
    event_tokens: int = 7
    first_event_seconds: float = 0.08
    copy_setup_seconds: float = 0.0025
    copy_seconds_per_token: float = 1.42e-6

    def scale(self, factor: float) -> "EngineSpeed":
        """Return the speed of an engine that reads and generates faster by a factor."""
        return replace(
            self,
            step_seconds=self.step_seconds / factor,
            context_seconds_per_token=self.context_seconds_per_token / factor,
            read_seconds_per_token=self.read_seconds_per_token / factor,
            read_seconds_per_pair=self.read_seconds_per_pair / factor,
        )


@dataclass(frozen=True)
class PromptKind:
    """A kind of request.

    Attributes
    ----------
    name : str
        Name of the kind.
    per_second : float
        Mean number of requests a second.
    prefix_count : int
        Number of different shared prefixes.
    prefix_tokens, suffix_tokens, output_tokens : float
        Mean sizes.
    suffix_spread, output_spread : float
        Standard deviation of their logarithms.
    objective, deadline : float
        Latency objective of the first event, and the callers' deadline, in seconds.
    worth, late_worth : float
        Worth of a mean response in time, and later.
    """

    name: str
    per_second: float
    prefix_count: int
    prefix_tokens: float
    suffix_tokens: float
    output_tokens: float
    suffix_spread: float
    output_spread: float
    objective: float
    deadline: float
    worth: float
    late_worth: float


@dataclass(frozen=True)
class OrganisationLoad:
    """What one organisation asks for.

    Attributes
    ----------
    name : str
        Name of the organisation.
    per_second : float
        Mean number of requests a second.
    kinds : mapping of str to float
        Weight of each kind of request by its name; those of the load if empty.
    begin, end : float
        Time in which it sends requests, in seconds.
    unread_fraction : float
        Fraction of its requests that a router without time refuses unread.
    routers : sequence of int
        Routers to which its callers connect.
    """

    name: str
    per_second: float
    kinds: Mapping[str, float] = field(default_factory=dict)
    begin: float = 0.0
    end: float = float("inf")
    unread_fraction: float = 0.0
    routers: Sequence[int] = (0,)


@dataclass
class KindResult:
    """What the callers of one kind of request got."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    earned: float = 0.0
    owed: float = 0.0

    @property
    def credit(self) -> float:
        """Worth of the responses, as a fraction of the worth of all requests."""
        return self.earned / self.owed if self.owed else 1.0


@dataclass
class LoadResult:
    """What callers got, and what engines read and copied."""

    kinds: dict[str, KindResult] = field(default_factory=dict)
    counters: Counter[str] = field(default_factory=Counter)
    shares: ShareLedger = field(default_factory=ShareLedger)
    slowdowns: list[tuple[float, ...]] = field(default_factory=list)
    """Estimated slowdown of the engines at each router, in each second."""
    factors: list[tuple[dict[str, float], ...]] = field(default_factory=list)
    """Factors of the prefill time by engine at each router, in each second."""
    engine_use: list[dict[str, tuple[float, int]]] = field(default_factory=list)
    """Seconds in which each engine had prompts to read or no free slot, and tokens that
    it has read, after each second."""
    refusals: Counter[int] = field(default_factory=Counter)
    """Refused attempts in each second."""

    @property
    def credit(self) -> float:
        """The same fraction over all kinds."""
        owed = sum(kind.owed for kind in self.kinds.values())
        return sum(kind.earned for kind in self.kinds.values()) / owed


@dataclass
class _Job:
    """A request at an engine."""

    prefix: str
    prefix_tokens: int
    suffix_tokens: int
    output_tokens: int
    source: "_Engine | None"
    events: "asyncio.Queue[bool]"
    unread: int = -1
    generated: int = 0

    @property
    def context_tokens(self) -> int:
        return self.prefix_tokens + self.suffix_tokens + self.generated

    @property
    def total_tokens(self) -> int:
        """Tokens of the prompt, and twice those of the response."""
        return self.prefix_tokens + self.suffix_tokens + 2 * self.output_tokens


class _Engine:
    """Runs requests in steps."""

    def __init__(self, name: str, speed: EngineSpeed, counters: Counter[str]) -> None:
        self.name = name
        self._speed = speed
        self._counters = counters
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._waiting: deque[_Job] = deque()
        self._running: list[_Job] = []
        self._wake = asyncio.Event()
        self.busy_seconds = 0.0
        self.read_tokens = 0

    def submit(self, job: _Job) -> None:
        """Queue a request."""
        self._waiting.append(job)
        self._wake.set()

    def holds(self, prefix: str) -> bool:
        """Whether a prefix is cached."""
        return prefix in self._cached

    async def run(self) -> None:
        """Make steps while there are requests."""
        while True:
            if not self._waiting and not self._running:
                self._wake.clear()
                await self._wake.wait()
            await asyncio.sleep(self._step())

    def _step(self) -> float:
        speed = self._speed
        seconds = speed.step_seconds
        seconds += speed.context_seconds_per_token * sum(
            job.context_tokens for job in self._running
        )
        has_prompts = bool(self._waiting)
        reading = self._read_chunk()
        seconds += reading
        if has_prompts:
            self.busy_seconds += seconds
        if reading:
            self._counters["reading us"] += int(seconds * 1e6)
        for job in self._running:
            job.generated += 1
            whole = job.generated >= job.output_tokens
            if whole or job.generated % speed.event_tokens == 1:
                job.events.put_nowait(whole)
        for job in self._running:
            if job.generated >= job.output_tokens:
                self._store(job.prefix, job.prefix_tokens)
        self._running = [
            job for job in self._running if job.generated < job.output_tokens
        ]
        return max(MIN_IDLE_SECONDS, seconds)

    def _read_chunk(self) -> float:
        """Read a chunk of the waiting prompts in order; return the time it takes."""
        seconds, left = 0.0, self._speed.chunk_tokens
        while self._waiting and left and len(self._running) < self._speed.slots:
            job = self._waiting[0]
            if job.unread < 0:
                seconds += self._find_prefix(job)
            count = min(job.unread, left)
            seconds += self._read(job, count)
            left -= count
            if not job.unread:
                self._waiting.popleft()
                self._running.append(job)
                self._store(job.prefix, job.prefix_tokens)
        return seconds

    def _read(self, job: _Job, count: int) -> float:
        speed = self._speed
        before = job.prefix_tokens + job.suffix_tokens - job.unread
        self._counters["read"] += count
        self.read_tokens += count
        job.unread -= count
        return count * (
            speed.read_seconds_per_token
            + (before + count / 2) * speed.read_seconds_per_pair
        )

    def _find_prefix(self, job: _Job) -> float:
        """Set what must be read of a prompt; return the time of a copy."""
        job.unread = job.suffix_tokens
        if self.holds(job.prefix):
            self._counters["kept"] += job.prefix_tokens
            return 0.0
        if job.source is not None and job.source.holds(job.prefix):
            self._counters["moved"] += job.prefix_tokens
            speed = self._speed
            return (
                speed.copy_setup_seconds
                + job.prefix_tokens * speed.copy_seconds_per_token
            )
        self._counters["prefixes read"] += job.prefix_tokens
        job.unread += job.prefix_tokens
        return 0.0

    def _store(self, prefix: str, tokens: int) -> None:
        """Cache a prefix; the own tokens of requests take memory like the oldest."""
        self._cached[prefix] = tokens
        self._cached.move_to_end(prefix)
        used = sum(self._cached.values())
        used += sum(job.suffix_tokens + job.generated for job in self._running)
        while used > self._speed.cache_tokens and len(self._cached) > 1:
            _, freed = self._cached.popitem(last=False)
            used -= freed


class _DirectoryLocator:
    """The fleet's prefix directory, without messages."""

    def __init__(self) -> None:
        self._directory = PrefixDirectory()

    async def locate(self, prefix: str, first_choice: Endpoint) -> list[int] | None:
        return self._directory.find_or_claim(
            name_hash(prefix), name_hash(first_choice.id)
        )

    def report_use(
        self, prefix: str, first_choice: Endpoint, endpoint: Endpoint
    ) -> None:
        self._directory.record_use(name_hash(prefix), name_hash(endpoint.id))


class _Load:
    """Callers, the routers' placers, and engines."""

    def __init__(
        self,
        engines: Mapping[str, str],
        zones: Mapping[str, str],
        kinds: Sequence[PromptKind],
        speed: EngineSpeed,
        rng: random.Random,
        tokens_per_second: float,
        wait_limits: QueueWaitLimits | None,
        router_count: int,
        link_bytes_per_second: float,
        speed_factors: Mapping[str, float],
        engine_speeds: EngineSpeedSettings | None,
        queueing: QueueSettings | None,
    ) -> None:
        self.result = LoadResult({kind.name: KindResult() for kind in kinds})
        self._began = asyncio.get_running_loop().time()
        self._rng = rng
        self._speed = speed
        view = EndpointView()
        endpoints = [
            Endpoint(name, SERVICE, name, zone, speed.slots)
            for name, zone in engines.items()
        ]
        view.merge(EndpointEntry(e.id, Revision(0, 1), e) for e in endpoints)
        self.engines = {
            name: _Engine(
                name, speed.scale(speed_factors.get(name, 1.0)), self.result.counters
            )
            for name in engines
        }
        router_zones = list(itertools.islice(itertools.cycle(zones), router_count))
        self._placers = [
            FleetPlacer(view, zone, zones, engine_speeds=engine_speeds)
            for zone in router_zones
        ]
        for placer in self._placers:
            placer.retain_endpoints()
        self._fleet = None
        if router_count > 1:
            regions = [zones[zone] for zone in router_zones]
            links = {
                region: ModelLink(link_bytes_per_second, LINK_LATENCY_SECONDS)
                for region in regions
                if link_bytes_per_second
            }
            self._fleet = ModelFleet(
                self._placers, regions, endpoints, zones, links, queueing
            )
        locator = _DirectoryLocator()
        self._routes = {
            kind.name: make_route(
                RetryPolicy.NEVER,
                name=kind.name,
                stream=True,
                carries_prompt=True,
                latency_objective=kind.objective,
                event_gap_objective=0.5,
                timeout=kind.deadline,
            )
            for kind in kinds
        }
        routing = RoutingConfiguration(1, tuple(self._routes.values()), {}, ())
        for placer in self._placers:
            if wait_limits is not None:
                placer.set_wait_limits(wait_limits)
            placer.set_locator(locator)
            placer.apply_routing(routing)
            placer.shares.set_guaranteed_rate(tokens_per_second)

    def run(self) -> list[asyncio.Task[None]]:
        """Start the engines and the exchange between the routers."""
        tasks = [asyncio.create_task(engine.run()) for engine in self.engines.values()]
        tasks.append(asyncio.create_task(self._record_slowdowns()))
        if self._fleet is not None:
            tasks.append(asyncio.create_task(self._fleet.run()))
        return tasks

    async def _record_slowdowns(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.result.slowdowns.append(
                tuple(placer.prefill.slowdown(SERVICE) for placer in self._placers)
            )
            self.result.factors.append(
                tuple(
                    dict(placer.engine_speeds.factors(SERVICE) or {})
                    if placer.engine_speeds is not None
                    else {}
                    for placer in self._placers
                )
            )
            self.result.engine_use.append(
                {
                    name: (engine.busy_seconds, engine.read_tokens)
                    for name, engine in self.engines.items()
                }
            )

    async def request(
        self, kind: PromptKind, number: int, owner: OrganisationLoad | None = None
    ) -> None:
        """Send one caller's request, again once if it is refused.

        Without an owner, the organisation is drawn; some have many more requests.
        """
        rng, result = self._rng, self.result.kinds[kind.name]
        prefix = f"{kind.name}{rng.randrange(kind.prefix_count)}"
        sizes = random.Random(prefix)
        job = _Job(
            prefix,
            _draw(sizes, kind.prefix_tokens, 0.7),
            _draw(rng, kind.suffix_tokens, kind.suffix_spread),
            _draw(rng, kind.output_tokens, kind.output_spread),
            None,
            asyncio.Queue(),
        )
        size = job.prefix_tokens + job.suffix_tokens + 10 * job.output_tokens
        mean = kind.prefix_tokens + kind.suffix_tokens + 10 * kind.output_tokens
        weight = min(4.0, 0.3 + 0.7 * size / mean)
        result.owed += kind.worth * weight
        name = owner.name if owner else f"o{min(29, int(rng.expovariate(0.15)))}"
        unread_fraction = owner.unread_fraction if owner else 0.0
        organisation = Organisation(name, ())
        router = self._choose_router(owner)
        placer = self._placers[router]
        shares = self.result.shares
        started = asyncio.get_running_loop().time()
        for attempt in range(2):
            arrived = self._elapsed()
            context = self._make_context(kind, job, number, attempt, organisation)
            placer.record_demand(context.request, organisation)
            shares.record_request(name, arrived, job.total_tokens)
            placed: Result[Placement, Fault]
            if unread_fraction and rng.random() < unread_fraction:
                placed = Error(Fault(FaultKind.ROUTER_BUSY, UNREAD_RETRY_SECONDS))
            else:
                placed = await placer.place(context)
            if placed.is_error():
                shares.record_wait(name, arrived)
                self.result.refusals[int(arrived)] += 1
                delay = placed.error.retry_after or 0.0
                left = started + kind.deadline - context.arrived_at
                if attempt or delay > left * RETRY_DEADLINE_FRACTION:
                    break
                await asyncio.sleep(delay)
                continue
            in_time = await self._run(router, context, placed.ok, job, started)
            result.in_time += in_time
            result.late += not in_time
            result.earned += (kind.worth if in_time else kind.late_worth) * weight
            return
        result.refused += 1

    def _elapsed(self) -> float:
        """Return the seconds since the load began; the loop may have run before."""
        return asyncio.get_running_loop().time() - self._began

    def _choose_router(self, owner: OrganisationLoad | None) -> int:
        if owner is None:
            return 0
        if len(owner.routers) == 1:
            return owner.routers[0]
        return self._rng.choice(owner.routers)

    async def _run(
        self,
        router: int,
        context: RequestContext,
        placement: Placement,
        job: _Job,
        started: float,
    ) -> bool:
        """Run a request at its engine; return whether it was in time."""
        loop = asyncio.get_running_loop()
        endpoint = placement.endpoint
        placer = self._placers[router]
        if self._fleet is not None:
            await self._fleet.send_body(router, endpoint, len(context.body))
        job.source = self.engines.get(placement.fetch_from or "")
        self.engines[endpoint.id].submit(job)
        whole = await job.events.get()
        shares, owner = self.result.shares, context.organisation_name
        shares.record_start(owner, self._elapsed(), job.total_tokens)
        await asyncio.sleep(self._speed.first_event_seconds)
        if self._fleet is not None:
            await self._fleet.send_event(router, endpoint, EVENT_BYTES)
        last = context.first_event_at = loop.time()
        placer.on_response_started(context, endpoint)
        in_time = last - started <= context.route.latency_objective
        if not in_time:
            shares.record_wait(owner, started - self._began)
        while not whole:
            whole = await job.events.get()
            if self._fleet is not None:
                await self._fleet.send_event(router, endpoint, EVENT_BYTES)
            in_time = in_time and (
                loop.time() - last <= context.route.event_gap_objective
            )
            last = loop.time()
        placer.on_attempt_ended(context, endpoint, Outcome.WHOLE)
        return in_time

    def _make_context(
        self,
        kind: PromptKind,
        job: _Job,
        number: int,
        attempt: int,
        organisation: Organisation,
    ) -> RequestContext:
        segments = (
            PromptSegment(job.prefix, job.prefix_tokens),
            PromptSegment(f"own{number}", job.suffix_tokens),
        )
        tokens = job.prefix_tokens + job.suffix_tokens
        prompt = Prompt(tokens, 2 * job.output_tokens, segments, job.output_tokens)
        call = CallerRequest(
            f"q{number}.{attempt}", "POST", "/r/1", "h", HTTPHeaders(), prompt=prompt
        )
        now = asyncio.get_running_loop().time()
        route = self._routes[kind.name]
        return RequestContext(
            call, b"x" * tokens, route, SERVICE, organisation, now, now + kind.deadline
        )


def _draw(rng: random.Random, mean: float, spread: float) -> int:
    """Return a number from a log-normal distribution with a mean."""
    return max(1, int(rng.lognormvariate(0.0, spread) * mean / _growth(spread)))


def _growth(spread: float) -> float:
    """Return the mean of the log-normal distribution with a median of 1."""
    return 2.718281828 ** (spread * spread / 2)


async def run_load(
    engines: Mapping[str, str],
    zones: Mapping[str, str],
    kinds: Sequence[PromptKind],
    seconds: float,
    seed: int,
    speed: EngineSpeed | None = None,
    tokens_per_second: float = 0.0,
    wait_limits: QueueWaitLimits | None = None,
    organisations: Sequence[OrganisationLoad] = (),
    router_count: int = 1,
    link_bytes_per_second: float = 0.0,
    speed_factors: Mapping[str, float] | None = None,
    engine_speeds: EngineSpeedSettings | None = None,
    queueing: QueueSettings | None = None,
) -> LoadResult:
    """Play a load on engines behind the placers of some routers.

    Parameters
    ----------
    engines, zones : mapping of str to str
        Zone of each engine, and region of each zone. The routers are in these zones in
        turn.
    kinds : sequence of PromptKind
        The load.
    seconds : float
        Time during which requests arrive.
    seed : int
        Seed of all random numbers.
    speed : EngineSpeed, optional
        Speed of the engines.
    tokens_per_second : float
        Rate that is guaranteed to all organisations together; 0 for none.
    wait_limits : QueueWaitLimits, optional
        Limits of the queueing time that replace the usual ones.
    organisations : sequence of OrganisationLoad
        Requests of each organisation. They replace the rates of the kinds.
    router_count : int
        Number of routers; one alone has no coordinators.
    link_bytes_per_second : float
        Rate of the link between regions, each way; 0 if regions are near.
    speed_factors : mapping of str to float, optional
        Factors by which some engines are faster than `speed`.
    engine_speeds : EngineSpeedSettings, optional
        When the routers use the speeds of single engines; None if they don't.
    queueing : QueueSettings, optional
        Settings of the queues in front of the engines; without them no request waits.
        A router alone has none.
    """
    random.seed(seed)
    rng = random.Random(seed)
    load = _Load(
        engines,
        zones,
        kinds,
        speed or EngineSpeed(),
        rng,
        tokens_per_second,
        wait_limits,
        router_count,
        link_bytes_per_second,
        speed_factors or {},
        engine_speeds,
        queueing,
    )
    tasks = load.run()
    async with asyncio.TaskGroup() as callers:
        arrivals = (
            _organisation_arrivals(organisations, kinds, seconds, rng)
            if organisations
            else _arrivals(kinds, seconds, rng)
        )
        for number, (delay, kind, owner) in enumerate(arrivals):
            await asyncio.sleep(delay)
            callers.create_task(load.request(kind, number, owner))
    for task in tasks:
        task.cancel()
    return load.result


def _arrivals(
    kinds: Sequence[PromptKind], seconds: float, rng: random.Random
) -> Iterable[tuple[float, PromptKind, None]]:
    """Return the kind of each request and the time since the one before."""
    rate = sum(kind.per_second for kind in kinds)
    elapsed = 0.0
    while elapsed < seconds:
        delay = rng.expovariate(rate)
        elapsed += delay
        yield delay, rng.choices(kinds, [kind.per_second for kind in kinds])[0], None


def _organisation_arrivals(
    organisations: Sequence[OrganisationLoad],
    kinds: Sequence[PromptKind],
    seconds: float,
    rng: random.Random,
) -> Iterable[tuple[float, PromptKind, OrganisationLoad]]:
    """Return the requests of all organisations in order of time."""
    arrivals = []
    for organisation in organisations:
        weights = [
            organisation.kinds.get(kind.name, 0.0)
            if organisation.kinds
            else kind.per_second
            for kind in kinds
        ]
        at = organisation.begin
        while (at := at + rng.expovariate(organisation.per_second)) < min(
            seconds, organisation.end
        ):
            kind = rng.choices(kinds, weights)[0]
            arrivals.append((at, kind, organisation))
    last = 0.0
    for at, kind, organisation in sorted(arrivals, key=lambda arrival: arrival[0]):
        yield at - last, kind, organisation
        last = at

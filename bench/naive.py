"""Baseline policies with one queue for all requests and no delays.

The fleet is compared with them. They serve the same sources with the same model of
endpoints as the fleet, in a discrete-event simulation.
"""

import heapq
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial

from teaselledge_standins.virtual.endpoint import CHUNKS
from teaselledge_standins.virtual.fleet import VirtualPlan

from bench.measure import Ground, Job
from bench.trace import Source

__all__ = [
    "POLICIES",
    "EndpointEvent",
    "NaiveFleet",
    "Policy",
    "Simulation",
    "SimulatedEndpoint",
    "PolicyNotFoundError",
    "get_policy_by_name",
    "simulate",
]

SLOTS_PER_EXTRA_SLOT = 8
"""One slot in eight is reserved for interactive requests, or added for them."""

RESUME_SECONDS = 0.2
"""Prefill time of an engine before it resumes a cancelled stream."""


@dataclass(frozen=True)
class EndpointEvent:
    """A change of an endpoint.

    Attributes
    ----------
    at : float
        Seconds after the start.
    slow : float
        Factor on all later durations.
    leaving : bool
        Whether the endpoint accepts no new requests.
    """

    at: float
    endpoint: str
    slow: float = 1.0
    leaving: bool = False


@dataclass
class SimulatedEndpoint:
    """State of an endpoint.

    Attributes
    ----------
    running : int
        Number of running requests.
    held : int
        Slots in use according to the policy, which may lag behind.
    """

    name: str
    zone: str
    region: str
    slots: int
    unit_seconds: float
    slowdown: float
    running: int = 0
    held: int = 0
    slow: float = 1.0
    leaving: bool = False


@dataclass
class NaiveFleet:
    """Queues and service by organisation, from which a policy chooses."""

    shares: Mapping[str, float]
    hints: Mapping[str, float]
    interactive: frozenset[str]
    queues: dict[str, tuple[deque[Job], deque[Job]]] = field(default_factory=dict)
    served: dict[str, float] = field(default_factory=dict)
    order: deque[str] = field(default_factory=deque)

    def waiting(self) -> list[str]:
        """Return the organisations with waiting requests."""
        return [name for name, (a, b) in self.queues.items() if a or b]


Policy = Callable[[NaiveFleet], str | None]
"""Chooses the organisation whose next request starts, None for none."""


def least_served(fleet: NaiveFleet) -> str | None:
    """Choose the organisation with the least normalised service."""
    return min(fleet.waiting(), key=lambda n: (fleet.served[n], n), default=None)


def first_come(fleet: NaiveFleet) -> str | None:
    """Choose the organisation with the oldest request, regardless of fairness."""

    def oldest(name: str) -> float:
        return min(queue[0].issued for queue in fleet.queues[name] if queue)

    return min(fleet.waiting(), key=oldest, default=None)


POLICIES: dict[str, Policy] = {
    "least-served": least_served,
    "first-come": first_come,
}


class PolicyNotFoundError(LookupError):
    """No policy has the given name."""


def get_policy_by_name(name: str) -> Policy:
    """Return the policy with a name.

    Raises
    ------
    PolicyNotFoundError
        If no policy has that name.
    """
    found = POLICIES.get(name)
    if found is None:
        raise PolicyNotFoundError(name)
    return found


class Simulation:
    """A discrete-event simulation; subclasses add delays and other queues."""

    def __init__(
        self,
        plan: VirtualPlan,
        sources: Sequence[Source],
        horizon: float,
        policy: Policy,
        events: Sequence[EndpointEvent],
        latency: str = "plain",
    ) -> None:
        self.plan = plan
        self.latency = latency
        self.above: set[str] = set()
        self.attempts: dict[str, int] = {}
        self.done: dict[str, int] = {}
        self.at_endpoint: dict[str, SimulatedEndpoint] = {}
        self.horizon = horizon
        self.policy = policy
        self.service_name = next(iter(plan.services))
        service = plan.services[self.service_name]
        self.tokens = service.cost == "tokens"
        hints = {kind: float(e["cost_hint"]) for kind, e in service.kinds.items()}
        interactive = {k for k, e in service.kinds.items() if e.get("interactive")}
        self.fleet = NaiveFleet(plan.shares, hints, frozenset(interactive))
        self.endpoints = {
            f"{self.service_name}-{i}": SimulatedEndpoint(
                f"{self.service_name}-{i}",
                zone,
                plan.network.regions[zone],
                service.slots,
                service.unit_seconds,
                service.slowdown,
            )
            for i, zone in enumerate(service.zones)
        }
        self.jobs: list[Job] = []
        self.progress: list[tuple[float, str, float]] = []
        self.now = 0.0
        self._again: dict[str, Callable[[], None] | None] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        for event in events:
            self.at(event.at, partial(self._change, event))
        for index, source in enumerate(sources):
            self._prepare(index, source)

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._count += 1
        heapq.heappush(self._heap, (time, self._count, action))

    def run(self) -> None:
        """Run until the horizon."""
        while self._heap and self._heap[0][0] < self.horizon:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def ground(self, warm: float) -> Ground:
        """Return the requests and their runs."""
        regions = dict(self.plan.network.regions)
        regions.update({n: e.region for n, e in self.endpoints.items()})
        return Ground(
            self.jobs,
            self.progress,
            self.plan.shares,
            {n: e.slots for n, e in self.endpoints.items()},
            regions,
            warm,
            self.horizon,
        )

    def _prepare(self, index: int, source: Source) -> None:
        costs = source.costs()
        numbers = iter(range(1 << 30))

        def issue(again: Callable[[], None] | None) -> None:
            name = f"{index}-{next(numbers)}"
            self._issue(source, name, next(costs), again)

        for time in source.arrivals(self.horizon):
            self.at(time, lambda: issue(None))

        def until(end: float) -> Callable[[], None]:
            def again() -> None:
                if self.now < end:
                    issue(again)

            return again

        for start, end in source.windows(self.horizon):
            for _ in range(source.outstanding):
                self.at(start, until(end))

    def _issue(
        self,
        source: Source,
        name: str,
        cost: float,
        again: Callable[[], None] | None,
    ) -> None:
        zone = self.plan.routers[source.router]
        job = Job(name, source.organisation, source.kind, zone, cost, self.now)
        job.router = source.router
        fleet = self.fleet_of(job)
        self.jobs.append(job)
        who = source.organisation
        lowest = [fleet.served[n] for n in fleet.waiting()]
        if who not in fleet.waiting():
            # no credit for the time without requests
            floor = min(lowest, default=0.0)
            fleet.served[who] = max(fleet.served.get(who, 0.0), floor)
        queues = fleet.queues.setdefault(who, (deque(), deque()))
        queues[0 if source.kind in fleet.interactive else 1].append(job)
        self._again[job.name] = again
        self._dispatch()

    def _dispatch(self) -> None:
        while True:
            free = [
                e for e in self.endpoints.values() if e.held < e.slots and not e.leaving
            ]
            if not free:
                break
            room = sum(e.slots - e.held for e in free)
            if self.latency == "reserve" and room <= self._extra:
                if not self._start_interactive(free):
                    return
                continue
            who = self.policy(self.fleet)
            if who is None:
                return
            first, second = self.fleet.queues[who]
            self._start((first or second).popleft(), free)
        staying = [e for e in self.endpoints.values() if not e.leaving]
        if self.latency == "burst":
            while len(self.above) < self._extra:
                job = self._start_interactive(staying)
                if job is None:
                    return
                self.above.add(job.name)
        if self.latency == "preempt" and self._interactive():
            self._preempt()

    @property
    def _extra(self) -> int:
        return sum(e.slots for e in self.endpoints.values()) // SLOTS_PER_EXTRA_SLOT

    def _interactive(self) -> list[str]:
        return [name for name, (first, _) in self.fleet.queues.items() if first]

    def _start_interactive(self, among: list[SimulatedEndpoint]) -> Job | None:
        served = self.fleet.served
        who = min(self._interactive(), key=lambda n: (served[n], n), default=None)
        if who is None:
            return None
        job = self.fleet.queues[who][0].popleft()
        self._start(job, among)
        return job

    def _preempt(self) -> None:
        """Cancel a long stream and start an interactive request in its slot.

        The stream is the latest one of the organisation with the most service.
        """
        jobs = {job.name: job for job in self.jobs if job.name in self.at_endpoint}
        long = [j for j in jobs.values() if j.kind not in self.fleet.interactive]
        if not long:
            return
        served = self.fleet.served
        victim = max(long, key=lambda j: (served[j.organisation], j.runs[-1][1]))
        endpoint = self.at_endpoint.pop(victim.name)
        endpoint.running -= 1
        endpoint.held -= 1
        self.attempts[victim.name] += 1
        victim.runs[-1] = (*victim.runs[-1][:2], self.now)
        self.fleet.queues[victim.organisation][1].appendleft(victim)
        hint = self.fleet.hints[victim.kind]
        share = self.fleet.shares[victim.organisation]
        self.fleet.served[victim.organisation] -= hint / share
        self._start_interactive([endpoint])

    def _start(self, job: Job, among: list[SimulatedEndpoint]) -> None:
        region = self.plan.network.regions[job.zone]
        endpoint = max(
            among, key=lambda e: (e.region == region, e.slots - e.held, e.name)
        )
        self.start_on(job, endpoint)

    def start_on(self, job: Job, endpoint: SimulatedEndpoint) -> None:
        """Take a slot and begin the request, after `start_delay`."""
        fleet = self.fleet_of(job)
        share = fleet.shares[job.organisation]
        fleet.served[job.organisation] += fleet.hints[job.kind] / share
        endpoint.held += 1
        delay = self.start_delay(job, endpoint)
        if delay:
            self.at(self.now + delay, partial(self._begin, job, endpoint))
            return
        self._begin(job, endpoint)

    def fleet_of(self, job: Job) -> NaiveFleet:
        """Return the queues that a request waits in."""
        return self.fleet

    def start_delay(self, job: Job, endpoint: SimulatedEndpoint) -> float:
        """Return the seconds from a decision to the start."""
        return 0.0

    def end_delay(self, job: Job, endpoint: SimulatedEndpoint) -> float:
        """Return the seconds from an end until the policy sees the slot as free."""
        return 0.0

    def _begin(self, job: Job, endpoint: SimulatedEndpoint) -> None:
        endpoint.running += 1
        job.runs.append((endpoint.name, self.now, float("inf")))
        self.at_endpoint[job.name] = endpoint
        attempt = self.attempts.setdefault(job.name, 0)
        done = self.done.get(job.name, 0)
        if attempt:
            resumed = partial(self._part, job, endpoint, done, attempt)
            self.at(self.now + RESUME_SECONDS, resumed)
            return
        self._part(job, endpoint, done, attempt)

    def _part(
        self, job: Job, endpoint: SimulatedEndpoint, done: int, attempt: int
    ) -> None:
        if self.attempts[job.name] != attempt:
            return
        factor = 1 + endpoint.slowdown * (endpoint.running - 1)
        seconds = job.cost / CHUNKS * endpoint.unit_seconds * factor * endpoint.slow
        spent = job.cost / CHUNKS if self.tokens else seconds

        def finish() -> None:
            if self.attempts[job.name] != attempt:
                return
            self.progress.append((self.now, job.organisation, spent))
            self.done[job.name] = done + 1
            if done + 1 < CHUNKS:
                self._part(job, endpoint, done + 1, attempt)
            else:
                self._end(job, endpoint)

        self.at(self.now + seconds, finish)

    def _end(self, job: Job, endpoint: SimulatedEndpoint) -> None:
        endpoint.running -= 1
        del self.at_endpoint[job.name]
        self.above.discard(job.name)
        started = job.runs[-1][1]
        job.runs[-1] = (endpoint.name, started, self.now)
        job.ended = self.now
        cost = job.cost if self.tokens else self.now - started
        again = self._again.pop(job.name)
        # the caller sends its next request before the slot is reassigned
        if again is not None:
            again()
        delay = self.end_delay(job, endpoint)
        if delay:
            self.at(self.now + delay, partial(self._settle, job, endpoint, cost))
            return
        self._settle(job, endpoint, cost)

    def _settle(self, job: Job, endpoint: SimulatedEndpoint, cost: float) -> None:
        fleet = self.fleet_of(job)
        share = fleet.shares[job.organisation]
        fleet.served[job.organisation] += (cost - fleet.hints[job.kind]) / share
        endpoint.held -= 1
        self._dispatch()

    def _change(self, event: EndpointEvent) -> None:
        endpoint = self.endpoints[event.endpoint]
        endpoint.slow = event.slow
        endpoint.leaving = event.leaving
        self._dispatch()


def simulate(
    plan: VirtualPlan,
    sources: Sequence[Source],
    horizon: float,
    policy: Policy = least_served,
    events: Sequence[EndpointEvent] = (),
    warm: float = 0.0,
    latency: str = "plain",
) -> Ground:
    """Simulate sources under a policy with complete and immediate information.

    Parameters
    ----------
    horizon : float
        Seconds to simulate.
    events : sequence of EndpointEvent
        Changes of the endpoints.
    warm : float
        Seconds before the measured window begins.
    latency : str
        How interactive requests get slots: ``plain``, ``reserve``, ``burst`` or
        ``preempt``.
    """
    simulation = Simulation(plan, sources, horizon, policy, events, latency)
    simulation.run()
    return simulation.ground(warm)

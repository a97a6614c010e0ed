"""Run the sources of a load against a virtual fleet and collect the results."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import looptime
from teaselledge.errors import Ran
from teaselledge_standins.virtual.fleet import (
    CallResult,
    VirtualFleet,
    VirtualPlan,
    running_virtual_fleet,
)

from bench.measure import Ground, Job
from bench.trace import Source

__all__ = ["Script", "Traffic", "Trial", "run_trial"]

RETRY_SECONDS = 0.2
PADDING_BYTES = 1000

Script = Callable[[VirtualFleet], Awaitable[None]]
"""Injects faults; starts together with the sources."""


@dataclass
class Traffic:
    """Bytes of control traffic in the measured window."""

    node_bytes: dict[str, int] = field(default_factory=dict)
    link_bytes: dict[tuple[str, str], int] = field(default_factory=dict)


@dataclass
class Trial:
    """Result of one run of the fleet.

    Attributes
    ----------
    ground : Ground
        Requests and runs, with times in seconds since the start of the sources.
    traffic : Traffic
        Control traffic.
    calls, right, refused, broken : int
        All calls that ended, and those with a complete and correct response, with a
        refusal, and with a visible abort or the death of their router.
    lies : list of str
        Calls with a false outcome: a wrong response marked as complete, or "not run"
        for a request that ran.
    refusals : dict of str to int
        Refusals by kind.
    wall_seconds : float
        Real time that the run took.
    """

    ground: Ground
    traffic: Traffic
    calls: int = 0
    right: int = 0
    refused: int = 0
    broken: int = 0
    lies: list[str] = field(default_factory=list)
    refusals: dict[str, int] = field(default_factory=dict)
    wall_seconds: float = 0.0


class _Driver:
    def __init__(self, fleet: VirtualFleet, horizon: float, warm: float) -> None:
        self._fleet = fleet
        self._warm = warm
        self._horizon = horizon
        self._service = next(iter(fleet.plan.services))
        self._loop = asyncio.get_running_loop()
        self._started = self._loop.time()
        self._routers = list(fleet.plan.routers)
        self._late: list[asyncio.Future[Any]] = []
        self.jobs: dict[str, Job] = {}
        self.trial_calls: list[tuple[str, CallResult | None]] = []

    @property
    def now(self) -> float:
        return self._loop.time() - self._started

    async def drive(self, index: int, source: Source) -> None:
        costs = source.costs()
        numbers = iter(range(1 << 30))
        if source.rate:
            await self._open(index, source, costs, numbers)
            return
        for start, end in source.windows(self._horizon):
            await asyncio.sleep(max(0.0, start - self.now))
            workers = [
                self._work(index, source, costs, numbers, end)
                for _ in range(source.outstanding)
            ]
            pending = [asyncio.ensure_future(worker) for worker in workers]
            try:
                await asyncio.sleep(max(0.0, end - self.now))
            except asyncio.CancelledError:
                for task in pending:
                    task.cancel()
                raise
            self._late.extend(pending)

    def cancel(self) -> None:
        for task in self._late:
            task.cancel()

    async def _open(
        self,
        index: int,
        source: Source,
        costs: Iterator[float],
        numbers: Iterator[int],
    ) -> None:
        for moment in source.arrivals(self._horizon):
            await asyncio.sleep(max(0.0, moment - self.now))
            call = self._call(f"{index}-{next(numbers)}", source, next(costs))
            self._late.append(asyncio.ensure_future(call))

    async def _work(
        self,
        index: int,
        source: Source,
        costs: Iterator[float],
        numbers: Iterator[int],
        end: float,
    ) -> None:
        while self.now < end:
            name = f"{index}-{next(numbers)}"
            if not await self._call(name, source, next(costs)):
                await asyncio.sleep(RETRY_SECONDS)

    async def _call(self, name: str, source: Source, cost: float) -> bool:
        zone = self._fleet.plan.routers[source.router]
        job = Job(name, source.organisation, source.kind, zone, cost, self.now)
        self.jobs[name] = job
        vm = self._router_alive(source.router)
        outcome: CallResult | None = None
        with suppress(ConnectionError):
            outcome = await self._fleet.call(
                vm,
                source.organisation,
                self._service,
                source.kind,
                name,
                cost,
                padding=PADDING_BYTES,
            )
        job.ended = self.now
        self.trial_calls.append((name, outcome))
        return outcome is not None and outcome.is_correct

    def _router_alive(self, router: str) -> str:
        # callers use the same router until it is gone
        if router in self._fleet.nodes:
            return router
        at = self._routers.index(router)
        around = self._routers[at:] + self._routers[:at]
        return next((vm for vm in around if vm in self._fleet.nodes), router)

    def ground(self) -> Ground:
        """Return the requests with their runs at endpoints."""
        fleet, plan = self._fleet, self._fleet.plan
        progress: list[tuple[float, str, float]] = []
        endpoints = {
            name: endpoint
            for name, endpoint in fleet.endpoints.items()
            if name.startswith(self._service)
        }
        regions = dict(plan.network.regions)
        for name, endpoint in endpoints.items():
            regions[name] = plan.network.regions[endpoint.zone]
            progress.extend(
                (t - self._started, who, amount) for t, who, amount in endpoint.progress
            )
            for run in endpoint.runs:
                job = self.jobs.get(run.name)
                if job is not None:
                    span = (name, run.started - self._started, run.ended)
                    job.runs.append((*span[:2], run.ended - self._started))
        for job in self.jobs.values():
            job.runs.sort(key=lambda run: run[1])
        return Ground(
            list(self.jobs.values()),
            sorted(progress),
            plan.shares,
            dict.fromkeys(endpoints, plan.services[self._service].slots),
            regions,
            self._warm,
            self._horizon,
        )


def _count_outcome(
    trial: Trial, jobs: dict[str, Job], name: str, end: CallResult | None
) -> None:
    trial.calls += 1
    if end is None:
        trial.broken += 1
        return
    if end.is_correct:
        trial.right += 1
        return
    if end.sink.complete:
        trial.lies.append(f"{name}: a wrong answer given as whole")
        return
    if end.fault is None:
        if end.sink.aborted:
            trial.broken += 1
        else:
            trial.lies.append(f"{name}: neither an answer nor a refusal")
        return
    trial.refused += 1
    kind = end.fault.kind.value
    trial.refusals[kind] = trial.refusals.get(kind, 0) + 1
    if end.fault.ran is Ran.NO and jobs[name].runs:
        trial.lies.append(f"{name}: {kind} says not run, but it ran")


async def _run(
    plan: VirtualPlan,
    sources: list[Source],
    seed: int,
    horizon: float,
    script: Script | None,
    warm: float,
) -> Trial:
    wall = time.perf_counter()
    async with running_virtual_fleet(plan, seed) as fleet:
        network = fleet.network
        driver = _Driver(fleet, horizon, warm)
        tasks = [
            asyncio.create_task(driver.drive(i, source))
            for i, source in enumerate(sources)
        ]
        if script is not None:
            tasks.append(asyncio.ensure_future(script(fleet)))
        await asyncio.sleep(warm)
        sent = dict(network.sent_bytes)
        link = dict(network.link_bytes)
        await asyncio.sleep(horizon - warm)
        if script is not None and tasks[-1].done():
            tasks[-1].result()
        traffic = Traffic(
            {vm: n - sent.get(vm, 0) for vm, n in network.sent_bytes.items()},
            {key: n - link.get(key, 0) for key, n in network.link_bytes.items()},
        )
        ended = list(driver.trial_calls)
        for task in tasks:
            task.cancel()
        driver.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()
        await asyncio.sleep(0)
    trial = Trial(driver.ground(), traffic, wall_seconds=time.perf_counter() - wall)
    for name, outcome in ended:
        _count_outcome(trial, driver.jobs, name, outcome)
    return trial


def new_loop() -> asyncio.AbstractEventLoop:
    """Return a loop whose virtual clock advances from event to event.

    Such a loop has no external events, so it needs no idle iterations before each
    step; these took nine tenths of a run.
    """
    return looptime.new_event_loop(noop_cycles=0)


def run_trial(
    plan: VirtualPlan,
    sources: list[Source],
    seed: int,
    horizon: float,
    script: Script | None = None,
    warm: float = 0.0,
) -> Trial:
    """Run sources against a virtual fleet and return the result.

    Parameters
    ----------
    horizon : float
        Seconds from the start of the sources to the end of the run.
    script : callable or None
        Injects faults.
    warm : float
        Seconds before the measured window begins, so that the figures don't depend
        on the order in which the sources start.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(_run(plan, sources, seed, horizon, script, warm))

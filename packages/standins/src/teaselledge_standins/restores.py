"""Random scenarios in which the store is restored from older backups."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from teaselledge_fleet.process.endpoints import Endpoint

from teaselledge_standins.spreadfleet import (
    GossipFleet,
    GossipRouter,
    running_gossip_fleet,
)
from teaselledge_standins.statestore import (
    MemoryStateStore,
    StoreCopy,
    decode_empty_routing,
)
from teaselledge_standins.virtual.clock import virtual_loop

__all__ = ["RestoreScenario", "RestoreOutcome", "run_restore_scenario"]

ENDPOINT_COUNT = 6
STEP_SECONDS = 0.1
BACKUP_INTERVAL_SECONDS = 0.25
"""Time between two backups of the store."""

WARM_UP_SECONDS = 5.0
FAULT_SECONDS = 30.0
RECOVERY_SECONDS = 12.0
"""Duration of the phases before, during and after the faults."""

HEARTBEAT_SECONDS = 1.2
ROW_EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
"""An endpoint reads the store at each heartbeat; its row expires after three missed
heartbeats.
"""

MAX_REWRITE_SECONDS = 2.0
"""Maximum time after a restore until the operator and endpoints write their rows again.
"""

MAX_BACKUP_AGE_SECONDS, MAX_OUTAGE_SECONDS = 30.0, 20.0
LOSS_FRACTION = 0.1
"""Fraction of the datagrams that are lost."""

MAX_DETECTION_SECONDS = 4.0
"""Maximum time from the death of a router to its removal from the directory."""


@dataclass
class _Writer:
    """An endpoint that writes its row to the store.

    Attributes
    ----------
    endpoint : Endpoint
        The latest state that was written.
    present : bool
        False once the endpoint has ended.
    """

    endpoint: Endpoint
    present: bool = True

    def write(self, store: MemoryStateStore, leaving: bool | None = None) -> None:
        """Write the row with the next sequence number."""
        current = self.endpoint
        self.endpoint = replace(
            current,
            leaving=current.leaving if leaving is None else leaving,
            sequence=current.sequence + 1,
        )
        store.put(self.endpoint)


@dataclass
class RestoreOutcome:
    """Result of one scenario.

    Attributes
    ----------
    violations : list of str
        Violated invariants, in order of detection.
    convergence_seconds : list of float
        Seconds from each restore until all routers had received the new era.
    """

    violations: list[str] = field(default_factory=list)
    convergence_seconds: list[float] = field(default_factory=list)


class RestoreScenario:
    """Runs a fleet through random events and checks invariants after each step.

    Parameters
    ----------
    seed : int
        Seed of the random numbers.
    routers : int
        Number of routers.
    """

    def __init__(self, seed: int, routers: int) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        self._count = routers
        self._store = MemoryStateStore()
        self._backups: list[tuple[float, StoreCopy]] = []
        self._version = 0
        self._writers: dict[str, _Writer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._restored_at: float | None = None
        self._versions: dict[int, int] = {}
        self._leaving_seen: defaultdict[int, set[str]] = defaultdict(set)
        self._died_at: dict[str, float] = {}
        self._outcome = RestoreOutcome()

    async def run(self) -> RestoreOutcome:
        """Run the scenario."""
        self._configure()
        for number in range(ENDPOINT_COUNT):
            self._add_endpoint(f"e{number}")
        zones = max(3, min(6, self._count // 3))
        async with running_gossip_fleet(
            self._store, self._count, decode_empty_routing, zones
        ) as fleet:
            random.seed(str(self._seed))
            fleet.rng = self._rng
            fleet.loss = LOSS_FRACTION
            await self._run_and_check(fleet, WARM_UP_SECONDS)
            self._start_task(self._inject_faults(fleet))
            await self._run_and_check(fleet, FAULT_SECONDS)
            fleet.cut = lambda sender, receiver: False
            self._store.delay = 0.01
            while self._store.unreachable_vms:
                await self._run_and_check(fleet, STEP_SECONDS)
            await self._run_and_check(fleet, RECOVERY_SECONDS)
            self._check_end(fleet)
        for task in self._tasks:
            task.cancel()
        return self._outcome

    async def _run_and_check(self, fleet: GossipFleet, seconds: float) -> None:
        """Let time pass in steps, and check the invariants after each."""
        end = self._now() + seconds
        while self._now() < end:
            await asyncio.sleep(STEP_SECONDS)
            if (
                not self._backups
                or self._now() - self._backups[-1][0] >= BACKUP_INTERVAL_SECONDS
            ):
                self._backups.append((self._now(), self._store.copy()))
            self._check(fleet)

    async def _inject_faults(self, fleet: GossipFleet) -> None:
        """Trigger random events, among them two restores."""
        rng = self._rng
        restores = sorted(rng.uniform(1.0, 12.0) for _ in range(2))
        started = self._now()
        while self._now() - started < FAULT_SECONDS - 1.0:
            await asyncio.sleep(rng.uniform(0.05, 1.0))
            if (
                restores
                and self._now() - started > restores[0]
                and self._is_store_reachable
            ):
                restores.pop(0)
                self._start_task(self._restore())
            event = rng.choice(
                [
                    self._configure,
                    self._drain_endpoint,
                    self._remove_endpoint,
                    self._add_another_endpoint,
                    lambda: self._kill_router(fleet),
                    lambda: self._restart_router(fleet),
                    lambda: self._cut_router(fleet),
                    self._slow_store,
                ]
            )
            event()

    @property
    def _is_store_reachable(self) -> bool:
        return "*" not in self._store.unreachable_vms

    def _configure(self) -> None:
        """Write the next configuration version, unless the store is unreachable."""
        if self._is_store_reachable:
            self._version += self._rng.randint(1, 5)
            self._store.configure(b"%d" % self._version)

    def _add_endpoint(self, name: str) -> None:
        born = int(self._now() * 1000) + 1
        address = f"10.0.0.9:{1000 + len(self._writers)}"
        writer = _Writer(Endpoint(name, "books", address, "z1", 4, started_ms=born))
        self._writers[name] = writer
        writer.write(self._store)

    def _add_another_endpoint(self) -> None:
        if self._is_store_reachable:
            self._add_endpoint(f"e{len(self._writers)}")

    def _random_active(self) -> _Writer | None:
        """Return a random endpoint that accepts requests, unless it is the only one."""
        present = [
            w for w in self._writers.values() if w.present and not w.endpoint.leaving
        ]
        return self._rng.choice(present) if len(present) > 1 else None

    def _drain_endpoint(self) -> None:
        writer = self._random_active()
        if writer is not None and self._is_store_reachable:
            writer.write(self._store, leaving=True)

    def _remove_endpoint(self) -> None:
        """End an endpoint without marking it as leaving first, the usual case."""
        writer = self._random_active()
        if writer is not None and self._is_store_reachable:
            writer.present = False
            self._store.delete(writer.endpoint.id)

    async def _restore(self) -> None:
        """Make the store unreachable, and restore it from an older backup."""
        store, rng = self._store, self._rng
        age = rng.uniform(0.1, MAX_BACKUP_AGE_SECONDS)
        outage = rng.choice([0.1, 0.5, 1.5, 4.0, MAX_OUTAGE_SECONDS])
        store.unreachable_vms.add("*")
        made_before = self._now() - age
        older = [backup for at, backup in self._backups if at <= made_before]
        backup = older[-1] if older else self._backups[0][1]
        await asyncio.sleep(outage)
        store.restore(backup)
        store.unreachable_vms.discard("*")
        self._restored_at = self._now()
        for writer in self._writers.values():
            self._start_task(self._rewrite_row(writer))
        await asyncio.sleep(rng.uniform(0.05, MAX_REWRITE_SECONDS))
        if self._is_store_reachable:
            store.configure(b"%d" % self._version)

    async def _rewrite_row(self, writer: _Writer) -> None:
        """Write a row again after a restore; that of an ended endpoint expires."""
        era = self._store.era
        if not writer.present:
            await asyncio.sleep(ROW_EXPIRY_SECONDS)
            if self._store.era == era and self._is_store_reachable:
                self._store.delete(writer.endpoint.id)
            return
        await asyncio.sleep(self._rng.uniform(0.0, MAX_REWRITE_SECONDS))
        if writer.present and self._store.era == era and self._is_store_reachable:
            writer.write(self._store)

    def _running(self, fleet: GossipFleet) -> list[GossipRouter]:
        return [router for router in fleet.routers if not router.killed]

    def _kill_router(self, fleet: GossipFleet) -> None:
        running = self._running(fleet)
        if len(running) > self._count / 2:
            dead = self._rng.choice(running)
            dead.kill()
            self._died_at[dead.vm] = self._now()

    def _restart_router(self, fleet: GossipFleet) -> None:
        dead = [router for router in fleet.routers if router.killed]
        if not dead:
            return
        router = self._rng.choice(dead)
        self._died_at.pop(router.vm, None)
        seeds = [f"r{number:03}:1" for number in range(3)]
        fleet.start(router.vm, router.members.own.zone, decode_empty_routing, seeds)

    def _cut_router(self, fleet: GossipFleet) -> None:
        """Cut one router off in one or both directions, or heal the cut."""
        isolated = self._rng.choice(fleet.routers).vm
        kind = self._rng.choice(["heal", "in", "out", "both"])

        def cut(sender: str, receiver: str) -> bool:
            out = sender == isolated and kind in ("out", "both")
            return out or (receiver == isolated and kind in ("in", "both"))

        fleet.cut = cut

    def _slow_store(self) -> None:
        self._store.delay = self._rng.choice([0.01, 0.01, 0.3])

    def _check(self, fleet: GossipFleet) -> None:
        running = self._running(fleet)
        self._check_convergence(running)
        for router in running:
            self._check_version(router)
            self._check_endpoints(router)
            self._check_directory(router)

    def _check_convergence(self, running: Iterable[GossipRouter]) -> None:
        if self._restored_at is None:
            return
        if all(router.store_cache.era == self._store.era for router in running):
            self._outcome.convergence_seconds.append(self._now() - self._restored_at)
            self._restored_at = None

    def _check_version(self, router: GossipRouter) -> None:
        """Check that a router does not return to an older configuration version."""
        incarnation = router.members.own.incarnation
        before = self._versions.get(incarnation, 0)
        if router.store_cache.version < before:
            self._add_violation(
                f"{router.vm}: version {before} to {router.store_cache.version}"
            )
        self._versions[incarnation] = router.store_cache.version

    def _check_endpoints(self, router: GossipRouter) -> None:
        """Check that a router that saw an endpoint leave does not use it again."""
        view, leaving_seen = (
            router.store_cache.view,
            self._leaving_seen[router.members.own.incarnation],
        )
        for name, writer in self._writers.items():
            accepts_requests = writer.present and not writer.endpoint.leaving
            entry = view.entry(name)
            if entry is None or accepts_requests:
                continue
            if not entry.accepts_requests:
                leaving_seen.add(name)
            elif name in leaving_seen:
                self._add_violation(f"{router.vm}: {name} accepts requests again")

    def _check_directory(self, router: GossipRouter) -> None:
        listed = {member.vm for member in router.members.ready}
        for vm, died in self._died_at.items():
            if vm in listed and self._now() - died > MAX_DETECTION_SECONDS:
                self._add_violation(f"{router.vm}: lists {vm}, dead for 4 s")

    def _check_end(self, fleet: GossipFleet) -> None:
        """Check that all routers agree with the store after the recovery phase."""
        expected = {
            name
            for name, writer in self._writers.items()
            if writer.present and not writer.endpoint.leaving
        }
        for router in self._running(fleet):
            cache = router.store_cache
            found = {endpoint.id for endpoint in cache.view.of_service("books")}
            if cache.version != self._version:
                self._add_violation(f"{router.vm}: version {cache.version} at the end")
            if found != expected:
                self._add_violation(
                    f"{router.vm}: endpoints differ by {found ^ expected}"
                )
            if cache.era != self._store.era:
                self._add_violation(f"{router.vm}: era {cache.era} at the end")

    def _add_violation(self, violation: str) -> None:
        if violation not in self._outcome.violations:
            self._outcome.violations.append(violation)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def run_restore_scenario(seed: int, routers: int) -> RestoreOutcome:
    """Run one scenario on a virtual clock."""
    with asyncio.Runner(loop_factory=virtual_loop) as runner:
        return runner.run(RestoreScenario(seed, routers).run())

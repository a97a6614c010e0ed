"""Random histories in which the store comes back from older copies."""

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

ENDPOINTS = 6
STEP_SECONDS = 0.1
COPY_SECONDS = 0.25
"""Time between two copies of the store."""

SETTLED_SECONDS = 5.0
TROUBLE_SECONDS = 30.0
CALM_SECONDS = 12.0
"""Time before, with and after trouble."""

BEAT_SECONDS = 1.2
LAPSE_SECONDS = 3 * BEAT_SECONDS
"""An endpoint looks at the store each beat; its row lapses after three of silence."""

REWRITE_SECONDS = 2.0
"""Time within which the operator and endpoints write again what they wrote."""

OLDEST_COPY, LONGEST_AWAY = 30.0, 20.0
LOSS = 0.1
"""Part of the datagrams that are lost."""

GONE_SECONDS = 4.0
"""Time within which a dead router must have left the directory."""


@dataclass
class _Writer:
    """An endpoint, as it is and as it writes of itself."""

    endpoint: Endpoint
    present: bool = True

    def say(self, store: MemoryStateStore, leaving: bool | None = None) -> None:
        """Write the row."""
        known = self.endpoint
        self.endpoint = replace(
            known,
            leaving=known.leaving if leaving is None else leaving,
            sequence=known.sequence + 1,
        )
        store.put(self.endpoint)


@dataclass
class RestoreOutcome:
    """What one history showed.

    Attributes
    ----------
    violations : list of str
        Promises that were broken, in the order in which it was seen.
    convergence_seconds : list of float
        Seconds from each return of the store until all routers knew its era.
    """

    violations: list[str] = field(default_factory=list)
    convergence_seconds: list[float] = field(default_factory=list)


class RestoreScenario:
    """One history: a fleet, what happens to it, and what must hold meanwhile.

    Parameters
    ----------
    seed : int
        Names the history.
    routers : int
        Size of the fleet.
    """

    def __init__(self, seed: int, routers: int) -> None:
        self._seed = seed
        self._chance = random.Random(seed)
        self._count = routers
        self._store = MemoryStateStore()
        self._copies: list[tuple[float, StoreCopy]] = []
        self._version = 0
        self._writers: dict[str, _Writer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._returned_at: float | None = None
        self._versions: dict[int, int] = {}
        self._left: defaultdict[int, set[str]] = defaultdict(set)
        self._died: dict[str, float] = {}
        self._outcome = RestoreOutcome()

    async def run(self) -> RestoreOutcome:
        """Play it."""
        self._configure()
        for number in range(ENDPOINTS):
            self._add(f"e{number}")
        zones = max(3, min(6, self._count // 3))
        async with running_gossip_fleet(
            self._store, self._count, decode_empty_routing, zones
        ) as fleet:
            random.seed(str(self._seed))
            fleet.rng = self._chance
            fleet.loss = LOSS
            await self._watch(fleet, SETTLED_SECONDS)
            self._start(self._trouble(fleet))
            await self._watch(fleet, TROUBLE_SECONDS)
            fleet.cut = lambda sender, receiver: False
            self._store.delay = 0.01
            while self._store.unreachable_vms:
                await self._watch(fleet, STEP_SECONDS)
            await self._watch(fleet, CALM_SECONDS)
            self._check_end(fleet)
        for task in self._tasks:
            task.cancel()
        return self._outcome

    async def _watch(self, fleet: GossipFleet, seconds: float) -> None:
        """Check after each step, for some seconds."""
        end = self._now() + seconds
        while self._now() < end:
            await asyncio.sleep(STEP_SECONDS)
            if not self._copies or self._now() - self._copies[-1][0] >= COPY_SECONDS:
                self._copies.append((self._now(), self._store.copy()))
            self._check(fleet)

    async def _trouble(self, fleet: GossipFleet) -> None:
        """Let things happen, among them two restores."""
        chance = self._chance
        restores = sorted(chance.uniform(1.0, 12.0) for _ in range(2))
        started = self._now()
        while self._now() - started < TROUBLE_SECONDS - 1.0:
            await asyncio.sleep(chance.uniform(0.05, 1.0))
            if restores and self._now() - started > restores[0] and self._reachable:
                restores.pop(0)
                self._start(self._restore())
            event = chance.choice(
                [
                    self._configure,
                    self._drain,
                    self._remove,
                    self._add_another,
                    lambda: self._kill(fleet),
                    lambda: self._start_again(fleet),
                    lambda: self._cut(fleet),
                    self._slow,
                ]
            )
            event()

    @property
    def _reachable(self) -> bool:
        return "*" not in self._store.unreachable_vms

    def _configure(self) -> None:
        """Write the next version; it is not written while the store is away."""
        if self._reachable:
            self._version += self._chance.randint(1, 5)
            self._store.configure(b"%d" % self._version)

    def _add(self, name: str) -> None:
        born = int(self._now() * 1000) + 1
        address = f"10.0.0.9:{1000 + len(self._writers)}"
        writer = _Writer(Endpoint(name, "books", address, "z1", 4, started_ms=born))
        self._writers[name] = writer
        writer.say(self._store)

    def _add_another(self) -> None:
        if self._reachable:
            self._add(f"e{len(self._writers)}")

    def _some(self) -> _Writer | None:
        """Return an endpoint that takes work, if it isn't the last one."""
        present = [
            w for w in self._writers.values() if w.present and not w.endpoint.leaving
        ]
        return self._chance.choice(present) if len(present) > 1 else None

    def _drain(self) -> None:
        writer = self._some()
        if writer is not None and self._reachable:
            writer.say(self._store, leaving=True)

    def _remove(self) -> None:
        """Let an endpoint end, as most do, without a word before."""
        writer = self._some()
        if writer is not None and self._reachable:
            writer.present = False
            self._store.delete(writer.endpoint.id)

    async def _restore(self) -> None:
        """Take the store away, and bring it back from an older copy."""
        store, chance = self._store, self._chance
        age = chance.uniform(0.1, OLDEST_COPY)
        away = chance.choice([0.1, 0.5, 1.5, 4.0, LONGEST_AWAY])
        store.unreachable_vms.add("*")
        wanted = self._now() - age
        older = [copy for at, copy in self._copies if at <= wanted]
        copy = older[-1] if older else self._copies[0][1]
        await asyncio.sleep(away)
        store.restore(copy)
        store.unreachable_vms.discard("*")
        self._returned_at = self._now()
        for writer in self._writers.values():
            self._start(self._write_again(writer))
        await asyncio.sleep(chance.uniform(0.05, REWRITE_SECONDS))
        if self._reachable:
            store.configure(b"%d" % self._version)

    async def _write_again(self, writer: _Writer) -> None:
        era = self._store.era
        if not writer.present:
            await asyncio.sleep(LAPSE_SECONDS)
            if self._store.era == era and self._reachable:
                self._store.delete(writer.endpoint.id)
            return
        await asyncio.sleep(self._chance.uniform(0.0, REWRITE_SECONDS))
        if writer.present and self._store.era == era and self._reachable:
            writer.say(self._store)

    def _living(self, fleet: GossipFleet) -> list[GossipRouter]:
        return [router for router in fleet.routers if not router.killed]

    def _kill(self, fleet: GossipFleet) -> None:
        living = self._living(fleet)
        if len(living) > self._count / 2:
            dead = self._chance.choice(living)
            dead.kill()
            self._died[dead.vm] = self._now()

    def _start_again(self, fleet: GossipFleet) -> None:
        dead = [router for router in fleet.routers if router.killed]
        if not dead:
            return
        router = self._chance.choice(dead)
        self._died.pop(router.vm, None)
        seeds = [f"r{number:03}:1" for number in range(3)]
        fleet.start(router.vm, router.members.own.zone, decode_empty_routing, seeds)

    def _cut(self, fleet: GossipFleet) -> None:
        """Cut one router off, one way or both, or heal the cut."""
        lonely = self._chance.choice(fleet.routers).vm
        kind = self._chance.choice(["heal", "in", "out", "both"])

        def cut(sender: str, receiver: str) -> bool:
            out = sender == lonely and kind in ("out", "both")
            return out or (receiver == lonely and kind in ("in", "both"))

        fleet.cut = cut

    def _slow(self) -> None:
        self._store.delay = self._chance.choice([0.01, 0.01, 0.3])

    def _check(self, fleet: GossipFleet) -> None:
        living = self._living(fleet)
        self._check_spread(living)
        for router in living:
            self._check_version(router)
            self._check_endpoints(router)
            self._check_directory(router)

    def _check_spread(self, living: Iterable[GossipRouter]) -> None:
        if self._returned_at is None:
            return
        if all(router.store_cache.era == self._store.era for router in living):
            self._outcome.convergence_seconds.append(self._now() - self._returned_at)
            self._returned_at = None

    def _check_version(self, router: GossipRouter) -> None:
        """Check that a configuration that was in force is not undone."""
        life = router.members.own.incarnation
        before = self._versions.get(life, 0)
        if router.store_cache.version < before:
            self._break(
                f"{router.vm}: version {before} to {router.store_cache.version}"
            )
        self._versions[life] = router.store_cache.version

    def _check_endpoints(self, router: GossipRouter) -> None:
        """Check that an endpoint takes no work once its leaving is known."""
        view, left = router.store_cache.view, self._left[router.members.own.incarnation]
        for name, writer in self._writers.items():
            takes_work = writer.present and not writer.endpoint.leaving
            known = view.entry(name)
            if known is None or takes_work:
                continue
            if not known.accepts_requests:
                left.add(name)
            elif name in left:
                self._break(f"{router.vm}: {name} takes work again")

    def _check_directory(self, router: GossipRouter) -> None:
        named = {member.vm for member in router.members.ready}
        for vm, died in self._died.items():
            if vm in named and self._now() - died > GONE_SECONDS:
                self._break(f"{router.vm}: names {vm}, dead for 4 s")

    def _check_end(self, fleet: GossipFleet) -> None:
        """Check that all know what the store holds once calm has lasted."""
        truth = {
            name
            for name, writer in self._writers.items()
            if writer.present and not writer.endpoint.leaving
        }
        for router in self._living(fleet):
            belief = router.store_cache
            known = {endpoint.id for endpoint in belief.view.of_service("books")}
            if belief.version != self._version:
                self._break(f"{router.vm}: version {belief.version} at the end")
            if known != truth:
                self._break(f"{router.vm}: endpoints differ by {known ^ truth}")
            if belief.era != self._store.era:
                self._break(f"{router.vm}: era {belief.era} at the end")

    def _break(self, promise: str) -> None:
        if promise not in self._outcome.violations:
            self._outcome.violations.append(promise)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def run_restore_scenario(seed: int, routers: int) -> RestoreOutcome:
    """Play one history under the virtual clock."""
    with asyncio.Runner(loop_factory=virtual_loop) as runner:
        return runner.run(RestoreScenario(seed, routers).run())

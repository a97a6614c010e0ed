"""Explore every interleaving of a few tasks that share a table service.

The tasks run the real code on a virtual clock. Each call to the store or to an
endpoint waits until the explorer chooses which call goes on, and how: answered,
refused, carried out with the answer lost, carried out later. Not choosing a call
for long is a pause of its task. The explorer runs the tasks again for each new
sequence of choices, depth first, and stops a run at a state that it has seen.
A state is the store's content, the log of effects and what each task has been
answered so far; the tasks must depend on nothing else.
"""

import asyncio
from collections.abc import Callable, Coroutine, Hashable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from expression import Error, Ok, Result
from teaselledge.platform import (
    Row,
    StoreError,
    StoreErrorKind,
    TableService,
    Write,
)

from teaselledge_standins.tables import MemoryTables
from teaselledge_standins.virtual.clock import virtual_loop

__all__ = [
    "CRASH",
    "JUMP",
    "LATE",
    "LOST",
    "REFUSED",
    "WAIT",
    "ExplorationError",
    "ExplorationStats",
    "ExploredTables",
    "CallChoice",
    "ExploredSystem",
    "explore",
]

CRASH = "crash"
"""Budget: a task is killed, with what it had under way."""

JUMP = "jump"
"""Budget: so much time passes that deadlines pass."""

LATE = "late"
"""Budget: a write's answer is lost and the write lands later, or never."""

LOST = "lost"
"""Budget: a write lands and its answer is lost."""

REFUSED = "refused"
"""Budget: a call is refused and does nothing."""

WAIT = "wait"
"""Budget: time passes though calls are under way."""

SETTLE_SECONDS = 1e-4
"""Virtual time in which tasks get as far as they can without waiting."""

WAIT_SECONDS = 1.1
JUMP_SECONDS = 30.0
MAX_STEPS = 500


class ExplorationError(AssertionError):
    """A check failed; the message lists the choices that led there."""


@dataclass(frozen=True)
class CallChoice:
    """One way in which a call can go on.

    Attributes
    ----------
    name : str
        Names it among the call's outcomes.
    act : callable
        Carries it out and returns the call's result.
    fault : str
        Budget that it draws on; empty for the way without a fault.
    """

    name: str
    act: Callable[[], Any]
    fault: str = ""


@dataclass(frozen=True)
class ExplorationStats:
    """How much was explored.

    Attributes
    ----------
    states : int
        Different states seen.
    runs : int
        Sequences of choices that were run.
    completed_runs : int
        Runs that came to an end where everything was done.
    """

    states: int
    runs: int
    completed_runs: int


@dataclass
class _Call:
    actor: str
    label: str
    outcomes: Sequence[CallChoice]
    done: "asyncio.Future[Any]"


@dataclass
class _Floating:
    label: str
    act: Callable[[], Any]


@dataclass
class _Actor:
    task: "asyncio.Task[Any]"
    kill: Callable[[], None]
    history: list[Hashable] = field(default_factory=list)
    dead: bool = False

    @property
    def over(self) -> bool:
        """Whether nothing more comes from it."""
        return self.dead or self.task.done()


@dataclass(frozen=True)
class _Option:
    label: str
    apply: Callable[[], float]
    fault: str = ""


class ExploredSystem:
    """What the explored tasks share.

    Attributes
    ----------
    tables : MemoryTables
        The store's content.
    log : list
        Effects beside the store, such as what an endpoint ran.
    trace : list of str
        The choices so far.
    clock : float
        Seconds that waits and jumps have taken, for wall clocks.
    """

    def __init__(self, budget: Mapping[str, int]) -> None:
        self.clock = 0.0
        self.tables = MemoryTables()
        self.log: list[Hashable] = []
        self.trace: list[str] = []
        self.budget = dict(budget)
        self._calls: list[_Call] = []
        self._floating: list[_Floating] = []
        self._actors: dict[str, _Actor] = {}

    def spawn(
        self,
        actor: str,
        work: Coroutine[Any, Any, Any],
        kill: Callable[[], None] | None = None,
    ) -> "asyncio.Task[Any]":
        """Start a task; ``kill`` ends what it started beside itself."""
        task = asyncio.get_running_loop().create_task(work)
        self._actors[actor] = _Actor(task, kill or (lambda: None))
        return task

    def tables_of(self, actor: str) -> "ExploredTables":
        """Return the table service as one task reaches it."""
        return ExploredTables(self, actor)

    def is_dead(self, actor: str) -> bool:
        """Return whether a task was killed."""
        return self._actors[actor].dead

    async def call(self, actor: str, label: str, outcomes: Sequence[CallChoice]) -> Any:
        """Wait until one of the outcomes is chosen, and return its result."""
        done = asyncio.get_running_loop().create_future()
        call = _Call(actor, label, outcomes, done)
        self._calls.append(call)
        try:
            result = await done
        except asyncio.CancelledError:
            if call in self._calls:
                # the task stopped waiting; the call may still take effect
                self._calls.remove(call)
                self._float(call)
            raise
        self._remember(actor, (label, repr(result)))
        return result

    def schedule_effect(self, label: str, act: Callable[[], Any]) -> None:
        """Let an effect happen at any later time, or never."""
        self._floating.append(_Floating(label, act))

    # for the explorer

    @property
    def finished(self) -> bool:
        """Whether no task will go on."""
        return all(actor.over for actor in self._actors.values())

    def options(self) -> list[_Option]:
        """Return what can happen next, in a fixed order."""
        found = [*self._going_on(), *self._landing(), *self._crashes()]
        if not self.finished:
            if self._calls:
                found.append(_Option(WAIT, lambda: self._pass(WAIT_SECONDS), WAIT))
            else:
                found.append(_Option("sleep", lambda: WAIT_SECONDS))
            found.append(_Option(JUMP, lambda: self._pass(JUMP_SECONDS), JUMP))
        else:
            found.append(_Option("end", lambda: -1.0))
        return [o for o in found if not o.fault or self.budget.get(o.fault, 0) > 0]

    def fingerprint(self) -> int:
        """Return what tells this state from others."""
        rows = tuple(
            (table, row.key, row.version, row.value)
            for table, rows in sorted(self.tables.snapshot().items())
            for row in rows
        )
        actors = tuple(
            (name, a.over, tuple(a.history)) for name, a in self._actors.items()
        )
        calls = tuple((call.actor, call.label) for call in self._calls)
        floating = tuple(sorted(floating.label for floating in self._floating))
        budget = tuple(sorted(self.budget.items()))
        return hash((rows, tuple(self.log), actors, calls, floating, budget))

    def step(self, option: _Option) -> float:
        """Let something happen; return the seconds that pass, -1 at the end."""
        self.trace.append(option.label)
        if option.fault:
            self.budget[option.fault] -= 1
        return option.apply()

    def stop(self) -> None:
        """Cancel what is left."""
        for actor in self._actors.values():
            actor.kill()
            actor.task.cancel()

    def _going_on(self) -> list[_Option]:
        return [
            _Option(
                f"{call.actor} {call.label}: {outcome.name}",
                partial(self._resolve, call, outcome),
                outcome.fault,
            )
            for call in self._calls
            for outcome in call.outcomes
        ]

    def _landing(self) -> list[_Option]:
        return [
            _Option(f"lands: {item.label}", partial(self._land, item))
            for item in self._floating
        ]

    def _crashes(self) -> list[_Option]:
        return [
            _Option(f"crash of {name}", partial(self._crash, name, a), CRASH)
            for name, a in self._actors.items()
            if not a.over
        ]

    def _resolve(self, call: _Call, outcome: CallChoice) -> float:
        self._calls.remove(call)
        result = outcome.act()
        if not call.done.done():
            call.done.set_result(result)
        return SETTLE_SECONDS

    def _land(self, item: _Floating) -> float:
        self._floating.remove(item)
        item.act()
        return SETTLE_SECONDS

    def _crash(self, name: str, actor: _Actor) -> float:
        actor.dead = True
        for call in [call for call in self._calls if call.actor == name]:
            self._calls.remove(call)
            self._float(call)
        actor.kill()
        actor.task.cancel()
        return SETTLE_SECONDS

    def _float(self, call: _Call) -> None:
        effect = next(o for o in call.outcomes if not o.fault)
        if effect.name != "read":
            self.schedule_effect(f"{call.actor} {call.label}", effect.act)

    def _pass(self, seconds: float) -> float:
        for name in self._actors:
            self._remember(name, seconds)
        return seconds

    def _remember(self, actor: str, entry: Hashable) -> None:
        history = self._actors[actor].history
        # a task that polls and gets the same answer is where it was before
        if not history or history[-1] != entry:
            history.append(entry)


class ExploredTables(TableService):
    """The table service of one explored task."""

    def __init__(self, world: ExploredSystem, actor: str) -> None:
        self._world = world
        self._actor = actor

    async def get(self, table: str, key: str) -> Result[Row | None, StoreError]:
        """Read a row."""
        tables = self._world.tables
        outcomes = [
            CallChoice("read", lambda: Ok(tables.peek(table, key))),
            CallChoice("refused", _refused, REFUSED),
        ]
        return await self._world.call(self._actor, f"get {table}/{key}", outcomes)

    async def scan(
        self, table: str, prefix: str, limit: int, after: str = ""
    ) -> Result[list[Row], StoreError]:
        """Read rows in key order."""
        world = self._world

        def rows() -> Result[list[Row], StoreError]:
            found = world.tables.snapshot().get(table, [])
            chosen = [r for r in found if r.key.startswith(prefix) and r.key > after]
            return Ok(chosen[:limit])

        outcomes = [
            CallChoice("read", rows),
            CallChoice("refused", _refused, REFUSED),
        ]
        return await world.call(self._actor, f"scan {table}/{prefix}", outcomes)

    async def commit(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        """Write all rows or none."""
        world = self._world
        label = " ".join(
            f"put {w.table}/{w.key}@{w.expect} {w.value!r}" for w in writes
        )

        def apply() -> Result[None, StoreError]:
            if world.tables.apply(writes):
                return Ok(None)
            return Error(StoreError(StoreErrorKind.CONFLICT))

        def lose() -> Result[None, StoreError]:
            world.tables.apply(writes)
            return Error(StoreError(StoreErrorKind.UNCERTAIN))

        def defer() -> Result[None, StoreError]:
            world.schedule_effect(label, apply)
            return Error(StoreError(StoreErrorKind.UNCERTAIN))

        outcomes = [
            CallChoice("written", apply),
            CallChoice("refused", _refused, REFUSED),
            CallChoice("answer lost", lose, LOST),
            CallChoice("late", defer, LATE),
        ]
        return await world.call(self._actor, label, outcomes)


def _refused() -> Result[Any, StoreError]:
    return Error(StoreError(StoreErrorKind.UNAVAILABLE))


class _Explorer:
    def __init__(
        self,
        setup: Callable[[ExploredSystem], None],
        check: Callable[[ExploredSystem], None],
        budget: Mapping[str, int],
    ) -> None:
        self._setup = setup
        self._check = check
        self._budget = budget
        self.seen: set[int] = set()
        self.stack: list[tuple[int, ...]] = [()]
        self.ends = 0

    async def run(self, prefix: tuple[int, ...]) -> None:
        """Follow a sequence of choices, then always the first one."""
        world = ExploredSystem(self._budget)
        self._setup(world)
        try:
            await self._follow(world, prefix)
        except AssertionError as error:
            steps = "\n  ".join(world.trace)
            raise ExplorationError(f"{error}\n  {steps}") from error
        finally:
            world.stop()
            await asyncio.sleep(SETTLE_SECONDS)

    async def _follow(self, world: ExploredSystem, prefix: tuple[int, ...]) -> None:
        path: list[int] = []
        await asyncio.sleep(SETTLE_SECONDS)
        while len(path) < MAX_STEPS:
            options = world.options()
            chosen = 0
            if len(path) < len(prefix):
                chosen = prefix[len(path)]
            else:
                state = world.fingerprint()
                if state in self.seen:
                    return
                self.seen.add(state)
                self.stack += [(*path, i) for i in range(len(options) - 1, 0, -1)]
            path.append(chosen)
            seconds = world.step(options[chosen])
            if seconds < 0:
                self.ends += 1
                self._check(world)
                return
            await asyncio.sleep(seconds)
        raise AssertionError(f"no end after {MAX_STEPS} steps")


def explore(
    setup: Callable[[ExploredSystem], None],
    check: Callable[[ExploredSystem], None],
    budget: Mapping[str, int],
    max_runs: int = 1_000_000,
) -> ExplorationStats:
    """Run tasks under every sequence of choices.

    Parameters
    ----------
    setup : callable
        Starts the tasks of a run with `ExploredSystem.spawn`.
    check : callable
        Asserts what must hold where all is done; called at each end.
    budget : mapping of str to int
        How often each fault may happen in one run.
    max_runs : int
        Runs after which the exploration counts as too large.

    Returns
    -------
    ExplorationStats
        How much was explored.

    Raises
    ------
    ExplorationError
        If a check failed, or there are too many runs.
    """
    explorer = _Explorer(setup, check, budget)
    runs = 0
    while explorer.stack:
        if runs >= max_runs:
            raise ExplorationError(f"more than {max_runs} runs")
        # a clock of its own makes each run the same as its twin before
        with asyncio.Runner(loop_factory=virtual_loop) as runner:
            runner.run(explorer.run(explorer.stack.pop()))
        runs += 1
    return ExplorationStats(len(explorer.seen), runs, explorer.ends)

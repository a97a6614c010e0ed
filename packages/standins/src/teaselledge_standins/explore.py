"""Explore every interleaving of a few tasks that share a table service.

The tasks run the real code on a virtual clock. Each call to the store or to an
endpoint waits until the explorer chooses which call continues, and how: executed,
refused, executed with the response lost, or executed later. A call that is not chosen
for long acts as a pause of its task. The explorer runs the tasks again for each new
sequence of choices, depth first, and stops a run at a state that it has seen.
A state consists of the store's content, the log of effects and the results that each
task has received; the tasks must depend on nothing else.
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
"""Budget: a task is killed; its pending calls may still take effect."""

JUMP = "jump"
"""Budget: so much time passes that deadlines expire."""

LATE = "late"
"""Budget: a write's response is lost, and the write is applied later or never."""

LOST = "lost"
"""Budget: a write is applied and its response is lost."""

REFUSED = "refused"
"""Budget: a call is refused and has no effect."""

WAIT = "wait"
"""Budget: time passes although calls are pending."""

SETTLE_SECONDS = 1e-4
"""Virtual time in which tasks run until all of them wait."""

WAIT_SECONDS = 1.1
JUMP_SECONDS = 30.0
MAX_STEPS = 500


class ExplorationError(AssertionError):
    """A check failed; the message lists the choices that led to the failure."""


@dataclass(frozen=True)
class CallChoice:
    """One possible outcome of a call.

    Attributes
    ----------
    name : str
        Name that is unique among the call's outcomes.
    act : callable
        Applies the effect and returns the call's result.
    fault : str
        Budget that it uses; empty for the outcome without a fault.
    """

    name: str
    act: Callable[[], Any]
    fault: str = ""


@dataclass(frozen=True)
class ExplorationStats:
    """Size of an exploration.

    Attributes
    ----------
    states : int
        Distinct states seen.
    runs : int
        Sequences of choices that were run.
    completed_runs : int
        Runs that continued until all tasks had finished.
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
class _PendingEffect:
    label: str
    act: Callable[[], Any]


@dataclass
class _Actor:
    task: "asyncio.Task[Any]"
    kill: Callable[[], None]
    history: list[Hashable] = field(default_factory=list)
    dead: bool = False

    @property
    def finished(self) -> bool:
        """Whether the task has ended or was killed."""
        return self.dead or self.task.done()


@dataclass(frozen=True)
class _Option:
    label: str
    apply: Callable[[], float]
    fault: str = ""


class ExploredSystem:
    """State that the explored tasks share.

    Attributes
    ----------
    tables : MemoryTables
        The store's content.
    log : list
        Effects outside the store, such as requests that an endpoint executed.
    trace : list of str
        Choices made so far.
    clock : float
        Total seconds of waits and jumps, for the wall clocks of the tasks.
    """

    def __init__(self, budget: Mapping[str, int]) -> None:
        self.clock = 0.0
        self.tables = MemoryTables()
        self.log: list[Hashable] = []
        self.trace: list[str] = []
        self.budget = dict(budget)
        self._calls: list[_Call] = []
        self._pending_effects: list[_PendingEffect] = []
        self._actors: dict[str, _Actor] = {}

    def spawn(
        self,
        actor: str,
        work: Coroutine[Any, Any, Any],
        kill: Callable[[], None] | None = None,
    ) -> "asyncio.Task[Any]":
        """Start a task; ``kill`` is called to end other tasks that it started."""
        task = asyncio.get_running_loop().create_task(work)
        self._actors[actor] = _Actor(task, kill or (lambda: None))
        return task

    def tables_of(self, actor: str) -> "ExploredTables":
        """Return the table service for one task."""
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
                # The task has stopped waiting, but the call may still take effect.
                self._calls.remove(call)
                self._make_pending(call)
            raise
        self._record(actor, (label, repr(result)))
        return result

    def schedule_effect(self, label: str, act: Callable[[], Any]) -> None:
        """Add an effect that may be applied at any later time, or never."""
        self._pending_effects.append(_PendingEffect(label, act))

    # interface for the explorer

    @property
    def finished(self) -> bool:
        """Whether all tasks have ended."""
        return all(actor.finished for actor in self._actors.values())

    def options(self) -> list[_Option]:
        """Return the possible next steps, in a fixed order."""
        found = [*self._call_options(), *self._effect_options(), *self._crash_options()]
        if not self.finished:
            if self._calls:
                found.append(
                    _Option(WAIT, lambda: self._let_time_pass(WAIT_SECONDS), WAIT)
                )
            else:
                found.append(_Option("sleep", lambda: WAIT_SECONDS))
            found.append(_Option(JUMP, lambda: self._let_time_pass(JUMP_SECONDS), JUMP))
        else:
            found.append(_Option("end", lambda: -1.0))
        return [o for o in found if not o.fault or self.budget.get(o.fault, 0) > 0]

    def fingerprint(self) -> int:
        """Return a hash that identifies this state."""
        rows = tuple(
            (table, row.key, row.version, row.value)
            for table, rows in sorted(self.tables.snapshot().items())
            for row in rows
        )
        actors = tuple(
            (name, a.finished, tuple(a.history)) for name, a in self._actors.items()
        )
        calls = tuple((call.actor, call.label) for call in self._calls)
        effects = tuple(sorted(effect.label for effect in self._pending_effects))
        budget = tuple(sorted(self.budget.items()))
        return hash((rows, tuple(self.log), actors, calls, effects, budget))

    def step(self, option: _Option) -> float:
        """Apply an option; return the seconds to let pass, or -1 at the end."""
        self.trace.append(option.label)
        if option.fault:
            self.budget[option.fault] -= 1
        return option.apply()

    def stop(self) -> None:
        """Kill all tasks."""
        for actor in self._actors.values():
            actor.kill()
            actor.task.cancel()

    def _call_options(self) -> list[_Option]:
        return [
            _Option(
                f"{call.actor} {call.label}: {outcome.name}",
                partial(self._resolve, call, outcome),
                outcome.fault,
            )
            for call in self._calls
            for outcome in call.outcomes
        ]

    def _effect_options(self) -> list[_Option]:
        return [
            _Option(f"lands: {item.label}", partial(self._apply_effect, item))
            for item in self._pending_effects
        ]

    def _crash_options(self) -> list[_Option]:
        return [
            _Option(f"crash of {name}", partial(self._crash, name, a), CRASH)
            for name, a in self._actors.items()
            if not a.finished
        ]

    def _resolve(self, call: _Call, outcome: CallChoice) -> float:
        self._calls.remove(call)
        result = outcome.act()
        if not call.done.done():
            call.done.set_result(result)
        return SETTLE_SECONDS

    def _apply_effect(self, item: _PendingEffect) -> float:
        self._pending_effects.remove(item)
        item.act()
        return SETTLE_SECONDS

    def _crash(self, name: str, actor: _Actor) -> float:
        actor.dead = True
        for call in [call for call in self._calls if call.actor == name]:
            self._calls.remove(call)
            self._make_pending(call)
        actor.kill()
        actor.task.cancel()
        return SETTLE_SECONDS

    def _make_pending(self, call: _Call) -> None:
        effect = next(o for o in call.outcomes if not o.fault)
        if effect.name != "read":
            self.schedule_effect(f"{call.actor} {call.label}", effect.act)

    def _let_time_pass(self, seconds: float) -> float:
        for name in self._actors:
            self._record(name, seconds)
        return seconds

    def _record(self, actor: str, entry: Hashable) -> None:
        history = self._actors[actor].history
        # A task that polls and gets the same result is in the same state as before.
        if not history or history[-1] != entry:
            history.append(entry)


class ExploredTables(TableService):
    """The table service as one explored task reaches it."""

    def __init__(self, system: ExploredSystem, actor: str) -> None:
        self._system = system
        self._actor = actor

    async def get(self, table: str, key: str) -> Result[Row | None, StoreError]:
        """Read a row."""
        tables = self._system.tables
        outcomes = [
            CallChoice("read", lambda: Ok(tables.peek(table, key))),
            CallChoice("refused", _refused, REFUSED),
        ]
        return await self._system.call(self._actor, f"get {table}/{key}", outcomes)

    async def scan(
        self, table: str, prefix: str, limit: int, after: str = ""
    ) -> Result[list[Row], StoreError]:
        """Read rows in key order."""
        system = self._system

        def rows() -> Result[list[Row], StoreError]:
            found = system.tables.snapshot().get(table, [])
            chosen = [r for r in found if r.key.startswith(prefix) and r.key > after]
            return Ok(chosen[:limit])

        outcomes = [
            CallChoice("read", rows),
            CallChoice("refused", _refused, REFUSED),
        ]
        return await system.call(self._actor, f"scan {table}/{prefix}", outcomes)

    async def commit(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        """Write all rows or none."""
        system = self._system
        label = " ".join(
            f"put {w.table}/{w.key}@{w.expect} {w.value!r}" for w in writes
        )

        def apply() -> Result[None, StoreError]:
            if system.tables.apply(writes):
                return Ok(None)
            return Error(StoreError(StoreErrorKind.CONFLICT))

        def lose() -> Result[None, StoreError]:
            system.tables.apply(writes)
            return Error(StoreError(StoreErrorKind.UNCERTAIN))

        def defer() -> Result[None, StoreError]:
            system.schedule_effect(label, apply)
            return Error(StoreError(StoreErrorKind.UNCERTAIN))

        outcomes = [
            CallChoice("written", apply),
            CallChoice("refused", _refused, REFUSED),
            CallChoice("answer lost", lose, LOST),
            CallChoice("late", defer, LATE),
        ]
        return await system.call(self._actor, label, outcomes)


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
        self.completed_runs = 0

    async def run(self, prefix: tuple[int, ...]) -> None:
        """Apply a sequence of choices, then the first option at every further step."""
        system = ExploredSystem(self._budget)
        self._setup(system)
        try:
            await self._follow(system, prefix)
        except AssertionError as error:
            steps = "\n  ".join(system.trace)
            raise ExplorationError(f"{error}\n  {steps}") from error
        finally:
            system.stop()
            await asyncio.sleep(SETTLE_SECONDS)

    async def _follow(self, system: ExploredSystem, prefix: tuple[int, ...]) -> None:
        path: list[int] = []
        await asyncio.sleep(SETTLE_SECONDS)
        while len(path) < MAX_STEPS:
            options = system.options()
            chosen = 0
            if len(path) < len(prefix):
                chosen = prefix[len(path)]
            else:
                state = system.fingerprint()
                if state in self.seen:
                    return
                self.seen.add(state)
                self.stack += [(*path, i) for i in range(len(options) - 1, 0, -1)]
            path.append(chosen)
            seconds = system.step(options[chosen])
            if seconds < 0:
                self.completed_runs += 1
                self._check(system)
                return
            await asyncio.sleep(seconds)
        raise AssertionError(f"the run did not end within {MAX_STEPS} steps")


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
        Asserts the conditions that must hold; called when all tasks have ended.
    budget : mapping of str to int
        Maximum count of each fault in one run.
    max_runs : int
        Maximum number of runs.

    Returns
    -------
    ExplorationStats
        Size of the exploration.

    Raises
    ------
    ExplorationError
        If a check failed, or there are more than ``max_runs`` runs.
    """
    explorer = _Explorer(setup, check, budget)
    runs = 0
    while explorer.stack:
        if runs >= max_runs:
            raise ExplorationError(f"more than {max_runs} runs")
        # A new loop per run makes runs with the same choices identical.
        with asyncio.Runner(loop_factory=virtual_loop) as runner:
            runner.run(explorer.run(explorer.stack.pop()))
        runs += 1
    return ExplorationStats(len(explorer.seen), runs, explorer.completed_runs)

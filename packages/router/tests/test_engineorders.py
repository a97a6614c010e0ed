"""Tests of engine orders: the real code under every interleaving of two holders."""

import asyncio
from functools import partial

from expression import Error, Ok
from teaselledge.metrics import NullMetrics
from teaselledge.platform import ANY, Write
from teaselledge.process import engineorders
from teaselledge.process.engineorders import (
    ENGINE_ORDERS_TABLE,
    EngineOrderFailure,
    EngineReconciler,
    EngineState,
    OrderRow,
    Target,
    desired_target,
)
from teaselledge.process.lease import LEASES_TABLE, Lease, LeaseRecord
from teaselledge.version.document import Endpoint, Model, Service
from teaselledge_standins.explore import (
    CRASH,
    LOST,
    REFUSED,
    WAIT,
    CallChoice,
    ExplorationError,
    explore,
)

LEASE_SECONDS = 1.0
ROUNDS = {"a": 1, "b": 2}
"""Rounds by holder: a loses the lease, b observes it and takes it over."""

FIRST = LeaseRecord("a", 1, "a/0")


def service(version, checks_fencing):
    return Service(
        "tokens",
        {"e": Endpoint("e:1", "z", models=("m",))},
        {},
        checks_fencing=checks_fencing,
        models={"m": Model(version)},
    )


class Engine:
    """Engine at which orders arrive when the explorer delivers them."""

    def __init__(self, world, checks_fencing):
        self.world = world
        self.checks = checks_fencing
        self.highest = 0
        self.target = Target("any", ())

    def apply_order(self, number, target):
        """Carry out an order, with or without a check of its fencing number."""
        if self.checks and number < self.highest:
            return Error(EngineOrderFailure.OLD_NUMBER)
        undone = number < self.highest and target != self.target
        self.highest = max(self.highest, number)
        self.target = target
        self.world.log.append((number, target.models, undone))
        return Ok(None)


class Admin:
    """Client of the engine for one holder."""

    def __init__(self, engine, actor):
        self.engine, self.actor = engine, actor

    async def state(self, address):
        """Read the state."""
        act = lambda: Ok(EngineState(self.engine.target))  # noqa: E731
        outcomes = [CallChoice("read", act)]
        return await self.engine.world.call(self.actor, "state", outcomes)

    async def set_target(self, address, number, target):
        """Send an order."""
        apply_order = partial(self.engine.apply_order, number, target)

        def lose():
            apply_order()
            return Error(EngineOrderFailure.UNCERTAIN)

        outcomes = [
            CallChoice("taken", apply_order),
            CallChoice(
                "no connection", lambda: Error(EngineOrderFailure.REFUSED), REFUSED
            ),
            CallChoice("answer lost", lose, "engine"),
        ]
        label = f"order {number} {target.models}"
        return await self.engine.world.call(self.actor, label, outcomes)


def is_terminated(world, holder):
    """Return whether no order of a holder can arrive any more.

    Orders in transit from a killed holder arrive later or never; a platform that
    removes a VM waits until its packets have expired.
    """
    if not world.is_dead(holder):
        return False
    return not any(
        f.label.startswith(f"{holder} order") for f in world._pending_effects
    )


def holders(checks_fencing, reconciler_class=EngineReconciler, versions=("1", "2")):
    def setup(world):
        engine = Engine(world, checks_fencing)
        world.engine = engine
        world.tables.apply([Write(LEASES_TABLE, "engines", FIRST.encode())])
        for actor, version in zip("ab", versions, strict=True):
            world.spawn(actor, work(world, engine, actor, version))

    async def work(world, engine, actor, version):
        tables = world.tables_of(actor)
        lease = Lease(tables, "engines", actor, LEASE_SECONDS)
        reconciler = reconciler_class(
            tables,
            lease,
            Admin(engine, actor),
            partial(is_terminated, world),
            NullMetrics(),
        )
        target_service = service(version, checks_fencing)
        for _ in range(ROUNDS[actor]):
            if await lease.acquire_or_renew() is not None:
                await reconciler.reconcile_engine("s", target_service, "e")
            await asyncio.sleep(LEASE_SECONDS)

    return setup


def check(world):
    undone = [entry for entry in world.log if entry[2]]
    assert not undone, f"an older order undid a newer one: {world.log}"
    row = world.tables.peek(ENGINE_ORDERS_TABLE, "s/e")
    if row is None:
        assert not world.log, "an order went out without its record"
        return
    record = OrderRow.decode(row.value)
    numbers = [number for number, _, _ in world.log]
    assert not numbers or max(numbers) <= record.number, "an order has no record"
    if not record.open and not world.engine.checks:
        # a closed record means that no earlier order can arrive any more; an order
        # whose connection was refused is closed too, without being carried out
        floating = [f.label for f in world._pending_effects if " order " in f.label]
        assert not floating, f"closed, but still in transit: {floating}"


def explore_holders(name, checks, budget, reconciler_class=EngineReconciler):
    found = explore(holders(checks, reconciler_class), check, budget)
    print(
        f"{name}: {found.states} states, {found.runs} runs, {found.completed_runs} ends"
    )
    return found


def test_engine_that_ignores_numbers_with_a_paused_holder_and_a_lost_store_response():
    """The holder is paused at any point, also between recording an order and sending
    it, until its lease has lapsed; one response of the store is lost. Another holder
    takes over with a different target. The paused one then sends its order to an
    engine that does not check fencing numbers.
    """
    assert explore_holders("ignoring, lost", False, {LOST: 1, WAIT: 1}).states > 2000


def test_engine_that_ignores_numbers_with_a_crash():
    """The holder is killed, and its order arrives later or never."""
    assert explore_holders("ignoring, crash", False, {CRASH: 1, WAIT: 1}).states > 500


def test_engine_that_ignores_numbers_with_a_lost_engine_response():
    """The engine carries out an order and the response is lost."""
    budget = {"engine": 1, WAIT: 1}
    assert explore_holders("ignoring, engine", False, budget).states > 500


def test_engine_that_checks_numbers():
    """The successor sends its order at once; the paused holder's order arrives
    afterwards and is refused.
    """
    assert explore_holders("checking", True, {WAIT: 1, REFUSED: 1}).states > 500


def assert_detected(reconciler_class, complaint):
    try:
        explore_holders("broken", False, {WAIT: 1}, reconciler_class)
    except ExplorationError as error:
        assert complaint in str(error), error
        return
    raise AssertionError("the broken holder passed")


class UnwaitingReconciler(EngineReconciler):
    """Sends orders at once, though the engine ignores fencing numbers."""

    def _must_wait(self, service, key, last, target):
        return False


def test_exploration_detects_a_holder_that_does_not_wait():
    """With a successor that does not wait for an order that may still arrive, the
    exploration must detect that the older order undoes the newer one.
    """
    assert_detected(UnwaitingReconciler, "undid")


class ClockTrustingReconciler(EngineReconciler):
    """Checks the lease by its clock instead of with a conditional write."""

    async def _send_order(self, service, key, address, row, target):
        held = self._lease.held
        if held is None:
            return engineorders.ReconcileResult.FAILED
        await self._admin.set_target(address, held.number + 1, target)
        entry = OrderRow(self._lease.holder, held.number + 1, target, False)
        write = Write(ENGINE_ORDERS_TABLE, key, entry.encode(), ANY)
        await self._tables.commit([write])
        return engineorders.ReconcileResult.LOADING


def test_exploration_detects_a_holder_that_trusts_its_clock():
    """A check of the lease right before sending is not enough: the holder can be
    paused between the check and the send.
    """
    assert_detected(ClockTrustingReconciler, "")


def test_target_contains_role_models_versions_and_adapters():
    target_service = Service(
        "tokens",
        {"e": Endpoint("e:1", "z", models=("b", "a"), role="prefill")},
        {},
        models={"a": Model("v1", ("french",)), "b": Model("v2")},
    )
    assert desired_target(target_service, "e") == Target(
        "prefill", ("a@v1+french", "b@v2")
    )

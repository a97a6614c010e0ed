"""Tests of orders to engines: every interleaving of two holders, on the real code."""

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
"""One holder that is overtaken, and one that watches the lease and takes it."""

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
    """An engine whose orders land when the explorer lets them."""

    def __init__(self, world, checks_fencing):
        self.world = world
        self.checks = checks_fencing
        self.highest = 0
        self.target = Target("any", ())

    def land(self, number, target):
        """Carry an order out, as the engine of this deployment does."""
        if self.checks and number < self.highest:
            return Error(EngineOrderFailure.OLD_NUMBER)
        undone = number < self.highest and target != self.target
        self.highest = max(self.highest, number)
        self.target = target
        self.world.log.append((number, target.models, undone))
        return Ok(None)


class Admin:
    """The engine as one holder reaches it."""

    def __init__(self, engine, actor):
        self.engine, self.actor = engine, actor

    async def state(self, address):
        """Read the state."""
        act = lambda: Ok(EngineState(self.engine.target))  # noqa: E731
        outcomes = [CallChoice("read", act)]
        return await self.engine.world.call(self.actor, "state", outcomes)

    async def set_target(self, address, number, target):
        """Give an order."""
        land = partial(self.engine.land, number, target)

        def lose():
            land()
            return Error(EngineOrderFailure.UNCERTAIN)

        outcomes = [
            CallChoice("taken", land),
            CallChoice(
                "no connection", lambda: Error(EngineOrderFailure.REFUSED), REFUSED
            ),
            CallChoice("answer lost", lose, "engine"),
        ]
        label = f"order {number} {target.models}"
        return await self.engine.world.call(self.actor, label, outcomes)


def gone(world, holder):
    """Return whether nothing more can come from a holder.

    What a killed holder had under way lands later or never; a platform that
    takes a VM away waits out the life of its packets.
    """
    if not world.is_dead(holder):
        return False
    return not any(f.label.startswith(f"{holder} order") for f in world._floating)


def holders(checks_fencing, orders_class=EngineReconciler, wants=("1", "2")):
    def setup(world):
        engine = Engine(world, checks_fencing)
        world.engine = engine
        world.tables.apply([Write(LEASES_TABLE, "engines", FIRST.encode())])
        for actor, version in zip("ab", wants, strict=True):
            world.spawn(actor, work(world, engine, actor, version))

    async def work(world, engine, actor, version):
        tables = world.tables_of(actor)
        lease = Lease(tables, "engines", actor, LEASE_SECONDS)
        orders = orders_class(
            tables, lease, Admin(engine, actor), partial(gone, world), NullMetrics()
        )
        wanted = service(version, checks_fencing)
        for _ in range(ROUNDS[actor]):
            if await lease.acquire_or_renew() is not None:
                await orders.reconcile_engine("s", wanted, "e")
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
        # a closed record says that nothing more comes from any earlier order;
        # one that was refused a connection is closed too, and not carried out
        floating = [f.label for f in world._floating if " order " in f.label]
        assert not floating, f"closed, but still under way: {floating}"


def explored(name, checks, budget, orders_class=EngineReconciler):
    found = explore(holders(checks, orders_class), check, budget)
    print(
        f"{name}: {found.states} states, {found.runs} runs, {found.completed_runs} ends"
    )
    return found


def test_engine_that_ignores_numbers_with_a_paused_holder_and_a_lost_answer():
    """The holder is paused anywhere, also between recording an order and sending
    it, and past the end of its lease; one answer of the store is lost. Another
    holder takes over and wants something else. The paused one then sends its
    order to an engine that does not look at numbers.
    """
    assert explored("ignoring, lost", False, {LOST: 1, WAIT: 1}).states > 2000


def test_engine_that_ignores_numbers_with_a_crash():
    """The holder is killed, and what it sent lands later or never."""
    assert explored("ignoring, crash", False, {CRASH: 1, WAIT: 1}).states > 500


def test_engine_that_ignores_numbers_and_loses_an_answer():
    """The engine carries an order out and the answer is lost."""
    budget = {"engine": 1, WAIT: 1}
    assert explored("ignoring, engine", False, budget).states > 500


def test_engine_that_checks_numbers():
    """The successor orders at once; the paused holder's order comes afterwards and
    is refused.
    """
    assert explored("checking", True, {WAIT: 1, REFUSED: 1}).states > 500


def must_see(orders_class, complaint):
    try:
        explored("broken", False, {WAIT: 1}, orders_class)
    except ExplorationError as error:
        assert complaint in str(error), error
        return
    raise AssertionError("the broken holder passed")


class HastyOrders(EngineReconciler):
    """Orders at once, though the engine ignores numbers."""

    def _must_wait(self, service, key, last, target):
        return False


def test_holder_that_does_not_wait_is_caught():
    """The same holders, except that the successor does not wait for an order that
    may still come; the exploration has to see the older order undo the newer.
    """
    must_see(HastyOrders, "undid")


class TrustingOrders(EngineReconciler):
    """Trusts its clock instead of the record's condition."""

    async def _order(self, service, key, address, row, target):
        held = self._lease.held
        if held is None:
            return engineorders.ReconcileResult.FAILED
        await self._admin.set_target(address, held.number + 1, target)
        entry = OrderRow(self._lease.holder, held.number + 1, target, False)
        write = Write(ENGINE_ORDERS_TABLE, key, entry.encode(), ANY)
        await self._tables.commit([write])
        return engineorders.ReconcileResult.LOADING


def test_holder_that_trusts_its_clock_is_caught():
    """Looking at the lease right before the send is not enough: the pause comes
    between the look and the send.
    """
    must_see(TrustingOrders, "")


def test_target_names_role_models_versions_and_adapters():
    wanted = Service(
        "tokens",
        {"e": Endpoint("e:1", "z", models=("b", "a"), role="prefill")},
        {},
        models={"a": Model("v1", ("french",)), "b": Model("v2")},
    )
    assert desired_target(wanted, "e") == Target("prefill", ("a@v1+french", "b@v2"))

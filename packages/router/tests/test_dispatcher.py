"""Tests of one dispatcher alone."""

import asyncio
import math

from hypothesis import given
from hypothesis import strategies as st
from teaselledge.metrics import NullMetrics
from teaselledge.process import dispatcher as dispatcher_module
from teaselledge.process.dispatcher import (
    ACCEPT_SECONDS,
    INGRESS_TIMEOUT_SECONDS,
    Dispatcher,
)
from teaselledge.process.estimate import LARGEST_COST_RATIO, clamp_cost
from teaselledge.process.holding import digest_of_requests
from teaselledge.process.latency import LATENCY_POLICIES, get_latency_policy_by_name
from teaselledge.process.member import Member
from teaselledge.process.mesh import Origin
from teaselledge.process.placement import Placement, Shard
from teaselledge.version.document import (
    Document,
    Endpoint,
    Kind,
    Organisation,
    Service,
    Zone,
)
from teaselledge_standins.recorder import RecordingMesh
from teaselledge_wire.gen.router.ttypes import (
    Accept,
    Decline,
    Done,
    Progress,
    Register,
    Running,
    Snapshot,
    Withdraw,
)

VIRTUAL_CLOCK = True

INGRESS = Origin("vm-1", 11)
KINDS = {
    "lookup": Kind(("GET",), ("lookup",), interactive=True, cost_hint=20),
    "summary": Kind(("POST",), ("summary",), cost_hint=400),
}


def document(slots=2, cost="seconds"):
    endpoints = {"e-0": Endpoint("e-0:1", "here", slots)}
    return Document(
        {"here": Zone("region")},
        {name: Organisation(1.0, (), ()) for name in ("amber", "birch")},
        {"service": Service(cost, endpoints, KINDS)},
    )


def make(slots=2, cost="seconds"):
    mesh = RecordingMesh()
    placement = Placement(lambda: [Member("own", "here", "region")])
    shard = Shard("service", "here")
    made = Dispatcher(
        shard, mesh, document(slots, cost), placement, NullMetrics(), incarnation=2
    )
    return made, mesh


def register(number, name="amber", kind="summary"):
    hint = KINDS[kind].cost_hint
    return Register(number, name, kind, hint, 0.0, 600.0, 0, None, True, [])


def grants(mesh):
    return {sent.body.request: sent.body for sent in mesh.pop_sent("grant")}


async def pass_time(dispatcher, seconds):
    await asyncio.sleep(seconds)
    dispatcher.tick(asyncio.get_running_loop().time())


async def test_neediest_goes_first():
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1, "amber"))
    dispatcher.handle_register(INGRESS, register(2, "amber"))
    dispatcher.handle_register(INGRESS, register(3, "birch"))
    dispatcher.usage.charge("amber", 1.0)
    first = grants(mesh)
    assert list(first) == [1]
    dispatcher.handle_accept(INGRESS, Accept(first[1].grant))
    dispatcher.handle_done(INGRESS, Done(first[1].grant, 400.0, False, 1.0, 1))
    assert list(grants(mesh)) == [3]


async def test_unanswered_grant_returns_to_the_pool():
    """A grant is lost on its way. Its slot would stay empty for ever."""
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    assert list(grants(mesh)) == [1]
    dispatcher.handle_register(INGRESS, register(2))
    await pass_time(dispatcher, ACCEPT_SECONDS + 0.1)
    assert list(grants(mesh)) == [2]
    assert dispatcher.usage.local_usage("amber") == 400


async def test_late_accept_is_counted_again():
    """A grant expires, and its acceptance arrives afterwards: the request runs.
    The dispatcher must learn of it, or the endpoint gets one too many.
    """
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    granted = grants(mesh)[1]
    await pass_time(dispatcher, ACCEPT_SECONDS + 0.1)
    assert dispatcher.free_slots == 1
    dispatcher.handle_accept(INGRESS, Accept(granted.grant))
    assert mesh.pop_sent("snapshot_reply")[-1].body.wanted
    running = Running(1, granted.grant, "amber", "e-0", 400.0, 0.0, "summary")
    dispatcher.handle_snapshot(INGRESS, Snapshot([], [running], None, None, True))
    assert (dispatcher.free_slots, dispatcher.running) == (0, 1)
    dispatcher.handle_done(INGRESS, Done(granted.grant, 500.0, False, 1.0, 1))
    assert (dispatcher.free_slots, dispatcher.running) == (1, 0)


async def test_declined_grant_is_not_charged():
    """The caller left while the grant was on its way."""
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    dispatcher.handle_decline(INGRESS, Decline(grants(mesh)[1].grant))
    assert (dispatcher.free_slots, dispatcher.usage.local_usage("amber")) == (1, 0)


async def test_messages_about_unknown_grants_change_nothing():
    """After a restart an ingress answers grants of the earlier dispatcher, whose
    numbers the new one may use for others.
    """
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    number = grants(mesh)[1].grant
    stranger = Origin("vm-2", 5)
    dispatcher.handle_decline(stranger, Decline(number))
    dispatcher.handle_done(stranger, Done(number, 1e6, False, 1.0, 1))
    dispatcher.handle_done(INGRESS, Done(number + 7, 1e6, False, 1.0, None))
    assert (dispatcher.free_slots, dispatcher.running) == (0, 1)
    assert dispatcher.usage.local_usage("amber") == 400


async def test_silent_ingress_frees_its_slots():
    """A router dies with requests that wait and run. Nobody tells their end."""
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    dispatcher.handle_accept(INGRESS, Accept(grants(mesh)[1].grant))
    dispatcher.handle_register(INGRESS, register(2))
    await pass_time(dispatcher, INGRESS_TIMEOUT_SECONDS + 0.1)
    assert (dispatcher.free_slots, dispatcher.running, dispatcher.waiting) == (1, 0, 0)


async def test_new_life_of_an_ingress_frees_the_slots_of_the_old():
    """A router restarts empty within a second; its requests are gone."""
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    dispatcher.handle_accept(INGRESS, Accept(grants(mesh)[1].grant))
    dispatcher.handle_register(Origin("vm-1", 12), register(1, "birch"))
    (granted,) = grants(mesh).values()
    assert granted.incarnation == 12


async def test_new_dispatcher_learns_what_waits_and_runs():
    """The dispatcher's VM dies and another takes the shard over, knowing
    nothing. Waiting requests must not be forgotten nor slots given twice.
    """
    dispatcher, mesh = make(slots=1)
    digest = digest_of_requests([1, 2])
    dispatcher.handle_snapshot(INGRESS, Snapshot([], [], 2, digest.value, False))
    assert mesh.pop_sent("snapshot_reply")[-1].body.wanted
    running = Running(1, 99, "amber", "e-0", 400.0, 0.0, "summary")
    full = Snapshot([register(2)], [running], None, None, True)
    dispatcher.handle_snapshot(INGRESS, full)
    assert grants(mesh) == {}
    dispatcher.handle_snapshot(INGRESS, Snapshot([], [], 2, digest.value, False))
    assert not mesh.pop_sent("snapshot_reply")[-1].body.wanted
    dispatcher.handle_done(INGRESS, Done(99, 450.0, False, 1.0, 1))
    (granted,) = grants(mesh).values()
    assert granted.request == 2
    # what the earlier dispatcher charged is in its counter, not in this one
    assert dispatcher.usage.local_usage("amber") == 50 + granted.charged


async def test_snapshot_ends_what_is_gone():
    """The end of a request or a withdrawal is lost."""
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    dispatcher.handle_accept(INGRESS, Accept(grants(mesh)[1].grant))
    dispatcher.handle_register(INGRESS, register(2))
    dispatcher.handle_snapshot(INGRESS, Snapshot([], [], None, None, True))
    assert (dispatcher.free_slots, dispatcher.waiting) == (1, 0)


async def test_moved_request_leaves_its_charge():
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    number = grants(mesh)[1].grant
    dispatcher.handle_done(INGRESS, Done(number, 0.0, False, 0.0, 1, True))
    assert (dispatcher.free_slots, dispatcher.usage.local_usage("amber")) == (1, 400)


async def test_bad_costs_do_not_distort_the_shares():
    """An endpoint reports a cost that is no number, negative or absurd."""
    for cost, counted in (
        (math.nan, 400),
        (-5.0, 400),
        (math.inf, 400),
        (None, 400),
        (1e300, 400 * LARGEST_COST_RATIO),
    ):
        dispatcher, mesh = make(slots=1)
        dispatcher.handle_register(INGRESS, register(1))
        number = grants(mesh)[1].grant
        dispatcher.handle_progress(INGRESS, Progress(number, 1, math.nan))
        dispatcher.handle_done(INGRESS, Done(number, cost, False, 1.0, 1))
        assert dispatcher.usage.local_usage("amber") == counted
        assert dispatcher.free_slots == 1


@given(st.floats(), st.floats(0, 1e6), st.floats(0.001, 1e4))
def test_bounded_cost_is_always_sane(cost, charged, hint):
    bounded = clamp_cost(cost, charged, hint)
    assert bounded == charged or 0 <= bounded <= LARGEST_COST_RATIO * hint


async def test_malformed_registration_is_refused():
    dispatcher, mesh = make()
    for change in (
        {"organisation": "nobody"},
        {"kind": "unheard-of"},
        {"cost_hint": math.nan},
        {"cost_hint": -1.0},
        {"deadline": math.inf},
        {"waited": None},
    ):
        body = register(1)
        for name, value in change.items():
            setattr(body, name, value)
        dispatcher.handle_register(INGRESS, body)
    assert (dispatcher.waiting, grants(mesh)) == (0, {})


async def test_progress_charges_a_stream_that_outgrows_its_hint():
    """A hint is ten times too low. Until the stream ends the organisation would
    look as needy as if it had got a tenth.
    """
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    number = grants(mesh)[1].grant
    dispatcher.handle_progress(INGRESS, Progress(number, 1, 3000.0))
    assert dispatcher.usage.local_usage("amber") == 3000
    dispatcher.handle_progress(INGRESS, Progress(number, 1, 100.0))
    dispatcher.handle_done(INGRESS, Done(number, 4000.0, False, 1.0, 1))
    assert dispatcher.usage.local_usage("amber") == 4000


async def test_wrong_hints_are_learnt():
    dispatcher, mesh = make(slots=1)
    charged = []
    for number in range(1, 80):
        dispatcher.handle_register(INGRESS, register(number))
        granted = grants(mesh)[number]
        charged.append(granted.charged)
        dispatcher.handle_done(INGRESS, Done(granted.grant, 4000.0, False, 1.0, number))
    assert charged[0] == 400
    assert 3900 < charged[-1] <= 4000


async def test_dispatcher_of_a_shard_that_is_not_its_own_uses_few_slots():
    """Views differ, and two VMs dispatch for one shard. Each would fill all
    slots, and the endpoints would get twice what they can run.
    """
    dispatcher, mesh = make(slots=16)
    dispatcher.set_assigned(False)
    for number in range(1, 17):
        dispatcher.handle_register(INGRESS, register(number))
    assert len(grants(mesh)) == 2
    dispatcher.set_assigned(True)
    assert len(grants(mesh)) == 14


async def test_lookup_starts_above_the_slots():
    """Summaries hold every slot of an engine; a lookup arrives."""
    dispatcher, mesh = make(slots=2, cost="tokens")
    for number in (1, 2, 3):
        dispatcher.handle_register(INGRESS, register(number))
    assert list(grants(mesh)) == [1, 2]
    dispatcher.handle_register(INGRESS, register(4, "birch", "lookup"))
    assert list(grants(mesh)) == [4]
    dispatcher.handle_register(INGRESS, register(5, "birch", "lookup"))
    assert grants(mesh) == {}


async def test_lookups_buy_no_more_than_the_share():
    """An organisation that is far ahead calls all its requests lookups."""
    dispatcher, mesh = make(slots=2, cost="tokens")
    for number in (1, 2, 3):
        dispatcher.handle_register(INGRESS, register(number, "birch"))
    grants(mesh)
    dispatcher.usage.charge("amber", 1e5)
    dispatcher.handle_register(INGRESS, register(4, "amber", "summary"))
    dispatcher.usage.charge("amber", 1e5)
    dispatcher.handle_register(INGRESS, register(5, "amber", "lookup"))
    assert grants(mesh) == {}


async def test_preemption_asks_for_the_stream_of_the_most_served():
    policy = dispatcher_module.LATENCY_POLICY
    dispatcher_module.LATENCY_POLICY = "preempt"
    try:
        dispatcher, mesh = make(slots=2, cost="tokens")
    finally:
        dispatcher_module.LATENCY_POLICY = policy
    dispatcher.handle_register(INGRESS, register(1, "amber"))
    dispatcher.handle_register(INGRESS, register(2, "birch"))
    granted = grants(mesh)
    for grant in granted.values():
        dispatcher.handle_accept(INGRESS, Accept(grant.grant))
    dispatcher.usage.charge("birch", 1000)
    dispatcher.handle_register(INGRESS, register(3, "amber", "lookup"))
    (asked,) = mesh.pop_sent("preempt")
    assert asked.body.grant == granted[2].grant
    dispatcher.handle_done(INGRESS, Done(granted[2].grant, 100.0, False, 1.0, 2))
    assert list(grants(mesh)) == [3]


def test_every_latency_policy_is_found_and_grants_when_free():
    for name in LATENCY_POLICIES:
        policy = get_latency_policy_by_name(name)
        assert policy.admission(free=8, slots=8, over_limit=0).value == "any"
        assert policy.admission(free=0, slots=8, over_limit=8).value == "none"


async def test_withdrawn_request_is_not_granted():
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    number = grants(mesh)[1].grant
    dispatcher.handle_register(INGRESS, register(2))
    dispatcher.handle_withdraw(INGRESS, Withdraw(2))
    dispatcher.handle_done(INGRESS, Done(number, 1.0, False, 1.0, 1))
    assert (dispatcher.free_slots, dispatcher.waiting, grants(mesh)) == (1, 0, {})

"""Tests of one dispatcher alone."""

import asyncio
import math

from hypothesis import given
from hypothesis import strategies as st
from teaselledge.metrics import NullMetrics
from teaselledge.process import dispatcher as dispatcher_module
from teaselledge.process.dispatcher import (
    ACCEPT_TIMEOUT_SECONDS,
    INGRESS_TIMEOUT_SECONDS,
    Dispatcher,
)
from teaselledge.process.estimate import MAX_COST_RATIO, clamp_cost
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


async def test_organisation_with_lowest_usage_goes_first():
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


async def test_unanswered_grant_expires():
    """A grant is lost on the network. Without a timeout its slot would stay unused."""
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    assert list(grants(mesh)) == [1]
    dispatcher.handle_register(INGRESS, register(2))
    await pass_time(dispatcher, ACCEPT_TIMEOUT_SECONDS + 0.1)
    assert list(grants(mesh)) == [2]
    assert dispatcher.usage.local_usage("amber") == 400


async def test_request_accepted_after_expiry_is_counted():
    """A grant expires and its acceptance arrives afterwards, so the request runs.
    If it were not counted, the endpoint would get a request above its slots.
    """
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    granted = grants(mesh)[1]
    await pass_time(dispatcher, ACCEPT_TIMEOUT_SECONDS + 0.1)
    assert dispatcher.free_slots == 1
    dispatcher.handle_accept(INGRESS, Accept(granted.grant))
    assert mesh.pop_sent("snapshot_reply")[-1].body.wanted
    running = Running(1, granted.grant, "amber", "e-0", 400.0, 0.0, "summary")
    dispatcher.handle_snapshot(INGRESS, Snapshot([], [running], None, None, True))
    assert (dispatcher.free_slots, dispatcher.running) == (0, 1)
    dispatcher.handle_done(INGRESS, Done(granted.grant, 500.0, False, 1.0, 1))
    assert (dispatcher.free_slots, dispatcher.running) == (1, 0)


async def test_declined_grant_is_not_charged():
    """The caller disconnected before the grant arrived."""
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    dispatcher.handle_decline(INGRESS, Decline(grants(mesh)[1].grant))
    assert (dispatcher.free_slots, dispatcher.usage.local_usage("amber")) == (1, 0)


async def test_messages_about_unknown_grants_change_nothing():
    """After a restart of the dispatcher an ingress answers grants of the previous
    one, whose numbers the new one may have assigned to other requests.
    """
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    number = grants(mesh)[1].grant
    other_ingress = Origin("vm-2", 5)
    dispatcher.handle_decline(other_ingress, Decline(number))
    dispatcher.handle_done(other_ingress, Done(number, 1e6, False, 1.0, 1))
    dispatcher.handle_done(INGRESS, Done(number + 7, 1e6, False, 1.0, None))
    assert (dispatcher.free_slots, dispatcher.running) == (0, 1)
    assert dispatcher.usage.local_usage("amber") == 400


async def test_requests_of_an_ingress_that_timed_out_are_removed():
    """A router fails while its requests wait and run, and never reports their end."""
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    dispatcher.handle_accept(INGRESS, Accept(grants(mesh)[1].grant))
    dispatcher.handle_register(INGRESS, register(2))
    await pass_time(dispatcher, INGRESS_TIMEOUT_SECONDS + 0.1)
    assert (dispatcher.free_slots, dispatcher.running, dispatcher.waiting) == (1, 0, 0)


async def test_new_incarnation_of_an_ingress_frees_the_slots_of_the_previous_one():
    """A router restarts within a second, without its earlier requests."""
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    dispatcher.handle_accept(INGRESS, Accept(grants(mesh)[1].grant))
    dispatcher.handle_register(Origin("vm-1", 12), register(1, "birch"))
    (granted,) = grants(mesh).values()
    assert granted.incarnation == 12


async def test_new_dispatcher_restores_requests_from_a_snapshot():
    """The VM of the dispatcher fails, and a new dispatcher starts without state.
    It must not lose waiting requests or grant occupied slots again.
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
    # the counter of the previous dispatcher contains its charges
    assert dispatcher.usage.local_usage("amber") == 50 + granted.charged


async def test_snapshot_removes_requests_that_it_does_not_list():
    """The message with the end of a request, or its withdrawal, is lost."""
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    dispatcher.handle_accept(INGRESS, Accept(grants(mesh)[1].grant))
    dispatcher.handle_register(INGRESS, register(2))
    dispatcher.handle_snapshot(INGRESS, Snapshot([], [], None, None, True))
    assert (dispatcher.free_slots, dispatcher.waiting) == (1, 0)


async def test_charge_of_a_moved_request_remains():
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    number = grants(mesh)[1].grant
    dispatcher.handle_done(INGRESS, Done(number, 0.0, False, 0.0, 1, True))
    assert (dispatcher.free_slots, dispatcher.usage.local_usage("amber")) == (1, 400)


async def test_invalid_costs_do_not_distort_the_usage():
    """An endpoint reports a cost that is not finite, negative, missing or too large."""
    for cost, counted in (
        (math.nan, 400),
        (-5.0, 400),
        (math.inf, 400),
        (None, 400),
        (1e300, 400 * MAX_COST_RATIO),
    ):
        dispatcher, mesh = make(slots=1)
        dispatcher.handle_register(INGRESS, register(1))
        number = grants(mesh)[1].grant
        dispatcher.handle_progress(INGRESS, Progress(number, 1, math.nan))
        dispatcher.handle_done(INGRESS, Done(number, cost, False, 1.0, 1))
        assert dispatcher.usage.local_usage("amber") == counted
        assert dispatcher.free_slots == 1


@given(st.floats(), st.floats(0, 1e6), st.floats(0.001, 1e4))
def test_clamped_cost_is_in_range(cost, charged, hint):
    clamped = clamp_cost(cost, charged, hint)
    assert clamped == charged or 0 <= clamped <= MAX_COST_RATIO * hint


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
    """A hint is ten times too low. Without charges before the end of the stream,
    the organisation would be treated as if it had used a tenth.
    """
    dispatcher, mesh = make(slots=1)
    dispatcher.handle_register(INGRESS, register(1))
    number = grants(mesh)[1].grant
    dispatcher.handle_progress(INGRESS, Progress(number, 1, 3000.0))
    assert dispatcher.usage.local_usage("amber") == 3000
    dispatcher.handle_progress(INGRESS, Progress(number, 1, 100.0))
    dispatcher.handle_done(INGRESS, Done(number, 4000.0, False, 1.0, 1))
    assert dispatcher.usage.local_usage("amber") == 4000


async def test_wrong_hints_are_corrected():
    dispatcher, mesh = make(slots=1)
    charged = []
    for number in range(1, 80):
        dispatcher.handle_register(INGRESS, register(number))
        granted = grants(mesh)[number]
        charged.append(granted.charged)
        dispatcher.handle_done(INGRESS, Done(granted.grant, 4000.0, False, 1.0, number))
    assert charged[0] == 400
    assert 3900 < charged[-1] <= 4000


async def test_unassigned_dispatcher_uses_few_slots():
    """Routers disagree on the membership, and two VMs dispatch for one shard. If
    each filled all slots, the endpoints would get twice what they can run.
    """
    dispatcher, mesh = make(slots=16)
    dispatcher.set_assigned(False)
    for number in range(1, 17):
        dispatcher.handle_register(INGRESS, register(number))
    assert len(grants(mesh)) == 2
    dispatcher.set_assigned(True)
    assert len(grants(mesh)) == 14


async def test_interactive_request_starts_over_the_slots():
    """Summaries occupy every slot of an engine when a lookup arrives."""
    dispatcher, mesh = make(slots=2, cost="tokens")
    for number in (1, 2, 3):
        dispatcher.handle_register(INGRESS, register(number))
    assert list(grants(mesh)) == [1, 2]
    dispatcher.handle_register(INGRESS, register(4, "birch", "lookup"))
    assert list(grants(mesh)) == [4]
    dispatcher.handle_register(INGRESS, register(5, "birch", "lookup"))
    assert grants(mesh) == {}


async def test_interactive_requests_do_not_exceed_the_share():
    """An organisation with a large lead declares all its requests interactive."""
    dispatcher, mesh = make(slots=2, cost="tokens")
    for number in (1, 2, 3):
        dispatcher.handle_register(INGRESS, register(number, "birch"))
    grants(mesh)
    dispatcher.usage.charge("amber", 1e5)
    dispatcher.handle_register(INGRESS, register(4, "amber", "summary"))
    dispatcher.usage.charge("amber", 1e5)
    dispatcher.handle_register(INGRESS, register(5, "amber", "lookup"))
    assert grants(mesh) == {}


async def test_stream_of_the_highest_usage_is_preempted():
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
    (preempted,) = mesh.pop_sent("preempt")
    assert preempted.body.grant == granted[2].grant
    dispatcher.handle_done(INGRESS, Done(granted[2].grant, 100.0, False, 1.0, 2))
    assert list(grants(mesh)) == [3]


def test_every_latency_policy_admits_any_request_into_free_slots():
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

"""Tests of a single ingress."""

import asyncio

from teaselledge.errors import ErrorKind, Ran
from teaselledge.process.holding import digest_of_requests
from teaselledge.process.ingress import (
    REPLY_TIMEOUT_SECONDS,
    Ingress,
    IngressLimits,
    SlotRequest,
)
from teaselledge.process.member import Member
from teaselledge.process.mesh import Origin, make_message
from teaselledge.process.placement import Shard, select_dispatcher
from teaselledge.version.document import (
    Document,
    Endpoint,
    Kind,
    Organisation,
    Service,
    Version,
    Zone,
)
from teaselledge_standins.recorder import RecordingMesh
from teaselledge_wire.gen.router.ttypes import Grant, Preempt, SnapshotReply

VIRTUAL_CLOCK = True

DOCUMENT = Document(
    {"here": Zone("region")},
    {"amber": Organisation(1.0, (), (), 3), "birch": Organisation(1.0, (), (), 50)},
    {
        "service": Service(
            "tokens",
            {"e-0": Endpoint("e-0:1", "here", 2)},
            {"work": Kind(("POST",), ("work",))},
        )
    },
)
OTHER = Origin("vm-2", 22)


class IngressHarness:
    """Ingress on a mesh that only records what is sent."""

    def __init__(self, limits=None):
        self.members = [Member("vm-2", "here", "region", incarnation=22)]
        self.mesh = RecordingMesh("vm-1", 11)
        self.ingress = Ingress(
            "here",
            self.mesh,
            lambda: Version(1, DOCUMENT),
            lambda: self.members,
            limits,
        )

    def acquire(self, organisation="amber", seconds=60.0, **options):
        """Return a task that waits for a slot."""
        deadline = asyncio.get_running_loop().time() + seconds
        slot_request = SlotRequest(
            organisation, "service", "work", 10.0, deadline, **options
        )
        return asyncio.create_task(self.ingress.acquire(slot_request))

    def grant(self, request, number=1, origin=OTHER, incarnation=11, zone="here"):
        """Deliver a grant."""
        body = Grant(request, number, "e-0", 10.0, incarnation)
        self.mesh.deliver(origin, make_message("grant", body, "service", zone))

    def requests(self):
        """Return the numbers of the requests registered since the last call."""
        return [s.body.request for s in self.mesh.pop_sent("registration")]


async def test_second_grant_is_declined():
    """A request was lent to a dispatcher of another zone, a message was lost,
    and both dispatchers grant it. The request must run once.
    """
    harness = IngressHarness()
    task = harness.acquire()
    await asyncio.sleep(0)
    (number,) = harness.requests()
    harness.grant(number, 1)
    harness.grant(number, 7, Origin("vm-3", 33), zone="there")
    granted = (await task).ok
    assert (granted.grant, granted.dispatcher) == (1, OTHER)
    assert [s.body.grant for s in harness.mesh.pop_sent("accept")] == [1]
    declined = harness.mesh.pop_sent("decline")
    assert [(s.vm, s.body.grant) for s in declined] == [("vm-3", 7)]


async def test_request_is_withdrawn_from_its_dispatcher_when_another_grants_it():
    harness = IngressHarness()
    task = harness.acquire()
    await asyncio.sleep(0)
    (number,) = harness.requests()
    harness.grant(number, 7, Origin("vm-3", 33), zone="there")
    await task
    withdrawn = harness.mesh.pop_sent("withdraw")
    assert [(s.vm, s.body.request) for s in withdrawn] == [("vm-2", number)]


async def test_grant_for_an_earlier_incarnation_is_declined():
    """After a restart a router numbers its requests from 1 again. A grant for
    request 1 of the earlier process must not start request 1 of this one: its
    endpoint may belong to another service.
    """
    harness = IngressHarness()
    task = harness.acquire(seconds=1.0)
    await asyncio.sleep(0)
    (number,) = harness.requests()
    harness.grant(number, incarnation=10)
    assert len(harness.mesh.pop_sent("decline")) == 1
    assert (await task).error.kind is ErrorKind.QUEUE_TIMEOUT


async def test_grant_after_the_deadline_is_declined():
    harness = IngressHarness()
    task = harness.acquire(seconds=1.0)
    await asyncio.sleep(0)
    (number,) = harness.requests()
    fault = (await task).error
    assert (fault.kind, fault.ran) == (ErrorKind.QUEUE_TIMEOUT, Ran.NO)
    assert [s.body.request for s in harness.mesh.pop_sent("withdraw")] == [number]
    harness.grant(number)
    assert len(harness.mesh.pop_sent("decline")) == 1
    assert (harness.ingress.waiting, harness.ingress.running) == (0, 0)


async def test_grant_in_the_loop_iteration_of_a_cancellation_is_declined():
    """The caller disconnects in the same loop iteration in which its grant
    arrives. Otherwise nothing would run the request or free the slot.
    """
    harness = IngressHarness()
    task = harness.acquire()
    await asyncio.sleep(0)
    (number,) = harness.requests()
    harness.grant(number)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert harness.ingress.running == 0
    assert len(harness.mesh.pop_sent("decline")) == 1


async def test_flood_of_one_organisation_is_refused_at_once():
    """One organisation sends far more than its share. It must not fill the
    router, and its requests must be refused before their deadlines.
    """
    harness = IngressHarness(IngressLimits(waiting=5))
    tasks = [harness.acquire() for _ in range(10)]
    await asyncio.sleep(0)
    refused = [t.result().error for t in tasks if t.done()]
    assert [f.kind for f in refused] == [ErrorKind.ORGANISATION_LIMIT] * 7
    assert all(f.ran is Ran.NO for f in refused)
    others = [harness.acquire("birch") for _ in range(4)]
    await asyncio.sleep(0)
    kinds = [t.result().error.kind for t in others if t.done()]
    assert kinds == [ErrorKind.ROUTER_FULL] * 2
    assert harness.ingress.waiting == 5
    for task in [*tasks, *others]:
        task.cancel()
    await asyncio.gather(*tasks, *others, return_exceptions=True)
    assert harness.ingress.waiting == 0
    retried = harness.acquire()
    await asyncio.sleep(0)
    assert not retried.done()
    retried.cancel()


async def test_waiting_bodies_are_bounded_in_bytes():
    harness = IngressHarness(IngressLimits(waiting_bytes=1000))
    tasks = [harness.acquire(body_bytes=600) for _ in range(2)]
    await asyncio.sleep(0)
    assert tasks[1].result().error.kind is ErrorKind.ROUTER_FULL
    tasks[0].cancel()


async def test_request_that_all_endpoints_failed_is_refused_at_once():
    harness = IngressHarness()
    result = await harness.acquire(excluded=("e-0",))
    assert result.error.kind is ErrorKind.NO_ENDPOINT


async def test_requests_move_at_once_when_the_dispatcher_changes():
    """The dispatcher's VM is gone. Waiting and running requests must be reported
    to the new dispatcher before the next digest.
    """
    harness = IngressHarness()
    runner = asyncio.create_task(harness.ingress.run())
    tasks = [harness.acquire(), harness.acquire()]
    await asyncio.sleep(0.01)
    first, second = harness.requests()
    harness.grant(first, 5)
    granted = (await tasks[0]).ok
    harness.members = [Member("vm-4", "here", "region", incarnation=44)]
    await asyncio.sleep(0.25)
    (moved,) = [s for s in harness.mesh.pop_sent("snapshot") if s.body.full]
    assert moved.vm == "vm-4"
    assert [w.request for w in moved.body.waiting] == [second]
    assert [r.request for r in moved.body.running] == [first]
    (done,) = harness.mesh.pop_sent("done")
    assert (done.vm, done.body.moved) == ("vm-2", True)
    harness.ingress.release(granted, 12.0, False)
    (done,) = harness.mesh.pop_sent("done")
    assert (done.vm, done.body.cost, done.body.moved) == ("vm-4", 12.0, None)
    runner.cancel()
    tasks[1].cancel()


async def test_dispatcher_that_does_not_answer_is_avoided():
    """After a network split in one direction a dispatcher's heartbeats arrive,
    but it receives nothing. Requests would wait there until their deadlines.
    """
    harness = IngressHarness()
    both = [*harness.members, Member("vm-4", "here", "region", incarnation=44)]
    harness.members = both
    shard = Shard("service", "here")
    unreachable = select_dispatcher(DOCUMENT, shard, both).vm
    runner = asyncio.create_task(harness.ingress.run())
    task = harness.acquire()
    await asyncio.sleep(REPLY_TIMEOUT_SECONDS + 1.5)
    full = [s for s in harness.mesh.pop_sent("snapshot") if s.body.full]
    assert [s.vm for s in full] == [({"vm-2", "vm-4"} - {unreachable}).pop()]
    # the unreachable one is probed, and used again when it replies
    await asyncio.sleep(1.1)
    assert unreachable in {s.vm for s in harness.mesh.pop_sent("snapshot")}
    reply = make_message("snapshot_reply", SnapshotReply(False), "service", "here")
    harness.mesh.deliver(Origin(unreachable, 1), reply)
    await asyncio.sleep(0.25)
    full = [s for s in harness.mesh.pop_sent("snapshot") if s.body.full]
    assert [s.vm for s in full] == [unreachable]
    runner.cancel()
    task.cancel()


async def test_digest_covers_waiting_and_running_requests():
    harness = IngressHarness()
    tasks = [harness.acquire(), harness.acquire()]
    await asyncio.sleep(0)
    first, second = harness.requests()
    harness.grant(first)
    await tasks[0]
    harness.ingress.send_digests()
    (sent,) = harness.mesh.pop_sent("snapshot")
    digest = digest_of_requests([first, second])
    assert (sent.body.count, sent.body.digest) == (2, digest.value)
    assert (sent.body.waiting, sent.body.running) == ([], [])
    tasks[1].cancel()


async def test_progress_is_reported_when_the_cost_exceeds_the_charge():
    harness = IngressHarness()
    task = harness.acquire()
    await asyncio.sleep(0)
    harness.grant(harness.requests()[0])
    granted = (await task).ok
    for cost in range(0, 200, 5):
        harness.ingress.report_cost(granted, float(cost))
    assert [s.body.cost for s in harness.mesh.pop_sent("progress")] == [
        20,
        35,
        55,
        85,
        130,
    ]


async def test_preemption_is_signalled_to_the_stream():
    harness = IngressHarness()
    task = harness.acquire()
    await asyncio.sleep(0)
    harness.grant(harness.requests()[0], 9)
    granted = (await task).ok
    harness.mesh.deliver(OTHER, make_message("preempt", Preempt(8), "service", "here"))
    assert not granted.preempted.is_set()
    harness.mesh.deliver(OTHER, make_message("preempt", Preempt(9), "service", "here"))
    assert granted.preempted.is_set()

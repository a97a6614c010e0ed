"""Tests of one ingress alone."""

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


class Bench:
    """An ingress with a mesh that delivers nothing by itself."""

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

    def ask(self, organisation="amber", seconds=60.0, **options):
        """Ask for a slot and return the task that waits for it."""
        deadline = asyncio.get_running_loop().time() + seconds
        ticket = SlotRequest(organisation, "service", "work", 10.0, deadline, **options)
        return asyncio.create_task(self.ingress.acquire(ticket))

    def grant(self, request, number=1, origin=OTHER, incarnation=11, zone="here"):
        """Deliver a grant."""
        body = Grant(request, number, "e-0", 10.0, incarnation)
        self.mesh.deliver(origin, make_message("grant", body, "service", zone))

    def requests(self):
        """Return the numbers of the requests that were registered since."""
        return [s.body.request for s in self.mesh.pop_sent("registration")]


async def test_second_grant_is_declined():
    """A request was lent to another zone, a message was lost, and both
    dispatchers grant it. It must run once.
    """
    bench = Bench()
    task = bench.ask()
    await asyncio.sleep(0)
    (number,) = bench.requests()
    bench.grant(number, 1)
    bench.grant(number, 7, Origin("vm-3", 33), zone="there")
    granted = (await task).ok
    assert (granted.grant, granted.dispatcher) == (1, OTHER)
    assert [s.body.grant for s in bench.mesh.pop_sent("accept")] == [1]
    declined = bench.mesh.pop_sent("decline")
    assert [(s.vm, s.body.grant) for s in declined] == [("vm-3", 7)]


async def test_own_dispatcher_hears_of_a_grant_from_elsewhere():
    bench = Bench()
    task = bench.ask()
    await asyncio.sleep(0)
    (number,) = bench.requests()
    bench.grant(number, 7, Origin("vm-3", 33), zone="there")
    await task
    withdrawn = bench.mesh.pop_sent("withdraw")
    assert [(s.vm, s.body.request) for s in withdrawn] == [("vm-2", number)]


async def test_grant_for_an_earlier_life_is_declined():
    """A router restarts and numbers its requests anew. A grant for the first
    request of its earlier life must not start the first of this one: its
    endpoint may belong to another service.
    """
    bench = Bench()
    task = bench.ask(seconds=1.0)
    await asyncio.sleep(0)
    (number,) = bench.requests()
    bench.grant(number, incarnation=10)
    assert len(bench.mesh.pop_sent("decline")) == 1
    assert (await task).error.kind is ErrorKind.QUEUE_TIMEOUT


async def test_grant_after_the_deadline_is_declined():
    bench = Bench()
    task = bench.ask(seconds=1.0)
    await asyncio.sleep(0)
    (number,) = bench.requests()
    fault = (await task).error
    assert (fault.kind, fault.ran) == (ErrorKind.QUEUE_TIMEOUT, Ran.NO)
    assert [s.body.request for s in bench.mesh.pop_sent("withdraw")] == [number]
    bench.grant(number)
    assert len(bench.mesh.pop_sent("decline")) == 1
    assert (bench.ingress.waiting, bench.ingress.running) == (0, 0)


async def test_grant_in_the_turn_of_a_cancellation_gives_the_slot_back():
    """The caller leaves in the same turn of the loop in which its grant comes.
    Nobody would run the request nor free the slot.
    """
    bench = Bench()
    task = bench.ask()
    await asyncio.sleep(0)
    (number,) = bench.requests()
    bench.grant(number)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert bench.ingress.running == 0
    assert len(bench.mesh.pop_sent("decline")) == 1


async def test_flood_of_one_organisation_is_refused_at_once():
    """One organisation sends far more than its share. It must neither fill the
    router nor learn of it only at its deadline.
    """
    bench = Bench(IngressLimits(waiting=5))
    tasks = [bench.ask() for _ in range(10)]
    await asyncio.sleep(0)
    refused = [t.result().error for t in tasks if t.done()]
    assert [f.kind for f in refused] == [ErrorKind.ORGANISATION_LIMIT] * 7
    assert all(f.ran is Ran.NO for f in refused)
    others = [bench.ask("birch") for _ in range(4)]
    await asyncio.sleep(0)
    kinds = [t.result().error.kind for t in others if t.done()]
    assert kinds == [ErrorKind.ROUTER_FULL] * 2
    assert bench.ingress.waiting == 5
    for task in [*tasks, *others]:
        task.cancel()
    await asyncio.gather(*tasks, *others, return_exceptions=True)
    assert bench.ingress.waiting == 0
    again = bench.ask()
    await asyncio.sleep(0)
    assert not again.done()
    again.cancel()


async def test_waiting_bodies_are_bounded_in_bytes():
    bench = Bench(IngressLimits(waiting_bytes=1000))
    tasks = [bench.ask(body_bytes=600) for _ in range(2)]
    await asyncio.sleep(0)
    assert tasks[1].result().error.kind is ErrorKind.ROUTER_FULL
    tasks[0].cancel()


async def test_request_that_failed_everywhere_gets_its_answer_at_once():
    bench = Bench()
    result = await bench.ask(excluded=("e-0",))
    assert result.error.kind is ErrorKind.NO_ENDPOINT


async def test_requests_move_at_once_when_the_dispatcher_changes():
    """The dispatcher's VM is gone. What waits and runs must not wait for the
    next digest to be told to the new one.
    """
    bench = Bench()
    runner = asyncio.create_task(bench.ingress.run())
    tasks = [bench.ask(), bench.ask()]
    await asyncio.sleep(0.01)
    first, second = bench.requests()
    bench.grant(first, 5)
    granted = (await tasks[0]).ok
    bench.members = [Member("vm-4", "here", "region", incarnation=44)]
    await asyncio.sleep(0.25)
    (moved,) = [s for s in bench.mesh.pop_sent("snapshot") if s.body.full]
    assert moved.vm == "vm-4"
    assert [w.request for w in moved.body.waiting] == [second]
    assert [r.request for r in moved.body.running] == [first]
    (done,) = bench.mesh.pop_sent("done")
    assert (done.vm, done.body.moved) == ("vm-2", True)
    bench.ingress.release(granted, 12.0, False)
    (done,) = bench.mesh.pop_sent("done")
    assert (done.vm, done.body.cost, done.body.moved) == ("vm-4", 12.0, None)
    runner.cancel()
    tasks[1].cancel()


async def test_dispatcher_that_does_not_answer_is_passed_over():
    """After a split in one direction a dispatcher is still heard, but hears
    nothing. Requests would wait for it until their deadlines.
    """
    bench = Bench()
    both = [*bench.members, Member("vm-4", "here", "region", incarnation=44)]
    bench.members = both
    shard = Shard("service", "here")
    deaf = select_dispatcher(DOCUMENT, shard, both).vm
    runner = asyncio.create_task(bench.ingress.run())
    task = bench.ask()
    await asyncio.sleep(REPLY_TIMEOUT_SECONDS + 1.5)
    full = [s for s in bench.mesh.pop_sent("snapshot") if s.body.full]
    assert [s.vm for s in full] == [({"vm-2", "vm-4"} - {deaf}).pop()]
    # the deaf one is probed, and used again when it answers
    await asyncio.sleep(1.1)
    assert deaf in {s.vm for s in bench.mesh.pop_sent("snapshot")}
    reply = make_message("snapshot_reply", SnapshotReply(False), "service", "here")
    bench.mesh.deliver(Origin(deaf, 1), reply)
    await asyncio.sleep(0.25)
    full = [s for s in bench.mesh.pop_sent("snapshot") if s.body.full]
    assert [s.vm for s in full] == [deaf]
    runner.cancel()
    task.cancel()


async def test_digest_names_what_is_held():
    bench = Bench()
    tasks = [bench.ask(), bench.ask()]
    await asyncio.sleep(0)
    first, second = bench.requests()
    bench.grant(first)
    await tasks[0]
    bench.ingress.send_digests()
    (sent,) = bench.mesh.pop_sent("snapshot")
    digest = digest_of_requests([first, second])
    assert (sent.body.count, sent.body.digest) == (2, digest.value)
    assert (sent.body.waiting, sent.body.running) == ([], [])
    tasks[1].cancel()


async def test_progress_is_told_when_the_charge_is_passed():
    bench = Bench()
    task = bench.ask()
    await asyncio.sleep(0)
    bench.grant(bench.requests()[0])
    granted = (await task).ok
    for cost in range(0, 200, 5):
        bench.ingress.report_cost(granted, float(cost))
    assert [s.body.cost for s in bench.mesh.pop_sent("progress")] == [
        20,
        35,
        55,
        85,
        130,
    ]


async def test_preemption_reaches_the_stream():
    bench = Bench()
    task = bench.ask()
    await asyncio.sleep(0)
    bench.grant(bench.requests()[0], 9)
    granted = (await task).ok
    bench.mesh.deliver(OTHER, make_message("preempt", Preempt(8), "service", "here"))
    assert not granted.preempted.is_set()
    bench.mesh.deliver(OTHER, make_message("preempt", Preempt(9), "service", "here"))
    assert granted.preempted.is_set()

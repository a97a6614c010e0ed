"""Tests of choosing engines and of refusing."""

import asyncio
from dataclasses import dataclass, field

from teaselledge_fleet.faults import FaultKind
from teaselledge_fleet.process.admission import AdmissionDecision
from teaselledge_fleet.process.endpoints import Endpoint, EndpointEntry, EndpointView
from teaselledge_fleet.process.placing import FleetPlacer
from teaselledge_fleet.process.prefixes import rendezvous_order
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.shares import TokenUsage
from teaselledge_fleet.process.work import EndpointLoad, name_hash
from teaselledge_fleet.request.call import CallerRequest, Prompt, PromptSegment
from teaselledge_fleet.request.context import Outcome, RequestContext
from teaselledge_fleet.version.routes import Organisation, RetryPolicy
from teaselledge_standins.routes import make_route
from tornado.httputil import HTTPHeaders

VIRTUAL_CLOCK = True
ZONES = {"north": "west", "south": "west", "far": "east"}
ENGINES = [
    Endpoint(f"e{number}", "books", f"127.0.0.1:{number}", zone, 48)
    for number, zone in enumerate(("north", "north", "south", "south", "far"))
]


@dataclass
class Desk:
    """A placer and its view."""

    view: EndpointView = field(default_factory=EndpointView)
    asked: int = 0

    def __post_init__(self) -> None:
        self.view.merge(EndpointEntry(e.id, Revision(0, 1), e) for e in ENGINES)
        self.placer = FleetPlacer(self.view, "north", ZONES)

    def context(self, part: str = "p1", shared: int = 13_000, own: int = 3_700, **more):
        """Return a request with a prompt."""
        self.asked += 1
        parts = (PromptSegment(part, shared), PromptSegment(f"own{self.asked}", own))
        prompt = Prompt(shared + own, 120, parts)
        call = CallerRequest(
            f"q{self.asked}", "POST", "/r/1", "h", HTTPHeaders(), prompt=prompt
        )
        now = asyncio.get_running_loop().time()
        route = make_route(
            RetryPolicy.NEVER, stream=True, carries_prompt=True, latency_objective=0.8
        )
        owner = Organisation(more.get("owner", "cellar"), ())
        body = b"x" * more.get("size", 17_000)
        return RequestContext(call, body, route, "books", owner, now, now + 8.0)

    def fill(self, engine: str, reading: float, running: int = 1) -> None:
        """Let another router tell of work at an engine."""
        self.placer.load.update_source(
            "r2", {name_hash(engine): EndpointLoad(running, reading)}
        )


async def placed(desk: Desk, context: RequestContext):
    result = await desk.placer.place(context)
    return result.ok.endpoint.id if result.is_ok() else result.error


async def test_prompts_with_the_same_part_go_to_the_same_engine():
    """Scattered over engines, a part is read again on each of them."""
    desk = Desk()
    for part in ("p1", "p2", "p3", "p4"):
        chosen = set()
        for _ in range(5):
            context = desk.context(part)
            chosen.add(await placed(desk, context))
            desk.placer.on_response_started(context, desk.view.get(next(iter(chosen))))
        assert chosen == {rendezvous_order(part, ENGINES)[0].id}


async def test_another_router_chooses_the_same_engine():
    here, there = Desk(), Desk()
    there.placer = FleetPlacer(there.view, "far", ZONES)
    for part in ("p1", "p2", "p3"):
        assert await placed(here, here.context(part)) == await placed(
            there, there.context(part)
        )


async def test_a_part_stays_when_another_engine_goes():
    desk = Desk()
    home = rendezvous_order("p1", ENGINES)[0].id
    other = rendezvous_order("p1", ENGINES)[1].id
    desk.view.merge([EndpointEntry(other, Revision(0, 2), None)])
    assert await placed(desk, desk.context("p1")) == home


async def test_a_new_first_choice_copies_the_part_from_the_old_one():
    """The engine that keeps a part leaves; the next one need not read it anew."""
    desk = Desk()
    home, second = rendezvous_order("p1", ENGINES)[:2]
    result = await desk.placer.place(desk.context("p1"))
    assert result.ok.endpoint == home
    assert result.ok.fetch_from == second.address


async def test_an_engine_behind_on_reading_gets_no_more():
    """Other routers have sent an engine more than it can read in time.

    Callers would all get their first token late; refused at once, some are served in
    time and the others can come back.
    """
    desk = Desk()
    for engine in ENGINES:
        desk.fill(engine.id, 0.0)
    desk.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.6) for e in ENGINES}
    )
    refused = await placed(desk, desk.context())
    assert refused.kind is FaultKind.OVER_CAPACITY
    assert 0 < refused.retry_after < 2


async def test_a_short_prompt_leaves_a_full_engine():
    desk = Desk()
    home = rendezvous_order("chat", ENGINES)[0].id
    desk.fill(home, 0.05, running=47)
    context = desk.context("chat", shared=350, own=1_100, size=1_500)
    assert await placed(desk, context) != home


async def test_over_share_is_refused_before_the_others():
    """One organisation floods the fleet; the others must still find room."""
    desk = Desk()
    desk.placer.shares.update_source(
        "r2",
        {
            name_hash("flood"): TokenUsage(900_000, 500_000),
            name_hash("cellar"): TokenUsage(300_000, 100_000),
        },
    )
    desk.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.2) for e in ENGINES}
    )
    flood = await placed(desk, desk.context(owner="flood"))
    assert flood.kind is FaultKind.OVER_SHARE
    assert isinstance(await placed(desk, desk.context(owner="cellar")), str)


async def test_what_engines_give_beyond_the_promise_is_shared_too():
    """Engines give more than is promised, and two organisations are over their share.

    What is left then went to whoever came most often: one got 2.1 million tokens, and
    another one that asked for more than that was refused and got 0.7 million.
    """
    desk = Desk()
    desk.placer.shares.set_guaranteed_rate(100_000)
    uses = {
        "flood": TokenUsage(3_000_000, 1_200_000),
        "other": TokenUsage(1_500_000, 400_000),
        "cellar": TokenUsage(300_000, 300_000),
    }
    desk.placer.shares.update_source(
        "r2", {name_hash(name): use for name, use in uses.items()}
    )
    desk.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.07) for e in ENGINES}
    )
    flood = await placed(desk, desk.context(owner="flood"))
    assert not isinstance(flood, str)
    assert flood.kind is FaultKind.OVER_SHARE
    assert isinstance(await placed(desk, desk.context(owner="other")), str)


async def test_nobody_is_refused_while_engines_have_room():
    desk = Desk()
    desk.placer.shares.update_source(
        "r2", {name_hash("flood"): TokenUsage(900_000, 500_000)}
    )
    assert isinstance(await placed(desk, desk.context(owner="flood")), str)


async def test_work_of_a_silent_router_is_forgotten():
    """A router is cut off; what it had told must not block engines for ever."""
    desk = Desk()
    desk.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(48, 5.0) for e in ENGINES}
    )
    assert not isinstance(await placed(desk, desk.context()), str)
    await asyncio.sleep(2.5)
    assert isinstance(await placed(desk, desk.context()), str)


async def test_ended_requests_leave_nothing_behind():
    desk = Desk()
    for outcome in Outcome:
        context = desk.context()
        name = await placed(desk, context)
        desk.placer.on_attempt_ended(context, desk.view.get(name), outcome)
        await asyncio.sleep(60)
    for engine in ENGINES:
        total = desk.placer.load.total(engine.id)
        assert (total.in_flight, round(total.prefill_seconds, 9)) == (0, 0)


async def test_an_engine_that_can_not_be_reached_is_left_for_a_while():
    desk = Desk()
    context = desk.context("p1")
    home = await placed(desk, context)
    desk.placer.on_attempt_ended(context, desk.view.get(home), Outcome.UNSENT)
    assert await placed(desk, desk.context("p1")) != home
    await asyncio.sleep(5)
    assert await placed(desk, desk.context("p1")) == home


@dataclass
class Directory:
    """A directory of parts as other routers filled it; None answers nothing."""

    holders: list[int] | None
    told: list[str] = field(default_factory=list)

    async def locate(self, part: str, first_choice: Endpoint) -> list[int] | None:
        """Answer what was filled in."""
        return self.holders

    def report_use(self, part: str, first_choice: Endpoint, endpoint: Endpoint) -> None:
        """Note what is told."""
        self.told.append(endpoint.id)


async def test_a_part_is_copied_from_where_another_router_had_it_read():
    """A part was sent to an engine that is not its first choice, as that was busy.

    Routers that had not sent it themselves asked the wrong engine for a copy, and the
    part was read again: the longest prompts came late.
    """
    desk = Desk()
    third = rendezvous_order("p1", ENGINES)[2]
    directory = Directory([name_hash(third.id)])
    desk.placer.set_locator(directory)
    desk.placer.load.update_source("r2", {name_hash(third.id): EndpointLoad(5, 0.35)})
    result = await desk.placer.place(desk.context("p1"))
    assert result.ok.endpoint != third
    assert result.ok.fetch_from == third.address
    assert directory.told == [result.ok.endpoint.id]


async def test_an_engine_that_keeps_a_part_goes_before_its_first_choice():
    desk = Desk()
    third = rendezvous_order("p1", ENGINES)[2]
    desk.placer.set_locator(Directory([name_hash(third.id)]))
    assert await placed(desk, desk.context("p1")) == third.id


async def test_a_part_that_nobody_keeps_is_read_whole_by_its_first_choice():
    """The part was dropped everywhere; the engine is behind by its whole length."""
    desk = Desk()
    desk.placer.set_locator(Directory([]))
    context = desk.context("p1", shared=13_000, own=3_700)
    assert await placed(desk, context) == rendezvous_order("p1", ENGINES)[0].id
    kept = desk.context("p1", shared=13_000, own=3_700)
    desk.placer.set_locator(
        Directory([name_hash(rendezvous_order("p1", ENGINES)[0].id)])
    )
    await placed(desk, kept)
    assert context.prefill_seconds > 2 * kept.prefill_seconds


async def test_without_a_directory_the_first_choice_is_taken_to_keep_a_part():
    """The router that keeps the directory is cut off; requests go on as before."""
    desk = Desk()
    desk.placer.set_locator(Directory(None))
    assert (
        await placed(desk, desk.context("p1")) == rendezvous_order("p1", ENGINES)[0].id
    )


async def test_short_parts_are_not_asked_for():
    """Asking for each short prompt would cost routers more than it saves engines."""
    desk = Desk()
    directory = Directory([name_hash(rendezvous_order("p1", ENGINES)[2].id)])
    desk.placer.set_locator(directory)
    context = desk.context("p1", shared=300, own=600, size=900)
    assert await placed(desk, context) == rendezvous_order("p1", ENGINES)[0].id
    assert directory.told == []


async def test_shared_parts_that_are_kept_do_not_count_as_use():
    """Two organisations give engines the same work; one of them shares a long part."""
    desk = Desk()
    for owner, shared in (("cellar", 13_000), ("flood", 1_000)):
        await placed(desk, desk.context("p1", shared=shared, own=3_700, owner=owner))
    uses = desk.placer.shares.local()
    assert uses[name_hash("cellar")] == uses[name_hash("flood")]


async def test_nobody_is_refused_while_another_engine_is_idle():
    """The engine that keeps a very long part is behind; the others have nothing to do.

    A copy of the part was taken to cost more than the wait, so the same engine was the
    best again and again, and callers were refused on a quiet day.
    """
    desk = Desk()
    home = rendezvous_order("p1", ENGINES)[0].id
    desk.placer.set_locator(Directory([name_hash(home)]))
    desk.fill(home, 0.45, running=3)
    placed_at = await placed(desk, desk.context("p1", shared=30_000))
    assert isinstance(placed_at, str)
    assert placed_at != home


async def test_engines_that_are_known_to_be_full_are_not_asked():
    """Each question costs two routers a part of a millisecond on a heavy day."""
    desk = Desk()
    asked = []

    async def ask(endpoint, added, most_wait):
        asked.append(endpoint.id)
        return AdmissionDecision(False, EndpointLoad(5, 0.6))

    desk.placer.set_admission_check(ask)
    desk.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.6) for e in ENGINES}
    )
    refused = await placed(desk, desk.context())
    assert refused.kind is FaultKind.OVER_CAPACITY
    assert len(asked) == 1


async def answer_late(desk: Desk, times: int) -> float:
    """Let answers begin late; return how slow the engines are taken to be."""
    for _ in range(times):
        context = desk.context(own=12_000)
        engine = desk.view.get(await placed(desk, context))
        await asyncio.sleep(3.0)
        desk.placer.on_response_started(context, engine)
        desk.placer.on_attempt_ended(context, engine, Outcome.WHOLE)
    return desk.placer._chooser.prefill.slowdown("books")


async def test_own_delay_is_not_taken_for_slow_engines():
    """A flooded router reads answers late, all of them.

    It took engines for six times slower than they are, and refused requests as over
    their share at engines with nothing to do.
    """
    desk = Desk()
    desk.placer.set_sample_filter(lambda at: False)
    assert await answer_late(desk, 100) == 1.0
    desk.placer.set_sample_filter(lambda at: True)
    assert await answer_late(desk, 20) > 1.0

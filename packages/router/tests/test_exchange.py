"""Tests of the reports between dispatchers."""

import asyncio
import math
from random import Random

from teaselledge.metrics import NullMetrics
from teaselledge.process.exchange import (
    ADOPT_SECONDS,
    FIRST_SEQUENCES,
    VIEW_SECONDS,
    UsageExchange,
)
from teaselledge.process.member import Member
from teaselledge.process.mesh import Origin, make_message
from teaselledge.process.placement import Placement, Shard
from teaselledge.process.preset import get_preset_by_name
from teaselledge.process.standing import UsageAccounts
from teaselledge.version.document import (
    Document,
    Endpoint,
    Kind,
    Organisation,
    Service,
    Zone,
)
from teaselledge_standins.recorder import RecordingMesh
from teaselledge_wire.codec import encode
from teaselledge_wire.gen.router.ttypes import Account, Report

VIRTUAL_CLOCK = True

ZONES = {"a": "near", "b": "near", "c": "far"}
MEMBERS = [Member(f"vm-{zone}", zone, region) for zone, region in ZONES.items()]
NAMES = ("amber", "birch")


def document():
    endpoints = {f"e-{z}": Endpoint(f"e-{z}:1", z, 8) for z in ZONES}
    kinds = {"work": Kind(("POST",), ("work",), cost_hint=100)}
    return Document(
        {zone: Zone(region) for zone, region in ZONES.items()},
        {name: Organisation(1.0, (), ()) for name in NAMES},
        {"service": Service("tokens", endpoints, kinds)},
    )


def make(zone="a", incarnation=100, debt=1e9):
    standings = UsageAccounts(debt)
    mesh = RecordingMesh(f"vm-{zone}")
    placement = Placement(lambda: MEMBERS)
    shard = Shard("service", zone)
    made = UsageExchange(shard, mesh, standings, placement, NullMetrics(), incarnation)
    doc = document()
    standings.set_organisations(doc.organisations)
    made.apply_document(doc)
    return made, standings, mesh


def report(sequence, served, zone="b", incarnation=200, waiting=1, standing=None):
    accounts = [
        Account(name, value, value if standing is None else standing, waiting)
        for name, value in served.items()
    ]
    return Report(zone, incarnation, sequence, accounts, 0)


def origin(zone="b"):
    return Origin(f"vm-{zone}", 7)


async def test_lost_doubled_and_reordered_reports_do_no_harm():
    """A connection breaks and is made again: of the reports some are lost, some
    come twice and some come late. The counts must not drift.
    """
    random = Random(1)
    told = [report(n, {"amber": 10.0 * n}) for n in range(1, 50)]
    for _ in range(20):
        exchange, standings, _ = make()
        kept = [r for r in told if random.random() < 0.6] * 2
        random.shuffle(kept)
        last = 0.0
        for body in [*kept, told[-1]]:
            exchange.handle_report(origin(), body)
            # what was counted once must not be taken back by an older report
            assert standings.normalised_usage("amber") >= last
            last = standings.normalised_usage("amber")
        assert abs(standings.normalised_usage("amber") - 490.0) < 1e-6


async def test_restart_neither_loses_nor_doubles_service():
    """A dispatcher dies and comes back as a new incarnation that counts from 0."""
    exchange, standings, _ = make()
    exchange.handle_report(origin(), report(1, {"amber": 500.0}))
    exchange.handle_report(origin(), report(1, {"amber": 100.0}, incarnation=202))
    exchange.handle_report(origin(), report(9, {"amber": 500.0}, standing=600.0))
    assert abs(standings.normalised_usage("amber") - 600.0) < 1e-6


async def test_new_dispatcher_takes_standings_over():
    """A dispatcher starts while the others have run for days. Their counters
    are large; counting them whole would set everyone back by days.
    """
    exchange, standings, _ = make()
    late = FIRST_SEQUENCES + 1000
    exchange.handle_report(origin(), report(late, {"amber": 9e6}, standing=5000.0))
    assert standings.normalised_usage("amber") == 5000.0
    exchange.handle_report(
        origin(), report(late + 1, {"amber": 9e6 + 10}, standing=5010.0)
    )
    assert abs(standings.normalised_usage("amber") - 5010.0) < 1e-6


async def test_growth_of_an_hour_is_bounded_by_the_debt():
    """A split lasts an hour; afterwards one report tells all that was served."""
    exchange, standings, _ = make(debt=300.0)
    exchange.handle_report(origin(), report(1, {"amber": 0.0, "birch": 0.0}))
    exchange.handle_report(
        origin(), report(2, {"amber": 1e7, "birch": 0.0}, standing=0.0)
    )
    assert (
        0
        < standings.normalised_usage("amber") - standings.normalised_usage("birch")
        <= 300.0
    )


async def test_bad_accounts_are_refused():
    """A peer of a broken release, or with another document, reports nonsense."""
    exchange, standings, _ = make(debt=300.0)
    exchange.handle_report(origin(), report(1, {"amber": 50.0}))
    before = standings.normalised_usage("amber")
    for sequence, bad in enumerate(
        [
            {"nobody": 10.0},
            {"amber": math.nan},
            {"amber": math.inf},
            {"amber": -1e9},
            {"amber": 1e30},
        ],
        start=2,
    ):
        exchange.handle_report(origin(), report(sequence, bad))
        assert standings.normalised_usage("amber") == before
    for body in (
        Report("b", None, 1, [], 0),
        Report("b", 200, None, [], 0),
        Report("nowhere", 300, 1, [], 0),
        Report("b", 300, 1, None, None),
        report(90, {"amber": None}),
    ):
        exchange.handle_report(origin(), body)
    assert standings.normalised_usage("amber") == before


async def test_counter_that_ran_backwards_counts_on():
    exchange, standings, _ = make(debt=300.0)
    exchange.handle_report(origin(), report(1, {"birch": 5000.0, "amber": 5000.0}))
    exchange.handle_report(origin(), report(2, {"amber": 10.0}))
    before = standings.normalised_usage("amber")
    exchange.handle_report(origin(), report(3, {"amber": 30.0}, standing=before + 20))
    assert abs(standings.normalised_usage("amber") - before - 20) < 1e-6


async def test_report_is_due_by_quantum_and_by_interval():
    exchange, _, mesh = make()
    loop = asyncio.get_running_loop()
    mesh.pop_sent("report")
    exchange.charge("amber", exchange.quantum + 1)
    sent = mesh.pop_sent("report")
    assert [s.vm for s in sent] == ["vm-b"]
    assert [(a.organisation, a.served) for a in sent[0].body.accounts] == [
        ("amber", exchange.quantum + 1)
    ]
    await asyncio.sleep(0.5)
    mesh.pop_sent("report")
    exchange.charge("amber", 1.0)
    assert mesh.pop_sent("report") == []
    exchange.tick(loop.time())
    near = [s for s in mesh.pop_sent("report") if s.body.region is None]
    assert [s.vm for s in near] == ["vm-b"]


async def test_many_organisations_lower_the_rate_not_the_limit():
    """Hundreds of organisations are backlogged at once. Reports grow, and what a
    node spends on control must stay under its limit.
    """
    exchange, standings, mesh = make()
    names = [f"org-{i}" for i in range(750)]
    organisations = {name: Organisation(1.0, (), ()) for name in names}
    standings.set_organisations(organisations)
    loop = asyncio.get_running_loop()
    sent = 0
    for _ in range(200):
        await asyncio.sleep(0.05)
        for name in names[::10]:
            exchange.charge(name, 50.0)
        exchange.tick(loop.time())
        near = [s for s in mesh.pop_sent("report") if s.body.region is None]
        sent += sum(len(encode([make_message("report", s.body)], 1)) for s in near)
    limit = get_preset_by_name("fairness").report_bytes
    assert limit / 3 < sent / 10.0 < 1.1 * limit


async def test_silent_dispatcher_is_no_longer_backlogged():
    """A dispatcher dies while it told of waiting requests. Kept for ever, its
    organisations would hold the lowest standing without being served.
    """
    exchange, standings, _ = make()
    exchange.handle_report(origin(), report(1, {"amber": 0.0}, waiting=3))
    assert list(standings.backlogged) == ["amber"]
    await asyncio.sleep(VIEW_SECONDS + 0.1)
    exchange.tick(asyncio.get_running_loop().time())
    assert list(standings.backlogged) == []


async def test_only_sums_cross_regions_and_are_relayed():
    speakers = []
    for zone in ("a", "b"):
        exchange, _, mesh = make(zone)
        exchange.mark_waiting_changed("amber")
        exchange._standings.add_local_waiting("amber", 1)
        exchange.charge("amber", 40.0)
        exchange.handle_report(
            origin("b" if zone == "a" else "a"),
            report(1, {"amber": 60.0}, zone="b" if zone == "a" else "a"),
        )
        await asyncio.sleep(1.0)
        exchange.tick(asyncio.get_running_loop().time())
        far = [s for s in mesh.pop_sent("report") if s.vm == "vm-c"]
        for sent in far:
            assert sent.body.region == "near"
            assert [a.served for a in sent.body.accounts] == [100.0]
        speakers += [zone] * bool(far)
        # the sum of the other region goes on to the zone that does not speak
        body = report(1, {"amber": 5.0}, zone="c", incarnation=301)
        body.region = "far"
        exchange.handle_report(Origin("vm-c", 9), body)
        relayed = [s for s in mesh.pop_sent("report") if s.body.region == "far"]
        assert bool(relayed) == bool(far)
    assert len(speakers) == 1


async def test_views_drift_together():
    """Two dispatchers have lifted an organisation to different levels. Left
    alone each would serve another organisation first for ever.
    """
    exchange, standings, _ = make()
    await asyncio.sleep(ADOPT_SECONDS + 1)
    standings.charge("amber", 1000.0)
    for sequence in range(1, 60):
        await asyncio.sleep(0.2)
        exchange.handle_report(
            origin(), report(sequence, {"amber": 0.0}, standing=200.0)
        )
    # its own service of 1000 was never reported here, so it is added on top
    assert abs(standings.normalised_usage("amber") - 1200.0) < 20

"""Tests of the usage reports between dispatchers."""

import asyncio
import math
from random import Random

from teaselledge.metrics import NullMetrics
from teaselledge.process.exchange import (
    ADOPTION_PERIOD_SECONDS,
    NEW_SENDER_REPORTS,
    PEER_LOAD_TTL_SECONDS,
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


def make(zone="a", incarnation=100, max_lead=1e9):
    usage = UsageAccounts(max_lead)
    mesh = RecordingMesh(f"vm-{zone}")
    placement = Placement(lambda: MEMBERS)
    shard = Shard("service", zone)
    made = UsageExchange(shard, mesh, usage, placement, NullMetrics(), incarnation)
    doc = document()
    usage.set_organisations(doc.organisations)
    made.apply_document(doc)
    return made, usage, mesh


def report(sequence, served, zone="b", incarnation=200, waiting=1, standing=None):
    accounts = [
        Account(name, value, value if standing is None else standing, waiting)
        for name, value in served.items()
    ]
    return Report(zone, incarnation, sequence, accounts, 0)


def origin(zone="b"):
    return Origin(f"vm-{zone}", 7)


async def test_lost_duplicated_and_reordered_reports_do_no_harm():
    """A connection breaks and is opened again. Some reports are lost, some arrive
    twice and some late. The counts must not drift.
    """
    random = Random(1)
    reports = [report(n, {"amber": 10.0 * n}) for n in range(1, 50)]
    for _ in range(20):
        exchange, usage, _ = make()
        kept = [r for r in reports if random.random() < 0.6] * 2
        random.shuffle(kept)
        last = 0.0
        for body in [*kept, reports[-1]]:
            exchange.handle_report(origin(), body)
            # an older report must not reduce the usage
            assert usage.normalised_usage("amber") >= last
            last = usage.normalised_usage("amber")
        assert abs(usage.normalised_usage("amber") - 490.0) < 1e-6


async def test_restart_neither_loses_nor_doubles_usage():
    """A dispatcher fails and restarts with a new incarnation that counts from 0."""
    exchange, usage, _ = make()
    exchange.handle_report(origin(), report(1, {"amber": 500.0}))
    exchange.handle_report(origin(), report(1, {"amber": 100.0}, incarnation=202))
    exchange.handle_report(origin(), report(9, {"amber": 500.0}, standing=600.0))
    assert abs(usage.normalised_usage("amber") - 600.0) < 1e-6


async def test_new_dispatcher_adopts_usage_of_peers():
    """A dispatcher starts while the others have run for days. If it added the
    whole of their large counters, it would set back every organisation by days.
    """
    exchange, usage, _ = make()
    sequence = NEW_SENDER_REPORTS + 1000
    exchange.handle_report(origin(), report(sequence, {"amber": 9e6}, standing=5000.0))
    assert usage.normalised_usage("amber") == 5000.0
    exchange.handle_report(
        origin(), report(sequence + 1, {"amber": 9e6 + 10}, standing=5010.0)
    )
    assert abs(usage.normalised_usage("amber") - 5010.0) < 1e-6


async def test_growth_of_an_hour_is_limited_by_the_maximum_lead():
    """A network partition lasts an hour; then one report contains all its usage."""
    exchange, usage, _ = make(max_lead=300.0)
    exchange.handle_report(origin(), report(1, {"amber": 0.0, "birch": 0.0}))
    exchange.handle_report(
        origin(), report(2, {"amber": 1e7, "birch": 0.0}, standing=0.0)
    )
    assert (
        0 < usage.normalised_usage("amber") - usage.normalised_usage("birch") <= 300.0
    )


async def test_invalid_accounts_are_rejected():
    """A peer with a faulty release or another document reports invalid values."""
    exchange, usage, _ = make(max_lead=300.0)
    exchange.handle_report(origin(), report(1, {"amber": 50.0}))
    before = usage.normalised_usage("amber")
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
        assert usage.normalised_usage("amber") == before
    for body in (
        Report("b", None, 1, [], 0),
        Report("b", 200, None, [], 0),
        Report("nowhere", 300, 1, [], 0),
        Report("b", 300, 1, None, None),
        report(90, {"amber": None}),
    ):
        exchange.handle_report(origin(), body)
    assert usage.normalised_usage("amber") == before


async def test_growth_after_a_decreased_counter_is_counted():
    exchange, usage, _ = make(max_lead=300.0)
    exchange.handle_report(origin(), report(1, {"birch": 5000.0, "amber": 5000.0}))
    exchange.handle_report(origin(), report(2, {"amber": 10.0}))
    before = usage.normalised_usage("amber")
    exchange.handle_report(origin(), report(3, {"amber": 30.0}, standing=before + 20))
    assert abs(usage.normalised_usage("amber") - before - 20) < 1e-6


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


async def test_many_organisations_lower_the_rate_of_reports():
    """Hundreds of organisations are backlogged at once, and reports grow. The
    control traffic of a node must stay below its limit.
    """
    exchange, usage, mesh = make()
    names = [f"org-{i}" for i in range(750)]
    organisations = {name: Organisation(1.0, (), ()) for name in names}
    usage.set_organisations(organisations)
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


async def test_backlog_of_a_failed_dispatcher_expires():
    """A dispatcher fails after it reported waiting requests. If they did not
    expire, their organisations would keep the lowest usage without being served.
    """
    exchange, usage, _ = make()
    exchange.handle_report(origin(), report(1, {"amber": 0.0}, waiting=3))
    assert list(usage.backlogged) == ["amber"]
    await asyncio.sleep(PEER_LOAD_TTL_SECONDS + 0.1)
    exchange.tick(asyncio.get_running_loop().time())
    assert list(usage.backlogged) == []


async def test_only_the_representative_sends_and_forwards_region_sums():
    representatives = []
    for zone in ("a", "b"):
        exchange, _, mesh = make(zone)
        exchange.mark_waiting_changed("amber")
        exchange._usage.add_local_waiting("amber", 1)
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
        representatives += [zone] * bool(far)
        # only the representative forwards the sums of the other region
        body = report(1, {"amber": 5.0}, zone="c", incarnation=301)
        body.region = "far"
        exchange.handle_report(Origin("vm-c", 9), body)
        forwarded = [s for s in mesh.pop_sent("report") if s.body.region == "far"]
        assert bool(forwarded) == bool(far)
    assert len(representatives) == 1


async def test_usage_of_two_dispatchers_converges():
    """Two dispatchers have raised an organisation to different levels. Without
    convergence, each would always serve another organisation first.
    """
    exchange, usage, _ = make()
    await asyncio.sleep(ADOPTION_PERIOD_SECONDS + 1)
    usage.charge("amber", 1000.0)
    for sequence in range(1, 60):
        await asyncio.sleep(0.2)
        exchange.handle_report(
            origin(), report(sequence, {"amber": 0.0}, standing=200.0)
        )
    # its own usage of 1000 was never reported, so it is added
    assert abs(usage.normalised_usage("amber") - 1200.0) < 20

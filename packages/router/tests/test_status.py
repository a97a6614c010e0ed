"""Tests of the status page, the health indicators and the recorded metrics."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

from teaselledge.connection.statuspage import status_page
from teaselledge.metrics import NullMetrics
from teaselledge.process.shares import DispatcherShares
from teaselledge.process.status import (
    HEALTH_INDICATORS,
    IndicatorInputs,
    Status,
    evaluate_indicators,
    fleet_health,
)
from teaselledge.process.tally import MAX_LABELS, RecordingMetrics
from teaselledge_standins.virtual.fleet import running_virtual_fleet
from teaselledge_standins.virtual.plans import get_plan_by_name

VIRTUAL_CLOCK = True

HEALTHY_INPUTS = IndicatorInputs(4, 4, 0, 1.0, False, 0, 0.1, 0, {"store.errors": 0.0})


@asynccontextmanager
async def fleet():
    async with running_virtual_fleet(get_plan_by_name("sudski-trag"), 3) as found:
        yield found


def status_of(node, tally=None):
    shares = DispatcherShares(lambda: node.dispatchers.running, lambda: node.version)
    tally = tally or RecordingMetrics(NullMetrics())
    return Status(node.config_watcher, node.membership, node.ingress, tally, shares)


def states(inputs):
    return {entry["name"]: entry["state"] for entry in evaluate_indicators(inputs)}


def test_each_indicator_distinguishes_well_look_and_not_measured():
    found = states(HEALTHY_INPUTS)
    assert found["control-traffic"] == "not measured"
    assert "look" not in found.values()
    bad = {
        "version-lag": replace(HEALTHY_INPUTS, highest=5),
        "unreadable-version": replace(HEALTHY_INPUTS, unreadable=5),
        "store-age": replace(HEALTHY_INPUTS, store_age=16.0),
        "store-behind": replace(HEALTHY_INPUTS, store_behind=True),
        "store-errors": replace(HEALTHY_INPUTS, rates={"store.errors": 1.0}),
        "control-traffic": replace(HEALTHY_INPUTS, rates={"peer.sent_bytes": 8000.0}),
        "silent-routers": replace(HEALTHY_INPUTS, silent=1),
        "fairness-gap": replace(HEALTHY_INPUTS, gap=1.1),
        "idle-slots": replace(HEALTHY_INPUTS, idle=1),
        "journal-unknowns": replace(HEALTHY_INPUTS, rates={"order.unknown": 0.1}),
    }
    assert set(bad) == set(HEALTH_INDICATORS)
    for name, inputs in bad.items():
        assert [n for n, s in states(inputs).items() if s == "look"] == [name]


def test_fleet_health_lists_missing_and_unseen_routers():
    """One router does not respond, and one has no record of another."""

    def report(version, *seen):
        members = [{"vm": vm} for vm in seen]
        return {"members": members, "configuration": {"in_force": version}}

    health = fleet_health(
        {
            "a": report(7, "a", "b", "c"),
            "b": report(6, "a", "b"),
            "c": report(7, "a", "b", "c"),
            "d": None,
        }
    )
    assert health["missing"] == ["d"]
    assert health["unseen"] == [["b", "c"]]
    assert health["versions"] == {"6": ["b"], "7": ["a", "c"]}


async def test_status_shows_shards_and_shares_under_load(fleet):
    calls = []
    for i in range(80):
        organisation = f"org-{i % 4:02d}"
        call = fleet.call(
            f"vm-{i % 8}", organisation, "sazetak", "summary", f"s{i}", 400
        )
        calls.append(asyncio.ensure_future(call))
    await asyncio.sleep(3.0)
    reports = {vm: status_of(node).report() for vm, node in fleet.nodes.items()}
    shards = [shard for report in reports.values() for shard in report["shards"]]
    busy = [shard for shard in shards if shard["service"] == "sazetak"]
    running = sum(shard["running"] for shard in busy)
    waiting = sum(shard["waiting"] for shard in busy)
    # a request that is being lent to another zone is in neither
    assert running > 20 and waiting > 20 and 70 <= running + waiting <= 80
    assert all(0 <= shard["gap"] < 1 for shard in busy)
    shares = [figure for report in reports.values() for figure in report["shares"]]
    assert {figure["organisation"] for figure in shares} == {
        f"org-{i:02d}" for i in range(4)
    }
    # requests borrowed from another zone are in the queue, not in the shares
    assert 20 < sum(figure["waiting"] for figure in shares) <= 80 - running
    for report in reports.values():
        page = status_page(report)
        assert report["vm"] in page and "http" not in page
    await asyncio.gather(*calls)


async def test_page_escapes_labels():
    async with running_virtual_fleet(get_plan_by_name("sudski-trag"), 3) as fleet:
        tally = RecordingMetrics(NullMetrics())
        tally.count("request.refused", 1, "<script>")
        page = status_page(status_of(fleet.nodes["vm-0"], tally).report())
        assert "<script>" not in page and "&lt;script&gt;" in page


async def test_rates_cover_the_last_minutes():
    """Errors of an hour ago must not keep an indicator above its limit."""
    tally = RecordingMetrics(NullMetrics())
    await asyncio.sleep(1000.0)
    for _ in range(120):
        tally.count("store.errors", 1, "get")
        await asyncio.sleep(1.0)
    assert abs(tally.rate("store.errors") - 1.0) < 0.1
    await asyncio.sleep(60.0)
    assert 0.2 < tally.rate("store.errors") < 0.8
    await asyncio.sleep(3600.0)
    assert tally.rate("store.errors") == 0.0
    assert tally.total("store.errors") == 120


async def test_number_of_labels_is_limited():
    """A caller sends thousands of different labels, which must not fill the memory."""
    tally = RecordingMetrics(NullMetrics())
    for i in range(3 * MAX_LABELS):
        tally.count("request.refused", 1, f"label-{i}")
    assert len(tally.totals) == MAX_LABELS

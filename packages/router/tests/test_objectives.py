"""Tests of counting against service-level objectives."""

import asyncio
import json
from contextlib import contextmanager
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from teaselledge.process import objectives as module
from teaselledge.process.objectives import ObjectiveTracker
from teaselledge.process.sketches import (
    add_seconds,
    add_sketch,
    encode_sketch,
    new_sketch,
)
from teaselledge.version.document import (
    Document,
    Kind,
    Objective,
    Organisation,
    Service,
    Version,
)

VIRTUAL_CLOCK = True

DAY = 86_400


@contextmanager
def version():
    kinds = {"work": Kind(("POST",), ("work",)), "other": Kind(("GET",), ("other",))}
    organisations = {
        name: Organisation(1.0, (), ("models",)) for name in ("amber", "birch")
    }
    services = {"models": Service("tokens", {}, kinds)}
    found = {
        "all": Objective("models", "work", 0.9, 1.0),
        "birch": Objective("models", "work", 0.99, 0.5, ("birch",), 24.0),
    }
    yield Version(1, Document({}, organisations, services, objectives=found))


def entries(tracker):
    return {entry["organisation"]: entry for entry in tracker.report()["series"]}


async def test_events_are_good_by_time_and_outcome(version):
    tracker = ObjectiveTracker(lambda: version)
    for seconds, failed in ((0.2, False), (0.8, False), (1.2, False), (0.1, True)):
        tracker.record("amber", "models", "work", seconds, failed)
        tracker.record("birch", "models", "work", seconds, failed)
    tracker.record("amber", "models", "other", 0.1, True)
    tracker.record("amber", "nothing", "work", 0.1, True)
    found = entries(tracker)
    assert found["amber"]["budget"] == (2, 2)
    assert found["birch"]["budget"] == (1, 3)
    assert found["birch"]["objective"] == "birch"
    assert len(tracker.report()["series"]) == 2


async def test_windows_exclude_older_events(version):
    """Failures older than a window must not use up the window's error budget."""
    tracker = ObjectiveTracker(lambda: version)
    for hour in range(100):
        tracker.record("amber", "models", "work", 0.1, hour == 0)
        counts = entries(tracker)["amber"]["counts"]
        assert counts["300"][1] == (1 if hour == 0 else 0)
        assert counts["86400"][1] == (1 if hour < 24 else 0)
        assert counts["259200"][1] == (1 if hour < 72 else 0)
        assert sum(counts["259200"]) == min(hour + 1, 72)
        await asyncio.sleep(3600)


async def test_windows_agree_with_a_plain_list(version):
    """Compares the ring buffers with a list of all events."""
    tracker = ObjectiveTracker(lambda: version)
    random = Random(5)
    events = []
    loop = asyncio.get_running_loop()
    for _ in range(400):
        await asyncio.sleep(random.expovariate(1 / 900))
        failed = random.random() < 0.3
        tracker.record("amber", "models", "work", 0.1, failed)
        events.append((loop.time(), failed))
        counts = entries(tracker)["amber"]["counts"]
        for window in module.WINDOWS:
            level = next(v for v in module.LEVELS if window <= v.seconds)
            # the current bucket counts as a full one
            first = (loop.time() // level.width + 1) * level.width - window
            inside = [bad for at, bad in events if at >= first]
            expected = (len(inside) - sum(inside), sum(inside))
            assert counts[str(window)] == expected, window


async def test_report_after_a_restart_shows_the_time_covered(version):
    """A VM is replaced and its counts are lost. The uptime in the report of the new
    one must show how little time it covers.
    """
    tracker = ObjectiveTracker(lambda: version)
    tracker.start()
    tracker.record("amber", "models", "work", 0.1, True)
    await asyncio.sleep(DAY)
    assert tracker.report()["uptime"] == DAY
    assert entries(tracker)["amber"]["budget"] == (0, 1)
    new_tracker = ObjectiveTracker(lambda: version)
    new_tracker.start()
    await asyncio.sleep(60)
    assert new_tracker.report() == {"uptime": 60.0, "evicted": 0, "series": []}


async def test_number_of_series_is_limited_and_evictions_are_reported(version):
    """Requests come from more organisations than there are series. The oldest series
    must be evicted, and the report must contain the number of evicted ones.
    """
    tracker = ObjectiveTracker(lambda: version)
    for i in range(module.MAX_SERIES + 30):
        tracker.record(f"org-{i}", "models", "work", 0.1, False)
    report = tracker.report()
    assert len(report["series"]) == module.MAX_SERIES
    assert report["evicted"] == 30


async def test_removed_objective_is_no_longer_reported(version):
    current = [version]
    tracker = ObjectiveTracker(lambda: current[0])
    tracker.record("amber", "models", "work", 0.1, False)
    document = version.document
    current[0] = Version(
        2, Document(document.zones, document.organisations, document.services)
    )
    assert tracker.report()["series"] == []
    tracker.record("amber", "models", "work", 0.1, False)


@given(st.lists(st.lists(st.floats(0, 1e6), max_size=40), min_size=1, max_size=4))
def test_merged_sketches_equal_a_single_sketch(value_lists):
    single, merged = new_sketch(), new_sketch()
    for values in value_lists:
        sketch = new_sketch()
        for value in values:
            add_seconds(single, value)
            add_seconds(sketch, value)
        add_sketch(merged, json.loads(json.dumps(encode_sketch(sketch))))
    for quantile in (0.0, 0.5, 0.95, 1.0):
        assert single.get_quantile_value(quantile) == merged.get_quantile_value(
            quantile
        )

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


def entries(counted):
    return {entry["organisation"]: entry for entry in counted.report()["series"]}


async def test_events_are_good_by_time_and_outcome(version):
    counted = ObjectiveTracker(lambda: version)
    for seconds, failed in ((0.2, False), (0.8, False), (1.2, False), (0.1, True)):
        counted.record("amber", "models", "work", seconds, failed)
        counted.record("birch", "models", "work", seconds, failed)
    counted.record("amber", "models", "other", 0.1, True)
    counted.record("amber", "nothing", "work", 0.1, True)
    found = entries(counted)
    assert found["amber"]["budget"] == (2, 2)
    assert found["birch"]["budget"] == (1, 3)
    assert found["birch"]["objective"] == "birch"
    assert len(counted.report()["series"]) == 2


async def test_windows_forget_what_is_older(version):
    """Failures of the morning must not burn the budget of the evening."""
    counted = ObjectiveTracker(lambda: version)
    for hour in range(100):
        counted.record("amber", "models", "work", 0.1, hour == 0)
        counts = entries(counted)["amber"]["counts"]
        assert counts["300"][1] == (1 if hour == 0 else 0)
        assert counts["86400"][1] == (1 if hour < 24 else 0)
        assert counts["259200"][1] == (1 if hour < 72 else 0)
        assert sum(counts["259200"]) == min(hour + 1, 72)
        await asyncio.sleep(3600)


async def test_windows_agree_with_a_plain_list(version):
    """Differential: the rings against a list of all events."""
    counted = ObjectiveTracker(lambda: version)
    random = Random(5)
    events = []
    loop = asyncio.get_running_loop()
    for _ in range(400):
        await asyncio.sleep(random.expovariate(1 / 900))
        failed = random.random() < 0.3
        counted.record("amber", "models", "work", 0.1, failed)
        events.append((loop.time(), failed))
        counts = entries(counted)["amber"]["counts"]
        for window in module.WINDOWS:
            level = next(v for v in module.LEVELS if window <= v.seconds)
            # the bucket that runs now counts as a whole one
            first = (loop.time() // level.width + 1) * level.width - window
            inside = [bad for at, bad in events if at >= first]
            expected = (len(inside) - sum(inside), sum(inside))
            assert counts[str(window)] == expected, window


async def test_a_restart_loses_what_the_router_counted_and_says_so(version):
    """A VM is replaced; its counts are gone with it.

    The report of the new one shows how little time it covers.
    """
    counted = ObjectiveTracker(lambda: version)
    counted.start()
    counted.record("amber", "models", "work", 0.1, True)
    await asyncio.sleep(DAY)
    assert counted.report()["uptime"] == DAY
    assert entries(counted)["amber"]["budget"] == (0, 1)
    again = ObjectiveTracker(lambda: version)
    again.start()
    await asyncio.sleep(60)
    assert again.report() == {"uptime": 60.0, "evicted": 0, "series": []}


async def test_many_organisations_are_bounded_and_the_loss_is_told(version):
    """Organisations come and go until the memory for counts is full."""
    counted = ObjectiveTracker(lambda: version)
    for i in range(module.MAX_SERIES + 30):
        counted.record(f"org-{i}", "models", "work", 0.1, False)
    report = counted.report()
    assert len(report["series"]) == module.MAX_SERIES
    assert report["evicted"] == 30


async def test_an_objective_that_is_removed_is_no_longer_reported(version):
    current = [version]
    counted = ObjectiveTracker(lambda: current[0])
    counted.record("amber", "models", "work", 0.1, False)
    document = version.document
    current[0] = Version(
        2, Document(document.zones, document.organisations, document.services)
    )
    assert counted.report()["series"] == []
    counted.record("amber", "models", "work", 0.1, False)


@given(st.lists(st.lists(st.floats(0, 1e6), max_size=40), min_size=1, max_size=4))
def test_merged_sketches_tell_what_one_sketch_would(parts):
    one, merged = new_sketch(), new_sketch()
    for part in parts:
        sketch = new_sketch()
        for value in part:
            add_seconds(one, value)
            add_seconds(sketch, value)
        add_sketch(merged, json.loads(json.dumps(encode_sketch(sketch))))
    for quantile in (0.0, 0.5, 0.95, 1.0):
        assert one.get_quantile_value(quantile) == merged.get_quantile_value(quantile)

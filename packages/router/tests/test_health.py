"""Tests of the ejection of failing endpoints."""

from teaselledge.process.health import OutlierDetectionConfig, OutlierDetector

LIMITS = OutlierDetectionConfig()


def ejected(health, now=0.0):
    for _ in range(LIMITS.consecutive_failures):
        health.record_result("e", True, now)
    return health.slot_fraction("e", now) <= 0


def test_failures_in_a_row_eject():
    assert ejected(OutlierDetector())


def test_a_single_failure_does_not_eject():
    health = OutlierDetector()
    health.record_result("e", True, 0.0)
    assert health.slot_fraction("e", 0.0) == 1.0


def test_half_failing_ejects_without_a_row():
    health = OutlierDetector()
    noted = [health.record_result("e", n % 5 != 0, 0.0) for n in range(60)]
    assert any(noted)


def test_return_is_slow():
    """An endpoint fails for a while and is back.

    If it took all its slots at once while it is still broken, as many callers
    would see errors again.
    """
    health = OutlierDetector()
    assert ejected(health)
    back = LIMITS.base_ejection_seconds
    assert health.slot_fraction("e", back - 0.1) <= 0
    assert 0 < health.slot_fraction("e", back + 1) < 0.2
    assert health.slot_fraction("e", back + LIMITS.slow_start_seconds) == 1.0


def test_each_ejection_is_longer():
    health = OutlierDetector()
    now, lengths = 0.0, []
    for _ in range(8):
        assert ejected(health, now)
        start = now
        while health.slot_fraction("e", now) <= 0:
            now += 0.5
        lengths.append(now - start)
        now += 0.5
    assert lengths[:3] == [5.0, 10.0, 20.0]
    assert max(lengths) == LIMITS.max_ejection_seconds


def test_late_outcomes_do_not_eject_again():
    """Requests that began before an ejection fail during it."""
    health = OutlierDetector()
    assert ejected(health)
    for _ in range(20):
        assert not health.record_result("e", True, 1.0)
    assert (
        health.slot_fraction(
            "e", LIMITS.base_ejection_seconds + LIMITS.slow_start_seconds
        )
        == 1.0
    )


def test_a_healed_endpoint_is_forgotten():
    health = OutlierDetector()
    assert ejected(health)
    for _ in range(100):
        health.record_result("e", False, 1000.0)
    assert health.all_healthy

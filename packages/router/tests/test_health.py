"""Tests of the ejection of failing endpoints."""

from teaselledge.process.health import OutlierDetectionConfig, OutlierDetector

LIMITS = OutlierDetectionConfig()


def ejected(health, now=0.0):
    for _ in range(LIMITS.consecutive_failures):
        health.record_result("e", True, now)
    return health.slot_fraction("e", now) <= 0


def test_consecutive_failures_eject():
    assert ejected(OutlierDetector())


def test_a_single_failure_does_not_eject():
    health = OutlierDetector()
    health.record_result("e", True, 0.0)
    assert health.slot_fraction("e", 0.0) == 1.0


def test_failure_rate_ejects_without_consecutive_failures():
    health = OutlierDetector()
    results = [health.record_result("e", n % 5 != 0, 0.0) for n in range(60)]
    assert any(results)


def test_endpoint_regains_its_slots_slowly():
    """The ejection of an endpoint ends.

    If it regained all its slots at once while it is still faulty, as many
    callers would get errors.
    """
    health = OutlierDetector()
    assert ejected(health)
    back = LIMITS.base_ejection_seconds
    assert health.slot_fraction("e", back - 0.1) <= 0
    assert 0 < health.slot_fraction("e", back + 1) < 0.2
    assert health.slot_fraction("e", back + LIMITS.slow_start_seconds) == 1.0


def test_ejections_become_longer():
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


def test_late_results_do_not_eject_again():
    """Requests that started before an ejection fail during it."""
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


def test_state_of_a_recovered_endpoint_is_removed():
    health = OutlierDetector()
    assert ejected(health)
    for _ in range(100):
        health.record_result("e", False, 1000.0)
    assert health.all_healthy

"""Tests of the estimated prefix caches and of load reports with a lag."""

from teaselledge.process.affinity import MAX_PREFIXES, CacheEvent, PrefixCaches
from teaselledge.process.loadreport import ExternalLoad, LoadReport


def test_events_add_and_remove_prefixes():
    caches = PrefixCaches()
    caches.observe(CacheEvent("e", 1, stored=(7, 8)))
    caches.observe(CacheEvent("e", 2, evicted=(7,)))
    assert caches.confidence("e", 7) == 0.0
    assert caches.confidence("e", 8) == 1.0
    assert caches.confidence("other", 8) == 0.0


def test_lost_events_reduce_the_confidence():
    """Events are lost that may have contained an eviction."""
    caches = PrefixCaches()
    caches.observe(CacheEvent("e", 1, stored=(7,)))
    assert not caches.observe(CacheEvent("e", 5, stored=(9,)))
    assert 0 < caches.confidence("e", 7) < caches.confidence("e", 9)


def test_late_event_is_ignored():
    caches = PrefixCaches()
    caches.observe(CacheEvent("e", 3, evicted=(7,)))
    caches.observe(CacheEvent("e", 2, stored=(7,)))
    assert caches.confidence("e", 7) == 0.0


def test_restarted_engine_has_an_empty_cache():
    caches = PrefixCaches()
    caches.observe(CacheEvent("e", 90, stored=(7,)))
    caches.observe(CacheEvent("e", 1, cleared=True))
    assert caches.confidence("e", 7) == 0.0
    caches.observe(CacheEvent("e", 2, stored=(8,)))
    assert caches.confidence("e", 8) == 1.0


def test_number_of_prefixes_is_limited():
    caches = PrefixCaches()
    for prefix in range(MAX_PREFIXES + 10):
        caches.record_sent("e", prefix)
    assert caches.confidence("e", 0) == 0.0
    assert caches.confidence("e", MAX_PREFIXES) > 0


def test_own_requests_do_not_count_as_external():
    """A report contains own requests that have ended since."""
    load = ExternalLoad()
    load.record_own(8, 0.0)
    load.record_own(2, 1.0)
    load.observe(LoadReport("e", 8), 2.0)
    assert load.external_requests(2.0) == 0


def test_external_requests_count_until_the_report_expires():
    """A second dispatcher of the shard sends requests during a network partition."""
    load = ExternalLoad()
    load.record_own(2, 0.0)
    load.observe(LoadReport("e", 5, 1), 10.0)
    assert load.external_requests(10.0) == 4
    assert load.external_requests(30.0) == 0

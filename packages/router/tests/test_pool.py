"""Tests of the choice among a shard's endpoints."""

from teaselledge.process.affinity import CacheEvent
from teaselledge.process.health import OutlierDetectionConfig
from teaselledge.process.loadreport import LoadReport
from teaselledge.process.placement import Shard
from teaselledge.process.pool import BLOCKED_TTL_SECONDS, EndpointPool
from teaselledge.version.document import Document, Endpoint, Kind, Service, Zone
from teaselledge_wire.gen.router.ttypes import Register

SLOTS = 4


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        """Return the time."""
        return self.now


def document(zones, leaving=()):
    endpoints = {
        name: Endpoint(f"{name}:1", zone, SLOTS, name in leaving)
        for name, zone in zones.items()
    }
    kinds = {"work": Kind(("POST",), ("work",))}
    service = Service("tokens", endpoints, kinds)
    return Document({"z": Zone("r"), "y": Zone("r")}, {}, {"s": service})


def make(zones=None, clock=None):
    zones = zones or {"a": "z", "b": "z", "c": "y"}
    return EndpointPool(Shard("s", "z"), document(zones), clock or Clock())


def request(prefix=None, excluded=()):
    return Register(1, "amber", "work", 1.0, 0.0, 9.0, 0, prefix, True, list(excluded))


def fail(pool, *endpoints):
    for endpoint in endpoints:
        for _ in range(OutlierDetectionConfig().consecutive_failures):
            pool.acquire(endpoint)
            pool.release(endpoint, True, 0.0)


def test_the_endpoint_with_most_room_is_chosen():
    pool = make()
    pool.acquire("a")
    assert pool.choose(request()) == "b"
    assert pool.free_slots == 2 * SLOTS - 1


def test_none_is_chosen_without_room():
    pool = make()
    for _ in range(SLOTS):
        pool.acquire("a")
        pool.acquire("b")
    assert pool.choose(request()) is None


def test_a_failing_endpoint_gets_no_work():
    """An endpoint refuses every request and is therefore always free."""
    pool = make()
    fail(pool, "a")
    chosen = []
    for _ in range(SLOTS):
        chosen.append(pool.choose(request()))
        pool.acquire("b")
    assert chosen == ["b"] * SLOTS
    assert pool.choose(request()) is None


def test_an_ejected_endpoint_comes_back():
    clock = Clock()
    pool = make(clock=clock)
    fail(pool, "a")
    for _ in range(SLOTS):
        pool.acquire("b")
    clock.now += OutlierDetectionConfig().base_ejection_seconds + 1
    assert pool.choose(request()) == "a"
    assert pool.free_slots == 1


def test_a_service_whose_every_endpoint_is_bad_stays_in_use():
    """The only zone of a service fails, perhaps by one organisation's requests.

    Were it ejected whole, nobody could use it and nothing would show that it
    has come back.
    """
    pool = make({"a": "z", "b": "z"})
    fail(pool, "a", "b")
    assert pool.all_ejected
    assert pool.free_slots == 2 * SLOTS


def test_a_bad_shard_is_tried_while_other_zones_serve():
    pool = make()
    fail(pool, "a", "b")
    assert pool.free_slots == 2
    pool.set_zone_ejected("y", ejected=True)
    assert pool.free_slots == 2 * SLOTS
    pool.set_zone_ejected("y", ejected=False)
    assert pool.free_slots == 2


def test_a_leaving_endpoint_gets_no_work():
    clock = Clock()
    pool = make(clock=clock)
    pool.set_blocked("a", blocked=True)
    assert pool.choose(request()) == "b"
    assert pool.free_slots == SLOTS
    clock.now += BLOCKED_TTL_SECONDS + 1
    assert pool.free_slots == 2 * SLOTS


def test_a_leaving_endpoint_of_the_document_gets_no_work():
    pool = make()
    pool.apply_document(document({"a": "z", "b": "z"}, leaving=("a",)))
    assert pool.choose(request()) == "b"


def test_a_replaced_process_starts_with_a_clean_record():
    """An endpoint's VM is replaced while its old process was ejected."""
    pool = make({"a": "z", "b": "z"})
    fail(pool, "a")
    moved = document({"b": "z"})
    pool.apply_document(moved)
    pool.apply_document(document({"a": "z", "b": "z"}))
    assert pool.free_slots == 2 * SLOTS


def test_a_request_that_failed_everywhere_is_not_held():
    """A service has one endpoint, and it failed this request already.

    Without a choice the request would wait until its deadline for another.
    """
    pool = make({"a": "z"})
    assert pool.choose(request(excluded=["a"])) == "a"


def test_excluded_endpoints_are_left_out():
    pool = make()
    assert pool.choose(request(excluded=["a"])) == "b"
    assert pool.choose(request(excluded=["a", "b"])) is None


def test_above_the_slots_goes_the_least_loaded_healthy_endpoint():
    """An endpoint begins to fail while it still runs long requests.

    A lookup that is started above the slots must not go there.
    """
    pool = make()
    for _ in range(SLOTS):
        pool.acquire("a")
        pool.acquire("b")
    pool.acquire("b")
    assert pool.choose_over_limit(request()) == "a"
    fail(pool, "a")
    assert pool.choose_over_limit(request()) == "b"
    pool.set_blocked("b", blocked=True)
    assert pool.choose_over_limit(request()) is None


def test_the_cached_prefix_is_preferred_while_load_allows():
    pool = make()
    pool.observe_cache(CacheEvent("b", 1, stored=(7,)))
    pool.acquire("b")
    assert pool.choose(request(prefix=7)) == "b"
    assert pool.choose(request(prefix=8)) == "a"
    pool.acquire("b")
    pool.acquire("b")
    assert pool.choose(request(prefix=7)) == "a"


def test_requests_of_others_take_room():
    pool = make()
    pool.observe_load(LoadReport("a", 3, 0))
    assert pool.free_slots == 2 * SLOTS - 3
    pool.observe_load(LoadReport("a", -5, 0))
    pool.observe_load(LoadReport("nobody", 5, 0))
    assert pool.free_slots == 2 * SLOTS - 3


def test_the_faster_endpoint_is_preferred():
    pool = make()
    for endpoint, seconds in (("a", 4.0), ("b", 1.0)):
        for _ in range(SLOTS):
            pool.acquire(endpoint)
        for _ in range(SLOTS):
            pool.release(endpoint, False, seconds, 100.0)
    pool.acquire("b")
    assert pool.choose(request()) == "b"

"""Tests of the selection among the endpoints of a shard."""

from teaselledge.process.affinity import CacheEvent
from teaselledge.process.health import OutlierDetectionConfig
from teaselledge.process.loadreport import LoadReport
from teaselledge.process.placement import Shard
from teaselledge.process.pool import BLOCKED_TTL_SECONDS, EndpointPool
from teaselledge.version.document import Document, Endpoint, Kind, Service, Zone
from teaselledge_wire.gen.router.ttypes import Register

SLOTS = 4


class Clock:
    """A clock whose time the test sets."""

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


def test_endpoint_with_the_highest_fraction_of_free_slots_is_chosen():
    pool = make()
    pool.acquire("a")
    assert pool.choose(request()) == "b"
    assert pool.free_slots == 2 * SLOTS - 1


def test_no_endpoint_is_chosen_without_free_slots():
    pool = make()
    for _ in range(SLOTS):
        pool.acquire("a")
        pool.acquire("b")
    assert pool.choose(request()) is None


def test_failing_endpoint_gets_no_requests():
    """An endpoint rejects every request and therefore always has free slots."""
    pool = make()
    fail(pool, "a")
    chosen = []
    for _ in range(SLOTS):
        chosen.append(pool.choose(request()))
        pool.acquire("b")
    assert chosen == ["b"] * SLOTS
    assert pool.choose(request()) is None


def test_ejected_endpoint_returns():
    clock = Clock()
    pool = make(clock=clock)
    fail(pool, "a")
    for _ in range(SLOTS):
        pool.acquire("b")
    clock.now += OutlierDetectionConfig().base_ejection_seconds + 1
    assert pool.choose(request()) == "a"
    assert pool.free_slots == 1


def test_service_with_all_endpoints_ejected_stays_in_use():
    """All endpoints of the only zone fail, maybe because of one organisation.

    If all stayed ejected, no request could succeed or show that they recovered.
    """
    pool = make({"a": "z", "b": "z"})
    fail(pool, "a", "b")
    assert pool.all_ejected
    assert pool.free_slots == 2 * SLOTS


def test_failing_shard_is_probed_while_other_zones_serve():
    pool = make()
    fail(pool, "a", "b")
    assert pool.free_slots == 2
    pool.set_zone_ejected("y", ejected=True)
    assert pool.free_slots == 2 * SLOTS
    pool.set_zone_ejected("y", ejected=False)
    assert pool.free_slots == 2


def test_blocked_endpoint_gets_no_requests_until_the_block_expires():
    clock = Clock()
    pool = make(clock=clock)
    pool.set_blocked("a", blocked=True)
    assert pool.choose(request()) == "b"
    assert pool.free_slots == SLOTS
    clock.now += BLOCKED_TTL_SECONDS + 1
    assert pool.free_slots == 2 * SLOTS


def test_leaving_endpoint_of_the_document_gets_no_requests():
    pool = make()
    pool.apply_document(document({"a": "z", "b": "z"}, leaving=("a",)))
    assert pool.choose(request()) == "b"


def test_replaced_process_starts_with_a_new_state():
    """The VM of an endpoint is replaced while the endpoint is ejected."""
    pool = make({"a": "z", "b": "z"})
    fail(pool, "a")
    moved = document({"b": "z"})
    pool.apply_document(moved)
    pool.apply_document(document({"a": "z", "b": "z"}))
    assert pool.free_slots == 2 * SLOTS


def test_request_that_failed_on_all_endpoints_is_placed_again():
    """A request failed on the only endpoint of a service.

    If that endpoint stayed excluded, the request would wait until its deadline.
    """
    pool = make({"a": "z"})
    assert pool.choose(request(excluded=["a"])) == "a"


def test_excluded_endpoints_are_not_chosen():
    pool = make()
    assert pool.choose(request(excluded=["a"])) == "b"
    assert pool.choose(request(excluded=["a", "b"])) is None


def test_least_loaded_healthy_endpoint_is_chosen_over_the_limit():
    """An endpoint begins to fail while it still runs long requests.

    An interactive request above the slots must not start there.
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


def test_cached_prefix_is_preferred_up_to_a_load_difference():
    pool = make()
    pool.observe_cache(CacheEvent("b", 1, stored=(7,)))
    pool.acquire("b")
    assert pool.choose(request(prefix=7)) == "b"
    assert pool.choose(request(prefix=8)) == "a"
    pool.acquire("b")
    pool.acquire("b")
    assert pool.choose(request(prefix=7)) == "a"


def test_external_requests_reduce_the_free_slots():
    pool = make()
    pool.observe_load(LoadReport("a", 3, 0))
    assert pool.free_slots == 2 * SLOTS - 3
    pool.observe_load(LoadReport("a", -5, 0))
    pool.observe_load(LoadReport("nobody", 5, 0))
    assert pool.free_slots == 2 * SLOTS - 3


def test_faster_endpoint_is_preferred():
    pool = make()
    for endpoint, seconds in (("a", 4.0), ("b", 1.0)):
        for _ in range(SLOTS):
            pool.acquire(endpoint)
        for _ in range(SLOTS):
            pool.release(endpoint, False, seconds, 100.0)
    pool.acquire("b")
    assert pool.choose(request()) == "b"

"""Tests of what may have begun the streams of a route, without a network."""

from contextlib import contextmanager
from dataclasses import dataclass, replace

from hypothesis import given
from hypothesis import strategies as st
from teaselledge_fleet.migration.history import OriginHistory
from teaselledge_fleet.migration.journal import decode_row, encode_row
from teaselledge_fleet.migration.origins import StreamOrigin
from teaselledge_fleet.migration.record import (
    COUNTED_SECONDS,
    MAX_CHANGED_ROUTES,
    Observation,
    OriginRecord,
    decode_record,
    encode_record,
    next_record,
    targets_digest,
)
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.version.routes import (
    RetryPolicy,
    RoutingConfiguration,
    Target,
)
from teaselledge_standins.routes import make_route, make_routing

ROUTE = make_route(RetryPolicy.RESUME, stream=True)
MOVED_ROUTE = replace(ROUTE, targets=(Target("more"),))
ROUTING, MOVED = make_routing(ROUTE), make_routing(MOVED_ROUTE)
OLD, NEW, MORE = (
    StreamOrigin("books", "v1"),
    StreamOrigin("books", "v2"),
    StreamOrigin("more", "v1"),
)
STORE_TIME = 5000.0
ERA = 3


@dataclass
class ManualClock:
    """A clock that a test sets."""

    now: float = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


@contextmanager
def clock():
    yield ManualClock()


def engines(*origins: StreamOrigin) -> list[Endpoint]:
    return [
        Endpoint(f"e{n}", each.service, f"127.0.0.1:{n}", "z0", 4, version=each.version)
        for n, each in enumerate(origins)
    ]


def observe(*origins: StreamOrigin, **changes) -> Observation:
    fields = {"era": ERA, "routing": ROUTING, "recorded_routing": ROUTING, **changes}
    return Observation(present=frozenset(origins), **fields)


def started(clock: ManualClock, record: OriginRecord, *origins: StreamOrigin):
    """Return the history of a router that has just started, at `STORE_TIME`."""
    history = OriginHistory(clock)
    history.update(engines(*origins))
    history.update_routing(ROUTING)
    assert history.seed(record, ERA, STORE_TIME)
    return history


def test_a_version_counts_for_a_while_after_its_last_engine_has_left():
    record = next_record(None, observe(OLD), STORE_TIME)
    record = next_record(record, observe(OLD, NEW), STORE_TIME + 1)
    assert record.present == {OLD, NEW}
    record = next_record(record, observe(NEW), STORE_TIME + 2)
    assert record.origins == {OLD: STORE_TIME + 2, NEW: None}
    kept = next_record(record, observe(NEW), STORE_TIME + 2 + COUNTED_SECONDS)
    assert kept == record
    dropped = next_record(record, observe(NEW), STORE_TIME + 3 + COUNTED_SECONDS)
    assert dropped.origins == {NEW: None}


def test_a_router_that_has_just_started_knows_earlier_versions(clock):
    """Resumed streams were refused for a minute after all routers were killed."""
    record = OriginRecord(ERA, 0.0, {OLD: None}, targets_digest(ROUTING))
    assert started(clock, record, OLD).only_origin(ROUTE) == OLD
    left = replace(record, origins={OLD: STORE_TIME - 2.0, NEW: None})
    history = started(clock, left, NEW)
    assert history.only_origin(ROUTE) is None
    clock.now += COUNTED_SECONDS - 1.0
    assert history.only_origin(ROUTE) == NEW


def test_a_version_that_came_or_left_while_no_router_ran_counts(clock):
    """No router could write that the old version had left."""
    record = OriginRecord(ERA, 0.0, {OLD: None}, targets_digest(ROUTING))
    history = started(clock, record, NEW)
    assert history.only_origin(ROUTE) is None
    clock.now += COUNTED_SECONDS - 1.0
    assert history.only_origin(ROUTE) is None


def test_a_router_goes_on_from_the_record_with_what_it_hears(clock):
    record = OriginRecord(ERA, 0.0, {OLD: None}, targets_digest(ROUTING))
    history = started(clock, record, OLD)
    assert history.update(engines(OLD, NEW))
    assert history.only_origin(ROUTE) is None
    assert not history.update(engines(NEW))
    clock.now += COUNTED_SECONDS - 1.0
    assert history.only_origin(ROUTE) is None
    clock.now += 2.0
    assert history.only_origin(ROUTE) == NEW


def test_nothing_is_certain_without_the_record(clock):
    """A router that starts while the store is away must not join any streams."""
    record = OriginRecord(ERA, 0.0, {OLD: None}, targets_digest(ROUTING))
    history = started(clock, record, OLD)
    history.unseed()
    assert (history.known, history.only_origin(ROUTE)) == (False, None)
    assert history.seed(record, ERA, STORE_TIME)
    history.is_current = lambda: False
    assert (history.known, history.only_origin(ROUTE)) == (False, None)


def test_a_record_of_another_era_or_configuration_is_not_used(clock):
    record = OriginRecord(ERA, 0.0, {OLD: None}, targets_digest(ROUTING))
    history = OriginHistory(clock)
    history.update_routing(ROUTING)
    for other in (replace(record, era=ERA - 1), replace(record, targets_digest=1)):
        assert not history.seed(other, ERA, STORE_TIME)
        assert not history.known


def test_after_a_restore_nothing_is_certain_for_a_while(clock):
    """A version that was recorded after the copy was made is missing in it."""
    record = next_record(None, observe(OLD, era=ERA - 1), STORE_TIME - 9.0)
    record = next_record(record, observe(OLD), STORE_TIME)
    assert record.complete_since == STORE_TIME
    history = started(clock, record, OLD)
    assert history.only_origin(ROUTE) is None
    clock.now += COUNTED_SECONDS + 1.0
    assert history.only_origin(ROUTE) == OLD


def test_a_route_that_moved_is_uncertain_for_a_while(clock):
    """Its streams of before were begun by another service."""
    record = next_record(None, observe(OLD, MORE), STORE_TIME - 1.0)
    record = next_record(record, observe(OLD, MORE, routing=MOVED), STORE_TIME)
    history = OriginHistory(clock)
    history.update(engines(OLD, MORE))
    history.update_routing(MOVED)
    assert history.seed(record, ERA, STORE_TIME)
    assert history.only_origin(MOVED_ROUTE) is None
    clock.now += COUNTED_SECONDS + 1.0
    assert history.only_origin(MOVED_ROUTE) == MORE


def test_a_route_that_moved_while_no_router_ran_is_uncertain(clock):
    record = next_record(None, observe(OLD, MORE), STORE_TIME - 1.0)
    seen = observe(OLD, MORE, routing=MOVED, recorded_routing=None)
    record = next_record(record, seen, STORE_TIME)
    history = OriginHistory(clock)
    history.update(engines(OLD, MORE))
    history.update_routing(MOVED)
    assert history.seed(record, ERA, STORE_TIME)
    assert history.only_origin(MOVED_ROUTE) is None


def test_a_route_with_several_services_is_uncertain(clock):
    split = replace(ROUTE, targets=(Target("books"), Target("more")))
    record = OriginRecord(ERA, 0.0, {OLD: None}, targets_digest(ROUTING))
    assert started(clock, record, OLD).only_origin(split) is None


def test_a_record_of_very_many_changes_stays_within_a_row():
    routes = tuple(
        replace(ROUTE, prefix=f"/{n}/") for n in range(MAX_CHANGED_ROUTES + 1)
    )
    many = RoutingConfiguration(2, routes, {}, ())
    record = next_record(None, observe(OLD), STORE_TIME)
    record = next_record(record, observe(OLD, routing=many), STORE_TIME)
    assert record.complete_since == STORE_TIME
    assert len(encode_record(record)) < 65_536


def test_records_are_encoded_and_decoded():
    record = OriginRecord(ERA, 4.5, {OLD: None, NEW: 7.25}, 1 << 63, {1 << 63: 8.5})
    assert decode_record(encode_record(record)).ok == record
    origins = {1: OLD, 2: NEW, (1 << 62) + 5: OLD}
    assert decode_row(encode_row(origins)) == origins


@given(st.one_of(st.binary(), st.sampled_from([b"[" * 5000, b"{}", b"[]", b"null"])))
def test_rows_that_can_not_be_read_hold_nothing(data):
    """A row of another writer must not end the task that reads it."""
    assert decode_record(data).is_error()
    assert decode_row(data) == {}

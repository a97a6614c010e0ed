"""Tests of which routers callers are sent to."""

import random
from collections import Counter

from teaselledge_fleet.process.addresses import addresses_for
from teaselledge_fleet.process.members import Member, MemberState

ZONES = {"a": "west", "b": "west", "c": "east"}


def router(name: str, cores: float = 1.0, busy: float = 0.0) -> Member:
    zone = name[0]
    address = f"{name}:80"
    return Member(
        name, 1, zone, ZONES[zone], address, "", MemberState.READY, cores, busy
    )


def picks(ready: list[Member], zone: str = "a") -> Counter[str]:
    """Return how often callers that ask anew each time pick each router."""
    random.seed(1)
    found: Counter[str] = Counter()
    for _ in range(4000):
        named = addresses_for(ready, ZONES, zone, ZONES[zone])
        found[random.choice(named).partition(":")[0]] += 1
    return found


def test_callers_stay_in_their_zone():
    ready = [router(name) for name in ("a1", "a2", "a3", "b1", "c1")]
    assert set(picks(ready)) == {"a1", "a2", "a3"}


def test_one_router_alone_is_not_enough():
    """The only router of a zone may die; callers would have none until they ask."""
    ready = [router(name) for name in ("a1", "b1", "c1")]
    named = addresses_for(ready, ZONES, "a", "west")
    assert named == ["a1:80", "b1:80"]


def test_larger_routers_get_more_callers():
    """Routers of a zone differ fourfold; alike shares would use up the small ones."""
    ready = [router("a1", 0.5), router("a2", 0.5), router("a3", 2.0), router("a4", 2.0)]
    found = picks(ready)
    assert found["a3"] > 1.8 * found["a1"]


def test_a_busy_zone_sends_callers_elsewhere():
    """Half of all callers are in one zone; its routers can't serve them alone."""
    ready = [router(f"a{n}", busy=0.9) for n in range(4)]
    ready += [router(f"b{n}", busy=0.2) for n in range(4)]
    found = picks(ready)
    elsewhere = sum(count for name, count in found.items() if name[0] == "b") / 4000
    assert 0.3 < elsewhere < 0.5


def test_without_a_ready_router_nothing_is_named():
    assert addresses_for([], ZONES, "a", "west") == []


def test_an_unknown_zone_gets_routers_all_the_same():
    ready = [router("b1"), router("c1")]
    assert len(addresses_for(ready, ZONES, "nowhere", "")) == 2


def test_a_router_that_is_used_up_is_not_named():
    ready = [router("a1", busy=0.95), router("a2"), router("a3"), router("b1")]
    assert set(picks(ready)) == {"a2", "a3"}


def test_used_up_routers_are_better_than_none():
    ready = [router("a1", busy=0.95), router("a2", busy=0.95)]
    assert len(addresses_for(ready, ZONES, "a", "west")) == 2

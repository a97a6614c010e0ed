"""Tests of the router addresses that callers get."""

import random
from collections import Counter

from teaselledge_fleet.process.addresses import addresses_for
from teaselledge_fleet.process.members import Member, MemberState

ZONES = {"a": "west", "b": "west", "c": "east"}


def router(name: str, cores: float = 1.0, utilisation: float = 0.0) -> Member:
    zone = name[0]
    address = f"{name}:80"
    return Member(
        name, 1, zone, ZONES[zone], address, "", MemberState.READY, cores, utilisation
    )


def picks(ready: list[Member], zone: str = "a") -> Counter[str]:
    """Return how often each router is picked if each connection requests addresses."""
    random.seed(1)
    found: Counter[str] = Counter()
    for _ in range(4000):
        addresses = addresses_for(ready, ZONES, zone, ZONES[zone])
        found[random.choice(addresses).partition(":")[0]] += 1
    return found


def test_callers_stay_in_their_zone():
    ready = [router(name) for name in ("a1", "a2", "a3", "b1", "c1")]
    assert set(picks(ready)) == {"a1", "a2", "a3"}


def test_callers_of_a_zone_with_one_router_get_another_one():
    """If the only router dies, callers have none until they request addresses again."""
    ready = [router(name) for name in ("a1", "b1", "c1")]
    addresses = addresses_for(ready, ZONES, "a", "west")
    assert addresses == ["a1:80", "b1:80"]


def test_larger_routers_get_more_callers():
    """Cores in a zone differ fourfold; equal shares would overload small routers."""
    ready = [router("a1", 0.5), router("a2", 0.5), router("a3", 2.0), router("a4", 2.0)]
    found = picks(ready)
    assert found["a3"] > 1.8 * found["a1"]


def test_callers_of_an_overloaded_zone_get_routers_of_other_zones():
    """Half of all callers are in one zone, and its routers can't serve them all."""
    ready = [router(f"a{n}", utilisation=0.9) for n in range(4)]
    ready += [router(f"b{n}", utilisation=0.2) for n in range(4)]
    found = picks(ready)
    fraction = sum(count for name, count in found.items() if name[0] == "b") / 4000
    assert 0.3 < fraction < 0.5


def test_without_a_ready_router_no_address_is_returned():
    assert addresses_for([], ZONES, "a", "west") == []


def test_callers_of_an_unknown_zone_get_routers():
    ready = [router("b1"), router("c1")]
    assert len(addresses_for(ready, ZONES, "nowhere", "")) == 2


def test_overloaded_router_is_not_returned():
    ready = [router("a1", utilisation=0.95), router("a2"), router("a3"), router("b1")]
    assert set(picks(ready)) == {"a2", "a3"}


def test_overloaded_routers_are_returned_if_there_are_no_others():
    ready = [router("a1", utilisation=0.95), router("a2", utilisation=0.95)]
    assert len(addresses_for(ready, ZONES, "a", "west")) == 2

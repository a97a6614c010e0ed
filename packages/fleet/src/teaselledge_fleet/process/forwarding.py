"""Pass messages on among routers, so that none sends them to all."""

import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from teaselledge_fleet.process.members import Member
from teaselledge_fleet.process.work import name_hash

__all__ = [
    "MAX_FORWARDER_UTILISATION",
    "Delivery",
    "SeenMessages",
    "plan_deliveries",
    "forwarding_order",
]

FANOUT = 2
"""Routers of the own region to which one router sends a message. 32 routers are then
reached in five steps, and no router sends more than two copies."""

MAX_FORWARDER_UTILISATION = 0.7
"""Part of its processor time beyond which a router is put last, where it has nobody to
pass the message on to."""


SENDERS = 64
"""Senders whose messages are remembered: aggregators, and those before them."""

REMEMBERED = 16
"""Messages of a sender that may overtake one another on their ways."""


@dataclass(frozen=True)
class Delivery:
    """One copy of a message.

    Attributes
    ----------
    recipient : Member
        Who gets it.
    forward_to : list of int
        Numbers of the routers to which that one passes it on.
    unknown_members : tuple of Member
        Those of them that it may not know.
    """

    recipient: Member
    forward_to: list[int]
    unknown_members: tuple[Member, ...] = ()


def forwarding_order(members: Iterable[Member]) -> list[int]:
    """Return the numbers of routers in the order in which they are to be reached.

    Those in the first half pass the message on. The order is another one each time: a
    router that has died cuts others off for a single message only.
    """
    shuffled = list(members)
    random.shuffle(shuffled)
    shuffled.sort(key=lambda member: member.utilisation > MAX_FORWARDER_UTILISATION)
    return [name_hash(member.vm) for member in shuffled]


def plan_deliveries(
    keys: Sequence[int], region: str, find: Callable[[int], Member | None]
) -> list[Delivery]:
    """Return the copies by which a message reaches all routers of some numbers.

    One copy goes to each other region, and is passed on there.

    Parameters
    ----------
    keys : sequence of int
        Whom it is to reach, in order.
    region : str
        Where the sender is.
    find : callable
        Returns the router of a number, None where it is not known.
    """
    by_region: dict[str, list[int]] = {}
    for key in keys:
        member = find(key)
        # others may know a router that this one does not
        place = region if member is None else member.region
        by_region.setdefault(place, []).append(key)
    own = by_region.pop(region, [])
    parts = [*(own[start::FANOUT] for start in range(FANOUT)), *by_region.values()]
    found = (_delivery(part, find) for part in parts)
    return [delivery for delivery in found if delivery is not None]


def _delivery(
    part: Sequence[int], find: Callable[[int], Member | None]
) -> Delivery | None:
    """Return the copy for the first router that is known, to be passed to the rest."""
    for key in part:
        member = find(key)
        if member is not None:
            return Delivery(member, [other for other in part if other != key])
    return None


class SeenMessages:
    """Remembers which messages came, so that none is passed on twice."""

    def __init__(self) -> None:
        self._seen: dict[int, deque[int]] = {}

    def add(self, incarnation: int, sequence: int) -> bool:
        """Note a message of a sender; False where it came before or is too old."""
        seen = self._seen.setdefault(incarnation, deque(maxlen=REMEMBERED))
        if sequence in seen or (seen and sequence <= max(seen) - REMEMBERED):
            return False
        seen.append(sequence)
        if len(self._seen) > SENDERS:
            del self._seen[next(iter(self._seen))]
        return True

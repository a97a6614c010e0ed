"""Forward messages from router to router, so that no router sends them to all."""

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
"""Routers of its own region to which a router sends a message. 32 routers are then
reached in five hops, and no router sends more than two copies."""

MAX_FORWARDER_UTILISATION = 0.7
"""Utilisation above which a router is placed last in the forwarding order, where it has
no routers to forward a message to."""


MAX_SENDERS = 64
"""Maximum of senders whose messages are recorded: aggregators and former ones."""

REORDER_WINDOW_MESSAGES = 16
"""Messages of a sender that may arrive out of order."""


@dataclass(frozen=True)
class Delivery:
    """One copy of a message.

    Attributes
    ----------
    recipient : Member
        Router that gets the copy.
    forward_to : list of int
        Hashes of the routers to which the recipient forwards it.
    unknown_members : tuple of Member
        Those of these routers that the recipient may not know.
    """

    recipient: Member
    forward_to: list[int]
    unknown_members: tuple[Member, ...] = ()


def forwarding_order(members: Iterable[Member]) -> list[int]:
    """Return the hashes of routers in the order in which they are to be reached.

    Routers in the first half forward the message. The order is random each time, so
    that a dead router cuts off others for a single message only.
    """
    shuffled = list(members)
    random.shuffle(shuffled)
    shuffled.sort(key=lambda member: member.utilisation > MAX_FORWARDER_UTILISATION)
    return [name_hash(member.vm) for member in shuffled]


def plan_deliveries(
    hashes: Sequence[int], region: str, find: Callable[[int], Member | None]
) -> list[Delivery]:
    """Return the deliveries by which a message reaches all routers of some hashes.

    One copy goes to each other region and is forwarded there.

    Parameters
    ----------
    hashes : sequence of int
        Hashes of the routers to be reached, in order.
    region : str
        Region of the sender.
    find : callable
        Returns the router of a hash; None if it is not known.
    """
    by_region: dict[str, list[int]] = {}
    for vm_hash in hashes:
        member = find(vm_hash)
        # a router unknown here may be known to those that forward the message
        member_region = region if member is None else member.region
        by_region.setdefault(member_region, []).append(vm_hash)
    own = by_region.pop(region, [])
    groups = [*(own[start::FANOUT] for start in range(FANOUT)), *by_region.values()]
    deliveries = (_delivery(group, find) for group in groups)
    return [delivery for delivery in deliveries if delivery is not None]


def _delivery(
    hashes: Sequence[int], find: Callable[[int], Member | None]
) -> Delivery | None:
    """Return the delivery to the first known router, which forwards to the rest."""
    for vm_hash in hashes:
        member = find(vm_hash)
        if member is not None:
            return Delivery(member, [other for other in hashes if other != vm_hash])
    return None


class SeenMessages:
    """Records which messages were received, so that none is forwarded twice."""

    def __init__(self) -> None:
        self._seen: dict[int, deque[int]] = {}

    def add(self, incarnation: int, sequence: int) -> bool:
        """Record a message; False if it is a duplicate or too old."""
        seen = self._seen.setdefault(incarnation, deque(maxlen=REORDER_WINDOW_MESSAGES))
        if sequence in seen or (
            seen and sequence <= max(seen) - REORDER_WINDOW_MESSAGES
        ):
            return False
        seen.append(sequence)
        if len(self._seen) > MAX_SENDERS:
            del self._seen[next(iter(self._seen))]
        return True

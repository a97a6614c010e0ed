"""Keep the origins of streams at two other routers, and ask them."""

import asyncio
import random
from collections.abc import Callable, Iterable

import xxhash
from teaselledge_wire.gen.fleet.ttypes import OriginNote, OriginReply, OriginRequest

from teaselledge_fleet.connection.replies import PendingReplies
from teaselledge_fleet.migration.origins import NotFound, OriginTable, StreamOrigin
from teaselledge_fleet.process.admissionrpc import PeerTransport
from teaselledge_fleet.process.coordinators import Coordinators
from teaselledge_fleet.process.members import Member, Members

__all__ = ["OriginDirectory"]

KEEPER_ZONES = 2
"""Zones with a router that keeps an origin, so that no lost zone loses both."""

ASKED_PER_ZONE = 2
"""Routers of a zone that are asked. Routers disagree for some seconds on whether one of
the zone is alive, and then on which of them keeps an origin."""

ASKED_FOR_CONTACT = 3
"""Routers that are asked whether any of them answers."""

NO_STREAM = 0
"""Key of a question to which any answer will do."""

REPLY_SECONDS = 0.1
"""Time to wait for replies; a round trip between regions takes 40 ms."""


class OriginDirectory:
    """Client and server of the origins that the fleet keeps.

    The router that began a stream may be gone when its caller takes it up. So the
    origin is sent to two others when the first event is, which costs each of them as
    little as a datagram.

    Parameters
    ----------
    members : Members
        The routers.
    zones : iterable of str
        All zones, the same on every router.
    socket : PeerTransport
        Transport to other routers.
    coordinators : Coordinators
        Names routers of each zone on which all routers agree.

    Attributes
    ----------
    on_durable : callable
        Called with each origin that this router must write to the store.
    """

    def __init__(
        self,
        members: Members,
        zones: Iterable[str],
        socket: PeerTransport,
        coordinators: Coordinators,
    ) -> None:
        self._members = members
        self._zones = tuple(zones)
        self._socket = socket
        self._coordinators = coordinators
        self._table = OriginTable()
        self._replies: PendingReplies[StreamOrigin | NotFound] = PendingReplies()
        self._sequence = 0
        self.on_durable: Callable[[int, StreamOrigin], None] = lambda key, origin: None
        socket.on(OriginNote, self._handle_note)
        socket.on(OriginRequest, self._handle_request)
        socket.on(OriginReply, self._handle_reply)

    def record(self, key: int, origin: StreamOrigin) -> None:
        """Keep the origin of a stream here and at two other routers."""
        self._table.record(key, origin)
        ranked = self._ranked_keepers(key)
        keepers = [members[0] for members in ranked]
        if len(ranked) == 1:
            keepers = ranked[0][:KEEPER_ZONES]
        note = OriginNote(key, origin.service, origin.version)
        self._socket.send_all([each.peer_address for each in keepers], note)

    def write_to_journal(self, key: int, origin: StreamOrigin) -> None:
        """Have the origin of a stream written to the store.

        One router of each zone writes, as each of its writes holds many origins.
        """
        own = self._members.own
        writer = next(iter(self._coordinators.for_zone(own.zone)), own)
        if writer.vm == own.vm:
            self.on_durable(key, origin)
            return
        note = OriginNote(key, origin.service, origin.version, durable=True)
        self._socket.send(writer.peer_address, note)

    async def find(self, key: int) -> StreamOrigin | NotFound:
        """Return what began a stream, by the first router that knows it."""
        known = self._table.get(key)
        if known is not None:
            return known
        asked = [
            member
            for members in self._ranked_keepers(key)
            for member in members[:ASKED_PER_ZONE]
        ]
        if not asked:
            return NotFound.UNKNOWN
        asking = [asyncio.create_task(self._ask(each, key)) for each in asked]
        result = NotFound.UNKNOWN
        try:
            for reply in asyncio.as_completed(asking):
                found = await reply
                if isinstance(found, StreamOrigin):
                    return found
                if found is NotFound.UNANSWERED:
                    result = found
        finally:
            for task in asking:
                task.cancel()
        return result

    async def is_in_contact(self) -> bool:
        """Return whether another router answers now; True if none is known."""
        members = self._members.alive or self._members.peers
        if not members:
            return True
        asked = random.sample(members, min(ASKED_FOR_CONTACT, len(members)))
        replies = await asyncio.gather(*(self._ask(each, NO_STREAM) for each in asked))
        return any(reply is not NotFound.UNANSWERED for reply in replies)

    async def _ask(self, member: Member, key: int) -> StreamOrigin | NotFound:
        self._sequence += 1
        sequence = self._sequence
        self._socket.send(member.peer_address, OriginRequest(sequence, key))
        reply = await self._replies.wait(sequence, REPLY_SECONDS)
        return reply if reply is not None else NotFound.UNANSWERED

    def _ranked_keepers(self, key: int) -> list[list[Member]]:
        """Return the other routers that keep an origin, by zone, the first one first.

        Each router ranks zones and routers by the same hashes.
        """
        own = self._members.own.vm
        ranked = []
        for zone in sorted(self._zones, key=lambda zone: _rank(key, zone)):
            members = [m for m in self._coordinators.for_zone(zone) if m.vm != own]
            if members:
                ranked.append(sorted(members, key=lambda m: _rank(key, m.vm)))
            if len(ranked) == KEEPER_ZONES:
                break
        return ranked

    def _handle_note(self, note: OriginNote, sender: str) -> None:
        origin = StreamOrigin(note.service_name or "", note.version or "")
        self._table.record(note.stream or 0, origin)
        if note.durable:
            self.on_durable(note.stream or 0, origin)

    def _handle_request(self, request: OriginRequest, sender: str) -> None:
        origin = self._table.get(request.stream or 0)
        reply = OriginReply(request.sequence)
        if origin is not None:
            reply.service_name, reply.version = origin.service, origin.version
        self._socket.send(sender, reply)

    def _handle_reply(self, reply: OriginReply, sender: str) -> None:
        found: StreamOrigin | NotFound = NotFound.UNKNOWN
        if reply.service_name is not None:
            found = StreamOrigin(reply.service_name, reply.version or "")
        self._replies.resolve(reply.sequence or 0, found)


def _rank(key: int, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())

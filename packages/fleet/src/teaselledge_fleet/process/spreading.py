"""Tell other routers what this one knows, and learn from them."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from teaselledge_wire.gen.fleet.ttypes import (
    EndpointState,
    EndpointWork,
    OrganisationUse,
    Pulse,
    WholeState,
)

from teaselledge_fleet.connection.codec import PROTOCOL
from teaselledge_fleet.connection.peers import PeerSocket, StateClient
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.belief import Belief
from teaselledge_fleet.process.endpoints import Endpoint, Entry
from teaselledge_fleet.process.members import Member, Members

__all__ = ["SharedWork", "Spreading"]

_log = get_log("peers")

PULSE_SECONDS = 0.25
"""Time between two pulses to a router.

What routers have under way at an engine changes within the time that a long prompt
takes to read, about 0.2 s. Half as often saves 2 KB/s a router at nine routers.
"""

CHANGES_A_PULSE = 8
"""Changed entries in one datagram; each takes about 80 bytes, and a datagram over
1,400 bytes would be sent in parts."""

REPEATED = 3
"""Pulses in which a change is told, against losses."""

RUMOURS = 3
"""Other routers named in each pulse."""

FETCH_PAUSE = 0.4
"""Least time between two fetches of a whole state."""


class SharedWork(Protocol):
    """What placing requests needs to tell and to hear."""

    def tell_work(self) -> list[EndpointWork]:
        """Return what this router has under way."""

    def tell_uses(self) -> list[OrganisationUse]:
        """Return what organisations received here."""

    def hear(
        self, vm: str, work: list[EndpointWork], uses: list[OrganisationUse]
    ) -> None:
        """Take the same from another router."""


class Spreading:
    """Sends pulses to the other routers and takes theirs."""

    def __init__(
        self,
        members: Members,
        belief: Belief,
        seeds: Iterable[str],
        work: SharedWork,
    ) -> None:
        self._members = members
        self._belief = belief
        self._seeds = tuple(seeds)
        self._work = work
        self._socket = PeerSocket(self._hear)
        self._client = StateClient()
        self._sequence = 0
        self._told: list[tuple[Entry, int]] = []
        self._next_fetch = 0.0
        self._fetching: asyncio.Task[None] | None = None
        self._soon = asyncio.Event()
        self.on_members: Callable[[], None] = lambda: None
        belief.on_change.append(self._soon.set)

    @property
    def sent_bytes(self) -> int:
        """Bytes sent to other routers in datagrams."""
        return self._socket.sent_bytes

    async def listen(self, host: str, port: int) -> None:
        """Open the socket."""
        await self._socket.listen(host, port)

    async def run(self) -> None:
        """Send pulses for ever, and at once after a change."""
        while True:
            self.pulse()
            self._soon.clear()
            try:
                async with asyncio.timeout(PULSE_SECONDS * random.uniform(0.9, 1.1)):
                    await self._soon.wait()
            except TimeoutError:
                continue

    def pulse(self) -> None:
        """Send a pulse to each router."""
        pulse = self._make()
        others = self._members.others
        for member in others:
            self._socket.send(member.peers, pulse)
        known = {member.peers for member in others}
        for seed in self._seeds:
            if seed not in known and seed != self._members.own.peers:
                self._socket.send(seed, pulse)

    def state(self) -> WholeState:
        """Return everything this router knows."""
        belief = self._belief
        return WholeState(
            PROTOCOL,
            self._members.own.to_wire(),
            belief.version,
            belief.configuration,
            belief.view.digest,
            _milliseconds(belief.age),
            [_to_wire(entry) for entry in belief.view],
            [member.to_wire() for member in self._members.answering],
        )

    async def learn_from(self, address: str) -> bool:
        """Fetch everything that a router knows; False where that failed."""
        fetched = await self._client.fetch(address)
        if fetched.is_error():
            _log.info("state not fetched", peer=address, error=fetched.error)
            return False
        self._take_state(fetched.ok)
        return True

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
        self._client.close()

    def _make(self) -> Pulse:
        belief = self._belief
        self._told += [(entry, REPEATED) for entry in belief.take_changes()]
        now, later = self._told[:CHANGES_A_PULSE], self._told[CHANGES_A_PULSE:]
        self._told = later + [(entry, left - 1) for entry, left in now if left > 1]
        if later:
            self._soon.set()
        self._sequence += 1
        answering = self._members.answering
        rumours = random.sample(answering, min(RUMOURS, len(answering)))
        return Pulse(
            PROTOCOL,
            self._members.own.to_wire(),
            self._sequence,
            belief.version,
            belief.view.digest,
            _milliseconds(belief.age),
            belief.follower,
            [_to_wire(entry) for entry, _ in now],
            self._work.tell_work(),
            self._work.tell_uses(),
            [member.to_wire() for member in rumours],
        )

    def _hear(self, pulse: Pulse) -> None:
        sender = Member.from_wire(pulse.sender)
        if sender.vm == self._members.own.vm:
            return
        if self._members.hear(sender):
            _log.info(
                "router heard",
                vm=sender.vm,
                incarnation=sender.incarnation,
                state=sender.state.name.lower(),
            )
            self.on_members()
        for info in pulse.others or ():
            if self._members.rumour(Member.from_wire(info)):
                self.on_members()
        belief = self._belief
        if pulse.changes:
            belief.take_news(map(_from_wire, pulse.changes), sender.vm)
        if pulse.store_age is not None and pulse.store_age >= 0:
            belief.confirm(pulse.digest, pulse.store_age / 1000, pulse.follower or "")
        self._work.hear(sender.vm, pulse.work or [], pulse.uses or [])
        if self._behind(pulse):
            self._fetch(sender)

    def _behind(self, pulse: Pulse) -> bool:
        """Whether the sender of a pulse knows what this router doesn't."""
        belief = self._belief
        if (pulse.version or 0) > belief.version:
            return True
        if pulse.digest == belief.view.digest or (pulse.store_age or -1) < 0:
            return False
        age = belief.age
        return age is None or pulse.store_age / 1000 < age

    def _fetch(self, sender: Member) -> None:
        now = asyncio.get_running_loop().time()
        if self._fetching is not None and not self._fetching.done():
            return
        if now < self._next_fetch:
            return
        self._next_fetch = now + FETCH_PAUSE
        self._fetching = asyncio.create_task(self._fetch_from(sender.peers))

    async def _fetch_from(self, address: str) -> None:
        if not await self.learn_from(address):
            # another sender's next pulse starts the next fetch
            self._next_fetch = 0.0

    def _take_state(self, state: WholeState) -> None:
        belief = self._belief
        vm = state.sender.vm
        if state.configuration and (state.version or 0) > belief.version:
            belief.take_configuration(state.configuration, vm)
        belief.take_news(map(_from_wire, state.endpoints or ()), vm)
        if state.store_age is not None and state.store_age >= 0:
            belief.confirm(state.digest, state.store_age / 1000, vm)
        self._members.rumour(Member.from_wire(state.sender))
        for info in state.routers or ():
            self._members.rumour(Member.from_wire(info))
        self.on_members()


def _milliseconds(seconds: float | None) -> int:
    return -1 if seconds is None else min(int(seconds * 1000), 1 << 30)


def _to_wire(entry: Entry) -> EndpointState:
    endpoint = entry.endpoint
    if endpoint is None:
        return EndpointState(entry.id, entry.revision, True)
    return EndpointState(
        entry.id,
        entry.revision,
        False,
        endpoint.service,
        endpoint.address,
        endpoint.zone,
        endpoint.slots,
        endpoint.leaving,
        endpoint.born,
    )


def _from_wire(state: EndpointState) -> Entry:
    if state.gone:
        return Entry(state.id, state.revision, None)
    endpoint = Endpoint(
        state.id,
        state.service_name or "",
        state.address or "",
        state.zone or "",
        state.slots or 1,
        bool(state.leaving),
        0.0,
        state.born or 0,
    )
    return Entry(state.id, state.revision, endpoint)

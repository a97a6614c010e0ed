"""What an ingress has waiting and running, and its grants."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok, Result
from teaselledge_wire.gen.router.ttypes import (
    Accept,
    Decline,
    Done,
    Grant,
    Preempt,
    Progress,
    Register,
    Running,
    Snapshot,
    SnapshotReply,
    Withdraw,
)

from teaselledge.errors import ErrorKind, Fault
from teaselledge.metrics import Metrics, NullMetrics
from teaselledge.process.due import is_due
from teaselledge.process.holding import digest_of_requests
from teaselledge.process.member import Member
from teaselledge.process.mesh import Mesh, Origin, make_message
from teaselledge.process.placement import Placement, Shard, home_shard
from teaselledge.process.settings import Limits
from teaselledge.version.document import Version

__all__ = ["SlotGrant", "Ingress", "IngressLimits", "SlotRequest"]

DIGEST_SECONDS = 1.0
"""Interval at which an ingress compares with its dispatchers."""

REFRESH_SECONDS = 0.2
"""Interval at which it looks whether a shard has another dispatcher."""

REPLY_TIMEOUT_SECONDS = 2.5
"""Silence after which a dispatcher that should answer is passed over."""

QUIET_DIGESTS = 3
"""Digests that are sent after the last request at a dispatcher has ended."""

PROGRESS_FACTOR = 1.5
"""Growth of a stream's cost over its charge that is told before the end."""


@dataclass(frozen=True)
class SlotRequest:
    """A request that asks for a slot.

    Attributes
    ----------
    organisation, service, kind : str
        Names from the document.
    cost_hint : float
        Expected cost, in the service's unit.
    deadline : float
        Loop time at which the caller must have a final answer.
    body_bytes : int
        Size of the body, for the price of moving it.
    repeatable : bool
        Whether running it twice does no harm.
    prefix : int or None
        Hash of the prompt's prefix.
    excluded : tuple of str
        Endpoints that failed this request already.
    response_started : bool
        Part of its answer has reached the caller.
    """

    organisation: str
    service: str
    kind: str
    cost_hint: float
    deadline: float
    body_bytes: int = 0
    repeatable: bool = True
    prefix: int | None = None
    excluded: tuple[str, ...] = ()
    response_started: bool = False


class _HandedBackError(Exception):
    def __init__(self, fault: Fault) -> None:
        super().__init__(fault)
        self.fault = fault


@dataclass(frozen=True)
class SlotGrant:
    """A slot for one request.

    Attributes
    ----------
    endpoint : str
        Name of the endpoint.
    dispatcher : Origin
        Who granted it.
    shard : Shard
        The endpoint's shard.
    grant, request : int
        Numbers of the dispatcher and of the ingress.
    charged : float
        What the organisation was charged at first.
    preempted : asyncio.Event
        Set when the dispatcher wants the slot back: the stream should be
        cancelled, released and its rest acquired again.
    """

    endpoint: str
    dispatcher: Origin
    shard: Shard
    grant: int
    request: int
    charged: float
    preempted: asyncio.Event = field(default_factory=asyncio.Event, compare=False)


@dataclass(frozen=True)
class IngressLimits:
    """What may wait in one router.

    Attributes
    ----------
    waiting : int
        Requests in total.
    waiting_bytes : int
        Bytes of their bodies in total.
    """

    waiting: int = 2000
    waiting_bytes: int = 64 << 20

    @classmethod
    def from_config(cls, limits: Limits) -> "IngressLimits":
        """Return the limits from the settings."""
        return cls(limits.waiting, limits.waiting_bytes)


@dataclass
class _Waiting:
    ticket: SlotRequest
    arrived: float
    shard: Shard
    vm: str
    granted: "asyncio.Future[SlotGrant]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


@dataclass
class _Running:
    ticket: SlotRequest
    granted: SlotGrant
    vm: str
    since: float
    charged: float


@dataclass(frozen=True)
class _Place:
    """A dispatcher as this ingress addresses it."""

    vm: str
    shard: Shard


@dataclass
class _Held:
    waiting: list[int] = field(default_factory=list)
    running: list[int] = field(default_factory=list)


class Ingress:
    """Registers requests with dispatchers and takes their grants.

    It is the single owner of each request: whichever grant it takes first
    counts, and it declines every other.
    """

    def __init__(
        self,
        zone: str,
        mesh: Mesh,
        version: Callable[[], Version | None],
        members: Callable[[], Iterable[Member]],
        limits: IngressLimits | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._zone = zone
        self._mesh = mesh
        self._version = version
        self._limits = limits or IngressLimits()
        self._metrics = metrics or NullMetrics()
        self._placement = Placement(members)
        self._waiting: dict[int, _Waiting] = {}
        self._running: dict[int, _Running] = {}
        self._per_organisation: Counter[str] = Counter()
        self._waiting_bytes = 0
        self._next_request = 1
        self._unanswered: dict[str, float] = {}
        self._quiet: dict[_Place, int] = {}
        mesh.subscribe("grant", self._on_grant)
        mesh.subscribe("preempt", self._on_preempt)
        mesh.subscribe("snapshot_reply", self._on_reply)

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    async def acquire(self, ticket: SlotRequest) -> Result[SlotGrant, Fault]:
        """Wait for a slot until the ticket's deadline.

        Returns
        -------
        Result of Granted or Fault
            The slot, to be given to `release`, or why there is none; the
            request did not run then.
        """
        version = self._version()
        if version is None:
            return Error(Fault(ErrorKind.NOT_CONFIGURED))
        shard = home_shard(
            version.document, ticket.service, self._zone, ticket.excluded
        )
        if shard is None:
            return Error(Fault(ErrorKind.NO_ENDPOINT))
        refused = self._refusal(version, ticket)
        if refused is not None:
            return Error(refused)
        number = self._add(ticket, shard)
        waiting = self._waiting[number]
        try:
            async with asyncio.timeout_at(ticket.deadline):
                granted = await waiting.granted
        except TimeoutError:
            self._abandon(number)
            return Error(Fault(ErrorKind.QUEUE_TIMEOUT))
        except _HandedBackError as handed_back:
            self._abandon(number)
            return Error(handed_back.fault)
        except asyncio.CancelledError:
            self._abandon(number)
            raise
        return Ok(granted)

    def reject_waiting(self, fault: Fault) -> None:
        """Give up what waits and has not begun, with a final answer at once."""
        for waiting in self._waiting.values():
            ticket = waiting.ticket
            if waiting.granted.done() or ticket.response_started or ticket.excluded:
                continue
            waiting.granted.set_exception(_HandedBackError(fault))

    def report_cost(self, granted: SlotGrant, cost: float) -> None:
        """Tell what a stream has cost so far; cheap to call for each part.

        A hint that is far too low would let long streams look cheap until
        they end; the charge follows them instead.
        """
        running = self._running.get(granted.request)
        if running is None or not cost > running.charged * PROGRESS_FACTOR:
            return
        running.charged = cost
        body = Progress(granted.grant, granted.request, cost)
        self._send(_Place(running.vm, granted.shard), "progress", body)

    def release(self, granted: SlotGrant, cost: float, failed: bool) -> None:
        """Give a slot back and tell what it cost."""
        running = self._running.pop(granted.request, None)
        if running is None:
            return
        seconds = asyncio.get_running_loop().time() - running.since
        body = Done(granted.grant, cost, failed, seconds, granted.request)
        self._send(_Place(running.vm, granted.shard), "done", body)

    async def run(self) -> None:
        """Follow the dispatchers and compare with them, until cancelled."""
        loop = asyncio.get_running_loop()
        next_digest = loop.time() + DIGEST_SECONDS
        while True:
            await asyncio.sleep(REFRESH_SECONDS)
            now = loop.time()
            self._suspect(now)
            self.refresh_placement()
            if is_due(now, next_digest):
                next_digest = now + DIGEST_SECONDS
                self.send_digests()

    def refresh_placement(self) -> None:
        """Look at the members, and move where a shard has another dispatcher."""
        if self._placement.refresh():
            self.reassign_requests()

    def reassign_requests(self) -> None:
        """Hand over to the dispatchers that the shards have now."""
        moved: set[_Place] = set()
        for waiting in self._waiting.values():
            vm = self._dispatcher(waiting.shard)
            if vm == waiting.vm:
                continue
            waiting.vm = vm
            moved.add(_Place(vm, waiting.shard))
        for running in self._running.values():
            granted = running.granted
            vm = self._dispatcher(granted.shard)
            if vm in ("", running.vm):
                continue
            # the old dispatcher must not count the slot any more, and must
            # leave the rest of the charge to the new one
            body = Done(granted.grant, 0.0, False, 0.0, granted.request, True)
            self._send(_Place(running.vm, granted.shard), "done", body)
            running.vm = vm
            moved.add(_Place(vm, granted.shard))
        held = self._held()
        for place in sorted(moved, key=lambda p: (p.vm, p.shard.zone)):
            self._send_full(place, held.get(place, _Held()))

    def send_digests(self) -> None:
        """Send a digest of what is held to each dispatcher."""
        held = self._held()
        now = asyncio.get_running_loop().time()
        for place in held:
            self._quiet[place] = QUIET_DIGESTS
        for place, left in list(self._quiet.items()):
            self._quiet[place] = left - 1
            if left <= 1:
                del self._quiet[place]
            if not place.vm:
                continue
            requests = held.get(place, _Held())
            digest = digest_of_requests(requests.waiting + requests.running)
            body = Snapshot([], [], digest.count, digest.value, False)
            self._unanswered.setdefault(place.vm, now)
            self._send(place, "snapshot", body)
        for vm in self._placement.suspects:
            # shows when the way to a dispatcher is open again
            service = next(iter(held), None)
            if service is not None:
                body = Snapshot([], [], 0, 0, False)
                self._send(_Place(vm, service.shard), "snapshot", body)

    def _refusal(self, version: Version, ticket: SlotRequest) -> Fault | None:
        entry = version.document.organisations.get(ticket.organisation)
        if entry is None:
            return Fault(ErrorKind.FORBIDDEN)
        # a flood of one organisation must fill neither the memory nor the
        # total limit; it is told at once, so that it can slow down
        if self._per_organisation[ticket.organisation] >= entry.max_waiting:
            return Fault(ErrorKind.ORGANISATION_LIMIT)
        size = self._waiting_bytes + ticket.body_bytes
        limits = self._limits
        if len(self._waiting) >= limits.waiting or size > limits.waiting_bytes:
            return Fault(ErrorKind.ROUTER_FULL)
        return None

    def _add(self, ticket: SlotRequest, shard: Shard) -> int:
        number = self._next_request
        self._next_request += 1
        now = asyncio.get_running_loop().time()
        waiting = _Waiting(ticket, now, shard, self._dispatcher(shard))
        self._waiting[number] = waiting
        self._per_organisation[ticket.organisation] += 1
        self._waiting_bytes += ticket.body_bytes
        place = _Place(waiting.vm, shard)
        self._send(place, "registration", self._entry(number, waiting))
        return number

    def _remove(self, number: int) -> _Waiting | None:
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return None
        ticket = waiting.ticket
        self._per_organisation[ticket.organisation] -= 1
        if not self._per_organisation[ticket.organisation]:
            del self._per_organisation[ticket.organisation]
        self._waiting_bytes -= ticket.body_bytes
        return waiting

    def _abandon(self, number: int) -> None:
        waiting = self._remove(number)
        if waiting is not None:
            place = _Place(waiting.vm, waiting.shard)
            self._send(place, "withdraw", Withdraw(number))
            return
        # the grant came in the same turn of the loop as the timeout; without
        # this its slot would stay taken until the ingress ends
        running = self._running.pop(number, None)
        if running is not None:
            granted = running.granted
            place = _Place(running.vm, granted.shard)
            self._send(place, "decline", Decline(granted.grant))

    def _dispatcher(self, shard: Shard) -> str:
        version = self._version()
        if version is None:
            return ""
        found = self._placement.dispatcher(version.document, shard)
        return found.vm if found else ""

    def _suspect(self, now: float) -> None:
        """Pass over dispatchers that do not answer.

        After a split in one direction a dispatcher is heard but does not hear
        this ingress, whose requests would wait until their deadlines.
        """
        for vm, since in list(self._unanswered.items()):
            if now - since < REPLY_TIMEOUT_SECONDS or vm == self._mesh.origin.vm:
                continue
            del self._unanswered[vm]
            self._placement.suspect(vm)
            self._metrics.count("dispatch.suspected")

    def _held(self) -> dict[_Place, _Held]:
        held: dict[_Place, _Held] = {}
        for number, waiting in self._waiting.items():
            place = _Place(waiting.vm, waiting.shard)
            held.setdefault(place, _Held()).waiting.append(number)
        for number, running in self._running.items():
            place = _Place(running.vm, running.granted.shard)
            held.setdefault(place, _Held()).running.append(number)
        return held

    def _send_full(self, place: _Place, held: _Held) -> None:
        now = asyncio.get_running_loop().time()
        body = Snapshot(
            [self._entry(n, self._waiting[n]) for n in held.waiting],
            [self._state(n, self._running[n]) for n in held.running],
            None,
            None,
            True,
        )
        self._unanswered.setdefault(place.vm, now)
        self._quiet[place] = QUIET_DIGESTS
        self._send(place, "snapshot", body)

    def _entry(self, number: int, waiting: _Waiting) -> Register:
        ticket = waiting.ticket
        now = asyncio.get_running_loop().time()
        return Register(
            number,
            ticket.organisation,
            ticket.kind,
            ticket.cost_hint,
            now - waiting.arrived,
            ticket.deadline - now,
            ticket.body_bytes,
            ticket.prefix,
            ticket.repeatable,
            list(ticket.excluded),
        )

    def _state(self, number: int, running: _Running) -> Running:
        granted, ticket = running.granted, running.ticket
        return Running(
            number,
            granted.grant,
            ticket.organisation,
            granted.endpoint,
            running.charged,
            0.0,
            ticket.kind,
        )

    def _send(self, place: _Place, name: str, body: Any) -> None:
        if not place.vm:
            return
        shard = place.shard
        self._mesh.send(place.vm, make_message(name, body, shard.service, shard.zone))

    def _heard(self, vm: str) -> None:
        self._unanswered.pop(vm, None)
        self._placement.clear_suspect(vm)

    def _on_grant(self, origin: Origin, service: str, zone: str, body: Grant) -> None:
        self._heard(origin.vm)
        place = _Place(origin.vm, Shard(service, zone))
        waiting = self._waiting.get(body.request)
        # a grant for an earlier life of this ingress names another request
        own = body.incarnation in (None, self._mesh.origin.incarnation)
        if waiting is None or waiting.granted.done() or not own:
            self._send(place, "decline", Decline(body.grant))
            return
        self._remove(body.request)
        now = asyncio.get_running_loop().time()
        granted = SlotGrant(
            body.endpoint, origin, place.shard, body.grant, body.request, body.charged
        )
        self._running[body.request] = _Running(
            waiting.ticket, granted, origin.vm, now, body.charged
        )
        self._send(place, "accept", Accept(body.grant))
        home = _Place(waiting.vm, waiting.shard)
        if home != place:
            # another dispatcher fetched it; its own must not grant it again
            self._send(home, "withdraw", Withdraw(body.request))
        waiting.granted.set_result(granted)

    def _on_preempt(self, origin: Origin, _s: str, _z: str, body: Preempt) -> None:
        for running in self._running.values():
            granted = running.granted
            if granted.grant == body.grant and running.vm == origin.vm:
                granted.preempted.set()

    def _on_reply(
        self, origin: Origin, service: str, zone: str, body: SnapshotReply
    ) -> None:
        self._heard(origin.vm)
        if not body.wanted:
            return
        place = _Place(origin.vm, Shard(service, zone))
        self._send_full(place, self._held().get(place, _Held()))

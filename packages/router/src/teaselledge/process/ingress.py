"""Registration of a router's requests with dispatchers, and their grants."""

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
"""Interval between the digests that an ingress sends to its dispatchers."""

REFRESH_SECONDS = 0.2
"""Interval between checks whether a shard's dispatcher has changed."""

REPLY_TIMEOUT_SECONDS = 2.5
"""Time after which a dispatcher that has not replied to a snapshot is avoided."""

FINAL_DIGEST_COUNT = 3
"""Digests sent to a dispatcher after the last request there has ended."""

PROGRESS_FACTOR = 1.5
"""Ratio of a stream's cost to its charge above which progress is reported."""


@dataclass(frozen=True)
class SlotRequest:
    """Request for a slot at an endpoint.

    Attributes
    ----------
    organisation, service, kind : str
        Names from the document.
    cost_hint : float
        Expected cost, in the service's unit.
    deadline : float
        Loop time by which the caller must have a final response.
    body_bytes : int
        Size of the body, from which the cost of moving it is estimated.
    repeatable : bool
        Whether the request can safely run twice.
    prefix : int or None
        Hash of the prompt's prefix.
    excluded : tuple of str
        Endpoints that have failed this request already.
    response_started : bool
        Whether part of the response has reached the caller.
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


class _RejectedError(Exception):
    def __init__(self, fault: Fault) -> None:
        super().__init__(fault)
        self.fault = fault


@dataclass(frozen=True)
class SlotGrant:
    """Slot granted to one request.

    Attributes
    ----------
    endpoint : str
        Name of the endpoint.
    dispatcher : Origin
        Dispatcher that granted the slot.
    shard : Shard
        The endpoint's shard.
    grant, request : int
        Number of the grant at the dispatcher and of the request at the ingress.
    charged : float
        Initial charge to the organisation.
    preempted : asyncio.Event
        Set when the dispatcher preempts the slot: the stream should be
        cancelled, the slot released, and a slot acquired for the remainder.
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
    """Limits on the requests that wait for a slot in one router.

    Attributes
    ----------
    waiting : int
        Maximum number of waiting requests.
    waiting_bytes : int
        Maximum total size of their bodies.
    """

    waiting: int = 2000
    waiting_bytes: int = 64 << 20

    @classmethod
    def from_config(cls, limits: Limits) -> "IngressLimits":
        """Return the limits from the settings."""
        return cls(limits.waiting, limits.waiting_bytes)


@dataclass
class _Waiting:
    slot_request: SlotRequest
    arrived: float
    shard: Shard
    vm: str
    future: "asyncio.Future[SlotGrant]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


@dataclass
class _Running:
    slot_request: SlotRequest
    slot: SlotGrant
    vm: str
    since: float
    charged: float


@dataclass(frozen=True)
class _Target:
    """Shard and the VM of its dispatcher; messages are sent to the pair."""

    vm: str
    shard: Shard


@dataclass
class _HeldRequests:
    waiting: list[int] = field(default_factory=list)
    running: list[int] = field(default_factory=list)


class Ingress:
    """Registers requests with dispatchers and accepts their grants.

    The ingress is the single owner of each request: it accepts the first grant
    and declines all others.
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
        self._waiting_by_organisation: Counter[str] = Counter()
        self._waiting_bytes = 0
        self._next_request = 1
        self._unanswered_since: dict[str, float] = {}
        self._final_digests: dict[_Target, int] = {}
        mesh.subscribe("grant", self._on_grant)
        mesh.subscribe("preempt", self._on_preempt)
        mesh.subscribe("snapshot_reply", self._on_reply)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running)

    async def acquire(self, slot_request: SlotRequest) -> Result[SlotGrant, Fault]:
        """Wait for a slot until the request's deadline.

        Returns
        -------
        Result of SlotGrant or Fault
            The slot, which must be passed to `release`, or the reason why
            there is none; the request has not run then.
        """
        version = self._version()
        if version is None:
            return Error(Fault(ErrorKind.NOT_CONFIGURED))
        shard = home_shard(
            version.document, slot_request.service, self._zone, slot_request.excluded
        )
        if shard is None:
            return Error(Fault(ErrorKind.NO_ENDPOINT))
        refused = self._refusal(version, slot_request)
        if refused is not None:
            return Error(refused)
        number = self._register(slot_request, shard)
        waiting = self._waiting[number]
        try:
            async with asyncio.timeout_at(slot_request.deadline):
                slot = await waiting.future
        except TimeoutError:
            self._abandon(number)
            return Error(Fault(ErrorKind.QUEUE_TIMEOUT))
        except _RejectedError as rejected:
            self._abandon(number)
            return Error(rejected.fault)
        except asyncio.CancelledError:
            self._abandon(number)
            raise
        return Ok(slot)

    def reject_waiting(self, fault: Fault) -> None:
        """Reject waiting requests that no endpoint has tried, with `fault`."""
        for waiting in self._waiting.values():
            slot_request = waiting.slot_request
            if (
                waiting.future.done()
                or slot_request.response_started
                or slot_request.excluded
            ):
                continue
            waiting.future.set_exception(_RejectedError(fault))

    def report_cost(self, slot: SlotGrant, cost: float) -> None:
        """Report the cost of a stream so far; cheap to call for each chunk.

        With a cost hint that is far too low, a long stream would be charged too
        little until its end. The charge is therefore raised as the cost grows.
        """
        running = self._running.get(slot.request)
        if running is None or not cost > running.charged * PROGRESS_FACTOR:
            return
        running.charged = cost
        body = Progress(slot.grant, slot.request, cost)
        self._send(_Target(running.vm, slot.shard), "progress", body)

    def release(self, slot: SlotGrant, cost: float, failed: bool) -> None:
        """Release a slot and report the cost of the request."""
        running = self._running.pop(slot.request, None)
        if running is None:
            return
        seconds = asyncio.get_running_loop().time() - running.since
        body = Done(slot.grant, cost, failed, seconds, slot.request)
        self._send(_Target(running.vm, slot.shard), "done", body)

    async def run(self) -> None:
        """Track the dispatchers and send them digests, until cancelled."""
        loop = asyncio.get_running_loop()
        next_digest = loop.time() + DIGEST_SECONDS
        while True:
            await asyncio.sleep(REFRESH_SECONDS)
            now = loop.time()
            self._suspect_silent(now)
            self.refresh_placement()
            if is_due(now, next_digest):
                next_digest = now + DIGEST_SECONDS
                self.send_digests()

    def refresh_placement(self) -> None:
        """Update placement, and move requests whose dispatcher has changed."""
        if self._placement.refresh():
            self.reassign_requests()

    def reassign_requests(self) -> None:
        """Move requests to the current dispatchers of their shards."""
        moved: set[_Target] = set()
        for waiting in self._waiting.values():
            vm = self._dispatcher(waiting.shard)
            if vm == waiting.vm:
                continue
            waiting.vm = vm
            moved.add(_Target(vm, waiting.shard))
        for running in self._running.values():
            slot = running.slot
            vm = self._dispatcher(slot.shard)
            if vm in ("", running.vm):
                continue
            # the old dispatcher stops counting the slot; the new one settles
            # the rest of the charge
            body = Done(slot.grant, 0.0, False, 0.0, slot.request, True)
            self._send(_Target(running.vm, slot.shard), "done", body)
            running.vm = vm
            moved.add(_Target(vm, slot.shard))
        held = self._held_requests()
        for target in sorted(moved, key=lambda t: (t.vm, t.shard.zone)):
            self._send_full(target, held.get(target, _HeldRequests()))

    def send_digests(self) -> None:
        """Send each dispatcher a digest of the requests registered with it."""
        held = self._held_requests()
        now = asyncio.get_running_loop().time()
        for target in held:
            self._final_digests[target] = FINAL_DIGEST_COUNT
        for target, left in list(self._final_digests.items()):
            self._final_digests[target] = left - 1
            if left <= 1:
                del self._final_digests[target]
            if not target.vm:
                continue
            requests = held.get(target, _HeldRequests())
            digest = digest_of_requests(requests.waiting + requests.running)
            body = Snapshot([], [], digest.count, digest.value, False)
            self._unanswered_since.setdefault(target.vm, now)
            self._send(target, "snapshot", body)
        for vm in self._placement.suspects:
            # a reply shows that the dispatcher can be reached again
            any_target = next(iter(held), None)
            if any_target is not None:
                body = Snapshot([], [], 0, 0, False)
                self._send(_Target(vm, any_target.shard), "snapshot", body)

    def _refusal(self, version: Version, slot_request: SlotRequest) -> Fault | None:
        entry = version.document.organisations.get(slot_request.organisation)
        if entry is None:
            return Fault(ErrorKind.FORBIDDEN)
        # a flood from one organisation must not fill the memory or use up the
        # total limit; it is refused at once, so that the callers can slow down
        if (
            self._waiting_by_organisation[slot_request.organisation]
            >= entry.max_waiting
        ):
            return Fault(ErrorKind.ORGANISATION_LIMIT)
        size = self._waiting_bytes + slot_request.body_bytes
        limits = self._limits
        if len(self._waiting) >= limits.waiting or size > limits.waiting_bytes:
            return Fault(ErrorKind.ROUTER_FULL)
        return None

    def _register(self, slot_request: SlotRequest, shard: Shard) -> int:
        number = self._next_request
        self._next_request += 1
        now = asyncio.get_running_loop().time()
        waiting = _Waiting(slot_request, now, shard, self._dispatcher(shard))
        self._waiting[number] = waiting
        self._waiting_by_organisation[slot_request.organisation] += 1
        self._waiting_bytes += slot_request.body_bytes
        target = _Target(waiting.vm, shard)
        self._send(target, "registration", self._register_body(number, waiting))
        return number

    def _remove(self, number: int) -> _Waiting | None:
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return None
        slot_request = waiting.slot_request
        self._waiting_by_organisation[slot_request.organisation] -= 1
        if not self._waiting_by_organisation[slot_request.organisation]:
            del self._waiting_by_organisation[slot_request.organisation]
        self._waiting_bytes -= slot_request.body_bytes
        return waiting

    def _abandon(self, number: int) -> None:
        waiting = self._remove(number)
        if waiting is not None:
            target = _Target(waiting.vm, waiting.shard)
            self._send(target, "withdraw", Withdraw(number))
            return
        # the grant arrived in the same loop iteration as the timeout; unless
        # declined, its slot would stay occupied until the ingress ends
        running = self._running.pop(number, None)
        if running is not None:
            slot = running.slot
            target = _Target(running.vm, slot.shard)
            self._send(target, "decline", Decline(slot.grant))

    def _dispatcher(self, shard: Shard) -> str:
        version = self._version()
        if version is None:
            return ""
        found = self._placement.dispatcher(version.document, shard)
        return found.vm if found else ""

    def _suspect_silent(self, now: float) -> None:
        """Avoid dispatchers that do not respond.

        After a network split in one direction, heartbeats from a dispatcher
        still arrive, but it receives nothing from this ingress. Requests would
        wait there until their deadlines.
        """
        for vm, since in list(self._unanswered_since.items()):
            if now - since < REPLY_TIMEOUT_SECONDS or vm == self._mesh.origin.vm:
                continue
            del self._unanswered_since[vm]
            self._placement.suspect(vm)
            self._metrics.count("dispatch.suspected")

    def _held_requests(self) -> dict[_Target, _HeldRequests]:
        held: dict[_Target, _HeldRequests] = {}
        for number, waiting in self._waiting.items():
            target = _Target(waiting.vm, waiting.shard)
            held.setdefault(target, _HeldRequests()).waiting.append(number)
        for number, running in self._running.items():
            target = _Target(running.vm, running.slot.shard)
            held.setdefault(target, _HeldRequests()).running.append(number)
        return held

    def _send_full(self, target: _Target, held: _HeldRequests) -> None:
        now = asyncio.get_running_loop().time()
        body = Snapshot(
            [self._register_body(n, self._waiting[n]) for n in held.waiting],
            [self._running_body(n, self._running[n]) for n in held.running],
            None,
            None,
            True,
        )
        self._unanswered_since.setdefault(target.vm, now)
        self._final_digests[target] = FINAL_DIGEST_COUNT
        self._send(target, "snapshot", body)

    def _register_body(self, number: int, waiting: _Waiting) -> Register:
        slot_request = waiting.slot_request
        now = asyncio.get_running_loop().time()
        return Register(
            number,
            slot_request.organisation,
            slot_request.kind,
            slot_request.cost_hint,
            now - waiting.arrived,
            slot_request.deadline - now,
            slot_request.body_bytes,
            slot_request.prefix,
            slot_request.repeatable,
            list(slot_request.excluded),
        )

    def _running_body(self, number: int, running: _Running) -> Running:
        slot, slot_request = running.slot, running.slot_request
        return Running(
            number,
            slot.grant,
            slot_request.organisation,
            slot.endpoint,
            running.charged,
            0.0,
            slot_request.kind,
        )

    def _send(self, target: _Target, name: str, body: Any) -> None:
        if not target.vm:
            return
        shard = target.shard
        self._mesh.send(target.vm, make_message(name, body, shard.service, shard.zone))

    def _record_reply(self, vm: str) -> None:
        self._unanswered_since.pop(vm, None)
        self._placement.clear_suspect(vm)

    def _on_grant(self, origin: Origin, service: str, zone: str, body: Grant) -> None:
        self._record_reply(origin.vm)
        target = _Target(origin.vm, Shard(service, zone))
        waiting = self._waiting.get(body.request)
        # a grant for an earlier incarnation of this ingress means another request
        is_own_incarnation = body.incarnation in (None, self._mesh.origin.incarnation)
        if waiting is None or waiting.future.done() or not is_own_incarnation:
            self._send(target, "decline", Decline(body.grant))
            return
        self._remove(body.request)
        now = asyncio.get_running_loop().time()
        slot = SlotGrant(
            body.endpoint, origin, target.shard, body.grant, body.request, body.charged
        )
        self._running[body.request] = _Running(
            waiting.slot_request, slot, origin.vm, now, body.charged
        )
        self._send(target, "accept", Accept(body.grant))
        registered_target = _Target(waiting.vm, waiting.shard)
        if registered_target != target:
            # another dispatcher fetched the request; the one it was registered
            # with must not grant it again
            self._send(registered_target, "withdraw", Withdraw(body.request))
        waiting.future.set_result(slot)

    def _on_preempt(self, origin: Origin, _s: str, _z: str, body: Preempt) -> None:
        for running in self._running.values():
            slot = running.slot
            if slot.grant == body.grant and running.vm == origin.vm:
                slot.preempted.set()

    def _on_reply(
        self, origin: Origin, service: str, zone: str, body: SnapshotReply
    ) -> None:
        self._record_reply(origin.vm)
        if not body.wanted:
            return
        target = _Target(origin.vm, Shard(service, zone))
        self._send_full(target, self._held_requests().get(target, _HeldRequests()))

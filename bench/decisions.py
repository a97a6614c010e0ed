"""Cost of a dispatcher's decision by number of organisations and endpoints.

The bounds apply to ratios of two times measured in one run, so that they hold on a slow
machine as well. From 16 to 750 organisations, 47 times as many, the time of a
logarithmic step grows by a factor of two to three.
"""

import asyncio
import gc
import statistics
import time
import tracemalloc
from collections.abc import Iterator
from copy import copy
from typing import Any

import loguru
import looptime
from teaselledge.metrics import NullMetrics
from teaselledge.process.dispatcher import Dispatcher
from teaselledge.process.holding import digest_of_requests
from teaselledge.process.member import Member
from teaselledge.process.mesh import Origin, make_message
from teaselledge.process.placement import Placement, Shard
from teaselledge.version.document import (
    Document,
    Endpoint,
    Kind,
    Organisation,
    Service,
    Zone,
)
from teaselledge_standins.recorder import RecordingMesh
from teaselledge_wire.codec import decode, encode
from teaselledge_wire.frame import pack
from teaselledge_wire.gen.router.ttypes import (
    Accept,
    Account,
    Done,
    Fetch,
    FetchAnswer,
    Grant,
    Progress,
    Register,
    Report,
    Snapshot,
    SnapshotReply,
    Withdraw,
)

from bench.case import Bound, Case

__all__ = ["run"]

SIZES = ((16, 5), (75, 30), (750, 290))
SLOTS = 8
WAITING = 1
STEPS = 2000
QUICK_STEPS = 200
ROUNDS = 5
BACKLOGGED_FRACTION = 0.1
"""Fraction of the organisations that a report names."""

MAX_GROWTH = 4.0
"""Maximum ratio of a step's time at 750 organisations to that at 16."""

MAX_GRANT_GROWTH = 30.0
"""Maximum ratio for a grant, which examines each endpoint of the shard."""

INGRESS = Origin("vm-1", 11)
MICROSECONDS_PER_SECOND = 1e6


class _LoadedDispatcher:
    """A dispatcher with all slots in use and waiting requests of each organisation."""

    def __init__(
        self, organisations: int, endpoints: int, waiting: int | None = None
    ) -> None:
        self.names = [f"org-{i:03d}" for i in range(organisations)]
        kinds = {"work": Kind(("POST",), ("work",), cost_hint=100)}
        places = {
            f"e-{i}": Endpoint(f"e-{i}:1", "here", SLOTS) for i in range(endpoints)
        }
        document = Document(
            {"here": Zone("region")},
            {
                name: Organisation(1.0 + i % 4, (), ())
                for i, name in enumerate(self.names)
            },
            {"service": Service("seconds", places, kinds)},
        )
        self.mesh = RecordingMesh()
        placement = Placement(lambda: [Member("own", "here", "region")])
        shard = Shard("service", "here")
        self.dispatcher = Dispatcher(
            shard, self.mesh, document, placement, NullMetrics(), incarnation=2
        )
        self.request = 0
        self.sequence = 0
        waits = WAITING * organisations if waiting is None else waiting
        for _ in range(endpoints * SLOTS + waits):
            self.register()
        self.granted = [s.body for s in self.mesh.pop_sent("grant")]
        for grant in self.granted:
            self.dispatcher.handle_accept(INGRESS, Accept(grant.grant))

    def register(self) -> None:
        self.request += 1
        name = self.names[self.request % len(self.names)]
        body = Register(
            self.request, name, "work", 100.0, 0.0, 600.0, 1000, None, True, []
        )
        self.dispatcher.handle_register(INGRESS, body)

    def grant(self) -> None:
        """End a request and have its slot granted to the next one."""
        ended = self.granted.pop(0)
        done = Done(ended.grant, 90.0, False, 1.0, ended.request)
        self.dispatcher.handle_done(INGRESS, done)
        (sent,) = self.mesh.pop_sent("grant")
        self.granted.append(sent.body)
        self.dispatcher.handle_accept(INGRESS, Accept(sent.body.grant))
        self.register()

    def report(self) -> None:
        """Handle a report that names the backlogged organisations."""
        self.sequence += 1
        count = max(1, int(BACKLOGGED_FRACTION * len(self.names)))
        accounts = [
            Account(name, 10.0 * self.sequence, None, 3) for name in self.names[:count]
        ]
        body = Report("here", 400, self.sequence, accounts, 0)
        self.dispatcher.handle_report(Origin("vm-2", 22), body)

    def digest(self) -> None:
        """Compare the digest of an ingress with the dispatcher's state."""
        self.dispatcher.handle_snapshot(INGRESS, Snapshot([], [], 0, 0, False))

    def tick(self) -> None:
        """Run the periodic tick, which is due twenty times per second."""
        now = asyncio.get_running_loop().time()
        self.dispatcher.tick(now)


STEPS_BY_NAME = {
    "registration": _LoadedDispatcher.register,
    "grant": _LoadedDispatcher.grant,
    "report": _LoadedDispatcher.report,
    "digest": _LoadedDispatcher.digest,
    "tick": _LoadedDispatcher.tick,
}


def _time(loaded: _LoadedDispatcher, name: str, steps: int) -> float:
    """Return the microseconds of one step, the minimum over the rounds."""
    step = STEPS_BY_NAME[name]
    rounds = []
    for _ in range(ROUNDS):
        loaded.mesh.sent.clear()
        start = time.process_time()
        for _ in range(steps // ROUNDS):
            step(loaded)
        spent = time.process_time() - start
        rounds.append(spent / (steps // ROUNDS) * MICROSECONDS_PER_SECOND)
    return min(rounds)


async def _measure(organisations: int, endpoints: int, steps: int) -> dict[str, float]:
    loaded = _LoadedDispatcher(organisations, endpoints)
    gc.collect()
    gc.disable()
    try:
        return {name: _time(loaded, name, steps) for name in STEPS_BY_NAME}
    finally:
        gc.enable()


async def _growth(steps: int) -> Case:
    figures: dict[str, float] = {}
    found = []
    for organisations, endpoints in SIZES:
        measured = await _measure(organisations, endpoints, steps)
        found.append(measured)
        for name, value in measured.items():
            figures[f"{name}_{organisations}_{endpoints}_us"] = round(value, 2)
    # growth with the number of organisations, at the minimum number of endpoints
    alone = await _measure(SIZES[-1][0], SIZES[0][1], steps)
    bounds = {}
    for name, value in alone.items():
        per = BACKLOGGED_FRACTION * SIZES[-1][0] if name == "report" else 1.0
        growth = value / per / found[0][name]
        figures[f"{name}_growth"] = round(growth, 3)
        bounds[f"{name}_growth"] = Bound(at_most=MAX_GROWTH)
    figures["grant_growth_with_endpoints"] = round(
        found[-1]["grant"] / found[0]["grant"], 3
    )
    bounds["grant_growth_with_endpoints"] = Bound(at_most=MAX_GRANT_GROWTH)
    return Case("decisions-growth", 0, figures, bounds)


async def _digest_cost(steps: int) -> Case:
    """Measure the time to digest an ingress's requests, by their number."""
    figures = {}
    for count in (10, 100, 1000):
        numbers = list(range(count))
        rounds = []
        for _ in range(ROUNDS):
            start = time.process_time()
            for _ in range(max(1, steps // count)):
                digest_of_requests(numbers)
            spent = time.process_time() - start
            rounds.append(spent / max(1, steps // count) * MICROSECONDS_PER_SECOND)
        figures[f"digest_of_{count}_us"] = round(statistics.median(rounds), 2)
    return Case("decisions-digest", 0, figures)


def replace_owner(body: Register, vm: str) -> Register:
    """Return a registration as one dispatcher forwards it to another."""
    lent = copy(body)
    lent.owner_vm, lent.owner_incarnation = vm, 1 << 39
    return lent


def _messages() -> dict[str, tuple[Any, int]]:
    """Return messages by name, with the number of each that a request needs."""
    vm, request = "vm-7", 4711
    body = Register(
        request, "org-07", "summary", 400.0, 0.0, 600.0, 2000, None, True, []
    )
    accounts = [Account(f"org-{i:03d}", 12345.6, None, 3) for i in range(75)]
    lent = replace_owner(body, vm)
    return {
        "registration": (body, 1),
        "grant": (Grant(request, 99, "sommelier-models-3", 400.0, 1 << 39), 1),
        "accept": (Accept(99), 1),
        "done": (Done(99, 380.0, False, 3.5, request), 1),
        "withdraw": (Withdraw(request), 0),
        "progress": (Progress(99, request, 600.0), 0),
        "snapshot": (Snapshot([], [], 12, 1 << 60, False), 0),
        "snapshot_reply": (SnapshotReply(False), 0),
        "fetch": (Fetch("kelowna-vault", "", ["org-07"], 7, 2, None, 1), 0),
        "fetch_answer": (FetchAnswer(7, True, [lent], "kelowna-vault"), 0),
        "report": (Report("kelowna-vault", 1 << 50, 99, [], 0), 0),
        "report_of_75": (Report("kelowna-vault", 1 << 50, 99, accounts, 0), 0),
    }


def _wire(steps: int) -> Case:
    """Measure size and codec time of each message in a frame of its own."""
    figures: dict[str, float] = {}
    a_request = 0
    for label, (body, count) in _messages().items():
        name = label.removesuffix("_of_75")
        sent = make_message(name, body, "sommelier-models", "kelowna-vault")
        data = encode([sent], 1 << 39)
        figures[f"{label}_bytes"] = float(len(pack(data)))
        a_request += count * len(pack(data))
        rounds = []
        for _ in range(ROUNDS):
            start = time.process_time()
            for _ in range(steps // ROUNDS):
                decode(encode([sent], 1 << 39))
            spent = time.process_time() - start
            rounds.append(spent / (steps // ROUNDS) * MICROSECONDS_PER_SECOND)
        figures[f"{label}_codec_us"] = round(min(rounds), 1)
    empty, full = figures["report_bytes"], figures["report_of_75_bytes"]
    figures["account_bytes"] = round((full - empty) / 75, 2)
    figures["request_bytes"] = float(a_request)
    bounds = {"request_bytes": Bound(at_most=500), "account_bytes": Bound(at_most=30)}
    return Case("decisions-wire", 0, figures, bounds)


def _memory() -> Case:
    """Measure the memory of an account and of a waiting request."""
    figures = {}
    for organisations, waiting in ((10, 10), (1010, 1010), (10, 10_010)):
        gc.collect()
        tracemalloc.start()
        loaded = _LoadedDispatcher(organisations, 1, waiting)
        figures[f"{organisations}_{waiting}"] = float(
            tracemalloc.get_traced_memory()[0]
        )
        tracemalloc.stop()
        del loaded
    base = figures["10_10"]
    request = (figures["10_10010"] - base) / 10_000
    account = (figures["1010_1010"] - base) / 1000 - request
    found = {"request_memory_bytes": request, "account_memory_bytes": account}
    bounds = {
        "request_memory_bytes": Bound(at_most=4000),
        "account_memory_bytes": Bound(at_most=6000),
    }
    rounded = {name: round(value) for name, value in found.items()}
    return Case("decisions-memory", 0, rounded, bounds)


async def _memory_case() -> Case:
    return _memory()


def run(quick: bool) -> Iterator[Case]:
    """Run the cases."""
    loguru.logger.remove()
    steps = QUICK_STEPS if quick else STEPS
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        yield runner.run(_growth(steps))
        yield runner.run(_digest_cost(steps))
        yield runner.run(_memory_case())
    yield _wire(steps)

"""Figures computed from the actual runs at endpoints and the waits of callers."""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np

__all__ = [
    "Ground",
    "Job",
    "idle_waits",
    "largest_gap",
    "over_admission",
    "percentile",
    "service_rate",
    "utilisation",
    "waits",
]


@dataclass
class Job:
    """A request from its arrival to its end.

    Attributes
    ----------
    runs : list of tuple of str, float and float
        Endpoint, start and end of each run, in order.
    """

    name: str
    organisation: str
    kind: str
    zone: str
    cost: float
    issued: float
    ended: float = float("inf")
    runs: list[tuple[str, float, float]] = field(default_factory=list)
    router: str = ""

    def waiting(self) -> list[tuple[float, float]]:
        """Return the time spans in which the request waited for an endpoint."""
        spans = []
        since = self.issued
        for _, started, ended in self.runs:
            spans.append((since, started))
            since = ended
        if not self.runs:
            spans.append((since, self.ended))
        return [(a, b) for a, b in spans if b > a]


@dataclass
class Ground:
    """Ground truth of one run, as endpoints and callers observed it.

    Attributes
    ----------
    jobs : list of Job
        All requests of the service.
    progress : list of tuple of float, str and float
        Time, organisation and cost of each chunk of work that an endpoint finished.
    shares : mapping of str to float
        Share of each organisation.
    slots : mapping of str to int
        Slots of each endpoint.
    regions : mapping of str to str
        Region of each zone and endpoint.
    start, end : float
        The measured window, in loop time.
    """

    jobs: list[Job]
    progress: list[tuple[float, str, float]]
    shares: Mapping[str, float]
    slots: Mapping[str, int]
    regions: Mapping[str, str]
    start: float
    end: float


def _backlog(ground: Ground) -> list[tuple[float, str, int]]:
    """Return changes of the number of waiting requests, in order of time."""
    changes = []
    for job in ground.jobs:
        for a, b in job.waiting():
            changes.append((a, job.organisation, 1))
            if b < ground.end:
                changes.append((b, job.organisation, -1))
    # at the same instant an arrival precedes a departure, so that the organisation
    # of a caller that sends its next request at once stays backlogged
    return sorted(changes, key=lambda c: (c[0], -c[2]))


def largest_gap(ground: Ground, since: float | None = None) -> float:
    """Return the largest gap in normalised service between two organisations.

    The gap of a pair is measured from the time at which both are backlogged, or from
    `since`, and restarts when one of them is not backlogged.
    """
    start = ground.start if since is None else since
    gap = 0.0
    changes = _backlog(ground)
    names = sorted({job.organisation for job in ground.jobs})
    index = {name: i for i, name in enumerate(names)}
    count = len(names)
    served = np.zeros(count)
    waiting = np.zeros(count, dtype=int)
    # difference in service at the start of each pair's interval
    base = np.zeros((count, count))
    open_pairs = np.zeros((count, count), dtype=bool)
    progress = [(t, 0, who, amount) for t, who, amount in ground.progress]
    moves = [(t, 1, who, float(step)) for t, who, step in changes]
    begun = False
    for time, what, who, value in heapq.merge(sorted(progress), moves):
        if time >= ground.end:
            break
        i = index[who]
        if not begun and time >= start:
            begun = True
            backlogged = waiting > 0
            open_pairs = np.outer(backlogged, backlogged)
            base = served[:, None] - served[None, :]
        if what == 0:
            served[i] += value / ground.shares[who]
            if begun and open_pairs[i].any():
                row = (served[i] - served) - base[i]
                gap = max(gap, float(np.abs(row[open_pairs[i]]).max()))
            continue
        before = waiting[i] > 0
        waiting[i] += int(value)
        after = waiting[i] > 0
        if not begun or before == after:
            continue
        backlogged = waiting > 0
        open_pairs[i, :] = backlogged if after else False
        open_pairs[:, i] = open_pairs[i, :]
        base[i, :] = served[i] - served
        base[:, i] = -base[i, :]
    return gap


def _spans(ground: Ground) -> list[tuple[float, int, int]]:
    """Return changes of waiting and running requests, in order of time."""
    changes = [(t, 1 if step > 0 else 3, step, 0) for t, _, step in _backlog(ground)]
    for job in ground.jobs:
        for _, a, b in job.runs:
            changes.append((a, 2, 0, 1))
            changes.append((b, 0, 0, -1))
    return [(t, w, r) for t, _, w, r in sorted(changes)]


def utilisation(ground: Ground, skip: Sequence[tuple[float, float]] = ()) -> float:
    """Return the fraction of slots in use during the time in which requests wait."""
    slots = sum(ground.slots.values())
    busy = total = 0.0
    waiting = running = 0
    last = ground.start
    for time, wait, run in [*_spans(ground), (ground.end, 0, 0)]:
        now = min(max(time, ground.start), ground.end)
        if now > last and waiting > 0 and not any(a <= last < b for a, b in skip):
            busy += (now - last) * min(running, slots)
            total += (now - last) * slots
        last = max(last, now)
        waiting += wait
        running += run
    return busy / total if total else 1.0


def over_admission(ground: Ground) -> float:
    """Return the mean number of requests above the slots, as a fraction of slots."""
    over = 0.0
    for endpoint, slots in ground.slots.items():
        changes = []
        for job in ground.jobs:
            for name, a, b in job.runs:
                if name == endpoint:
                    changes += [(a, 1), (b, -1)]
        running, last = 0, ground.start
        for time, step in [*sorted(changes), (ground.end, 0)]:
            now = min(max(time, ground.start), ground.end)
            over += (now - last) * max(0, running - slots)
            last = now
            running += step
    return over / (ground.end - ground.start) / sum(ground.slots.values())


def service_rate(ground: Ground) -> float:
    """Return the service of all organisations per second."""
    inside = [a for t, _, a in ground.progress if ground.start <= t < ground.end]
    return sum(inside) / (ground.end - ground.start)


def idle_waits(ground: Ground, near: bool) -> list[float]:
    """Return the durations for which slots were idle while requests waited.

    For each endpoint, a span begins when it has a free slot while a request
    waits (in its region, if `near`), and ends when a request starts there,
    when no request waits or when the run ends.
    """
    region_of = ground.regions
    changes: list[tuple[float, int, str, str]] = []
    for job in ground.jobs:
        region = region_of[job.zone]
        for a, b in job.waiting():
            changes.append((a, 2, "wait", region))
            changes.append((b, 1, "leave", region))
        for endpoint, a, b in job.runs:
            changes.append((a, 3, "start", endpoint))
            changes.append((b, 0, "stop", endpoint))
    waiting: dict[str, int] = defaultdict(int)
    running: dict[str, int] = defaultdict(int)
    opened: dict[str, float] = {}
    spans = []

    def settle(endpoint: str, now: float, reset: bool) -> None:
        work = waiting[region_of[endpoint]] if near else sum(waiting.values())
        idle = running[endpoint] < ground.slots[endpoint] and work > 0
        since = opened.get(endpoint)
        if since is not None and (reset or not idle):
            if now > ground.start:
                spans.append(now - max(since, ground.start))
            del opened[endpoint]
        if idle and endpoint not in opened:
            opened[endpoint] = now

    for time, _, what, where in sorted(changes):
        if time >= ground.end:
            break
        if what in ("wait", "leave"):
            waiting[where] += 1 if what == "wait" else -1
            for endpoint in ground.slots:
                settle(endpoint, time, False)
            continue
        running[where] += 1 if what == "start" else -1
        settle(where, time, what == "start")
    spans.extend(ground.end - max(t, ground.start) for t in opened.values())
    return spans


def waits(ground: Ground, kind: str) -> list[float]:
    """Return the seconds from arrival to first start of each request of a kind."""
    return [
        job.runs[0][1] - job.issued
        for job in ground.jobs
        if job.kind == kind and job.runs and ground.start <= job.issued < ground.end
    ]


def percentile(values: Iterable[float], part: float) -> float:
    """Return a percentile, 0 if there are no values."""
    found = list(values)
    return float(np.percentile(found, part)) if found else 0.0

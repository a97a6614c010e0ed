"""Configuration changes: time until they are in force, traffic, processor time."""

import asyncio
import json
import time
import tracemalloc
from collections.abc import Iterator
from datetime import UTC, datetime
from random import Random
from typing import Any

import looptime
import yaml
from teaselledge import yamlsource
from teaselledge.process.member import Member
from teaselledge.process.mesh import Origin
from teaselledge.process.objectives import MAX_SERIES, ObjectiveTracker
from teaselledge.version.assemble import DocumentBuilder
from teaselledge.version.document import Version
from teaselledge.version.follow import ConfigWatcher
from teaselledge.version.head import HEAD_KEY, decode_manifest, encode_manifest
from teaselledge.version.publish import Change, Publisher
from teaselledge.version.source import check_source
from teaselledge.version.store import unchecked_writes
from teaselledge_standins.tables import MemoryTables
from teaselledge_standins.virtual.network import (
    NetworkPlan,
    VirtualMesh,
    VirtualNetwork,
)

from bench.case import Bound, Case

__all__ = ["large_document", "run"]

ORGANISATIONS = 750
MODELS = 10
ENGINES = 290
"""Engines of each model."""

REGIONS = 6
ZONES = 21
CHANGES_A_DAY = 8000
DAY_SECONDS = 86_400
SETTLE_SECONDS = 20.0
IDLE_SECONDS = 60.0
TIMEOUT_SECONDS = 60.0
STEP_SECONDS = 0.02
APPLY_COUNT = 5
COUNTED_ORGANISATIONS = 200
RECORD_COUNT = 20_000
IN_FORCE_SECONDS = {8: 5.0, 64: 5.0, 370: 11.0}
"""Bound on the time until a change is in force, by number of routers."""


def large_document(
    organisations: int = ORGANISATIONS, engines: int = ENGINES
) -> dict[str, Any]:
    """Return a document of the size planned for."""
    zones = {f"zone-{i:02d}": {"region": f"region-{i % REGIONS}"} for i in range(ZONES)}
    services = {
        f"model-{m}": {
            "cost": "tokens",
            "resumes": True,
            "endpoints": {
                f"engine-{e:03d}": {
                    "address": f"10.{m}.{e // 250}.{e % 250}:8000",
                    "zone": f"zone-{e % ZONES:02d}",
                    "models": [f"model-{m}"],
                }
                for e in range(engines)
            },
            "kinds": {
                "completion": {"methods": ["POST"], "paths": ["v1/completions"]},
                "chat": {"methods": ["POST"], "paths": ["v1/chat"]},
            },
        }
        for m in range(MODELS)
    }
    random = Random(1)
    return {
        "zones": zones,
        "organisations": {
            f"org-{i:04d}": {
                "share": 1.0 + i % 4,
                "keys": [f"{random.getrandbits(256):064x}"],
                "services": [f"model-{(i + k) % MODELS}" for k in range(3)],
            }
            for i in range(organisations)
        },
        "services": services,
        "objectives": {},
        "operators": {"dana": {"keys": ["0" * 64], "role": "admin"}},
    }


class WatcherFleet:
    """Configuration watchers of many routers on one virtual network."""

    def __init__(self, count: int, seed: int, tables: MemoryTables) -> None:
        random = Random(seed)
        zones = {f"zone-{i:02d}": f"region-{i % REGIONS}" for i in range(ZONES)}
        if count < ZONES:
            zones = {
                "zone-00": "region-0",
                "zone-01": "region-0",
                "zone-02": "region-1",
            }
        names = list(zones)
        self.network = VirtualNetwork(NetworkPlan(zones), random)
        places = {f"vm-{i:03d}": names[i % len(names)] for i in range(count)}
        members = [Member(vm, zone, zones[zone]) for vm, zone in places.items()]
        self.watchers = [
            ConfigWatcher(
                tables,
                VirtualMesh(self.network, Origin(vm, random.getrandbits(40)), zone),
                lambda: members,
                lambda version: None,
            )
            for vm, zone in places.items()
        ]

    def in_force(self, number: int) -> bool:
        """Return whether a version is in force in all routers."""
        return all(f.current and f.current.number == number for f in self.watchers)

    @property
    def sent(self) -> int:
        """Bytes that all routers have sent to each other."""
        return sum(self.network.sent_bytes.values())

    @property
    def sent_far(self) -> int:
        """Bytes that were sent to another region."""
        return sum(self.network.link_bytes.values())


def change_share(document: dict[str, Any], organisation: int, share: float) -> None:
    """Change the share of one organisation."""
    names = list(document["organisations"])
    document["organisations"][names[organisation]]["share"] = share


async def spread(count: int, seed: int, changes: int, engines: int) -> Case:
    """Measure consecutive changes, each of one share."""
    loop = asyncio.get_running_loop()
    random = Random(seed)
    document = large_document(engines=engines)
    tables = MemoryTables()
    tables.apply(unchecked_writes(document, 1))
    fleet = WatcherFleet(count, seed, tables)
    for watcher in fleet.watchers:
        await watcher.refresh()
    tasks = [loop.create_task(watcher.run()) for watcher in fleet.watchers]
    await asyncio.sleep(SETTLE_SECONDS)
    sent, far, reads = fleet.sent, fleet.sent_far, tables.reads
    started = time.process_time()
    await asyncio.sleep(IDLE_SECONDS)
    idle_cpu = (time.process_time() - started) / IDLE_SECONDS / count
    started = time.process_time()
    own_cpu = 0.0
    idle = (fleet.sent - sent) / IDLE_SECONDS / count
    idle_far = (fleet.sent_far - far) / IDLE_SECONDS / count
    idle_reads = (tables.reads - reads) / IDLE_SECONDS
    sent, far, reads, start = fleet.sent, fleet.sent_far, tables.reads, loop.time()
    times = []
    for number in range(2, changes + 2):
        await asyncio.sleep(random.uniform(3.0, 4.0))
        own = time.process_time()
        change_share(document, random.randrange(ORGANISATIONS), 2.0 + number)
        tables.apply(unchecked_writes(document, number))
        own_cpu += time.process_time() - own
        published = loop.time()
        while not fleet.in_force(number):
            if loop.time() - published > TIMEOUT_SECONDS:
                break
            await asyncio.sleep(STEP_SECONDS)
        times.append(loop.time() - published)
    passed = loop.time() - start
    cpu = (time.process_time() - started - own_cpu) / count - idle_cpu * passed
    bytes_change = ((fleet.sent - sent) / count - idle * passed) / changes
    far_change = ((fleet.sent_far - far) / count - idle_far * passed) / changes
    reads_changing = (tables.reads - reads) / passed
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    steady = idle + bytes_change * CHANGES_A_DAY / DAY_SECONDS
    figures = {
        "worst_in_force_s": max(times),
        "mean_in_force_s": sum(times) / len(times),
        "sent_bytes_per_node_per_change": bytes_change,
        "far_bytes_per_node_per_change": far_change,
        "idle_bytes_per_node_per_s": idle,
        "bytes_per_node_per_s_at_8000_changes_a_day": steady,
        "idle_cpu_us_per_node_per_s": 1e6 * idle_cpu,
        "cpu_ms_per_node_per_change": 1000 * cpu / changes,
        "store_reads_per_s_idle": idle_reads,
        "store_reads_per_s_changing": reads_changing,
    }
    bounds = {
        "worst_in_force_s": Bound(at_most=IN_FORCE_SECONDS[count]),
        "bytes_per_node_per_s_at_8000_changes_a_day": Bound(at_most=1000),
        "store_reads_per_s_idle": Bound(at_most=30),
        "store_reads_per_s_changing": Bound(at_most=30),
    }
    return Case(f"config-spread-{count}", seed, figures, bounds)


def parsing() -> Case:
    """Compare decoding a change with decoding the whole document."""
    document = large_document()
    first = unchecked_writes(document, 1)
    change_share(document, 17, 9.0)
    second = unchecked_writes(document, 2)
    rows = {w.key.partition("/")[2]: w.value or b"" for w in [*first, *second]}
    raw = [next(w.value for w in ws if w.key == HEAD_KEY) for ws in (first, second)]
    heads = [decode_manifest(value or b"") for value in raw]
    old = set(heads[0].digests)
    new = [digest for digest in heads[1].digests if digest not in old]
    assembler = DocumentBuilder()
    started = time.process_time()
    assembler.build(heads[0], rows)
    whole = time.process_time() - started
    started = time.process_time()
    built = assembler.build(decode_manifest(raw[1] or b""), rows)
    change = time.process_time() - started
    text = yaml.dump(document, sort_keys=False, Dumper=yaml.CSafeDumper).encode()
    started = time.process_time()
    source = yamlsource.parse("document", text)
    checked = source.bind(check_source)
    read = time.process_time() - started
    figures = {
        "whole_document_cpu_ms": 1000 * whole,
        "change_cpu_ms": 1000 * change,
        "change_over_whole": change / whole,
        "yaml_read_and_check_cpu_ms": 1000 * read,
        "yaml_bytes": float(len(text)),
        "head_bytes": float(len(encode_manifest(heads[1]))),
        "chunks": float(len(heads[1].digests)),
        "stored_bytes": float(sum(len(rows[d]) for d in set(heads[1].digests))),
        "changed_chunks": float(len(new)),
        "changed_chunk_bytes": float(sum(len(rows[d]) for d in new)),
        "same": float(built.is_ok() and checked.is_ok()),
    }
    bounds = {
        "change_over_whole": Bound(at_most=0.25),
        "changed_chunks": Bound(at_most=1),
        "changed_chunk_bytes": Bound(at_most=4000),
        "head_bytes": Bound(at_most=3000),
        "same": Bound(at_least=1),
    }
    return Case("config-parsing", 1, figures, bounds)


def memory_of(organisations: int, engines: int) -> int:
    """Return the memory of a document and its chunks in a router, in bytes."""
    writes = unchecked_writes(large_document(organisations, engines), 1)
    rows = {w.key.partition("/")[2]: w.value or b"" for w in writes}
    head = decode_manifest(next(w.value for w in writes if w.key == HEAD_KEY) or b"")
    tracemalloc.start()
    assembler = DocumentBuilder()
    built = assembler.build(head, rows)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept = sum(len(rows[digest]) for digest in set(head.digests))
    return size + kept if built.is_ok() else 0


def memory() -> Case:
    """Measure the memory per organisation and per engine."""
    small = memory_of(150, 10)
    more_organisations = memory_of(ORGANISATIONS, 10)
    more_engines = memory_of(150, ENGINES)
    engines = MODELS * (ENGINES - 10)
    figures = {
        "bytes_per_organisation": (more_organisations - small) / (ORGANISATIONS - 150),
        "bytes_per_engine": (more_engines - small) / engines,
        "whole_document_bytes": float(memory_of(ORGANISATIONS, ENGINES)),
    }
    bounds = {"whole_document_bytes": Bound(at_most=16e6)}
    return Case("config-memory", 1, figures, bounds)


async def applying() -> Case:
    """Measure the cost of a change for the router that accepts it."""
    document = large_document()
    tables = MemoryTables()
    tables.apply(unchecked_writes(document, 1))
    publisher = Publisher(tables, lambda: datetime(2030, 1, 1, tzinfo=UTC))
    spent = []
    reads = writes = 0
    accepted = 0
    for number in range(1, APPLY_COUNT + 2):
        change_share(document, 17 * number, 9.0)
        sections = {"organisations": document["organisations"]}
        change = Change(f"id-{number}", "dana", number, sections)
        reads, writes = tables.reads, tables.writes
        started = time.process_time()
        result = await publisher.apply(change, lambda section, name: True)
        spent.append(time.process_time() - started)
        reads, writes = tables.reads - reads, tables.writes - writes
        accepted += result.is_ok()
    figures = {
        "first_cpu_ms": 1000 * spent[0],
        "apply_cpu_ms": 1000 * sum(spent[1:]) / APPLY_COUNT,
        "store_reads": float(reads),
        "store_commits": float(writes),
        "accepted": float(accepted),
    }
    bounds = {
        "accepted": Bound(at_least=APPLY_COUNT + 1),
        "store_reads": Bound(at_most=4),
        "store_commits": Bound(at_most=2),
    }
    return Case("config-apply", 1, figures, bounds)


async def counting() -> Case:
    """Measure the cost of counting requests against objectives."""
    value = large_document(ORGANISATIONS, 2)
    value["objectives"] = {
        "completions": {
            "service": "model-0",
            "kind": "completion",
            "target": 0.99,
            "seconds": 2.0,
        }
    }
    rows = unchecked_writes(value, 1)
    chunks = {w.key.partition("/")[2]: w.value or b"" for w in rows}
    head = decode_manifest(next(w.value for w in rows if w.key == HEAD_KEY) or b"")
    version = Version(1, DocumentBuilder().build(head, chunks).ok)
    objectives = ObjectiveTracker(lambda: version)
    random = Random(1)
    names = list(version.document.organisations)[:COUNTED_ORGANISATIONS]
    for name in names:
        objectives.record(name, "model-0", "completion", 1.0, False)
    calls = [
        (random.choice(names), random.lognormvariate(0, 1)) for _ in range(RECORD_COUNT)
    ]
    started = time.process_time()
    for name, seconds in calls:
        objectives.record(name, "model-0", "completion", seconds, False)
    spent = time.process_time() - started
    started = time.process_time()
    report = json.dumps(objectives.report())
    shown = time.process_time() - started
    tracemalloc.start()
    other = ObjectiveTracker(lambda: version)
    for name, seconds in calls:
        other.record(name, "model-0", "completion", seconds, False)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    figures = {
        "record_cpu_us": 1e6 * spent / RECORD_COUNT,
        "bytes_per_series": size / COUNTED_ORGANISATIONS,
        "report_bytes_per_series": len(report) / COUNTED_ORGANISATIONS,
        "report_cpu_us_per_series": 1e6 * shown / COUNTED_ORGANISATIONS,
        "most_series_bytes": MAX_SERIES * size / COUNTED_ORGANISATIONS,
    }
    bounds = {"most_series_bytes": Bound(at_most=32e6)}
    return Case("config-objectives", 1, figures, bounds)


def run(quick: bool) -> Iterator[Case]:
    """Run the cases; the quick ones have few engines."""
    yield parsing()
    yield memory()
    for measure in (applying, counting):
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            yield runner.run(measure())
    sizes = {8: 5, 64: 3} if quick else {8: 20, 64: 10, 370: 5}
    for count, changes in sizes.items():
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            yield runner.run(spread(count, 1, changes, 2 if quick else ENGINES))

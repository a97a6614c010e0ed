"""Compute the cost of control per VM from recorded slopes.

``python tools/capacity.py RESULTS...`` records the figures named in `RECORDED` from
files of benchmark results. ``tools/make_docs.py`` writes docs/CAPACITY.md from them.
"""

import json
import sys
from dataclasses import dataclass
from pathlib import Path

from teaselledge.process.dispatch import TICK_SECONDS
from teaselledge.process.enginefeed import POLL_SECONDS
from teaselledge.process.preset import get_preset_by_name

ROOT = Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs" / "capacity-slopes.json"

RECORDED: dict[str, tuple[str, ...]] = {
    "decisions-wire": (
        "registration_bytes",
        "grant_bytes",
        "accept_bytes",
        "done_bytes",
        "snapshot_bytes",
        "snapshot_reply_bytes",
        "report_of_75_bytes",
        "registration_codec_us",
        "grant_codec_us",
        "accept_codec_us",
        "done_codec_us",
        "snapshot_codec_us",
        "report_of_75_codec_us",
    ),
    "decisions-growth": (
        "registration_75_30_us",
        "grant_75_30_us",
        "report_75_30_us",
        "tick_75_30_us",
    ),
    "decisions-memory": ("request_memory_bytes", "account_memory_bytes"),
    "membership-370": (
        "bytes_per_node_per_s",
        "frames_per_node_per_s",
        "list_bytes_per_node_per_s",
        "cpu_us_per_frame_with_network_fake",
        "death_everywhere_seconds_max",
        "list_word_everywhere_seconds",
    ),
    "config-spread-370": (
        "worst_in_force_s",
        "bytes_per_node_per_s_at_8000_changes_a_day",
        "idle_cpu_us_per_node_per_s",
        "cpu_ms_per_node_per_change",
        "store_reads_per_s_changing",
    ),
    "config-memory": ("whole_document_bytes",),
    "config-objectives": ("record_cpu_us", "most_series_bytes"),
    "speed": (
        "router_cpu_us",
        "router_cpu_us_per_token",
        "bytes_per_open_stream",
        "feed_cpu_us",
    ),
}
"""Figures that the computation uses, by benchmark case."""

DAY_SECONDS = 86_400
MEGA = 1e6
KILO = 1e3


@dataclass(frozen=True)
class Size:
    """Size of the fleet that the costs are computed for.

    Attributes
    ----------
    nodes, engines, organisations, models, regions, zones : int
        Numbers of VMs, engines and so on.
    backlogged : int
        Organisations that are backlogged at a time.
    requests_per_second, tokens_per_second : float
        Totals over the fleet.
    changes_per_day : float
        Configuration changes.
    token_gap_seconds : float
        Time between two tokens of a stream.
    """

    nodes: int = 370
    engines: int = 2900
    organisations: int = 750
    models: int = 10
    regions: int = 6
    zones: int = 21
    backlogged: int = 75
    requests_per_second: float = 3500.0
    tokens_per_second: float = 1.4e6
    changes_per_day: float = 8000.0
    token_gap_seconds: float = 0.069

    @property
    def shards(self) -> int:
        """Number of shards: one for each model in each zone."""
        return self.models * self.zones

    @property
    def requests_per_node(self) -> float:
        """Requests per second at a VM."""
        return self.requests_per_second / self.nodes

    @property
    def requests_per_shard(self) -> float:
        """Requests per second in a shard."""
        return self.requests_per_second / self.shards

    @property
    def streams_per_node(self) -> float:
        """Mean number of open streams at a VM."""
        return self.tokens_per_second * self.token_gap_seconds / self.nodes


@dataclass(frozen=True)
class Limits:
    """Resources that a VM may spend on control."""

    core_fraction: float = 0.019
    memory_bytes: float = 256e6
    bytes_per_s: float = 7000.0
    in_force_seconds: float = 11.0


@dataclass(frozen=True)
class Role:
    """Cost of a role for a VM.

    Attributes
    ----------
    name, mechanism : str
        Name of the role, and the mechanism that it uses.
    sent_bytes_per_s : float
        Control traffic sent.
    core_fraction : float
        Processor time as a fraction of a core.
    memory_bytes : float
        Memory used.
    """

    name: str
    mechanism: str
    sent_bytes_per_s: float
    core_fraction: float
    memory_bytes: float


class Slopes:
    """Recorded figures by case and name."""

    def __init__(self, recorded: dict[str, dict[str, float]]) -> None:
        self._recorded = recorded

    @classmethod
    def from_file(cls, path: Path = SLOPES) -> "Slopes":
        """Read the recorded figures."""
        cases = json.loads(path.read_text())
        return cls({name: case["figures"] for name, case in cases.items()})

    def get(self, case: str, figure: str) -> float:
        """Return a recorded figure; raise `KeyError` for an unknown one."""
        return self._recorded[case][figure]


TICKS_PER_SECOND = 1 / TICK_SECONDS
SNAPSHOTS_PER_SECOND = 1.0
FEED_REQUEST_BYTES = 100.0
FEED_MEMORY_BYTES = 4096 * 100.0
"""Per engine, at most 4096 prefixes are cached, of about 100 bytes each."""

PROCESS_BYTES = 56e6
"""Resident memory of a router that has no configuration yet."""

MAX_WAITING_REQUESTS = 2000


def ingress(size: Size, slopes: Slopes) -> Role:
    """Return the cost of registering requests and reporting their ends."""
    wire = "decisions-wire"
    rate = size.requests_per_node
    names = ("registration", "accept", "done")
    sent = rate * sum(slopes.get(wire, f"{name}_bytes") for name in names)
    digests = size.models * SNAPSHOTS_PER_SECOND
    sent += digests * slopes.get(wire, "snapshot_bytes")
    codec = sum(slopes.get(wire, f"{name}_codec_us") for name in (*names, "grant"))
    micros = rate * (codec / 2 + slopes.get("config-objectives", "record_cpu_us"))
    micros += digests * slopes.get(wire, "snapshot_codec_us")
    memory = MAX_WAITING_REQUESTS * slopes.get(
        "decisions-memory", "request_memory_bytes"
    )
    return Role(
        "ingress",
        "one registration, grant, accept and end a request; a digest a second to "
        "each dispatcher in place of full snapshots",
        sent,
        micros / MEGA,
        memory,
    )


def dispatcher(size: Size, slopes: Slopes, shards: float, preset: str) -> Role:
    """Return the cost of dispatching for a number of shards on one VM."""
    wire, growth = "decisions-wire", "decisions-growth"
    report_bytes = get_preset_by_name(preset).report_bytes
    rate = shards * size.requests_per_shard
    sent = rate * slopes.get(wire, "grant_bytes")
    senders = size.nodes / size.zones
    replies = shards * senders * SNAPSHOTS_PER_SECOND
    sent += replies * slopes.get(wire, "snapshot_reply_bytes")
    sent += shards * report_bytes
    peers = size.zones / size.regions - 1
    share = report_bytes / slopes.get(wire, "report_of_75_bytes")
    reports = shards * share * (1 + 1 / peers)
    names = ("registration", "grant", "accept", "done")
    codec = sum(slopes.get(wire, f"{name}_codec_us") for name in names)
    decide = sum(slopes.get(growth, f"{n}_75_30_us") for n in ("registration", "grant"))
    micros = rate * (codec / 2 + decide)
    micros += shards * TICKS_PER_SECOND * slopes.get(growth, "tick_75_30_us")
    micros += reports * (
        slopes.get(growth, "report_75_30_us")
        + slopes.get(wire, "report_of_75_codec_us")
    )
    micros += replies * slopes.get(wire, "snapshot_codec_us")
    accounts = size.organisations * slopes.get(
        "decisions-memory", "account_memory_bytes"
    )
    waiting = MAX_WAITING_REQUESTS * slopes.get(
        "decisions-memory", "request_memory_bytes"
    )
    return Role(
        f"dispatcher, {shards:.2f} shards",
        f"one dispatcher a service and zone; reports of cumulative counters, at most "
        f"{report_bytes:.0f} B/s a dispatcher (preset {preset})",
        sent,
        micros / MEGA,
        shards * (accounts + waiting),
    )


def membership(size: Size, slopes: Slopes) -> Role:
    """Return the cost of keeping the list of other VMs."""
    case = "membership-370"
    frames = slopes.get(case, "frames_per_node_per_s")
    micros = frames * slopes.get(case, "cpu_us_per_frame_with_network_fake")
    sent = slopes.get(case, "bytes_per_node_per_s")
    return Role(
        "membership",
        "heartbeats to a few neighbours, the rest by gossip; the VM list is read by "
        "turns",
        sent,
        micros / MEGA,
        size.nodes * KILO,
    )


def configuration(size: Size, slopes: Slopes) -> Role:
    """Return the cost of receiving configuration changes."""
    case = "config-spread-370"
    changes = size.changes_per_day / DAY_SECONDS
    millis = slopes.get(case, "idle_cpu_us_per_node_per_s") / KILO
    millis += changes * slopes.get(case, "cpu_ms_per_node_per_change")
    return Role(
        "configuration",
        "sections in chunks by digest; two pollers a region, the rest hear of a change "
        "from peers and fetch changed chunks only",
        slopes.get(case, "bytes_per_node_per_s_at_8000_changes_a_day"),
        millis / KILO,
        slopes.get("config-memory", "whole_document_bytes"),
    )


def engine_feed(size: Size, slopes: Slopes, shards: float) -> Role:
    """Return the cost of polling the engines of a number of shards."""
    engines = shards * size.engines / size.shards
    micros = engines / POLL_SECONDS * slopes.get("speed", "feed_cpu_us")
    return Role(
        "engines' load and cache events",
        f"the dispatcher reads each engine of its shards every {POLL_SECONDS:.0f} s; "
        "bytes go to engines, not to VMs",
        engines / POLL_SECONDS * FEED_REQUEST_BYTES,
        micros / MEGA,
        engines * FEED_MEMORY_BYTES,
    )


def objectives(slopes: Slopes) -> Role:
    """Return the cost of counting events for the burn report."""
    return Role(
        "burn report",
        "counters and sketches in memory, read by the operators' command only",
        0.0,
        0.0,
        slopes.get("config-objectives", "most_series_bytes"),
    )


def roles(size: Size, slopes: Slopes, shards: float, preset: str) -> list[Role]:
    """Return all roles of a VM that dispatches for a number of shards."""
    return [
        ingress(size, slopes),
        dispatcher(size, slopes, shards, preset),
        engine_feed(size, slopes, shards),
        membership(size, slopes),
        configuration(size, slopes),
        objectives(slopes),
        Role("process", "interpreter, libraries, connections", 0.0, 0.0, PROCESS_BYTES),
    ]


def total(rows: list[Role]) -> Role:
    """Return the sum of roles."""
    return Role(
        "all",
        "",
        sum(row.sent_bytes_per_s for row in rows),
        sum(row.core_fraction for row in rows),
        sum(row.memory_bytes for row in rows),
    )


def table(rows: list[Role], limits: Limits) -> str:
    """Format roles as a table with their sum and the limits."""
    lines = [
        "| role | sent, B/s | part of a core | memory, MB | mechanism |",
        "| --- | --- | --- | --- | --- |",
    ]
    summed = total(rows)
    for row in rows:
        lines.append(
            f"| {row.name} | {row.sent_bytes_per_s:,.0f} | {row.core_fraction:.2%} "
            f"| {row.memory_bytes / MEGA:.1f} | {row.mechanism} |"
        )
    lines.append(
        f"| **sum** | **{summed.sent_bytes_per_s:,.0f}** "
        f"| **{summed.core_fraction:.2%}** | **{summed.memory_bytes / MEGA:.0f}** | |"
    )
    lines.append(
        f"| limit | {limits.bytes_per_s:,.0f} | {limits.core_fraction:.2%} "
        f"| {limits.memory_bytes / MEGA:.0f} | {verdict(summed, limits)} |"
    )
    return "\n".join(lines)


def verdict(summed: Role, limits: Limits) -> str:
    """Return the limits that a sum exceeds, as text."""
    exceeded = []
    if summed.sent_bytes_per_s > limits.bytes_per_s:
        exceeded.append("bytes")
    if summed.core_fraction > limits.core_fraction:
        exceeded.append("processor")
    if summed.memory_bytes > limits.memory_bytes:
        exceeded.append("memory")
    return f"**over: {', '.join(exceeded)}**" if exceeded else "held"


def slopes_table() -> str:
    """Format the recorded slopes with their seeds as a table."""
    cases = json.loads(SLOPES.read_text())
    lines = ["| case | seed | figure | value |", "| --- | --- | --- | --- |"]
    for name, case in cases.items():
        for figure, value in case["figures"].items():
            lines.append(f"| {name} | {case['seed']} | `{figure}` | {value:,.6g} |")
    return "\n".join(lines)


def record(paths: list[str]) -> int:
    """Record figures from benchmark results; the last result of a case is kept."""
    found: dict[str, dict[str, object]] = {}
    if SLOPES.exists():
        found = json.loads(SLOPES.read_text())
    for path in paths:
        for line in Path(path).read_text().splitlines():
            if not line.startswith("{"):
                continue
            case = json.loads(line)
            names = RECORDED.get(case["name"])
            if names is None:
                continue
            figures = {name: case["figures"][name] for name in names}
            found[case["name"]] = {"seed": case["seed"], "figures": figures}
    missing = set(RECORDED) - set(found)
    SLOPES.write_text(json.dumps(dict(sorted(found.items())), indent=2) + "\n")
    if missing:
        print(f"no result yet for {sorted(missing)}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(record(sys.argv[1:]))

"""Show the fleet on the platform as one of its routers sees it."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from teaselledge_fleet.connection.peers import StateClient
from teaselledge_fleet.process.members import (
    REPORTED_SILENT_SECONDS,
    Member,
    MemberReport,
    MemberState,
)
from teaselledge_wire.gen.fleet.ttypes import WholeState

from teaselctl.options import FLAGS
from teaselctl.output import CommandError, Output, table

__all__ = ["run"]

COLUMNS = ("zone", "routers", "ready", "answering", "busiest", "busy", "mean_busy")


async def run(args: list[str]) -> Output:
    """Fetch what a router knows and print it by zone."""
    if args or not FLAGS.router:
        raise CommandError("routers needs --router=HOST:PORT, a router's peers' port")
    client = StateClient()
    try:
        fetched = await client.fetch(FLAGS.router)
    finally:
        client.close()
    if fetched.is_error():
        raise CommandError(f"{FLAGS.router}: {fetched.error}")
    state = fetched.ok
    routers = [_row(MemberReport.from_wire(info)) for info in state.routers or ()]
    own = _row(MemberReport(Member.from_wire(state.sender), 0.0))
    value = {**_summary(state), "routers": [own, *routers]}
    return Output(value, _told(value))


def _summary(state: WholeState) -> dict[str, Any]:
    endpoints = [entry for entry in state.endpoints or () if not entry.gone]
    age = state.store_age
    return {
        "router": state.sender.vm,
        "version": state.version,
        "store_era": state.era,
        "store_seconds": None if age is None or age < 0 else age / 1000,
        "endpoints": len(endpoints),
        "leaving": sum(bool(entry.leaving) for entry in endpoints),
    }


def _row(report: MemberReport) -> dict[str, Any]:
    member = report.member
    return {
        "vm": member.vm,
        "zone": member.zone,
        "state": member.state.name.lower(),
        "busy": member.utilisation,
        "silent_seconds": report.silent_seconds,
    }


def _told(value: dict[str, Any]) -> str:
    age = value["store_seconds"]
    known = "never read" if age is None else f"read {age:.1f} s ago"
    lines = [
        f"As {value['router']} sees it: version {value['version']}, store {known}, "
        f"era {value['store_era']}, {value['endpoints']} endpoints, "
        f"{value['leaving']} of them leaving.",
        "",
        table(COLUMNS, _zones(value["routers"])),
    ]
    return "\n".join(lines)


def _zones(routers: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    zones = defaultdict(list)
    for router in routers:
        zones[router["zone"]].append(router)
    return [_zone(name, members) for name, members in sorted(zones.items())]


def _zone(name: str, routers: list[dict[str, Any]]) -> dict[str, Any]:
    busiest = max(routers, key=lambda router: router["busy"])
    ready = MemberState.READY.name.lower()
    return {
        "zone": name,
        "routers": len(routers),
        "ready": sum(router["state"] == ready for router in routers),
        "answering": sum(_answers(router["silent_seconds"]) for router in routers),
        "busiest": busiest["vm"],
        "busy": busiest["busy"],
        "mean_busy": sum(router["busy"] for router in routers) / len(routers),
    }


def _answers(silent: float | None) -> bool:
    return silent is not None and silent <= REPORTED_SILENT_SECONDS

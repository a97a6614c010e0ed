"""Show the routers on the platform by zone, from the state of one of them."""

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
    """Fetch the state of a router and print it by zone."""
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
    routers = [
        _router_row(MemberReport.from_wire(info)) for info in state.routers or ()
    ]
    own = _router_row(MemberReport(Member.from_wire(state.sender), 0.0))
    value = {**_summary(state), "routers": [own, *routers]}
    return Output(value, _format_state(value))


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


def _router_row(report: MemberReport) -> dict[str, Any]:
    member = report.member
    return {
        "vm": member.vm,
        "zone": member.zone,
        "state": member.state.name.lower(),
        "busy": member.utilisation,
        "silent_seconds": report.silent_seconds,
    }


def _format_state(value: dict[str, Any]) -> str:
    age = value["store_seconds"]
    store = "never read" if age is None else f"read {age:.1f} s ago"
    lines = [
        f"As {value['router']} sees it: version {value['version']}, store {store}, "
        f"era {value['store_era']}, {value['endpoints']} endpoints, "
        f"{value['leaving']} of them leaving.",
        "",
        table(COLUMNS, _zone_rows(value["routers"])),
    ]
    return "\n".join(lines)


def _zone_rows(routers: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    zones = defaultdict(list)
    for router in routers:
        zones[router["zone"]].append(router)
    return [_zone_row(name, members) for name, members in sorted(zones.items())]


def _zone_row(name: str, routers: list[dict[str, Any]]) -> dict[str, Any]:
    busiest = max(routers, key=lambda router: router["busy"])
    ready = MemberState.READY.name.lower()
    return {
        "zone": name,
        "routers": len(routers),
        "ready": sum(router["state"] == ready for router in routers),
        "answering": sum(_is_answering(router["silent_seconds"]) for router in routers),
        "busiest": busiest["vm"],
        "busy": busiest["busy"],
        "mean_busy": sum(router["busy"] for router in routers) / len(routers),
    }


def _is_answering(silent_seconds: float | None) -> bool:
    return silent_seconds is not None and silent_seconds <= REPORTED_SILENT_SECONDS

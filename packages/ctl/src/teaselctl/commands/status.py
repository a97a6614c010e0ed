"""Show routers, services, shares and health of the fleet."""

import asyncio
from dataclasses import asdict
from typing import Any

from teaselledge.process.status import fleet_health

from teaselctl.client import Client
from teaselctl.options import FLAGS
from teaselctl.output import Output, table
from teaselctl.shares import share_rows

__all__ = ["run"]

SHARE_COLUMNS = ("service", "organisation", "share", "due", "received", "waiting")
SHARD_COLUMNS = ("dispatcher", "waiting", "running", "free", "utilisation", "gap")


def _router_rows(reports: dict[str, Any]) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for vm, report in sorted(reports.items()):
        if report is None:
            rows.append({"router": vm, "state": "no answer"})
            continue
        configuration = report["configuration"]
        rows.append(
            {
                "router": vm,
                "zone": report["zone"],
                "region": report["region"],
                "version": configuration["in_force"],
                "unreadable": configuration["unreadable"] or None,
                "waiting": report["waiting"],
                "running": report["running"],
                "state": "leaving" if report["leaving"] else "serves",
            }
        )
    return rows


def _shard_rows(reports: dict[str, Any]) -> list[dict[str, Any]]:
    rows = []
    for vm, report in sorted(reports.items()):
        for shard in report["shards"] if report is not None else ():
            slots = shard["running"] + shard["free"]
            used = shard["running"] / slots if slots else None
            rows.append({**shard, "dispatcher": vm, "utilisation": used})
    return rows


def _share_rows(before: dict[str, Any], after: dict[str, Any]) -> list[dict[str, Any]]:
    return [asdict(row) for row in share_rows(before, after)]


def _health_rows(reports: dict[str, Any]) -> list[dict[str, Any]]:
    return [
        {"router": vm, **entry}
        for vm, report in sorted(reports.items())
        if report is not None
        for entry in report["health"]
        if entry["state"] == "look"
    ]


async def run(args: list[str]) -> Output:
    """Fetch the status of all routers twice and print it with the shares received."""
    client = Client.from_flags(FLAGS)
    before = await client.get_from_all("/v1/status")
    await asyncio.sleep(FLAGS.seconds)
    reports = await client.get_from_all("/v1/status")
    shares = _share_rows(before, reports)
    health = fleet_health(reports)
    answered = [report for report in reports.values() if report is not None]
    services = answered[0]["services"] if answered else []
    routers = ("router", "zone", "region", "version", "unreadable")
    sections = [
        "Routers",
        table((*routers, "waiting", "running", "state"), _router_rows(reports)),
        "",
        "Services",
        table(("service", "zone", "endpoints", "slots", "leaving"), services),
        "",
        "Shards",
        table(("service", "zone", *SHARD_COLUMNS), _shard_rows(reports)),
        "",
        f"Shares, over {FLAGS.seconds:g} s",
        table(SHARE_COLUMNS, shares),
        "",
        "To look at",
        table(
            ("router", "name", "value", "limit", "unit", "meaning"),
            _health_rows(reports),
        ),
    ]
    for vm, other in health["unseen"]:
        sections.append(f"{vm} does not see {other}")
    if health["missing"]:
        sections.append(f"no answer from {', '.join(health['missing'])}")
    return Output(
        {"fleet": health, "routers": reports, "shares": shares}, "\n".join(sections)
    )

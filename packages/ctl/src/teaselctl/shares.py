"""Capacity that each organisation is due and receives, over all dispatchers."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["ShareRow", "share_rows"]

Reports = Mapping[str, Mapping[str, Any] | None]
"""Status by router, None for a router that did not respond."""

CounterKey = tuple[str, str, str, str]
"""Dispatching router, service, zone and organisation."""


@dataclass
class ShareRow:
    """Share of an organisation in a service.

    Attributes
    ----------
    service, organisation : str
        What the row belongs to.
    share : float
        Configured share.
    served : float
        Cost granted between the two samples.
    waiting : int
        Waiting requests in the second sample.
    due, received : float or None
        Fractions of the service's capacity. Both are None for an organisation that
        was not served and has no waiting requests; ``received`` also if no
        organisation was served.
    """

    service: str
    organisation: str
    share: float
    served: float = 0.0
    waiting: int = 0
    due: float | None = None
    received: float | None = None


def _counters(reports: Reports) -> Iterator[tuple[CounterKey, Mapping[str, Any]]]:
    for vm, report in sorted(reports.items()):
        for entry in report["shares"] if report is not None else ():
            yield (vm, entry["service"], entry["zone"], entry["organisation"]), entry


def share_rows(before: Reports, after: Reports) -> list[ShareRow]:
    """Return the rows for the time between two samples.

    A counter that fell is taken as unchanged: a charge was corrected, or the
    dispatcher restarted. The due fraction is the share divided by the shares of all
    organisations that were served or have waiting requests, since capacity that
    others leave unused is divided among them.
    """
    old = {key: counters["served"] for key, counters in _counters(before)}
    rows: dict[tuple[str, str], ShareRow] = {}
    for key, counters in _counters(after):
        name = (counters["service"], counters["organisation"])
        row = rows.setdefault(name, ShareRow(*name, counters["share"]))
        row.served += max(0.0, counters["served"] - old.get(key, 0.0))
        row.waiting += counters["waiting"]
    for service in {row.service for row in rows.values()}:
        _set_fractions([row for row in rows.values() if row.service == service])
    return sorted(rows.values(), key=lambda r: (r.service, -r.waiting, r.organisation))


def _set_fractions(rows: list[ShareRow]) -> None:
    active = [row for row in rows if row.served or row.waiting]
    shares = sum(row.share for row in active)
    served = sum(row.served for row in active)
    for row in active:
        row.due = row.share / shares
        row.received = row.served / served if served else None

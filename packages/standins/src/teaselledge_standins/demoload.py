"""The callers of the demo, and counts of their responses."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from teaselledge_standins.caller import Caller, ClientResponse, is_complete_response
from teaselledge_standins.fleet import Fleet, key_of

__all__ = ["CallerCounts", "DemoLoad", "Organisation"]

TOKENS = 30
ORDER_PAUSE_SECONDS = 0.12
RETRY_SECONDS = 0.2
MAX_ORDER_TRIES = 30
LOOKUP_PAUSE_SECONDS = 0.1
OK = 200
CONNECTION_BROKEN = 599


@dataclass(frozen=True)
class Organisation:
    """One organisation of the demo.

    Attributes
    ----------
    name : str
        Name of the organisation.
    share : float
        Share of the organisation.
    router : str
        Router that its callers use while it is listed.
    workers : int
        Completions that it requests concurrently.
    orders : bool
        Whether it also places orders and does lookups.
    """

    name: str
    share: float
    router: str
    workers: int
    orders: bool = False


@dataclass
class CallerCounts:
    """Counts of the callers' requests.

    Attributes
    ----------
    requests, answered, wrong, refused : int
        Requests sent; with a complete response, a wrong or broken response, and an
        error response.
    waits : dict of str to list of float
        Seconds to the first chunk of a response, by kind.
    outstanding : Counter of str
        Completions whose response has not ended, by organisation.
    orders : dict of str to bool
        Orders by name, and whether they were confirmed in the end.
    """

    requests: int = 0
    answered: int = 0
    wrong: int = 0
    refused: int = 0
    waits: dict[str, list[float]] = field(default_factory=dict)
    outstanding: Counter[str] = field(default_factory=Counter)
    orders: dict[str, bool] = field(default_factory=dict)


class DemoLoad:
    """Callers of all organisations, each at the router of its organisation."""

    def __init__(self, fleet: Fleet, organisations: list[Organisation]) -> None:
        self.counts = CallerCounts()
        self._fleet = fleet
        self._organisations = organisations
        self._names = count()
        self._gone_routers: set[str] = set()
        self._stopping = False

    async def run(self) -> None:
        """Send requests until stopped, then wait for the responses."""
        async with asyncio.TaskGroup() as group:
            for organisation in self._organisations:
                for _ in range(organisation.workers):
                    group.create_task(self._complete(organisation))
                if organisation.orders:
                    group.create_task(self._order(organisation))
                    group.create_task(self._look_up(organisation))

    def stop(self) -> None:
        """Send no further requests."""
        self._stopping = True

    async def _address(self, organisation: Organisation) -> str:
        """Return the preferred router's address if the fleet lists it, else another."""
        preferred = self._fleet.routers[organisation.router].caller_address
        for vm, router in self._fleet.routers.items():
            if vm in self._gone_routers:
                continue
            response = await Caller("").call(
                router.caller_address, "GET", "/v1/addresses"
            )
            if response.status != OK:
                self._gone_routers.add(vm)
                continue
            listed = [e["address"] for e in json.loads(response.body)["addresses"]]
            return preferred if preferred in listed else listed[0]
        raise ConnectionError("no router responds")

    async def _complete(self, organisation: Organisation) -> None:
        caller = Caller(key_of(organisation.name))
        address = await self._address(organisation)
        while not self._stopping:
            name = f"{organisation.name}-{next(self._names)}"
            self.counts.outstanding[organisation.name] += 1
            response = await caller.request_completion(
                address, name, TOKENS, organisation.name
            )
            self.counts.outstanding[organisation.name] -= 1
            complete = response.status == OK and is_complete_response(
                response, name, TOKENS
            )
            self._count("completion", response, complete)
            if response.status != OK:
                address = await self._address(organisation)
                await asyncio.sleep(RETRY_SECONDS)

    async def _look_up(self, organisation: Organisation) -> None:
        caller = Caller(key_of(organisation.name))
        body = json.dumps({"name": "look", "seconds": 0.005}).encode()
        path = "/v1/services/ledger/work"
        while not self._stopping:
            address = await self._address(organisation)
            response = await caller.call(address, "POST", path, body)
            complete = (
                response.status == OK and json.loads(response.body)["name"] == "look"
            )
            self._count("lookup", response, complete)
            await asyncio.sleep(LOOKUP_PAUSE_SECONDS)

    async def _order(self, organisation: Organisation) -> None:
        caller = Caller(key_of(organisation.name))
        while not self._stopping:
            name = f"order-{organisation.name}-{next(self._names)}"
            self.counts.orders[name] = False
            await self._place(caller, organisation, name)
            await asyncio.sleep(ORDER_PAUSE_SECONDS)

    async def _place(
        self, caller: Caller, organisation: Organisation, name: str
    ) -> None:
        """Retry with the same key until the order is confirmed."""
        for _ in range(MAX_ORDER_TRIES):
            address = await self._address(organisation)
            response = await caller.place_order(address, name, organisation.name)
            complete = (
                response.status == OK and json.loads(response.body)["name"] == name
            )
            self._count("order", response, complete)
            if complete:
                self.counts.orders[name] = True
                return
            await asyncio.sleep(RETRY_SECONDS)

    def _count(self, kind: str, response: ClientResponse, complete: bool) -> None:
        counts = self.counts
        counts.requests += 1
        if complete:
            counts.answered += 1
            counts.waits.setdefault(kind, []).append(response.first_seconds)
            return
        if response.status in (OK, CONNECTION_BROKEN):
            counts.wrong += 1
            return
        counts.refused += 1

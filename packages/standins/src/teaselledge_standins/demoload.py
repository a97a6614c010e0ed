"""The callers of the demo: what they send and what they saw."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from teaselledge_standins.caller import Caller, ClientResponse, is_complete_response
from teaselledge_standins.fleet import Fleet, key_of

__all__ = ["DemoLoad", "Organisation", "Seen"]

TOKENS = 30
ORDER_PAUSE_SECONDS = 0.12
RETRY_SECONDS = 0.2
ORDER_TRIES = 30
LOOKUP_PAUSE_SECONDS = 0.1
OK = 200
BROKEN = 599


@dataclass(frozen=True)
class Organisation:
    """One organisation of the demo.

    Attributes
    ----------
    name : str
        Its name.
    share : float
        Its share.
    router : str
        The router that its callers use while it is there.
    workers : int
        Completions that it asks for at once.
    orders : bool
        Whether it places orders and looks things up too.
    """

    name: str
    share: float
    router: str
    workers: int
    orders: bool = False


@dataclass
class Seen:
    """What callers saw.

    Attributes
    ----------
    requests, answered, wrong, refused : int
        Requests sent, whole answers, wrong answers, true refusals.
    waits : dict of str to list of float
        Seconds to the first part of an answer, by kind.
    outstanding : Counter of str
        Completions without a first part yet, by organisation.
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
    """Callers of all organisations, each on the router it was told to use."""

    def __init__(self, fleet: Fleet, organisations: list[Organisation]) -> None:
        self.seen = Seen()
        self._fleet = fleet
        self._organisations = organisations
        self._names = count()
        self._left: set[str] = set()
        self._stopping = False

    async def run(self) -> None:
        """Call until stopped, then wait for the answers."""
        async with asyncio.TaskGroup() as group:
            for organisation in self._organisations:
                for _ in range(organisation.workers):
                    group.create_task(self._complete(organisation))
                if organisation.orders:
                    group.create_task(self._order(organisation))
                    group.create_task(self._look_up(organisation))

    def stop(self) -> None:
        """Start no further requests."""
        self._stopping = True

    async def _address(self, organisation: Organisation) -> str:
        """Return the address to use, as the fleet tells it."""
        wished = self._fleet.routers[organisation.router].caller_address
        for vm, router in self._fleet.routers.items():
            if vm in self._left:
                continue
            reply = await Caller("").call(router.caller_address, "GET", "/v1/addresses")
            if reply.status != OK:
                self._left.add(vm)
                continue
            listed = [e["address"] for e in json.loads(reply.body)["addresses"]]
            return wished if wished in listed else listed[0]
        raise ConnectionError("no router answers")

    async def _complete(self, organisation: Organisation) -> None:
        caller = Caller(key_of(organisation.name))
        address = await self._address(organisation)
        while not self._stopping:
            name = f"{organisation.name}-{next(self._names)}"
            self.seen.outstanding[organisation.name] += 1
            reply = await caller.request_completion(
                address, name, TOKENS, organisation.name
            )
            self.seen.outstanding[organisation.name] -= 1
            whole = reply.status == OK and is_complete_response(reply, name, TOKENS)
            self._note("completion", reply, whole)
            if reply.status != OK:
                address = await self._address(organisation)
                await asyncio.sleep(RETRY_SECONDS)

    async def _look_up(self, organisation: Organisation) -> None:
        caller = Caller(key_of(organisation.name))
        body = json.dumps({"name": "look", "seconds": 0.005}).encode()
        path = "/v1/services/ledger/work"
        while not self._stopping:
            address = await self._address(organisation)
            reply = await caller.call(address, "POST", path, body)
            whole = reply.status == OK and json.loads(reply.body)["name"] == "look"
            self._note("lookup", reply, whole)
            await asyncio.sleep(LOOKUP_PAUSE_SECONDS)

    async def _order(self, organisation: Organisation) -> None:
        caller = Caller(key_of(organisation.name))
        while not self._stopping:
            name = f"order-{organisation.name}-{next(self._names)}"
            self.seen.orders[name] = False
            await self._place(caller, organisation, name)
            await asyncio.sleep(ORDER_PAUSE_SECONDS)

    async def _place(
        self, caller: Caller, organisation: Organisation, name: str
    ) -> None:
        """Ask again under the same key until the order is confirmed."""
        for _ in range(ORDER_TRIES):
            address = await self._address(organisation)
            reply = await caller.place_order(address, name, organisation.name)
            whole = reply.status == OK and json.loads(reply.body)["name"] == name
            self._note("order", reply, whole)
            if whole:
                self.seen.orders[name] = True
                return
            await asyncio.sleep(RETRY_SECONDS)

    def _note(self, kind: str, reply: ClientResponse, whole: bool) -> None:
        seen = self.seen
        seen.requests += 1
        if whole:
            seen.answered += 1
            seen.waits.setdefault(kind, []).append(reply.first_seconds)
            return
        if reply.status in (OK, BROKEN):
            seen.wrong += 1
            return
        seen.refused += 1

"""In-memory endpoints whose running requests slow one another, as in a batch."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from teaselledge.connection.endpoint import (
    EndpointResponse,
    IncompleteResponseError,
    OutboundRequest,
    SendFailure,
)
from teaselledge.request.resume import RESUME_HEADER
from tornado.httputil import HTTPHeaders

from teaselledge_standins.endpoint import ExecutedRequest
from teaselledge_standins.faults import EndpointFaults
from teaselledge_standins.virtual.network import VirtualNetwork

__all__ = ["VirtualClient", "VirtualEndpoint", "response_text"]

CHUNKS = 8
"""Chunks of a response; few, so that the runs stay fast."""

EVENT_PREFIX = b"data:"


def response_text(name: str, index: int, tokens: float = 0) -> bytes:
    """Return one chunk of the response to a named request.

    The response of an engine has one event per token; the routers count them.
    """
    before = int(tokens * index / CHUNKS)
    events = int(tokens * (index + 1) / CHUNKS) - before
    return f"{name}/{index};".encode() + EVENT_PREFIX * events


@dataclass
class VirtualEndpoint:
    """An endpoint that executes requests of a known cost.

    A request's body is JSON with ``name``, ``organisation`` and ``cost``.

    Attributes
    ----------
    name : str
        Name of the endpoint, also its address on the virtual network.
    unit_seconds : float
        Seconds per unit of cost when no other request runs.
    slowdown : float
        Fraction by which each further running request slows all of them.
    tokens : bool
        Whether cost is in tokens, with one event each in the response; otherwise
        it is in seconds.
    resumes : bool
        Whether a resumed stream omits the bytes that the router already has.
    progress : list of tuple of float, str and float
        Loop time, organisation and cost of each finished chunk.
    """

    name: str
    network: VirtualNetwork
    zone: str
    unit_seconds: float = 1.0
    slowdown: float = 0.0
    tokens: bool = False

    def __post_init__(self) -> None:
        self.faults = EndpointFaults()
        self.resumes = True
        self.progress: list[tuple[float, str, float]] = []
        self.runs: list[ExecutedRequest] = []
        self.running = 0
        self.network.zones[self.name] = self.zone

    async def run(
        self, body: dict[str, Any], request_id: str, skip: int = 0
    ) -> AsyncIterator[bytes]:
        """Execute a request and yield the chunks of its response.

        The first ``skip`` bytes, which the router has from an earlier stream, are
        omitted and cost nothing.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        cost = float(body["cost"])
        done = 0
        tokens = cost if self.tokens else 0
        self.running += 1
        try:
            for index in range(CHUNKS):
                text = response_text(body["name"], index, tokens)
                if len(text) <= skip:
                    skip -= len(text)
                    continue
                factor = 1 + self.slowdown * (self.running - 1)
                seconds = cost / CHUNKS * self.unit_seconds * factor
                await asyncio.sleep(seconds * self.faults.slow)
                done += 1
                spent = cost / CHUNKS if self.tokens else seconds * self.faults.slow
                self.progress.append((loop.time(), body["organisation"], spent))
                yield text[skip:]
                skip = 0
        finally:
            self.running -= 1
            spent = cost * done / CHUNKS
            self.runs.append(
                ExecutedRequest(
                    request_id,
                    body["name"],
                    body["organisation"],
                    started,
                    loop.time(),
                    spent,
                )
            )


class _VirtualResponse:
    def __init__(
        self,
        client: "VirtualClient",
        endpoint: VirtualEndpoint,
        request: OutboundRequest,
    ) -> None:
        self._client = client
        self._endpoint = endpoint
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._complete = False
        self._skip = 0
        if endpoint.resumes:
            self._skip = int(request.headers.get(RESUME_HEADER, "0"))
        self._first: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._task = asyncio.create_task(self._run(request))
        client.response_tasks.add(self._task)
        self._task.add_done_callback(client.response_tasks.discard)

    async def _run(self, request: OutboundRequest) -> None:
        endpoint, network = self._endpoint, self._client.network
        vm = self._client.vm
        body = json.loads(request.body)
        sent = 0
        cut = False
        stop = endpoint.faults.next_break_offset()
        identifier = request.headers.get("X-Request-Id", "")
        chunks = endpoint.run(body, identifier, self._skip)
        async for chunk in chunks:
            if cut or not network.is_connected(endpoint.name, vm):
                # The endpoint continues, but its output is lost; output after the
                # cut heals is dropped too, since the stream has a hole.
                cut = True
                continue
            if 0 <= stop < sent + len(chunk):
                if stop > sent:
                    self._queue.put_nowait(chunk[: stop - sent])
                    self._signal_started()
                break
            sent += len(chunk)
            self._queue.put_nowait(chunk)
            self._signal_started()
        else:
            self._complete = not cut
        if endpoint.faults.drop_after_run > 0:
            endpoint.faults.drop_after_run -= 1
            self._complete = False
        if not self._first.done():
            self._first.set_result(False)
        self._queue.put_nowait(None)

    def _signal_started(self) -> None:
        if not self._first.done():
            self._first.set_result(True)

    async def head(self) -> bool:
        """Wait for the first chunk; return False if the connection broke before."""
        return await asyncio.shield(self._first)

    @property
    def status(self) -> int:
        """HTTP status."""
        return 200

    @property
    def headers(self) -> HTTPHeaders:
        """Headers as received."""
        if not self._skip:
            return HTTPHeaders()
        return HTTPHeaders({RESUME_HEADER: str(self._skip)})

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks of the body."""
        while True:
            chunk = await self._queue.get()
            await self._client.network.wait_until_resumed(self._client.vm)
            if chunk is None:
                break
            yield chunk
        if not self._complete:
            raise IncompleteResponseError

    def close(self) -> None:
        """Cancel the request."""
        self._task.cancel()
        self._queue.put_nowait(None)


class VirtualClient:
    """The endpoint client of one VM on the virtual network."""

    def __init__(
        self, vm: str, network: VirtualNetwork, endpoints: dict[str, VirtualEndpoint]
    ) -> None:
        self.vm = vm
        self.network = network
        self.response_tasks: set[asyncio.Task[None]] = set()
        self._endpoints = endpoints

    async def send(
        self, address: str, request: OutboundRequest
    ) -> Result[EndpointResponse, SendFailure]:
        """Send a request to the endpoint named by the host part of the address."""
        network = self.network
        await network.wait_until_resumed(self.vm)
        endpoint = self._endpoints[address.partition(":")[0]]
        await asyncio.sleep(network.delay(self.vm, endpoint.name, len(request.body)))
        await network.wait_until_resumed(self.vm)
        refused = endpoint.faults.refuse or not (
            network.is_connected(self.vm, endpoint.name)
            and network.is_connected(endpoint.name, self.vm)
        )
        if refused:
            detail = "the endpoint refuses connections"
            down = endpoint.faults.refuse
            return Error(SendFailure(False, detail, refused=down))
        response = _VirtualResponse(self, endpoint, request)
        try:
            started = await response.head()
        except asyncio.CancelledError:
            response.close()
            raise
        await network.wait_until_resumed(self.vm)
        if not started:
            return Error(SendFailure(True, "the endpoint gave no answer"))
        return Ok(response)

    def close(self) -> None:
        """Cancel all requests, as when the process is killed."""
        for task in list(self.response_tasks):
            task.cancel()

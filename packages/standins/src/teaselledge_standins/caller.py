"""A client of the routers, and a check of its responses."""

import json
import time
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from teaselledge_standins.engine import token_text

__all__ = ["Caller", "ClientResponse"]


@dataclass(frozen=True)
class ClientResponse:
    """Response to a request, with timing.

    Attributes
    ----------
    status : int
        HTTP status; 599 if the connection broke.
    body : bytes
        The body.
    headers : dict of str to str
        Headers.
    first_seconds : float
        Time from the call to the first chunk of the body.
    seconds : float
        Time from the call to the end of the response.
    """

    status: int
    body: bytes
    headers: dict[str, str]
    first_seconds: float = 0.0
    seconds: float = 0.0

    @property
    def kind(self) -> str:
        """Error kind of a problem response."""
        return str(json.loads(self.body)["kind"])

    @property
    def ran(self) -> str:
        """Whether the request was executed, according to a problem response."""
        return str(json.loads(self.body)["ran"])


class Caller:
    """Sends requests to routers with the key of one organisation."""

    def __init__(self, key: str) -> None:
        self._key = key
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=10_000
        )

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None = None,
        idempotency_key: str = "",
    ) -> ClientResponse:
        """Send one request."""
        headers = {"Authorization": f"Bearer {self._key}"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        started = time.perf_counter()
        parts: list[bytes] = []
        first: list[float] = []

        def receive(part: bytes) -> None:
            if not first:
                first.append(time.perf_counter() - started)
            parts.append(part)

        request = HTTPRequest(
            f"http://{address}{path}",
            method,
            headers=headers,
            body=body,
            allow_nonstandard_methods=True,
            request_timeout=120,
            streaming_callback=receive,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPError) as error:
            return ClientResponse(599, repr(error).encode(), {})
        seconds = time.perf_counter() - started
        return ClientResponse(
            response.code,
            b"".join(parts),
            dict(response.headers),
            first[0] if first else seconds,
            seconds,
        )

    async def request_completion(
        self, address: str, name: str, tokens: int, user: str
    ) -> ClientResponse:
        """Request a completion from the model engine."""
        body = json.dumps({"prompt": name, "max_tokens": tokens, "user": user})
        path = "/v1/services/models/v1/completions"
        return await self.call(address, "POST", path, body.encode())

    async def place_order(self, address: str, name: str, user: str) -> ClientResponse:
        """Place an order with its name as idempotency key."""
        body = json.dumps({"name": name, "organisation": user}).encode()
        path = "/v1/services/ledger/orders"
        return await self.call(address, "POST", path, body, name)


def is_complete_response(response: ClientResponse, name: str, tokens: int) -> bool:
    """Return whether a response is complete and belongs to the named request."""
    events = [line for line in response.body.decode().split("\n\n") if line]
    if events[-1:] != ["data: [DONE]"]:
        return False
    texts = [
        json.loads(event.removeprefix("data: "))["choices"][0]["text"]
        for event in events[:-1]
    ]
    return texts == [token_text(name, position) for position in range(tokens)]

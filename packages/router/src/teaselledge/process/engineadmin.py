"""HTTP client of the engines' administration interface."""

import json

from expression import Error, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from teaselledge.process.engineorders import (
    EngineOrderFailure,
    EngineState,
    Target,
    decode_state,
)

__all__ = ["HttpEngineAdmin"]

CALL_TIMEOUT_SECONDS = 10.0
OK = 200
CONFLICT = 409
CLIENT_ERRORS = range(400, 500)


class HttpEngineAdmin:
    """Reads ``/admin/state`` and writes ``/admin/target`` of engines."""

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=16)

    async def state(self, address: str) -> Result[EngineState, EngineOrderFailure]:
        """Read an engine's state."""
        request = HTTPRequest(
            f"http://{address}/admin/state", request_timeout=CALL_TIMEOUT_SECONDS
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except OSError:
            return Error(EngineOrderFailure.REFUSED)
        if response.code != OK:
            return Error(EngineOrderFailure.REFUSED)
        return decode_state(response.body)

    async def set_target(
        self, address: str, number: int, target: Target
    ) -> Result[None, EngineOrderFailure]:
        """Send an order and wait until the engine has accepted it."""
        body = {"number": number, "role": target.role, "models": target.models}
        request = HTTPRequest(
            f"http://{address}/admin/target",
            "PUT",
            body=json.dumps(body),
            request_timeout=CALL_TIMEOUT_SECONDS,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            return Error(EngineOrderFailure.REFUSED)
        except (OSError, HTTPClientError):
            return Error(EngineOrderFailure.UNCERTAIN)
        if response.code == OK:
            return Ok(None)
        if response.code == CONFLICT:
            return Error(EngineOrderFailure.OLD_NUMBER)
        if response.code in CLIENT_ERRORS:
            return Error(EngineOrderFailure.REFUSED)
        # a server error, or tornado's status code for a timeout
        return Error(EngineOrderFailure.UNCERTAIN)

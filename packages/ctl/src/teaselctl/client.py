"""HTTP client for the operators' port of routers."""

import asyncio
import json
import ssl
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

from absl.flags import FlagValues
from teaselledge.process.settings import Tls
from teaselledge.process.tls import client_context
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from teaselctl.output import FAULTY, USAGE, CommandError

__all__ = ["Client", "read_key"]

REQUEST_TIMEOUT_SECONDS = 20.0
FLEET_REQUEST_TIMEOUT_SECONDS = 5.0
"""Shorter when all routers are queried, so that a dead one doesn't delay the others."""

MAX_CONCURRENT_REQUESTS = 64
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
HTTP_OK = 200
HTTP_UNAUTHORIZED = 401


def read_key(path: str) -> str:
    """Return the operator's key from a file.

    Raises
    ------
    CommandError
        If no file is named, or it doesn't hold a key on one line.
    """
    if not path:
        raise CommandError("no key: name the file that holds it with --key_file")
    try:
        key = Path(path).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it is no text"
        raise CommandError(f"key file {path}: {reason}") from None
    if not key or "\n" in key:
        raise CommandError(f"key file {path}: one line with the key is expected")
    return key


def read_tls(flags: FlagValues) -> ssl.SSLContext | None:
    """Return the TLS context for the files in the flags, None if there are none.

    Raises
    ------
    CommandError
        If a flag or file is missing, or a file can't be loaded.
    """
    named = (flags.ca, flags.certificate, flags.certificate_key)
    if not any(named):
        return None
    if not all(named):
        raise CommandError("TLS takes --ca, --certificate and --certificate_key")
    try:
        return client_context(Tls(flags.certificate, flags.certificate_key, flags.ca))
    except OSError as error:
        raise CommandError(f"TLS: {error.strerror or error}") from None


class Client:
    """Sends requests to one router, and to all others that it lists.

    Parameters
    ----------
    router : str
        ``host:port`` of the router's operators' port.
    key : str
        The operator's key.
    tls : ssl.SSLContext or None
        TLS context; None for plain HTTP.
    """

    def __init__(
        self, router: str, key: str, tls: ssl.SSLContext | None = None
    ) -> None:
        if not router:
            raise CommandError("no router: name one with --router host:port")
        host, _, port = router.rpartition(":")
        if not host or not port.isdecimal():
            raise CommandError(f"router {router!r}: host:port is expected")
        self._router = router
        self._key = key
        self._tls = tls
        self._scheme = "https" if tls is not None else "http"
        self._http = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_REQUESTS,
            max_body_size=MAX_RESPONSE_BYTES,
        )

    @classmethod
    def from_flags(cls, flags: FlagValues) -> "Client":
        """Return a client for the router and key that the flags name."""
        return cls(flags.router, read_key(flags.key_file), read_tls(flags))

    async def get(self, path: str, **query: Any) -> Any:
        """Send a GET request to the router, without empty query parameters."""
        parameters = {
            name: value for name, value in query.items() if value not in ("", None)
        }
        full = f"{path}?{urlencode(parameters)}" if parameters else path
        return await self._request(
            self._router, "GET", full, None, REQUEST_TIMEOUT_SECONDS
        )

    async def post(self, path: str, body: Any) -> Any:
        """Send a POST request with a JSON body to the router."""
        data = json.dumps(body).encode()
        return await self._request(
            self._router, "POST", path, data, REQUEST_TIMEOUT_SECONDS
        )

    async def get_from_all(self, path: str) -> dict[str, Any]:
        """Send a GET request to every router in the router's member list.

        Returns
        -------
        dict
            Responses by VM, None for a router that did not respond.
        """
        status = await self.get("/v1/status")
        addresses = {m["vm"]: m["operator_address"] for m in status["members"]}
        addresses.update(dict.fromkeys(status["silent"], ""))
        responses = await asyncio.gather(
            *(self._get_or_none(address, path) for address in addresses.values())
        )
        return dict(zip(addresses, responses, strict=True))

    async def _get_or_none(self, address: str, path: str) -> Any:
        if not address:
            return None
        try:
            return await self._request(
                address, "GET", path, None, FLEET_REQUEST_TIMEOUT_SECONDS
            )
        except CommandError:
            return None

    async def _request(
        self,
        router: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_seconds: float,
    ) -> Any:
        request = HTTPRequest(
            f"{self._scheme}://{router}{path}",
            method,
            ssl_options=self._tls,
            headers={"Authorization": f"Bearer {self._key}"},
            body=body,
            request_timeout=timeout_seconds,
            connect_timeout=min(timeout_seconds, FLEET_REQUEST_TIMEOUT_SECONDS),
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (OSError, ValueError) as error:
            reason = getattr(error, "strerror", None) or str(error)
            raise CommandError(f"router {router} can't be reached: {reason}") from None
        try:
            value = json.loads(response.body)
        except ValueError:
            value = {}
        if response.code == HTTP_OK:
            return value
        if response.code >= 599:  # noqa: PLR2004
            raise CommandError(f"router {router} gave no answer in time")
        raise _error_from_response(router, response.code, value)


def _error_from_response(router: str, status: int, value: Any) -> CommandError:
    if not isinstance(value, dict):
        value = {}
    if status == HTTP_UNAUTHORIZED:
        message = f"router {router} knows no operator with this key"
        return CommandError(message, USAGE, value)
    reason = value.get("detail") or value.get("title") or f"status {status}"
    return CommandError(f"refused: {reason}", FAULTY, value)

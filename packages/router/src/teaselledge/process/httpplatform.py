"""Clients of the platform's services, over HTTP and JSON."""

import base64
import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote, urlencode

from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from teaselledge.platform import Row, StoreError, StoreErrorKind, VmEntry, Write

__all__ = ["HttpObjectStore", "HttpTableService", "HttpVmList"]

CALL_TIMEOUT_SECONDS = 3.0
MAX_CALLS = 64
REFUSED_STATUSES = frozenset({429, 503})
CONFLICT = 409
NOT_FOUND = 404
OK = 200


class _ServiceClient:
    """HTTP client of one service of the platform."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CALLS
        )

    async def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[HTTPResponse, StoreError]:
        """Send a request and classify failures.

        After a refusal nothing was written. After any other failure to get a
        response it is unknown whether a write took effect.
        """
        request = HTTPRequest(
            self._base + path,
            method,
            body=body,
            allow_nonstandard_methods=True,
            request_timeout=CALL_TIMEOUT_SECONDS,
            connect_timeout=CALL_TIMEOUT_SECONDS,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, "refused"))
        except OSError as error:
            return Error(StoreError(StoreErrorKind.UNCERTAIN, repr(error)))
        if response.code in REFUSED_STATUSES:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, str(response.code)))
        if response.code == CONFLICT:
            return Error(StoreError(StoreErrorKind.CONFLICT))
        if response.code not in (OK, NOT_FOUND):
            return Error(StoreError(StoreErrorKind.UNCERTAIN, str(response.code)))
        return Ok(response)


def _row(entry: dict[str, Any]) -> Row:
    return Row(entry["key"], entry["version"], base64.b64decode(entry["value"]))


class HttpTableService:
    """Client of the table service."""

    def __init__(self, address: str) -> None:
        self._client = _ServiceClient(address)

    async def get(self, table: str, key: str) -> Result[Row | None, StoreError]:
        """Read a row."""
        path = f"/tables/{quote(table, safe='')}/rows/{quote(key, safe='')}"
        result = await self._client.call("GET", path)
        return result.map(
            lambda r: None if r.code == NOT_FOUND else _row(json.loads(r.body))
        )

    async def scan(
        self, table: str, prefix: str, limit: int, after: str = ""
    ) -> Result[list[Row], StoreError]:
        """Read rows in key order."""
        query = urlencode({"prefix": prefix, "limit": limit, "after": after})
        path = f"/tables/{quote(table, safe='')}/rows?{query}"
        result = await self._client.call("GET", path)
        return result.map(lambda r: [_row(entry) for entry in json.loads(r.body)])

    async def commit(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        """Write all rows or none, in one transaction."""
        body = json.dumps(
            [
                {
                    "table": write.table,
                    "key": write.key,
                    "value": None
                    if write.value is None
                    else base64.b64encode(write.value).decode(),
                    "expect": write.expect,
                }
                for write in writes
            ]
        ).encode()
        result = await self._client.call("POST", "/commit", body)
        return result.map(lambda r: None)


class HttpObjectStore:
    """Client of the object store."""

    def __init__(self, address: str) -> None:
        self._client = _ServiceClient(address)

    async def put(self, key: str, data: bytes) -> Result[None, StoreError]:
        """Store an object."""
        path = f"/objects/{quote(key, safe='')}"
        result = await self._client.call("PUT", path, data)
        return result.map(lambda r: None)

    async def get(self, key: str) -> Result[bytes | None, StoreError]:
        """Read an object."""
        path = f"/objects/{quote(key, safe='')}"
        result = await self._client.call("GET", path)
        return result.map(lambda r: None if r.code == NOT_FOUND else r.body)

    async def delete(self, key: str) -> Result[None, StoreError]:
        """Remove an object."""
        path = f"/objects/{quote(key, safe='')}"
        result = await self._client.call("DELETE", path)
        return result.map(lambda r: None)


class HttpVmList:
    """Client of the list of VMs."""

    def __init__(self, address: str) -> None:
        self._client = _ServiceClient(address)

    async def list(self) -> Result[list[VmEntry], StoreError]:
        """Read the list."""
        result = await self._client.call("GET", "/vms")
        return result.map(lambda r: [VmEntry(**entry) for entry in json.loads(r.body)])

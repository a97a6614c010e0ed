"""Serve the platform doubles over HTTP; run with ``python -m``."""

import asyncio
import base64
import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import yaml
from absl import app, flags
from expression import Result
from teaselledge.platform import Row, StoreError, StoreErrorKind, VmEntry, Write
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from teaselledge_standins.objects import MemoryObjects
from teaselledge_standins.tables import MemoryTables
from teaselledge_standins.vms import MemoryVms

__all__ = ["PlatformServer"]

STATUS = {
    StoreErrorKind.CONFLICT: 409,
    StoreErrorKind.UNAVAILABLE: 503,
    StoreErrorKind.UNCERTAIN: 500,
}

_PORT = flags.DEFINE_integer("port", 7000, "Port on loopback.")
_VMS = flags.DEFINE_string("vms", "", "YAML file with the list of VMs.")


class _Handler(RequestHandler):
    server: "PlatformServer"

    def initialize(self, server: "PlatformServer") -> None:
        """Store the server."""
        self.server = server

    def respond(self, result: Result[Any, StoreError], value: Any = None) -> None:
        """Respond with a value, or with the error's status."""
        if result.is_error():
            self.set_status(STATUS[result.error.kind])
            return
        self.write(json.dumps(value))


def _row_as_json(row: Row) -> dict[str, Any]:
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "version": row.version, "value": value}


class _RowHandler(_Handler):
    async def get(self, table: str, key: str) -> None:
        """Read a row."""
        result = await self.server.tables.get(table, key)
        row = result.ok if result.is_ok() else None
        if result.is_ok() and row is None:
            self.set_status(404)
            return
        self.respond(result, _row_as_json(row) if row else None)


class _RowsHandler(_Handler):
    async def get(self, table: str) -> None:
        """Read rows in key order."""
        prefix = self.get_query_argument("prefix", "")
        limit = int(self.get_query_argument("limit", "100"))
        after = self.get_query_argument("after", "")
        result = await self.server.tables.scan(table, prefix, limit, after)
        rows = result.ok if result.is_ok() else []
        self.respond(result, [_row_as_json(row) for row in rows])


class _CommitHandler(_Handler):
    async def post(self) -> None:
        """Commit a transaction."""
        writes = [
            Write(
                entry["table"],
                entry["key"],
                None if entry["value"] is None else base64.b64decode(entry["value"]),
                entry["expect"],
            )
            for entry in json.loads(self.request.body)
        ]
        self.respond(await self.server.tables.commit(writes))


class _ObjectHandler(_Handler):
    async def get(self, key: str) -> None:
        """Read an object."""
        result = await self.server.objects.get(key)
        if result.is_error():
            self.respond(result)
            return
        if result.ok is None:
            self.set_status(404)
            return
        self.write(result.ok)

    async def put(self, key: str) -> None:
        """Store an object."""
        self.respond(await self.server.objects.put(key, self.request.body))

    async def delete(self, key: str) -> None:
        """Remove an object."""
        self.respond(await self.server.objects.delete(key))


class _VmsHandler(_Handler):
    async def get(self) -> None:
        """Return the list."""
        result = await self.server.vms.list()
        entries = result.ok if result.is_ok() else []
        self.respond(result, [asdict(entry) for entry in entries])

    def put(self) -> None:
        """Add a VM."""
        self.server.vms.add(VmEntry(**json.loads(self.request.body)))


class PlatformServer:
    """Serves the table service, the object store and the VM list on one port."""

    def __init__(self, tables: MemoryTables, objects: MemoryObjects, vms: MemoryVms):
        self.tables = tables
        self.objects = objects
        self.vms = vms
        options = {"server": self}
        application = Application(
            [
                (r"/tables/([^/]+)/rows/([^/]+)", _RowHandler, options),
                (r"/tables/([^/]+)/rows", _RowsHandler, options),
                (r"/commit", _CommitHandler, options),
                (r"/objects/([^/]+)", _ObjectHandler, options),
                (r"/vms", _VmsHandler, options),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application)

    def listen(self, port: int = 0) -> str:
        """Listen on loopback and return the address."""
        sockets = bind_sockets(port, "127.0.0.1")
        self._server.add_sockets(sockets)
        return f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening."""
        self._server.stop()
        await self._server.close_all_connections()


def read_vms(path: str) -> MemoryVms:
    """Return the VM list from a YAML file."""
    vms = MemoryVms()
    for entry in yaml.safe_load(Path(path).read_text()) if path else []:
        vms.add(VmEntry(**entry))
    return vms


async def serve(port: int, vms: MemoryVms) -> None:
    """Serve until the process gets a signal."""
    server = PlatformServer(MemoryTables(), MemoryObjects(), vms)
    print(f"platform on {server.listen(port)}", file=sys.stderr)
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve the platform doubles."""
    asyncio.run(serve(_PORT.value, read_vms(_VMS.value)))


if __name__ == "__main__":
    app.run(main)

"""The operators' HTTP interface, on a port of its own."""

import hashlib
import json
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import Any, Protocol

from expression import Result
from pydantic import TypeAdapter, ValidationError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from teaselledge.connection.operatorauth import (
    CHANGE,
    DRAIN,
    ORDERS,
    READ,
    Permissions,
    permissions_of,
)
from teaselledge.connection.statuspage import status_page
from teaselledge.errors import ErrorKind, Fault, problem
from teaselledge.log import get_log
from teaselledge.process.objectives import ObjectiveTracker
from teaselledge.version.check import EDITABLE_SECTIONS
from teaselledge.version.document import Version
from teaselledge.version.publish import (
    ApplyError,
    ApplyErrorKind,
    ApplyResult,
    Change,
    Publisher,
)

__all__ = ["Drainer", "OperatorServer", "OrderAdmin", "OperatorContext"]

_log = get_log("operator")

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_PAGE_ENTRIES = 500
MAX_NOTE_CHARACTERS = 500

APPLY_STATUS: dict[ApplyErrorKind, int] = {
    ApplyErrorKind.CONFLICT: 409,
    ApplyErrorKind.REFUSED: 422,
    ApplyErrorKind.FORBIDDEN: 403,
    ApplyErrorKind.UNKNOWN_VERSION: 404,
    ApplyErrorKind.ID_REUSED: 409,
    ApplyErrorKind.STORE: 503,
    ApplyErrorKind.UNCERTAIN: 504,
}
"""HTTP status of each kind of failed apply."""


class Drainer(Protocol):
    """Drains this router."""

    def start(self) -> None:
        """Start to drain; has no effect if called again."""


class OrderAdmin(Protocol):
    """Operators' access to the order journal; results are plain values."""

    async def list(
        self, organisation: str, state: str, limit: int, after: str
    ) -> Result[dict[str, Any], str]:
        """Return a page of orders."""

    async def show(self, organisation: str, key: str) -> Result[dict[str, Any], str]:
        """Return one order."""

    async def settle(
        self, organisation: str, key: str, outcome: str, operator: str
    ) -> Result[dict[str, Any], str]:
        """Record the outcome of an order as determined by an operator."""


class StatusSource(Protocol):
    """Source of the router's status."""

    def report(self) -> dict[str, Any]:
        """Return the status as plain values."""


@dataclass(frozen=True)
class OperatorContext:
    """Objects that the operators' interface uses.

    Attributes
    ----------
    version : callable
        Returns the configuration in force.
    highest_known_version : callable
        Returns the highest version known to the fleet.
    publisher : Publisher
        Accepts changes.
    status : StatusSource
        Status of this router.
    objectives : ObjectiveTracker
        Requests counted by latency objective.
    first_key : str or None
        Hash of the key that may create the first version.
    drainer : Drainer or None
        Drains the router.
    orders : OrderAdmin or None
        The order journal.
    """

    version: Callable[[], Version | None]
    highest_known_version: Callable[[], int]
    publisher: Publisher
    status: StatusSource
    objectives: ObjectiveTracker
    first_key: str | None = None
    drainer: Drainer | None = None
    orders: OrderAdmin | None = None


@dataclass(frozen=True)
class _ApplyBody:
    """Body of an apply."""

    apply_id: str
    base: int
    sections: dict[str, dict[str, Any]]
    note: str = ""


@dataclass(frozen=True)
class _RollbackBody:
    """Body of a rollback."""

    apply_id: str
    base: int
    to: int
    note: str = ""


@dataclass(frozen=True)
class _SettleBody:
    """Body of a settlement."""

    outcome: str


_apply_body = TypeAdapter(_ApplyBody)
_rollback_body = TypeAdapter(_RollbackBody)
_settle_body = TypeAdapter(_SettleBody)


class _Handler(RequestHandler):
    """Base class of the operators' handlers."""

    context: OperatorContext
    permissions: Permissions
    required_actions: dict[str, str] = {"GET": READ, "POST": CHANGE}  # noqa: RUF012

    def initialize(self, context: OperatorContext) -> None:
        """Set the objects that the handler uses."""
        self.context = context

    def set_default_headers(self) -> None:
        """Remove the header with the server's name."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Authenticate the operator and check that the role allows the action."""
        authorization = self.request.headers.get("Authorization", "")
        # while no version is known, the first key may create one
        version = self.context.version()
        first_key = (
            None if self.context.highest_known_version() else self.context.first_key
        )
        permissions = permissions_of(version, authorization, first_key)
        if permissions is None:
            self.set_header("WWW-Authenticate", 'Basic realm="teaselledge"')
            self.refuse(Fault(ErrorKind.UNAUTHENTICATED))
            return
        action = self.required_actions.get(self.request.method or "", CHANGE)
        if not permissions.allows(action):
            detail = f"role {permissions.role} does not include {action}"
            self.refuse(Fault(ErrorKind.FORBIDDEN, detail=detail))
            return
        self.permissions = permissions

    def refuse(self, fault: Fault) -> None:
        """Respond with a problem object."""
        response = problem(fault, "")
        self.set_status(response.status)
        for name, value in response.headers.items():
            self.set_header(name, value)
        self.finish(json.dumps(response.body))

    def respond(self, value: Any, status: int = 200) -> None:
        """Respond with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond to a request that no handler has processed."""
        kinds = {
            400: ErrorKind.BAD_REQUEST,
            404: ErrorKind.NOT_FOUND,
            405: ErrorKind.METHOD_NOT_ALLOWED,
        }
        self.refuse(Fault(kinds.get(status_code, ErrorKind.INTERNAL)))

    def log_exception(self, *args: Any) -> None:
        """Log an exception without the request's content."""
        _log.error(f"Operator's request failed: {type(args[1]).__name__}.")

    def parse_body(self, reader: TypeAdapter) -> Any:
        """Return the parsed body, or None after refusing the request."""
        try:
            return reader.validate_json(self.request.body)
        except ValidationError as error:
            entry = error.errors(include_url=False, include_input=False)[0]
            path = ".".join(str(key) for key in entry["loc"])
            detail = f"body {path}: {entry['msg']}"
            self.refuse(Fault(ErrorKind.BAD_REQUEST, detail=detail))
            return None

    def int_argument(self, name: str, default: int, maximum: int) -> int:
        """Return an integer query argument, limited to a maximum."""
        text = self.get_query_argument(name, str(default))
        return min(maximum, int(text)) if text.isdecimal() else default

    def respond_error(self, error: ApplyError) -> None:
        """Respond with the reason why an apply failed."""
        value = {
            "kind": error.kind.value,
            "detail": error.detail,
            "mistakes": [asdict(issue) for issue in error.issues],
            "conflicts": [asdict(conflict) for conflict in error.conflicts],
        }
        self.respond(value, APPLY_STATUS[error.kind])


class _UnknownHandler(_Handler):
    def get(self, path: str) -> None:
        """Refuse a path that does not exist."""
        self.refuse(Fault(ErrorKind.NOT_FOUND))

    post = get


class _HistoryHandler(_Handler):
    async def get(self) -> None:
        """Respond with the latest versions."""
        found = await self.context.publisher.history(
            self.int_argument("limit", 20, MAX_PAGE_ENTRIES)
        )
        if found.is_error():
            self.respond_error(found.error)
            return
        entries = [asdict(manifest) for manifest in found.ok]
        for entry in entries:
            del entry["sections"]
        self.respond(entries)


class _VersionHandler(_Handler):
    async def get(self, number: str) -> None:
        """Respond with a version; ``head`` is the latest."""
        version_number = 0 if number == "head" else int(number[:12])
        found = await self.context.publisher.load(version_number)
        if found.is_error():
            self.respond_error(found.error)
            return
        manifest, document = found.ok
        entry = asdict(manifest)
        del entry["sections"]
        self.respond({"head": entry, "document": document})


class _ApplyHandler(_Handler):
    async def post(self) -> None:
        """Apply a change as the next version."""
        body = self.parse_body(_apply_body)
        if body is None:
            return
        unknown = sorted(set(body.sections) - set(EDITABLE_SECTIONS))
        if unknown:
            detail = f"section {unknown[0][:40]!r} is not known"
            self.refuse(Fault(ErrorKind.BAD_REQUEST, detail=detail))
            return
        change = Change(
            scoped_apply_id(self.permissions.name, body.apply_id),
            self.permissions.name,
            body.base,
            body.sections,
            body.note[:MAX_NOTE_CHARACTERS],
            self.permissions.bootstrap_only,
        )
        await self.apply(change)

    async def apply(self, change: Change) -> None:
        """Apply a change and respond."""
        result = await self.context.publisher.apply(change, self.permissions.may_change)
        if result.is_error():
            _log.warning(f"Apply by {change.author}: {result.error.kind.value}.")
            self.respond_error(result.error)
            return
        applied: ApplyResult = result.ok
        self.respond(asdict(applied))


class _RollbackHandler(_ApplyHandler):
    async def post(self) -> None:
        """Apply the content of an older version as the next version."""
        body = self.parse_body(_rollback_body)
        if body is None:
            return
        found = await self.context.publisher.load(body.to)
        if found.is_error():
            self.respond_error(found.error)
            return
        _, document = found.ok
        change = Change(
            scoped_apply_id(self.permissions.name, body.apply_id),
            self.permissions.name,
            body.base,
            document,
            body.note[:MAX_NOTE_CHARACTERS] or f"rollback to version {body.to}",
        )
        await self.apply(change)


class _StatusHandler(_Handler):
    def get(self) -> None:
        """Respond with the status of this router."""
        self.respond(self.context.status.report())


class _StatusPageHandler(_Handler):
    def get(self) -> None:
        """Respond with the status as an HTML page."""
        self.set_header("Content-Type", "text/html; charset=utf-8")
        self.set_header(
            "Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'"
        )
        self.finish(status_page(self.context.status.report()))


class _ObjectivesHandler(_Handler):
    def get(self) -> None:
        """Respond with the objectives' counts of this router."""
        service = self.get_query_argument("service", "")
        organisation = self.get_query_argument("organisation", "")
        self.respond(self.context.objectives.report(service, organisation))


class _DrainHandler(_Handler):
    required_actions = {"POST": DRAIN}  # noqa: RUF012

    async def post(self) -> None:
        """Drain this router."""
        drainer = self.context.drainer
        if drainer is None:
            detail = "this router cannot be drained"
            self.refuse(Fault(ErrorKind.NOT_FOUND, detail=detail))
            return
        vm = self.context.status.report()["vm"]
        await self.context.publisher.write_audit_row(
            self.permissions.name, "drain", vm, vm
        )
        drainer.start()
        self.respond({"draining": vm})


class _OrdersHandler(_Handler):
    required_actions = {"GET": ORDERS, "POST": ORDERS}  # noqa: RUF012

    async def get(self) -> None:
        """Respond with a page of orders."""
        order_admin = self.context.orders
        if order_admin is None:
            self.refuse(
                Fault(ErrorKind.NOT_FOUND, detail="this router has no order journal")
            )
            return
        await self.respond_result(
            order_admin.list(
                self.get_query_argument("organisation", ""),
                self.get_query_argument("state", ""),
                self.int_argument("limit", 100, MAX_PAGE_ENTRIES),
                self.get_query_argument("after", ""),
            )
        )

    async def respond_result(
        self, pending: Awaitable[Result[dict[str, Any], str]]
    ) -> None:
        """Respond with the result of a journal request."""
        result = await pending
        if result.is_error():
            self.respond({"kind": "order", "detail": result.error}, 409)
            return
        self.respond(result.ok)


class _OrderHandler(_OrdersHandler):
    async def get(self, organisation: str, key: str) -> None:  # type: ignore[override]
        """Respond with one order."""
        order_admin = self.context.orders
        if order_admin is None:
            self.refuse(
                Fault(ErrorKind.NOT_FOUND, detail="this router has no order journal")
            )
            return
        await self.respond_result(order_admin.show(organisation, key))

    async def post(self, organisation: str, key: str) -> None:
        """Record the outcome that the operator has determined."""
        body = self.parse_body(_settle_body)
        order_admin = self.context.orders
        if body is None:
            return
        if order_admin is None:
            self.refuse(
                Fault(ErrorKind.NOT_FOUND, detail="this router has no order journal")
            )
            return
        what = f"{organisation}/{key} {body.outcome}"
        name = hashlib.sha256(what.encode()).hexdigest()[:16]
        audited = await self.context.publisher.write_audit_row(
            self.permissions.name, "settle", what, name
        )
        if not audited:
            # an action without an audit row could not be traced later
            self.respond(
                {"kind": "store", "detail": "audit row not written, order not settled"},
                503,
            )
            return
        await self.respond_result(
            order_admin.settle(organisation, key, body.outcome, self.permissions.name)
        )


def scoped_apply_id(operator: str, apply_id: str) -> str:
    """Return the identifier of an apply, made unique per operator."""
    digest = hashlib.sha256(f"{operator}\0{apply_id}".encode())
    return digest.hexdigest()[:32]


class OperatorServer:
    """The operators' HTTP server of one router."""

    def __init__(
        self, context: OperatorContext, tls: ssl.SSLContext | None = None
    ) -> None:
        options = {"context": context}
        application = Application(
            [
                (r"/v1/versions", _HistoryHandler, options),
                (r"/v1/versions/(head|\d+)", _VersionHandler, options),
                (r"/v1/apply", _ApplyHandler, options),
                (r"/v1/rollback", _RollbackHandler, options),
                (r"/v1/status", _StatusHandler, options),
                (r"/status", _StatusPageHandler, options),
                (r"/v1/objectives", _ObjectivesHandler, options),
                (r"/v1/drain", _DrainHandler, options),
                (r"/v1/orders", _OrdersHandler, options),
                (r"/v1/orders/([^/]+)/([^/]+)", _OrderHandler, options),
                (r"(.*)", _UnknownHandler, options),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(
            application, max_body_size=MAX_BODY_BYTES, ssl_options=tls
        )

    def listen(self, host: str, port: int) -> int:
        """Listen and return the port."""
        sockets = bind_sockets(port, host)
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

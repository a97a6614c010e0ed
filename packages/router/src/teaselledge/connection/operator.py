"""The operators' interface over HTTP, on a port of its own."""

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
MAX_HISTORY = 500
MAX_NOTE = 500

APPLY_STATUS: dict[ApplyErrorKind, int] = {
    ApplyErrorKind.CONFLICT: 409,
    ApplyErrorKind.REFUSED: 422,
    ApplyErrorKind.FORBIDDEN: 403,
    ApplyErrorKind.UNKNOWN_VERSION: 404,
    ApplyErrorKind.ID_REUSED: 409,
    ApplyErrorKind.STORE: 503,
    ApplyErrorKind.UNCERTAIN: 504,
}
"""HTTP status of each way in which an apply can fail."""


class Drainer(Protocol):
    """Takes this router out of service gracefully."""

    def start(self) -> None:
        """Start to drain; doing it again changes nothing."""


class OrderAdmin(Protocol):
    """What operators may do with the order journal; answers are plain values."""

    async def list(
        self, organisation: str, state: str, limit: int, after: str
    ) -> Result[dict[str, Any], str]:
        """Return a page of orders."""

    async def show(self, organisation: str, key: str) -> Result[dict[str, Any], str]:
        """Return one order."""

    async def settle(
        self, organisation: str, key: str, outcome: str, operator: str
    ) -> Result[dict[str, Any], str]:
        """Record what an operator found out about an order."""


class StatusSource(Protocol):
    """Where the status comes from."""

    def report(self) -> dict[str, Any]:
        """Return the status as plain values."""


@dataclass(frozen=True)
class OperatorContext:
    """What the operators' interface works on.

    Attributes
    ----------
    version : callable
        The configuration in force.
    highest_known_version : callable
        Highest version known to the fleet.
    publisher : Publisher
        Accepts changes.
    status : StatusSource
        Status of this router.
    objectives : Objectives
        What it counted.
    first_key : str or None
        Hash of the key that may make the first version.
    drainer : Drainer or None
        Takes the router out of service.
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
    """What the operators' handlers share."""

    site: OperatorContext
    permit: Permissions
    needs: dict[str, str] = {"GET": READ, "POST": CHANGE}  # noqa: RUF012

    def initialize(self, site: OperatorContext) -> None:
        """Take what the interface works on."""
        self.site = site

    def set_default_headers(self) -> None:
        """Drop the server's name."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Find out who asks and whether the role includes the act."""
        authorization = self.request.headers.get("Authorization", "")
        # while nothing is known of any version, the first key may make one
        version = self.site.version()
        first = None if self.site.highest_known_version() else self.site.first_key
        permit = permissions_of(version, authorization, first)
        if permit is None:
            self.set_header("WWW-Authenticate", 'Basic realm="teaselledge"')
            self.refuse(Fault(ErrorKind.UNAUTHENTICATED))
            return
        act = self.needs.get(self.request.method or "", CHANGE)
        if not permit.allows(act):
            detail = f"role {permit.role} does not include {act}"
            self.refuse(Fault(ErrorKind.FORBIDDEN, detail=detail))
            return
        self.permit = permit

    def refuse(self, fault: Fault) -> None:
        """Answer with a problem object."""
        answer = problem(fault, "")
        self.set_status(answer.status)
        for name, value in answer.headers.items():
            self.set_header(name, value)
        self.finish(json.dumps(answer.body))

    def answer(self, value: Any, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer for what no handler took."""
        kinds = {
            400: ErrorKind.BAD_REQUEST,
            404: ErrorKind.NOT_FOUND,
            405: ErrorKind.METHOD_NOT_ALLOWED,
        }
        self.refuse(Fault(kinds.get(status_code, ErrorKind.INTERNAL)))

    def log_exception(self, *args: Any) -> None:
        """Log a fault without the request's content."""
        _log.error(f"Operators' request failed: {type(args[1]).__name__}.")

    def body_as(self, reader: TypeAdapter) -> Any:
        """Return the body, or None after a refusal."""
        try:
            return reader.validate_json(self.request.body)
        except ValidationError as error:
            entry = error.errors(include_url=False, include_input=False)[0]
            path = ".".join(str(part) for part in entry["loc"])
            detail = f"body {path}: {entry['msg']}"
            self.refuse(Fault(ErrorKind.BAD_REQUEST, detail=detail))
            return None

    def number(self, name: str, default: int, most: int) -> int:
        """Return a number from the query, within bounds."""
        text = self.get_query_argument(name, str(default))
        return min(most, int(text)) if text.isdecimal() else default

    def fail(self, error: ApplyError) -> None:
        """Answer why an apply failed."""
        value = {
            "kind": error.kind.value,
            "detail": error.detail,
            "mistakes": [asdict(mistake) for mistake in error.issues],
            "conflicts": [asdict(conflict) for conflict in error.conflicts],
        }
        self.answer(value, APPLY_STATUS[error.kind])


class _UnknownHandler(_Handler):
    def get(self, path: str) -> None:
        """Refuse a path that does not exist."""
        self.refuse(Fault(ErrorKind.NOT_FOUND))

    post = get


class _HistoryHandler(_Handler):
    async def get(self) -> None:
        """Answer with the latest versions."""
        found = await self.site.publisher.history(self.number("limit", 20, MAX_HISTORY))
        if found.is_error():
            self.fail(found.error)
            return
        entries = [asdict(head) for head in found.ok]
        for entry in entries:
            del entry["sections"]
        self.answer(entries)


class _VersionHandler(_Handler):
    async def get(self, number: str) -> None:
        """Answer with a version; ``head`` is the latest."""
        wanted = 0 if number == "head" else int(number[:12])
        found = await self.site.publisher.load(wanted)
        if found.is_error():
            self.fail(found.error)
            return
        head, document = found.ok
        entry = asdict(head)
        del entry["sections"]
        self.answer({"head": entry, "document": document})


class _ApplyHandler(_Handler):
    async def post(self) -> None:
        """Make a change the next version."""
        body = self.body_as(_apply_body)
        if body is None:
            return
        unknown = sorted(set(body.sections) - set(EDITABLE_SECTIONS))
        if unknown:
            detail = f"section {unknown[0][:40]!r} is not known"
            self.refuse(Fault(ErrorKind.BAD_REQUEST, detail=detail))
            return
        change = Change(
            apply_key(self.permit.name, body.apply_id),
            self.permit.name,
            body.base,
            body.sections,
            body.note[:MAX_NOTE],
            self.permit.bootstrap_only,
        )
        await self.apply(change)

    async def apply(self, change: Change) -> None:
        """Apply and answer."""
        result = await self.site.publisher.apply(change, self.permit.may_change)
        if result.is_error():
            _log.warning(f"Apply by {change.author}: {result.error.kind.value}.")
            self.fail(result.error)
            return
        applied: ApplyResult = result.ok
        self.answer(asdict(applied))


class _RollbackHandler(_ApplyHandler):
    async def post(self) -> None:
        """Make the content of an older version the next version."""
        body = self.body_as(_rollback_body)
        if body is None:
            return
        found = await self.site.publisher.load(body.to)
        if found.is_error():
            self.fail(found.error)
            return
        _, document = found.ok
        change = Change(
            apply_key(self.permit.name, body.apply_id),
            self.permit.name,
            body.base,
            document,
            body.note[:MAX_NOTE] or f"rollback to version {body.to}",
        )
        await self.apply(change)


class _StatusHandler(_Handler):
    def get(self) -> None:
        """Answer with the status of this router."""
        self.answer(self.site.status.report())


class _StatusPageHandler(_Handler):
    def get(self) -> None:
        """Answer with the status as a page."""
        self.set_header("Content-Type", "text/html; charset=utf-8")
        self.set_header(
            "Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'"
        )
        self.finish(status_page(self.site.status.report()))


class _ObjectivesHandler(_Handler):
    def get(self) -> None:
        """Answer with what this router counted."""
        service = self.get_query_argument("service", "")
        organisation = self.get_query_argument("organisation", "")
        self.answer(self.site.objectives.report(service, organisation))


class _DrainHandler(_Handler):
    needs = {"POST": DRAIN}  # noqa: RUF012

    async def post(self) -> None:
        """Take this router out of service."""
        drainer = self.site.drainer
        if drainer is None:
            detail = "this router can't drain"
            self.refuse(Fault(ErrorKind.NOT_FOUND, detail=detail))
            return
        vm = self.site.status.report()["vm"]
        await self.site.publisher.write_audit_row(self.permit.name, "drain", vm, vm)
        drainer.start()
        self.answer({"draining": vm})


class _OrdersHandler(_Handler):
    needs = {"GET": ORDERS, "POST": ORDERS}  # noqa: RUF012

    async def get(self) -> None:
        """Answer with a page of orders."""
        desk = self.site.orders
        if desk is None:
            self.refuse(Fault(ErrorKind.NOT_FOUND, detail="there is no journal"))
            return
        await self.pass_on(
            desk.list(
                self.get_query_argument("organisation", ""),
                self.get_query_argument("state", ""),
                self.number("limit", 100, MAX_HISTORY),
                self.get_query_argument("after", ""),
            )
        )

    async def pass_on(self, asked: Awaitable[Result[dict[str, Any], str]]) -> None:
        """Answer with what the journal tells."""
        result = await asked
        if result.is_error():
            self.answer({"kind": "order", "detail": result.error}, 409)
            return
        self.answer(result.ok)


class _OrderHandler(_OrdersHandler):
    async def get(self, organisation: str, key: str) -> None:  # type: ignore[override]
        """Answer with one order."""
        desk = self.site.orders
        if desk is None:
            self.refuse(Fault(ErrorKind.NOT_FOUND, detail="there is no journal"))
            return
        await self.pass_on(desk.show(organisation, key))

    async def post(self, organisation: str, key: str) -> None:
        """Record what the operator found out."""
        body = self.body_as(_settle_body)
        desk = self.site.orders
        if body is None:
            return
        if desk is None:
            self.refuse(Fault(ErrorKind.NOT_FOUND, detail="there is no journal"))
            return
        what = f"{organisation}/{key} {body.outcome}"
        name = hashlib.sha256(what.encode()).hexdigest()[:16]
        audited = await self.site.publisher.write_audit_row(
            self.permit.name, "settle", what, name
        )
        if not audited:
            # an act without its audit row can't be accounted for later
            self.answer({"kind": "store", "detail": "no audit row, not settled"}, 503)
            return
        await self.pass_on(
            desk.settle(organisation, key, body.outcome, self.permit.name)
        )


def apply_key(operator: str, apply_id: str) -> str:
    """Return the identifier of an apply, apart for each operator."""
    digest = hashlib.sha256(f"{operator}\0{apply_id}".encode())
    return digest.hexdigest()[:32]


class OperatorServer:
    """The operators' HTTP server of one router."""

    def __init__(
        self, site: OperatorContext, tls: ssl.SSLContext | None = None
    ) -> None:
        options = {"site": site}
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
        """Stop listening and drop all connections."""
        self._server.stop()
        await self._server.close_all_connections()

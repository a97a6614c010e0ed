"""Tests of the operators' HTTP interface."""

import asyncio
import base64
import hashlib
import json
from contextlib import asynccontextmanager

import loguru
from expression import Ok
from teaselledge.connection.operatorauth import ROLES, Permissions
from teaselledge.errors import ErrorKind
from teaselledge.platform import ANY, Write
from teaselledge.process.router import Router
from teaselledge.request.record import (
    ORDERS_TABLE,
    UNKNOWN_TABLE,
    OrderRecord,
    OrderState,
    encode_record,
    order_row,
)
from teaselledge.version.head import AUDIT_PREFIX, CONFIG_TABLE
from teaselledge_standins.fleet import OPERATOR, key_of, running_fleet
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

FIRST_KEY = "the-first-key"
ADMIN_KEY = key_of(OPERATOR)


@asynccontextmanager
async def fleet():
    async with running_fleet() as found:
        yield found


@asynccontextmanager
async def unconfigured_router():
    """A router with a store without any version."""
    async with running_fleet() as found:
        document = found.document()
        found.tables._tables.clear()
        digest = hashlib.sha256(FIRST_KEY.encode()).hexdigest()
        settings = found.settings("r1")
        object.__setattr__(settings, "first_key", digest)
        object.__setattr__(settings, "vm", "alone")
        router = Router.from_config(settings)
        # without peers, which would send it a version
        router.node.membership._vm_list = type("None", (), {"list": no_list})()
        router.listen()
        await router.start()
        yield router, document
        await router.stop()


async def no_list():
    return Ok([])


async def call(router, method, path, body=None, key=ADMIN_KEY, scheme="Bearer"):
    client = SimpleAsyncHTTPClient(force_instance=True)
    request = HTTPRequest(
        f"http://{router.operator_address}{path}",
        method,
        headers={"Authorization": f"{scheme} {key}"},
        body=json.dumps(body).encode() if isinstance(body, dict) else body,
        allow_nonstandard_methods=True,
    )
    return await client.fetch(request, raise_error=False)


async def test_callers_keys_are_rejected_on_operators_port(fleet):
    """A caller connects to the operators' port with its own key."""
    for key in (key_of("amber"), "", "x" * 10_000):
        response = await call(fleet.routers["r1"], "GET", "/v1/status", key=key)
        assert response.code == 401
        assert json.loads(response.body)["kind"] == ErrorKind.UNAUTHENTICATED.value


async def test_status_page_accepts_key_as_basic_auth_password(fleet):
    password = base64.b64encode(f"dana:{key_of(OPERATOR)}".encode()).decode()
    router = fleet.routers["r1"]
    response = await call(router, "GET", "/status", key=password, scheme="Basic")
    assert response.code == 200
    page = response.body.decode()
    assert "<h1>Router r1</h1>" in page and "version-lag" in page
    response = await call(router, "GET", "/status", key="%%%", scheme="Basic")
    assert response.code == 401 and "Basic" in response.headers["WWW-Authenticate"]


async def test_malformed_requests_are_refused(fleet):
    """A faulty tool or an attacker sends malformed changes, and the router survives."""
    router = fleet.routers["r1"]
    valid = {"apply_id": "a", "base": 1, "sections": {}}
    deep = b'{"a":' * 5000 + b"1" + b"}" * 5000
    bodies = [
        b"",
        b"\xff",
        b"[]",
        deep,
        b'{"apply_id": 1}',
        {**valid, "base": "one"},
        {**valid, "sections": []},
        {**valid, "sections": {"nonsense": {}}},
        {**valid, "sections": {"services": {"models": 3}}},
        {**valid, "sections": {"services": {"models": {"endpoints": 3}}}},
        {**valid, "sections": {"organisations": {"amber": None}}},
        {**valid, "sections": {"organisations": {"amber/../x": {"share": 1}}}},
        {**valid, "base": 99},
        {**valid, "base": -1},
    ]
    for body in bodies:
        response = await call(router, "POST", "/v1/apply", body)
        assert 400 <= response.code < 500, (body, response.code, response.body)
    for path in (
        "/v1/versions/7",
        "/v1/versions/x",
        "/nowhere",
        "/v1/versions?limit=x",
    ):
        response = await call(router, "GET", path)
        assert response.code in (200, 404), path
    assert (await call(router, "DELETE", "/v1/apply")).code == 405
    assert (await call(router, "GET", "/v1/versions/head")).code == 200


async def test_first_key_creates_only_the_first_version(unconfigured_router):
    """The first key configures a new installation; afterwards it is invalid."""
    router, document = unconfigured_router
    body = {"apply_id": "f", "base": 0, "sections": document}
    assert (await call(router, "POST", "/v1/apply", body, "guess")).code == 401
    response = await call(router, "POST", "/v1/apply", body, FIRST_KEY)
    assert json.loads(response.body)["version"] == 1
    # the store refuses a second one even before the router has read the first
    body = {**body, "apply_id": "g"}
    response = await call(router, "POST", "/v1/apply", body, FIRST_KEY)
    assert response.code in (401, 403)
    async with asyncio.timeout(10):
        while router.version is None:
            await asyncio.sleep(0.05)
    assert (await call(router, "GET", "/v1/status", key=FIRST_KEY)).code == 401
    assert (await call(router, "GET", "/v1/status")).code == 200


async def test_orders_are_listed_and_settled_with_an_audit_row(fleet):
    """The response to an order was lost; an operator settles the order."""
    record = OrderRecord(
        OrderState.UNKNOWN, "d" * 64, "a1", "r1/1", "ledger", "order", 1.0, 2.0
    )
    row = order_row("amber", "order 1/2")
    value = encode_record(record)
    fleet.tables.apply(
        [Write(ORDERS_TABLE, row, value, ANY), Write(UNKNOWN_TABLE, row, value, ANY)]
    )
    router = fleet.routers["r1"]
    response = await call(router, "GET", "/v1/orders?state=unknown")
    (order,) = json.loads(response.body)["orders"]
    assert (order["organisation"], order["key"]) == ("amber", "order 1/2")
    assert "d" * 64 not in response.body.decode()
    path = "/v1/orders/amber/order%201%2F2"
    response = await call(router, "POST", path, {"outcome": "perhaps"})
    assert response.code == 409 and b"ran, not-run" in response.body
    response = await call(router, "POST", path, {"outcome": "ran"})
    assert json.loads(response.body)["state"] == "settled"
    response = await call(router, "POST", path, {"outcome": "ran"})
    assert response.code == 409
    rows = (await fleet.tables.scan(CONFIG_TABLE, AUDIT_PREFIX, 10)).ok
    audit_rows = [json.loads(row.value) for row in rows]
    assert {
        "operator": OPERATOR,
        "action": "settle",
        "what": "amber/order 1/2 ran",
    }.items() <= audit_rows[-1].items()


async def test_logs_and_responses_contain_no_secrets(fleet):
    """Keys are sent in headers; neither log nor responses may contain them."""
    lines = []
    log_handler = loguru.logger.add(lines.append, level="DEBUG")
    router = fleet.routers["r1"]
    body = {"apply_id": "a", "base": 1, "sections": {"zones": {}}}
    seen = b""
    for path in ("/v1/status", "/v1/objectives", "/v1/versions", "/status"):
        seen += (await call(router, "GET", path)).body
    seen += (await call(router, "POST", "/v1/apply", body)).body
    seen += (await call(router, "GET", "/v1/status", key="guess-of-someone")).body
    loguru.logger.remove(log_handler)
    text = seen.decode() + "".join(lines)
    secrets = ["guess-of-someone", key_of(OPERATOR), key_of("amber")]
    secrets += [hashlib.sha256(secret.encode()).hexdigest() for secret in secrets]
    for secret in secrets:
        assert secret not in text


def test_permissions_of_roles_and_sections():
    editor = Permissions("e", "editor", ("zones", "services/models"))
    assert editor.may_change("zones", "north-a")
    assert editor.may_change("services", "models")
    assert not editor.may_change("services", "ledger")
    assert not editor.may_change("operators", "e")
    assert Permissions("a", "admin").may_change("operators", "e")
    for role in ("viewer", "support"):
        assert not Permissions("v", role, ("zones",)).may_change("zones", "north-a")
    assert set(ROLES) == {"viewer", "editor", "support", "admin"}

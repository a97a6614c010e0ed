"""Tests of the operators' port."""

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
async def empty():
    """A router beside a store that holds no version."""
    async with running_fleet() as found:
        document = found.document()
        found.tables._tables.clear()
        digest = hashlib.sha256(FIRST_KEY.encode()).hexdigest()
        settings = found.settings("r1")
        object.__setattr__(settings, "first_key", digest)
        object.__setattr__(settings, "vm", "alone")
        router = Router.from_config(settings)
        # a fleet of its own: it must not learn a version from the others
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


async def test_callers_keys_do_not_open_the_operators_port(fleet):
    """A caller finds the operators' port and tries its own key there."""
    for key in (key_of("amber"), "", "x" * 10_000):
        response = await call(fleet.routers["r1"], "GET", "/v1/status", key=key)
        assert response.code == 401
        assert json.loads(response.body)["kind"] == ErrorKind.UNAUTHENTICATED.value


async def test_the_page_opens_in_a_browser_with_the_key_as_password(fleet):
    password = base64.b64encode(f"dana:{key_of(OPERATOR)}".encode()).decode()
    router = fleet.routers["r1"]
    response = await call(router, "GET", "/status", key=password, scheme="Basic")
    assert response.code == 200
    page = response.body.decode()
    assert "<h1>Router r1</h1>" in page and "version-lag" in page
    response = await call(router, "GET", "/status", key="%%%", scheme="Basic")
    assert response.code == 401 and "Basic" in response.headers["WWW-Authenticate"]


async def test_malformed_requests_are_refused_and_the_router_lives(fleet):
    """A broken tool, or someone who means harm, sends what is no change."""
    router = fleet.routers["r1"]
    whole = {"apply_id": "a", "base": 1, "sections": {}}
    deep = b'{"a":' * 5000 + b"1" + b"}" * 5000
    bodies = [
        b"",
        b"\xff",
        b"[]",
        deep,
        b'{"apply_id": 1}',
        {**whole, "base": "one"},
        {**whole, "sections": []},
        {**whole, "sections": {"nonsense": {}}},
        {**whole, "sections": {"services": {"models": 3}}},
        {**whole, "sections": {"services": {"models": {"endpoints": 3}}}},
        {**whole, "sections": {"organisations": {"amber": None}}},
        {**whole, "sections": {"organisations": {"amber/../x": {"share": 1}}}},
        {**whole, "base": 99},
        {**whole, "base": -1},
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


async def test_the_first_key_makes_the_first_version_and_no_other(empty):
    """A new installation has no operators; later the first key is worth nothing."""
    router, document = empty
    body = {"apply_id": "f", "base": 0, "sections": document}
    assert (await call(router, "POST", "/v1/apply", body, "guess")).code == 401
    response = await call(router, "POST", "/v1/apply", body, FIRST_KEY)
    assert json.loads(response.body)["version"] == 1
    # before the router has read the version, the store refuses a second one
    body = {**body, "apply_id": "g"}
    response = await call(router, "POST", "/v1/apply", body, FIRST_KEY)
    assert response.code in (401, 403)
    async with asyncio.timeout(10):
        while router.version is None:
            await asyncio.sleep(0.05)
    assert (await call(router, "GET", "/v1/status", key=FIRST_KEY)).code == 401
    assert (await call(router, "GET", "/v1/status")).code == 200


async def test_orders_are_listed_and_settled_with_an_audit_row(fleet):
    """An order's answer was lost; an operator asks the ledger and settles it."""
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
    acts = [json.loads(row.value) for row in rows]
    assert {
        "operator": OPERATOR,
        "action": "settle",
        "what": "amber/order 1/2 ran",
    }.items() <= acts[-1].items()


async def test_nothing_secret_stands_in_logs_or_answers(fleet):
    """Keys travel in headers; neither log nor status may show them."""
    lines = []
    sink = loguru.logger.add(lines.append, level="DEBUG")
    router = fleet.routers["r1"]
    body = {"apply_id": "a", "base": 1, "sections": {"zones": {}}}
    seen = b""
    for path in ("/v1/status", "/v1/objectives", "/v1/versions", "/status"):
        seen += (await call(router, "GET", path)).body
    seen += (await call(router, "POST", "/v1/apply", body)).body
    seen += (await call(router, "GET", "/v1/status", key="guess-of-someone")).body
    loguru.logger.remove(sink)
    text = seen.decode() + "".join(lines)
    secrets = ["guess-of-someone", key_of(OPERATOR), key_of("amber")]
    secrets += [hashlib.sha256(secret.encode()).hexdigest() for secret in secrets]
    for secret in secrets:
        assert secret not in text


def test_roles_and_sections():
    editor = Permissions("e", "editor", ("zones", "services/models"))
    assert editor.may_change("zones", "north-a")
    assert editor.may_change("services", "models")
    assert not editor.may_change("services", "ledger")
    assert not editor.may_change("operators", "e")
    assert Permissions("a", "admin").may_change("operators", "e")
    for role in ("viewer", "support"):
        assert not Permissions("v", role, ("zones",)).may_change("zones", "north-a")
    assert set(ROLES) == {"viewer", "editor", "support", "admin"}

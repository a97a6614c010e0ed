"""Tests of TLS on the listeners for callers and operators."""

from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

from teaselledge.process.tls import client_context
from teaselledge_standins.certificates import Authority
from teaselledge_standins.fleet import FleetPlan, running_fleet
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient


@contextmanager
def folder():
    """Create a temporary folder for certificates."""
    with TemporaryDirectory() as name:
        yield Path(name)


async def status_of(url, context):
    """Return the status of a response, or None without a connection."""
    client = SimpleAsyncHTTPClient(force_instance=True)
    request = HTTPRequest(url, ssl_options=context, request_timeout=5)
    try:
        response = await client.fetch(request, raise_error=False)
    except OSError:
        return None
    return response.code if response.code < 599 else None


async def test_callers_need_no_certificate(folder):
    authority = Authority(folder)
    own = authority.issue(["r1"])
    plan = FleetPlan({"r1": "north-a"}, callers_tls=replace(own, authority=None))
    async with running_fleet(plan) as fleet:
        address = fleet.routers["r1"].caller_address
        context = client_context(authority.issue(["anyone"]))
        assert await status_of(f"https://{address}/readyz", context) == 200
        assert await status_of(f"http://{address}/readyz", None) is None


async def test_operators_need_a_certificate_of_the_authority(folder):
    """A client connects to the operators' port with a certificate of another
    authority. The connection must end before an operator's key is checked.
    """
    authority, foreign_authority = Authority(folder), Authority(folder, "foreign")
    plan = FleetPlan({"r1": "north-a"}, operators_tls=authority.issue(["r1"]))
    async with running_fleet(plan) as fleet:
        url = f"https://{fleet.routers['r1'].operator_address}/v1/status"
        valid_context = client_context(authority.issue(["operator"]))
        foreign_context = client_context(
            foreign_authority.issue(["operator"], authority.path)
        )
        assert await status_of(url, valid_context) == 401
        assert await status_of(url, foreign_context) is None

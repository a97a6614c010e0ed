"""Test double of a service without streams: a ledger that records its orders."""

import asyncio
import json
import sys
from typing import Any

from absl import app, flags

from teaselledge_standins.endpoint import (
    BaseEndpoint,
    BaseEndpointHandler,
    ExecutedRequest,
)

__all__ = ["PlainEndpoint"]

_PORT = flags.DEFINE_integer("plain_port", 7200, "Port on loopback.")

SERVICE_UNAVAILABLE = 503


class _OrderHandler(BaseEndpointHandler):
    async def post(self) -> None:
        """Execute an order; the body has ``name`` and may have ``seconds``."""
        endpoint = self.endpoint
        body = json.loads(self.request.body)
        if endpoint.faults.refuse:
            self.set_status(SERVICE_UNAVAILABLE)
            return
        if endpoint.faults.garbage > 0:
            endpoint.faults.garbage -= 1
            await self.send_garbage()
            return
        loop = asyncio.get_running_loop()
        started = loop.time()
        endpoint.running += 1
        try:
            await self.pause(float(body.get("seconds", 0.01)))
        finally:
            endpoint.running -= 1
        ended = loop.time()
        request_id = self.request.headers.get("X-Request-Id", "")
        organisation = body.get("organisation", "")
        endpoint.runs.append(
            ExecutedRequest(
                request_id, body["name"], organisation, started, ended, ended - started
            )
        )
        if endpoint.faults.drop_after_run > 0:
            endpoint.faults.drop_after_run -= 1
            self.drop()
            return
        size = len(self.request.body)
        self.write({"name": body["name"], "done": True, "received": size})


class _RunsHandler(BaseEndpointHandler):
    def get(self) -> None:
        """Return the names of the executed requests, one per line."""
        self.write("\n".join(run.name for run in self.endpoint.runs))


class PlainEndpoint(BaseEndpoint):
    """A service without streams."""

    def handlers(self) -> list[Any]:
        """Return the routes."""
        options = {"endpoint": self}
        return [
            (r"/runs", _RunsHandler, options),
            (r"/.*", _OrderHandler, {"endpoint": self}),
        ]


async def serve(port: int) -> None:
    """Serve until the process gets a signal."""
    endpoint = PlainEndpoint()
    print(f"plain service on {endpoint.listen(port)}", file=sys.stderr)
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve the endpoint."""
    asyncio.run(serve(_PORT.value))


if __name__ == "__main__":
    app.run(main)

"""Test double of a model engine with continuous batching."""

import asyncio
import json
import sys
from collections import Counter
from typing import Any

from absl import app, flags
from teaselledge.request.prefix import PREFIX_HEADER
from teaselledge.request.resume import RESUME_HEADER
from tornado.iostream import StreamClosedError

from teaselledge_standins.endpoint import (
    BaseEndpoint,
    BaseEndpointHandler,
    ExecutedRequest,
)
from teaselledge_standins.engineadmin import AdminState, admin_handlers
from teaselledge_standins.prefixcache import FeedHandler, PrefixCache

__all__ = ["EngineEndpoint", "token_text"]

_PORT = flags.DEFINE_integer("engine_port", 7100, "Port on loopback.")

SERVICE_UNAVAILABLE = 503
TOKEN_SECONDS = 0.005
END_EVENT = "data: [DONE]\n\n"
SLOWDOWN_FRACTION = 0.05
"""Fraction by which each further request in the batch slows a step."""


def token_text(name: str, position: int) -> str:
    """Return the token at a position of a response; callers check it."""
    return f"{name}.{position}"


class _CompletionHandler(BaseEndpointHandler):
    async def post(self) -> None:
        """Stream a completion; ``prompt`` names it, ``max_tokens`` its length."""
        endpoint = self.endpoint
        if endpoint.faults.refuse:
            self.set_status(SERVICE_UNAVAILABLE)
            return
        body = json.loads(self.request.body)
        self.organisation = body.get("user", "")
        self.set_header("Content-Type", "text/event-stream")
        started = asyncio.get_running_loop().time()
        endpoint.running += 1
        sent = 0
        try:
            await endpoint.cache.use(self.request.headers.get(PREFIX_HEADER))
            sent = await self._stream(body["prompt"], int(body["max_tokens"]))
        finally:
            endpoint.running -= 1
            ended = asyncio.get_running_loop().time()
            request_id = self.request.headers.get("X-Request-Id", "")
            endpoint.runs.append(
                ExecutedRequest(
                    request_id, body["prompt"], self.organisation, started, ended, sent
                )
            )

    async def _stream(self, name: str, count: int) -> int:
        """Send the events from the resume offset on; return the tokens sent."""
        skip = int(self.request.headers.get(RESUME_HEADER, "0"))
        if skip:
            self.set_header(RESUME_HEADER, str(skip))
        stop = self.endpoint.faults.next_break_offset()
        sent = written = 0
        for event in [*_events(name, count), END_EVENT]:
            if len(event) <= skip:
                # The router has it from an earlier stream.
                skip -= len(event)
                continue
            if event != END_EVENT:
                batch = max(1, self.endpoint.running)
                await self.pause(TOKEN_SECONDS * (1 + SLOWDOWN_FRACTION * (batch - 1)))
            part, skip = event[skip:], 0
            breaks = 0 <= stop < written + len(part)
            if breaks:
                part = part[: stop - written]
            if self.closed or not await self._put(part):
                return sent
            if breaks:
                self.drop()
                return sent
            written += len(part)
            if event != END_EVENT:
                sent += 1
                self.endpoint.served[self.organisation] += 1
        return sent

    async def _put(self, part: str) -> bool:
        if part:
            self.write(part)
        try:
            await self.flush()
        except StreamClosedError:
            return False
        return True


def _events(name: str, count: int) -> list[str]:
    """Return the events of a complete response, one per token."""
    texts = [token_text(name, position) for position in range(count)]
    chunks = [json.dumps({"choices": [{"text": text}]}) for text in texts]
    return [f"data: {chunk}\n\n" for chunk in chunks]


class EngineEndpoint(BaseEndpoint):
    """A model engine.

    Attributes
    ----------
    served : Counter of str
        Tokens sent, by organisation.
    cache : PrefixCache
        Cached prefixes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.served: Counter[str] = Counter()
        self.admin = AdminState()
        self.cache = PrefixCache()

    def handlers(self) -> list[Any]:
        """Return the routes."""
        completions = (r"/v1/completions", _CompletionHandler, {"endpoint": self})
        feed = (r"/v1/feed", FeedHandler, {"endpoint": self})
        return [completions, feed, *admin_handlers(self)]


async def serve(port: int) -> None:
    """Serve until the process gets a signal."""
    endpoint = EngineEndpoint()
    print(f"engine on {endpoint.listen(port)}", file=sys.stderr)
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve the engine."""
    asyncio.run(serve(_PORT.value))


if __name__ == "__main__":
    app.run(main)

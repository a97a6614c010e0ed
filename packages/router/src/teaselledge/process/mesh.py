"""Messages between routers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from teaselledge_wire.gen.router.ttypes import Body, Message

__all__ = [
    "Handler",
    "Mesh",
    "Origin",
    "HandlerRegistry",
    "unpack_body",
    "make_message",
]


@dataclass(frozen=True)
class Origin:
    """The sender of a message.

    Attributes
    ----------
    vm : str
        Name of the sending VM.
    incarnation : int
        Incarnation of the sending process.
    """

    vm: str
    incarnation: int


Handler = Callable[[Origin, str, str, Any], None]
"""Function called with the sender, the service, the zone and the body."""


class Mesh(Protocol):
    """Best-effort messages to other routers; any may be lost or delayed."""

    @property
    def origin(self) -> Origin:
        """Origin of the messages of this router."""

    def send(self, vm: str, message: Message) -> None:
        """Send a message to a router, which may be this one."""

    def subscribe(self, body: str, handler: Handler) -> None:
        """Register a handler for messages with that body."""


BODIES: tuple[str, ...] = tuple(Body.__slots__)


def unpack_body(received: Message) -> tuple[str, Any] | None:
    """Return the name and value of the body, None if this release doesn't know it."""
    if received.body is None:
        return None
    for name in BODIES:
        value = getattr(received.body, name)
        if value is not None:
            return name, value
    return None


def make_message(name: str, value: Any, service: str = "", zone: str = "") -> Message:
    """Return a message with the named body."""
    return Message(Body(**{name: value}), service or None, zone or None)


class HandlerRegistry:
    """Message handlers by body, used by `PeerMesh` and the stand-ins."""

    def __init__(self) -> None:
        self._handlers: dict[str, list[Handler]] = {}

    def subscribe(self, body: str, handler: Handler) -> None:
        """Add a handler; raise `KeyError` for an unknown body."""
        if body not in BODIES:
            raise KeyError(body)
        self._handlers.setdefault(body, []).append(handler)

    def deliver(self, origin: Origin, received: Message) -> None:
        """Call the handlers of a message."""
        found = unpack_body(received)
        if found is None:
            return
        name, value = found
        service, zone = received.service_name or "", received.zone_name or ""
        for handler in self._handlers.get(name, []):
            handler(origin, service, zone, value)

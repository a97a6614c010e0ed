"""A mesh that records sent messages, for tests of a single part."""

from dataclasses import dataclass
from typing import Any

from teaselledge.process.mesh import Handler, HandlerRegistry, Origin, unpack_body
from teaselledge_wire.gen.router.ttypes import Message

__all__ = ["RecordingMesh", "SentMessage"]


@dataclass(frozen=True)
class SentMessage:
    """A message that was sent."""

    vm: str
    name: str
    body: Any
    zone: str


class RecordingMesh:
    """Records each sent message in `sent` instead of delivering it."""

    def __init__(self, vm: str = "own", incarnation: int = 1) -> None:
        self._origin = Origin(vm, incarnation)
        self._registry = HandlerRegistry()
        self.sent: list[SentMessage] = []

    @property
    def origin(self) -> Origin:
        """This router as a sender."""
        return self._origin

    def send(self, vm: str, message: Message) -> None:
        """Record a message."""
        found = unpack_body(message)
        if found is not None:
            self.sent.append(SentMessage(vm, *found, message.zone_name or ""))

    def subscribe(self, body: str, handler: Handler) -> None:
        """Call a handler for each message with that body."""
        self._registry.subscribe(body, handler)

    def deliver(self, origin: Origin, message: Message) -> None:
        """Deliver a message as if it came from a router."""
        self._registry.deliver(origin, message)

    def pop_sent(self, name: str) -> list[SentMessage]:
        """Remove and return the messages of one name."""
        found = [sent for sent in self.sent if sent.name == name]
        self.sent = [sent for sent in self.sent if sent.name != name]
        return found

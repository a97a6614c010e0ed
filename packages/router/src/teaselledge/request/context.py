"""A caller's request and the sink of its response."""

from dataclasses import dataclass
from typing import Protocol

from tornado.httputil import HTTPHeaders

from teaselledge.request.upload import Upload
from teaselledge.version.document import Kind, Service, Version

__all__ = ["CallerRequest", "Sink"]


@dataclass(frozen=True)
class CallerRequest:
    """A request that has passed the checks.

    Attributes
    ----------
    id : str
        Identifier of the request in responses and logs.
    organisation, service, kind : str
        Names from the configuration document.
    method, path : str
        HTTP method and path as sent to the endpoint.
    headers : HTTPHeaders
        Headers to forward.
    body : bytes
        The body, or its first part if there is an upload.
    key : str or None
        Idempotency key.
    version : Version
        Version of the configuration that applies to the whole request.
    deadline : float
        Event loop time at which the caller must have a final response.
    upload : Upload or None
        The remainder of a body that is too large to be buffered.
    """

    id: str
    organisation: str
    service: str
    kind: str
    method: str
    path: str
    headers: HTTPHeaders
    body: bytes
    key: str | None
    version: Version
    deadline: float
    upload: Upload | None = None

    @property
    def service_entry(self) -> Service:
        """The service's entry in the request's version."""
        return self.version.document.services[self.service]

    @property
    def kind_entry(self) -> Kind:
        """The kind's entry in the request's version."""
        return self.service_entry.kinds[self.kind]


class Sink(Protocol):
    """Writes a response to the caller."""

    @property
    def started(self) -> bool:
        """Whether anything has reached the caller."""

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head."""

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body, waiting while the caller reads slowly."""

    async def finish(self) -> None:
        """Mark the response as complete."""

    def abort(self) -> None:
        """Break off the response so that the caller detects that it is incomplete."""

"""One request as the router understands it, whatever its wire names."""

from dataclasses import dataclass
from typing import Protocol

from tornado.httputil import HTTPHeaders

__all__ = [
    "CallerRequest",
    "HeaderCodec",
    "ResponseHead",
    "ForwardingInfo",
    "Prompt",
    "PromptPart",
]


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, which other prompts may share.

    Attributes
    ----------
    id : str
        Names its content.
    tokens : int
        Its length.
    """

    id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """What a request asks of a model engine.

    Attributes
    ----------
    input_tokens : int
        Tokens to be read.
    max_output_tokens : int
        Most tokens to be generated.
    parts : tuple of PromptPart
        The prompt's parts in order; the last is the request's own.
    expected_output_tokens : int or None
        The caller's estimate of the tokens generated; right at the median.
    """

    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_output_tokens: int | None = None


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, decoded.

    Attributes
    ----------
    id : str
        The caller's own id of this attempt.
    method, target, host : str
        Of the request line and the host header; the target has the query.
    headers : HTTPHeaders
        Headers that go on to the endpoint unchanged.
    key : str or None
        Bearer key.
    timeout_seconds : float or None
        Seconds that the caller waits.
    prompt : Prompt or None
        Set for requests to model engines.
    resume_after : str or None
        Id of the event after which the caller continues a stream.
    """

    id: str
    method: str
    target: str
    host: str
    headers: HTTPHeaders
    key: str | None = None
    timeout_seconds: float | None = None
    prompt: Prompt | None = None
    resume_after: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split("?", 1)[0]


@dataclass(frozen=True)
class ForwardingInfo:
    """What the router adds to a request on its way to an endpoint.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint that is meant; any other one must decline.
    organisation : str or None
        The caller's organisation.
    timeout_seconds : float or None
        Time left for the answer.
    resume_after : str or None
        Id of the last event that reached the caller.
    fetch_from : str or None
        Address of an engine from which to copy parts of the prompt.
    """

    endpoint: str
    organisation: str | None
    timeout_seconds: float | None
    resume_after: str | None = None
    fetch_from: str | None = None


@dataclass(frozen=True)
class ResponseHead:
    """The head of an endpoint's answer, decoded.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : HTTPHeaders
        Headers that go on to the caller.
    matches_request : bool
        Whether it answers this request, not another one.
    declined : bool
        The endpoint says that it has not run the request and never will.
    authentic : bool
        False for an answer that can't be the endpoint's own.
    """

    status: int
    headers: HTTPHeaders
    matches_request: bool
    declined: bool
    authentic: bool


class HeaderCodec(Protocol):
    """Translates between wire names and the types of this module."""

    def decode_request(
        self, method: str, target: str, headers: HTTPHeaders
    ) -> CallerRequest:
        """Decode a caller's request."""

    def endpoint_request_headers(
        self, request: CallerRequest, forwarding: ForwardingInfo
    ) -> list[tuple[str, str]]:
        """Return all headers for an endpoint but those of the body's length."""

    def decode_response_head(
        self, request: CallerRequest, status: int, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Decode the head of an endpoint's answer."""

    def local_reply_headers(self, request: CallerRequest) -> HTTPHeaders:
        """Return the headers of an answer that the router makes itself."""

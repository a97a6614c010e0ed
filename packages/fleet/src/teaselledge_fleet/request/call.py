"""Types of a decoded request, independent of the header names on the wire."""

from dataclasses import dataclass
from typing import Protocol

from tornado.httputil import HTTPHeaders

__all__ = [
    "CallerRequest",
    "EndpointSignal",
    "HeaderCodec",
    "ResponseHead",
    "ForwardingInfo",
    "Prompt",
    "PromptSegment",
]


@dataclass(frozen=True)
class PromptSegment:
    """A segment of a prompt, which other prompts may begin with as well.

    Attributes
    ----------
    id : str
        Identifies the segment's content.
    tokens : int
        Length in tokens.
    """

    id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Size of a prompt and of the output requested from a model engine.

    Attributes
    ----------
    input_tokens : int
        Length of the prompt.
    max_output_tokens : int
        Maximum number of tokens to generate.
    segments : tuple of PromptSegment
        The prompt's segments in order; the last one is specific to the request.
    expected_output_tokens : int or None
        The caller's estimate of the number of generated tokens, correct at the
        median.
    """

    input_tokens: int
    max_output_tokens: int
    segments: tuple[PromptSegment, ...] = ()
    expected_output_tokens: int | None = None


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, decoded.

    Attributes
    ----------
    id : str
        Id that the caller gave to this attempt.
    method, target, host : str
        From the request line and the ``Host`` header; the target includes the query.
    headers : HTTPHeaders
        Headers that are forwarded to the endpoint unchanged.
    key : str or None
        Bearer key.
    timeout_seconds : float or None
        Time for which the caller waits for the response.
    prompt : Prompt or None
        Set for requests to model engines.
    resume_after : str or None
        Id of the event after which the caller resumes a stream.
    resumed_request : str or None
        Id of the caller's attempt that received the first event of that stream.
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
    resumed_request: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split("?", 1)[0]


@dataclass(frozen=True)
class ForwardingInfo:
    """Values that the router adds to a request when it forwards it to an endpoint.

    Attributes
    ----------
    endpoint : str
        Id of the target endpoint; any other endpoint must decline the request.
    organisation : str or None
        The caller's organisation.
    timeout_seconds : float or None
        Time left for the response.
    resume_after : str or None
        Id of the last event that was forwarded to the caller.
    fetch_from : str or None
        Address of an engine from which to copy the cached prefix of the prompt.
    """

    endpoint: str
    organisation: str | None
    timeout_seconds: float | None
    resume_after: str | None = None
    fetch_from: str | None = None


@dataclass(frozen=True)
class EndpointSignal:
    """What an endpoint says about itself in a response.

    Attributes
    ----------
    leaving : bool
        Whether it is about to stop and wants no new requests.
    pause_seconds : float
        Time for which it wants no requests from this router.
    misdirected : bool
        Whether another endpoint responded, which has its address now.
    """

    leaving: bool = False
    pause_seconds: float = 0.0
    misdirected: bool = False


@dataclass(frozen=True)
class ResponseHead:
    """The decoded head of an endpoint's response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : HTTPHeaders
        Headers that are forwarded to the caller.
    matches_request : bool
        Whether it is the response to this request and not to another one.
    declined : bool
        Whether the endpoint declares that it has not run the request and never will.
    authentic : bool
        False if the response can't have been written by the endpoint itself.
    signal : EndpointSignal
        What the endpoint says about itself.
    """

    status: int
    headers: HTTPHeaders
    matches_request: bool
    declined: bool
    authentic: bool
    signal: EndpointSignal = EndpointSignal()


class HeaderCodec(Protocol):
    """Translates between headers on the wire and the types of this module."""

    def decode_request(
        self, method: str, target: str, headers: HTTPHeaders
    ) -> CallerRequest:
        """Decode a caller's request."""

    def endpoint_request_headers(
        self, request: CallerRequest, forwarding: ForwardingInfo
    ) -> list[tuple[str, str]]:
        """Return all headers for an endpoint except those of the body's length."""

    def decode_response_head(
        self, request: CallerRequest, status: int, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Decode the head of an endpoint's response."""

    def local_reply_headers(self, request: CallerRequest) -> HTTPHeaders:
        """Return the headers of a response that the router generates itself."""

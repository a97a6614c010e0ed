"""Identify a request by its content and the segments of its prompt."""

import xxhash

from teaselledge_fleet.request.call import Prompt, PromptSegment
from teaselledge_fleet.request.context import RequestContext

__all__ = ["content_hash", "request_traits", "segment_hashes", "shared_segments"]

SIGN_BITS = 1
"""Bits by which a hash is shortened, as messages carry signed numbers."""

MAX_SEGMENTS = 16
"""Maximum number of segments of a prompt that are told apart, the last ones: those
before them are shared by most prompts."""


def content_hash(context: RequestContext) -> int:
    """Return the hash of what an endpoint receives in every attempt at a request.

    A caller's next attempt has another id and less time left, and may resume a stream;
    other headers may differ as well. Equal requests of two organisations differ, so
    that no organisation decides on the requests of another one.
    """
    if context.content is None:
        request = context.request
        hasher = xxhash.xxh3_64()
        for part in (
            context.organisation_name,
            request.host,
            request.method,
            request.target,
            repr(request.prompt),
        ):
            hasher.update(part.encode("utf-8", "surrogateescape") + b"\0")
        hasher.update(context.body)
        context.content = hasher.intdigest() >> SIGN_BITS
    return context.content


def shared_segments(prompt: Prompt) -> tuple[PromptSegment, ...]:
    """Return the segments of a prompt that others may have, too.

    The last segment belongs to the request itself.
    """
    return prompt.segments[:-1][-MAX_SEGMENTS:]


def segment_hashes(context: RequestContext) -> tuple[int, ...]:
    """Return the hashes of the prompt's shared segments, by service.

    A segment's id names its content, so that it is the same one in the prompts of all
    organisations.
    """
    prompt = context.request.prompt
    if prompt is None:
        return ()
    return tuple(
        xxhash.xxh3_64_intdigest(f"{context.service}\0{segment.id}".encode())
        >> SIGN_BITS
        for segment in shared_segments(prompt)
    )


def request_traits(context: RequestContext) -> frozenset[int]:
    """Return what other requests may share with a request, content and segments."""
    return frozenset((content_hash(context), *segment_hashes(context)))

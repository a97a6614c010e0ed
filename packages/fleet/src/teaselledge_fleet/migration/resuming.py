"""Decide where a stream that its caller takes up may go on."""

from expression import Error, Ok, Result

from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.migration.origins import NotFound, StreamOrigin
from teaselledge_fleet.version.routes import Route

__all__ = ["decide_resumption"]

UNANSWERED_RETRY_SECONDS = 0.2
"""The caller's next attempt meets another router, which may know the stream."""


def decide_resumption(
    found: StreamOrigin | NotFound, route: Route
) -> Result[StreamOrigin, Fault]:
    """Return the service and version at which a stream goes on, or why it can't.

    Parameters
    ----------
    found : StreamOrigin or NotFound
        What began the stream.
    route : Route
        Route of the request.
    """
    if found is NotFound.UNANSWERED:
        return Error(Fault(FaultKind.ORIGIN_UNANSWERED, UNANSWERED_RETRY_SECONDS))
    if found is NotFound.UNKNOWN:
        return Error(Fault(FaultKind.ORIGIN_UNKNOWN))
    if all(target.service != found.service for target in route.targets):
        return Error(Fault(FaultKind.ORIGIN_GONE))
    return Ok(found)

"""Decide where a stream that its caller takes up may go on."""

from collections.abc import Callable

from expression import Error, Ok, Result

from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.migration.origins import NotFound, StreamOrigin
from teaselledge_fleet.version.routes import Route

__all__ = ["OnlyVersion", "decide_resumption"]

UNANSWERED_RETRY_SECONDS = 0.2
"""The caller's next attempt meets another router, which may know the stream."""

OnlyVersion = Callable[[str], str | None]
"""Returns the version of a service if it certainly had just one lately, else None."""


def decide_resumption(
    found: StreamOrigin | NotFound | None,
    route: Route,
    service: str,
    only_version: OnlyVersion,
) -> Result[StreamOrigin, Fault]:
    """Return the service and version at which a stream goes on, or why it can't.

    Parameters
    ----------
    found : StreamOrigin, NotFound or None
        What began the stream, as the fleet knows it; None if the caller does not name
        the attempt that did.
    route : Route
        Route of the request.
    service : str
        Service at which a new request would be placed.
    only_version : callable
        Returns the version of a service if it certainly had just one lately.
    """
    if isinstance(found, StreamOrigin):
        if all(target.service != found.service for target in route.targets):
            return Error(Fault(FaultKind.ORIGIN_GONE))
        return Ok(found)
    version = None
    if len(route.targets) == 1:
        version = only_version(service)
    if version is not None:
        return Ok(StreamOrigin(service, version))
    if found is NotFound.UNANSWERED:
        return Error(Fault(FaultKind.ORIGIN_UNANSWERED, UNANSWERED_RETRY_SECONDS))
    return Error(Fault(FaultKind.ORIGIN_UNKNOWN))

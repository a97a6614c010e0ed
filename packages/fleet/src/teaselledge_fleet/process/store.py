"""Interface of the platform's store, as the router uses it."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from expression import Result

from teaselledge_fleet.process.drains import ZoneDrain
from teaselledge_fleet.process.endpoints import EndpointEntry
from teaselledge_fleet.process.revision import Revision

__all__ = [
    "EndpointRows",
    "StateStore",
    "StoreFault",
    "StoredConfiguration",
]


class StoreFault(Enum):
    """Reasons for which a call to the store fails."""

    REFUSED = "refused"
    """The store refused the call and changed nothing."""

    UNREACHABLE = "unreachable"
    """The store did not respond."""

    MALFORMED = "malformed"
    """The response can't be decoded."""

    RESTORED = "restored"
    """The store was restored from a backup during the read."""


@dataclass(frozen=True)
class EndpointRows:
    """The entries of all endpoints at one moment.

    Attributes
    ----------
    revision : Revision
        The store's newest revision at that moment.
    entries : tuple of EndpointEntry
        One entry per row; its endpoint is None if the row is invalid.
    """

    revision: Revision
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True)
class StoredConfiguration:
    """The configuration as the operator wrote it.

    Attributes
    ----------
    revision : Revision
        Revision of the store up to which there is no newer configuration.
    data : bytes or None
        The content; None if it did not change since the requested revision.
    drains : tuple of ZoneDrain
        Zones that were drained or taken back since the requested revision.
    complete : bool
        Whether the drains are those of all drained zones.
    """

    revision: Revision
    data: bytes | None
    drains: tuple[ZoneDrain, ...] = ()
    complete: bool = False


class StateStore(Protocol):
    """Reads and writes the state that outlives the router processes."""

    async def endpoints(self) -> Result[EndpointRows, StoreFault]:
        """Read the entries of all endpoints."""

    async def configuration(
        self, after: Revision | None, wait: float
    ) -> Result[StoredConfiguration, StoreFault]:
        """Read the configuration if it changed after a revision.

        Parameters
        ----------
        after : Revision or None
            Revision of an earlier response. Without one, or if the store has been
            restored since, the configuration is read in any case.
        wait : float
            Maximum number of seconds to wait for a change.
        """

    async def routers(self) -> Result[dict[str, bytes], StoreFault]:
        """Read the rows of all routers, by VM."""

    async def put_router(self, vm: str, data: bytes) -> Result[None, StoreFault]:
        """Write the row of a router."""

    async def delete_router(self, vm: str) -> Result[None, StoreFault]:
        """Delete the row of a router."""

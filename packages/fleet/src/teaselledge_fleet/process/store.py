"""What the router needs of the platform's store."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from expression import Result

from teaselledge_fleet.process.endpoints import EndpointEntry
from teaselledge_fleet.process.revision import Revision

__all__ = [
    "EndpointRows",
    "StateStore",
    "StoreFault",
    "StoredConfiguration",
]


class StoreFault(Enum):
    """How a call to the store can fail."""

    REFUSED = "refused"
    """The store turned the call away; nothing was done."""

    UNREACHABLE = "unreachable"
    """No answer came."""

    MALFORMED = "malformed"
    """The answer can't be read."""

    RESTORED = "restored"
    """The store went back to an older copy while it was read."""


@dataclass(frozen=True)
class EndpointRows:
    """The entries of all endpoints at one moment.

    Attributes
    ----------
    revision : Revision
        The store's newest revision at that moment.
    entries : tuple of EndpointEntry
        One for each row; None as endpoint where the row can't be used.
    """

    revision: Revision
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True)
class StoredConfiguration:
    """The operator's configuration as it was written.

    Attributes
    ----------
    revision : Revision
        The store's revision up to which nothing newer exists.
    data : bytes or None
        The content; None where it did not change since the revision asked for.
    """

    revision: Revision
    data: bytes | None


class StateStore(Protocol):
    """Reads and writes what lasts beyond the routers."""

    async def endpoints(self) -> Result[EndpointRows, StoreFault]:
        """Read the entries of all endpoints."""

    async def configuration(
        self, after: Revision | None, wait: float
    ) -> Result[StoredConfiguration, StoreFault]:
        """Read the configuration if it changed after a revision.

        Parameters
        ----------
        after : Revision or None
            Of an earlier answer. It is read in any case without one, and where the
            store has been restored since.
        wait : float
            Seconds to wait for a change.
        """

    async def routers(self) -> Result[dict[str, bytes], StoreFault]:
        """Read what routers wrote of themselves, by VM."""

    async def put_router(self, vm: str, data: bytes) -> Result[None, StoreFault]:
        """Write what this router tells of itself."""

    async def delete_router(self, vm: str) -> Result[None, StoreFault]:
        """Remove a router's row."""

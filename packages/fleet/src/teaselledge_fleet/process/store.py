"""Interface of the platform's store, as the router uses it."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from expression import Result

from teaselledge_fleet.process.drains import ZoneDrain
from teaselledge_fleet.process.endpoints import Endpoint, EndpointEntry
from teaselledge_fleet.process.revision import Revision

__all__ = [
    "EndpointRows",
    "StateStore",
    "StoreFault",
    "StoredConfiguration",
    "StreamRow",
    "StreamRows",
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


@dataclass(frozen=True)
class StreamRow:
    """A row about streams.

    Attributes
    ----------
    data : bytes
        Its content.
    revision : Revision
        Revision at which it was written.
    """

    data: bytes
    revision: Revision


@dataclass(frozen=True)
class StreamRows:
    """Rows about streams at one moment, by key.

    Attributes
    ----------
    revision : Revision
        The store's newest revision at that moment.
    now : float
        Time of the store's steady clock, in seconds.
    rows : dict of str to StreamRow
        The rows.
    """

    revision: Revision
    now: float
    rows: Mapping[str, StreamRow]


class StateStore(Protocol):
    """Reads and writes the state that outlives the router processes."""

    async def endpoints(self) -> Result[EndpointRows, StoreFault]:
        """Read the entries of all endpoints."""

    async def endpoint(self, name: str) -> Result[Endpoint | None, StoreFault]:
        """Read the entry of one endpoint; None if it has none, or an invalid one."""

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

    async def stream_rows(self, first: str, end: str) -> Result[StreamRows, StoreFault]:
        """Read the rows about streams from a key up to another, which is excluded."""

    async def put_stream_row(
        self, key: str, data: bytes, expected: int | None
    ) -> Result[None, StoreFault]:
        """Write a row about streams.

        Parameters
        ----------
        expected : int or None
            Number of the revision that the row must have, 0 if it must not exist; the
            call is refused otherwise. None if that makes no difference.
        """

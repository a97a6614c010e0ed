"""Interfaces to the platform's services."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from expression import Result

__all__ = [
    "ABSENT",
    "ANY",
    "ObjectStore",
    "Row",
    "StoreError",
    "StoreErrorKind",
    "TableService",
    "VmEntry",
    "VmList",
    "Write",
]

ABSENT = 0
"""Expected version of a write whose row must not exist."""

ANY = -1
"""Expected version of an unconditional write."""


class StoreErrorKind(Enum):
    """Kind of failure of a call to the platform."""

    CONFLICT = "conflict"
    """A condition did not hold; nothing was written."""

    UNAVAILABLE = "unavailable"
    """The call was refused; nothing was written."""

    UNCERTAIN = "uncertain"
    """There was no response; the write may take effect, now or later."""


@dataclass(frozen=True)
class StoreError:
    """Failure of a call to the platform."""

    kind: StoreErrorKind
    detail: str = ""


@dataclass(frozen=True)
class Row:
    """A row of the table service.

    Attributes
    ----------
    key : str
        Key within its table.
    version : int
        Increases with each write of the row; at least 1.
    value : bytes
        Content of the row.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class Write:
    """One write of a transaction.

    Attributes
    ----------
    table, key : str
        Table and key of the row.
    value : bytes or None
        New content, None to delete the row.
    expect : int
        Version that the row must have, `ABSENT` or `ANY`.
    """

    table: str
    key: str
    value: bytes | None
    expect: int = ANY


class TableService(Protocol):
    """The platform's transactional table service."""

    async def get(self, table: str, key: str) -> Result[Row | None, StoreError]:
        """Read a row."""

    async def scan(
        self, table: str, prefix: str, limit: int, after: str = ""
    ) -> Result[list[Row], StoreError]:
        """Read rows in key order, starting after a key."""

    async def commit(self, writes: Sequence[Write]) -> Result[None, StoreError]:
        """Carry out all writes or none."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, key: str, data: bytes) -> Result[None, StoreError]:
        """Store an object."""

    async def get(self, key: str) -> Result[bytes | None, StoreError]:
        """Read an object."""

    async def delete(self, key: str) -> Result[None, StoreError]:
        """Remove an object."""


@dataclass(frozen=True)
class VmEntry:
    """A VM in the platform's list.

    Attributes
    ----------
    vm : str
        Name of the VM.
    zone, region : str
        Availability zone and region of the VM.
    peer_address, caller_address : str
        Addresses for other routers and for callers, as ``host:port``.
    leaving : bool
        Whether the platform is about to remove the VM.
    """

    vm: str
    zone: str
    region: str
    peer_address: str
    caller_address: str
    leaving: bool = False


class VmList(Protocol):
    """The platform's list of live and leaving VMs, which may be outdated."""

    async def list(self) -> Result[list[VmEntry], StoreError]:
        """Read the list."""

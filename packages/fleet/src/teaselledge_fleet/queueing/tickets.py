"""What routers ask a coordinator for, and what it decides."""

from dataclasses import dataclass
from enum import Enum

from teaselledge_fleet.process.work import EndpointLoad

__all__ = ["PlaceDecision", "PlaceResult", "PlaceState", "QueueTicket", "WaitingEntry"]


class PlaceState(Enum):
    """State of a request for a place at an engine."""

    GRANTED = "granted"
    QUEUED = "queued"
    DECLINED = "declined"


@dataclass(frozen=True)
class QueueTicket:
    """Properties of a request that determine its position in a queue.

    Attributes
    ----------
    organisation_hash : int
        Hash of its organisation's name.
    tokens : int
        Its tokens, as shares count them.
    priority : int
        Its priority; 0 is the most urgent.
    wait_limit : float
        Seconds until the engine must begin with its prompt.
    """

    organisation_hash: int
    tokens: int
    priority: int
    wait_limit: float


@dataclass(frozen=True)
class WaitingEntry:
    """Request for a place, as the coordinator of the engine knows it.

    Attributes
    ----------
    sender, sequence : int
        Random id of the router, and sequence of its query; together they identify the
        entry.
    reply_to : str
        Address of the router.
    endpoint_hash, slots : int
        Hash of the engine's id, and the requests that it runs at once.
    prefill_seconds : float
        Expected prefill time of the prompt, as load reports count it.
    engine_seconds : float
        Time that the engine spends until it has processed the prompt.
    ticket : QueueTicket
        What determines the order.
    latest_start : float
        Loop time until which the engine must begin with the prompt.
    """

    sender: int
    sequence: int
    reply_to: str
    endpoint_hash: int
    slots: int
    prefill_seconds: float
    engine_seconds: float
    ticket: QueueTicket
    latest_start: float

    @property
    def key(self) -> tuple[int, int]:
        """Identifies the entry."""
        return self.sender, self.sequence


@dataclass(frozen=True)
class PlaceDecision:
    """Decision of a coordinator on an entry.

    Attributes
    ----------
    state : PlaceState
        Whether it may be sent, waits or is declined.
    expected_wait : float
        Expected time until the engine would begin with the prompt, in seconds.
    queue_length : int
        Entries that wait for the engine.
    """

    state: PlaceState
    expected_wait: float
    queue_length: int


@dataclass(frozen=True)
class PlaceResult:
    """Reply to a request for a place, as the requesting router knows it.

    Attributes
    ----------
    state : PlaceState
        Whether the request may be sent, waits or is declined.
    sequence : int
        Sequence of the query.
    expected_wait : float
        Expected time until the engine would begin with the prompt, in seconds.
    remote_load : EndpointLoad
        Load of all other routers at the engine.
    queue_length : int
        Requests that wait for the engine.
    """

    state: PlaceState
    sequence: int
    expected_wait: float
    remote_load: EndpointLoad
    queue_length: int = 0

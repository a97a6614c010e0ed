"""A router as other routers see it."""

from dataclasses import dataclass

__all__ = ["Member", "RANDOM_BITS", "new_incarnation"]

RANDOM_BITS = 20


def new_incarnation(seconds: float, random: int) -> int:
    """Return the incarnation of a process that starts now.

    Parameters
    ----------
    seconds : float
        Wall time of the start.
    random : int
        Number of `RANDOM_BITS` bits; distinguishes processes started in one second.

    Notes
    -----
    Later processes have higher numbers as long as clocks don't go back. After a
    clock went back, routers prefer the predecessor until they detect its silence, a
    few seconds later; nothing else depends on the order.
    """
    return (int(seconds) << RANDOM_BITS) | random


@dataclass(frozen=True)
class Member:
    """One VM that runs a router.

    Attributes
    ----------
    vm : str
        Name of the VM.
    zone, region : str
        Location of the VM.
    peer_address, caller_address : str
        ``host:port`` for other routers and for callers.
    incarnation : int
        Number of the running process; 0 while unknown.
    leaving : bool
        Whether the router accepts no new work.
    version : int
        Configuration version in force in the router.
    load : float
        Requests in progress, as last reported.
    operator_address : str
        ``host:port`` for operators.
    """

    vm: str
    zone: str
    region: str
    peer_address: str = ""
    caller_address: str = ""
    incarnation: int = 0
    leaving: bool = False
    version: int = 0
    load: float = 0.0
    operator_address: str = ""

"""Addresses at which routers listen, and which no endpoint can have."""

from collections.abc import Iterable

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.members import Member, Members

__all__ = ["RouterAddresses"]

_log = get_log("endpoints")


class RouterAddresses:
    """Tells whether the address of an entry is that of a router.

    A router takes a request that another one sends to such an entry for one of a caller
    without a key, and answers that the key is unknown.

    Parameters
    ----------
    members : Members
        The routers.
    own_addresses : iterable of str
        All addresses, ``host:port``, at which this router listens. The other routers
        are assumed to use the same ports, besides those that they announce.

    Attributes
    ----------
    version : int
        Changes whenever the addresses do.
    """

    def __init__(self, members: Members, own_addresses: Iterable[str]) -> None:
        self._members = members
        self._own = frozenset(address for address in own_addresses if address)
        self._own_ports = frozenset(_split(address)[1] for address in self._own)
        self._known = self._own
        self._peer_hosts: frozenset[str] = frozenset()
        self._named: frozenset[str] = frozenset()
        """Addresses of routers that entries name, for the log."""
        self.version = 0

    def update(self) -> None:
        """Apply the routers that are known now."""
        peers = self._members.peers
        announced = {each for peer in peers for each in _announced(peer)}
        known = self._own | announced
        hosts = frozenset(_split(peer.peer_address)[0] for peer in peers)
        if known != self._known or hosts != self._peer_hosts:
            self._known, self._peer_hosts = known, hosts
            self.version += 1

    def contains(self, address: str) -> bool:
        """Whether a router listens at an address."""
        host, port = _split(address)
        found = address in self._known or (
            host in self._peer_hosts and port in self._own_ports
        )
        if found and address not in self._named:
            self._named |= {address}
            _log.warning("entry with the address of a router", address=address)
        return found


def _announced(member: Member) -> Iterable[str]:
    addresses = (member.caller_address, member.peer_address, member.relay_address)
    return [address for address in addresses if address]


def _split(address: str) -> tuple[str, str]:
    host, _, port = address.rpartition(":")
    return host, port

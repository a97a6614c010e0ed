"""Permissions of the operator who holds a bearer key."""

import base64
import binascii
import hashlib
import hmac
from dataclasses import dataclass

from teaselledge.version.document import Version

__all__ = ["ROLES", "Permissions", "permissions_of"]

READ = "read"
CHANGE = "change"
ORDERS = "orders"
DRAIN = "drain"

ROLES: dict[str, frozenset[str]] = {
    "viewer": frozenset({READ}),
    "editor": frozenset({READ, CHANGE}),
    "support": frozenset({READ, ORDERS, DRAIN}),
    "admin": frozenset({READ, CHANGE, ORDERS, DRAIN}),
}
"""Actions that each role allows."""

NO_DIGEST = "0" * 64


@dataclass(frozen=True)
class Permissions:
    """Permissions of the bearer of a key.

    Attributes
    ----------
    name : str
        Name of the operator.
    role : str
        Role of the operator.
    sections : tuple of str
        Sections or entries that an editor may change.
    bootstrap_only : bool
        Whether the bearer may only create the first version.
    """

    name: str
    role: str
    sections: tuple[str, ...] = ()
    bootstrap_only: bool = False

    def allows(self, action: str) -> bool:
        """Return whether the role allows an action."""
        return action in ROLES[self.role]

    def may_change(self, section: str, name: str) -> bool:
        """Return whether the operator may change an entry."""
        if not self.allows(CHANGE):
            return False
        if self.role == "admin":
            return True
        return section in self.sections or f"{section}/{name}" in self.sections


def extract_key(authorization: str) -> str:
    """Return the bearer key, or the basic-auth password, of a header."""
    scheme, _, value = authorization.partition(" ")
    if scheme.lower() == "bearer":
        return value.strip()
    if scheme.lower() != "basic":
        return ""
    try:
        text = base64.b64decode(value.strip(), validate=True).decode()
    except (binascii.Error, UnicodeDecodeError):
        return ""
    return text.partition(":")[2]


def permissions_of(
    version: Version | None, authorization: str, first_key: str | None
) -> Permissions | None:
    """Return the permissions of a key, or None for an unknown key.

    Parameters
    ----------
    version : Version or None
        The configuration in force.
    authorization : str
        The Authorization header.
    first_key : str or None
        Hash of the key that may create the first version while there is none.
    """
    key = extract_key(authorization)
    if not key:
        return None
    digest = hashlib.sha256(key.encode()).hexdigest()
    if version is None:
        expected = first_key or NO_DIGEST
        matches = hmac.compare_digest(expected, digest)
        return (
            Permissions("first", "admin", (), True) if matches and first_key else None
        )
    found = None
    # compare all keys, so that the duration does not reveal which one matched
    for name, operator in version.document.operators.items():
        for expected in operator.keys:
            if hmac.compare_digest(expected, digest):
                found = Permissions(name, operator.role, operator.sections)
    return found

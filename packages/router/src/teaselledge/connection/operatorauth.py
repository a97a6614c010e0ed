"""Find the operator of a bearer key and what it may do."""

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
"""What each role may do."""

NO_DIGEST = "0" * 64


@dataclass(frozen=True)
class Permissions:
    """What the bearer of a key may do.

    Attributes
    ----------
    name : str
        The operator.
    role : str
        The role.
    sections : tuple of str
        Sections or entries that an editor may change.
    bootstrap_only : bool
        It may only make the first version.
    """

    name: str
    role: str
    sections: tuple[str, ...] = ()
    bootstrap_only: bool = False

    def allows(self, act: str) -> bool:
        """Return whether the role includes an act."""
        return act in ROLES[self.role]

    def may_change(self, section: str, name: str) -> bool:
        """Return whether it may change an entry."""
        if not self.allows(CHANGE):
            return False
        if self.role == "admin":
            return True
        return section in self.sections or f"{section}/{name}" in self.sections


def extract_key(authorization: str) -> str:
    """Return the key of a header: a bearer key, or a browser's password."""
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
    """Return the permit of a key, None where nobody has it.

    Parameters
    ----------
    version : Version or None
        The configuration in force.
    authorization : str
        The header.
    first_key : str or None
        Hash of the key that may make the first version, while there is none.
    """
    key = extract_key(authorization)
    if not key:
        return None
    digest = hashlib.sha256(key.encode()).hexdigest()
    if version is None:
        known = first_key or NO_DIGEST
        same = hmac.compare_digest(known, digest)
        return Permissions("first", "admin", (), True) if same and first_key else None
    found = None
    # every key is compared, so that the time tells nothing about which matched
    for name, operator in version.document.operators.items():
        for known in operator.keys:
            if hmac.compare_digest(known, digest):
                found = Permissions(name, operator.role, operator.sections)
    return found

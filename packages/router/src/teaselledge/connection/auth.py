"""Authentication of organisations by bearer keys."""

import hashlib
import hmac

from teaselledge.version.document import Document, Version

__all__ = ["Authenticator"]

SCHEME = "bearer"


class Authenticator:
    """Looks up organisations by the hashes of their keys.

    The index is built once per version. The duration of a lookup by SHA-256 digest
    reveals nothing that helps to guess a key; the digests are nevertheless compared
    in constant time.
    """

    def __init__(self) -> None:
        self._document: Document | None = None
        self._index: dict[str, str] = {}

    def organisation_of(self, version: Version, authorization: str) -> str | None:
        """Return the organisation whose key an Authorization header holds."""
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != SCHEME or not key.strip():
            return None
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        name = self._index_of(version.document).get(digest)
        if name is None:
            return None
        digests = version.document.organisations[name].keys
        if not any(hmac.compare_digest(digest, entry) for entry in digests):
            return None
        return name

    def _index_of(self, document: Document) -> dict[str, str]:
        if document is not self._document:
            self._index = {
                digest: name
                for name, organisation in document.organisations.items()
                for digest in organisation.keys
            }
            self._document = document
        return self._index

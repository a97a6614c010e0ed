"""The head of a version: its number, its chunks and who made it."""

import json
import zlib
from dataclasses import asdict, dataclass, field
from typing import Any

from pydantic import TypeAdapter, ValidationError

__all__ = [
    "APPLY_PREFIX",
    "AUDIT_PREFIX",
    "CHUNK_PREFIX",
    "CONFIG_TABLE",
    "HEAD_KEY",
    "VERSION_PREFIX",
    "VersionManifest",
    "ManifestError",
    "decode_manifest",
    "encode_manifest",
    "version_key",
]

CONFIG_TABLE = "config"
HEAD_KEY = "head"
CHUNK_PREFIX = "chunk/"
VERSION_PREFIX = "version/"
APPLY_PREFIX = "apply/"
AUDIT_PREFIX = "audit/"

FORMAT = 1
"""Layout of the head that this release writes, and the highest it reads."""

MAX_HEAD_BYTES = 1024 * 1024


class ManifestError(Exception):
    """A head that is damaged or of a newer release."""


@dataclass(frozen=True)
class VersionManifest:
    """What names one version.

    Attributes
    ----------
    version : int
        Number, one above the version before.
    sections : dict of str to list of str
        Digests of the chunks of each section.
    author : str
        The operator.
    apply_id : str
        Identifies the apply, so that it is found again if its answer is lost.
    base : int
        Version that the operator had seen.
    time : str
        When it was accepted, for people.
    note : str
        The operator's words.
    changed : list of str
        Changed entries, ``section/name``, the first of them.
    """

    version: int
    sections: dict[str, list[str]]
    author: str = ""
    apply_id: str = ""
    base: int = 0
    time: str = ""
    note: str = ""
    changed: list[str] = field(default_factory=list)

    @property
    def digests(self) -> list[str]:
        """Digests of all chunks."""
        return [digest for chunks in self.sections.values() for digest in chunks]


_reader = TypeAdapter(VersionManifest)
_format = TypeAdapter(dict[str, Any])


def version_key(version: int) -> str:
    """Return the key of a version's row, which sorts by number."""
    return f"{VERSION_PREFIX}{version:012d}"


def encode_manifest(head: VersionManifest) -> bytes:
    """Return the bytes of a head as stored and sent."""
    text = json.dumps({"format": FORMAT, **asdict(head)}, separators=(",", ":"))
    return zlib.compress(text.encode(), 6)


def decode_manifest(data: bytes) -> VersionManifest:
    """Read a head.

    Raises
    ------
    ManifestError
        If the bytes are no head, or one of a newer release.
    """
    try:
        expander = zlib.decompressobj()
        text = expander.decompress(data, MAX_HEAD_BYTES)
        value = _format.validate_json(text)
        found = value.pop("format", None)
        if found != FORMAT:
            raise ManifestError(f"format {found!r}, this release reads {FORMAT}")
        head = _reader.validate_python(value)
    except (zlib.error, ValidationError) as error:
        raise ManifestError("malformed") from error
    if head.version < 1:
        raise ManifestError("no version number")
    return head

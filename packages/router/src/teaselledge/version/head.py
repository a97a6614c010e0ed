"""The manifest of a version: its number, its chunks and its author."""

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
"""Format of the manifests that this release writes and reads."""

MAX_MANIFEST_BYTES = 1024 * 1024


class ManifestError(Exception):
    """A manifest is damaged or written by a newer release."""


@dataclass(frozen=True)
class VersionManifest:
    """Description of one version.

    Attributes
    ----------
    version : int
        Number, one higher than that of the previous version.
    sections : dict of str to list of str
        Digests of the chunks of each section.
    author : str
        Operator who made the version.
    apply_id : str
        Identifies the apply, so that a retry finds its outcome if the response is lost.
    base : int
        Version that the change was based on.
    time : str
        Wall-clock time of acceptance, for display only.
    note : str
        The operator's comment.
    changed : list of str
        First changed entries, as ``section/name``.
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
    """Return the key of a version's row; keys sort by number."""
    return f"{VERSION_PREFIX}{version:012d}"


def encode_manifest(manifest: VersionManifest) -> bytes:
    """Return the bytes of a manifest as stored and sent."""
    text = json.dumps({"format": FORMAT, **asdict(manifest)}, separators=(",", ":"))
    return zlib.compress(text.encode(), 6)


def decode_manifest(data: bytes) -> VersionManifest:
    """Decode a manifest.

    Raises
    ------
    ManifestError
        If the bytes are no manifest, or one written by a newer release.
    """
    try:
        expander = zlib.decompressobj()
        text = expander.decompress(data, MAX_MANIFEST_BYTES)
        value = _format.validate_json(text)
        found_format = value.pop("format", None)
        if found_format != FORMAT:
            raise ManifestError(f"format {found_format!r}, this release reads {FORMAT}")
        manifest = _reader.validate_python(value)
    except (zlib.error, ValidationError) as error:
        raise ManifestError("malformed") from error
    if manifest.version < 1:
        raise ManifestError("no version number")
    return manifest

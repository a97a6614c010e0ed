"""Writes of the rows of a version in the table service."""

from collections.abc import Mapping
from typing import Any

from teaselledge.platform import ABSENT, ANY, Write
from teaselledge.version.head import (
    CHUNK_PREFIX,
    CONFIG_TABLE,
    HEAD_KEY,
    VersionManifest,
    encode_manifest,
    version_key,
)
from teaselledge.version.sections import SECTIONS, chunk_digest, flatten, pack_chunks

__all__ = ["chunk_writes", "head_writes", "unchecked_writes", "pack_sections"]


def pack_sections(
    entries: Mapping[str, Mapping[str, Any]],
) -> dict[str, dict[str, bytes]]:
    """Return the chunks of each section by digest, in the order of the buckets."""
    return {
        section: {chunk_digest(c): c for c in pack_chunks(entries.get(section, {}))}
        for section in SECTIONS
    }


def chunk_writes(chunks: Mapping[str, bytes]) -> list[Write]:
    """Return the writes of chunks, which are safe to repeat."""
    return [
        Write(CONFIG_TABLE, CHUNK_PREFIX + digest, data, ANY)
        for digest, data in chunks.items()
    ]


def head_writes(manifest: VersionManifest, expect: int) -> list[Write]:
    """Return the writes that make a version the latest.

    The conditions on the head row and on the version's own row let only one of
    two concurrent operators succeed.
    """
    raw = encode_manifest(manifest)
    return [
        Write(CONFIG_TABLE, HEAD_KEY, raw, expect),
        Write(CONFIG_TABLE, version_key(manifest.version), raw, ABSENT),
    ]


def unchecked_writes(document: Mapping[str, Any], number: int) -> list[Write]:
    """Return the writes of a document without checks and conditions, for tests."""
    sections = pack_sections(flatten(document))
    manifest = VersionManifest(
        number, {name: list(chunks) for name, chunks in sections.items()}
    )
    raw = encode_manifest(manifest)
    writes = [w for chunks in sections.values() for w in chunk_writes(chunks)]
    writes.append(Write(CONFIG_TABLE, HEAD_KEY, raw))
    writes.append(Write(CONFIG_TABLE, version_key(number), raw))
    return writes

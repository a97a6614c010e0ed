"""Split a document into entries and into chunks stored by digest.

A document is a mapping of sections, a section a mapping of named entries. Endpoints
are a section of their own, so that a change of an endpoint leaves its service's entry
unchanged. The entries of a section are distributed over chunks by the hash of their
names: a changed entry results in one new chunk, and all others keep their digest.
"""

import hashlib
import json
import zlib
from collections.abc import Iterable, Mapping
from typing import Any

import xxhash

__all__ = [
    "ENDPOINTS",
    "SECTIONS",
    "ChunkError",
    "Entries",
    "pack_chunks",
    "chunk_digest",
    "flatten",
    "missing_digests",
    "unflatten",
    "unpack_chunk",
]

Entries = dict[str, dict[str, Any]]
"""Values by section and name."""

ENDPOINTS = "endpoints"
SECTIONS: tuple[str, ...] = (
    "zones",
    "organisations",
    "services",
    ENDPOINTS,
    "objectives",
    "operators",
)
"""Sections as stored, in the order of processing."""

MAX_MEAN_CHUNK_ENTRIES = 64
"""Maximum mean number of entries in the chunks of a section."""

DIGEST_BYTES = 16
"""Long enough that finding other content with the same digest is infeasible."""

MAX_CHUNK_BYTES = 4 * 1024 * 1024


class ChunkError(Exception):
    """A chunk is damaged or too large."""


def flatten(document: Mapping[str, Any]) -> Entries:
    """Return the entries of a document given as plain mappings."""
    entries: Entries = {
        section: dict(document.get(section) or {}) for section in SECTIONS
    }
    entries[ENDPOINTS] = {}
    for name, service in entries["services"].items():
        if not isinstance(service, Mapping):
            continue
        service_entry = dict(service)
        endpoints = service_entry.pop(ENDPOINTS, None) or {}
        if not isinstance(endpoints, Mapping):
            entries["services"][name] = service
            continue
        for endpoint, value in endpoints.items():
            entries[ENDPOINTS][f"{name}/{endpoint}"] = value
        entries["services"][name] = service_entry
    return entries


def unflatten(entries: Entries) -> dict[str, Any]:
    """Return the document that consists of the entries."""
    document: dict[str, Any] = {
        section: dict(entries.get(section, {}))
        for section in SECTIONS
        if section != ENDPOINTS
    }
    services = document["services"]
    for name, service in services.items():
        if isinstance(service, Mapping):
            services[name] = {ENDPOINTS: {}, **service}
    for path, value in entries.get(ENDPOINTS, {}).items():
        service, _, endpoint = path.partition("/")
        if service in services:
            services[service][ENDPOINTS][endpoint] = value
    return document


def chunk_digest(data: bytes) -> str:
    """Return the digest under which a chunk is stored."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def _bucket_count(entries: int) -> int:
    buckets = 1
    while buckets * MAX_MEAN_CHUNK_ENTRIES < entries:
        buckets *= 2
    return buckets


def _pack(entries: Mapping[str, Any]) -> bytes:
    text = json.dumps(dict(sorted(entries.items())), separators=(",", ":"))
    return zlib.compress(text.encode(), 6)


def pack_chunks(entries: Mapping[str, Any]) -> list[bytes]:
    """Return the chunks of one section, in order of their bucket.

    Entries are sorted by name. The order within a value is kept, since the first
    kind that matches a request determines its kind.
    """
    count = _bucket_count(len(entries))
    buckets: list[dict[str, Any]] = [{} for _ in range(count)]
    for name, value in entries.items():
        buckets[xxhash.xxh3_64_intdigest(name.encode()) % count][name] = value
    return [_pack(bucket) for bucket in buckets]


def unpack_chunk(data: bytes) -> dict[str, Any]:
    """Return the entries of a chunk.

    Raises
    ------
    ChunkError
        If the bytes are not a valid chunk.
    """
    try:
        expander = zlib.decompressobj()
        # a few bytes can decompress to gigabytes
        text = expander.decompress(data, MAX_CHUNK_BYTES)
        if expander.unconsumed_tail or not expander.eof:
            raise ChunkError("too large or truncated")
        entries = json.loads(text)
    except (zlib.error, ValueError, RecursionError) as error:
        raise ChunkError(str(error)) from error
    if not isinstance(entries, dict):
        raise ChunkError("not a mapping")
    return entries


def missing_digests(digests: Iterable[str], known: Mapping[str, Any]) -> list[str]:
    """Return the digests that are not in `known`, each once."""
    return [digest for digest in dict.fromkeys(digests) if digest not in known]

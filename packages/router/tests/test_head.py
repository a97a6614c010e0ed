"""Tests of the encoding of manifests and chunks."""

import json
import zlib

from hypothesis import given
from hypothesis import strategies as st
from teaselledge.version.head import (
    ManifestError,
    VersionManifest,
    decode_manifest,
    encode_manifest,
)
from teaselledge.version.sections import (
    MAX_MEAN_CHUNK_ENTRIES,
    ChunkError,
    chunk_digest,
    flatten,
    pack_chunks,
    unflatten,
    unpack_chunk,
)

NAMES = st.from_regex(r"[a-z0-9-]{1,12}", fullmatch=True)
ENTRIES = st.dictionaries(st.integers(0, 999).map("org-{}".format), st.integers())
MANY = st.builds(
    lambda count, some: {**{f"org-{i:03d}": i for i in range(count)}, **some},
    st.integers(0, 300),
    ENTRIES,
)
SERVICES = st.dictionaries(
    NAMES,
    st.fixed_dictionaries(
        {"endpoints": st.dictionaries(NAMES, st.integers())},
        optional={"cost": st.just("tokens")},
    ),
)


@given(SERVICES, ENTRIES)
def test_flatten_round_trip(services, organisations):
    document = {
        "zones": {},
        "organisations": organisations,
        "services": services,
        "objectives": {},
        "operators": {},
    }
    assert unflatten(flatten(document)) == document


@given(MANY, st.integers(0, 299).map("org-{:03d}".format))
def test_changed_entry_changes_at_most_one_chunk(entries, name):
    chunks = pack_chunks(entries)
    found = {}
    for chunk in chunks:
        found.update(unpack_chunk(chunk))
    assert found == entries
    assert len(chunks) * MAX_MEAN_CHUNK_ENTRIES >= len(entries)
    if name not in entries:
        return
    other = pack_chunks({**entries, name: {"other": 1}})
    assert sum(a != b for a, b in zip(chunks, other, strict=True)) <= 1


@given(MANY)
def test_chunks_do_not_depend_on_order_of_entries(entries):
    backwards = dict(reversed(entries.items()))
    assert [chunk_digest(c) for c in pack_chunks(entries)] == [
        chunk_digest(c) for c in pack_chunks(backwards)
    ]


def test_manifest_round_trip():
    manifest = VersionManifest(
        7, {"zones": ["ab"]}, "dana", "id", 6, "now", "why", ["zones/a"]
    )
    assert decode_manifest(encode_manifest(manifest)) == manifest


def test_unknown_fields_of_manifest_are_ignored():
    """A newer release adds fields to the manifest without changing its format."""
    text = '{"format": 1, "version": 3, "sections": {}, "more": 1}'
    assert decode_manifest(zlib.compress(text.encode())) == VersionManifest(3, {})


def is_rejected(decode, error, data):
    try:
        decode(data)
    except error:
        return True
    return False


def test_hostile_manifests_and_chunks_are_rejected():
    """A peer or the store sends bytes that no release has written."""
    bomb = zlib.compress(b" " * 50_000_000)
    texts = [
        "",
        "[]",
        "{}",
        "7",
        '{"format": 2, "version": 1, "sections": {}}',
        '{"format": 1, "version": 0, "sections": {}}',
        '{"format": 1, "version": -3, "sections": {}}',
        '{"format": 1, "version": "x", "sections": {}}',
        '{"format": 1, "version": 1, "sections": {"zones": "ab"}}',
        "[" * 100_000,
    ]
    for data in [bomb, bomb[:100], b"", *(zlib.compress(t.encode()) for t in texts)]:
        assert is_rejected(decode_manifest, ManifestError, data), data[:60]
    for text in ("", "[]", "7", "[" * 100_000):
        assert is_rejected(unpack_chunk, ChunkError, zlib.compress(text.encode())), text
    assert is_rejected(unpack_chunk, ChunkError, bomb)
    assert is_rejected(unpack_chunk, ChunkError, bomb[:100])


@given(st.binary(max_size=200), st.booleans())
def test_any_bytes_are_decoded_or_rejected(data, packed):
    given_data = zlib.compress(data) if packed else data
    for decode, error in ((decode_manifest, ManifestError), (unpack_chunk, ChunkError)):
        try:
            decode(given_data)
        except error:
            pass


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(
    st.fixed_dictionaries(
        {"format": st.just(1), "version": JSON, "sections": JSON},
        optional={"author": JSON, "changed": JSON, "base": JSON},
    )
)
def test_any_json_is_decoded_or_rejected_as_manifest(value):
    data = zlib.compress(json.dumps(value).encode())
    try:
        manifest = decode_manifest(data)
    except ManifestError:
        return
    assert manifest.version >= 1
    assert all(isinstance(digest, str) for digest in manifest.digests)

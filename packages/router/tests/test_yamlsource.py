"""Tests of reading YAML from people and from strangers."""

import time
import tracemalloc

import yaml
from hypothesis import given
from hypothesis import strategies as st
from teaselledge.version.document import Document
from teaselledge.yamlsource import MAX_BYTES, merge, parse, validate_as

MEMORY_LIMIT = 100e6
"""Bytes that a hostile file of the largest size may take for a moment."""

SLOWER = 6
"""Times the processor time of a harmless file of 100,000 values."""


def hostile():
    """Return files that have harmed other readers, by what they are."""
    laughs = "a0: &a0 [x,x,x,x,x,x,x,x,x]\n" + "".join(
        f"a{i}: &a{i} [{', '.join([f'*a{i - 1}'] * 9)}]\n" for i in range(1, 12)
    )
    return {
        "exploding aliases": laughs.encode(),
        "recursive alias": b"a: &a [*a]",
        "merge keys": b"a: &a {x: 1}\nb: {<<: *a}",
        "deep flow": b"[" * 200_000,
        "deep block": b"".join(b" " * i + b"a:\n" for i in range(2000)),
        "too large": b"a" * (MAX_BYTES + 1),
        "many values": b"[" + b"1," * (MAX_BYTES // 2 - 1) + b"]",
        "long sexagesimal": b"a: 1" + b":59" * 300_000,
        "long number": b"a: " + b"9" * 1_000_000,
        "duplicate keys": b"a: 1\na: 2",
        "python object": b"a: !!python/object/apply:os.system [ls]",
        "binary": b"a: !!binary aGVsbG8=",
        "timestamp": b"a: 2001-01-01",
        "not a number": b"a: .nan",
        "key of another type": b"no: 1",
        "key that is a list": b"? [a]\n: 1",
        "utf-16": "a: 1".encode("utf-16"),
        "latin-1": "a: \u00e9".encode("latin-1"),
        "nul": b"a: \x00",
        "two documents": b"a: 1\n---\nb: 2",
        "open quote": b'a: "' + b"x" * 100_000,
        "tab": b"a:\n\t- b",
    }


def test_hostile_files_are_refused_in_bounded_time_and_memory():
    """Someone puts a file into the repository that means harm.

    The reader refuses it with a place and a reason, without taking the memory or
    the time that the file asks for.
    """
    harmless = b"[" + b"1, " * 100_000 + b"]"
    started = time.process_time()
    assert parse("f.yaml", harmless).is_ok()
    allowed = SLOWER * (time.process_time() - started)
    for name, data in hostile().items():
        started = time.process_time()
        result = parse("f.yaml", data)
        spent = time.process_time() - started
        tracemalloc.start()
        parse("f.yaml", data)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert result.is_error(), name
        mistake = result.error[0]
        assert mistake.file == "f.yaml" and mistake.line >= 1 and mistake.found, name
        assert peak < MEMORY_LIMIT, (name, peak)
        assert spent < allowed, (name, spent, allowed)


def test_every_duplicate_key_is_listed_with_its_line():
    result = parse("f.yaml", b"a: 1\nb:\n  c: 1\n  c: 2\na: 3\n")
    assert [(m.line, m.path) for m in result.error] == [(4, "b.c"), (5, "a")]


def test_entries_in_two_files_are_named_with_both_places():
    first = parse("a.yaml", b"zones:\n  north-a: {region: north}\n").ok
    second = parse("b.yaml", b"zones:\n  north-a: {region: south}\n").ok
    (mistake,) = merge([first, second]).error
    assert str(mistake).startswith("b.yaml:2: zones.north-a: found an entry twice")
    assert "a.yaml:2" in mistake.allowed


@given(st.binary(max_size=300))
def test_any_bytes_are_read_or_refused(data):
    result = parse("f.yaml", data)
    assert result.is_ok() or result.error


TOKENS = ["a", "- ", ": ", "\n", "  ", "[", "]", "{", "}", ",", "&a ", "*a", "!!int "]
TOKENS += ["'", '"', "|", ">", "#", "? ", "---", "...", "1", "0x", "~", "<<", "%", "é"]


@given(st.lists(st.sampled_from(TOKENS), max_size=60))
def test_anything_that_looks_like_yaml_is_read_or_refused(tokens):
    result = parse("f.yaml", "".join(tokens).encode())
    assert result.is_ok() or result.error
    if result.is_ok():
        merged = merge([result.ok])
        checked = merged.bind(lambda source: validate_as(Document, source))
        assert checked.is_error()
        assert all(mistake.line >= 1 for mistake in checked.error)


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**9), 10**9)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.from_regex(r"[a-z]{1,8}z", fullmatch=True), inner)
    ),
    max_leaves=20,
)


@given(VALUES)
def test_what_the_library_writes_is_read_as_the_library_reads_it(value):
    text = yaml.safe_dump({"key": value})
    assert parse("f.yaml", text.encode()).ok.value == yaml.safe_load(text)

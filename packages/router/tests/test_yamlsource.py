"""Tests of reading valid, invalid and hostile YAML."""

import time
import tracemalloc

import yaml
from hypothesis import given
from hypothesis import strategies as st
from teaselledge.version.document import Document
from teaselledge.yamlsource import MAX_FILE_BYTES, merge, parse, validate_as

MAX_PEAK_BYTES = 100e6
"""Maximum peak memory for a hostile file, in bytes."""

MAX_TIME_FACTOR = 6
"""Maximum CPU time for a hostile file, as a multiple of that for 100,000 values."""


def hostile_files():
    """Return files that have harmed other YAML parsers, by description."""
    laughs = "a0: &a0 [x,x,x,x,x,x,x,x,x]\n" + "".join(
        f"a{i}: &a{i} [{', '.join([f'*a{i - 1}'] * 9)}]\n" for i in range(1, 12)
    )
    return {
        "exploding aliases": laughs.encode(),
        "recursive alias": b"a: &a [*a]",
        "merge keys": b"a: &a {x: 1}\nb: {<<: *a}",
        "deep flow": b"[" * 200_000,
        "deep block": b"".join(b" " * i + b"a:\n" for i in range(2000)),
        "too large": b"a" * (MAX_FILE_BYTES + 1),
        "many values": b"[" + b"1," * (MAX_FILE_BYTES // 2 - 1) + b"]",
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
    """A hostile file in the repository could exhaust the router's time or memory.

    It must be refused with a location and a reason, within limits of both.
    """
    reference = b"[" + b"1, " * 100_000 + b"]"
    start = time.process_time()
    assert parse("f.yaml", reference).is_ok()
    max_duration = MAX_TIME_FACTOR * (time.process_time() - start)
    for name, data in hostile_files().items():
        start = time.process_time()
        result = parse("f.yaml", data)
        duration = time.process_time() - start
        tracemalloc.start()
        parse("f.yaml", data)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert result.is_error(), name
        issue = result.error[0]
        assert issue.file == "f.yaml" and issue.line >= 1 and issue.found, name
        assert peak < MAX_PEAK_BYTES, (name, peak)
        assert duration < max_duration, (name, duration, max_duration)


def test_every_duplicate_key_is_listed_with_its_line():
    result = parse("f.yaml", b"a: 1\nb:\n  c: 1\n  c: 2\na: 3\n")
    assert [(m.line, m.path) for m in result.error] == [(4, "b.c"), (5, "a")]


def test_duplicate_entries_are_reported_with_both_locations():
    first = parse("a.yaml", b"zones:\n  north-a: {region: north}\n").ok
    second = parse("b.yaml", b"zones:\n  north-a: {region: south}\n").ok
    (issue,) = merge([first, second]).error
    assert str(issue).startswith("b.yaml:2: zones.north-a: found an entry twice")
    assert "a.yaml:2" in issue.allowed


@given(st.binary(max_size=300))
def test_any_bytes_are_parsed_or_refused(data):
    result = parse("f.yaml", data)
    assert result.is_ok() or result.error


TOKENS = ["a", "- ", ": ", "\n", "  ", "[", "]", "{", "}", ",", "&a ", "*a", "!!int "]
TOKENS += ["'", '"', "|", ">", "#", "? ", "---", "...", "1", "0x", "~", "<<", "%", "é"]


@given(st.lists(st.sampled_from(TOKENS), max_size=60))
def test_random_yaml_tokens_are_parsed_or_refused(tokens):
    result = parse("f.yaml", "".join(tokens).encode())
    assert result.is_ok() or result.error
    if result.is_ok():
        merged = merge([result.ok])
        checked = merged.bind(lambda source: validate_as(Document, source))
        assert checked.is_error()
        assert all(issue.line >= 1 for issue in checked.error)


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
def test_dumped_values_are_parsed_as_by_pyyaml(value):
    text = yaml.safe_dump({"key": value})
    assert parse("f.yaml", text.encode()).ok.value == yaml.safe_load(text)

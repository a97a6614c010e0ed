"""Tests of the list of benchmark bounds that are known to be broken."""

from pathlib import Path
from tempfile import TemporaryDirectory

from bench.case import Bound, Case
from bench.knownred import KnownRed


def read_known(text):
    with TemporaryDirectory() as name:
        path = Path(name) / "KNOWN-RED.txt"
        path.write_text(text)
        return KnownRed.from_file(path)


def case_of(value):
    return Case("a-faults", 1, {"idle_s": value}, {"idle_s": Bound(at_most=1)})


def test_only_the_listed_bound_is_ignored():
    known = read_known("# note\nbench/*-faults:idle_s, slow, 4\n")
    assert known.unknown(case_of(2)) == []
    other = Case("a-even", 1, {"idle_s": 2}, {"idle_s": Bound(at_most=1)})
    assert known.unknown(other) == ["idle_s"]


def test_listed_bound_that_holds_is_reported():
    known = read_known("bench/*-faults:idle_s, slow, 4\n")
    assert known.unknown(case_of(0.5)) == []
    assert len(known.green()) == 1
    known.unknown(case_of(2))
    assert known.green() == []


def test_missing_figure_breaks_its_bound():
    assert Case("a", 1, {}, {"idle_s": Bound(at_most=1)}).broken == ["idle_s"]

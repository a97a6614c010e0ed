"""Tests of the table from error kind to answer."""

from teaselledge.errors import FAULT_RESPONSES, ErrorKind, Fault, problem


def test_every_kind_has_an_answer():
    assert set(FAULT_RESPONSES) == set(ErrorKind)


def test_problem_carries_kind_and_ran():
    answer = problem(Fault(ErrorKind.LEAVING), "r1")
    assert answer.body["ran"] == "no"
    assert answer.headers["Retry-After"] == "0"

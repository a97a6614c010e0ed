"""Tests of the error responses."""

from teaselledge.errors import FAULT_RESPONSES, ErrorKind, Fault, problem


def test_every_kind_has_a_response():
    assert set(FAULT_RESPONSES) == set(ErrorKind)


def test_problem_carries_kind_and_ran():
    response = problem(Fault(ErrorKind.LEAVING), "r1")
    assert response.body["ran"] == "no"
    assert response.headers["Retry-After"] == "0"

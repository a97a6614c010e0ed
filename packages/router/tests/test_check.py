"""Tests of the checks across sections of a document."""

import copy

from teaselledge.version.check import find_issues
from teaselledge.version.source import check_value

KEY = "{:064x}".format
DOCUMENT = {
    "zones": {"north-a": {"region": "north"}},
    "organisations": {
        "amber": {"share": 1.0, "keys": [KEY(1)], "services": ["models"]},
        "birch": {"share": 1.0, "keys": [KEY(2)], "services": ["models", "ledger"]},
    },
    "services": {
        name: {
            "cost": "tokens",
            "endpoints": {"e-0": {"address": f"10.0.0.{i}:1", "zone": "north-a"}},
            "kinds": {
                "work": {"methods": ["POST"], "paths": ["work"]},
                "read": {"methods": ["GET"], "paths": ["work", "read"]},
            },
        }
        for i, name in enumerate(("models", "ledger"))
    },
    "objectives": {
        "work": {"service": "models", "kind": "work", "target": 0.9, "seconds": 1.0}
    },
    "operators": {
        "dana": {"keys": [KEY(3)], "role": "admin"},
        "erin": {"keys": [KEY(4)], "role": "editor", "sections": ["zones"]},
    },
}

FAULTS = {
    "organisations.amber.services": ("organisations.amber.services", []),
    "organisations.amber.services.0": ("organisations.amber.services", ["nothing"]),
    "organisations.birch.keys.0": ("organisations.birch.keys", [KEY(1)]),
    "services.ledger": ("organisations.birch.services", ["models"]),
    "services.models.endpoints": ("services.models.endpoints.e-0.leaving", True),
    "services.models.kinds": ("services.models.kinds", {}),
    "services.models.endpoints.e-0.zone": (
        "services.models.endpoints.e-0.zone",
        "nowhere",
    ),
    "services.ledger.endpoints.e-0.address": (
        "services.ledger.endpoints.e-0.address",
        "10.0.0.0:1",
    ),
    "services.models.endpoints.e-0.address": (
        "services.models.endpoints.e-0.address",
        "10.0.0.7:70000",
    ),
    "services.models.kinds.read.paths": (
        "services.models.kinds.read",
        {"methods": ["POST"], "paths": ["work"]},
    ),
    "services.models.kinds.work": ("services.models.kinds.work.paths", []),
    "services.models.kinds.work.latency_target": (
        "services.models.kinds.work.latency_target",
        61.0,
    ),
    "objectives.work.service": ("objectives.work.service", "nothing"),
    "objectives.work.kind": ("objectives.work.kind", "nothing"),
    "objectives.work.organisations.0": ("objectives.work.organisations", ["nobody"]),
    "objectives.other": ("objectives.other", DOCUMENT["objectives"]["work"]),
    "operators.erin.sections.0": ("operators.erin.sections", ["endpoints"]),
    "operators.erin.sections": ("operators.erin.sections", []),
    "operators.dana.sections": ("operators.dana.sections", ["zones"]),
    "operators.erin.keys.0": ("operators.erin.keys", [KEY(3)]),
    "operators": ("operators.dana.role", "viewer"),
}
"""Path of each fault, and the change to a valid document that causes it."""


def changed(path, value):
    document = copy.deepcopy(DOCUMENT)
    *parents, last = path.split(".")
    target = document
    for name in parents:
        target = target[name]
    target[last] = value
    return document


def test_valid_document_has_no_issues():
    checked = check_value(DOCUMENT)
    assert checked.is_ok()
    assert find_issues(checked.ok.document) == []


def test_each_fault_is_reported_with_its_path():
    for expected, (path, value) in FAULTS.items():
        checked = check_value(changed(path, value))
        assert checked.is_error(), expected
        found = {issue.path for issue in checked.error}
        assert expected in found, (expected, found)
        for issue in checked.error:
            assert issue.found and issue.allowed


def test_all_faults_of_a_document_are_reported():
    document = changed("organisations.amber.services", ["nothing"])
    document["objectives"]["work"]["kind"] = "nothing"
    document["operators"]["erin"]["sections"] = []
    found = {issue.path for issue in check_value(document).error}
    assert found == {
        "organisations.amber.services.0",
        "objectives.work.kind",
        "operators.erin.sections",
    }


def test_long_lists_of_names_are_truncated():
    """An organisation uses an unknown service where hundreds are defined."""
    document = changed("organisations.amber.services", ["nothing"])
    for i in range(300):
        service = copy.deepcopy(document["services"]["models"])
        service["endpoints"]["e-0"]["address"] = f"10.1.{i // 200}.{i % 200}:1"
        document["services"][f"service-{i}"] = service
        document["organisations"]["birch"]["services"].append(f"service-{i}")
    (issue,) = check_value(document).error
    assert "and 290 more" in issue.allowed and len(issue.allowed) < 400

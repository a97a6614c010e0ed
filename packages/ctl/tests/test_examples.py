"""Tests of the example documents and settings."""

from pathlib import Path

from teaselledge.process import settings
from teaselledge.version.source import check_source, load_source

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"

SIZES = {
    "cellarwright": (
        {
            "richmond-vault": "lower-mainland",
            "burnaby-vault": "lower-mainland",
            "kelowna-vault": "okanagan",
        },
        {"sommelier-models": 5, "bond-ledger": 3},
    ),
    "sudski-trag": (
        {"split-a": "jadran", "rijeka-b": "jadran", "osijek-a": "panonija"},
        {"sazetak": 5, "registar": 3},
    ),
}


def test_example_documents_are_valid_and_have_expected_size():
    for name, (zones, services) in SIZES.items():
        source = load_source([EXAMPLES / name]).ok
        checked = check_source(source)
        assert checked.is_ok(), [str(mistake) for mistake in checked.error]
        document = checked.ok.document
        assert {n: z.region for n, z in document.zones.items()} == zones
        found = {n: len(s.endpoints) for n, s in document.services.items()}
        assert found == services
        assert len(document.organisations) == 16
        kinds = [k for s in document.services.values() for k in s.kinds.values()]
        assert any(not kind.repeatable for kind in kinds)


def test_example_settings_are_valid():
    loaded = settings.load(EXAMPLES / "settings" / "router.yaml")
    assert loaded.is_ok(), [str(mistake) for mistake in loaded.error]

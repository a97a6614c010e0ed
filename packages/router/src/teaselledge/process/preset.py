"""Presets of the usage exchange, which trade fairness for control traffic."""

from dataclasses import dataclass

from teaselledge.version.document import Service

__all__ = ["PRESETS", "Preset", "PresetNotFoundError", "get_preset_by_name"]


@dataclass(frozen=True)
class Preset:
    """Parameters of the exchange of usage reports in a service.

    Attributes
    ----------
    name : str
        Name in the document.
    quantum_hints : float
        Unreported usage that makes a report due, as a multiple of the largest
        cost hint of the service.
    interval : float
        Maximum time in seconds until a changed account is reported within a
        region.
    region_interval : float
        Seconds between reports of the sums of a region to other regions.
    fetch_margin_hints : float
        Deficit of an organisation, as a multiple of the largest cost hint,
        above which its requests are fetched from another zone.
    report_bytes : float
        Maximum bytes of reports per second of a dispatcher; with many
        backlogged organisations the interval becomes longer instead.
    """

    name: str
    quantum_hints: float
    interval: float
    region_interval: float
    fetch_margin_hints: float
    report_bytes: float

    def quantum(self, service: Service) -> float:
        """Return the quantum in the unit of cost of the service."""
        return self.quantum_hints * largest_hint(service)

    def fetch_margin(self, service: Service) -> float:
        """Return the margin in the unit of cost of the service."""
        return self.fetch_margin_hints * largest_hint(service)


PRESETS: dict[str, Preset] = {
    "fairness": Preset("fairness", 0.25, 0.1, 0.2, 0.25, 3000.0),
    "traffic": Preset("traffic", 0.5, 0.5, 0.8, 0.25, 800.0),
}


class PresetNotFoundError(LookupError):
    """There is no preset of that name."""


def get_preset_by_name(name: str) -> Preset:
    """Return a preset.

    Raises
    ------
    PresetNotFoundError
        If no preset has that name.
    """
    found = PRESETS.get(name)
    if found is None:
        raise PresetNotFoundError(name)
    return found


def largest_hint(service: Service) -> float:
    """Return the largest cost hint of the kinds, or 1 if there are none."""
    return max((kind.cost_hint for kind in service.kinds.values()), default=1.0)

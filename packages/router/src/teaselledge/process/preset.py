"""Presets of the report exchange: fairness gap against control traffic."""

from dataclasses import dataclass

from teaselledge.version.document import Service

__all__ = ["PRESETS", "Preset", "PresetNotFoundError", "get_preset_by_name"]


@dataclass(frozen=True)
class Preset:
    """How soon dispatchers of one service tell each other what they served.

    Attributes
    ----------
    name : str
        As in the document.
    quantum_hints : float
        Unreported service that makes a report due, as a multiple of the
        largest cost hint of the service.
    interval : float
        Seconds after which a changed account is reported at the latest,
        within a region.
    region_interval : float
        Seconds between the sums that one region sends to another.
    fetch_margin_hints : float
        Deficit, as a multiple of the largest cost hint, from which work of a
        needier organisation is fetched from another zone.
    report_bytes : float
        Bytes of reports that a dispatcher may send in a second; with many
        backlogged organisations the interval grows instead.
    """

    name: str
    quantum_hints: float
    interval: float
    region_interval: float
    fetch_margin_hints: float
    report_bytes: float

    def quantum(self, service: Service) -> float:
        """Return the quantum in the service's unit of cost."""
        return self.quantum_hints * largest_hint(service)

    def fetch_margin(self, service: Service) -> float:
        """Return the margin in the service's unit of cost."""
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
    """Return the largest cost hint among the kinds, 1 where there is none."""
    return max((kind.cost_hint for kind in service.kinds.values()), default=1.0)

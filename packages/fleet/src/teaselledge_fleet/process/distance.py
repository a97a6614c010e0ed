"""What the way to another zone costs."""

from collections.abc import Mapping

__all__ = ["Distance"]

ZONE_SECONDS = 0.003
REGION_SECONDS = 0.04
"""Way there and back: 1.4 ms between zones and 20 ms between regions each way."""

PAID_SECONDS_PER_KILOBYTE = 0.0008
"""What bytes between zones and regions are billed, as engine time.

20 KB of a long prompt between regions cost as much as 1,200 tokens read again, which
take an engine 16 ms.
"""


class Distance:
    """Weighs zones as seen from one of them."""

    def __init__(self, zone: str, zones: Mapping[str, str]) -> None:
        self._zone = zone
        self._zones = zones

    def round_trip_seconds(self, zone: str) -> float:
        """Return the time that the way there and back takes."""
        if zone == self._zone:
            return 0.0
        return ZONE_SECONDS if self._near(zone) else REGION_SECONDS

    def transfer_cost(self, zone: str, kilobytes: float) -> float:
        """Return what an exchange is billed, in seconds of an engine's time."""
        return 0.0 if zone == self._zone else kilobytes * PAID_SECONDS_PER_KILOBYTE

    def _near(self, zone: str) -> bool:
        return self._zones.get(zone) == self._zones.get(self._zone)

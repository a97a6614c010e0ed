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

    def seconds(self, zone: str, kilobytes: float) -> float:
        """Return the cost of an exchange with an endpoint there, in seconds."""
        if zone == self._zone:
            return 0.0
        paid = kilobytes * PAID_SECONDS_PER_KILOBYTE
        if self._zones.get(zone) == self._zones.get(self._zone):
            return ZONE_SECONDS + paid
        return REGION_SECONDS + paid

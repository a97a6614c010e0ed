"""Latency, congestion and transfer cost between zones.

Answers a load that fills the link between two regions, which all their traffic shares.
"""

from collections.abc import Mapping

from teaselledge_fleet.process.roundtrips import RoundTrips

__all__ = ["Distance"]

SAME_REGION_ROUND_TRIP_SECONDS = 0.003
CROSS_REGION_ROUND_TRIP_SECONDS = 0.04
"""Round-trip times: one way takes 1.4 ms between zones and 20 ms between regions."""

TRANSFER_COST_SECONDS_PER_KILOBYTE = 0.0008
"""Billed cost of traffic between zones and regions, as engine time.

The 20 KB of a long prompt between regions cost as much as the prefill of 1,200 tokens,
which takes an engine 16 ms.
"""


class Distance:
    """Returns the latency and cost from one zone to others."""

    def __init__(self, zone: str, zones: Mapping[str, str]) -> None:
        self._zone = zone
        self._zones = zones
        self._round_trips = RoundTrips()

    def set_round_trips(self, round_trips: RoundTrips) -> None:
        """Set the measured round-trip times to other regions."""
        self._round_trips = round_trips

    def round_trip_seconds(self, zone: str) -> float:
        """Return the round-trip time to a zone, with the congestion of the path."""
        return self._uncongested_seconds(zone) + self.congestion_seconds(zone)

    def congestion_seconds(self, zone: str) -> float:
        """Return how much longer than usual a round trip to a zone takes.

        Within a region it is 0: only regions are joined by a narrow link.
        """
        if self._is_same_region(zone):
            return 0.0
        measured = self._round_trips.seconds(self._zones.get(zone, ""))
        return max(0.0, measured - self._uncongested_seconds(zone))

    def _uncongested_seconds(self, zone: str) -> float:
        if zone == self._zone:
            return 0.0
        return (
            SAME_REGION_ROUND_TRIP_SECONDS
            if self._is_same_region(zone)
            else CROSS_REGION_ROUND_TRIP_SECONDS
        )

    def transfer_cost(self, zone: str, kilobytes: float) -> float:
        """Return the billed cost of a transfer, in seconds of engine time."""
        return (
            0.0
            if zone == self._zone
            else kilobytes * TRANSFER_COST_SECONDS_PER_KILOBYTE
        )

    def _is_same_region(self, zone: str) -> bool:
        return self._zones.get(zone) == self._zones.get(self._zone)

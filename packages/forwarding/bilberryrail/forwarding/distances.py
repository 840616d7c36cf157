"""Round-trip times to availability zones and regions, measured on links."""

from typing import Final

import msgspec

from bilberryrail.core.ids import AvailabilityZoneId, RegionId
from bilberryrail.forwarding.records import Peer

#: Weight of a measurement that is longer than the known round-trip time.
#: Shorter ones replace it at once, because a long one is mostly caused by a
#: busy process and not by the network.
_RISE_WEIGHT: Final = 0.1

_ZoneKey = tuple[RegionId, AvailabilityZoneId]


class DistanceSettings(msgspec.Struct, frozen=True):
    """Round-trip times that are assumed before any is measured.

    Attributes
    ----------
    zone_s, region_s
        Round-trip time to another availability zone of the region, and to
        another region, in seconds.
    zone_cost_s
        Time that is added to the score of a target in another availability
        zone, in seconds, because traffic between zones is paid for by volume.
    """

    zone_s: float = 0.002
    region_s: float = 0.06
    zone_cost_s: float = 0.002


class Distances:
    """Estimated round-trip times from this node.

    Attributes
    ----------
    measured
        Round-trip time to each availability zone, in seconds.
    """

    def __init__(
        self,
        settings: DistanceSettings,
        zone: AvailabilityZoneId,
        region: RegionId,
    ) -> None:
        self.settings = settings
        self.own: _ZoneKey = (region, zone)
        self.measured: dict[_ZoneKey, float] = {}

    def round_trip_measured(self, peer: Peer, round_trip_s: float) -> None:
        """Learn from the measured round-trip time of a message to a node."""
        zone_key = (peer.region, peer.zone)
        known_s = self.measured.get(zone_key, round_trip_s)
        if round_trip_s > known_s:
            round_trip_s = known_s + _RISE_WEIGHT * (round_trip_s - known_s)
        self.measured[zone_key] = round_trip_s

    def round_trip_s(self, peer: Peer) -> float:
        """Return the estimated round-trip time to a node."""
        zone_key = (peer.region, peer.zone)
        if zone_key == self.own:
            return 0
        is_near = peer.region == self.own[0]
        assumed_s = self.settings.zone_s if is_near else self.settings.region_s
        return self.measured.get(zone_key, assumed_s)

    def score_s(self, peer: Peer) -> float:
        """Return the time that the distance adds to a target's score."""
        is_own = (peer.region, peer.zone) == self.own
        cost_s = 0 if is_own else self.settings.zone_cost_s
        return self.round_trip_s(peer) + cost_s

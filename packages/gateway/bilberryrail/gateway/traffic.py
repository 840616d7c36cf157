"""Counts the bytes sent to other nodes, by message class and place."""

from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any, Final

from bilberryrail.forwarding.records import Peer
from bilberryrail.gateway.metrics import Metrics
from bilberryrail.gateway.tasks import PeriodicTask

#: Interval at which the sums are reported and reset, in seconds.
REPORT_INTERVAL_S: Final = 10.0


class Place(Enum):
    """Location of the other end of a link; it determines the traffic price."""

    UNKNOWN = 'unknown'
    ZONE = 'zone'
    REGION = 'region'
    OTHER_REGION = 'other-region'


class Traffic:
    """Sums the bytes sent over links, for the log and the metrics.

    Parameters
    ----------
    own
        Returns the current announcement of this node.
    """

    def __init__(
        self,
        clock: Any,
        own: Callable[[], Peer],
        metrics: Metrics,
        log: Callable[..., None],
    ) -> None:
        self.clock = clock
        self.own = own
        self.metrics = metrics
        self.log = log
        self.sums: Counter[tuple[Place, str]] = Counter()
        self.report = PeriodicTask(clock, REPORT_INTERVAL_S, self._report, log)

    def start(self) -> None:
        """Start to report the sums periodically."""
        self.report.start()

    def sent(self, peer: Peer | None, cause: str, size: int) -> None:
        """Count the bytes of one message."""
        place = self.place_of(peer)
        self.sums[(place, cause)] += size

    def place_of(self, peer: Peer | None) -> Place:
        """Return the location of a node relative to this one."""
        if peer is None:
            return Place.UNKNOWN
        own = self.own()
        if peer.region != own.region:
            return Place.OTHER_REGION
        return Place.ZONE if peer.zone == own.zone else Place.REGION

    def _report(self) -> None:
        """Log one line per place with its sums, then reset them."""
        for place in Place:
            causes = {
                cause: size
                for (where, cause), size in self.sums.items()
                if where is place
            }
            for cause, size in causes.items():
                self.metrics.sent(place.value, cause, size)
            if causes:
                self.log('traffic', place=place.value, **causes)
        self.sums.clear()

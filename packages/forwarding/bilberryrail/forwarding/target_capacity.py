"""Whether a target can run another request, and how long it would wait."""

import math

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.records import BackendLoad, Refusal


class TargetCapacity:
    """Availability and free capacity of a target.

    Attributes
    ----------
    zone_out
        Whether operators have taken this node's availability zone out.
    leaving
        Whether this node is shutting down.
    """

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.zone_out = False
        self.leaving = False

    def refusal_reason(self, now: Seconds) -> Refusal | None:
        """Return why no new request may run here; None if one may."""
        if self.leaving:
            return Refusal.DRAINING
        if self.zone_out:
            return Refusal.ZONE_OUT
        if self.backend.rules is None or not self.backend.is_usable(now):
            return Refusal.NO_BACKEND
        return None

    def is_free(self, now: Seconds) -> bool:
        """Return whether a request can be sent to the backend server now."""
        backend = self.backend
        if backend.occupancy(now) >= backend.limit():
            return False
        if backend.statements.rate.wait_s(0, now):
            return False
        max_per_s = backend.cold_limit(now)
        return math.isinf(max_per_s) or backend.cold.has_capacity(
            max_per_s, now
        )

    def expected_wait_s(self, ahead: int, now: Seconds) -> float:
        """Estimate how long a request waits behind ``ahead`` others."""
        backend = self.backend
        limit = backend.limit()
        busy = ahead + backend.occupancy(now) + 1 - limit
        wait_s = max(
            max(0, busy) / limit * backend.expected_s(now),
            backend.statements.rate.wait_s(ahead, now),
        )
        max_per_s = backend.cold_limit(now)
        if not math.isinf(max_per_s):
            slot_at = backend.cold.next_slot_at(max_per_s, now)
            wait_s = max(wait_s, slot_at - now)
        return wait_s

    def load(self, now: Seconds, waiting: int) -> BackendLoad:
        """Return the load that is reported to other nodes.

        A target that accepts no requests reports a limit of zero.
        """
        load = self.backend.load(now, waiting)
        if self.zone_out or self.leaving:
            return BackendLoad(service_s=load.service_s)
        return load

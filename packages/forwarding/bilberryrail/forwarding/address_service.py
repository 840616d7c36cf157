"""The service that the address of a backend server belongs to."""

import math

from bilberryrail.core.ids import Seconds, ServiceId


class AddressService:
    """Remembers which service had a backend server at an address, and when.

    The platform may give the address of a backend server that has ended to one
    of another service, but only some time after the end. Until then a new
    instance at the address is of the same service.

    Parameters
    ----------
    reuse_s
        Shortest time from the end of a backend server until its address may
        belong to another service, in seconds.
    """

    def __init__(self, reuse_s: float) -> None:
        self.reuse_s = reuse_s
        self.service: ServiceId | None = None
        self.seen_at = Seconds(-math.inf)

    def seen(self, service: ServiceId, at: Seconds) -> None:
        """Record that the address belonged to a service at a time."""
        self.service = service
        self.seen_at = at

    def reassigned(self, service: ServiceId) -> None:
        """Forget the service if the platform names another one."""
        if service != self.service:
            self.service = None

    def current(self, now: Seconds) -> ServiceId | None:
        """Return the service that the address belongs to; None if unknown."""
        is_certain = now - self.seen_at < self.reuse_s
        return self.service if is_certain else None

"""Settings of the decisions about forwarded requests."""

import msgspec

from bilberryrail.core.ids import AvailabilityZoneId, NodeId, RegionId
from bilberryrail.forwarding.distances import DistanceSettings
from bilberryrail.forwarding.retry_budget import RetryBudgetSettings


class PlacementSettings(msgspec.Struct, frozen=True):
    """Choice of a target.

    Attributes
    ----------
    draws
        Targets that are compared for one request.
    slowdown_memory_s
        Time in which a report about the present speed loses its meaning.
    avoid_s
        Time for which a target that failed is avoided.
    """

    draws: int = 8
    slowdown_memory_s: float = 0.3
    avoid_s: float = 0.5


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Admission of requests at the target.

    Attributes
    ----------
    slot_share
        Share of the slots that is used; work slows down when a backend
        server is nearly full.
    queue_per_slot
        Most requests that wait for each usable slot.
    cold_factor, cold_slack
        A cold backend server may get its announced rate times the factor plus
        the slack in any second.
    health_fresh_s
        Age up to which a health check proves that a backend server is warm.
    """

    slot_share: float = 0.8
    queue_per_slot: float = 3.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    health_fresh_s: float = 0.4


class HedgeSettings(msgspec.Struct, frozen=True):
    """Second attempts of idempotent requests that take too long.

    Attributes
    ----------
    expected_factor
        Multiple of the expected time after which a request is late.
    usual_factor
        Multiple of the usual time that a second attempt needs to meet the aim.
    least_s
        Shortest time until a second attempt.
    """

    expected_factor: float = 3.0
    usual_factor: float = 1.1
    least_s: float = 0.03


class ForwardingSettings(msgspec.Struct, frozen=True):
    """Everything that the decisions of one node need to know at start."""

    node: NodeId
    zone: AvailabilityZoneId
    region: RegionId
    placement: PlacementSettings = PlacementSettings()
    distances: DistanceSettings = DistanceSettings()
    admission: AdmissionSettings = AdmissionSettings()
    hedge: HedgeSettings = HedgeSettings()
    repeats: RetryBudgetSettings = RetryBudgetSettings()

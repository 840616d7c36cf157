"""Settings of the decisions about forwarded requests."""

from typing import Annotated

import msgspec

from bilberryrail.core.ids import AvailabilityZoneId, NodeId, RegionId
from bilberryrail.forwarding.distances import DistanceSettings
from bilberryrail.forwarding.retry_budget import RetryBudgetSettings


class PlacementSettings(msgspec.Struct, frozen=True):
    """Selection of a target.

    Attributes
    ----------
    draws
        Largest number of targets that are compared for one request.
    slowdown_memory_s
        Time constant with which a report on the present speed loses its
        meaning, in seconds.
    avoid_s
        Time for which a target is avoided after a failure, in seconds.
    """

    draws: int = 8
    slowdown_memory_s: float = 0.3
    avoid_s: float = 0.5


class AddressSettings(msgspec.Struct, frozen=True):
    """Addresses of backend servers.

    Other fields are ignored, since the deploy file passes all the bounds that
    the platform states; not every deployment states each of them.

    Attributes
    ----------
    address_reuse_s
        Shortest time from the end of a backend server until its address may
        belong to one of another service, in seconds.
    """

    address_reuse_s: Annotated[float, msgspec.Meta(ge=0)] = 2.0


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Admission of requests at the target.

    Attributes
    ----------
    slot_share
        Share of the slots that is used, because a backend server that is nearly
        full slows all requests down.
    queue_per_slot
        Largest number of queued requests for each usable slot.
    cold_factor, cold_slack
        In any second, a cold backend server may receive at most its announced
        rate times the factor, plus the slack.
    health_fresh_s
        Age up to which a health check shows that a backend server is warm, in
        seconds.
    """

    slot_share: float = 0.8
    queue_per_slot: float = 3.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    health_fresh_s: float = 0.4
    address: AddressSettings = AddressSettings()


class HedgeSettings(msgspec.Struct, frozen=True):
    """Hedged requests: second attempts of slow idempotent requests.

    Attributes
    ----------
    expected_factor
        Multiple of the expected time after which an answer is overdue.
    usual_factor
        Multiple of the usual time that is reserved for a hedged request to meet
        the target latency.
    least_s
        Shortest time until a request counts as overdue, in seconds.
    """

    expected_factor: float = 3.0
    usual_factor: float = 1.1
    least_s: float = 0.03


class QuarantineSettings(msgspec.Struct, frozen=True):
    """Quarantine of requests that crash backend servers.

    Attributes
    ----------
    crashes
        Number of crashes after which a request is quarantined.
    memory_s
        Time for which a crash is remembered, in seconds.
    trial_s
        Time after the last crash until a quarantined request that was answered
        before is tried again, in seconds.
    trial_factor
        Factor by which that time grows with each trial.
    """

    crashes: Annotated[int, msgspec.Meta(ge=1)] = 3
    memory_s: Annotated[float, msgspec.Meta(gt=0)] = 600.0
    trial_s: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    trial_factor: Annotated[float, msgspec.Meta(ge=1)] = 8.0


class ForwardingSettings(msgspec.Struct, frozen=True):
    """Identity of the node and settings of all its decisions."""

    node: NodeId
    zone: AvailabilityZoneId
    region: RegionId
    placement: PlacementSettings = PlacementSettings()
    distances: DistanceSettings = DistanceSettings()
    admission: AdmissionSettings = AdmissionSettings()
    hedge: HedgeSettings = HedgeSettings()
    repeats: RetryBudgetSettings = RetryBudgetSettings()
    quarantine: QuarantineSettings = QuarantineSettings()

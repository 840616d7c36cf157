"""Settings of the engine, validated when they are read."""

from typing import Annotated

import msgspec

from bilberryrail.control.settings import (
    MAX_DURATION_S,
    NodeIdentity,
    RelaySettings,
)

_Duration = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]
_Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
_Rate = Annotated[float, msgspec.Meta(ge=0)]
_Count = Annotated[int, msgspec.Meta(ge=1)]


class RoutingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings for the choice of a target.

    Attributes
    ----------
    latency_decay_s
        Time constant with which a latency estimate falls; it rises at once.
    suspect_after_s
        Time without any message after which a target with calls in flight
        is suspected and avoided.
    suspect_backoff_s, suspect_backoff_max_s
        First and longest time for which a suspected target is avoided.
    region_distance_s
        Latency that a target in another region must save before it is
        preferred to a target in this region.
    link_bytes_per_s
        Bandwidth of the link between regions that this node may use for
        calls.
    """

    latency_decay_s: _Duration = 0.5
    suspect_after_s: _Duration = 0.3
    suspect_backoff_s: _Duration = 0.1
    suspect_backoff_max_s: _Duration = 5.0
    region_distance_s: _Duration = 0.06
    link_bytes_per_s: _Rate = 50_000


class ProbeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the probe budget and of the pool of probe replies.

    Attributes
    ----------
    share_of_calls
        Maximum number of probes for each call sent.
    probes_per_s, bytes_per_s
        Rates of the token buckets that bound probes at any call rate.
    bytes_per_probe
        Size in bytes of a probe and its reply on the wire.
    pool_size
        Replies kept for each service.
    max_age_s
        Age up to which a reply in the pool is used.
    max_uses
        Calls for which a reply in the pool is used.
    """

    share_of_calls: _Rate = 0.2
    probes_per_s: _Rate = 20.0
    bytes_per_s: _Rate = 1024.0
    bytes_per_probe: _Count = 48
    pool_size: _Count = 8
    max_age_s: _Duration = 0.1
    max_uses: _Count = 2


class AdmissionSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Settings for the admission of calls at the target.

    Attributes
    ----------
    queue_per_slot
        Maximum length of the queue for each slot of the backend server.
    latency_tolerance
        Ratio of the latency to its long-term minimum above which the
        concurrency limit is lowered.
    minimum_limit
        Lower bound of the concurrency limit.
    health_interval_s
        Interval between health checks.
    breaker_backoff_s, breaker_backoff_max_s
        First and longest time for which a backend server gets no calls after
        several calls in a row have failed.
    cancel_on_link_loss
        Whether idempotent calls of an ingress are cancelled when the link to
        it is lost.
    """

    queue_per_slot: _Rate = 4.0
    latency_tolerance: Annotated[float, msgspec.Meta(gt=1)] = 2.0
    minimum_limit: _Count = 1
    health_interval_s: _Duration = 0.25
    breaker_backoff_s: _Duration = 0.1
    breaker_backoff_max_s: _Duration = 5.0
    cancel_on_link_loss: bool = True


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings for retries and hedged requests.

    Attributes
    ----------
    max_attempts
        Maximum number of attempts of one call, including the first.
    tree_budget
        Retry budget of a whole call tree: retries and hedges together.
    budget_ratio, budget_burst
        Token bucket of this node: tokens added per call, and capacity.
    hedge_quantile
        Latency quantile after which an idempotent call is hedged.
    """

    max_attempts: _Count = 3
    tree_budget: Annotated[int, msgspec.Meta(ge=0)] = 3
    budget_ratio: _Share = 0.1
    budget_burst: _Rate = 10.0
    hedge_quantile: _Share = 0.95


class ReservationSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Settings for reservations of non-idempotent calls and kept answers.

    Attributes
    ----------
    valid_s
        Time after which an unused reservation expires.
    answer_kept_s
        Time for which the answer of a reserved call is kept.
    answer_bytes
        Maximum size in bytes of all kept answers together.
    max_reservations
        Maximum number of reservations that are remembered.
    """

    valid_s: _Duration = 120.0
    answer_kept_s: _Duration = 600.0
    answer_bytes: _Count = 4_194_304
    max_reservations: _Count = 20_000


class PauseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings for the detection of a paused process.

    Attributes
    ----------
    pause_threshold_s
        Time between two events above which the process counts as paused.
    max_staleness_s
        Length of a pause, or time without contact to the log and to peers,
        after which the view is stale.
    tick_interval_s
        Maximum interval between two events while the event loop runs.
    """

    pause_threshold_s: _Duration = 0.25
    max_staleness_s: _Duration = 3.0
    tick_interval_s: _Duration = 0.1


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the engine.

    Attributes
    ----------
    drain_quiet_s
        Time without calls after which a draining node stops. During this
        time it still answers callers and peers that do not yet know of the
        drain.
    """

    identity: NodeIdentity
    drain_quiet_s: _Duration = 0.5
    relay: RelaySettings = RelaySettings()
    routing: RoutingSettings = RoutingSettings()
    probes: ProbeSettings = ProbeSettings()
    admission: AdmissionSettings = AdmissionSettings()
    retries: RetrySettings = RetrySettings()
    reservations: ReservationSettings = ReservationSettings()
    pause: PauseSettings = PauseSettings()

"""Settings of the decisions about calls, checked when they are read."""

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
    """Choice of a target.

    Attributes
    ----------
    latency_decay_s
        Time constant with which a latency estimate falls; it rises at once.
    suspect_after_s
        Silence after which a target with calls in flight is avoided.
    suspect_backoff_s, suspect_backoff_max_s
        First and longest time for which a suspected target is avoided.
    link_bytes_per_s
        Share of the link between regions that this node may use for calls.
    """

    latency_decay_s: _Duration = 0.5
    suspect_after_s: _Duration = 0.3
    suspect_backoff_s: _Duration = 0.1
    suspect_backoff_max_s: _Duration = 5.0
    region_distance_s: _Duration = 0.06
    link_bytes_per_s: _Rate = 50_000


class ProbeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Budget and pool of probes.

    Attributes
    ----------
    share_of_calls
        Probes per call sent, at most.
    probes_per_s, bytes_per_s
        Token buckets that bound probes whatever the call rate.
    bytes_per_probe
        Size of a probe and its reply on the wire.
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
    """Admission of calls at the target.

    Attributes
    ----------
    queue_per_slot
        Length of the queue for each slot of the backend server.
    latency_tolerance
        Ratio of latency to its long-term minimum above which the limit falls.
    breaker_backoff_s, breaker_backoff_max_s
        First and longest time for which a backend server whose calls fail in
        a row gets none.
    cancel_on_link_loss
        Whether the loss of the link to an ingress cancels its idempotent
        calls.
    """

    queue_per_slot: _Rate = 4.0
    latency_tolerance: Annotated[float, msgspec.Meta(gt=1)] = 2.0
    minimum_limit: _Count = 1
    health_interval_s: _Duration = 0.25
    breaker_backoff_s: _Duration = 0.1
    breaker_backoff_max_s: _Duration = 5.0
    cancel_on_link_loss: bool = True


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Retries and hedges.

    Attributes
    ----------
    max_attempts
        Attempts of one call, the first included.
    tree_budget
        Retries and hedges that a whole call tree may spend.
    budget_ratio, budget_burst
        Token bucket of this node: tokens earned per call, and its size.
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
    """Reservations for non-idempotent calls and their kept answers."""

    valid_s: _Duration = 120.0
    answer_kept_s: _Duration = 600.0
    answer_bytes: _Count = 4_194_304
    max_reservations: _Count = 20_000


class PauseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Detection of a paused process.

    Attributes
    ----------
    pause_threshold_s
        Clock jump between two turns of the event loop that counts as a pause.
    max_staleness_s
        Pause, or time without contact to log and peers, after which the view
        is stale.
    tick_interval_s
        Interval at which the loop proves to be running.
    """

    pause_threshold_s: _Duration = 0.25
    max_staleness_s: _Duration = 3.0
    tick_interval_s: _Duration = 0.1


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything the engine needs to know at start.

    Attributes
    ----------
    drain_quiet_s
        Time without calls after which a draining node stops. Callers and
        peers that had not yet heard of the drain still get answers in it.
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

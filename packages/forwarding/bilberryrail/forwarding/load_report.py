"""What backend servers say about themselves."""

from dataclasses import dataclass

from bilberryrail.core.ids import ServiceId
from bilberryrail.forwarding.records import BackendPhase, InstanceId


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a backend server announces about itself.

    Attributes
    ----------
    born_ms
        Unix time of its start in milliseconds; zero if it is not known.
    sequence
        Grows with each heartbeat of one start.
    cold_s
        Time for which it stays cold.
    """

    instance: InstanceId
    service: ServiceId
    address: str
    phase: BackendPhase
    slots: int
    born_ms: int = 0
    sequence: int = 0
    cold_s: float = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server says about its load.

    Attributes
    ----------
    slowdown
        Duration of work now, as a multiple of the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class HealthResult:
    """Result of a health check.

    Attributes
    ----------
    instance
        Instance that answered; None if it did not name itself.
    cold_s
        Time for which it stays cold; None if it did not say.
    """

    is_healthy: bool
    instance: InstanceId | None = None
    cold_s: float | None = None
    load: LoadReport | None = None

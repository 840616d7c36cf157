"""Behaviour of a backend server: slots, service time, cold start, faults.

The model does no I/O. A cold backend server has a low concurrency limit. While
calls in flight exceed this limit, each new call takes much longer. A cold
backend server that gets full load therefore becomes too slow to be of use.
"""

import math
import random
import secrets
import zlib
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

from bilberryrail.core.records import BackendLimits

_Duration = Annotated[float, msgspec.Meta(ge=0)]

#: Service time grows with this power of the overload, which is the number of
#: calls in flight divided by the concurrency limit.
OVERLOAD_EXPONENT = 3
#: Largest payload of an answer, in bytes; the smallest has 1 byte.
MAX_PAYLOAD_BYTES = 2048
#: Random bytes in a boot id.
BOOT_BYTES = 4


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one backend server.

    Attributes
    ----------
    median_s, sigma
        Median, in seconds, and standard deviation of the logarithm of the
        log-normal service time.
    health_lag_s
        Age in seconds of the state that ``/health`` and the load header
        report.
    """

    name: str
    region: str
    port: int
    limits: BackendLimits
    seed: int = 0
    median_s: _Duration = 0.02
    sigma: _Duration = 0.4
    health_lag_s: _Duration = 0.2


class Mode(Enum):
    """How a backend server answers calls."""

    HEALTHY = 'healthy'
    SLOW = 'slow'
    FAIL_FAST = 'fail-fast'


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /faults``.

    Attributes
    ----------
    slow_factor
        Factor by which mode ``slow`` multiplies service times.
    draining
        Whether the backend server refuses every call because it drains.
    restart
        Whether the backend server restarts now: it gets a new boot id and is
        cold again.
    """

    mode: Mode = Mode.HEALTHY
    slow_factor: Annotated[float, msgspec.Meta(ge=1)] = 10.0
    draining: bool = False
    restart: bool = False


class Refusal(Enum):
    """Why a call is refused; the value is the ``error`` in the body."""

    SHED = 'no free slot'
    DRAINING = 'draining'
    FAILED = 'failing fast'


@dataclass(frozen=True, slots=True)
class Health:
    """State that a backend server reports about itself."""

    in_flight: int
    cold: bool
    draining: bool
    boot: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to one request.

    Attributes
    ----------
    checksum
        Value of ``checksum_of`` for the request and the payload; shows that
        the payload is complete and belongs to the request.
    """

    request: str
    server: str
    region: str
    payload: str
    checksum: int


def checksum_of(request: str, payload: str) -> int:
    """Return the CRC-32 of a request id together with a payload."""
    return zlib.crc32(f'{request}|{payload}'.encode())


class BackendModel:
    """State of one backend server.

    Attributes
    ----------
    executions
        Number of started calls by request id. A cancelled call counts too,
        because it may already have had its effect.
    max_in_flight_cold
        Largest number of calls in flight while the server was cold.
    max_cold_excess
        Largest number of calls in flight above the concurrency limit of that
        moment while the server was cold.
    """

    def __init__(self, settings: BackendSettings, now: float) -> None:
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.faults = Faults()
        self.executions: Counter[str] = Counter()
        self.in_flight = 0
        self.max_in_flight_cold = 0
        self.max_cold_excess = 0
        self.refused = 0
        self._boot(now)

    def apply_faults(self, faults: Faults, now: float) -> None:
        """Apply faults; restart the server cold if ``restart`` is set."""
        self.faults = faults
        if faults.restart:
            self._boot(now)

    def concurrency_limit(self, now: float) -> int:
        """Return how many calls the server can run at once without slowdown.

        The limit grows linearly from ``cold_slots`` to ``slots`` while the
        server warms up.
        """
        limits = self.settings.limits
        age = now - self.booted_at
        if age >= limits.warm_up_s:
            return limits.slots
        warmed_slots = (
            (limits.slots - limits.cold_slots) * age / limits.warm_up_s
        )
        return limits.cold_slots + math.floor(warmed_slots)

    def is_cold(self, now: float) -> bool:
        """Return whether the server is still warming up."""
        return now - self.booted_at < self.settings.limits.warm_up_s

    def start(self, request: str, now: float) -> float | Refusal:
        """Start a call; return its service time in seconds or a refusal."""
        refusal = self._refusal()
        if refusal is not None:
            self.refused += 1
            return refusal
        self.executions[request] += 1
        self.in_flight += 1
        if self.is_cold(now):
            self._record_cold_load(now)
        return self._service_time(now)

    def finish(self) -> None:
        """Free the slot of a call that has completed or was cancelled."""
        self.in_flight -= 1

    def answer(self, request: str) -> Answer:
        """Make the answer to a request; its size depends on the request id."""
        size = 1 + zlib.crc32(request.encode()) % MAX_PAYLOAD_BYTES
        payload = (request * (size // max(len(request), 1) + 1))[:size]
        return Answer(
            request=request,
            server=self.settings.name,
            region=self.settings.region,
            payload=payload,
            checksum=checksum_of(request, payload),
        )

    def health(self, now: float) -> Health:
        """Return the current state; ``BackendApp`` reports it with a lag."""
        return Health(
            in_flight=self.in_flight,
            cold=self.is_cold(now),
            draining=self.faults.draining,
            boot=self.boot,
        )

    def _boot(self, now: float) -> None:
        # Not seeded, because a restarted process must get another boot id.
        self.boot = secrets.token_hex(BOOT_BYTES)
        self.booted_at = now

    def _refusal(self) -> Refusal | None:
        if self.faults.draining:
            return Refusal.DRAINING
        if self.faults.mode is Mode.FAIL_FAST:
            return Refusal.FAILED
        if self.in_flight >= self.settings.limits.slots:
            return Refusal.SHED
        return None

    def _record_cold_load(self, now: float) -> None:
        excess = self.in_flight - self.concurrency_limit(now)
        self.max_in_flight_cold = max(self.max_in_flight_cold, self.in_flight)
        self.max_cold_excess = max(self.max_cold_excess, excess)

    def _service_time(self, now: float) -> float:
        settings = self.settings
        duration = settings.median_s * self.random.lognormvariate(
            0,
            settings.sigma,
        )
        if self.faults.mode is Mode.SLOW:
            duration *= self.faults.slow_factor
        overload = self.in_flight / self.concurrency_limit(now)
        return duration * max(overload, 1) ** OVERLOAD_EXPONENT

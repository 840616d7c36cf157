"""Behaviour of a backend server: slots, service time, cold start, faults.

The model does no I/O. A cold backend server bears few calls; each call above
that makes all later ones slower, so that full load collapses it.
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

#: Latency of a cold backend server grows with this power of its overload.
COLLAPSE_EXPONENT = 3
#: Bytes of an answer's payload at the most; the least is 1.
MAX_PAYLOAD_BYTES = 2048
BOOT_BYTES = 4


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One backend server.

    Attributes
    ----------
    median_s, sigma
        Median and spread of the log-normal service time.
    health_lag_s
        Age of what ``/health`` and load headers report.
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
    """How a backend server treats calls."""

    HEALTHY = 'healthy'
    SLOW = 'slow'
    FAIL_FAST = 'fail-fast'


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /faults``.

    Attributes
    ----------
    slow_factor
        Multiplies service times in mode ``slow``.
    restart
        Makes the backend server cold again under a new boot id.
    """

    mode: Mode = Mode.HEALTHY
    slow_factor: Annotated[float, msgspec.Meta(ge=1)] = 10.0
    draining: bool = False
    restart: bool = False


class Refusal(Enum):
    """Why a call does not start; the value is the body's ``error``."""

    SHED = 'no free slot'
    DRAINING = 'draining'
    FAILED = 'failing fast'


@dataclass(frozen=True, slots=True)
class Health:
    """What a backend server says about itself at one moment."""

    in_flight: int
    cold: bool
    draining: bool
    boot: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Whole answer to one request; see ``checksum_of``."""

    request: str
    server: str
    region: str
    payload: str
    checksum: int


def checksum_of(request: str, payload: str) -> int:
    """CRC-32 that ties a payload to its request."""
    return zlib.crc32(f'{request}|{payload}'.encode())


class BackendModel:
    """State of one backend server.

    Attributes
    ----------
    executions
        Started calls for each request id; a started call may have had its
        effect even when it was cancelled.
    max_in_flight_cold
        Most calls in flight while cold.
    max_cold_excess
        Most calls in flight above what the server bore at that moment.
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

    def switch(self, faults: Faults, now: float) -> None:
        """Switch the mode, and restart cold if asked."""
        self.faults = faults
        if faults.restart:
            self._boot(now)

    def borne(self, now: float) -> int:
        """Return how many calls the server bears at the same time now."""
        limits = self.settings.limits
        age = now - self.booted_at
        if age >= limits.warm_up_s:
            return limits.slots
        gained = (limits.slots - limits.cold_slots) * age / limits.warm_up_s
        return limits.cold_slots + math.floor(gained)

    def is_cold(self, now: float) -> bool:
        """Tell whether the server has not yet warmed up."""
        return now - self.booted_at < self.settings.limits.warm_up_s

    def start(self, request: str, now: float) -> float | Refusal:
        """Start a call; returns its service time in seconds or a refusal."""
        refusal = self._refusal()
        if refusal is not None:
            self.refused += 1
            return refusal
        self.executions[request] += 1
        self.in_flight += 1
        if self.is_cold(now):
            self._record_cold(now)
        return self._service_time(now)

    def finish(self) -> None:
        """End a call that was started, whether it completed or not."""
        self.in_flight -= 1

    def answer(self, request: str) -> Answer:
        """Make the whole answer to a request."""
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
        """State at this moment; the app reports it with a lag."""
        return Health(
            in_flight=self.in_flight,
            cold=self.is_cold(now),
            draining=self.faults.draining,
            boot=self.boot,
        )

    def _boot(self, now: float) -> None:
        # Not seeded: a restarted process must get another boot id.
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

    def _record_cold(self, now: float) -> None:
        excess = self.in_flight - self.borne(now)
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
        overload = self.in_flight / self.borne(now)
        return duration * max(overload, 1) ** COLLAPSE_EXPONENT

"""Fake backend servers: slots, service time, cold start and other faults."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from bilberryrail.bench.scheduler import Scheduler, Timer
from bilberryrail.bench.topology import SERVICE_TIME_S
from bilberryrail.core.records import BackendLimits
from bilberryrail.policy.events import BackendReport

HTTP_OK = 200
HTTP_ERROR = 500
HTTP_UNAVAILABLE = 503

#: Sigma of the lognormal service time; its p99 is about 2.9 times the mean.
SERVICE_SIGMA = 0.5
#: Response time of a backend server that fails fast, in seconds.
FAIL_FAST_S = 0.001


class Mode(Enum):
    """How a backend server behaves."""

    HEALTHY = 'healthy'
    FAIL_FAST = 'fail-fast'


@dataclass(slots=True)
class Work:
    """One call at a backend server."""

    on_done: Callable[[int], None]
    timer: Timer | None = None


@dataclass(slots=True)
class FakeBackend:
    """One backend server.

    Attributes
    ----------
    slow_factor
        Factor by which service times are multiplied.
    cold_since
        Time of the last cold start, or None when warm.
    draining
        Whether its reports say that it is draining.
    waiting, queued_work
        Numbers of the queued calls in order, and the calls by number.
    over_cold_limit
        Number of calls that exceeded the concurrency limit of the cold server
        when they were started.
    """

    scheduler: Scheduler
    limits: BackendLimits
    random: random.Random
    mode: Mode = Mode.HEALTHY
    slow_factor: float = 1.0
    cold_since: float | None = None
    boots: int = 0
    draining: bool = False
    running: dict[int, Work] = field(default_factory=dict)
    waiting: deque[int] = field(default_factory=deque)
    queued_work: dict[int, Work] = field(default_factory=dict)
    executed: int = 0
    over_cold_limit: int = 0

    def turn_cold(self) -> None:
        """Restart as a new, cold process that keeps the calls in flight."""
        self.cold_since = self.scheduler.now
        self.boots += 1

    def concurrency_limit(self) -> float:
        """Return how many calls it can run at the same time now."""
        if self.cold_since is None:
            return self.limits.slots
        age = self.scheduler.now - self.cold_since
        if age >= self.limits.warm_up_s:
            self.cold_since = None
            return self.limits.slots
        share = age / self.limits.warm_up_s
        extra = self.limits.slots - self.limits.cold_slots
        return self.limits.cold_slots + extra * share

    def report(self) -> BackendReport:
        """Return the report that a real backend server would send."""
        return BackendReport(
            in_flight=len(self.running) + len(self.waiting),
            cold=self.cold_since is not None and self.concurrency_limit() > 0,
            draining=self.draining,
            boot=f'boot-{self.boots}',
        )

    def start(self, number: int, on_done: Callable[[int], None]) -> None:
        """Start a call, or queue it if no slot is free.

        A call for which no connection is left gets HTTP status 503.
        """
        work = Work(on_done)
        if self.mode is Mode.FAIL_FAST:
            self._finish_later(number, work, FAIL_FAST_S, HTTP_ERROR)
        elif len(self.running) < self.limits.slots:
            self._run(number, work)
        elif len(self.running) + len(self.waiting) < self.limits.connections:
            self.waiting.append(number)
            self.queued_work[number] = work
        else:
            self._finish_later(number, work, FAIL_FAST_S, HTTP_UNAVAILABLE)

    def cancel(self, number: int) -> None:
        """Cancel a running or queued call."""
        work = self.running.pop(number, None)
        if work is not None and work.timer is not None:
            work.timer.cancelled = True
        if number in self.queued_work:
            self.queued_work.pop(number)
            self.waiting.remove(number)
        self._run_next()

    def _run(self, number: int, work: Work) -> None:
        self.executed += 1
        limit = self.concurrency_limit()
        in_flight = len(self.running) + 1
        if self.cold_since is not None and in_flight > int(limit):
            self.over_cold_limit += 1
        # A cold backend server that is overloaded collapses: its service time
        # grows with the square of the overload.
        overload = max(1, in_flight / limit) ** 2
        mean = SERVICE_TIME_S * self.slow_factor * overload
        time = mean * self.random.lognormvariate(
            -(SERVICE_SIGMA**2) / 2,
            SERVICE_SIGMA,
        )
        self._finish_later(number, work, time, HTTP_OK)

    def _finish_later(
        self,
        number: int,
        work: Work,
        time_s: float,
        status: int,
    ) -> None:
        self.running[number] = work
        work.timer = self.scheduler.after(
            time_s,
            lambda: self._finish(number, status),
        )

    def _finish(self, number: int, status: int) -> None:
        work = self.running.pop(number)
        self._run_next()
        work.on_done(status)

    def _run_next(self) -> None:
        if self.waiting and len(self.running) < self.limits.slots:
            number = self.waiting.popleft()
            self._run(number, self.queued_work.pop(number))

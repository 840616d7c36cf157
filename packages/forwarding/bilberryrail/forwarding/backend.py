"""State of the backend server beside a node, as its node knows it."""

import math
from typing import Final

from bilberryrail.core.ids import Seconds, ServiceId
from bilberryrail.forwarding.address_service import AddressService
from bilberryrail.forwarding.bounds import MAX_RATIO
from bilberryrail.forwarding.cold import ColdLimiter
from bilberryrail.forwarding.crash_watch import CrashWatch, RunningRequest
from bilberryrail.forwarding.load_report import (
    HealthResult,
    Heartbeat,
    LoadReport,
)
from bilberryrail.forwarding.records import (
    NO_FINGERPRINT,
    BackendLoad,
    BackendPhase,
    BackendRun,
    Fingerprint,
    InstanceId,
    RouteId,
    ServiceRules,
)
from bilberryrail.forwarding.run_statements import KnownRun, RunStatements
from bilberryrail.forwarding.service_time import (
    ErrorShare,
    ServiceTimeEstimator,
)
from bilberryrail.forwarding.settings import AdmissionSettings

#: Multiple of its expected duration after which a running request shows that
#: the backend server is slow.
_STALL_FACTOR: Final = 3.0

#: Failed health checks in a row after which a backend server is unhealthy.
_UNHEALTHY_AFTER_CHECKS: Final = 2

#: Time for which an answer shows that a backend server works although its
#: health checks fail, in seconds.
_HEALTHY_AFTER_ANSWER_S: Final = 0.5

#: Interval at which an unhealthy backend server gets one request as a trial, in
#: seconds.
_TRIAL_INTERVAL_S: Final = 0.25


class Backend:
    """State of the backend server, from heartbeats, health checks and answers.

    Attributes
    ----------
    address
        Service that the address belongs to.
    service
        Service of the present run; None if it is not certain before the first
        heartbeat.
    statements
        What its runs have stated about themselves. Those that have left get no
        new requests.
    down
        Whether it refuses connections.
    crashes
        Finds the requests that were in flight when a run ended.
    running
        Requests that are in flight, by number, oldest first.
    has_heartbeat
        Whether a heartbeat of the present run has arrived.
    failed_checks
        Failed health checks since the last successful one.
    warm_at
        Time of the last health check that showed that it is warm.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.address = AddressService(settings.address.address_reuse_s)
        self.instance: InstanceId | None = None
        self.service: ServiceId | None = None
        self.phase = BackendPhase.ABSENT
        self.slots = 0
        self.born_ms = 0
        self.sequence = -1
        self.statements = RunStatements()
        self.down = False
        self.cold = ColdLimiter()
        self.service_time = ServiceTimeEstimator()
        self.errors = ErrorShare()
        self.rules: ServiceRules | None = None
        self.running: dict[int, RunningRequest] = {}
        self.crashes = CrashWatch(self.statements, self.running)
        self.has_heartbeat = False
        self._untracked_running = 0
        self.failed_checks = 0
        self.warm_at = Seconds(-math.inf)
        self._answered_at = Seconds(-math.inf)
        self._sent_at = Seconds(-math.inf)

    def heartbeat_received(self, heartbeat: Heartbeat, now: Seconds) -> bool:
        """Apply a heartbeat; return whether it told something new.

        A delayed heartbeat of an earlier instance may arrive after another
        instance has taken over the address; it is ignored. A departure counts
        also if it is late, because a run does not take it back, and because a
        malformed sequence number would make all later heartbeats look old.
        """
        if _is_of_earlier_run(self, heartbeat):
            return False
        run = BackendRun(heartbeat.instance, heartbeat.born_ms)
        is_same = self.run is not None and run.is_same_as(self.run)
        if is_same and heartbeat.sequence <= self.sequence:
            return _apply_late_departure(self, heartbeat)
        if is_same:
            self.crashes.run_confirmed()
        else:
            self._run_started(run, now)
        self.has_heartbeat = True
        self.born_ms = heartbeat.born_ms
        self.sequence = heartbeat.sequence
        self.service = heartbeat.service
        self.slots = heartbeat.slots or self.slots
        self.phase = heartbeat.phase
        if heartbeat.phase is BackendPhase.DRAINING:
            self.instance_left(heartbeat.instance)
        elif self.statements.has_left(run):
            self.phase = BackendPhase.DRAINING
        if heartbeat.cold_s > 0:
            self.cold.turned_cold(heartbeat.cold_s, now)
        return True

    def instance_left(self, instance: InstanceId, born_ms: int = 0) -> None:
        """Send no new requests to an instance that announced its departure.

        Parameters
        ----------
        born_ms
            Start time of the run that departs, which distinguishes it from a
            later run with the same id; zero if it is not known.
        """
        if instance == self.instance:
            born_ms = self.born_ms
        self.statements.left(BackendRun(instance, born_ms))
        if instance == self.instance:
            self.phase = BackendPhase.DRAINING

    def recall(self, known: KnownRun, now: Seconds) -> None:
        """Apply what another node knows that a run has stated."""
        self.statements.recall(known, now)
        if self.run is not None and self.statements.has_left(self.run):
            self.phase = BackendPhase.DRAINING

    def health_checked(
        self,
        health: HealthResult,
        now: Seconds,
        asked_at: Seconds | None = None,
    ) -> None:
        """Apply the result of a health check.

        Parameters
        ----------
        asked_at
            Time at which the check was sent; ``now`` by default. The answer may
            have been read much later than it was written.
        """
        if health.instance and health.instance != self.instance:
            # The first heartbeat of the instance has not arrived yet.
            self._run_started(BackendRun(health.instance, self.born_ms), now)
            self.has_heartbeat = False
            self.service = self.address.current(now)
        if health.instance and self.service is not None:
            self.address.seen(
                self.service, now if asked_at is None else asked_at
            )
        if health.load is not None:
            self.load_reported(health.load, now)
        if health.cold_s is not None:
            _apply_cold_time(self, health.cold_s, now)
        if health.is_healthy or health.instance:
            self.crashes.responded(now)
        if health.is_healthy:
            self.down = False
            self.failed_checks = 0
            _use_identified_instance(self)
        else:
            self.failed_checks += 1

    @property
    def run(self) -> BackendRun | None:
        """The present run; None if no backend server is known."""
        if self.instance is None:
            return None
        return BackendRun(self.instance, self.born_ms)

    def load_reported(self, report: LoadReport, now: Seconds) -> None:
        """Apply a load report of the backend server."""
        self.service_time.load_reported(report, now)
        self.slots = report.slots or self.slots
        self._untracked_running = max(0, report.running - len(self.running))

    def connection_refused(self) -> None:
        """Record that nothing listens at the address of the backend server."""
        self.down = True
        self.crashes.run_ended(self.run)

    def request_started(
        self,
        number: int,
        route: RouteId,
        now: Seconds,
        fingerprint: Fingerprint = NO_FINGERPRINT,
    ) -> None:
        """Record a request that is sent to the backend server."""
        self.running[number] = RunningRequest(
            route, now, self.service_time.run_started(route, now), fingerprint
        )
        self.cold.request_sent(now)
        self.statements.rate.request_sent(now)
        self._sent_at = now

    def request_ended(self, number: int) -> None:
        """Remove a request that is no longer in flight."""
        self.running.pop(number, None)

    def request_answered(self, number: int, now: Seconds) -> None:
        """Learn from a successful answer.

        It has to be called before ``request_ended``.
        """
        self._answered_at = now
        self.errors.answered(now)
        request = self.running.get(number)
        if request is not None:
            self.service_time.learn(
                request.route, now - request.sent_at, now, request.start
            )

    def is_usable(self, now: Seconds) -> bool:
        """Return whether new requests may be sent at all."""
        if self.phase is not BackendPhase.READY or self.down:
            return False
        if self.failed_checks < _UNHEALTHY_AFTER_CHECKS:
            return True
        if now - self._answered_at < _HEALTHY_AFTER_ANSWER_S:
            return True
        return now - self._sent_at >= _TRIAL_INTERVAL_S

    def limit(self) -> int:
        """Return the concurrency limit."""
        limit = max(1, int(self.slots * self.settings.slot_share))
        if self.rules is not None:
            limit = min(limit, self.rules.max_connections)
        return limit

    def occupancy(self, now: Seconds) -> int:
        """Return the number of requests at the backend server.

        Requests that did not come through this node count too, while the last
        load report is fresh.
        """
        if self.service_time.is_report_fresh(now):
            return len(self.running) + self._untracked_running
        return len(self.running)

    def cold_limit(self, now: Seconds) -> float:
        """Return how many requests a second may be sent; may be infinite.

        A backend server may become cold without notice, so the limit applies
        unless a fresh health check shows that the server is warm.
        """
        is_known_warm = now - self.warm_at < self.settings.health_fresh_s
        if is_known_warm and not self.cold.is_cold(now):
            return math.inf
        if self.rules is None:
            return math.inf
        factor, slack = self.settings.cold_factor, self.settings.cold_slack
        return self.rules.cold_requests_per_s * factor + slack

    def slowdown(self, now: Seconds) -> float:
        """Return the present duration of requests relative to the usual one."""
        return max(self.service_time.slowdown(now), _stall_slowdown(self, now))

    def expected_s(self, now: Seconds, route: RouteId | None = None) -> float:
        """Return the expected time to an answer of a request sent now.

        Without a route, it is that of the usual mix of requests.
        """
        slowdown = max(
            self.service_time.slowdown(now, route), _stall_slowdown(self, now)
        )
        return self.service_time.usual_s(route) * slowdown

    def load(self, now: Seconds, waiting: int) -> BackendLoad:
        """Return the load report for other nodes."""
        return BackendLoad(
            running=self.occupancy(now),
            waiting=waiting,
            limit=self.limit() if self.is_usable(now) else 0,
            slowdown=min(round(self.slowdown(now), 2), MAX_RATIO),
            service_s=round(self.service_time.usual_s(), 4),
            error_share=round(self.errors.at(now), 3),
            memory_s=round(self.service_time.reported_slowdown.memory_s, 3),
            pause_s=round(
                self.service_time.reported_slowdown.remaining_slow_s(now), 3
            ),
            calm_slowdown=min(
                round(self.service_time.residual_slowdown(now), 2), MAX_RATIO
            ),
            rate_limit=self.statements.known_rate_limit,
            rate_credit=round(self.statements.rate.credit(waiting, now), 2),
        )

    def _run_started(self, run: BackendRun, now: Seconds) -> None:
        # The first heartbeat of an instance that a health check has identified
        # only adds the time of its start.
        if run.instance != self.instance or self.has_heartbeat:
            self.crashes.run_ended(self.run)
        self.instance = run.instance
        self.service = None
        self.born_ms = run.born_ms
        self.sequence = -1
        self.phase = BackendPhase.ABSENT
        self.warm_at = Seconds(-math.inf)
        self.failed_checks = 0
        self.statements.run_started(run, now)
        self.service_time.restart()
        self.errors = ErrorShare()


def _is_of_earlier_run(backend: Backend, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat is of a run before the present one.

    An instance that a health check has identified is present, even if it states
    an earlier start: the clock of the host may have been set back.
    """
    if backend.has_heartbeat or backend.instance is None:
        return heartbeat.born_ms < backend.born_ms
    if heartbeat.instance == backend.instance:
        return False
    return bool(backend.born_ms) and heartbeat.born_ms <= backend.born_ms


def _use_identified_instance(backend: Backend) -> None:
    """Use an instance before its first heartbeat if its service is certain."""
    run = backend.run
    if run is None or backend.has_heartbeat or backend.service is None:
        return
    if not backend.statements.has_left(run):
        backend.phase = BackendPhase.READY


def _apply_cold_time(backend: Backend, cold_s: float, now: Seconds) -> None:
    """Apply how long the backend server remains cold; zero if it is warm."""
    if cold_s > 0:
        backend.cold.turned_cold(cold_s, now)
    else:
        backend.cold.turned_warm()
        backend.warm_at = now


def _apply_late_departure(backend: Backend, heartbeat: Heartbeat) -> bool:
    """Apply a departure in a late heartbeat; return whether it is new."""
    is_new = (
        heartbeat.phase is BackendPhase.DRAINING
        and backend.phase is not BackendPhase.DRAINING
    )
    if is_new:
        backend.instance_left(heartbeat.instance)
    return is_new


def _stall_slowdown(backend: Backend, now: Seconds) -> float:
    """Return the slowdown shown by the oldest request in flight.

    Returns zero unless that request runs for much longer than expected.
    """
    if not backend.running:
        return 0
    oldest = next(iter(backend.running.values()))
    usual_s = backend.service_time.usual_s(oldest.route)
    if not usual_s:
        return 0
    ratio = (now - oldest.sent_at) / (usual_s * oldest.start.factor)
    return ratio / 2 if ratio > _STALL_FACTOR else 0

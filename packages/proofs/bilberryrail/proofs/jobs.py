"""Jobs of callers, and callers that submit a job until it is done."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

from bilberryrail.core.ids import CallId, RegionId, ServiceId, TenantId
from bilberryrail.core.load import Outcome
from bilberryrail.policy import events
from bilberryrail.proofs.deployment import HOME_TENANT

if TYPE_CHECKING:
    from bilberryrail.proofs.node import ProofNode
    from bilberryrail.proofs.world import World

#: Deadline of every call, in seconds.
DEADLINE_S = 1.0
#: Time in seconds after which a caller with a short timeout closes its
#: connection and submits again.
SHORT_TIMEOUT_S = 0.03
#: Time in seconds before a caller submits again.
BACKOFF_S = 0.05
#: Maximum number of submissions of one job, reservations included.
MAX_SUBMISSIONS = 8
#: Share of the submissions with a token that have the short timeout, as callers
#: on slow phones do.
SHORT_TIMEOUT_SHARE = 0.2


@dataclass(slots=True)
class Job:
    """A piece of work that a caller requests, for example one booking."""

    number: int
    service: ServiceId
    tenant: TenantId
    region: RegionId
    idempotent: bool
    submissions: int = 0
    outcomes: list[Outcome | None] = field(default_factory=list)


@dataclass(slots=True)
class Submission:
    """One request of a caller for a job.

    ``done`` is called at its end, with the outcome and the token that was
    granted, if any.
    """

    number: CallId
    job: Job
    done: Callable[[Outcome | None, str | None], None]
    token: str | None = None
    ingress: 'ProofNode | None' = None

    def event(self) -> events.Event:
        """Return the event by which the ingress gets the submission."""
        job = self.job
        if job.idempotent or self.token is not None:
            return events.CallArrived(
                self.number,
                job.service,
                job.tenant,
                1,
                DEADLINE_S,
                self.token,
            )
        return events.ReservationAsked(
            self.number,
            job.service,
            job.tenant,
            DEADLINE_S,
        )


class Callers:
    """Callers that submit jobs again as the design page allows.

    A booking that may have run is submitted again with the same token. A caller
    takes a new reservation only if every submission of the token was refused as
    "not run", so a false refusal would make the booking twice.
    """

    def __init__(self, world: 'World', seed: int) -> None:
        self.world = world
        self.random = random.Random(f'{seed}/callers')
        self.jobs: list[Job] = []
        #: Submissions that were granted a reservation.
        self.granted: set[int] = set()
        #: Submissions whose callers wait until they end, without a timeout.
        self.without_timeout: set[int] = set()
        self._numbers = count(1)
        sizes = world.deployment.services
        self._idempotent = {size.service: size.idempotent for size in sizes}

    def offer(self, until: float, per_s: float) -> None:
        """Schedule random arrivals from now until a given time."""
        now = self.world.scheduler.now
        while now < until:
            now += self.random.expovariate(per_s)
            self.world.scheduler.at(now, self.start_random)

    def start_random(self) -> None:
        """Start a job with a random service, tenant and region."""
        deployment = self.world.deployment
        service = self.random.choice(tuple(self._idempotent))
        tenant = self.random.choice(deployment.tenants)
        region = self.random.choice(tuple(deployment.zones.values()))
        if tenant == HOME_TENANT:
            region = deployment.home_region
        self.start(service, tenant, region)

    def start(
        self,
        service: ServiceId,
        tenant: TenantId,
        region: RegionId,
    ) -> Job:
        """Start one job."""
        number = len(self.jobs) + 1
        idempotent = self._idempotent[service]
        job = Job(number, service, tenant, region, idempotent)
        self.jobs.append(job)
        self.submit(job, None)
        return job

    def submit(self, job: Job, token: str | None) -> Submission:
        """Submit a job to a node of the caller's region."""
        job.submissions += 1
        submission = Submission(
            CallId(next(self._numbers)),
            job,
            lambda *_: None,
            token,
        )
        submission.done = lambda outcome, granted: self._continue_job(
            submission,
            outcome,
            granted,
        )
        nodes = [
            node
            for node in self.world.nodes.values()
            if node.identity.region == job.region
        ]
        self.world.submit_to(self.random.choice(nodes), submission)
        if token is not None and self.random.random() < SHORT_TIMEOUT_SHARE:
            self._after(SHORT_TIMEOUT_S, lambda: self._time_out(submission))
        return submission

    def _time_out(self, submission: Submission) -> None:
        ingress = submission.ingress
        if submission.number in self.without_timeout or ingress is None:
            return
        if submission.number not in ingress.open_calls:
            return
        self.world.abandon(submission)
        self._continue_job(submission, None, None)

    def _continue_job(
        self,
        submission: Submission,
        outcome: Outcome | None,
        granted: str | None,
    ) -> None:
        job = submission.job
        if granted is not None:
            self.granted.add(submission.number)
            job.outcomes.clear()
            self.submit(job, granted)
            return
        job.outcomes.append(outcome)
        is_finished = outcome in {Outcome.COMPLETED, Outcome.INVALID}
        if is_finished or job.idempotent or job.submissions >= MAX_SUBMISSIONS:
            return
        token = submission.token
        if set(job.outcomes) == {Outcome.NOT_RUN}:
            token = None
        self._after(BACKOFF_S, lambda: self.submit(job, token))

    def _after(self, delay_s: float, run: Callable[[], object]) -> None:
        self.world.scheduler.after(delay_s, run)

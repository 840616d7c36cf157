"""Driver of a target role with a manual clock, shared by the target tests.

Its own test guards against a driver that hides refusals from the other tests.
"""

import random
from dataclasses import replace

from bilberryrail.control.messages import Tick
from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core import records
from bilberryrail.core.load import Outcome
from bilberryrail.policy import actions, events
from bilberryrail.policy.ledger import Ledger
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.policy.target import TargetRole
from bilberryrail.policy.view import ClusterView

IDENTITY = NodeIdentity(
    node='ub1-bookings-1',
    service='bookings',
    zone='ub1',
    region='ulaanbaatar',
    host='127.0.0.1',
    port=7001,
    http_port=8001,
)
LIMITS = records.BackendLimits(slots=4, connections=9, cold_slots=1)
REPORT = events.BackendReport(
    in_flight=0,
    cold=False,
    draining=False,
    boot='boot-1',
)
FINAL = (actions.SendAnswer, actions.SendKeptAnswer, actions.SendRefusal)


def make_state(
    limits=LIMITS,
    *,
    idempotent=True,
    out=False,
    tenants=(),
) -> records.ClusterState:
    service = records.ServiceConfig(
        service='bookings',
        idempotent=idempotent,
        regions=('ulaanbaatar', 'darkhan'),
        limits=limits,
    )
    known = (records.TenantConfig('club'), *tenants)
    zone = records.AvailabilityZoneConfig('ub1', 'ulaanbaatar', out=out)
    return records.ClusterState(
        services={'bookings': service},
        tenants={tenant.tenant: tenant for tenant in known},
        zones={'ub1': zone},
    )


class Driver:
    """A target role, its clock, and the messages it has sent."""

    def __init__(self, state=None, settings=None, *, warm=True) -> None:
        self.settings = settings or EngineSettings(identity=IDENTITY)
        self.now = 1000.0
        self.ledger = Ledger()
        self.attempts = 0
        self.sent = []
        self.set_state(state or make_state())
        self.role = TargetRole(
            self.settings,
            self.ledger,
            random.Random(1),
            incarnation=77,
        )
        self.handle(Tick())
        if warm:
            self.role.dispatcher.backend.ramp.answers = 10_000
            self.now += 100
            self.handle(Tick())

    def set_state(self, state) -> None:
        self.view = ClusterView(state, IDENTITY, {}, frozenset())

    def handle(self, event):
        self.last = self.role.handle(event, self.now, self.view)
        self.sent += self.last
        return self.last

    def attempt(self, **fields):
        """Send an attempt and return its id."""
        self.attempts += 1
        limits = events.CallLimits(
            remaining_s=fields.pop('remaining_s', 1.0),
            retry_budget=2,
            home_regions=fields.pop('home_regions', ()),
        )
        attempt = events.AttemptReceived(
            peer='ub2-bookings-1',
            attempt=self.attempts,
            service='bookings',
            tenant='club',
            limits=limits,
            size=10,
        )
        self.handle(replace(attempt, **fields))
        return self.attempts

    def token(self, **fields):
        """Ask for a reservation and return its token."""
        request = events.ReservationReceived(
            peer='ub2-bookings-1',
            attempt=-1,
            service='bookings',
            tenant='club',
            limits=events.CallLimits(remaining_s=1.0, retry_budget=0),
        )
        self.handle(replace(request, **fields))
        issued = self.of(actions.SendToken)
        return issued[0].token if issued else None

    def answer(self, dispatch, *, status=200, size=5, report=None):
        answered = events.BackendAnswered(dispatch, status, size, report)
        return self.handle(answered)

    def fail(self, dispatch, *, started=True):
        failed = events.BackendFailed(dispatch, started, 'connection lost')
        return self.handle(failed)

    def cancel(self, attempt):
        return self.handle(events.CancelReceived('ub2-bookings-1', attempt))

    def of(self, kind):
        """Return the last actions of one kind."""
        return [action for action in self.last if isinstance(action, kind)]

    def refusals(self):
        """Return attempt, outcome and reason of the last refusals."""
        return [
            (refusal.attempt, refusal.outcome.value, refusal.reason.value)
            for refusal in self.of(actions.SendRefusal)
        ]

    def dispatch(self):
        """Return the id of the only call dispatched last."""
        dispatched = self.of(actions.Dispatch)
        assert len(dispatched) == 1
        return dispatched[0].dispatch


def test_driver_reports_each_final_message():
    """Guards against a driver that loses refusals."""
    driver = Driver()
    attempt = driver.attempt(remaining_s=0)
    assert driver.refusals() == [(attempt, Outcome.NOT_RUN.value, 'deadline')]

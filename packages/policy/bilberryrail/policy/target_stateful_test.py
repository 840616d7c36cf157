"""Guards against admission rules that fail for some order of events."""

from collections import Counter
from dataclasses import replace

from hypothesis import settings as profile
from hypothesis import stateful
from hypothesis import strategies as st

from bilberryrail.control.messages import DrainRequested, LinkDown, Tick
from bilberryrail.core.load import Outcome
from bilberryrail.core.records import TenantConfig
from bilberryrail.policy import actions, events
from bilberryrail.policy import target_harness_test as harness
from bilberryrail.policy.settings import EngineSettings, ReservationSettings

_profile = profile(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
_index = st.integers(0, 9)


def _has_running(machine):
    return bool(machine.running)


def _has_attempts(machine):
    return machine.driver.attempts > 0


def _has_tokens(machine):
    return bool(machine.tokens)


class _Machine(stateful.RuleBasedStateMachine):
    """Rules and checks shared by both state machines."""

    idempotent = True

    def __init__(self) -> None:
        super().__init__()
        settings = EngineSettings(
            identity=harness.IDENTITY,
            reservations=ReservationSettings(
                valid_s=2,
                answer_kept_s=2,
                answer_bytes=25,
                max_reservations=4,
            ),
        )
        self.state = self.make_state()
        self.driver = harness.Driver(self.state, settings)
        self.running = {}
        self.started = Counter()
        self.finals = Counter()
        self.cancelled = set()

    def make_state(self, *, out=False):
        return harness.make_state(
            idempotent=self.idempotent,
            out=out,
            tenants=(TenantConfig('school', weight=2),),
        )

    def check(self):
        """Track the last actions and check the invariants."""
        for action in self.driver.last:
            match action:
                case actions.Dispatch():
                    self.running[action.dispatch] = action.attempt
                    self.on_dispatch(action)
                    limit = self.driver.role.load(self.driver.now).limit
                    assert len(self.running) <= limit <= harness.LIMITS.slots
                case _ if isinstance(action, harness.FINAL):
                    self.finals[action.attempt] += 1
                    self.on_final(action)

    def on_dispatch(self, action):
        """Check a dispatch."""

    def on_final(self, action):
        """Check an answer or refusal."""

    def pick(self, index):
        return sorted(self.running)[index % len(self.running)]

    @stateful.precondition(_has_running)
    @stateful.rule(index=_index, status=st.sampled_from([200, 500, 503]))
    def answer(self, index, status):
        dispatch = self.pick(index)
        self.running.pop(dispatch)
        self.driver.answer(dispatch, status=status, size=10)
        self.check()

    @stateful.precondition(_has_running)
    @stateful.rule(index=_index, started=st.booleans())
    def fail(self, index, started):
        dispatch = self.pick(index)
        attempt = self.running.pop(dispatch)
        self.started[attempt] += started
        self.driver.fail(dispatch, started=started)
        self.check()

    @stateful.precondition(_has_attempts)
    @stateful.rule(index=_index)
    def cancel(self, index):
        attempt = self.driver.attempts - index % self.driver.attempts
        self.cancelled.add(attempt)
        self.driver.cancel(attempt)
        self.check()

    @stateful.rule(
        healthy=st.booleans(),
        boot=st.sampled_from(['boot-1', 'boot-1', 'boot-2']),
    )
    def health(self, healthy, boot):
        report = replace(harness.REPORT, boot=boot) if healthy else None
        self.driver.handle(events.BackendHealth(report))
        self.check()

    @stateful.rule(elapsed=st.sampled_from([0.001, 0.05, 0.6, 3]))
    def wait(self, elapsed):
        self.driver.now += elapsed
        self.driver.handle(Tick())
        self.check()

    @stateful.rule(out=st.booleans())
    def zone(self, out):
        self.driver.set_state(self.make_state(out=out))
        self.driver.handle(Tick())
        self.check()

    @stateful.rule()
    def link_down(self):
        self.cancelled.update(range(self.driver.attempts + 1))
        self.driver.handle(LinkDown('ub2-bookings-1', 'reset'))
        self.check()

    def teardown(self):
        """Let all calls end, then check that each got one answer or refusal."""
        self.driver.set_state(self.state)
        self.driver.now += 100
        self.driver.handle(Tick())
        self.check()
        while self.running:
            self.answer(0, 200)
        assert self.driver.role.idle
        for attempt in range(1, self.driver.attempts + 1):
            sent = self.finals[attempt]
            assert sent == 1 or (sent == 0 and attempt in self.cancelled)


class AdmissionMachine(_Machine):
    """Idempotent calls of two tenants."""

    def on_final(self, action):
        if getattr(action, 'outcome', None) is Outcome.NOT_RUN:
            assert action.attempt not in self.running.values()
            assert not self.started[action.attempt]

    @stateful.rule(
        remaining_s=st.sampled_from([0, 0.01, 0.5, 5]),
        tenant=st.sampled_from(['club', 'school']),
    )
    def attempt(self, remaining_s, tenant):
        self.driver.attempt(remaining_s=remaining_s, tenant=tenant)
        self.check()


class ReservationMachine(_Machine):
    """Any number of submissions of a few tokens."""

    idempotent = False

    def __init__(self) -> None:
        super().__init__()
        self.tokens = []
        self.token_of = {}
        self.may_have_run = Counter()
        self.refused_up_to = Counter()

    def on_dispatch(self, action):
        token = self.token_of[action.attempt]
        self.may_have_run[token] += 1
        assert self.may_have_run[token] == 1
        # After "not run", the call may run only if the caller submits the
        # token again.
        assert action.attempt > self.refused_up_to[token]

    def on_final(self, action):
        token = self.token_of.get(action.attempt)
        if getattr(action, 'outcome', None) is Outcome.NOT_RUN:
            assert not self.may_have_run[token]
            self.refused_up_to[token] = self.driver.attempts

    @stateful.precondition(_has_running)
    @stateful.rule(index=_index)
    def fail_before_start(self, index):
        dispatch = self.pick(index)
        attempt = self.running.pop(dispatch)
        self.may_have_run[self.token_of[attempt]] -= 1
        self.driver.fail(dispatch, started=False)
        self.check()

    @stateful.precondition(_has_running)
    @stateful.rule(index=_index)
    def fail(self, index):
        self.driver.fail(self.pick(index), started=True)
        self.running.pop(self.pick(index))
        self.check()

    @stateful.rule()
    def reserve(self):
        token = self.driver.token()
        if token is not None:
            self.tokens.append(token)
        self.check()

    @stateful.precondition(_has_tokens)
    @stateful.rule(index=_index, remaining_s=st.sampled_from([0, 0.5, 5]))
    def submit(self, index, remaining_s):
        token = self.tokens[-1 - index % len(self.tokens)]
        self.token_of[self.driver.attempts + 1] = token
        self.driver.attempt(token=token, remaining_s=remaining_s)
        self.check()

    @stateful.rule(index=_index)
    def drain(self, index):
        if index == 0:
            self.driver.handle(DrainRequested())
            self.check()


AdmissionTest = AdmissionMachine.TestCase
AdmissionTest.settings = _profile
ReservationTest = ReservationMachine.TestCase
ReservationTest.settings = _profile

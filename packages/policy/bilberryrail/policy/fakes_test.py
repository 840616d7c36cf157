"""A small cluster, a fake ledger and a driver shared by the ingress tests."""

from dataclasses import dataclass, field, replace
from random import Random

from result import Ok
from twisted.internet.task import Clock

from bilberryrail.control.messages import LinkUp, LogEvent, OpenLink, Tick
from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import NO_OFFSET, NodeId
from bilberryrail.core.load import LoadReport, Outcome, Reason
from bilberryrail.core.records import (
    Announcement,
    BackendLimits,
    ClusterState,
    Member,
    ServiceConfig,
    TenantConfig,
)
from bilberryrail.policy import actions, events
from bilberryrail.policy.ingress import IngressRole
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.policy.view import ClusterView

NODE = NodeId('south0')
REGIONS = ('south', 'north')
IDLE = LoadReport(in_flight=0, limit=10, queued=0, latency_s=0.002)
SETTINGS = EngineSettings(
    identity=NodeIdentity(
        node=NODE,
        service='lookup',
        zone='south1',
        region='south',
        host='127.0.0.1',
        port=1,
        http_port=2,
    ),
)


def member(number: int, service: str, region: str) -> Member:
    return Member(
        node=NodeId(f'{region}{number}'),
        incarnation=number,
        service=service,
        zone=f'{region}1',
        region=region,
        host='127.0.0.1',
        port=1 + number,
        http_port=2,
    )


def make_view(local: int = 3, remote: int = 2) -> ClusterView:
    """Return a view with lookup nodes in two regions and two booking nodes."""
    members = [
        member(number, 'lookup', region)
        for region, count in (('south', local), ('north', remote))
        for number in range(1, count + 1)
    ]
    members += [member(number, 'booking', 'south') for number in (50, 51)]
    limits = BackendLimits(slots=10, connections=100)
    return ClusterView(
        ClusterState(
            services={
                name: ServiceConfig(name, name == 'lookup', REGIONS, limits)
                for name in ('lookup', 'booking')
            },
            tenants={
                'free': TenantConfig('free'),
                'south-only': TenantConfig('south-only', 1, ('south',)),
                'north-only': TenantConfig('north-only', 1, ('north',)),
                'both': TenantConfig('both', 1, REGIONS),
            },
            members={
                found.node: Announcement(found, NO_OFFSET) for found in members
            },
        ),
        SETTINGS.identity,
        {},
        frozenset(),
    )


class FakeLedger:
    """Limits of dispatches, as the target would keep them."""

    def __init__(self):
        self.limits = {}
        self.attached = {}

    def context(self, dispatch, now):
        return self.limits.get(dispatch)

    def attach(self, dispatch, call):
        self.attached[call] = dispatch

    def detach(self, call):
        self.attached.pop(call)

    def spend(self, dispatch, count):
        limits = self.limits.get(dispatch)
        if limits is None or limits.retry_budget < count:
            return False
        left = limits.retry_budget - count
        self.limits[dispatch] = replace(limits, retry_budget=left)
        return True


@dataclass
class Rig:
    """Drives an ingress on a paused clock and collects its actions."""

    view: ClusterView = field(default_factory=make_view)
    settings: EngineSettings = SETTINGS
    auto_link: bool = True
    seed: int = 1
    seen: list = field(default_factory=list)
    calls: int = 0

    def __post_init__(self):
        self.clock = Clock()
        self.clock.advance(100)
        self.ledger = FakeLedger()
        self.role = IngressRole(
            self.settings,
            Random(self.seed),
            self.ledger,
            lambda token: Ok(NodeId(token)),
        )

    def feed(self, event):
        """Handle an event; with ``auto_link``, open requested links at once."""
        done = self.role.handle(event, self.clock.seconds(), self.view)
        self.seen.extend(done)
        for action in done:
            if isinstance(action, OpenLink) and self.auto_link:
                self.feed(LinkUp(self.view.member(action.peer)))
        return done

    def arrive(self, service='lookup', tenant='free', **fields):
        """Let a call arrive and return its id."""
        self.calls += 1
        self.feed(
            events.CallArrived(self.calls, service, tenant, 100, **fields),
        )
        return self.calls

    def wait(self, seconds):
        """Advance the clock in steps, with a tick after each."""
        for _ in range(max(1, round(seconds / 0.02))):
            self.clock.advance(0.02)
            self.feed(Tick())

    def answer(self, sent, status=200):
        self.feed(
            events.AnswerReceived(sent.peer, sent.attempt, status, 10, IDLE),
        )

    def refuse(self, sent, outcome, reason=Reason.OVERLOADED, load=IDLE):
        self.feed(
            events.RefusalReceived(
                sent.peer,
                sent.attempt,
                outcome,
                reason,
                0.25,
                load,
            ),
        )

    def of_type(self, *kinds):
        return [action for action in self.seen if isinstance(action, kinds)]

    @property
    def sent(self):
        return self.of_type(actions.SendAttempt)

    @property
    def ends(self):
        return self.of_type(
            actions.CompleteCall,
            actions.RejectCall,
            actions.GrantReservation,
        )

    @property
    def routes(self):
        return [
            action.fields
            for action in self.of_type(LogEvent)
            if action.name == 'route'
        ]

    def assert_ended(self, outcome: Outcome, reason: Reason):
        """Assert that exactly one call has ended, with this outcome."""
        assert [(end.outcome, end.reason) for end in self.ends] == [
            (outcome, reason),
        ]

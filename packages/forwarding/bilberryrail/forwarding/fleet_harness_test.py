"""Several nodes of one service on a fake clock, for tests of their sum."""

import itertools
from collections import Counter
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from random import Random

from twisted.internet.task import Clock

from bilberryrail.core.ids import NodeId, Seconds, ServiceId
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.crash_ledger import CrashLedger
from bilberryrail.forwarding.exchanges import Exchange
from bilberryrail.forwarding.fingerprint import fingerprint_of
from bilberryrail.forwarding.fixtures_test import (
    BOARD,
    RULES,
    SETTINGS,
    peer,
    request,
    route,
)
from bilberryrail.forwarding.ingress import Ingress
from bilberryrail.forwarding.load_report import (
    HealthResult,
    Heartbeat,
    Notice,
    NoticeSource,
)
from bilberryrail.forwarding.quarantine import (
    Quarantine,
    choose_trial_owner,
)
from bilberryrail.forwarding.records import (
    BackendPhase,
    ConfigVersion,
    Failure,
    HttpAnswer,
    InstanceId,
    Refusal,
)
from bilberryrail.forwarding.selection import CandidateTable
from bilberryrail.forwarding.target import Target

#: Service from which all requests come.
DESK = ServiceId('desk')

MS_PER_S = 1000

#: Delay of each message between nodes, in seconds.
HOP_S = 0.001
HEALTH_CHECK_S = 0.2
STEP_S = 0.005


#: Time from the start of a request that crashes its backend server to the crash,
#: and from the crash until the server is back, in seconds.
CRASH_AFTER_S = 0.04
RESTART_S = 3.0
#: Start of the bodies of requests that crash each backend server that runs them.
CRASHING = b'crash'


class BackendServer:
    """A backend server that states a notice in each answer.

    Attributes
    ----------
    arrivals
        Time and ingress node of each request that it got.
    bodies
        Time and body of each request that it got.
    crashes
        Time of each crash, and the bodies of the requests in flight.
    """

    def __init__(self, clock, name, *, slots=18, work_s=0.16):
        self.clock = clock
        self.instance = InstanceId(f'i-{name}')
        self.slots = slots
        self.work_s = work_s
        self.born_ms = 100
        self.notice = Notice()
        self.is_up = True
        self.arrivals = []
        self.bodies = []
        self.crashes = []

    def restart(self):
        """Start again as another instance."""
        self.is_up = True
        self.born_ms += 1
        self.instance = InstanceId(f'{self.instance}+')


class TargetNode:
    """The target role of one node, with the port that it needs."""

    def __init__(self, fleet, name, server):
        self.fleet = fleet
        self.name = name
        self.server = server
        self.started_ms = int(fleet.clock.seconds() * 1000)
        self.is_running = True
        self.backend = Backend(SETTINGS.admission)
        self.backend.rules = RULES
        self.ledger = CrashLedger(SETTINGS.quarantine, fleet.wall_ms)
        self.quarantine = Quarantine(self.ledger)
        self.quarantine.on_cleared = partial(fleet.clear, name)
        self.target = Target(
            SETTINGS, fleet.clock, self.backend, self, self.quarantine
        )
        self.crashes = ()
        self.backend.crashes.on_crashed = self.report_crash
        self.target.on_notice = lambda *_: fleet.announce(self)
        self.send_heartbeat()
        self.check_health()

    def send_heartbeat(self):
        """Let the backend server announce its present run."""
        self.backend.heartbeat_received(
            Heartbeat(
                instance=self.server.instance,
                service=BOARD,
                address='10.0.0.1:80',
                phase=BackendPhase.READY,
                slots=self.server.slots,
                born_ms=self.server.born_ms,
                sequence=1,
            ),
            self.fleet.now(),
        )

    def check_health(self):
        """Report a warm backend server; its health checks state no notice."""
        if not self.is_running:
            return
        is_healthy = self.server.is_up
        if not is_healthy:
            self.backend.connection_refused()
        self.backend.health_checked(
            HealthResult(
                is_healthy=is_healthy, cold_s=0.0 if is_healthy else None
            ),
            self.fleet.now(),
        )

    def dispatch(self, work, instance):
        now = self.fleet.now()
        if not self.server.is_up:
            self.target.not_run(work, Refusal.CONNECT_FAILED)
            return
        body = work.message.request.body
        self.server.arrivals.append((now, work.origin.node))
        self.server.bodies.append((now, body))
        run = self.server.instance
        if body.startswith(CRASHING):
            self.fleet.clock.callLater(CRASH_AFTER_S, self.crash, run)
        else:
            self.fleet.clock.callLater(
                self.server.work_s, self.finish, work, run
            )

    def crash(self, run):
        """End a run of the backend server; it is back later."""
        if self.server.instance != run or not self.server.is_up:
            return
        self.server.is_up = False
        bodies = [
            work.message.request.body for work in self.target.in_flight.values()
        ]
        self.server.crashes.append((self.fleet.now(), bodies))
        self.fleet.clock.callLater(RESTART_S, self.restart)
        for work in tuple(self.target.in_flight.values()):
            self.target.failed(work, Failure.RESET)

    def report_crash(self, run, suspects):
        """Announce a crash, and remember it."""
        record = self.quarantine.make_record(run, suspects)
        self.crashes = (*self.crashes, record)
        self.ledger.merge(self.crashes)
        self.fleet.announce(self)

    def restart(self):
        self.server.restart()
        if self.is_running:
            self.send_heartbeat()
            self.fleet.announce(self)

    def finish(self, work, run):
        is_same_run = self.server.is_up and self.server.instance == run
        if not is_same_run:
            return
        if self.is_running and work.number in self.target.in_flight:
            self.target.notice_received(
                self.server.notice, work.run, NoticeSource.ANSWER
            )
            answer = HttpAnswer(HTTPStatus.OK, (), b'ok')
            self.target.answered(work, answer)

    def abort(self, work):
        """Do nothing: the backend server finishes its work."""

    def reply(self, node, reply):
        self.fleet.clock.callLater(
            HOP_S, self.fleet.deliver, self, NodeId(node), reply
        )


class Fleet:
    """Ingress nodes and target nodes of one service.

    Attributes
    ----------
    statuses
        Number of answers to clients by status.
    harmless_statuses
        The same for requests that crash no backend server.
    refused_after_s
        Time after which each refused request was refused, in seconds.
    """

    def __init__(self, ingresses, targets, **server_terms):
        self.clock = Clock()
        self.clock.advance(1000)
        self.random = Random(5)
        self.statuses = Counter()
        self.harmless_statuses = Counter()
        self.refused_after_s = []
        self.request_ids = itertools.count(1)
        self.targets = {}
        for name in targets:
            server = BackendServer(self.clock, name, **server_terms)
            self.targets[name] = TargetNode(self, name, server)
        self.ingresses = {one: self.make_ingress(one) for one in ingresses}
        self.next_check_at = self.clock.seconds()

    def now(self):
        return Seconds(self.clock.seconds())

    def wall_ms(self):
        return int(self.clock.seconds() * MS_PER_S)

    def server(self, name):
        return self.targets[name].server

    def announce(self, node):
        """Announce a target node to all ingress nodes."""
        announced = replace(
            peer(
                node.name, started_ms=node.started_ms, phase=node.backend.phase
            ),
            born_ms=node.server.born_ms,
            crashes=node.crashes,
        )
        self.clock.callLater(HOP_S, self.learn, announced)
        for ingress in self.ingresses.values():
            known = ingress.candidates.by_node
            others = [
                one.peer for key, one in known.items() if key != node.name
            ]
            ingress.candidates.runs.announced(announced)
            ingress.candidates.update([*others, announced])

    def learn(self, announced):
        """Let all nodes learn of crashes and of answers since."""
        for ledger in self.ledgers():
            ledger.merge(announced.crashes, announced.clearances)
        for node in self.targets.values():
            node.target.process_queue()

    def ledgers(self):
        """Return what the nodes know of crashes."""
        ingresses = self.ingresses.values()
        return [
            *(one.quarantine.ledger for one in ingresses),
            *(node.ledger for node in self.targets.values()),
        ]

    def clear(self, name, clearance):
        """Announce that a suspected request of a node was answered."""
        announced = replace(peer(name), clearances=(clearance,))
        self.clock.callLater(HOP_S, self.learn, announced)

    def stop(self, name):
        """End the process of a target node; its backend server goes on."""
        self.targets[name].is_running = False
        for ingress in self.ingresses.values():
            ingress.candidates.mark_unreachable(name)
            ingress.link_lost(name)

    def start(self, name):
        """Start a process beside the same backend server, and link it."""
        node = TargetNode(self, name, self.server(name))
        self.targets[name] = node
        self.announce(node)
        for ingress in self.ingresses.values():
            known = ingress.candidates.runs.by_node.get(name)
            if known is not None:
                node.backend.recall(known, self.now())
            ingress.candidates.mark_reachable(name)

    def make_ingress(self, name):
        candidates = CandidateTable(SETTINGS, self.random)
        candidates.update([peer(target) for target in self.targets])
        links = OutgoingLinks(self, name)
        quarantine = Quarantine(CrashLedger(SETTINGS.quarantine, self.wall_ms))
        quarantine.on_cleared = partial(self.clear, name)
        quarantine.is_trial_owner = lambda found: (
            choose_trial_owner(found, self.ingresses) == name
        )
        return Ingress(
            SETTINGS, self.clock, self.random, candidates, links, quarantine
        )

    def arrive(self, name, body=b'', **terms):
        """Let a client send a request to an ingress node."""
        found = route(**({'timeout_s': 4.0} | terms))
        now = self.now()
        sent = request(body)
        exchange = Exchange(
            request=sent,
            request_id=f'q{next(self.request_ids)}',
            route=found,
            service=BOARD,
            version=ConfigVersion(1),
            arrived_at=now,
            expires_at=Seconds(now + found.timeout_s),
            respond=partial(self.count_answer, now, body),
            fingerprint=fingerprint_of(sent, DESK),
        )
        self.ingresses[name].serve(exchange)

    def count_answer(self, arrived_at, body, answer):
        self.statuses[int(answer.status)] += 1
        if not body.startswith(CRASHING):
            self.harmless_statuses[int(answer.status)] += 1
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.refused_after_s.append(self.now() - arrived_at)

    def run(self, duration_s, per_s=0.0):
        """Advance time; clients of each ingress send ``per_s`` requests."""
        ends_at = self.clock.seconds() + duration_s
        due = 0.0
        while self.clock.seconds() < ends_at:
            self.clock.advance(STEP_S)
            if self.clock.seconds() >= self.next_check_at:
                self.next_check_at += HEALTH_CHECK_S
                for node in self.targets.values():
                    node.check_health()
            due += per_s * STEP_S
            while due >= 1:
                due -= 1
                for name in self.ingresses:
                    self.arrive(name)

    def deliver(self, sender, node, reply):
        """Deliver an outcome, unless its sender has ended meanwhile."""
        if not sender.is_running:
            return
        ingress = self.ingresses[node]
        match reply:
            case messages.Answered():
                ingress.answered(sender.name, reply)
            case messages.Refused():
                ingress.refused(sender.name, reply)
            case messages.Failed():
                ingress.failed(sender.name, reply)


class OutgoingLinks:
    """Links of one ingress node to all targets."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = NodeId(name)

    def send(self, node, message):
        self.fleet.clock.callLater(HOP_S, self.deliver, node, message)

    def deliver(self, node, message):
        target = self.fleet.targets[node].target
        if not self.fleet.targets[node].is_running:
            return
        match message:
            case messages.Forward():
                target.offer(self.name, message)
            case messages.Cancel(attempt=attempt):
                target.cancel(self.name, attempt)


def most_in_window(times, window_s, since=0.0):
    """Return the largest number of times in any window that starts later."""
    recent = sorted(at for at in times if at >= since)
    in_window = partial(_count_from, recent, window_s)
    return max(map(in_window, recent), default=0)


def _count_from(times, window_s, start):
    return sum(start <= at < start + window_s for at in times)

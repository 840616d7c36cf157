"""Builds the parts of the process, connects them, starts and stops them."""

import time
from collections.abc import Callable
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, Final

from twisted.internet.defer import Deferred

from bilberryrail.core.ids import Incarnation, NodeId, Seconds
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.ingress import Exchange, Ingress
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.messages import Message
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import (
    BackendLoad,
    BackendPhase,
    ClientLimits,
    InstanceId,
    Peer,
    Refusal,
)
from bilberryrail.forwarding.routes import SplitChooser
from bilberryrail.forwarding.selection import CandidateBook
from bilberryrail.forwarding.target import Reply, Target
from bilberryrail.forwarding.work_queue import Work
from bilberryrail.gateway.backend_pool import BackendPool
from bilberryrail.gateway.control import ControlHandler, ReadyHandler
from bilberryrail.gateway.dialect import Dialect
from bilberryrail.gateway.event_log import EventLog
from bilberryrail.gateway.follower import StoreFollower
from bilberryrail.gateway.frontend import Frontend
from bilberryrail.gateway.gossip import Gossip
from bilberryrail.gateway.health_checker import HealthChecker
from bilberryrail.gateway.http_server import HttpServer
from bilberryrail.gateway.links import Link, Links
from bilberryrail.gateway.metrics import Metrics, MetricsHandler
from bilberryrail.gateway.settings import (
    GatewaySettings,
    parse_address,
    read_settings,
)
from bilberryrail.gateway.shutdown import Shutdown
from bilberryrail.gateway.store import Store

#: Connections that wait to be accepted; a burst of clients arrives at once.
BACKLOG: Final = 1024

#: Interval at which the settings file is looked at; it may change without a
#: signal.
SETTINGS_CHECK_S: Final = 1.0

_INCARNATION_BITS: Final = 62
_MS_PER_S: Final = 1000


class GatewayProcess:
    """All parts of a running process.

    Parameters
    ----------
    on_stopped
        Called when everything is closed.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        settings_path: Path,
        reactor: Any,
        dialect: Dialect,
        make_store: Callable[..., Store],
        log: EventLog,
        on_stopped: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.reactor = reactor
        self.dialect = dialect
        self.log = log
        self.random = Random(SystemRandom().getrandbits(64))
        self.metrics = Metrics()
        self.operators = OperatorState()
        forwarding = settings.forwarding
        self.membership = Membership(self._first_announcement())
        self.book = CandidateBook(forwarding, self.random)
        self.backend = Backend(forwarding.admission)
        self.links = Links(reactor, settings.node, self, log.process)
        self.target = Target(forwarding, reactor, self.backend, self)
        self.ingress = Ingress(
            forwarding, reactor, self.random, self.book, self
        )
        self.pool = BackendPool(
            reactor,
            dialect,
            parse_address(settings.backend),
            log.process,
            ClientLimits().body_bytes,
        )
        self.pool.target = self.target
        self.health = HealthChecker(
            reactor,
            dialect,
            parse_address(settings.backend),
            self.target,
            log.process,
        )
        self.health.on_checked = self._backend_checked
        self.frontend = Frontend(
            reactor,
            dialect,
            self.operators,
            self.ingress,
            SplitChooser(self.random),
            log.process,
        )
        self.frontend.caller = settings.service
        self.ready = ReadyHandler(self)
        self.control = ControlHandler(self)
        self.client_server = HttpServer(reactor, self.frontend, log.process)
        store = make_store(reactor, parse_address(settings.store), log.process)
        self.follower = StoreFollower(
            reactor,
            self.random,
            store,
            self.operators,
            self.membership,
            self.metrics,
            log.process,
        )
        self.follower.on_operators = self._operators_changed
        self.follower.on_peers = self.learn
        self.gossip = Gossip(self)
        self.shutdown = Shutdown(self, on_stopped)
        self._settings_seen = self._settings_stamp()
        self.target.on_decision = self._target_decided
        self.ingress.on_decision = self._ingress_decided
        self.ingress.on_finished = self._finished

    @property
    def is_ready(self) -> bool:
        """Whether clients may be sent here."""
        return (
            self.operators.config is not None and not self.shutdown.is_started
        )

    def start(self) -> None:
        """Open all servers, then look for the store and the other nodes."""
        listen = self.settings.listen
        self._listen(listen.links, self.links.acceptor)
        self._listen(listen.clients, self.client_server)
        for address, handler in (
            (listen.ready, self.ready),
            (listen.control, self.control),
            (listen.metrics, MetricsHandler(self.metrics)),
        ):
            server = HttpServer(self.reactor, handler, self.log.process)
            self._listen(address, server)
        self.log.process(
            'start',
            incarnation=self.membership.own.incarnation,
            service=self.settings.service,
            zone=self.settings.zone,
        )
        self._members_changed()
        self.follower.start()
        self.health.start()
        self.gossip.start()
        self.reactor.callLater(SETTINGS_CHECK_S, self._check_settings)

    # Backend server

    def backend_changed(self) -> 'Deferred[bool] | None':
        """Tell the other nodes about the backend server beside this one.

        Returns the store's acknowledgement if the backend server leaves.
        """
        own = self.membership.own
        phase = self.backend.phase
        instance = self.backend.instance or InstanceId('')
        service = self.backend.service or self.settings.service
        if self.shutdown.is_started:
            phase = BackendPhase.DRAINING
        known = (own.phase, own.instance, own.service, own.leaving)
        now = (phase, instance, service, self.shutdown.is_started)
        if known == now:
            return None
        self._update_rules()
        self.announce_own(service, instance, phase)
        self.log.process(
            'backend',
            instance=instance,
            service=service,
            phase=phase.value,
        )
        self.target.changed()
        if phase is BackendPhase.DRAINING:
            return self.follower.announce()
        return None

    def announce_own(
        self,
        service: Any,
        instance: InstanceId,
        phase: BackendPhase,
    ) -> None:
        """Replace this node's announcement, and tell linked nodes."""
        own = self.membership.own
        self.membership.announce(
            Peer(
                node=own.node,
                incarnation=own.incarnation,
                started_ms=own.started_ms,
                serial=own.serial + 1,
                host=own.host,
                port=own.port,
                zone=own.zone,
                region=own.region,
                service=service,
                instance=instance,
                phase=phase,
                leaving=self.shutdown.is_started,
            ),
        )
        self.links.broadcast(messages.Announce(self.membership.own))
        self._members_changed()

    # Port of the target role

    def dispatch(self, work: Work, instance: InstanceId) -> None:
        """Send a request to the backend server."""
        self.pool.dispatch(work, instance)

    def abort(self, work: Work) -> None:
        """Close the connection on which a request runs."""
        self.pool.abort(work)

    def reply(self, node: NodeId, reply: Reply) -> None:
        """Give an outcome to the ingress that asked, here or elsewhere."""
        if node == self.settings.node:
            self._outcome(node, reply)
        else:
            self.links.reply(node, reply)

    # Port of the ingress role

    def send(
        self,
        node: NodeId,
        message: messages.Forward | messages.Cancel,
    ) -> None:
        """Send a request, or its cancellation, to a target."""
        if node != self.settings.node:
            self.links.send(node, message)
        elif isinstance(message, messages.Forward):
            self.target.offer(node, message)
        else:
            self.target.cancel(node, message.attempt)

    def is_up(self, node: NodeId) -> bool:
        """Tell whether messages to a target are sent at once."""
        return node == self.settings.node or self.links.is_up(node)

    # Events of the links

    def hello(self, expected: NodeId) -> messages.Hello:
        """Build the first message of a link."""
        return messages.Hello(self.membership.own, expected)

    def received(self, link: Link, message: Message) -> None:
        """Handle a message of another node."""
        node = link.peer.node
        match message:
            case messages.Forward():
                self.target.offer(node, message)
            case messages.Cancel(attempt=attempt):
                self.target.cancel(node, attempt)
            case messages.Answered() | messages.Refused() | messages.Failed():
                self._outcome(node, message)
            case messages.Load(load=load) | messages.Pong(load=load):
                self.ingress.load_reported(node, load)
            case messages.Ping():
                link.send(messages.Pong(self.target.load()))
            case messages.Announce(peer=peer):
                self.learn([peer])
            case messages.Hello(peer=peer):
                self.learn([peer])
            case messages.Nodes(peers=peers):
                self.learn(peers)
            case messages.Progress():
                self.gossip.heard(node, message)
            case messages.OperatorSnapshot():
                if self.operators.replace(message):
                    self._operators_changed()

    def opened(self, link: Link) -> None:
        """Use a target again whose link is open."""
        if link.is_own:
            self.book.reachable(link.peer.node)
        else:
            self.target.peer_lost(link.peer.node)

    def closed(self, link: Link) -> None:
        """End what went over a link."""
        node = link.peer.node
        if link.is_own:
            self.book.unreachable(node)
            self.ingress.link_lost(node)
        else:
            self.log.process('incoming_link_closed', peer=node)
            self.target.peer_lost(node)

    def unreachable(self, node: NodeId) -> None:
        """Avoid a target to which no link can be opened."""
        self.book.unreachable(node)

    def replaced(self, node: NodeId) -> None:
        """Forget a node whose address another one has."""
        self.membership.forget(node)
        self._members_changed()

    def suspected(self, node: NodeId) -> None:
        """Avoid a target that owes answers for long."""
        self.book.avoid(node, Seconds(self.reactor.seconds()))

    def not_sent(self, node: NodeId, message: Message) -> None:
        """Return a request that no link has taken."""
        if isinstance(message, messages.Forward):
            refusal = messages.Refused(
                message.attempt,
                Refusal.LINK_DOWN,
                0,
                BackendLoad(),
            )
            self.ingress.refused(node, refusal)

    def learn(self, peers: list[Peer]) -> None:
        """Take announcements of other nodes."""
        news = self.membership.learn(peers)
        own = [one for one in peers if one.node == self.settings.node]
        for earlier in own:
            self._remember_departure(earlier)
        if news:
            self._members_changed()
        for peer in news:
            self.log.process(
                'peer',
                peer=peer.node,
                service=peer.service,
                instance=peer.instance,
                phase=peer.phase.value,
                leaving=peer.leaving,
            )

    def reload(self) -> None:
        """Read the settings again; keep the old ones if they are wrong."""
        self._settings_seen = self._settings_stamp()
        found = read_settings(self.settings_path)
        if found.is_err():
            self.log.process('reload_failed', reason=str(found.unwrap_err()))
            return
        settings = found.unwrap()
        if settings.listen != self.settings.listen:
            self.log.process('reload_ignored', field='listen')
        if settings.backend != self.settings.backend:
            address = parse_address(settings.backend)
            self.pool.address = address
            self.pool.close_all()
            self.health.move(address)
        self.settings = settings
        self.frontend.caller = settings.service
        self.log.process(
            'reload',
            service=settings.service,
            backend=settings.backend,
        )

    def _remember_departure(self, earlier: Peer) -> None:
        """Keep an instance away that has said that it leaves.

        This node may have forgotten that in a restart.
        """
        own = self.membership.own
        is_earlier = earlier.incarnation != own.incarnation
        is_draining = earlier.phase is BackendPhase.DRAINING
        if is_earlier and is_draining and not earlier.leaving:
            self.backend.left(earlier.instance)
            self.backend_changed()

    def _first_announcement(self) -> Peer:
        settings = self.settings
        links = parse_address(settings.listen.links)
        return Peer(
            node=settings.node,
            incarnation=Incarnation(self.random.getrandbits(_INCARNATION_BITS)),
            started_ms=int(time.time() * _MS_PER_S),
            serial=0,
            host=links.host,
            port=links.port,
            zone=settings.zone,
            region=settings.region,
            service=settings.service,
            instance=InstanceId(''),
            phase=BackendPhase.ABSENT,
        )

    def _listen(self, text: str, factory: Any) -> None:
        address = parse_address(text)
        self.reactor.listenTCP(
            address.port,
            factory,
            backlog=BACKLOG,
            interface=address.host,
        )

    def _outcome(self, node: NodeId, reply: Reply) -> None:
        match reply:
            case messages.Answered():
                self.ingress.answered(node, reply)
            case messages.Refused():
                self.ingress.refused(node, reply)
            case messages.Failed():
                self.ingress.failed(node, reply)

    def _backend_checked(self) -> None:
        self.backend_changed()
        self.target.changed()

    def _members_changed(self) -> None:
        others = self.membership.others()
        self.book.update([*others, self.membership.own])
        self.links.follow(others)
        self.ingress.repeats.resize(len(others) + 1)
        for peer in others:
            if not self.links.is_up(peer.node):
                self.book.avoid(peer.node, Seconds(self.reactor.seconds()))

    def _operators_changed(self) -> None:
        config = self.operators.config
        zones_out = self.operators.zones_out
        self.book.zones_out = zones_out
        self.target.zone_out = self.settings.zone in zones_out
        self._update_rules()
        if config is not None:
            self.client_server.limits = config.limits
            self.pool.most_body_bytes = config.limits.body_bytes
        self.log.process(
            'operators',
            offset=self.operators.next_offset,
            version=config.version if config else None,
            zones_out=','.join(sorted(zones_out)),
        )
        self.target.changed()

    def _update_rules(self) -> None:
        config = self.operators.config
        if config is not None:
            service = self.backend.service or self.settings.service
            self.backend.rules = config.services.get(service)

    def _target_decided(self, event: str, work: Work, **fields: Any) -> None:
        self.metrics.decided(f'target-{event}', str(fields.get('reason', '')))
        self.log.request(
            f'target_{event}',
            request=work.message.request_id,
            origin=work.origin.node,
            **fields,
        )

    def _ingress_decided(
        self,
        event: str,
        exchange: Exchange,
        **fields: Any,
    ) -> None:
        self.metrics.decided(event, str(fields.get('reason', '')))
        self.log.request(
            event,
            request=exchange.request_id,
            route=exchange.route.route,
            service=exchange.service,
            **fields,
        )

    def _finished(self, exchange: Exchange, status: int) -> None:
        took_s = self.reactor.seconds() - exchange.arrived_at
        self.metrics.answered(exchange.service, status, took_s)

    def _settings_stamp(self) -> tuple[int, int]:
        try:
            found = self.settings_path.stat()
        except OSError as error:
            self.log.process('settings_unreadable', reason=error.strerror)
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)

    def _check_settings(self) -> None:
        self.reactor.callLater(SETTINGS_CHECK_S, self._check_settings)
        if self._settings_stamp() != self._settings_seen:
            self.reload()

"""Builds the parts of the node process, connects and starts them."""

from collections.abc import Callable
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.crash_ledger import CrashLedger
from bilberryrail.forwarding.ingress import Ingress
from bilberryrail.forwarding.load_report import Notice, NoticeSource
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.quarantine import Quarantine
from bilberryrail.forwarding.records import BackendRun, Fingerprint
from bilberryrail.forwarding.routes import SplitChooser
from bilberryrail.forwarding.selection import CandidateTable
from bilberryrail.forwarding.target import Target
from bilberryrail.gateway.announcer import Announcer
from bilberryrail.gateway.backend_pool import BackendPool
from bilberryrail.gateway.control import (
    ControlService,
    ReadyService,
    local_server,
)
from bilberryrail.gateway.crash_reports import CrashReports
from bilberryrail.gateway.decision_log import DecisionLog
from bilberryrail.gateway.dialect import Dialect
from bilberryrail.gateway.early_port import BACKLOG, EarlyPort
from bilberryrail.gateway.event_log import EventLog
from bilberryrail.gateway.follower import StoreFollower
from bilberryrail.gateway.frontend import Frontend
from bilberryrail.gateway.gossip import Gossip
from bilberryrail.gateway.health_checker import HealthChecker
from bilberryrail.gateway.http_server import HttpServer
from bilberryrail.gateway.links import Links
from bilberryrail.gateway.memory_budget import MemoryBudget
from bilberryrail.gateway.message_router import LinkEventHandler, RolePorts
from bilberryrail.gateway.metrics import Metrics, MetricsService
from bilberryrail.gateway.poll_schedule import PollSchedule
from bilberryrail.gateway.presence import (
    Presence,
    initial_announcement,
    wall_ms,
)
from bilberryrail.gateway.reader_selection import ReaderSelection
from bilberryrail.gateway.settings import GatewaySettings, parse_address
from bilberryrail.gateway.settings_watch import SettingsWatch
from bilberryrail.gateway.shutdown import Shutdown
from bilberryrail.gateway.store import Store
from bilberryrail.gateway.store_health import StoreHealth
from bilberryrail.gateway.traffic import Traffic
from bilberryrail.gateway.unconfirmed_zones import UnconfirmedZones

_SEED_BITS: Final = 64


class GatewayProcess:
    """All parts of a running node process.

    Parameters
    ----------
    on_stopped
        Called when the shutdown is complete.

    Attributes
    ----------
    client_port
        Socket that already accepts clients' connections; if it is None,
        ``start`` opens one.
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
        self.reactor = reactor
        self.client_port: EarlyPort | None = None
        self.dialect = dialect
        self.log = log
        self.watch = SettingsWatch(
            reactor, settings_path, settings, log.process
        )
        self.watch.on_changed = self._settings_changed
        self.random = Random(SystemRandom().getrandbits(_SEED_BITS))
        self.metrics = Metrics()
        self.budget = MemoryBudget(settings.max_body_memory_bytes)
        self.operators = OperatorState()
        self.unconfirmed_zones = UnconfirmedZones(
            reactor, self.operators, log.process
        )
        self.unconfirmed_zones.on_dropped = self._operators_changed
        self.membership = Membership(
            initial_announcement(settings, self.random),
        )
        self._build_roles(settings)
        self._build_links(settings)
        self._build_servers(settings)
        store = make_store(reactor, parse_address(settings.store), log.process)
        self._build_store_tasks(store)
        self.shutdown = Shutdown(self, on_stopped)

    @property
    def settings(self) -> GatewaySettings:
        """Settings that currently apply."""
        return self.watch.settings

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send clients to this node."""
        return (
            self.operators.config is not None and not self.shutdown.is_started
        )

    def start(self) -> None:
        """Open all servers, then connect to the store and the other nodes."""
        listen = self.settings.listen
        self._listen(listen.links, self.links.acceptor)
        if self.client_port is None:
            self._listen(listen.clients, self.client_server)
        else:
            self.client_port.serve(self.reactor, self.client_server)
        for address, service in (
            (listen.ready, ReadyService(self)),
            (listen.control, ControlService(self)),
            (listen.metrics, MetricsService(self.metrics)),
        ):
            server = local_server(self.reactor, service, self.log.process)
            self._listen(address, server)
        self.log.process(
            'start',
            incarnation=self.membership.own.incarnation,
            service=self.settings.service,
            zone=self.settings.zone,
        )
        # The platform starts a process with the settings that apply then.
        self.backend.address.seen(
            self.settings.service, Seconds(self.reactor.seconds())
        )
        self.presence.apply_membership()
        self.follower.start()
        self.announcer.start()
        self.health.start()
        self.gossip.start()
        self.traffic.start()
        self.watch.start()

    def backend_changed(self) -> Any:
        """Announce a change of this node's backend server and apply it.

        Returns a Deferred for the store's acknowledgement if the backend
        server leaves, and None otherwise.
        """
        self._update_rules()
        stored = self.presence.refresh()
        self.target.process_queue()
        return stored

    def _build_roles(self, settings: GatewaySettings) -> None:
        forwarding = settings.forwarding
        self.backend = Backend(forwarding.admission)
        self.pool = BackendPool(
            self.reactor,
            self.dialect,
            parse_address(settings.backend),
            self.log.process,
        )
        self.ports = RolePorts(settings.node, self.pool)
        self.quarantine = Quarantine(
            CrashLedger(forwarding.quarantine, wall_ms)
        )
        self.target = Target(
            forwarding,
            self.reactor,
            self.backend,
            self.ports,
            self.quarantine,
        )
        self.ingress = Ingress(
            forwarding,
            self.reactor,
            self.random,
            CandidateTable(forwarding, self.random),
            self.ports,
            self.quarantine,
        )
        self.pool.target = self.target
        self.ports.target = self.target
        self.ports.ingress = self.ingress
        self.decisions = DecisionLog(self.reactor, self.log, self.metrics)
        self.target.on_decision = self.decisions.target_decided
        self.target.on_notice = self._notice_changed
        self.backend.crashes.on_crashed = self._backend_crashed
        self.ingress.on_decision = self.decisions.ingress_decided
        self.ingress.on_finished = self.decisions.request_finished

    def _build_links(self, settings: GatewaySettings) -> None:
        self.traffic = Traffic(
            self.reactor,
            lambda: self.membership.own,
            self.metrics,
            self.log.process,
        )
        self.links = Links(
            self.reactor,
            settings.node,
            settings.region,
            self.log.process,
            self.traffic,
            self.budget,
        )
        self.ports.links = self.links
        self.presence = Presence(
            self.reactor,
            self.random,
            self.membership,
            self.links,
            self.ingress,
            self.backend,
            self.log.process,
        )
        self.crash_reports = CrashReports(
            self.presence, self.quarantine, self.target
        )
        self.reader_selection = ReaderSelection(
            self.reactor, self.membership, self.links
        )
        self.gossip = Gossip(
            self.reactor,
            self.random,
            self.links,
            self.membership,
            self.operators,
            self.target,
            self.reader_selection,
        )
        self.links.events = LinkEventHandler(
            self.reactor,
            self.ports,
            self.operators,
            self.presence,
            self.gossip,
            self._operators_told,
        )

    def _build_store_tasks(self, store: Store) -> None:
        health = StoreHealth(self.metrics, self.log.process)
        self.follower = StoreFollower(
            self.reactor,
            self.random,
            store,
            self.operators,
            health,
            PollSchedule(self.membership, wall_ms),
            self._must_read,
        )
        self.follower.on_operators = self._operators_changed
        self.announcer = Announcer(
            self.reactor,
            self.random,
            store,
            self.operators,
            self.membership,
            health,
            self._must_read,
        )
        self.announcer.on_peers = self.presence.merge_announcements
        self.presence.store_announcement = self.announcer.announce
        self.gossip.is_store_up = lambda: health.is_reachable

    def _must_read(self) -> bool:
        return self.reader_selection.must_read

    def _build_servers(self, settings: GatewaySettings) -> None:
        self.frontend = Frontend(
            self.reactor,
            self.dialect,
            self.operators,
            self.ingress,
            SplitChooser(self.random),
            self.log.process,
        )
        self.frontend.caller = settings.service
        self.client_server = HttpServer(
            self.reactor, self.frontend, self.log.process
        )
        self.client_server.budget = self.budget
        self.client_server.refuse_body = self.frontend.body_refusal
        self.health = HealthChecker(
            self.reactor,
            self.dialect,
            parse_address(settings.backend),
            self.target,
            self.log.process,
        )
        self.health.on_checked = self.backend_changed
        self.ports.health = self.health

    def _listen(self, text: str, factory: Any) -> None:
        address = parse_address(text)
        self.reactor.listenTCP(
            address.port,
            factory,
            backlog=BACKLOG,
            interface=address.host,
        )

    def _settings_changed(self, settings: GatewaySettings) -> None:
        address = parse_address(settings.backend)
        if address != self.pool.address:
            self.pool.change_address(address)
            self.health.change_address(address)
        self.frontend.caller = settings.service
        self.backend.address.reassigned(settings.service)

    def _operators_changed(self) -> None:
        config = self.operators.config
        zones_out = self.operators.zones_out
        self.ingress.candidates.zones_out = zones_out
        self.target.capacity.zone_out = self.settings.zone in zones_out
        self._update_rules()
        if config is not None:
            self.metrics.config_adopted(config.version)
            self.client_server.limits = config.limits
        self.log.process(
            'operators',
            era=self.operators.position.era,
            offset=self.operators.position.offset,
            version=config.version if config else None,
            zones_out=','.join(sorted(zones_out)),
        )
        self.unconfirmed_zones.operators_changed()
        self.announcer.renew()
        self.gossip.operators_changed()
        self.target.process_queue()
        if not self.backend.instance:
            # The configuration contains the path of the health check, so the
            # instance can be identified now instead of with the next heartbeat.
            self.health.check_now()

    def _operators_told(self) -> None:
        """Apply a change of the operators' state that a peer has told."""
        self._operators_changed()
        self.follower.peer_told()

    def _notice_changed(
        self, notice: Notice, run: BackendRun, source: NoticeSource
    ) -> None:
        """Log what the backend server states; announce that it leaves.

        The announcement is sent before the answer that stated the departure.
        """
        self.decisions.notice_changed(notice, run, source)
        if notice.is_leaving:
            self.backend_changed()

    def _backend_crashed(
        self, run: BackendRun, suspects: tuple[Fingerprint, ...]
    ) -> None:
        self.decisions.backend_crashed(run, suspects)
        self.crash_reports.backend_crashed(run, suspects)

    def _update_rules(self) -> None:
        config = self.operators.config
        if config is not None:
            service = self.backend.service or self.settings.service
            self.backend.rules = config.services.get(service)

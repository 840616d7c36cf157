"""Runs one soak: start, faults, recovery, check of the guarantees."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from typing import Any, Final

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from bilberryrail.soak import topology
from bilberryrail.soak.checkers import FaultFreePeriod, violations
from bilberryrail.soak.crashes import CrashDriver
from bilberryrail.soak.faults import FaultDriver
from bilberryrail.soak.fleet import CALLERS_PER_HOST, Fleet
from bilberryrail.soak.malformed_input import MalformedInputDriver
from bilberryrail.soak.planned_stops import (
    MANY_CALLERS_PER_HOST,
    PlannedStopDriver,
)
from bilberryrail.soak.restores import RestoreDriver
from bilberryrail.soak.reused_addresses import ReusedAddressDriver
from bilberryrail.soak.silent_store import SilentStoreDriver
from bilberryrail.soak.statements import StatementDriver
from bilberryrail.soak.uploads import UploadDriver

#: Time in seconds for the fleet to start before callers send requests.
WARM_UP_S: Final = 3.0

#: Time in seconds after the last fault in which the fleet may recover. The
#: longest fault is a stop: the grace period of the node and its next start.
RECOVERY_S: Final = 12.0

#: Time in seconds after the recovery in which requests must be served.
FAULT_FREE_S: Final = 3.0


class Scenario(Enum):
    """What happens to the fleet."""

    #: Faults of all kinds, which may overlap.
    FAULTS = 'faults'
    #: Only planned stops, while some requests take long.
    STOPS = 'stops'
    #: Only connections to the store that fall silent.
    SILENCE = 'silence'
    #: Only several large bodies at once.
    UPLOADS = 'uploads'
    #: Only backend servers that get the addresses of others.
    REUSE = 'reuse'


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """Settings of one soak.

    Attributes
    ----------
    nodes
        Number of nodes.
    faults_s
        Time in seconds in which faults are applied.
    pause_s
        Mean pause in seconds between two faults.
    statement_pause_s
        Mean pause in seconds between two statements of backend servers.
    """

    seed: int
    scenario: Scenario = Scenario.FAULTS
    nodes: int = 8
    faults_s: float = 20.0
    pause_s: float = 0.7
    statement_pause_s: float = 3.0


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Results of one soak.

    Attributes
    ----------
    calls, served
        Number of calls with a result, and of those with status 200.
    runs
        Number of requests that backend servers started to run.
    history
        Time in seconds since the start, name and host of each fault.
    folder
        Folder with the logs of all nodes.
    """

    seed: int
    calls: int
    served: int
    runs: int
    violations: tuple[str, ...]
    history: tuple[tuple[float, str, str], ...]
    folder: Path


class Soak:
    """Runs one soak on a reactor."""

    def __init__(self, reactor: Any, settings: SoakSettings) -> None:
        self.reactor = reactor
        self.settings = settings
        self.random = Random(settings.seed)
        self.folder = Path(mkdtemp(prefix=f'soak-{settings.seed}-'))
        hosts = topology.make_hosts(settings.seed, settings.nodes)
        self.fleet = Fleet(
            reactor,
            self.random,
            hosts,
            settings.seed,
            self.folder,
            MANY_CALLERS_PER_HOST
            if settings.scenario is Scenario.STOPS
            else CALLERS_PER_HOST,
        )
        # Processes must end also when the soak is interrupted.
        reactor.addSystemEventTrigger('before', 'shutdown', self.fleet.stop)
        self.driver = FaultDriver(reactor, self.random, self.fleet)
        self.statements = StatementDriver(reactor, settings.seed, self.fleet)
        self.restores = RestoreDriver(reactor, settings.seed, self.fleet)
        self.crashes = CrashDriver(reactor, settings.seed, self.fleet)
        self.malformed_input = MalformedInputDriver(
            reactor, settings.seed, self.fleet
        )
        self.stops = PlannedStopDriver(reactor, settings.seed, self.fleet)
        self.silence = SilentStoreDriver(reactor, settings.seed, self.fleet)
        self.uploads = UploadDriver(reactor, settings.seed, self.fleet)
        self.reuse = ReusedAddressDriver(reactor, settings.seed, self.fleet)
        self.started_at: float = 0

    def run(self) -> Any:
        """Return a deferred that fires with the report."""
        running = ensureDeferred(self._run())
        return running.addBoth(self._stop)

    def _stop(self, passed: Any) -> Any:
        self.fleet.stop()
        return passed

    async def _run(self) -> SoakReport:
        self.started_at = self.reactor.seconds()
        await self._run_scenario()
        return self._report()

    async def _run_scenario(self) -> None:
        if self.settings.scenario is Scenario.STOPS:
            self.stops.prepare()
        self.fleet.start()
        await deferLater(self.reactor, WARM_UP_S)
        self.fleet.start_callers()
        ends_at = self.reactor.seconds() + self.settings.faults_s
        match self.settings.scenario:
            case Scenario.FAULTS:
                await self._apply_faults(ends_at)
            case Scenario.STOPS:
                await self.stops.run(ends_at)
            case Scenario.SILENCE:
                await self.silence.run(ends_at)
            case Scenario.UPLOADS:
                await self.uploads.run(ends_at)
            case Scenario.REUSE:
                await self.reuse.run(ends_at)
        await deferLater(self.reactor, RECOVERY_S)
        now = self.reactor.seconds()
        for caller in self.fleet.callers:
            caller.routes = (*topology.ROUTES, self.fleet.newest_route)
        await deferLater(self.reactor, FAULT_FREE_S)
        # Calls that were sent less than 1.5 s ago may still be in flight.
        self.fleet.observations.fault_free = FaultFreePeriod(
            now, self.reactor.seconds() - 1.5
        )

    async def _apply_faults(self, ends_at: float) -> None:
        stating = self.statements.run(ends_at, self.settings.statement_pause_s)
        ensureDeferred(stating)
        ensureDeferred(self.restores.run(ends_at))
        ensureDeferred(self.malformed_input.run(ends_at))
        crashes_end_at = ends_at + RECOVERY_S + FAULT_FREE_S
        self.crashes.start(self.settings.faults_s, crashes_end_at)
        while self.reactor.seconds() < ends_at:
            pause_s = self.random.expovariate(1 / self.settings.pause_s)
            await deferLater(self.reactor, pause_s)
            self.driver.strike()

    def _faults_in_logs(self) -> Iterator[str]:
        for name, node in self.fleet.nodes.items():
            for fault in node.faults_in_log():
                yield f'log: {name}: {fault}'

    def _report(self) -> SoakReport:
        observations = self.fleet.observations
        actors = (
            self.driver,
            self.statements,
            self.restores,
            self.crashes,
            self.malformed_input,
            self.stops,
            self.silence,
            self.uploads,
            self.reuse,
        )
        return SoakReport(
            seed=self.settings.seed,
            calls=len(observations.calls),
            served=sum(
                call.status == HTTPStatus.OK for call in observations.calls
            ),
            runs=len(observations.runs),
            violations=(*violations(observations), *self._faults_in_logs()),
            history=tuple(
                (round(at - self.started_at, 2), name, host)
                for at, name, host in sorted(
                    entry for actor in actors for entry in actor.history
                )
            ),
            folder=self.folder,
        )

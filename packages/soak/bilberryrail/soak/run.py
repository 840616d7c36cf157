"""One soak: start, disturb, calm down, judge."""

from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from typing import Any, Final

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from bilberryrail.soak import topology
from bilberryrail.soak.checkers import Calm, violations
from bilberryrail.soak.faults import FaultDriver
from bilberryrail.soak.fleet import Fleet

#: Time until the fleet is up before callers begin.
WARM_UP_S: Final = 3.0

#: Time after the last fault in which the fleet may recover: the longest fault
#: is a stop with its grace and the start after it.
RECOVERY_S: Final = 12.0

#: Calm time at the end in which requests must be served.
CALM_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """What a soak does.

    Attributes
    ----------
    faults_s
        Time in which faults are applied.
    pause_s
        Mean pause between two faults.
    """

    seed: int
    nodes: int = 8
    faults_s: float = 20.0
    pause_s: float = 0.7


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What a soak has found.

    Attributes
    ----------
    folder
        Holds the logs of all nodes.
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
            reactor, self.random, hosts, settings.seed, self.folder
        )
        # A soak that is interrupted ends its processes too.
        reactor.addSystemEventTrigger('before', 'shutdown', self.fleet.stop)
        self.driver = FaultDriver(reactor, self.random, self.fleet)
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
        await self._play()
        return self._report()

    async def _play(self) -> None:
        self.fleet.start()
        await deferLater(self.reactor, WARM_UP_S)
        self.fleet.start_callers()
        ends_at = self.reactor.seconds() + self.settings.faults_s
        while self.reactor.seconds() < ends_at:
            pause_s = self.random.expovariate(1 / self.settings.pause_s)
            await deferLater(self.reactor, pause_s)
            self.driver.strike()
        await deferLater(self.reactor, RECOVERY_S)
        now = self.reactor.seconds()
        await deferLater(self.reactor, CALM_S)
        self.fleet.records.calm = Calm(now, self.reactor.seconds() - 1.5)

    def _report(self) -> SoakReport:
        records = self.fleet.records
        return SoakReport(
            seed=self.settings.seed,
            calls=len(records.calls),
            served=sum(call.status == HTTPStatus.OK for call in records.calls),
            runs=len(records.runs),
            violations=tuple(violations(records)),
            history=tuple(
                (round(at - self.started_at, 2), name, host)
                for at, name, host in self.driver.history
            ),
            folder=self.folder,
        )

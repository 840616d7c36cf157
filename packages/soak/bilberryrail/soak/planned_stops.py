"""Stops and restarts nodes as planned, while long requests are running."""

import signal
from typing import Final

from bilberryrail.soak import topology
from bilberryrail.soak.driver import Driver

#: Time that callers wait for an answer, in seconds. Routes have the same
#: timeout, and no request lasts longer.
PATIENCE_S: Final = 4.0

#: Share of requests that take longer than usual, and their mean duration in
#: seconds.
LONG_SHARE: Final = 0.1
LONG_WORK_S: Final = 1.5

#: Callers on each host; several requests are running whenever a node is stopped.
MANY_CALLERS_PER_HOST: Final = 4

#: Nodes that are stopped together at most, and longest times from the decision
#: to their signals and between two such groups, in seconds.
MAX_GROUP: Final = 3
MAX_SIGNAL_GAP_S: Final = 1.5
MAX_GROUP_GAP_S: Final = 3.0

#: Time from the end of a process until it is started again, in seconds.
RESTART_S: Final = 0.3

_CHECK_S: Final = 0.1


class PlannedStopDriver(Driver):
    """Sends SIGTERM to groups of nodes, which may overlap."""

    def prepare(self) -> None:
        """Let some requests take long; lengthen timeouts accordingly."""
        self.fleet.timeout_s = PATIENCE_S
        self.fleet.observations.patience_s = PATIENCE_S
        for backend in self.fleet.backends.values():
            backend.long_share = LONG_SHARE
            backend.long_work_s = LONG_WORK_S
        for caller in self.fleet.callers:
            caller.deadline_s = PATIENCE_S

    async def run(self, ends_at: float) -> None:
        """Stop groups of nodes until a time; then no request takes long."""
        while self.reactor.seconds() < ends_at:
            names = sorted(self.fleet.nodes)
            count = 1 + self.random.randrange(MAX_GROUP)
            for host in self.random.sample(names, min(count, len(names))):
                gap_s = MAX_SIGNAL_GAP_S * self.random.random()
                self.reactor.callLater(gap_s, self._stop, host)
            await self.pause(MAX_GROUP_GAP_S)
        for backend in self.fleet.backends.values():
            backend.long_share = 0

    def _stop(self, host: str) -> None:
        """Stop a node; signals to one that is stopping change nothing."""
        node = self.fleet.nodes[host]
        if not node.can_handle_signals:
            return
        is_stopping = node.stopping_since is not None
        signum = signal.SIGTERM
        if is_stopping:
            signum = self.random.choice((signal.SIGTERM, signal.SIGHUP))
        node.send(signum)
        self.remember(f'send_{signum.name}', host)
        if is_stopping:
            return
        now = self.reactor.seconds()
        node.stopping_since = now
        self.fleet.observations.stops.append((now, host))
        self.reactor.callLater(_CHECK_S, self._restart_when_ended, host)

    def _restart_when_ended(self, host: str) -> None:
        """Start a node again after it has ended; kill it after the grace."""
        node = self.fleet.nodes[host]
        if not node.is_running:
            node.stopping_since = None
            self.reactor.callLater(RESTART_S, node.start)
            return
        if self.reactor.seconds() - node.stopping_since >= topology.GRACE_S:
            self.remember('kill', host)
            node.send(signal.SIGKILL)
        self.reactor.callLater(_CHECK_S, self._restart_when_ended, host)

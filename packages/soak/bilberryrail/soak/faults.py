"""Applies random faults to a fleet; faults may overlap."""

import signal
from collections.abc import Callable
from random import Random
from typing import Any, Final

from bilberryrail.adapter.standins.log_service import LogFaults
from bilberryrail.soak import topology
from bilberryrail.soak.checkers import ColdPeriod, ZoneOut
from bilberryrail.soak.fleet import Fleet
from bilberryrail.soak.proxy import Fault

#: The duration of a fault is drawn from ``_MIN_FAULT_S`` to this many seconds
#: above it.
FAULT_RANGE_S: Final = 4.0

#: Time in seconds for which a backend server still serves requests after it
#: has announced its departure.
DEPARTURE_S: Final = 4.0

#: Minimum duration of a fault, in seconds.
_MIN_FAULT_S: Final = 0.3
#: Factor by which a slow backend server takes longer for a request.
_SLOW_FACTOR: Final = 8
#: Time in seconds for which a restarted backend server stays cold.
_COLD_PERIOD_S: Final = 3.0


class FaultDriver:
    """Applies random faults to a fleet.

    Attributes
    ----------
    history
        Time, name and host of each fault, for the report.
    """

    def __init__(self, reactor: Any, random: Random, fleet: Fleet) -> None:
        self.reactor = reactor
        self.random = random
        self.fleet = fleet
        self.history: list[tuple[float, str, str]] = []
        self.node_faults: tuple[Callable[[str, float], None], ...] = (
            self.kill_node,
            self.stop_node,
            self.pause_node,
            self.reload_node,
            self.harm_links,
            self.harm_store_path,
        )
        self.faults = (
            *self.node_faults,
            self.harm_store,
            self.slow_backend,
            self.lose_answers,
            self.restart_backend,
            self.replace_backend,
            self.chill_backend,
            self.change_config,
            self.take_zone_out,
        )

    def strike(self) -> None:
        """Apply a random fault to a random host."""
        fault = self.random.choice(self.faults)
        host = self.random.choice(self.fleet.hosts).name
        duration_s = _MIN_FAULT_S + FAULT_RANGE_S * self.random.random()
        at = self.reactor.seconds()
        self.history.append((at, fault.__name__, host))
        if fault in self.node_faults:
            self.fleet.observations.faults.append((at, host))
        fault(host, duration_s)

    def kill_node(self, host: str, duration_s: float) -> None:
        """Kill the process of a node and start it again later."""
        node = self.fleet.nodes[host]
        node.send(signal.SIGKILL)
        self.reactor.callLater(duration_s, node.start)

    def stop_node(self, host: str, duration_s: float) -> None:
        """Send SIGTERM to a node; start it again after its grace period.

        A node that still runs after ``topology.GRACE_S`` is killed.
        """
        node = self.fleet.nodes[host]
        node.send(signal.SIGTERM)
        self.reactor.callLater(topology.GRACE_S, node.send, signal.SIGKILL)
        self.reactor.callLater(topology.GRACE_S + _MIN_FAULT_S, node.start)

    def pause_node(self, host: str, duration_s: float) -> None:
        """Pause the process of a node with SIGSTOP."""
        node = self.fleet.nodes[host]
        node.send(signal.SIGSTOP)
        self.reactor.callLater(duration_s, node.send, signal.SIGCONT)

    def reload_node(self, host: str, duration_s: float) -> None:
        """Let a node reload its settings by sending SIGHUP."""
        node = self.fleet.nodes[host]
        # The platform would restart a process that the signal ends, but the soak
        # does not.
        if node.can_handle_signals:
            node.send(signal.SIGHUP)

    def harm_links(self, host: str, duration_s: float) -> None:
        """Disturb the links that other nodes have opened to a node."""
        proxy = self.fleet.link_proxies[host]
        fault = self.random.choice(tuple(Fault))
        # Here ``Fault.NONE`` means that open connections are reset once.
        if fault is Fault.NONE:
            proxy.reset()
            return
        proxy.delay_s = self.random.random() / 2
        proxy.fault = fault
        self.reactor.callLater(duration_s, _remove_fault, proxy)

    def harm_store_path(self, host: str, duration_s: float) -> None:
        """Disturb the connections from one node to the store."""
        proxy = self.fleet.store_proxies[host]
        proxy.fault = self.random.choice((Fault.SILENCE, Fault.REFUSE))
        self._record_store_fault(duration_s)
        self.reactor.callLater(duration_s, _remove_fault, proxy)

    def harm_store(self, host: str, duration_s: float) -> None:
        """Disturb the store itself.

        It does not answer, answers with 503, answers late, loses its answers,
        or drops the history of all topics.
        """
        log = self.fleet.log
        match self.random.randrange(5):
            case 0:
                log.faults = LogFaults(is_silent=True)
            case 1:
                log.faults = LogFaults(status=503)
            case 2:
                log.faults = LogFaults(delay_s=0.3)
            case 3:
                log.faults = LogFaults(loses_answers=True)
            case _:
                for topic in tuple(log.topics):
                    log.trim(topic)
        self._record_store_fault(duration_s)
        self.reactor.callLater(duration_s, self._restore_store)

    def slow_backend(self, host: str, duration_s: float) -> None:
        """Make a backend server slow."""
        backend = self.fleet.backends[host]
        usual_s = backend.work_s
        backend.work_s = usual_s * _SLOW_FACTOR
        self.reactor.callLater(duration_s, setattr, backend, 'work_s', usual_s)

    def lose_answers(self, host: str, duration_s: float) -> None:
        """Let a backend server lose the answers of some requests that ran."""
        backend = self.fleet.backends[host]
        backend.loses_share = 0.3
        self.reactor.callLater(duration_s, setattr, backend, 'loses_share', 0)

    def restart_backend(self, host: str, duration_s: float) -> None:
        """Restart a backend server under a new instance id."""
        self.fleet.backends[host].restart()

    def replace_backend(self, host: str, duration_s: float) -> None:
        """Drain a backend server; a new one takes over its address later."""
        backend = self.fleet.backends[host]
        leaving = backend.instance
        backend.leave()
        self.reactor.callLater(DEPARTURE_S, restart_if, backend, leaving)

    def chill_backend(self, host: str, duration_s: float) -> None:
        """Restart a backend server so that it is cold."""
        backend = self.fleet.backends[host]
        backend.restart()
        now = self.reactor.seconds()
        backend.cold_until = now + _COLD_PERIOD_S
        cold = ColdPeriod(backend.instance, now, backend.cold_until)
        self.fleet.observations.cold.append(cold)

    def change_config(self, host: str, duration_s: float) -> None:
        """Write a configuration with new weights for bookings."""
        self.fleet.write_config(self.random.randrange(1, 100))

    def take_zone_out(self, host: str, duration_s: float) -> None:
        """Take the zone of a host out and bring it back later."""
        zone = self.fleet.nodes[host].host.zone
        now = self.reactor.seconds()
        out_s = duration_s + FAULT_RANGE_S
        is_out = any(
            out.zone == zone and out.back_at > now
            for out in self.fleet.observations.zones_out
        )
        if is_out:
            return
        self.fleet.set_zone(zone, is_out=True)
        self.fleet.observations.zones_out.append(
            ZoneOut(zone, now, now + out_s)
        )
        self.reactor.callLater(out_s, self._take_zone_in, zone)

    def _take_zone_in(self, zone: str) -> None:
        self.fleet.set_zone(zone, is_out=False)

    def _restore_store(self) -> None:
        self.fleet.log.faults = LogFaults()

    def _record_store_fault(self, duration_s: float) -> None:
        now = self.reactor.seconds()
        # Nodes notice a silent store only after a timeout, so the period that
        # counts as faulty is longer than the fault.
        faults = self.fleet.observations.store_faults
        faults.append((now, now + duration_s + FAULT_RANGE_S))


def _remove_fault(proxy: Any) -> None:
    proxy.fault = Fault.NONE


def restart_if(backend: Any, instance: str) -> None:
    """Restart a backend server unless another instance has replaced it."""
    if backend.instance == instance:
        backend.restart()

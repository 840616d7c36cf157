"""Draws faults and applies them; they come in series and overlap."""

import signal
import time
from collections.abc import Callable
from random import Random
from typing import Any, Final

from bilberryrail.adapter.standins.log_service import LogFaults
from bilberryrail.soak import topology
from bilberryrail.soak.checkers import Cold, ZoneOut
from bilberryrail.soak.fleet import Fleet
from bilberryrail.soak.proxy import Fault

#: Longest duration of one fault, in seconds.
MOST_S: Final = 4.0

#: Time for which a backend server serves on after it says that it leaves.
LEAVING_S: Final = 4.0

#: Time that the interpreter needs to reach the program on a busy machine.
INTERPRETER_S: Final = 0.2

_SHORTEST_S: Final = 0.3
_SLOW_FACTOR: Final = 8
_COLD_S: Final = 3.0


class FaultDriver:
    """Applies random faults to a fleet.

    Attributes
    ----------
    history
        What was done, and when, for the report.
    """

    def __init__(self, reactor: Any, random: Random, fleet: Fleet) -> None:
        self.reactor = reactor
        self.random = random
        self.fleet = fleet
        self.history: list[tuple[float, str, str]] = []
        self.faults: tuple[Callable[[str, float], None], ...] = (
            self.kill_node,
            self.stop_node,
            self.pause_node,
            self.reload_node,
            self.harm_links,
            self.harm_store_path,
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
        """Apply one fault to one host, drawn at random."""
        fault = self.random.choice(self.faults)
        host = self.random.choice(self.fleet.hosts).name
        length_s = _SHORTEST_S + MOST_S * self.random.random()
        at = self.reactor.seconds()
        self.history.append((at, fault.__name__, host))
        fault(host, length_s)

    def kill_node(self, host: str, length_s: float) -> None:
        """Kill a process; it starts again."""
        node = self.fleet.nodes[host]
        node.send(signal.SIGKILL)
        self.reactor.callLater(length_s, node.start)

    def stop_node(self, host: str, length_s: float) -> None:
        """Stop a process; it starts again after its grace."""
        node = self.fleet.nodes[host]
        node.send(signal.SIGTERM)
        self.reactor.callLater(topology.GRACE_S, node.send, signal.SIGKILL)
        self.reactor.callLater(topology.GRACE_S + _SHORTEST_S, node.start)

    def pause_node(self, host: str, length_s: float) -> None:
        """Pause a process."""
        node = self.fleet.nodes[host]
        node.send(signal.SIGSTOP)
        self.reactor.callLater(length_s, node.send, signal.SIGCONT)

    def reload_node(self, host: str, length_s: float) -> None:
        """Ask a process to read its settings again."""
        node = self.fleet.nodes[host]
        # The interpreter needs some time until the program can handle or
        # ignore a signal; the platform restarts a process that ends then.
        if time.monotonic() - node.started_at > INTERPRETER_S:
            node.send(signal.SIGHUP)

    def harm_links(self, host: str, length_s: float) -> None:
        """Harm the links that others have opened to a node."""
        proxy = self.fleet.links[host]
        fault = self.random.choice(tuple(Fault))
        if fault is Fault.NONE:
            proxy.reset()
            return
        proxy.delay_s = self.random.random() / 2
        proxy.fault = fault
        self.reactor.callLater(length_s, _heal, proxy)

    def harm_store_path(self, host: str, length_s: float) -> None:
        """Harm the path from one node to the store."""
        proxy = self.fleet.stores[host]
        proxy.fault = self.random.choice((Fault.SILENCE, Fault.REFUSE))
        self._note_store_fault(length_s)
        self.reactor.callLater(length_s, _heal, proxy)

    def harm_store(self, host: str, length_s: float) -> None:
        """Make the store silent, refusing, slow, forgetful, or lose answers."""
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
        self._note_store_fault(length_s)
        self.reactor.callLater(length_s, self._heal_store)

    def slow_backend(self, host: str, length_s: float) -> None:
        """Make a backend server slow."""
        backend = self.fleet.backends[host]
        usual_s = backend.work_s
        backend.work_s = usual_s * _SLOW_FACTOR
        self.reactor.callLater(length_s, setattr, backend, 'work_s', usual_s)

    def lose_answers(self, host: str, length_s: float) -> None:
        """Let a backend server lose answers of requests that ran."""
        backend = self.fleet.backends[host]
        backend.loses_share = 0.3
        self.reactor.callLater(length_s, setattr, backend, 'loses_share', 0)

    def restart_backend(self, host: str, length_s: float) -> None:
        """Start a backend server anew, under another id."""
        self.fleet.backends[host].restart()

    def replace_backend(self, host: str, length_s: float) -> None:
        """Let a backend server leave; another one takes its address."""
        backend = self.fleet.backends[host]
        leaving = backend.instance
        backend.leave()
        self.reactor.callLater(LEAVING_S, _restart_if, backend, leaving)

    def chill_backend(self, host: str, length_s: float) -> None:
        """Start a backend server anew, cold."""
        backend = self.fleet.backends[host]
        backend.restart()
        now = self.reactor.seconds()
        backend.cold_until = now + _COLD_S
        cold = Cold(backend.instance, now, backend.cold_until)
        self.fleet.records.cold.append(cold)

    def change_config(self, host: str, length_s: float) -> None:
        """Change the weights of the bookings."""
        self.fleet.write_config(self.random.randrange(1, 100))

    def take_zone_out(self, host: str, length_s: float) -> None:
        """Take an availability zone out, and bring it back."""
        zone = self.fleet.nodes[host].host.zone
        now = self.reactor.seconds()
        out_s = length_s + MOST_S
        is_out = any(
            out.zone == zone and out.back_at > now
            for out in self.fleet.records.zones_out
        )
        if is_out:
            return
        self.fleet.set_zone(zone, is_out=True)
        self.fleet.records.zones_out.append(ZoneOut(zone, now, now + out_s))
        self.reactor.callLater(out_s, self._bring_back, zone)

    def _bring_back(self, zone: str) -> None:
        self.fleet.set_zone(zone, is_out=False)

    def _heal_store(self) -> None:
        self.fleet.log.faults = LogFaults()

    def _note_store_fault(self, length_s: float) -> None:
        now = self.reactor.seconds()
        # A node notices a silent store after its time limit.
        faults = self.fleet.records.store_faults
        faults.append((now, now + length_s + MOST_S))


def _heal(proxy: Any) -> None:
    proxy.fault = Fault.NONE


def _restart_if(backend: Any, instance: str) -> None:
    if backend.instance == instance:
        backend.restart()

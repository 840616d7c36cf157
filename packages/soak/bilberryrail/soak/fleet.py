"""Starts real nodes as processes, together with stand-ins and proxies."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any, Final

from bilberryrail.adapter import names
from bilberryrail.adapter.standins.backend_server import (
    BackendServer,
    Departure,
    Run,
)
from bilberryrail.adapter.standins.caller import Caller, ClientRoute
from bilberryrail.adapter.standins.log_service import LogService, Topic
from bilberryrail.gateway.http_server import HttpServer
from bilberryrail.soak import topology
from bilberryrail.soak.checkers import Observations
from bilberryrail.soak.proxy import Proxy

CALLERS_PER_HOST: Final = 2

#: Time in seconds that the Python interpreter needs on a busy machine until it
#: starts to execute the program.
INTERPRETER_START_S: Final = 0.2

_SETTINGS_VARIABLE: Final = 'BILBERRYRAIL_SETTINGS'


#: Name of a node that does not exist, in malformed announcements.
STRANGER: Final = 'stranger'

#: What must not be in the log of a process, and what it means there.
_LOG_FAULTS: Final = MappingProxyType(
    {
        b'event=task_failed': 'a task met an unexpected error',
        b'Traceback (most recent': 'an unexpected error was not logged',
        b'peer=%b ' % STRANGER.encode(): 'a malformed announcement was used',
    }
)


class NodeProcess:
    """The process of one node.

    Attributes
    ----------
    started_at
        Time of the last start, on the monotonic clock.
    stopping_since
        Time of the SIGTERM of a planned stop; None if there is none.
    """

    def __init__(self, host: topology.Host, folder: Path) -> None:
        self.host = host
        self.settings = folder / f'{host.name}.json'
        self.settings.write_text(json.dumps(host.settings()))
        self.output = folder / f'{host.name}.log'
        self.child: subprocess.Popen[bytes] | None = None
        self.started_at: float = 0
        self.stopping_since: float | None = None

    @property
    def can_handle_signals(self) -> bool:
        """Whether a signal reaches the program, and not its interpreter.

        Until the program can handle or ignore them, signals end the process.
        """
        age_s = time.monotonic() - self.started_at
        return self.is_running and age_s > INTERPRETER_START_S

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.child is not None and self.child.poll() is None

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        self.started_at = time.monotonic()
        with self.output.open('ab') as output:
            self.child = subprocess.Popen(
                [sys.executable, '-m', 'bilberryrail.adapter.main'],
                env={**os.environ, _SETTINGS_VARIABLE: str(self.settings)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to this process if it is running."""
        if self.is_running:
            self.child.send_signal(signum)

    def faults_in_log(self) -> list[str]:
        """Return what the log shows that must never happen to a process."""
        logged = self.output.read_bytes()
        return [fault for mark, fault in _LOG_FAULTS.items() if mark in logged]

    def end(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.child is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.child.wait()


class Fleet:
    """All nodes and stand-ins of one soak.

    Attributes
    ----------
    link_proxies
        Proxy for the links that other nodes open to each host.
    store_proxies
        Proxy for the connections from each host to the store.
    ports
        Server and listening port of the backend server of each host.
    listening
        All listening ports of the stand-ins and proxies.
    written
        Newest record of the operators for each key.
    timeout_s
        Timeout of all routes in the configurations that are written.
    """

    def __init__(
        self,
        reactor: Any,
        random: Random,
        hosts: list[topology.Host],
        network: int,
        folder: Path,
        callers_per_host: int = CALLERS_PER_HOST,
    ) -> None:
        self.reactor = reactor
        self.hosts = hosts
        self.callers_per_host = callers_per_host
        self.timeout_s = topology.TIMEOUT_S
        self.observations = Observations(
            callers={host.name: host.service for host in hosts},
            cold_limit=topology.COLD_PER_S * topology.COLD_FACTOR
            + topology.COLD_SLACK,
        )
        self.observations.home_zones[topology.HOME_BOOKING.prefix] = frozenset(
            host.zone for host in hosts if host.region == topology.HOME_REGION
        )
        self.observations.services.update(topology.ONLY_SERVICES)
        self.log = LogService(reactor)
        self.nodes = {host.name: NodeProcess(host, folder) for host in hosts}
        self.link_proxies: dict[str, Proxy] = {}
        self.store_proxies: dict[str, Proxy] = {}
        self.backends: dict[str, BackendServer] = {}
        self.ports: dict[str, tuple[HttpServer, Any]] = {}
        self.callers: list[Caller] = []
        self.listening: list[Any] = []
        self.version = 1
        self.written: dict[str, bytes] = {}
        self._serve(topology.store_address(network), self.log)
        for host in hosts:
            self._add_stand_ins(host, random, topology.store_address(network))

    def start(self) -> None:
        """Write the first configuration and start nodes and backend servers."""
        self.write_config(50)
        for node in self.nodes.values():
            node.start()
        for backend in self.backends.values():
            backend.start()

    def start_callers(self) -> None:
        """Let all callers start to send requests."""
        for caller in self.callers:
            caller.start()

    def stop(self) -> None:
        """Stop callers and backend servers and end all node processes."""
        for caller in self.callers:
            caller.is_stopped = True
        for backend in self.backends.values():
            backend.is_stopped = True
        for node in self.nodes.values():
            node.end()
        # Soaks with the same addresses may follow, in this process or another.
        for port in self.listening:
            port.stopListening()
        self.listening.clear()

    def write_config(self, board_weight: int) -> None:
        """Write a new configuration to the log, as operators do."""
        self.version += 3
        raw = topology.configuration(self.version, board_weight, self.timeout_s)
        self._write(names.CONFIG_KEY, raw)

    def set_zone(self, zone: str, *, is_out: bool) -> None:
        """Take a zone out or bring it back, as operators do."""
        key = f'{names.EVACUATION_PREFIX}{zone}'
        self._write(key, b'{}' if is_out else b'')

    def rewrite_config(self) -> None:
        """Write the newest configuration to a restored log."""
        self._write(names.CONFIG_KEY, self.written[names.CONFIG_KEY])

    def rewrite_zones(self, copy: dict[str, Topic]) -> None:
        """Write what a copy of the log lacks of the zones' newest states."""
        kept = copy[names.OPERATOR_TOPIC].newest()
        for key, payload in tuple(self.written.items()):
            kept_payload, _ = kept.get(key, (b'', 0))
            if key != names.CONFIG_KEY and payload != kept_payload:
                self._write(key, payload)

    def open_backend(self, host: str) -> None:
        """Let the backend server of a host accept connections."""
        backend = self.backends[host]
        server = HttpServer(self.reactor, backend, _ignore)
        self.ports[host] = (server, self._listen(backend.address, server))

    def close_backend(self, host: str) -> None:
        """Reset all connections of a backend server, and refuse new ones."""
        server, port = self.ports[host]
        port.stopListening()
        for connection in tuple(server.connections):
            connection.transport.abortConnection()

    @property
    def newest_route(self) -> ClientRoute:
        """Route that only the newest configuration has."""
        return topology.version_route(self.version)

    def _write(self, key: str, payload: bytes) -> None:
        self.written[key] = payload
        self.log.put(names.OPERATOR_TOPIC, key, payload)

    def _add_stand_ins(
        self, host: topology.Host, random: Random, store: Any
    ) -> None:
        link_proxy = Proxy(self.reactor, host.address('links'))
        self.link_proxies[host.name] = link_proxy
        self._listen(host.address('public_links'), link_proxy)
        self.store_proxies[host.name] = Proxy(self.reactor, store)
        self._listen(host.address('store'), self.store_proxies[host.name])
        backend = BackendServer(
            self.reactor,
            random,
            host.service,
            host.zone,
            host.address('backend'),
            host.address('control'),
            self._record,
        )
        self.backends[host.name] = backend
        self.open_backend(host.name)
        for _ in range(self.callers_per_host):
            self.callers.append(
                Caller(
                    self.reactor,
                    random,
                    host.name,
                    host.address('clients'),
                    topology.ROUTES,
                    self.observations.calls.append,
                ),
            )

    def _record(self, seen: Run | Departure) -> None:
        if isinstance(seen, Run):
            self.observations.runs.append(seen)
        else:
            self.observations.departures.append(seen)

    def _serve(self, address: Any, service: Any) -> None:
        self._listen(address, HttpServer(self.reactor, service, _ignore))

    def _listen(self, address: Any, factory: Any) -> Any:
        port = self.reactor.listenTCP(
            address.port, factory, interface=address.host
        )
        self.listening.append(port)
        return port


def _ignore(event: str, **fields: object) -> None:
    """Discard a log event."""

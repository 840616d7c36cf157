"""Memory of a node: interpreter, libraries, services and members."""

import importlib
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from types import MappingProxyType
from typing import Any, Final

import msgspec
import psutil

#: A kilobyte is 1024 bytes here, as in the memory limit of 32 MB.
_KB: Final = 1024
_US_PER_S: Final = 1_000_000
#: Time for which the running node is observed, in seconds.
OBSERVATION_S: Final = 10.0
#: Time that the running node gets to finish its start and be idle, in seconds.
STARTUP_S: Final = 3.0

#: Imports of a node; each row is measured alone in a new process.
IMPORTS: Final = MappingProxyType(
    {
        'interpreter alone': (),
        'asyncio': ('asyncio',),
        'twisted (reactor, web)': (
            'twisted.internet.asyncioreactor',
            'twisted.web.server',
        ),
        'klein': ('klein',),
        'treq (with its TLS libraries)': ('treq',),
        'OpenSSL and cryptography': ('OpenSSL.SSL',),
        'httptools': ('httptools',),
        'uvloop': ('uvloop',),
        'protobuf (generated frames)': ('bilberryrail.wire.peer_pb2',),
        'aioprometheus': ('aioprometheus',),
        'hdrhistogram': ('hdrh.histogram',),
        'msgspec': ('msgspec',),
        'typer': ('typer',),
        'absl.logging': ('absl.logging',),
        'automat': ('automat',),
        'the engine (policy, control)': (
            'bilberryrail.policy.engine',
            'bilberryrail.control.plane',
            'bilberryrail.policy.target',
        ),
        'the whole node': (
            'bilberryrail.node.main',
            'bilberryrail.node.serve',
        ),
    },
)


def resident_kb() -> float:
    """Return the resident memory (RSS) of this process."""
    return psutil.Process().memory_info().rss / _KB


def imported(number: int) -> dict[str, float]:
    """Import one row of ``IMPORTS`` in an interpreter of its own."""
    modules = tuple(IMPORTS.values())[number]
    program = ';'.join(f'import {module}' for module in modules)
    command = [sys.executable, '-c', f'{program}\nprint()\ninput()']
    # This process measures the other one, so that the memory of psutil does not
    # count.
    with psutil.Popen(command, stdin=-1, stdout=-1) as interpreter:
        interpreter.stdout.readline()
        resident = interpreter.memory_info().rss
        interpreter.communicate(b'\n')
    return {'RSS KB': resident / _KB}


def members(count: int) -> dict[str, float]:
    """Adopt a state as a node does, and measure the memory it adds."""
    return _state_memory(count, 1300)


def services(count: int) -> dict[str, float]:
    """Adopt a state that has services but no members."""
    return _state_memory(0, count)


def _state_memory(member_count: int, service_count: int) -> dict[str, float]:
    # Another process builds the state, so that this process cannot reuse memory
    # that was freed after building it.
    with ProcessPoolExecutor(1) as pool:
        built = pool.submit(_encoded_state, member_count, service_count)
        encoded = built.result()
    world = importlib.import_module('bilberryrail.bench.slope_world')
    codec = importlib.import_module('bilberryrail.core.codec')
    empty = world.ClusterState(offset=0)
    engine = world.make_engine(empty, world.make_member(0))
    before = resident_kb()
    world.adopt(engine, codec.decode_state(encoded).unwrap())
    added = resident_kb() - before
    return {'RSS KB': added, 'known': len(engine.plane.state.members)}


def _encoded_state(member_count: int, service_count: int) -> bytes:
    world = importlib.import_module('bilberryrail.bench.slope_world')
    codec = importlib.import_module('bilberryrail.core.codec')
    return codec.encode_state(world.make_state(member_count, service_count))


def running(_: int) -> dict[str, float]:
    """Start a node that is idle and knows no other members."""
    processes = importlib.import_module('bilberryrail.standins.processes')
    with processes.Children() as children:
        ports = processes.free_ports(5)
        _start_dependencies(children, ports)
        path = children.write('node.json', _node_settings(ports))
        node = children.start('node', 'bilberryrail.node', str(path))
        children.wait_until_listening(node, ports[2:])
        time.sleep(STARTUP_S)
        return _observe(psutil.Process(node.process.pid))


def _start_dependencies(children: Any, ports: tuple[int, ...]) -> None:
    """Start the log service and the backend server that the node uses."""
    module = 'bilberryrail.standins.log_service'
    log = children.start('log', module, '--port', str(ports[0]))
    server = {
        'name': 'b1',
        'region': 'north',
        'port': ports[1],
        'limits': {'slots': 10, 'connections': 250},
    }
    path = children.write('backend.json', msgspec.json.encode([server]))
    module = 'bilberryrail.standins.backend_server'
    backend = children.start('backend', module, str(path))
    children.wait_until_listening(log, ports[:1])
    children.wait_until_listening(backend, ports[1:2])


def _observe(process: psutil.Process) -> dict[str, float]:
    before = process.cpu_times()
    time.sleep(OBSERVATION_S)
    after = process.cpu_times()
    spent = after.user + after.system - before.user - before.system
    memory = process.memory_full_info()
    return {
        'RSS KB': memory.rss / _KB,
        'not shared (USS) KB': memory.uss / _KB,
        'processor µs/s': spent / OBSERVATION_S * _US_PER_S,
    }


def _node_settings(ports: tuple[int, ...]) -> bytes:
    loopback = '127.0.0.1'
    identity = {
        'node': 'n1',
        'service': 'certificate-query',
        'zone': 'north-1',
        'region': 'north',
        'host': loopback,
        'port': ports[2],
        'http_port': ports[3],
    }
    settings = {
        'engine': {'identity': identity},
        'log': {'url': f'http://{loopback}:{ports[0]}'},
        'backend': {'port': ports[1]},
        'operator_port': ports[4],
    }
    return msgspec.json.encode(settings)

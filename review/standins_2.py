"""Stand-ins for the scripts of cases 6 to 10; only the standard library.

A script starts nodes with the command of the deploy file. This module holds
the platform's store, workers, an HTTP connection of a client, the settings and
the processes of the nodes, and the record of what happened. All addresses are
loopback ones, and all ports are free ones.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import uuid
from urllib.parse import parse_qsl, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Interval of the workers' heartbeats in seconds, as on the wire page.
HEARTBEAT_S = 1.5

#: ``memory_mb`` of the machines of all three sites.
MEMORY_MB = 300

#: Clients with kept connections beside those of a case.
BYSTANDERS = 8

#: Requests that LOST allows to be lost at any time.
ALLOWED_LOST = 3

#: Longest start of a node in seconds, before the case counts as not run.
START_S = 25.0


class CannotRunError(Exception):
    """The case cannot be judged on this machine."""


class Record:
    """Log of a run, in ``record.txt`` beside the script."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lines = (pathlib.Path(folder) / 'record.txt').open('w')

    def write(self, text):
        """Write one line with the time since the start."""
        now = time.monotonic() - self.began
        self.lines.write(f'{now:8.3f} {text}\n')
        self.lines.flush()


def free_address(host='127.0.0.1'):
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f'{host}:{probe.getsockname()[1]}'


def split_address(text):
    """Split an address into host and port."""
    host, _, port = text.rpartition(':')
    return host, int(port)


class Message:
    """Head and body of an HTTP message."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status of an answer."""
        return int(self.first.split()[1])

    @property
    def method(self):
        """Method of a request."""
        return self.first.split()[0]

    @property
    def target(self):
        """Target of a request."""
        return self.first.split()[1]

    def header(self, name):
        """Return the first value of a header, or an empty string."""
        for key, text in self.headers:
            if key.lower() == name.lower():
                return text
        return ''


async def read_head(reader):
    """Read the head of a message; return None at the end of the stream."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')[:-2]
    pairs = [line.partition(':') for line in lines]
    return Message(first, [(key, text.strip()) for key, _, text in pairs])


async def read_message(reader):
    """Read a message with its body; return None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    size = int(head.header('content-length') or 0)
    try:
        head.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head


def answer(status, headers=(), body=b''):
    """Format an answer."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{key}: {text}' for key, text in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Server:
    """Listens on an address; each connection is served by ``serve``."""

    def __init__(self, address):
        self.address = address
        self.listening = None
        self.tasks = set()
        self.writers = set()

    async def open(self):
        """Accept connections."""
        host, port = split_address(self.address)
        self.listening = await asyncio.start_server(
            self._accepted, host, port, limit=2**18
        )

    async def close(self):
        """Accept no more connections, and reset those that are open."""
        if self.listening is not None:
            self.listening.close()
        for task in tuple(self.tasks):
            task.cancel()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Serve a connection."""
        raise NotImplementedError

    async def _accepted(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.writers.add(writer)
        ended = (ConnectionError, EOFError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            await self.serve(reader, writer)
        self.tasks.discard(asyncio.current_task())
        self.writers.discard(writer)
        writer.close()


class Store(Server):
    """The platform's log, as far as the nodes use it: keyed topics."""

    def __init__(self, address):
        super().__init__(address)
        self.topics = {}
        self.changed = asyncio.Event()

    def put(self, topic, key, body):
        """Append a record as the operator does."""
        raw = bytes((len(key),)) + key.encode() + body
        self.topics.setdefault(topic, []).append(raw)
        self._notify()

    async def serve(self, reader, writer):
        """Serve the calls of one node."""
        while (call := await read_message(reader)) is not None:
            url = urlsplit(call.target)
            query = dict(parse_qsl(url.query))
            records = self.topics.setdefault(query['topic'], [])
            if url.path.endswith('log-append'):
                writer.write(self._append(records, call.body))
            elif url.path.endswith('log-newest'):
                writer.write(self._newest(records))
            else:
                writer.write(await self._read(records, query))

    def _append(self, records, body):
        first = len(records)
        while body:
            (size,) = struct.unpack('>I', body[:4])
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        self._notify()
        found = {'offset': first, 'end': len(records)}
        return answer(200, (), json.dumps(found).encode())

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _newest(self, records):
        newest = {}
        for offset, raw in enumerate(records):
            key, body = raw[1 : 1 + raw[0]], raw[1 + raw[0] :]
            newest[key] = (offset, body)
        items = [
            {
                'key': key.decode(),
                'value': base64.b64encode(body).decode(),
                'offset': offset,
            }
            for key, (offset, body) in sorted(newest.items())
            if body
        ]
        found = {'items': items, 'more': False, 'end': len(records)}
        return answer(200, (), json.dumps(found).encode())

    async def _read(self, records, query):
        first = int(query['from'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while len(records) <= first and time.monotonic() < until:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait(), until - time.monotonic()
                )
        body = struct.pack('>QQ', len(records), 0)
        for raw in records[first:]:
            body += struct.pack('>I', len(raw)) + raw
        return answer(200, (), body)


class Worker(Server):
    """A sound worker; a case may replace ``run``.

    Attributes
    ----------
    first_beat_late_s
        Time by which its first heartbeat arrives late, in seconds.
    runs
        Runs so far: time, service, instance, attempt id, method and target.
    """

    def __init__(self, service, address, control, record, slots=8, work_s=0.02):
        super().__init__(address)
        self.service = service
        self.control = control
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.instance = f'i-{uuid.uuid4().hex[:10]}'
        self.born = int(time.time() * 1000)
        self.zone = 'zone-a'
        self.running = 0
        self.sequence = 0
        self.first_beat_late_s = 0
        self.runs = []
        self.beats = None

    async def open(self):
        """Accept connections and send heartbeats."""
        await super().open()
        self.beats = asyncio.create_task(self._send_heartbeats())
        self.record.write(f'worker {self.instance} of {self.service} starts')

    async def close(self):
        """End as in a crash."""
        if self.beats is not None:
            self.beats.cancel()
        await super().close()
        self.record.write(f'worker {self.instance} of {self.service} ends')

    async def serve(self, reader, writer):
        """Serve one connection."""
        while (head := await read_head(reader)) is not None:
            if head.target == '/health':
                writer.write(answer(200, self.state_headers()))
                continue
            expected = head.header('Bilberryrail-Expect-Instance')
            if expected and expected != self.instance:
                await self.read_body(head, reader)
                own = [('Bilberryrail-Instance-Id', self.instance)]
                writer.write(answer(421, own))
                continue
            await self.run(head, reader, writer)

    async def read_body(self, head, reader):
        """Read the body of a request."""
        size = int(head.header('content-length') or 0)
        while size:
            size -= len(await reader.readexactly(min(size, 65536)))

    def begin(self, head):
        """Record that a request has begun to run."""
        attempt = head.header('Bilberryrail-Attempt-Id')
        self.runs.append(
            (time.monotonic(), self.service, self.instance, attempt, head.first)
        )
        self.record.write(
            f'worker {self.instance} of {self.service} runs {attempt} '
            f'{head.method} {head.target}'
        )

    async def run(self, head, reader, writer):
        """Run a request and answer it."""
        await self.read_body(head, reader)
        self.begin(head)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.answer_run(head, writer)

    def answer_run(self, head, writer):
        """Answer a request that has run."""
        attempt = head.header('Bilberryrail-Attempt-Id')
        headers = [
            ('Bilberryrail-Attempt-Id', attempt),
            ('Bilberryrail-Response-Seal', f'seal-{attempt}'),
            self.load_header(),
        ]
        writer.write(answer(200, headers, f'answer to {attempt}'.encode()))

    def load_header(self):
        """Return the header with the load."""
        return ('Bilberryrail-Server-Load', f'{self.running},0,{self.slots}')

    def state_headers(self):
        """Return the headers of an answer to a health check."""
        return [
            ('Bilberryrail-Instance-Id', self.instance),
            self.load_header(),
        ]

    async def _send_heartbeats(self):
        await asyncio.sleep(self.first_beat_late_s)
        while True:
            with contextlib.suppress(ConnectionError, asyncio.TimeoutError):
                await asyncio.wait_for(self._send_heartbeat(), 1)
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_heartbeat(self):
        self.sequence += 1
        body = json.dumps(
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'cold_remaining': 0,
                'seq': self.sequence,
                'born': self.born,
            }
        ).encode()
        reader, writer = await asyncio.open_connection(
            *split_address(self.control)
        )
        writer.write(
            (
                f'PUT /bilberryrail/instances/{self.instance} HTTP/1.1\r\n'
                f'Host: {self.control}\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            ).encode()
            + body
        )
        await read_message(reader)
        writer.close()


class Node:
    """The process of one node, with the settings of the deploy file."""

    def __init__(self, name, service, store, folder, record, zone='zone-a'):
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.zone = zone
        self.folder = pathlib.Path(folder)
        self.path = self.folder / f'{name}.json'
        self.output = self.folder / f'{name}.log'
        names = ('clients', 'ready', 'control', 'links', 'metrics', 'worker')
        self.addresses = {one: free_address() for one in names}
        self.process = None
        self.write_settings()

    def write_settings(self):
        """Write the settings, as the platform fills in the template."""
        ours = self.addresses
        self.path.write_text(
            json.dumps(
                {
                    'forwarding': {
                        'node': self.name,
                        'zone': self.zone,
                        'region': 'region-a',
                        'admission': {'cold_factor': 1.5, 'cold_slack': 5},
                        'repeats': {'ratio': 0.2, 'slack': 60, 'window_s': 10},
                    },
                    'listen': {
                        name: ours[name]
                        for name in (
                            'clients',
                            'ready',
                            'control',
                            'links',
                            'metrics',
                        )
                    },
                    'service': self.service,
                    'backend': ours['worker'],
                    'store': self.store,
                    'lifecycle': {'grace_s': 6},
                }
            )
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        with self.output.open('ab') as output:
            self.process = subprocess.Popen(
                shlex.split(deploy['roles']['node']['run']),
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BILBERRYRAIL_SETTINGS': str(self.path),
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.record.write(f'node {self.name} starts')

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)
            self.record.write(
                f'node {self.name} gets {signal.Signals(number).name}'
            )

    def memory_mb(self):
        """Return the memory that the process takes up."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status')
        with contextlib.suppress(OSError):
            for line in status.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        """Return whether the node answers the platform that it is ready."""
        try:
            connection = await Connection.open(self.addresses['ready'])
        except OSError:
            return False
        connection.write(
            b'GET /bilberryrail/ready HTTP/1.1\r\nHost: ready\r\n\r\n'
        )
        found = await connection.read(1)
        connection.close()
        return found is not None and found.status == 200

    async def wait_until_ready(self):
        """Wait for the start of the node."""
        until = time.monotonic() + START_S
        while not await self.is_ready():
            if time.monotonic() > until or not self.is_running:
                raise CannotRunError(f'node {self.name} is not ready')
            await asyncio.sleep(0.1)

    def end(self):
        """End the process."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class Connection:
    """Connection of a client."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        """Open a connection."""
        return cls(
            *await asyncio.open_connection(*split_address(address), limit=2**18)
        )

    def write(self, raw):
        """Send bytes."""
        self.writer.write(raw)

    async def read(self, timeout_s):
        """Return the next answer; None if there is none in time."""
        try:
            return await asyncio.wait_for(read_message(self.reader), timeout_s)
        except (TimeoutError, ConnectionError):
            return None

    def close(self):
        """Close the connection."""
        self.writer.close()


def attempt_id():
    """Return a new attempt id."""
    return uuid.uuid4().hex[:16]


def request(method, host, path, attempt, deadline_ms, body=b'', extra=()):
    """Format a request of a client."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'Bilberryrail-Attempt-Id: {attempt}',
        f'Bilberryrail-Deadline-Ms: {deadline_ms}',
        *extra,
    ]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def configuration(version, routes):
    """Return a configuration of the operator.

    Parameters
    ----------
    routes
        Host, kind, service and timeout in seconds of each route; its path
        begins with ``/`` and its service's name.
    """
    services = sorted({service for _, _, service, _ in routes})
    return json.dumps(
        {
            'version': version,
            'routes': {
                f'r-{service}-{kind}': {
                    'host': host,
                    'path_prefix': f'/{service}/',
                    'kind': kind,
                    'timeout': timeout_s,
                    'target_latency': 0.5,
                    'priority': 1,
                    'service': service,
                    'max_attempts': 2,
                    'allowed_regions': [],
                }
                for host, kind, service, timeout_s in routes
            },
            'services': {
                service: {
                    'health_check': '/health',
                    'max_connections': 220,
                    'protocol': 'h1',
                    'tls': False,
                    'cold_period': 3.0,
                    'cold_per_s': 40.0,
                }
                for service in services
            },
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout': 3,
                'idle_timeout': 15,
            },
        }
    ).encode()


async def start_deployment(kinds, routes, folder, record, started):
    """Start a store with a configuration, and nodes beside workers.

    Parameters
    ----------
    kinds
        Service of each worker, its class, and how long its work takes in
        seconds. The nodes are named a, b and so on.
    """
    store = Store(free_address())
    started.append(store)
    await store.open()
    store.put('keyed.op', 'config', configuration(7, routes))
    nodes, workers = [], []
    for name, (service, kind, work_s) in zip('abcdef', kinds, strict=False):
        node = Node(name, service, store.address, folder, record)
        worker = kind(
            service,
            node.addresses['worker'],
            node.addresses['control'],
            record,
            slots=18,
            work_s=work_s,
        )
        started += [node, worker]
        nodes.append(node)
        workers.append(worker)
        await worker.open()
        node.start()
    for node in nodes:
        await node.wait_until_ready()
    return nodes, workers


class Bystanders:
    """Clients with kept connections, and the platform's limit on memory.

    The clients send safe requests on the route ``/status/`` through a node, to
    a sound worker beside another node. The platform kills a process that takes
    up more than ``MEMORY_MB``.

    Attributes
    ----------
    lost
        Requests whose connection ended without an answer.
    held
        Whether the rule LOST held; known at the end.
    """

    def __init__(self, node, worker, host, record):
        self.node = node
        self.worker = worker
        self.host = host
        self.record = record
        self.lost = []
        self.held = True
        self.has_ended = False
        self.tasks = []

    async def __aenter__(self):
        """Start the clients, and watch the memory of the process."""
        self.tasks = [asyncio.create_task(self._watch_memory())]
        self.tasks += [
            asyncio.create_task(self._ask()) for _ in range(BYSTANDERS)
        ]
        return self

    async def __aexit__(self, *_):
        """Stop the clients, and judge."""
        await asyncio.sleep(1)
        self.has_ended = True
        await asyncio.gather(*self.tasks)
        passed_on = {run[3] for run in self.worker.runs}
        broken = [one for one in self.lost if one in passed_on]
        self.record.write(
            f'requests passed on to a sound worker whose connection ended '
            f'without an answer: {len(broken)}'
        )
        if not passed_on:
            raise CannotRunError('no request was passed on')
        self.held = len(broken) <= ALLOWED_LOST

    async def _ask(self):
        connection = await Connection.open(self.node.addresses['clients'])
        while not self.has_ended:
            attempt = attempt_id()
            connection.write(
                request('GET', self.host, '/status/x', attempt, 5000)
            )
            found = await connection.read(6)
            if found is None:
                self.record.write(
                    f'connection ends without an answer to {attempt}'
                )
                self.lost.append(attempt)
                return
            self.record.write(f'status {attempt} gets {found.status}')
        connection.close()

    async def _watch_memory(self):
        most_mb = 0
        while not self.has_ended and self.node.is_running:
            now_mb = self.node.memory_mb()
            if now_mb > most_mb + 10:
                most_mb = now_mb
                self.record.write(
                    f'node {self.node.name} takes up {most_mb:.0f} MB'
                )
            if now_mb > MEMORY_MB:
                self.node.send_signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.01)


async def wait_until_routed(node, host, path, record):
    """Wait until a node serves a route."""
    until = time.monotonic() + START_S
    while time.monotonic() < until:
        connection = await Connection.open(node.addresses['clients'])
        connection.write(request('GET', host, path, attempt_id(), 1000))
        found = await connection.read(2)
        connection.close()
        if found is not None and found.status == 200:
            return
        await asyncio.sleep(0.1)
    raise CannotRunError(f'node {node.name} does not serve {path}')


def main(folder, play):
    """Play a case in a temporary folder and return its exit code.

    Parameters
    ----------
    play
        Called with the record, the temporary folder, whether the disruption
        happens, and a list to which it adds what has to be ended; returns
        whether the rule held.
    """
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'disruption: {"yes" if has_trouble else "no"}')
    with tempfile.TemporaryDirectory() as temporary:
        code = asyncio.run(_play(play, record, temporary, has_trouble))
    record.write(f'exit code {code}')
    return code


async def _play(play, record, temporary, has_trouble):
    started = []
    try:
        held = await asyncio.wait_for(
            play(record, temporary, has_trouble, started), 110
        )
    except (TimeoutError, CannotRunError, OSError) as error:
        record.write(f'cannot run: {error!r}')
        return NOT_RUN
    finally:
        for one in started:
            if isinstance(one, Node):
                one.end()
        for one in started:
            if isinstance(one, Server):
                await one.close()
    return HELD if held else BROKEN

"""A small deployment of real nodes on loopback addresses, with stand-ins.

Nodes are processes that are started with the command and the settings template
of the deploy file. Backend servers, clients and the platform run in the process
of the script. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import hashlib
import http
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
GRACE_S = 6.0
CONTROL_PREFIX = '/bilberryrail/instances/'
Headers = dict[str, str]
#: Connections that the stand-ins have open.
_OPEN: set[asyncio.StreamWriter] = set()
#: Written again and again by a server whose answers do not end.
_ENDLESS = b'z' * 65536


class SetupError(Exception):
    """The case could not be run."""


@dataclass
class Message:
    """A parsed HTTP message; ``is_whole`` is false if it was cut short."""

    start: str
    headers: Headers
    body: bytes = b''
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split()[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split()[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split()[1]


async def read_message(
    reader: asyncio.StreamReader, *, is_bodiless: bool = False
) -> Message | None:
    """Read a message whose body has a length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers.setdefault(name.strip().lower(), text.strip())
    found = Message(start, headers)
    length = 0 if is_bodiless else int(headers.get('content-length', '0'))
    chunks = []
    while length:
        try:
            chunk = await reader.read(min(length, 65536))
        except ConnectionError:
            chunk = b''
        if not chunk:
            found.is_whole = False
            break
        chunks.append(chunk)
        length -= len(chunk)
    found.body = b''.join(chunks)
    return found


def answer_bytes(
    status: int, headers: Headers | None = None, body: bytes = b''
) -> bytes:
    """Format an answer."""
    lines = [f'HTTP/1.1 {status} {http.HTTPStatus(status).phrase}']
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def request_bytes(
    method: str, target: str, headers: Headers, body: bytes = b''
) -> bytes:
    """Format a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body or method in {'POST', 'PUT'}:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]]


async def serve_http(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests one after another on each connection.

    A handler that returns None has no answer; the connection is then reset.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _OPEN.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                if request is None or not request.is_whole:
                    break
                answer = await handler(request, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        _OPEN.discard(writer)
        writer.transport.abort()

    return await asyncio.start_server(serve, host, port, limit=2**20)


class Store:
    """The platform's log with keyed topics, as PROTOCOL.md describes it."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.address = f'{host}:{port}'
        self.topics: dict[str, list[bytes]] = {}
        self.changed = asyncio.Condition()

    async def start(self) -> None:
        """Start to serve."""
        self.server = await serve_http(self.host, self.port, self._serve)

    async def write(self, topic: str, key: str, value: bytes) -> None:
        """Append one record as an operator does."""
        record = bytes((len(key),)) + key.encode() + value
        await self._append(topic, [record])

    async def _append(self, topic: str, records: list[bytes]) -> int:
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log += records
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def _serve(self, request: Message, _: object) -> bytes:
        await asyncio.sleep(0.004)
        path, _, query = request.target.partition('?')
        words = dict(one.split('=') for one in query.split('&') if one)
        topic = words.get('topic', '')
        headers = {'Store-Era': '1', 'Content-Type': 'application/json'}
        log = self.topics.get(topic, [])
        if path.endswith('log-newest'):
            return answer_bytes(200, headers, self._newest(log))
        if path.endswith('log-append'):
            records = list(_split(request.body))
            offset = await self._append(topic, records)
            body = json.dumps({'offset': offset, 'end': offset + len(records)})
            return answer_bytes(200, headers, body.encode())
        start = int(words['from'])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(words.get('wait_ms', '0')) / 1000):
                async with self.changed:
                    await self.changed.wait_for(
                        lambda: len(self.topics.get(topic, [])) > start
                    )
        log = self.topics.get(topic, [])
        body = struct.pack('>QQ', len(log), 0)
        for record in log[start:]:
            body += struct.pack('>I', len(record)) + record
        return answer_bytes(200, headers, body)

    def _newest(self, log: list[bytes]) -> bytes:
        found = {}
        for offset, record in enumerate(log):
            end = 1 + record[0]
            found[record[1:end].decode()] = (record[end:], offset)
        rows = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (value, offset) in found.items()
            if value
        ]
        page = {'items': rows, 'more': False, 'end': len(log)}
        return json.dumps(page).encode()


def _split(body: bytes) -> list[bytes]:
    records = []
    while body:
        length = struct.unpack_from('>I', body)[0]
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records


class Worker:
    """A backend server that behaves as PROTOCOL.md says.

    ``run`` may be replaced; it gets the request and returns the answer. So may
    ``refuses``, which says whether the server is full, and ``spoil``, which
    gets the connection and the bytes that are written to it. While
    ``never_ends`` is true, its answers have no length and no end.
    """

    def __init__(self, node: 'Node', record: Callable[..., None]) -> None:
        self.node = node
        self.record = record
        self.instance = f'i-{random.getrandbits(40):010x}'
        self.born = int(time.time() * 1000)
        self.slots = 18
        self.running = 0
        self.state = 'ready'
        self.sequence = 0
        self.run: Callable[[Message], Awaitable[bytes]] = self.run_soundly
        self.work_s: Callable[[Message], float] = lambda _: 0.1
        self.refuses: Callable[[], bool] = self.is_full
        self.spoil: Callable[[object, bytes], bytes] = lambda _, answer: answer
        self.body_bytes = 1500
        self.never_ends = False

    async def start(self) -> None:
        """Start to serve and to send heartbeats."""
        host, port = self.node.app
        self.server = await serve_http(host, port, self._serve)
        self.beats = asyncio.create_task(self._send_heartbeats())

    @property
    def load(self) -> Headers:
        """Header with the present load."""
        text = f'{self.running},0,{self.slots},100'
        return {'Bilberryrail-Server-Load': text}

    def is_full(self) -> bool:
        """Return whether all slots and the queue are taken."""
        return self.running >= 3 * self.slots

    async def run_soundly(self, request: Message) -> bytes:
        """Run a request for ``work_s`` and answer it with success."""
        await asyncio.sleep(self.work_s(request))
        return self.sealed(request, 200, b'x' * self.body_bytes)

    def sealed(self, request: Message, status: int, body: bytes) -> bytes:
        """Format an answer with the server's seal."""
        attempt = request.headers.get('bilberryrail-attempt-id', '')
        headers = {
            'Bilberryrail-Response-Seal': seal_of(attempt, status, body),
            **self.load,
            'Bilberryrail-Attempt-Id': attempt,
            'Keep-Alive': 'timeout=10',
        }
        return answer_bytes(status, headers, body)

    async def _serve(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        if request.target == '/health':
            status = 200 if self.state == 'ready' else 503
            who = {'Bilberryrail-Instance-Id': self.instance}
            return answer_bytes(status, who | self.load)
        attempt = request.headers.get('bilberryrail-attempt-id', '')
        echo = {'Bilberryrail-Attempt-Id': attempt}
        expected = request.headers.get('bilberryrail-expect-instance')
        if expected not in {None, self.instance}:
            who = {'Bilberryrail-Instance-Id': self.instance}
            return answer_bytes(421, who | echo)
        if self.refuses():
            self.record('refused', attempt, worker=self.instance)
            not_run = {'Bilberryrail-Not-Executed': '1'}
            refusal = answer_bytes(503, not_run | self.load | echo)
            return self.spoil(writer, refusal)
        self.running += 1
        self.record(
            'run',
            attempt,
            worker=self.instance,
            service=self.node.service,
            bytes=len(request.body),
        )
        run = asyncio.ensure_future(self.run(request))
        try:
            while not run.done():
                await asyncio.wait([run], timeout=0.05)
                if writer.transport.is_closing():
                    run.cancel()
                    self.record('dropped', attempt, worker=self.instance)
                    return None
            self.record('done', attempt, worker=self.instance)
            if self.never_ends:
                await self._write_without_end(request, writer)
                return None
            return self.spoil(writer, run.result())
        finally:
            self.running -= 1

    async def _write_without_end(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Write an answer without a length until the connection is closed."""
        attempt = request.headers.get('bilberryrail-attempt-id', '')
        lines = [
            'HTTP/1.1 200 OK',
            f'Bilberryrail-Attempt-Id: {attempt}',
            '',
            '',
        ]
        writer.write('\r\n'.join(lines).encode())
        while True:
            writer.write(_ENDLESS)
            await writer.drain()

    async def _send_heartbeats(self) -> None:
        while True:
            self.sequence += 1
            body = {
                'service': self.node.service,
                'address': self.node.app_text,
                'zone': self.node.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'cold_remaining': 0,
                'seq': self.sequence,
                'born': self.born,
            }
            await call(
                self.node.control,
                request_bytes(
                    'PUT',
                    CONTROL_PREFIX + self.instance,
                    {'Host': 'node', 'Content-Type': 'application/json'},
                    json.dumps(body).encode(),
                ),
            )
            await asyncio.sleep(1.5)


async def call(
    address: tuple[str, int], payload: bytes, timeout_s: float = 1.0
) -> Message | None:
    """Make one call over a new connection; None if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(payload)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


@dataclass
class Node:
    """One machine: a node process with its own loopback address."""

    name: str
    ip: str
    zone: str
    region: str
    service: str
    ports: dict[str, int]
    store: str
    folder: pathlib.Path
    child: subprocess.Popen[bytes] | None = None
    starts: int = 0
    is_out: bool = False
    misses: int = 0
    term_at: float = 0
    output: pathlib.Path = field(init=False)

    def __post_init__(self) -> None:
        """Write the settings file from the template of the deploy file."""
        self.output = self.folder / f'{self.name}.log'
        self.settings = self.folder / f'{self.name}.json'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['node']
        self.command = role['run'].split()
        template = (ROOT / role['template']).read_text()
        self.settings.write_text(fill(template, self._fields()))

    @property
    def app(self) -> tuple[str, int]:
        """Address of the worker."""
        return (self.ip, self.ports['app'])

    @property
    def app_text(self) -> str:
        """Address of the worker as text."""
        return f'{self.ip}:{self.ports["app"]}'

    @property
    def outbound(self) -> tuple[str, int]:
        """Address for clients."""
        return (self.ip, self.ports['outbound'])

    @property
    def control(self) -> tuple[str, int]:
        """Address for heartbeats."""
        return (self.ip, self.ports['control'])

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.child is not None and self.child.poll() is None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        self.starts += 1
        with self.output.open('ab') as output:
            self.child = subprocess.Popen(
                [sys.executable, *self.command[1:]],
                cwd=ROOT,
                env={
                    **kept,
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'BILBERRYRAIL_SETTINGS': str(self.settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            self.child.send_signal(signum)

    def _fields(self) -> dict[str, object]:
        return {
            'node': self.name,
            'ip': self.ip,
            'zone': self.zone,
            'region': self.region,
            'app': self.app_text,
            'service': self.service,
            'internal_ports': [self.ports['links'], self.ports['links']],
            'listen': {
                name: f'{self.ip}:{self.ports[name]}'
                for name in ('outbound', 'ready', 'control')
            },
            'platform': {'address': self.store},
            'bounds': {
                'grace': GRACE_S,
                'cold_factor': 1.5,
                'cold_slack': 5,
                'retry_budget_ratio': 0.2,
                'budget_slack': 58,
                'budget_window': 10,
            },
        }


def fill(template: str, fields: dict[str, object]) -> str:
    """Fill in the placeholders of a settings template."""

    def replaced(found: re.Match[str]) -> str:
        name, _, form = found[1].partition('|')
        value: object = fields
        for word in name.split('.'):
            value = value[int(word)] if word.isdigit() else value[word]
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([^}]+)\}\}', replaced, template)


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of an address that are free now."""
    found = []
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            one = stack.enter_context(socket.socket())
            one.bind((host, 0))
            found.append(one.getsockname()[1])
    return found


class Deployment:
    """Nodes, their workers, and the platform; also keeps the record.

    ``shape`` holds a zone, a region and a service for each machine.
    """

    def __init__(
        self,
        case: pathlib.Path,
        shape: list[tuple[str, str, str]],
        config: dict[str, object],
    ) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='bilberryrail-'))
        self.began_at = time.monotonic()
        self.record_file = (case / 'record.txt').open('w')
        octet = random.randrange(1, 250)
        store_ip = f'127.{octet}.250.1'
        self.store = Store(store_ip, free_ports(store_ip, 1)[0])
        self.config = config
        self.nodes = []
        names = ('app', 'outbound', 'ready', 'control', 'links')
        for index, (zone, region, service) in enumerate(shape):
            ip = f'127.{octet}.1.{10 + index}'
            ports = dict(zip(names, free_ports(ip, len(names)), strict=True))
            self.nodes.append(
                Node(
                    f'n{index}',
                    ip,
                    zone,
                    region,
                    service,
                    ports,
                    self.store.address,
                    self.folder,
                )
            )
        self.workers = {
            node.name: Worker(node, self.record) for node in self.nodes
        }
        self.tasks: list[asyncio.Task[None]] = []

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began_at

    def record(self, event: str, attempt: str = '-', **fields: object) -> None:
        """Write one line of the record."""
        words = ' '.join(f'{name}={text}' for name, text in fields.items())
        line = f'{self.now():8.3f} {event} {attempt} {words}'
        self.record_file.write(f'{line}\n')
        self.record_file.flush()

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready and linked."""
        await self.store.start()
        raw = json.dumps(self.config).encode()
        await self.store.write('keyed.op', 'config', raw)
        for node in self.nodes:
            node.start()
        for worker in self.workers.values():
            await worker.start()
        self.tasks.append(asyncio.create_task(self._check_ready()))
        deadline = time.monotonic() + 20
        while not all(await asyncio.gather(*map(self.is_ready, self.nodes))):
            if time.monotonic() > deadline:
                raise SetupError('nodes are not ready within 20 s')
            await asyncio.sleep(0.2)
        # Links between all nodes open within a second or two.
        await asyncio.sleep(4)

    async def stop(self) -> None:
        """End all processes that the case has started."""
        for node in self.nodes:
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
            if node.child is not None:
                node.child.wait()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in tuple(_OPEN):
            writer.transport.abort()
        # Lets the transports close before the loop does.
        await asyncio.sleep(0.1)
        shutil.rmtree(self.folder)
        self.record_file.close()

    async def is_ready(self, node: Node) -> bool:
        """Ask a node whether it is ready, as the platform does."""
        address = (node.ip, node.ports['ready'])
        payload = request_bytes('GET', '/bilberryrail/ready', {'Host': 'n'})
        answer = await call(address, payload)
        return answer is not None and answer.status == 200

    def takes_clients(self, node: Node) -> bool:
        """Return whether the platform lets clients send new work to a node.

        After two misses they send none, unless fewer than half of the zone's
        nodes are in.
        """
        zone = [one for one in self.nodes if one.zone == node.zone]
        count = sum(not one.is_out for one in zone)
        return not node.is_out or count * 2 < len(zone)

    async def _check_ready(self) -> None:
        while True:
            answers = await asyncio.gather(*map(self.is_ready, self.nodes))
            for node, is_ready in zip(self.nodes, answers, strict=True):
                node.misses = 0 if is_ready else node.misses + 1
                was_out = node.is_out
                node.is_out = node.misses >= 2
                if node.is_out != was_out:
                    self.record('platform', node=node.name, out=node.is_out)
            await asyncio.sleep(1)


def seal_of(attempt: str, status: int, body: bytes) -> str:
    """Return the seal of an answer; it fits no other answer."""
    sealed = f'{attempt} {status} '.encode() + body
    return hashlib.blake2b(sealed, digest_size=12).hexdigest()


def attempt_of(answer: bytes) -> str:
    """Return the id of the attempt that an answer names."""
    found = re.search(rb'(?i)attempt-id: (\S+)', answer)
    return found[1].decode() if found else '-'


def attempt_id() -> str:
    """Return a new id of a client's attempt."""
    return f'{random.getrandbits(64):016x}'


def configuration(
    routes: dict[str, dict[str, object]], services: list[str]
) -> dict[str, object]:
    """Return a configuration with limits like those of the example."""
    return {
        'version': 7,
        'routes': routes,
        'services': {
            name: {
                'health_check': '/health',
                'max_connections': 220,
                'protocol': 'h1',
                'tls': False,
                'cold_period': 3.0,
                'cold_per_s': 200.0,
            }
            for name in services
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout': 3,
            'idle_timeout': 15,
        },
    }


def run_case(
    case: pathlib.Path,
    make: Callable[[pathlib.Path], Deployment],
    play: Callable[[Deployment, bool], Awaitable[bool]],
) -> int:
    """Run a case; return its exit code.

    ``play`` gets whether there is a disruption, and returns whether the rule
    held. The environment variable ``TROUBLE=0`` leaves the disruption out.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        deployment = make(case)
        # The processes of the nodes are ended also if the script is stopped.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                has_held = await play(deployment, has_trouble)
        except (Exception, asyncio.CancelledError) as error:
            # An error of the script shows nothing about the rule.
            deployment.record('not-run', reason=repr(error))
            traceback.print_exc()
            return NOT_RUN
        finally:
            await deployment.stop()
        return HELD if has_held else BROKEN

    return asyncio.run(run())

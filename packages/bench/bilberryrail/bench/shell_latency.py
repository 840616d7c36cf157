"""Measures the latency that the shell adds to a call on loopback.

Run in the developers' environment:
``python -m bilberryrail.bench.shell_latency --calls 3000 --rate 200``

Ingress, target and backend server run in processes of their own. Both engines
are scripted, so the figures are the cost of the shell alone. The caller sends
one call at a time, alternately through the nodes and directly to the backend
server, and pauses after each pair for the interval given by the rate.
"""

import asyncio
import contextlib
import pathlib
import subprocess
import sys
import time
from typing import Final

import msgspec
import typer

from bilberryrail.bench.raw_http import RawClient, request_bytes
from bilberryrail.bench.shell_roles import Layout, Role, new_layout

#: Calls before the measurement, which open connections and fill caches.
WARM_UP_CALLS: Final = 300
#: Time that the other processes get to start listening, in seconds.
START_S: Final = 2.0
#: Quantiles that are reported.
QUANTILES: Final = (0.5, 0.9, 0.99)

_REQUEST: Final = request_bytes(
    '/v1/services/bookings/calls',
    'Bilberryrail-Tenant: club\r\n',
    bytes(200),
)


def measure(calls: int = 3000, rate: float = 200) -> None:
    """Print latencies in ms and the metrics of both nodes' steps."""
    layout = new_layout()
    with contextlib.ExitStack() as stack:
        processes = {role: _start(role, layout) for role in Role}
        for process in processes.values():
            stack.callback(_end, process)
        time.sleep(START_S)
        measured = asyncio.run(measure_layout(layout, calls, 1 / rate))
        report(*measured)
        for role in (Role.INGRESS, Role.TARGET):
            resident = resident_mb(processes[role].pid)
            typer.echo(f'{role.value} resident: {resident:.1f} MB')


def report(
    through: list[float],
    direct: list[float],
    metrics: list[str],
) -> None:
    """Print latencies in ms and the metrics of both nodes' steps."""
    _print('through two nodes', through)
    _print('direct', direct)
    _print('added', _added(through, direct))
    for name, text in zip(('ingress', 'target'), metrics, strict=True):
        for line in text.splitlines():
            if '_step_seconds_sum' in line or '_step_seconds_count' in line:
                typer.echo(f'{name} {line}')


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB (10^6 bytes)."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    _, _, rest = status.partition('VmRSS:')
    return int(rest.split()[0]) * 1024 / 1e6


def _end(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    process.wait()


def _start(role: Role, layout: Layout) -> subprocess.Popen[bytes]:
    encoded = msgspec.json.encode(layout).decode()
    module = 'bilberryrail.bench.shell_roles'
    return subprocess.Popen(
        [sys.executable, '-m', module, role.value, encoded],
    )


async def measure_layout(
    layout: Layout,
    calls: int,
    interval_s: float,
) -> tuple[list[float], list[float], list[str]]:
    """Measure calls through both nodes, direct calls, and the metrics."""
    ingress = RawClient(layout.ingress.engine.identity.http_port)
    backend = RawClient(layout.target.backend.port)
    await _series((ingress, backend), WARM_UP_CALLS, interval_s)
    through, direct = await _series((ingress, backend), calls, interval_s)
    metrics = [
        await _metrics(layout.ingress.operator_port),
        await _metrics(layout.target.operator_port),
    ]
    return through, direct, metrics


async def _series(
    clients: tuple[RawClient, RawClient],
    calls: int,
    interval_s: float,
) -> tuple[list[float], list[float]]:
    latencies: tuple[list[float], list[float]] = ([], [])
    through, direct = clients
    for _ in range(calls):  # noqa: WPS476
        latencies[0].append(await _timed(through))  # noqa: WPS476
        latencies[1].append(await _timed(direct))  # noqa: WPS476
        await asyncio.sleep(interval_s)  # noqa: WPS476
    return latencies


async def _timed(client: RawClient) -> float:
    started_at = time.perf_counter()
    answer = await client.ask(_REQUEST)
    elapsed = time.perf_counter() - started_at
    if answer.status != 200:
        raise RuntimeError(f'call failed: expected status 200, got {answer}')
    return elapsed


async def _metrics(port: int) -> str:
    client = RawClient(port)
    await client.send(b'GET /metrics HTTP/1.0\r\n\r\n')
    reader, _ = client.streams
    return (await reader.read()).decode()


def _added(through: list[float], direct: list[float]) -> list[float]:
    """Subtract the median direct latency from each call through the nodes."""
    base = sorted(direct)[len(direct) // 2]
    return [latency - base for latency in through]


def _print(name: str, latencies: list[float]) -> None:
    ordered = sorted(latencies)
    figures = ' '.join(
        f'p{share * 100:g}={ordered[int(share * len(ordered))] * 1000:.3f}'
        for share in QUANTILES
    )
    typer.echo(f'{name}: {figures} ms, {len(ordered)} calls')


if __name__ == '__main__':
    typer.run(measure)

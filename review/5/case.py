"""Uploads within the configured limit exceed the memory of the nodes.

Rule Fault: processes end by themselves three times on a tenth of the machines,
two at least; memory over the limit counts. Exits with 0 if the rule held, 1 if
it was broken, 2 if the case could not run. With ``TROUBLE=0`` the bodies are
as small as those of the site.
"""

import asyncio
import contextlib
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

CASE = pathlib.Path(__file__).resolve().parent
#: Limit of a node's memory in the settings of the site, ``memory_mb``.
MEMORY_MB = 300
#: Ends of one machine's processes, and machines with so many, that break Fault.
MAX_ENDS = 3
MIN_MACHINES = 2
#: Body of an upload, in bytes; the configuration allows 67,108,864.
UPLOAD_BYTES = 60_000_000
SMALL_BYTES = 24_000
#: Uploads to one machine at the same time.
CLIENTS = 3
DEADLINE_S = 5.0
LENGTH_S = 40.0
#: Pause before the platform starts a process again, in seconds.
RESTART_S = 0.5
_CHUNK_BYTES = 262_144


def make(case: pathlib.Path) -> harness.Deployment:
    """Build four machines; the clients are at the last two."""
    shape = [
        ('izmir-a', 'ege', 'basvuru'),
        ('manisa-b', 'ege', 'basvuru'),
        ('izmir-a', 'ege', 'sorgu'),
        ('manisa-b', 'ege', 'sorgu'),
    ]
    routes = {
        'apply': {
            'host': 'kettle.example',
            'path_prefix': '/apply/',
            'kind': 'unsafe',
            'timeout': DEADLINE_S,
            'target_latency': 0.8,
            'priority': 1,
            'service': 'basvuru',
            'max_attempts': 2,
            'allowed_regions': [],
        }
    }
    config = harness.configuration(routes, ['basvuru', 'sorgu'])
    return harness.Deployment(case, shape, config)


def memory_mb(node: harness.Node) -> float:
    """Return the resident memory of a node's process, in MB."""
    path = pathlib.Path(f'/proc/{node.child.pid}/status')
    with contextlib.suppress(OSError):
        for line in path.read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024 / 1e6
    return 0


async def limit_memory(
    deployment: harness.Deployment, node: harness.Node, ends: dict[str, int]
) -> None:
    """Kill a process over its limit, and start it again, as the platform."""
    while True:
        used_mb = memory_mb(node) if node.is_running else 0
        is_over = used_mb > MEMORY_MB
        if is_over:
            node.send(signal.SIGKILL)
        if is_over or not node.is_running:
            node.child.wait()
            ends[node.name] += 1
            deployment.record(
                'ended',
                node=node.name,
                used_mb=round(used_mb),
                ends=ends[node.name],
            )
            await asyncio.sleep(RESTART_S)
            node.start()
        await asyncio.sleep(0.02)


async def upload(
    deployment: harness.Deployment, node: harness.Node, size: int
) -> None:
    """Send one application with a body of a size."""
    attempt = harness.attempt_id()
    head = (
        'POST /apply/drawings HTTP/1.1\r\nHost: kettle.example\r\n'
        f'Bilberryrail-Attempt-Id: {attempt}\r\n'
        f'Bilberryrail-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n'
        f'Content-Length: {size}\r\n\r\n'
    )
    deployment.record('sent', attempt, node=node.name, bytes=size)
    answer = None
    writer = None
    chunk = b'd' * _CHUNK_BYTES
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(DEADLINE_S):
            reader, writer = await asyncio.open_connection(*node.outbound)
            writer.write(head.encode())
            while size:
                writer.write(chunk[:size])
                size -= min(size, len(chunk))
                await writer.drain()
            answer = await harness.read_message(reader)
    if writer is not None:
        writer.transport.abort()
    status = answer.status if answer else 'none'
    deployment.record('answered', attempt, status=status)


async def play(deployment: harness.Deployment, has_trouble: bool) -> bool:
    """Upload at two machines; return whether Fault held."""
    size = UPLOAD_BYTES if has_trouble else SMALL_BYTES
    ends = {node.name: 0 for node in deployment.nodes}
    for node in deployment.nodes:
        watch = limit_memory(deployment, node, ends)
        deployment.tasks.append(asyncio.create_task(watch))
    clients = deployment.nodes[-MIN_MACHINES:]
    began_at = time.monotonic()
    while time.monotonic() - began_at < LENGTH_S and not is_broken(ends):
        ready = [node for node in clients if await deployment.is_ready(node)]
        await asyncio.gather(
            *(
                upload(deployment, node, size)
                for node in ready
                for _ in range(CLIENTS)
            )
        )
        await asyncio.sleep(0.5)
    deployment.record('result', **ends)
    return not is_broken(ends)


def is_broken(ends: dict[str, int]) -> bool:
    """Return whether the ends of processes break the rule."""
    count = sum(number >= MAX_ENDS for number in ends.values())
    return count >= max(MIN_MACHINES, len(ends) / 10)


if __name__ == '__main__':
    sys.exit(harness.run_case(CASE, make, play))

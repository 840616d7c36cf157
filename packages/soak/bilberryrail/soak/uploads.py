"""Sends large bodies to the nodes, several at once."""

import itertools
from pathlib import Path
from typing import Final

from twisted.internet.defer import DeferredList, ensureDeferred
from twisted.internet.task import deferLater

from bilberryrail.adapter import names
from bilberryrail.forwarding.records import HttpRequest
from bilberryrail.gateway.answer_reader import RawAnswer
from bilberryrail.gateway.http_channel import ChannelError
from bilberryrail.soak import topology
from bilberryrail.soak.driver import Driver

#: Size of a body, in bytes; the configuration allows 67,108,864.
BODY_BYTES: Final = 60_000_000

#: Bodies that are sent to one node at the same time.
UPLOADS_AT_ONCE: Final = 3

#: Time that the client waits for an answer, in seconds.
PATIENCE_S: Final = 5.0

#: Longest pause between two groups of uploads, in seconds.
MAX_PAUSE_S: Final = 1.0

#: Interval at which the memory of the processes is read, in seconds.
SAMPLE_S: Final = 0.05

_KIB: Final = 1024


class UploadDriver(Driver):
    """Uploads to random nodes, and records the largest memory of all nodes."""

    async def run(self, ends_at: float) -> None:
        """Upload groups of bodies until a time."""
        ensureDeferred(self._record_memory(ends_at + PATIENCE_S))
        body = bytes(BODY_BYTES)
        numbers = itertools.count(1)
        while self.reactor.seconds() < ends_at:
            host = self.random.choice(self.fleet.hosts)
            self.remember('upload', host.name)
            uploads = [
                ensureDeferred(self._upload(host, next(numbers), body))
                for _ in range(UPLOADS_AT_ONCE)
            ]
            await DeferredList(uploads)
            await self.pause(MAX_PAUSE_S)

    async def _upload(
        self, host: topology.Host, number: int, body: bytes
    ) -> None:
        headers = (
            (b'Host', topology.BOOKING.host.encode()),
            (names.ATTEMPT_ID, f'{host.name}/upload-{number}'.encode()),
            (names.DEADLINE_MS, b'%d' % int(PATIENCE_S * 1000)),
        )
        target = f'{topology.BOOKING.prefix}{number}'.encode()
        found = await self.send(
            host.address('clients'),
            HttpRequest(b'POST', target, headers, body),
            PATIENCE_S,
        )
        match found:
            case ChannelError():
                self.remember(f'upload failed: {found}', host.name)
            case RawAnswer(status=status):
                self.remember(f'upload answered {status}', host.name)

    async def _record_memory(self, ends_at: float) -> None:
        most = self.fleet.observations.memory_bytes
        while self.reactor.seconds() < ends_at:
            for name, node in self.fleet.nodes.items():
                if node.is_running:
                    used = resident_bytes(node.child.pid)
                    most[name] = max(used, most.get(name, 0))
            await deferLater(self.reactor, SAMPLE_S)


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process; zero if it has ended."""
    try:
        status = Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * _KIB
    return 0

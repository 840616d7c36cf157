"""Writes malformed records to the store and sends malformed heartbeats."""

from typing import Final

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from bilberryrail.adapter import names
from bilberryrail.forwarding.records import HttpRequest
from bilberryrail.soak.driver import Driver
from bilberryrail.soak.fleet import STRANGER

#: Mean pause between two malformed records, in seconds.
PAUSE_S: Final = 2.0

_TIMEOUT_S: Final = 1.0
_MAX_PORT: Final = 65535

_NUMBERS: Final = (0, -1, 70_000, 2**63 - 1, 2**64 - 1)
_DEEP_JSON: Final = b'{"x":%b' % (b'[' * 100_000)
#: A map with one field, whose name is not known and whose value is nested.
_DEEP_MESSAGE: Final = b'\x81\xa1x%b' % (b'\x91' * 100_000)


class MalformedInputDriver(Driver):
    """Writes what no node or backend server of this version would write."""

    async def run(self, ends_at: float) -> None:
        """Write malformed records until a time."""
        kinds = (self.announce, self.write_note, self.send_heartbeat)
        while self.reactor.seconds() < ends_at:
            pause_s = self.random.expovariate(1 / PAUSE_S)
            await deferLater(self.reactor, pause_s)
            kind = self.random.choice(kinds)
            host = self.random.choice(self.fleet.hosts).name
            self.remember(kind.__name__, host)
            kind(host)

    def announce(self, host: str) -> None:
        """Write an announcement of a node that does not exist."""
        malformed = {
            'node': STRANGER,
            'incarnation': 1,
            'started_ms': self.random.choice(_NUMBERS),
            'serial': self.random.choice(_NUMBERS),
            'host': self.random.choice(('127.0.0.1', 'nowhere', '')),
            'port': self.random.choice((0, _MAX_PORT + 1, -1)),
            'zone': 'nowhere',
            'region': 'nowhere',
            'service': 'nothing',
            'instance': '',
            'phase': 'ready',
        }
        payload = msgspec.msgpack.encode(malformed)
        payload = self.random.choice((payload, _DEEP_MESSAGE, b'\xff'))
        self.fleet.log.put(names.MEMBER_TOPIC, STRANGER, payload)

    def write_note(self, host: str) -> None:
        """Write a record of the operators that has no meaning to a node."""
        self.fleet.log.put(names.OPERATOR_TOPIC, 'note', _DEEP_JSON)

    def send_heartbeat(self, host: str) -> None:
        """Send a heartbeat with a number out of range, or nested deeply."""
        backend = self.fleet.backends[host]
        body = {
            'service': backend.service,
            'address': f'{backend.address.host}:{backend.address.port}',
            'zone': backend.zone,
            'version': 'v1',
            'slots': backend.slots,
            'state': 'ready',
            'cold_remaining': 0,
            'seq': 1,
            'born': backend.born_ms,
        }
        field = self.random.choice(('slots', 'seq', 'born', 'cold_remaining'))
        body[field] = self.random.choice((10**30, 2**64, 1e300, -1))
        payload = msgspec.json.encode(body)
        payload = self.random.choice((payload, _DEEP_JSON))
        target = names.INSTANCES_PATH + backend.instance.encode()
        # The node may be down; what it answers does not matter here.
        sending = self.send(
            self.fleet.nodes[host].host.address('control'),
            HttpRequest(b'PUT', target, (), payload),
            _TIMEOUT_S,
        )
        ensureDeferred(sending)

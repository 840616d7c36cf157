"""Settings of the process, read from JSON and checked."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    RegionId,
    ServiceId,
)
from bilberryrail.forwarding.settings import ForwardingSettings

#: An IPv4 address and a port, as ``10.1.0.8:8300``.
_AddressText = Annotated[
    str,
    msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'),
]


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Split an address that the settings' pattern has checked."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


class ListenSettings(msgspec.Struct, frozen=True):
    """Addresses on which the process serves.

    Attributes
    ----------
    clients
        Requests of the clients on this host and of the backend server.
    ready
        The platform's question whether the process is ready.
    control
        Announcements of the backend server.
    links
        Links of other nodes.
    public_links
        Address at which other nodes reach the links; the same if empty.
    metrics
        Metrics as text.
    """

    clients: _AddressText
    ready: _AddressText
    control: _AddressText
    links: _AddressText
    metrics: _AddressText
    public_links: _AddressText | None = None


class LifecycleSettings(msgspec.Struct, frozen=True):
    """Times of a shutdown.

    Attributes
    ----------
    grace_s
        Time from SIGTERM until the process is killed.
    """

    grace_s: float = 6.0


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of the process.

    Attributes
    ----------
    service, backend
        Service and address of the backend server beside the node.
    store
        Address of the platform's store.
    """

    forwarding: ForwardingSettings
    listen: ListenSettings
    service: ServiceId
    backend: _AddressText
    store: _AddressText
    lifecycle: LifecycleSettings = LifecycleSettings()

    @property
    def node(self) -> NodeId:
        """Name of this node."""
        return self.forwarding.node

    @property
    def zone(self) -> AvailabilityZoneId:
        """Availability zone of this node."""
        return self.forwarding.zone

    @property
    def region(self) -> RegionId:
        """Region of this node."""
        return self.forwarding.region


class SettingsError(Exception):
    """Settings that cannot be used; the text names the field."""


def read_settings(path: Path) -> Result[GatewaySettings, SettingsError]:
    """Read and check settings in JSON."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        return Err(SettingsError(f'{path}: {error.strerror}'))
    return parse_settings(raw, str(path))


def parse_settings(
    raw: bytes,
    name: str = 'settings',
) -> Result[GatewaySettings, SettingsError]:
    """Check settings in JSON."""
    try:
        found = msgspec.json.decode(raw, type=GatewaySettings)
    except msgspec.ValidationError as error:
        return Err(SettingsError(f'{name}: {error}'))
    except msgspec.DecodeError as error:
        return Err(SettingsError(f'{name} is no JSON: {error}'))
    return Ok(found)

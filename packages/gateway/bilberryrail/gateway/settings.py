"""Settings of the node process, read from JSON and validated."""

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
from bilberryrail.gateway.memory_budget import MAX_LARGE_BYTES

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
    """Split an address that matches the pattern of the settings."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


class ListenSettings(msgspec.Struct, frozen=True):
    """Addresses on which the process listens.

    Attributes
    ----------
    clients
        For requests of clients on this host and of the backend server.
    ready
        For the platform's readiness checks.
    control
        For announcements of the backend server.
    links
        For links of other nodes.
    public_links
        Address at which other nodes reach ``links``, if it differs.
    metrics
        For metrics in the Prometheus text format.
    """

    clients: _AddressText
    ready: _AddressText
    control: _AddressText
    links: _AddressText
    metrics: _AddressText
    public_links: _AddressText | None = None


class LifecycleSettings(msgspec.Struct, frozen=True):
    """Settings of the shutdown.

    Attributes
    ----------
    grace_s
        Time from SIGTERM until the platform kills the process.
    """

    grace_s: float = 6.0


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of the process.

    Attributes
    ----------
    service, backend
        Service and address of the node's backend server.
    store
        Address of the platform's store.
    max_body_memory_bytes
        Limit on the bodies of large requests that are held together, in bytes.
        A larger body is never accepted, even if the operators allow it.
    """

    forwarding: ForwardingSettings
    listen: ListenSettings
    service: ServiceId
    backend: _AddressText
    store: _AddressText
    lifecycle: LifecycleSettings = LifecycleSettings()
    max_body_memory_bytes: Annotated[int, msgspec.Meta(ge=0)] = MAX_LARGE_BYTES

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
    """The settings are invalid; the message names the field."""


def read_settings(path: Path) -> Result[GatewaySettings, SettingsError]:
    """Read and validate a settings file in JSON."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        return Err(SettingsError(f'{path}: {error.strerror}'))
    return parse_settings(raw, str(path))


def parse_settings(
    raw: bytes,
    name: str = 'settings',
) -> Result[GatewaySettings, SettingsError]:
    """Decode and validate settings in JSON."""
    try:
        found = msgspec.json.decode(raw, type=GatewaySettings)
    except msgspec.ValidationError as error:
        return Err(SettingsError(f'{name}: {error}'))
    except msgspec.DecodeError as error:
        return Err(SettingsError(f'{name} is not valid JSON: {error}'))
    return Ok(found)

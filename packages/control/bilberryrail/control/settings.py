"""Settings of the control plane, validated when they are read."""

from typing import Annotated, Final

import msgspec

from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    RegionId,
    ServiceId,
)

#: Longest duration that a setting may have, in seconds (one day).
MAX_DURATION_S: Final = 86400

_Duration = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
#: Pattern and length of names, because they are part of addresses, log lines
#: and metric labels.
NAME = msgspec.Meta(pattern='^[a-z0-9][a-z0-9.-]*$', max_length=64)


class NodeIdentity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity and location of this node.

    Attributes
    ----------
    host, port
        Address on which the node serves other nodes.
    http_port
        Port on the same host on which the node accepts calls over HTTP.
    """

    node: Annotated[NodeId, NAME]
    service: Annotated[ServiceId, NAME]
    zone: Annotated[AvailabilityZoneId, NAME]
    region: Annotated[RegionId, NAME]
    host: str
    port: _Port
    http_port: _Port


class SeedPeer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of a node to contact at start or without an available log."""

    host: str
    port: _Port


class RelaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fan-out of records, reporting of applied offsets and announcements.

    ``children_per_parent``, ``refresh_interval_s`` and ``missed_refreshes``
    keep an inner relay node under 4 KB/s; see docs/decisions/relay-bytes.md.
    """

    readers_per_region: Annotated[int, msgspec.Meta(ge=1, le=16)] = 3
    children_per_parent: Annotated[int, msgspec.Meta(ge=2, le=256)] = 8
    status_interval_s: _Duration = 1.0
    refresh_interval_s: _Duration = 28_800.0
    missed_refreshes: Annotated[int, msgspec.Meta(ge=1)] = 2
    log_retry_s: _Duration = 0.5
    snapshot_every_records: Annotated[int, msgspec.Meta(ge=1)] = 5000
    snapshot_interval_s: _Duration = 900.0
    snapshot_part_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 262144
    seeds: tuple[SeedPeer, ...] = ()

"""Conversion of the messages that frames are made of.

Decoding raises ``PartError``, which ``frames`` turns into an error value.
"""

import math
import re
from typing import Any, Final

from bilberryrail.control.messages import StatusReport, ZoneStatus
from bilberryrail.core.codec import decode_record_leniently, encode_record
from bilberryrail.core.ids import (
    AvailabilityZoneId,
    Incarnation,
    NodeId,
    Offset,
    RegionId,
    ServiceId,
)
from bilberryrail.core.load import LoadReport
from bilberryrail.core.records import LogEntry, Member
from bilberryrail.policy.events import CallLimits
from bilberryrail.wire import peer_pb2

_NAME: Final = re.compile('[a-z0-9][a-z0-9.-]{0,63}')
_LARGEST_PORT: Final = 65535


class PartError(ValueError):
    """A message lacks a field or holds a value that is not allowed."""


def checked_name(found: str, field: str) -> str:
    """Return a name of a node, service, tenant, zone or region."""
    if _NAME.fullmatch(found) is None:
        raise PartError(f'{field} {found!r:.80} is not a valid name')
    return found


def checked_duration(found: float, field: str) -> float:
    """Return a time in seconds that is finite and not negative."""
    if not math.isfinite(found) or found < 0:
        raise PartError(f'{field} {found!r} is not a duration')
    return found


def member_to_wire(member: Member) -> peer_pb2.Member:
    """Encode an announced member."""
    return peer_pb2.Member(
        node=member.node,
        incarnation=member.incarnation,
        service=member.service,
        zone=member.zone,
        region=member.region,
        host=member.host,
        port=member.port,
        http_port=member.http_port,
    )


def member_from_wire(found: peer_pb2.Member) -> Member:
    """Decode an announced member."""
    return Member(
        node=NodeId(checked_name(found.node, 'node')),
        incarnation=Incarnation(found.incarnation),
        service=ServiceId(checked_name(found.service, 'service')),
        zone=AvailabilityZoneId(checked_name(found.zone, 'zone')),
        region=RegionId(checked_name(found.region, 'region')),
        host=found.host,
        port=_checked_port(found.port, 'port'),
        http_port=_checked_port(found.http_port, 'http_port'),
    )


def load_to_wire(load: LoadReport) -> peer_pb2.Load:
    """Encode a load report."""
    return peer_pb2.Load(
        in_flight=load.in_flight,
        limit=load.limit,
        queued=load.queued,
        latency_s=load.latency_s,
        cold=load.cold,
        draining=load.draining,
    )


def load_from_wire(frame: Any) -> LoadReport:
    """Decode the load report of a frame that must have one."""
    if not frame.HasField('load'):
        raise PartError('load is missing')
    found = frame.load
    return LoadReport(
        in_flight=found.in_flight,
        limit=found.limit,
        queued=found.queued,
        latency_s=checked_duration(found.latency_s, 'latency_s'),
        cold=found.cold,
        draining=found.draining,
    )


def limits_to_wire(limits: CallLimits) -> peer_pb2.Limits:
    """Encode what a call tree may still use."""
    return peer_pb2.Limits(
        remaining_s=max(limits.remaining_s, 0),
        retry_budget=max(limits.retry_budget, 0),
        home_regions=limits.home_regions,
    )


def limits_from_wire(frame: Any) -> CallLimits:
    """Decode the limits of a frame that must have them."""
    if not frame.HasField('limits'):
        raise PartError('limits are missing')
    found = frame.limits
    return CallLimits(
        remaining_s=checked_duration(found.remaining_s, 'remaining_s'),
        retry_budget=found.retry_budget,
        home_regions=tuple(
            RegionId(checked_name(region, 'home_regions'))
            for region in found.home_regions
        ),
    )


def entry_to_wire(entry: LogEntry) -> peer_pb2.Entry:
    """Encode a record with its offset."""
    return peer_pb2.Entry(
        offset=entry.offset,
        record=encode_record(entry.record),
    )


def entry_from_wire(found: peer_pb2.Entry) -> LogEntry:
    """Decode a record with its offset; one that is unreadable stays so."""
    return LogEntry(
        offset=Offset(found.offset),
        record=decode_record_leniently(found.record),
    )


def report_to_wire(report: StatusReport) -> peer_pb2.StatusReport:
    """Encode the applied offsets of a subtree or region."""
    return peer_pb2.StatusReport(
        zones=[
            peer_pb2.ZoneStatus(
                zone=zone,
                region=status.region,
                lowest=status.lowest,
                nodes=status.nodes,
                age_s=status.age_s,
            )
            for zone, status in report.items()
        ],
    )


def report_from_wire(found: peer_pb2.StatusReport) -> StatusReport:
    """Decode the applied offsets of a subtree or region."""
    return {
        AvailabilityZoneId(checked_name(status.zone, 'zone')): ZoneStatus(
            region=RegionId(checked_name(status.region, 'region')),
            lowest=Offset(status.lowest),
            nodes=status.nodes,
            age_s=checked_duration(status.age_s, 'age_s'),
        )
        for status in found.zones
    }


def _checked_port(found: int, field: str) -> int:
    if not 0 < found <= _LARGEST_PORT:
        raise PartError(f'{field} {found} is not between 1 and 65535')
    return found

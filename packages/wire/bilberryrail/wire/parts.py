"""Conversion of the messages that frames are composed of.

Decoding raises ``InvalidMessageError``, which the module ``frames`` turns into
an error value.
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
_MAX_PORT: Final = 65535


class InvalidMessageError(ValueError):
    """A message lacks a required field or has a field with an invalid value."""


def checked_name(name: str, field: str) -> str:
    """Return the name of a node, service, tenant, zone or region if valid.

    Raises ``InvalidMessageError`` otherwise.
    """
    if _NAME.fullmatch(name) is None:
        raise InvalidMessageError(f'{field} {name!r:.80} is not a valid name')
    return name


def checked_duration(seconds: float, field: str) -> float:
    """Return a duration in seconds if it is finite and not negative.

    Raises ``InvalidMessageError`` otherwise.
    """
    if not math.isfinite(seconds) or seconds < 0:
        raise InvalidMessageError(f'{field} {seconds!r} is not a duration')
    return seconds


def member_to_wire(member: Member) -> peer_pb2.Member:
    """Encode the description of a member."""
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


def member_from_wire(message: peer_pb2.Member) -> Member:
    """Decode the description of a member."""
    return Member(
        node=NodeId(checked_name(message.node, 'node')),
        incarnation=Incarnation(message.incarnation),
        service=ServiceId(checked_name(message.service, 'service')),
        zone=AvailabilityZoneId(checked_name(message.zone, 'zone')),
        region=RegionId(checked_name(message.region, 'region')),
        host=message.host,
        port=_checked_port(message.port, 'port'),
        http_port=_checked_port(message.http_port, 'http_port'),
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


def load_from_wire(message: Any) -> LoadReport:
    """Decode the load report of a message that must have one."""
    if not message.HasField('load'):
        raise InvalidMessageError('load is missing')
    load = message.load
    return LoadReport(
        in_flight=load.in_flight,
        limit=load.limit,
        queued=load.queued,
        latency_s=checked_duration(load.latency_s, 'latency_s'),
        cold=load.cold,
        draining=load.draining,
    )


def limits_to_wire(limits: CallLimits) -> peer_pb2.Limits:
    """Encode the remaining time and retry budget of a call tree."""
    return peer_pb2.Limits(
        remaining_s=max(limits.remaining_s, 0),
        retry_budget=max(limits.retry_budget, 0),
        home_regions=limits.home_regions,
    )


def limits_from_wire(message: Any) -> CallLimits:
    """Decode the call limits of a message that must have them."""
    if not message.HasField('limits'):
        raise InvalidMessageError('limits are missing')
    limits = message.limits
    return CallLimits(
        remaining_s=checked_duration(limits.remaining_s, 'remaining_s'),
        retry_budget=limits.retry_budget,
        home_regions=tuple(
            RegionId(checked_name(region, 'home_regions'))
            for region in limits.home_regions
        ),
    )


def entry_to_wire(entry: LogEntry) -> peer_pb2.Entry:
    """Encode a record of the log with its offset."""
    return peer_pb2.Entry(
        offset=entry.offset,
        record=encode_record(entry.record),
    )


def entry_from_wire(message: peer_pb2.Entry) -> LogEntry:
    """Decode a log record with its offset.

    A record that cannot be decoded becomes ``Unreadable`` with its bytes.
    """
    return LogEntry(
        offset=Offset(message.offset),
        record=decode_record_leniently(message.record),
    )


def report_to_wire(report: StatusReport) -> peer_pb2.StatusReport:
    """Encode the status of the availability zones of a subtree or region."""
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


def report_from_wire(message: peer_pb2.StatusReport) -> StatusReport:
    """Decode the status of the availability zones of a subtree or region."""
    return {
        AvailabilityZoneId(checked_name(status.zone, 'zone')): ZoneStatus(
            region=RegionId(checked_name(status.region, 'region')),
            lowest=Offset(status.lowest),
            nodes=status.nodes,
            age_s=checked_duration(status.age_s, 'age_s'),
        )
        for status in message.zones
    }


def _checked_port(port: int, field: str) -> int:
    if not 0 < port <= _MAX_PORT:
        raise InvalidMessageError(f'{field} {port} is not between 1 and 65535')
    return port

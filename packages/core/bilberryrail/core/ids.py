"""Identifiers and units used in records, events and actions."""

from typing import NewType

#: Name of a node; one node runs beside each backend server.
NodeId = NewType('NodeId', str)
#: Random 64-bit number drawn at each start of a node.
Incarnation = NewType('Incarnation', int)
ServiceId = NewType('ServiceId', str)
TenantId = NewType('TenantId', str)
AvailabilityZoneId = NewType('AvailabilityZoneId', str)
RegionId = NewType('RegionId', str)
#: Identifies one caller's call at its ingress node.
CallId = NewType('CallId', int)
#: Identifies one attempt of a call; unique per ingress incarnation.
AttemptId = NewType('AttemptId', int)
#: Identifies a record independently of its offset, so twins can be dropped.
RecordId = NewType('RecordId', str)
#: Position of a record in the log stream.
Offset = NewType('Offset', int)
#: Name of something a change modifies, for example ``service/bookings``.
Scope = NewType('Scope', str)
#: Durations and instants of the runtime's monotonic clock, in seconds.
Seconds = NewType('Seconds', float)

#: Offset of an empty state: nothing has been applied.
NO_OFFSET = Offset(-1)

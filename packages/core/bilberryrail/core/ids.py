"""Types of identifiers and units in records, events and actions."""

from typing import NewType

#: Name of a node; one node runs beside each backend server.
NodeId = NewType('NodeId', str)
#: Random 64-bit number, drawn at each start of a node, by which the starts of a
#: node differ.
Incarnation = NewType('Incarnation', int)
ServiceId = NewType('ServiceId', str)
TenantId = NewType('TenantId', str)
AvailabilityZoneId = NewType('AvailabilityZoneId', str)
RegionId = NewType('RegionId', str)
#: Identifies a call within its ingress node.
CallId = NewType('CallId', int)
#: Identifies one attempt of a call; unique within an incarnation of the
#: ingress node.
AttemptId = NewType('AttemptId', int)
#: Identifies a record independently of its offset, so that duplicates of a
#: record that was appended twice can be dropped.
RecordId = NewType('RecordId', str)
#: Position of a record in the log.
Offset = NewType('Offset', int)
#: Part of the configuration that a change modifies, for example
#: ``service/bookings``. Concurrent changes to the same scope conflict.
Scope = NewType('Scope', str)
#: Time in seconds: a duration, or an instant of the monotonic clock.
Seconds = NewType('Seconds', float)

#: Offset of the empty state, to which no record has been applied.
NO_OFFSET = Offset(-1)

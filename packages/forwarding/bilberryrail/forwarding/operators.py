"""What the operators want: traffic configuration and zones taken out."""

from dataclasses import dataclass

from bilberryrail.core.ids import AvailabilityZoneId
from bilberryrail.forwarding.messages import OperatorSnapshot
from bilberryrail.forwarding.records import TrafficConfig
from bilberryrail.forwarding.routes import RouteTable


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """Operators wrote a whole configuration."""

    offset: int
    config: TrafficConfig


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """Operators took an availability zone out or brought it back."""

    offset: int
    zone: AvailabilityZoneId
    is_out: bool


@dataclass(frozen=True, slots=True)
class SkippedRecord:
    """A record that says nothing to this version, or cannot be read."""

    offset: int


OperatorRecord = ConfigRecord | ZoneRecord | SkippedRecord


class OperatorState:
    """Follows the operators' records in order and never goes back.

    Attributes
    ----------
    next_offset
        Offset of the first record that has not been applied.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.config: TrafficConfig | None = None
        self.table: RouteTable | None = None
        self.zones_out: frozenset[AvailabilityZoneId] = frozenset()

    def apply(self, record: OperatorRecord) -> bool:
        """Apply a record; tell whether anything changed."""
        if record.offset < self.next_offset:
            return False
        self.next_offset = record.offset + 1
        match record:
            case ConfigRecord(config=config):
                return self._adopt(config)
            case ZoneRecord(zone=zone, is_out=is_out):
                before = self.zones_out
                self.zones_out = before | {zone} if is_out else before - {zone}
                return self.zones_out != before
        return False

    def replace(self, snapshot: OperatorSnapshot) -> bool:
        """Take a later state as a whole; tell whether anything changed."""
        if snapshot.offset <= self.next_offset:
            return False
        self.next_offset = snapshot.offset
        before = self.zones_out
        self.zones_out = frozenset(snapshot.zones_out)
        changed = self.zones_out != before
        if snapshot.config is not None:
            changed = self._adopt(snapshot.config) or changed
        return changed

    def snapshot(self) -> OperatorSnapshot:
        """Return the whole state, for another node."""
        return OperatorSnapshot(
            self.next_offset,
            self.config,
            tuple(sorted(self.zones_out)),
        )

    def _adopt(self, config: TrafficConfig) -> bool:
        # The version decides: a write that took effect late must not bring an
        # older configuration back.
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.table = RouteTable(config)
        return True

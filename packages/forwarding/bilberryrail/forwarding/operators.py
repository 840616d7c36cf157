"""State set by operators: traffic configuration and zones taken out."""

from dataclasses import dataclass, replace

from bilberryrail.core.ids import AvailabilityZoneId
from bilberryrail.forwarding.messages import OperatorSnapshot
from bilberryrail.forwarding.records import StorePosition, TrafficConfig
from bilberryrail.forwarding.routes import RouteTable


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """A complete configuration, written by operators."""

    offset: int
    config: TrafficConfig


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """An availability zone that operators took out or brought back."""

    offset: int
    zone: AvailabilityZoneId
    is_out: bool


@dataclass(frozen=True, slots=True)
class SkippedRecord:
    """A record that this version does not know or cannot decode."""

    offset: int


OperatorRecord = ConfigRecord | ZoneRecord | SkippedRecord


class OperatorState:
    """State from the operators' records, which are applied in order.

    It never returns to an older state.

    Attributes
    ----------
    position
        Position of the first record that has not been applied.
    config
        The newest configuration; None if there is none yet.
    table
        Routes of the configuration.
    zones_out
        Availability zones that operators have taken out.
    unconfirmed_zones
        Those of them that were taken out in an earlier era of the store, and
        whose records the store has lost. They stay out until operators have
        written their records again, or should have.
    """

    def __init__(self) -> None:
        self.position = StorePosition()
        self.config: TrafficConfig | None = None
        self.table: RouteTable | None = None
        self.zones_out: frozenset[AvailabilityZoneId] = frozenset()
        self.unconfirmed_zones: frozenset[AvailabilityZoneId] = frozenset()

    def apply(self, record: OperatorRecord) -> bool:
        """Apply a record of the present era; return whether the state changed.

        Records before the position have been applied already.
        """
        if record.offset < self.position.offset:
            return False
        self.position = replace(self.position, offset=record.offset + 1)
        match record:
            case ConfigRecord(config=config):
                return self._adopt(config)
            case ZoneRecord(zone=zone, is_out=is_out):
                before = self.zones_out
                self.zones_out = before | {zone} if is_out else before - {zone}
                self.unconfirmed_zones -= {zone}
                return self.zones_out != before
        return False

    def replace(self, snapshot: OperatorSnapshot) -> bool:
        """Apply what is newer in a snapshot; return whether anything changed.

        The era counts as a part of the state, the offset does not.
        """
        changed = snapshot.config is not None and self._adopt(snapshot.config)
        if snapshot.position > self.position:
            changed |= self._replace_zones(snapshot)
            changed |= snapshot.era != self.position.era
            self.position = snapshot.position
        return changed

    def drop_unconfirmed_zones(self) -> bool:
        """Bring back the unconfirmed zones; return whether there were any."""
        dropped = self.unconfirmed_zones
        self.zones_out -= dropped
        self.unconfirmed_zones = frozenset()
        return bool(dropped)

    def snapshot(self) -> OperatorSnapshot:
        """Return the complete state, for another node."""
        return OperatorSnapshot(
            self.position.offset,
            self.config,
            tuple(sorted(self.zones_out - self.unconfirmed_zones)),
            self.position.era,
            tuple(sorted(self.unconfirmed_zones)),
        )

    def _replace_zones(self, snapshot: OperatorSnapshot) -> bool:
        before = (self.zones_out, self.unconfirmed_zones)
        confirmed = frozenset(snapshot.zones_out)
        unconfirmed = self.unconfirmed_zones.union(snapshot.unconfirmed_zones)
        if snapshot.era != self.position.era:
            # The store may have lost the records of these zones.
            unconfirmed |= self.zones_out
        self.unconfirmed_zones = unconfirmed - confirmed
        self.zones_out = unconfirmed | confirmed
        return before != (self.zones_out, self.unconfirmed_zones)

    def _adopt(self, config: TrafficConfig) -> bool:
        # The version decides, because a delayed write of an older configuration
        # must not replace a newer one.
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.table = RouteTable(config)
        return True

"""Interface of the platform's store."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from bilberryrail.forwarding.messages import OperatorSnapshot
from bilberryrail.forwarding.operators import OperatorRecord
from bilberryrail.forwarding.records import Peer, StoreEra


class StoreError(Exception):
    """A call to the store failed or timed out; it may have taken effect."""


class TrimmedError(Exception):
    """The store does not have the requested records.

    It has dropped them, or has lost them when it was restored from a copy.
    """


@dataclass(frozen=True, slots=True)
class OperatorRecords:
    """Records of the operators, in the order of the log.

    Attributes
    ----------
    next_offset
        Offset of the next read.
    era
        Era of the store to which the offsets belong.
    """

    records: Sequence[OperatorRecord]
    next_offset: int
    era: StoreEra = StoreEra(0)


class Store(Protocol):
    """Reads the operators' state; reads and writes announcements of nodes.

    All methods raise ``StoreError`` if a call fails.
    """

    async def operator_state(self) -> OperatorSnapshot:
        """Read the operators' complete state."""

    async def operator_records(
        self,
        offset: int,
        wait_s: float,
    ) -> OperatorRecords:
        """Read records from an offset on; wait up to ``wait_s`` for the first.

        Raises ``TrimmedError`` if the store does not have the record at the
        offset.
        """

    async def announce(self, peer: Peer) -> StoreEra:
        """Write a node's announcement; return the era in which it is stored."""

    async def announcements(self) -> Sequence[Peer]:
        """Read the newest announcement of each node."""

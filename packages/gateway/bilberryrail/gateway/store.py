"""The platform's store, as the process uses it."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from bilberryrail.forwarding.messages import OperatorSnapshot
from bilberryrail.forwarding.operators import OperatorRecord
from bilberryrail.forwarding.records import Peer


class StoreError(Exception):
    """The store did not answer, or refused; the call may have taken effect."""


class TrimmedError(Exception):
    """Records that were asked for are no longer kept."""


@dataclass(frozen=True, slots=True)
class OperatorRecords:
    """Records of the operators, in order.

    Attributes
    ----------
    next_offset
        Offset from which to read on.
    """

    records: Sequence[OperatorRecord]
    next_offset: int


class Store(Protocol):
    """Reads what operators want; keeps the announcements of nodes.

    All methods raise ``StoreError``.
    """

    async def operator_state(self) -> OperatorSnapshot:
        """Read the whole state that the operators want."""

    async def operator_records(
        self,
        offset: int,
        wait_s: float,
    ) -> OperatorRecords:
        """Wait for records from an offset on; raises ``TrimmedError``."""

    async def announce(self, peer: Peer) -> None:
        """Keep a node's announcement."""

    async def announcements(self) -> Sequence[Peer]:
        """Read the newest announcement of each node."""

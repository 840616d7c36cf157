"""Exchanges what the nodes observe of crashes, in their announcements."""

from typing import Final, TypeVar

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.quarantine import Quarantine, choose_trial_owner
from bilberryrail.forwarding.records import (
    BackendRun,
    Clearance,
    CrashRecord,
    Fingerprint,
)
from bilberryrail.forwarding.target import Target
from bilberryrail.gateway.presence import Presence

#: Largest number of crashes and of clearances in one announcement. A crash takes
#: up to 1 KB there.
MAX_ANNOUNCED: Final = 16

_MS_PER_S: Final = 1000

_Observed = TypeVar('_Observed', CrashRecord, Clearance)


class CrashReports:
    """Announces crashes of this node's backend server, and reads others'.

    Announcements reach all nodes, also those that start later, and the store
    keeps them while all processes are down.
    """

    def __init__(
        self, presence: Presence, quarantine: Quarantine, target: Target
    ) -> None:
        self.presence = presence
        self.quarantine = quarantine
        self.ledger = quarantine.ledger
        self.target = target
        self._is_storing = False
        self._must_store_again = False
        presence.on_crashes = self.learned
        presence.on_own_crashes = self.restored
        quarantine.on_cleared = self.cleared
        quarantine.is_trial_owner = self.is_trial_owner

    def backend_crashed(
        self, run: BackendRun, suspects: tuple[Fingerprint, ...]
    ) -> None:
        """Announce a crash of this node's backend server."""
        own = self.presence.membership.own
        record = self.quarantine.make_record(run, suspects)
        self._announce((*own.crashes, record), own.clearances)
        self._store()
        self.learned((record,))

    def cleared(self, clearance: Clearance) -> None:
        """Announce that a suspected request was answered."""
        own = self.presence.membership.own
        kept = (
            one
            for one in own.clearances
            if one.fingerprint != clearance.fingerprint
        )
        self._announce(own.crashes, (*kept, clearance))
        self.learned((), (clearance,))

    def learned(
        self,
        crashes: tuple[CrashRecord, ...],
        clearances: tuple[Clearance, ...] = (),
    ) -> None:
        """Apply what a node has observed, this one or another."""
        before = self.ledger.quarantined
        if not self.ledger.merge(crashes, clearances):
            return
        after = self.ledger.quarantined
        for fingerprint in before ^ after:
            self.presence.log(
                'quarantine',
                content=fingerprint.hex(),
                crashes=self.ledger.crash_count(fingerprint),
                quarantined=fingerprint in after,
            )
        self.target.process_queue()

    def restored(
        self,
        crashes: tuple[CrashRecord, ...],
        clearances: tuple[Clearance, ...],
    ) -> None:
        """Announce again what an earlier process of this node has announced."""
        self.learned(crashes, clearances)
        own = self.presence.membership.own
        all_crashes = dict.fromkeys((*crashes, *own.crashes))
        all_clearances = dict.fromkeys((*clearances, *own.clearances))
        is_known = len(all_crashes) == len(own.crashes)
        if not is_known or len(all_clearances) > len(own.clearances):
            self._announce(tuple(all_crashes), tuple(all_clearances))

    def is_trial_owner(self, fingerprint: Fingerprint) -> bool:
        """Return whether this node tries a quarantined request.

        Its clients are at the nodes of one service, that of its caller.
        """
        membership = self.presence.membership
        nodes: list[NodeId] = [
            peer.node
            for peer in (*membership.others(), membership.own)
            if peer.service == membership.own.service
        ]
        return choose_trial_owner(fingerprint, nodes) == membership.own.node

    def _announce(
        self,
        crashes: tuple[CrashRecord, ...],
        clearances: tuple[Clearance, ...],
    ) -> None:
        self.presence.announce_crashes(
            self._recent(crashes), self._recent(clearances)
        )

    def _store(self) -> None:
        """Write the announcement to the store, one call at a time.

        While the store is away, one crash after the other must not add calls.
        """
        if self._is_storing:
            self._must_store_again = True
        elif self.presence.store_announcement is not None:
            self._is_storing = True
            self.presence.store_announcement().addBoth(self._stored)

    def _stored(self, _: object) -> None:
        self._is_storing = False
        if self._must_store_again:
            self._must_store_again = False
            self._store()

    def _recent(self, observed: tuple[_Observed, ...]) -> tuple[_Observed, ...]:
        memory_ms = self.ledger.settings.memory_s * _MS_PER_S
        oldest_ms = self.ledger.wall_ms() - memory_ms
        recent = tuple(one for one in observed if one.at_ms > oldest_ms)
        return recent[-MAX_ANNOUNCED:]

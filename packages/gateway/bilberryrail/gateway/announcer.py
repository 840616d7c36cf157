"""Announces this node in the store, and reads who else is announced."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import Peer, StoreEra
from bilberryrail.gateway.backoff import Backoff, jittered
from bilberryrail.gateway.store import Store, StoreError
from bilberryrail.gateway.store_health import StoreHealth
from bilberryrail.gateway.tasks import Supervisor, log_failure

#: Interval at which the list of nodes is read, in seconds. It can be long
#: because nodes announce themselves over links; the list only adds nodes that
#: no link has reached.
MEMBERS_INTERVAL_S: Final = 15.0

#: First and longest pause after a failed announcement, or a failed read of the
#: announcements, in seconds. A node that is not announced yet always waits for
#: the first one.
ANNOUNCE_RETRY_S: Final = 0.5
MAX_ANNOUNCE_RETRY_S: Final = 2.0

#: Announcements per second that all nodes together write again after a restore
#: of the store, on average. The store of the smallest deployment takes 400 calls
#: per second.
RENEWALS_PER_S: Final = 100.0


class Announcer:
    """Keeps this node's announcement in the store, and reads the others'.

    Parameters
    ----------
    operators
        State of the operators; its position shows the present era.
    must_read
        Returns whether this node has to read the announcements of others again;
        otherwise it gets new ones from other nodes.

    Attributes
    ----------
    announced_era
        Era of the store in which this node was last announced; None before
        that.
    on_peers
        Called with the announcements of all nodes after they have been read.
    """

    def __init__(
        self,
        reactor: Any,
        random: Random,
        store: Store,
        operators: OperatorState,
        membership: Membership,
        health: StoreHealth,
        must_read: Callable[[], bool],
    ) -> None:
        self.reactor = reactor
        self.random = random
        self.store = store
        self.operators = operators
        self.membership = membership
        self.health = health
        self.must_read = must_read
        self.task = Supervisor(reactor, self._follow_members, health.log)
        self.renewal = Supervisor(reactor, self._renew, health.log)
        self.is_renewing = False
        self.announced_era: StoreEra | None = None
        self.on_peers: Callable[[list[Peer]], object] = _ignore

    def start(self) -> None:
        """Announce this node, and read the announcements of others."""
        self.task.start()

    def stop(self) -> None:
        """Make no further calls."""
        self.task.stop()
        self.renewal.stop()

    def announce(self) -> 'Deferred[bool]':
        """Write this node's newest announcement to the store, with retries.

        The Deferred fires with true once the store has acknowledged it, and
        with false if the process stops before that, or if the announcement
        cannot be written.
        """
        written: Deferred[bool] = ensureDeferred(self._announce())
        return written.addErrback(self._announce_failed)

    def renew(self) -> None:
        """Announce this node again if a restored store has lost this."""
        if self._is_announcement_lost and not self.is_renewing:
            self.is_renewing = True
            self.renewal.start()

    @property
    def _is_announcement_lost(self) -> bool:
        era = self.announced_era
        return era is not None and era < self.operators.position.era

    async def _renew(self) -> None:
        spread_s = len(self.membership.peers) / RENEWALS_PER_S
        while self._is_announcement_lost and not self.task.is_stopped:
            await deferLater(self.reactor, spread_s * self.random.random())
            await self._announce()
        self.is_renewing = False
        if self.must_read():
            await self._read_members()

    async def _announce(self) -> bool:
        backoff = self._backoff()
        while not self.task.is_stopped:
            try:
                era = await self.store.announce(self.membership.own)
            except StoreError as error:
                self.health.failed('announce', error)
                await deferLater(self.reactor, backoff.next_s())
            else:
                self.health.answered('announce', era)
                self.announced_era = era
                return True
        return False

    def _announce_failed(self, failure: Failure) -> bool:
        log_failure(self.health.log, failure)
        return False

    async def _follow_members(self) -> None:
        # The announcement replaces the record of this node's earlier process,
        # which may say that its backend server has left.
        await self._read_members()
        # Read again after the announcement, so that of two nodes that start at
        # the same time at least one sees the other.
        await self._announce()
        await self._read_members()
        while not self.task.is_stopped:
            pause_s = jittered(self.random, MEMBERS_INTERVAL_S)
            await deferLater(self.reactor, pause_s)
            if self.must_read():
                await self._read_members()

    async def _read_members(self) -> None:
        """Read all announcements, with retries."""
        backoff = self._backoff()
        while not self.task.is_stopped:
            try:
                peers = await self.store.announcements()
            except StoreError as error:
                self.health.failed('announcements', error)
                await deferLater(self.reactor, backoff.next_s())
            else:
                self.health.answered('announcements')
                self.on_peers(list(peers))
                return

    def _backoff(self) -> Backoff:
        # Others cannot find a node that is not announced yet.
        is_announced = self.announced_era is not None
        max_s = MAX_ANNOUNCE_RETRY_S if is_announced else ANNOUNCE_RETRY_S
        return Backoff(self.random, ANNOUNCE_RETRY_S, max_s)


def _ignore(_: list[Peer]) -> None:
    """Do nothing; the default callback."""

"""Follows the store: the operators' state and the list of nodes."""

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import StoreEra
from bilberryrail.gateway.backoff import Backoff, jittered
from bilberryrail.gateway.metrics import Metrics
from bilberryrail.gateway.store import Store, StoreError, TrimmedError

#: Longest wait for new records in one call, in seconds. It is long because each
#: call is paid for; keep-alive probes detect a silent connection much sooner.
POLL_WAIT_S: Final = 12.0

#: First and longest pause after a failed read of the operators' state, in
#: seconds. The longest one is short enough that a node is up to date within 2.5 s
#: after the return of the store.
RETRY_S: Final = 0.25
MAX_RETRY_S: Final = 1.0

#: Interval at which a node that does not read checks whether it has to, in
#: seconds.
READER_CHECK_INTERVAL_S: Final = 0.2

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


class StoreFollower:
    """Keeps the operators' state and the membership up to date.

    Attributes
    ----------
    must_read
        Returns whether this node has to keep reading the store; otherwise it
        gets changes from other nodes.
    is_reachable
        Whether the latest call was answered.
    announced_era
        Era of the store in which this node was last announced; None before
        that.
    """

    def __init__(
        self,
        reactor: Any,
        random: Random,
        store: Store,
        operators: OperatorState,
        membership: Membership,
        metrics: Metrics,
        log: Callable[..., None],
    ) -> None:
        self.reactor = reactor
        self.random = random
        self.store = store
        self.operators = operators
        self.membership = membership
        self.metrics = metrics
        self.log = log
        self.is_reachable = True
        self.is_stopped = False
        self.announced_era: StoreEra | None = None
        self.is_renewing = False
        self.must_read: Callable[[], bool] = _always
        self.on_operators: Callable[[], None] = _ignore
        self.on_peers: Callable[[list[Any]], None] = _ignore

    def start(self) -> None:
        """Announce this node, and follow the operators' state and the nodes."""
        self._run(self._follow_operators())
        self._run(self._follow_members())

    def stop(self) -> None:
        """Make no further calls."""
        self.is_stopped = True

    def announce(self) -> 'Deferred[bool]':
        """Write this node's newest announcement to the store, with retries.

        The Deferred fires with true once the store has acknowledged it, and
        with false if the process stops before that.
        """
        return ensureDeferred(self._announce())

    def renew_announcement(self) -> None:
        """Announce this node again if a restored store has lost this."""
        if self._is_announcement_lost and not self.is_renewing:
            self.is_renewing = True
            self._run(self._renew_announcement())

    @property
    def _is_announcement_lost(self) -> bool:
        era = self.announced_era
        return era is not None and era < self.operators.position.era

    async def _renew_announcement(self) -> None:
        spread_s = len(self.membership.peers) / RENEWALS_PER_S
        while self._is_announcement_lost and not self.is_stopped:
            await deferLater(self.reactor, spread_s * self.random.random())
            await self._announce()
        self.is_renewing = False
        if self.must_read():
            await self._read_members()

    async def _announce(self) -> bool:
        backoff = self._announce_backoff()
        while not self.is_stopped:
            try:
                era = await self.store.announce(self.membership.own)
            except StoreError as error:
                self._failed('announce', error)
                await deferLater(self.reactor, backoff.next_s())
            else:
                self._answered('announce')
                self.announced_era = era
                return True
        return False

    async def _follow_operators(self) -> None:
        has_state = False
        backoff = Backoff(self.random, RETRY_S, MAX_RETRY_S)
        while not self.is_stopped:
            try:
                if has_state and not self.must_read():
                    await self._pause(READER_CHECK_INTERVAL_S)
                elif has_state:
                    has_state = await self._read_records()
                    backoff.reset()
                else:
                    await self._read_state()
                    has_state = True
            except TrimmedError:
                self.log(
                    'operator_records_trimmed',
                    era=self.operators.position.era,
                    offset=self.operators.position.offset,
                )
                has_state = False
                await deferLater(self.reactor, backoff.next_s())
            except StoreError as error:
                self._failed('operators', error)
                await deferLater(self.reactor, backoff.next_s())

    async def _read_state(self) -> None:
        snapshot = await self.store.operator_state()
        self._answered('operator-state')
        self.metrics.store_read(snapshot.era)
        config = snapshot.config
        self.log(
            'operator_state',
            era=snapshot.era,
            end=snapshot.offset,
            offset=self.operators.position.offset,
            version=config.version if config else None,
            zones_out=','.join(sorted(snapshot.zones_out)),
        )
        known_era = self.operators.position.era
        if snapshot.era < known_era:
            raise StoreError(
                f'store is in era {snapshot.era}, but era {known_era} is known'
            )
        if self.operators.replace(snapshot):
            self.on_operators()

    async def _read_records(self) -> bool:
        """Read and apply new records; return false if the state must be read.

        Records are applied only if the store and this node are still in the era
        in which the offset was read.
        """
        position = self.operators.position
        # After a failed call the store may be in another era. A read that waits
        # for new records would not show this until the next change.
        wait_s = POLL_WAIT_S if self.is_reachable else 0
        found = await self.store.operator_records(position.offset, wait_s)
        self._answered('operator-records')
        self.metrics.store_read(found.era)
        if found.records:
            self.log(
                'operator_records',
                era=found.era,
                first=found.records[0].offset,
                count=len(found.records),
                offset=position.offset,
            )
        if not found.era == position.era == self.operators.position.era:
            self.log('store_restored', era=found.era, known_era=position.era)
            return False
        changed = [self.operators.apply(record) for record in found.records]
        if any(changed):
            self.on_operators()
        return True

    async def _follow_members(self) -> None:
        # The announcement replaces the record of this node's earlier process,
        # which may say that its backend server has left.
        await self._read_members()
        # Read again after the announcement, so that of two nodes that start at
        # the same time at least one sees the other.
        await self._announce()
        await self._read_members()
        while not self.is_stopped:
            await self._pause(MEMBERS_INTERVAL_S)
            if self.must_read():
                await self._read_members()

    async def _read_members(self) -> None:
        """Read all announcements, with retries."""
        backoff = self._announce_backoff()
        while not self.is_stopped:
            try:
                peers = await self.store.announcements()
            except StoreError as error:
                self._failed('announcements', error)
                await deferLater(self.reactor, backoff.next_s())
            else:
                self._answered('announcements')
                self.on_peers(list(peers))
                return

    def _answered(self, kind: str) -> None:
        self.metrics.called_store(kind, 'answered')
        if not self.is_reachable:
            self.is_reachable = True
            self.log('store_regained', call=kind)

    def _failed(self, kind: str, error: StoreError) -> None:
        self.metrics.called_store(kind, 'failed')
        if self.is_reachable:
            self.is_reachable = False
            self.log('store_lost', call=kind, reason=str(error))

    def _pause(self, pause_s: float) -> 'Deferred[None]':
        return deferLater(self.reactor, jittered(self.random, pause_s))

    def _announce_backoff(self) -> Backoff:
        # Others cannot find a node that is not announced yet.
        is_announced = self.announced_era is not None
        max_s = MAX_ANNOUNCE_RETRY_S if is_announced else ANNOUNCE_RETRY_S
        return Backoff(self.random, ANNOUNCE_RETRY_S, max_s)

    def _run(self, task: Coroutine[Any, Any, None]) -> None:
        running = ensureDeferred(task)
        running.addErrback(
            lambda failure: self.log(
                'task_failed',
                reason=failure.getTraceback(),
            ),
        )


def _always() -> bool:
    """Return true: without a selection of readers, every node reads."""
    return True


def _ignore(*_: Any) -> None:
    """Do nothing; the default callback."""

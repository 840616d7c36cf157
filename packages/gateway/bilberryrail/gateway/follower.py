"""Follows the operators' state in the store."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.task import deferLater

from bilberryrail.forwarding.messages import OperatorSnapshot
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import StorePosition
from bilberryrail.gateway.backoff import Backoff, jittered
from bilberryrail.gateway.poll_schedule import PollSchedule
from bilberryrail.gateway.store import (
    OperatorRecords,
    Store,
    StoreError,
    TrimmedError,
)
from bilberryrail.gateway.store_health import StoreHealth
from bilberryrail.gateway.tasks import Supervisor

#: First and longest pause after a failed read, in seconds. The longest one is
#: short enough that a node is up to date within 2.5 s after the return of the
#: store.
RETRY_S: Final = 0.25
MAX_RETRY_S: Final = 1.0

#: Time in which the store must tell a change that another node knows already, in
#: seconds.
TOLD_GRACE_S: Final = 0.5

#: Interval at which a node that does not read checks whether it has to, in
#: seconds.
READER_CHECK_INTERVAL_S: Final = 0.2


class StoreFollower:
    """Keeps the operators' state up to date.

    Parameters
    ----------
    must_read
        Returns whether this node has to keep reading the store; otherwise it
        gets changes from other nodes.

    Attributes
    ----------
    reading
        The read of records in flight; None if there is none.
    on_operators
        Called after the operators' state has changed.
    """

    def __init__(
        self,
        reactor: Any,
        random: Random,
        store: Store,
        operators: OperatorState,
        health: StoreHealth,
        polls: PollSchedule,
        must_read: Callable[[], bool],
    ) -> None:
        self.reactor = reactor
        self.random = random
        self.store = store
        self.operators = operators
        self.health = health
        self.log = health.log
        self.polls = polls
        self.reading: Deferred[OperatorRecords] | None = None
        self.must_read = must_read
        self.task = Supervisor(reactor, self._follow, health.log)
        self.on_operators: Callable[[], None] = _ignore

    def start(self) -> None:
        """Read the operators' state, and follow its changes."""
        self.task.start()

    def stop(self) -> None:
        """Make no further calls."""
        self.task.stop()

    def peer_told(self) -> None:
        """Check the connection to the store after a peer has told a change.

        It carries nothing more if a read that waits for changes does not end.
        """
        if self.reading is not None:
            self.reactor.callLater(TOLD_GRACE_S, self._end_read, self.reading)

    async def _follow(self) -> None:
        has_state = False
        backoff = Backoff(self.random, RETRY_S, MAX_RETRY_S)
        while not self.task.is_stopped:
            try:
                if has_state and not self.must_read():
                    pause_s = jittered(self.random, READER_CHECK_INTERVAL_S)
                    await deferLater(self.reactor, pause_s)
                elif has_state:
                    has_state = await self._read_records()
                    backoff.reset()
                else:
                    await self._read_state()
                    has_state = True
            except TrimmedError:
                self._log_trimmed(self.operators.position)
                has_state = False
                await deferLater(self.reactor, backoff.next_s())
            except StoreError as error:
                self.health.failed('operators', error)
                await deferLater(self.reactor, backoff.next_s())

    async def _read_state(self) -> None:
        snapshot = await self.store.operator_state()
        self.health.answered('operator-state', snapshot.era)
        self._log_state(snapshot)
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
        wait_s = self.polls.wait_s() if self.health.is_reachable else 0
        found = await self._read(position.offset, wait_s)
        self.health.answered('operator-records', found.era)
        self._log_records(found, position)
        if not found.era == position.era == self.operators.position.era:
            return False
        changed = [self.operators.apply(record) for record in found.records]
        if any(changed):
            self.on_operators()
        return True

    async def _read(self, offset: int, wait_s: float) -> OperatorRecords:
        reading = ensureDeferred(self.store.operator_records(offset, wait_s))
        self.reading = reading
        try:
            return await reading
        except CancelledError as error:
            raise StoreError(
                'a change that a peer has told is missing'
            ) from error
        finally:
            self.reading = None

    def _end_read(self, reading: 'Deferred[OperatorRecords]') -> None:
        if reading is self.reading:
            reading.cancel()

    def _log_state(self, snapshot: OperatorSnapshot) -> None:
        config = snapshot.config
        self.log(
            'operator_state',
            era=snapshot.era,
            end=snapshot.offset,
            offset=self.operators.position.offset,
            version=config.version if config else None,
            zones_out=','.join(sorted(snapshot.zones_out)),
        )

    def _log_records(
        self, found: OperatorRecords, position: StorePosition
    ) -> None:
        if found.records:
            self.log(
                'operator_records',
                era=found.era,
                first=found.records[0].offset,
                count=len(found.records),
                offset=position.offset,
            )
        if found.era != position.era:
            self.log('store_restored', era=found.era, known_era=position.era)

    def _log_trimmed(self, position: StorePosition) -> None:
        self.log(
            'operator_records_trimmed',
            era=position.era,
            offset=position.offset,
        )


def _ignore() -> None:
    """Do nothing; the default callback."""

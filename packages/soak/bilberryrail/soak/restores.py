"""Restores the store from older copies at random."""

from random import Random
from typing import Any, Final

from twisted.internet.task import deferLater

from bilberryrail.adapter.standins.log_service import LogFaults, Topic
from bilberryrail.soak.fleet import Fleet

#: Greatest age of a copy from which the store is restored, in seconds.
MAX_COPY_AGE_S: Final = 9.0

#: Configurations that the store loses each time. There are more than operators
#: write again, so that the restored store has lower offsets for a while.
LOST_CHANGES: Final = 4

#: Longest time for which the store is away before it comes back, in seconds.
MAX_OUTAGE_S: Final = 2.0

#: Longest time in which operators write a lost configuration again, in seconds.
MAX_REWRITE_S: Final = 1.0


class RestoreDriver:
    """Restores the store, and writes new configurations before and after.

    It has random numbers of its own, so that a seed still gives the faults with
    which it once failed.

    Attributes
    ----------
    history
        Time and name of each restore, for the report.
    """

    def __init__(self, reactor: Any, seed: int, fleet: Fleet) -> None:
        self.reactor = reactor
        self.random = Random(seed)
        self.fleet = fleet
        self.history: list[tuple[float, str, str]] = []

    async def run(self, ends_at: float) -> None:
        """Restore the store until a time, one copy after another.

        The last restore begins before that time, because no configuration may
        be written after the recovery.
        """
        while True:
            copy = self.fleet.log.backup()
            await self._change_configs()
            if self.reactor.seconds() >= ends_at:
                return
            await self._restore(copy)
            self._change_config()

    async def _change_configs(self) -> None:
        """Write the configurations that the store will lose."""
        written = 0
        while written < LOST_CHANGES:
            await self._pause(MAX_COPY_AGE_S / LOST_CHANGES)
            self._change_config()
            written += 1
        await self._pause(MAX_OUTAGE_S)

    async def _restore(self, copy: dict[str, Topic]) -> None:
        fleet = self.fleet
        fleet.log.faults = LogFaults(is_silent=True)
        away_at = self.reactor.seconds()
        await self._pause(MAX_OUTAGE_S)
        fleet.log.restore(copy)
        fleet.log.faults = LogFaults()
        now = self.reactor.seconds()
        self.history.append((now, 'restore_store', ''))
        fleet.observations.store_faults.append((away_at, now + MAX_OUTAGE_S))
        fleet.rewrite_zones(copy)
        await self._pause(MAX_REWRITE_S)
        fleet.rewrite_config()
        await self._pause(MAX_OUTAGE_S)

    def _change_config(self) -> None:
        self.fleet.write_config(self.random.randrange(1, 100))

    def _pause(self, longest_s: float) -> Any:
        return deferLater(self.reactor, longest_s * self.random.random())

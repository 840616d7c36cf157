"""Restores the store from older copies at random."""

from typing import Final

from bilberryrail.adapter.standins.log_service import LogFaults, Topic
from bilberryrail.soak.driver import Driver

#: Greatest age of a copy from which the store is restored, in seconds.
MAX_COPY_AGE_S: Final = 9.0

#: Configurations that the store loses each time. There are more than operators
#: write again, so that the restored store has lower offsets for a while.
LOST_CHANGES: Final = 4

#: Longest time for which the store is away before it comes back, in seconds.
MAX_OUTAGE_S: Final = 2.0

#: Longest time in which operators write a lost configuration again, in seconds.
MAX_REWRITE_S: Final = 1.0


class RestoreDriver(Driver):
    """Restores the store, and writes new configurations before and after."""

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
            await self.pause(MAX_COPY_AGE_S / LOST_CHANGES)
            self._change_config()
            written += 1
        await self.pause(MAX_OUTAGE_S)

    async def _restore(self, copy: dict[str, Topic]) -> None:
        fleet = self.fleet
        fleet.log.faults = LogFaults(is_silent=True)
        away_at = self.reactor.seconds()
        await self.pause(MAX_OUTAGE_S)
        fleet.log.restore(copy)
        fleet.log.faults = LogFaults()
        now = self.reactor.seconds()
        self.remember('restore_store')
        fleet.observations.store_faults.append((away_at, now + MAX_OUTAGE_S))
        fleet.rewrite_zones(copy)
        await self.pause(MAX_REWRITE_S)
        fleet.rewrite_config()
        await self.pause(MAX_OUTAGE_S)

    def _change_config(self) -> None:
        self.fleet.write_config(self.random.randrange(1, 100))

"""Periodic tasks of the control plane, which no message triggers."""

from collections.abc import Iterator
from typing import Final

from bilberryrail.control.messages import ControlAction, LogEvent, ReadLog
from bilberryrail.control.parts import Parts
from bilberryrail.core.ids import Seconds

#: Status intervals for which a starting node waits for a seed before it reads
#: the log; a state from a peer causes no traffic between regions.
SEED_WAIT_INTERVALS: Final = 1

_NEVER: Final = Seconds(float('inf'))


class Maintenance:
    """Runs periodic tasks every status interval, and reads from the log.

    Attributes
    ----------
    wakeup_at
        Time at which the next periodic task or read is due.
    """

    def __init__(self, parts: Parts) -> None:
        self.parts = parts
        self.replica = parts.replica
        self.wakeup_at = Seconds(float('-inf'))
        self._seeds_until: Seconds | None = None
        self._next_round = Seconds(float('-inf'))
        self._last_offset = parts.replica.state.offset

    def run_if_due(self, now: Seconds) -> Iterator[ControlAction]:
        """Run the periodic tasks if a status interval has passed."""
        if now >= self._next_round:
            interval = self.parts.settings.status_interval_s
            self._next_round = Seconds(now + interval)
            yield from self._run_round(now)

    def read_log(self, now: Seconds) -> Iterator[ReadLog]:
        """Start the next read if this node has to read the log."""
        log = self.parts.log
        reads_log = self._is_log_needed(now)
        if reads_log:
            start = self.replica.next_read
            yield from log.read(start, self.replica.caught_up, now)
        self.wakeup_at = min(
            self._next_round,
            log.wakeup_at if reads_log else _NEVER,
        )

    def update_evictions(self) -> None:
        """Start or stop evictions as this node becomes a reader or stops."""
        is_reader = self.parts.placement.is_reader
        evictions = self.parts.evictions
        if is_reader and not evictions.active:
            evictions.start(self.replica.state)
        elif evictions.active and not is_reader:
            evictions.stop()

    def _run_round(self, now: Seconds) -> Iterator[ControlAction]:
        offset = self.replica.state.offset
        self.parts.sources.suspect_silent(now)
        self.parts.membership.expire_unlogged(now)
        if self.replica.is_behind and offset == self._last_offset:
            self.parts.sources.request_missing(now)
        self._last_offset = offset
        yield from self.parts.relay.send_heartbeats(now)
        yield from self.parts.exchange.send_reports(offset, now)
        self.parts.evictions.advance(self.parts.log.available, now)
        yield from self._evict(now)

    def _evict(self, now: Seconds) -> Iterator[ControlAction]:
        evictions = self.parts.evictions
        if not (evictions.active and self.parts.log.available):
            return
        readers = self.parts.directory.readers(self.parts.own.region)
        nodes = tuple(reader.node for reader in readers)
        for evict in evictions.pop_due(self.replica.state, nodes):
            yield LogEvent('evicted', {'node': evict.node})
            yield self.parts.outbox.append(evict, now)

    def _is_log_needed(self, now: Seconds) -> bool:
        if self.parts.placement.is_reader:
            return True
        if not self.replica.caught_up and self._is_awaiting_seed(now):
            return False
        return not self.parts.sources.has_answering_source(now)

    def _is_awaiting_seed(self, now: Seconds) -> bool:
        settings = self.parts.settings
        if self._seeds_until is None:
            grace = settings.status_interval_s * SEED_WAIT_INTERVALS
            self._seeds_until = Seconds(now + grace)
        return bool(settings.seeds) and now < self._seeds_until

"""Handling of the answers of the log to reads and appends."""

from collections.abc import Iterator

from bilberryrail.control import messages
from bilberryrail.control.parts import Parts
from bilberryrail.control.record_handler import RecordHandler
from bilberryrail.core.ids import Seconds


class LogHandler:
    """Applies what the log returns, or loads a snapshot if records expired."""

    def __init__(self, parts: Parts, record_handler: RecordHandler) -> None:
        self.parts = parts
        self.record_handler = record_handler
        self.replica = parts.replica

    def log_read(
        self,
        event: messages.LogRead,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Apply the records that a read returned."""
        yield from self._note_available(now)
        self.parts.log.answered()
        if self.replica.collected is not None:
            yield from self._search_snapshot(event, now)
            return
        yield from self.record_handler.apply(event.entries, now)
        self.replica.offset_reported(event.end, now)

    def log_expired(
        self,
        event: messages.LogExpired,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Search the records that the log still holds for a snapshot."""
        yield from self._note_available(now)
        self.parts.log.answered()
        self.replica.start_snapshot_search(event.first)
        yield messages.LogEvent('records_expired', {'first': event.first})

    def log_unavailable(
        self, reason: str, now: Seconds
    ) -> Iterator[messages.ControlAction]:
        """Handle a read that failed."""
        if self.parts.log.available:
            yield messages.LogEvent('log_unavailable', {'reason': reason})
        self.parts.log.failed(self.parts.placement.is_fallback_reader, now)

    def append_acknowledged(
        self,
        event: messages.AppendAcknowledged,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Handle a record that the log stored."""
        self.parts.outbox.remove(event.record_id)
        self.parts.announcer.append_acknowledged(event.record_id, event.offset)
        yield from self._note_available(now)

    def append_uncertain(
        self,
        event: messages.AppendUncertain,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Handle an append whose outcome is unknown."""
        record_id = event.record_id
        self.parts.outbox.append_uncertain(record_id, now)
        yield messages.LogEvent(
            'append_uncertain',
            {'record': record_id, 'reason': event.reason},
        )
        if not self.parts.log.outstanding:
            # While a read is outstanding, its result shows whether the log is
            # available.
            self.parts.log.available = False
        if self.parts.announcer.is_unlogged(record_id, self.replica.state):
            own = self.parts.own
            yield from self.record_handler.propagate_unlogged(
                (own,), own.node, now
            )

    def _note_available(self, now: Seconds) -> Iterator[messages.ControlAction]:
        if not self.parts.log.available:
            self.parts.log.available = True
            self.parts.outbox.retry_soon(now)
            yield messages.LogEvent('log_available')

    def _search_snapshot(
        self,
        event: messages.LogRead,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        following = self.replica.search_snapshot(event.entries)
        if following is not None:
            offset = self.replica.state.offset
            yield messages.LogEvent('snapshot_used', {'offset': offset})
            yield from self.record_handler.state_replaced(now)
            yield from self.record_handler.apply(following, now)
            self.replica.offset_reported(event.end, now)
        elif self.replica.next_read > event.end:
            self.replica.stop_snapshot_search()
            self.parts.log.pause(now)
            yield messages.LogEvent('snapshot_missing', {'end': event.end})

"""Answers of the log to reads and appends."""

from collections.abc import Iterator

from bilberryrail.control import messages
from bilberryrail.control.intake import Intake
from bilberryrail.control.parts import Parts
from bilberryrail.core.ids import Seconds


class LogIntake:
    """Follows the log, and starts from a snapshot when records expired."""

    def __init__(self, parts: Parts, intake: Intake) -> None:
        self.parts = parts
        self.intake = intake
        self.replica = parts.replica

    def hear_read(
        self,
        event: messages.LogRead,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Handle the records that a read returned."""
        yield from self._note_available(now)
        self.parts.log.answered()
        if self.replica.collected is not None:
            yield from self._search(event, now)
            return
        yield from self.intake.apply(event.entries, now)
        self.replica.note_current(event.end, now)

    def hear_expired(
        self,
        event: messages.LogExpired,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Search the records that are left for a snapshot."""
        yield from self._note_available(now)
        self.parts.log.answered()
        self.replica.start_search(event.first)
        yield messages.LogEvent('records_expired', {'first': event.first})

    def lose(
        self, reason: str, now: Seconds
    ) -> Iterator[messages.ControlAction]:
        """Handle a read that failed."""
        if self.parts.log.available:
            yield messages.LogEvent('log_unavailable', {'reason': reason})
        self.parts.log.failed(self.parts.placement.is_stand_in, now)

    def acknowledge(
        self,
        event: messages.AppendAcknowledged,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Handle a record that the log stored."""
        self.parts.outbox.settle(event.record_id)
        self.parts.announcer.acknowledge(event.record_id, event.offset)
        yield from self._note_available(now)

    def postpone(
        self,
        event: messages.AppendUncertain,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Handle an append that gave no answer."""
        record_id = event.record_id
        self.parts.outbox.postpone(record_id, now)
        yield messages.LogEvent(
            'append_uncertain',
            {'record': record_id, 'reason': event.reason},
        )
        if not self.parts.log.outstanding:
            # A node that reads learns more from the read.
            self.parts.log.available = False
        if self.parts.announcer.is_unlogged(record_id, self.replica.state):
            own = self.parts.own
            yield from self.intake.spread((own,), own.node, now)

    def _note_available(self, now: Seconds) -> Iterator[messages.ControlAction]:
        if not self.parts.log.available:
            self.parts.log.available = True
            self.parts.outbox.hasten(now)
            yield messages.LogEvent('log_available')

    def _search(
        self,
        event: messages.LogRead,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        following = self.replica.search(event.entries)
        if following is not None:
            offset = self.replica.state.offset
            yield messages.LogEvent('snapshot_used', {'offset': offset})
            yield from self.intake.take_over(now)
            yield from self.intake.apply(following, now)
            self.replica.note_current(event.end, now)
        elif self.replica.next_read > event.end:
            self.replica.stop_search()
            self.parts.log.pause(now)
            yield messages.LogEvent('snapshot_missing', {'end': event.end})

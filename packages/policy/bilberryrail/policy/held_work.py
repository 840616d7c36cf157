"""New work held back after a pause until all waiting input is read."""

from dataclasses import replace

from bilberryrail.core.ids import Seconds
from bilberryrail.policy import events
from bilberryrail.policy.actions import Action, DropBody
from bilberryrail.policy.view import ClusterView

#: Events that give this node new work.
NewWork = (
    events.CallArrived
    | events.ReservationAsked
    | events.AttemptReceived
    | events.ReservationReceived
)

_HeldEvent = tuple[events.Event, Seconds, float]


class HeldWork:
    """Holds new work until all waiting cancellations have been read."""

    def __init__(self) -> None:
        self._held: list[_HeldEvent] = []

    def hold(self, event: NewWork, now: Seconds, pause_s: float) -> None:
        """Hold new work that may have waited ``pause_s`` in a socket."""
        self._held.append((event, now, pause_s))

    def cancel(self, event: events.Event) -> tuple[Action, ...] | None:
        """Drop the held work that an event cancels.

        Returns
        -------
        tuple[Action, ...] | None
            Actions for the shell; None if the event cancels no held work.
        """
        for entry in self._held:
            if _cancels(event, entry[0]):
                self._held.remove(entry)
                return _drop(entry[0])
        return None

    def release(
        self,
        now: Seconds,
        view: ClusterView,
    ) -> tuple[events.Event, ...]:
        """Remove and return all work, with its wait taken off its deadline."""
        held = tuple(self._held)
        self._held.clear()
        return tuple(
            _deduct_wait(event, pause_s + now - held_at, view)
            for event, held_at, pause_s in held
        )


def _cancels(event: events.Event, held: events.Event) -> bool:
    match event, held:
        case events.CallerGone(), (
            events.CallArrived() | events.ReservationAsked()
        ):
            return event.call == held.call
        case events.CancelReceived(), (
            events.AttemptReceived() | events.ReservationReceived()
        ):
            return (event.peer, event.attempt) == (held.peer, held.attempt)
    return False


def _drop(held: events.Event) -> tuple[Action, ...]:
    if isinstance(held, events.AttemptReceived):
        return (DropBody(held.peer, held.attempt),)
    return ()


def _deduct_wait(
    event: events.Event,
    waited_s: float,
    view: ClusterView,
) -> events.Event:
    match event:
        case events.CallArrived() | events.ReservationAsked():
            service = view.service(event.service)
            deadline_s = event.deadline_s
            if deadline_s is None and service is not None:
                deadline_s = service.deadline_s
            if deadline_s is not None:
                return replace(event, deadline_s=deadline_s - waited_s)
        case events.AttemptReceived() | events.ReservationReceived():
            limits = event.limits
            return replace(
                event,
                limits=replace(
                    limits,
                    remaining_s=limits.remaining_s - waited_s,
                ),
            )
    return event

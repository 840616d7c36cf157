"""Convert a message that this node sends to itself into its event."""

from bilberryrail.control import messages
from bilberryrail.core.ids import Incarnation, NodeId
from bilberryrail.policy import actions, events


def received_event(
    action: actions.Action,
    own: NodeId,
    incarnation: Incarnation,
    size: int,
) -> events.Event | None:
    """Convert a message between nodes into the event at its receiver.

    ``size`` is the length of its body in bytes. Returns None for an
    action that is not a message to a node.
    """
    match action:
        case actions.SendAttempt(attempt=attempt, limits=limits):
            return events.AttemptReceived(
                peer=own,
                attempt=attempt,
                service=action.service,
                tenant=action.tenant,
                limits=limits,
                size=size,
                token=action.token,
            )
        case actions.SendCancel(attempt=attempt):
            return events.CancelReceived(own, attempt)
        case actions.SendReservation(attempt=attempt, limits=limits):
            return events.ReservationReceived(
                own,
                attempt,
                action.service,
                action.tenant,
                limits,
            )
        case actions.SendProbe(probe=probe):
            return events.ProbeReceived(own, probe)
        case actions.SendProbeReply(probe=probe, load=load):
            return events.ProbeReplied(own, probe, load)
        case _:
            return _received_reply(action, own, incarnation, size)


def _received_reply(
    action: actions.Action,
    own: NodeId,
    incarnation: Incarnation,
    size: int,
) -> events.Event | None:
    match action:
        case actions.SendAnswer() | actions.SendKeptAnswer():
            return events.AnswerReceived(
                own,
                action.attempt,
                action.status,
                size,
                action.load,
            )
        case actions.SendRefusal(attempt=attempt, load=load):
            return events.RefusalReceived(
                peer=own,
                attempt=attempt,
                outcome=action.outcome,
                reason=action.reason,
                retry_after_s=action.retry_after_s,
                load=load,
            )
        case actions.SendToken(attempt=attempt, token=token, load=load):
            return events.ReservationGranted(own, attempt, token, load)
        case _:
            return _received_control(action, own, incarnation)


def _received_control(
    action: actions.Action,
    own: NodeId,
    incarnation: Incarnation,
) -> events.Event | None:
    match action:
        case messages.SendSubscribe(_, applied, heartbeats_only):
            return messages.SubscribeReceived(own, applied, heartbeats_only)
        case messages.SendRecords(entries=entries, current=current):
            unlogged = action.unlogged
            return messages.RecordsReceived(own, entries, current, unlogged)
        case messages.SendState(state=state):
            return messages.StateReceived(own, state)
        case messages.SendStatus(report=report):
            return messages.StatusReceived(own, report)
        case messages.SendDraining():
            return messages.DrainingReceived(own, incarnation)
    return None

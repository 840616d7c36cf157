"""Converts an action of one engine into the event that its peer receives."""

from bilberryrail.bench.calls import CALL_BYTES
from bilberryrail.control import messages
from bilberryrail.core.ids import NodeId
from bilberryrail.core.records import Member
from bilberryrail.policy import actions, events


def peer_event(sender: NodeId, action: actions.Action) -> events.Event | None:
    """Convert a message about calls; return None for other actions."""
    match action:
        case actions.SendAttempt() as sent:
            return events.AttemptReceived(
                sender,
                sent.attempt,
                sent.service,
                sent.tenant,
                sent.limits,
                CALL_BYTES // 2,
                sent.token,
            )
        case actions.SendCancel(attempt=attempt):
            return events.CancelReceived(sender, attempt)
        case actions.SendReservation() as sent:
            return events.ReservationReceived(
                sender,
                sent.attempt,
                sent.service,
                sent.tenant,
                sent.limits,
            )
        case actions.SendProbe(probe=probe):
            return events.ProbeReceived(sender, probe)
        case actions.SendAnswer() | actions.SendKeptAnswer() as sent:
            return events.AnswerReceived(
                sender,
                sent.attempt,
                sent.status,
                CALL_BYTES // 2,
                sent.load,
            )
        case actions.SendRefusal() as sent:
            return events.RefusalReceived(
                sender,
                sent.attempt,
                sent.outcome,
                sent.reason,
                sent.retry_after_s,
                sent.load,
            )
        case actions.SendToken() as sent:
            return events.ReservationGranted(
                sender,
                sent.attempt,
                sent.token,
                sent.load,
            )
        case actions.SendProbeReply(probe=probe, load=load):
            return events.ProbeReplied(sender, probe, load)
        case _:
            return None


def control_event(
    sender: Member,
    action: actions.Action,
) -> events.Event | None:
    """Convert a control-plane message; return None for other actions."""
    node = sender.node
    match action:
        case messages.SendSubscribe(applied=applied):
            return messages.SubscribeReceived(node, applied)
        case messages.SendRecords() as sent:
            return messages.RecordsReceived(
                node,
                sent.entries,
                sent.current,
                sent.unlogged,
            )
        case messages.SendState(state=state):
            return messages.StateReceived(node, state)
        case messages.SendStatus(report=report):
            return messages.StatusReceived(node, report)
        case messages.SendDraining():
            return messages.DrainingReceived(node, sender.incarnation)
        case _:
            return None

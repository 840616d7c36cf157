"""Convert the engine's messages to other nodes into frames."""

from bilberryrail.control import messages
from bilberryrail.core.codec import encode_state
from bilberryrail.core.ids import Incarnation
from bilberryrail.core.records import Member
from bilberryrail.policy import actions
from bilberryrail.wire import parts, peer_pb2
from bilberryrail.wire.content import AnswerContent, CallContent, checksum

#: Actions that become one frame without the body of a call or answer.
BodylessAction = (
    actions.SendCancel
    | actions.SendReservation
    | actions.SendProbe
    | actions.SendRefusal
    | actions.SendToken
    | actions.SendProbeReply
    | messages.SendSubscribe
    | messages.SendRecords
    | messages.SendState
    | messages.SendStatus
    | messages.SendDraining
)


def hello_frame(member: Member) -> peer_pb2.Frame:
    """Build the first frame of a link."""
    return peer_pb2.Frame(
        hello=peer_pb2.Hello(member=parts.member_to_wire(member)),
    )


def request_frame(
    action: actions.SendAttempt,
    payload: CallContent,
) -> peer_pb2.Frame:
    """Build the frame of an attempt from the action and the call's body."""
    return peer_pb2.Frame(
        call_request=peer_pb2.CallRequest(
            attempt=action.attempt,
            service=action.service,
            tenant=action.tenant,
            limits=parts.limits_to_wire(action.limits),
            token=action.token or '',
            path=payload.path,
            content_type=payload.content_type,
            body=payload.body,
            length=len(payload.body),
            crc32=checksum(payload.body),
        ),
    )


def answer_frame(
    action: actions.SendAnswer | actions.SendKeptAnswer,
    payload: AnswerContent,
) -> peer_pb2.Frame:
    """Build the frame of an answer from the action and the answer's body."""
    return peer_pb2.Frame(
        call_answer=peer_pb2.CallAnswer(
            attempt=action.attempt,
            status=action.status,
            content_type=payload.content_type,
            body=payload.body,
            length=len(payload.body),
            crc32=checksum(payload.body),
            load=parts.load_to_wire(action.load),
        ),
    )


def bodyless_frame(
    action: BodylessAction,
    incarnation: Incarnation,
) -> peer_pb2.Frame:
    """Build the frame of an action that carries no call or answer body.

    ``incarnation`` is that of the sending node.
    """
    match action:
        case actions.SendCancel(attempt=attempt):
            cancel = peer_pb2.CallCancel(attempt=attempt)
            return peer_pb2.Frame(call_cancel=cancel)
        case actions.SendReservation():
            return _reservation_request(action)
        case actions.SendProbe(probe=probe):
            return peer_pb2.Frame(probe=peer_pb2.Probe(probe=probe))
        case actions.SendRefusal():
            return _refusal(action)
        case actions.SendToken():
            return _reservation_reply(action)
        case actions.SendProbeReply(probe=probe, load=load):
            reply = peer_pb2.ProbeReply(
                probe=probe,
                load=parts.load_to_wire(load),
            )
            return peer_pb2.Frame(probe_reply=reply)
        case _:
            return _control_frame(action, incarnation)


def _control_frame(
    action: BodylessAction,
    incarnation: Incarnation,
) -> peer_pb2.Frame:
    match action:
        case messages.SendSubscribe():
            subscribe = peer_pb2.Subscribe(
                applied=action.applied,
                heartbeats_only=action.heartbeats_only,
            )
            return peer_pb2.Frame(subscribe=subscribe)
        case messages.SendRecords():
            return _records(action)
        case messages.SendState(state=state):
            encoded = peer_pb2.State(state=encode_state(state))
            return peer_pb2.Frame(state=encoded)
        case messages.SendStatus(report=report):
            return peer_pb2.Frame(status_report=parts.report_to_wire(report))
        case messages.SendDraining():
            draining = peer_pb2.Draining(incarnation=incarnation)
            return peer_pb2.Frame(draining=draining)
    raise TypeError(f'{type(action).__name__} is not sent to other nodes')


def _reservation_request(action: actions.SendReservation) -> peer_pb2.Frame:
    return peer_pb2.Frame(
        reservation_request=peer_pb2.ReservationRequest(
            attempt=action.attempt,
            service=action.service,
            tenant=action.tenant,
            limits=parts.limits_to_wire(action.limits),
        ),
    )


def _reservation_reply(action: actions.SendToken) -> peer_pb2.Frame:
    return peer_pb2.Frame(
        reservation_reply=peer_pb2.ReservationReply(
            attempt=action.attempt,
            token=action.token,
            load=parts.load_to_wire(action.load),
        ),
    )


def _refusal(action: actions.SendRefusal) -> peer_pb2.Frame:
    return peer_pb2.Frame(
        call_refusal=peer_pb2.CallRefusal(
            attempt=action.attempt,
            outcome=action.outcome.value,
            reason=action.reason.value,
            retry_after_s=max(action.retry_after_s, 0),
            load=parts.load_to_wire(action.load),
        ),
    )


def _records(action: messages.SendRecords) -> peer_pb2.Frame:
    return peer_pb2.Frame(
        records=peer_pb2.Records(
            entries=[parts.entry_to_wire(entry) for entry in action.entries],
            current=action.current,
            unlogged=[
                parts.member_to_wire(member) for member in action.unlogged
            ],
        ),
    )

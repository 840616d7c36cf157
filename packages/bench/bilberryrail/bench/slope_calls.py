"""Processor time of routing decisions and of calls in the engine."""

from collections.abc import Iterator
from random import Random
from typing import Final

from bilberryrail.bench import slope_world as world
from bilberryrail.control import messages
from bilberryrail.core.load import LoadReport
from bilberryrail.policy import actions, events
from bilberryrail.policy.engine import NodeEngine
from bilberryrail.policy.estimates import EstimateTable
from bilberryrail.policy.routing import CandidateIndex, Router, RouteRequest
from bilberryrail.policy.settings import RoutingSettings

_CALLS: Final = 300
_SIZE: Final = 400
_LOAD: Final = LoadReport(3, 20, 0, 0.002)
_LIMITS: Final = events.CallLimits(remaining_s=1, retry_budget=3)
#: Calls arrive this far apart on the paused clock, in seconds.
_CALL_STEP: Final = 0.0005


def routing(candidates: int) -> dict[str, float]:
    """Choose among the candidates of one service, all in three regions."""
    state = world.make_state(candidates, 1)
    engine = world.make_engine(state, world.make_member(0, 1))
    service = state.services[world.service_name(0)]
    settings = RoutingSettings()
    region = world.REGIONS[0]
    book = EstimateTable(settings)
    router = Router(settings, region, book, Random(1))
    index = CandidateIndex(region)

    def choose(number: int) -> None:
        now = world.START + number * _CALL_STEP
        demand = RouteRequest(service, (), frozenset(), 1, _SIZE, now)
        group = index.group(service.service, (), engine.view)
        choice = router.choose(demand, group, ())
        book.sent(choice.member.node, now)
        book.answered(choice.member.node, 0.003, now)
        book.message_received(choice.member.node, _LOAD, now)

    return {'µs': world.microseconds(choose, _CALLS)}


def ingress_call(members: int) -> dict[str, float]:
    """Run calls of one service with 15 members, or all if there are fewer."""
    engine, service = _with_links(members)
    completed: list[int] = []

    def one_call(number: int) -> None:
        now = world.START + number * _CALL_STEP
        arrived = events.CallArrived(number, service, world.TENANT, _SIZE)
        for action in _answer(engine, engine.handle(arrived, now), now):
            if isinstance(action, actions.CompleteCall):
                completed.append(action.call)

    spent = world.microseconds(one_call, _CALLS)
    return {'µs': spent, 'completed': len(completed)}


def target_call(members: int) -> dict[str, float]:
    """Admit, dispatch and answer calls."""
    engine, service = _with_links(members)
    report = events.BackendReport(1, False, False, 'boot')
    engine.handle(events.BackendHealth(report), world.START)
    completed: list[int] = []

    def one_call(number: int) -> None:
        now = world.START + number * _CALL_STEP
        event = events.AttemptReceived(
            peer='n',
            attempt=number,
            service=service,
            tenant=world.TENANT,
            limits=_LIMITS,
            size=_SIZE,
        )
        for action in engine.handle(event, now):
            if isinstance(action, actions.Dispatch):
                done = events.BackendAnswered(action.dispatch, 200, 9, report)
                engine.handle(done, now + _CALL_STEP / 2)
                completed.append(number)

    spent = world.microseconds(one_call, _CALLS)
    return {'µs': spent, 'completed': len(completed)}


def idle_tick(members: int) -> dict[str, float]:
    """Handle the ticks that an idle node needs every 20 ms."""
    engine, _ = _with_links(members)
    parent = engine.plane.parts.sources.first
    offset = engine.plane.state.offset
    current = messages.RecordsReceived(parent, (), offset)

    def tick(number: int) -> None:
        now = world.START + number / 50
        if number % 50 == 0:
            engine.handle(current, now)
        engine.handle(messages.Tick(), now)

    return {'µs': world.microseconds(tick, 100)}


def _answer(
    engine: NodeEngine,
    done: tuple[actions.Action, ...],
    now: float,
) -> Iterator[actions.Action]:
    """Answer what the ingress sent: attempts and probes."""
    for action in done:
        match action:
            case actions.SendAttempt(peer=peer, attempt=attempt):
                event = events.AnswerReceived(peer, attempt, 200, 9, _LOAD)
                yield from engine.handle(event, now + _CALL_STEP / 2)
            case actions.SendProbe(peer=peer, probe=probe):
                event = events.ProbeReplied(peer, probe, _LOAD)
                yield from engine.handle(event, now + _CALL_STEP / 2)


def _with_links(members: int) -> tuple[NodeEngine, str]:
    state = world.make_state(members)
    own = world.make_member(0)
    engine = world.make_engine(state, own)
    for candidate in engine.view.candidates(own.service):
        engine.handle(messages.LinkUp(candidate), world.START)
    return engine, own.service

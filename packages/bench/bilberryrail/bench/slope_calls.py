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
_CALL_BYTES: Final = 400
_LOAD: Final = LoadReport(3, 20, 0, 0.002)
_LIMITS: Final = events.CallLimits(remaining_s=1, retry_budget=3)
#: Interval between calls on the simulated clock, in seconds.
_CALL_INTERVAL_S: Final = 0.0005


def routing(candidates: int) -> dict[str, float]:
    """Choose among the candidates of one service in three regions."""
    state = world.make_state(candidates, 1)
    engine = world.make_engine(state, world.make_member(0, 1))
    service = state.services[world.service_name(0)]
    settings = RoutingSettings()
    region = world.REGIONS[0]
    estimates = EstimateTable(settings)
    router = Router(settings, region, estimates, Random(1))
    index = CandidateIndex(region)

    def choose(number: int) -> None:
        now = world.START_S + number * _CALL_INTERVAL_S
        demand = RouteRequest(service, (), frozenset(), 1, _CALL_BYTES, now)
        group = index.group(service.service, (), engine.view)
        choice = router.choose(demand, group, ())
        estimates.sent(choice.member.node, now)
        estimates.answered(choice.member.node, 0.003, now)
        estimates.message_received(choice.member.node, _LOAD, now)

    return {'µs': world.median_us(choose, _CALLS)}


def ingress_call(members: int) -> dict[str, float]:
    """Run calls at the ingress, to one service of 15 members on average."""
    engine, service = _with_links(members)
    completed: list[int] = []

    def one_call(number: int) -> None:
        now = world.START_S + number * _CALL_INTERVAL_S
        arrived = events.CallArrived(number, service, world.TENANT, _CALL_BYTES)
        for action in _answer(engine, engine.handle(arrived, now), now):
            if isinstance(action, actions.CompleteCall):
                completed.append(action.call)

    spent = world.median_us(one_call, _CALLS)
    return {'µs': spent, 'completed': len(completed)}


def target_call(members: int) -> dict[str, float]:
    """Admit, dispatch and answer calls at the target."""
    engine, service = _with_links(members)
    report = events.BackendReport(1, False, False, 'boot')
    engine.handle(events.BackendHealth(report), world.START_S)
    completed: list[int] = []

    def one_call(number: int) -> None:
        now = world.START_S + number * _CALL_INTERVAL_S
        event = events.AttemptReceived(
            peer='n',
            attempt=number,
            service=service,
            tenant=world.TENANT,
            limits=_LIMITS,
            size=_CALL_BYTES,
        )
        for action in engine.handle(event, now):
            if isinstance(action, actions.Dispatch):
                done = events.BackendAnswered(action.dispatch, 200, 9, report)
                engine.handle(done, now + _CALL_INTERVAL_S / 2)
                completed.append(number)

    spent = world.median_us(one_call, _CALLS)
    return {'µs': spent, 'completed': len(completed)}


def idle_tick(members: int) -> dict[str, float]:
    """Handle the ticks of an idle node, which are due every 20 ms."""
    engine, _ = _with_links(members)
    parent = engine.plane.parts.sources.first
    offset = engine.plane.state.offset
    current = messages.RecordsReceived(parent, (), offset)

    def tick(number: int) -> None:
        now = world.START_S + number / 50
        if number % 50 == 0:
            engine.handle(current, now)
        engine.handle(messages.Tick(), now)

    return {'µs': world.median_us(tick, 100)}


def _answer(
    engine: NodeEngine,
    requested: tuple[actions.Action, ...],
    now: float,
) -> Iterator[actions.Action]:
    """Answer the attempts and probes that the ingress sends."""
    for action in requested:
        match action:
            case actions.SendAttempt(peer=peer, attempt=attempt):
                event = events.AnswerReceived(peer, attempt, 200, 9, _LOAD)
                yield from engine.handle(event, now + _CALL_INTERVAL_S / 2)
            case actions.SendProbe(peer=peer, probe=probe):
                event = events.ProbeReplied(peer, probe, _LOAD)
                yield from engine.handle(event, now + _CALL_INTERVAL_S / 2)


def _with_links(members: int) -> tuple[NodeEngine, str]:
    state = world.make_state(members)
    own = world.make_member(0)
    engine = world.make_engine(state, own)
    for candidate in engine.view.candidates(own.service):
        engine.handle(messages.LinkUp(candidate), world.START_S)
    return engine, own.service

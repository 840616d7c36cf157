"""Checks guarantees against the observations of one soak.

Callers record their calls and answers, backend servers record the requests
that they run and the departures that nodes have acknowledged.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from bilberryrail.adapter.standins.backend_server import (
    CRASHING,
    Departure,
    Run,
)
from bilberryrail.adapter.standins.caller import Call, ClientRoute

#: Time in seconds for which requests may still arrive at a backend server whose
#: departure has been acknowledged.
MAX_DRAIN_S: Final = 2.5
#: Time in seconds for which requests may still arrive in a zone that was taken
#: out.
MAX_EVACUATION_S: Final = 5.0

#: Time in seconds after which a newly stated limit holds, and length of the
#: windows in which it holds.
LIMIT_WINDOW_S: Final = 4.0
#: In any window, a backend server may get its stated rate multiplied by
#: ``LIMIT_FACTOR``, plus ``LIMIT_SLACK``.
LIMIT_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5

#: Number of crashes after which a request must not be sent any more, and number
#: of times that it may be sent still.
MAX_CRASHES: Final = 3
#: Time after the third crash from which on this holds, in seconds.
CRASH_WINDOW_S: Final = 4.0
#: Longest fault of a node, in seconds: a stop and the start after it.
MAX_NODE_FAULT_S: Final = 10.0

#: Time after SIGTERM until which clients are still sent to a node, and time after
#: SIGTERM from which on it may cut their requests: the last sixth of the grace
#: period, in seconds.
MAX_EARLY_S: Final = 3.0
GRACE_END_S: Final = 5.0

#: Time before its expiry from which on a request may have expired, in seconds.
TIME_MARGIN_S: Final = 0.1

#: Statuses of answers that a node gives in place of the backend server's; zero
#: if there was none.
_CUT_STATUSES: Final = frozenset(
    (0, HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT)
)

#: Memory over which the platform ends a process, in bytes.
MAX_MEMORY_BYTES: Final = 300_000_000

#: Minimum share of requests that must be served once all faults are over.
MIN_SERVED_SHARE: Final = 0.95


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """Operators took an availability zone out from ``at`` to ``back_at``."""

    zone: str
    at: float
    back_at: float


@dataclass(frozen=True, slots=True)
class ColdPeriod:
    """A backend server reported that it was cold from ``at`` to ``until``."""

    instance: str
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """A backend server stated a limit from ``at`` to ``until``."""

    instance: str
    per_s: float
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class Crash:
    """A request crashed an instance of a backend server."""

    at: float
    instance: str


@dataclass(frozen=True, slots=True)
class AddedRoute:
    """A new route, which every node has to serve from ``at`` to ``until``."""

    route: ClientRoute
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class FaultFreePeriod:
    """Time at the end of a soak, long enough after the last fault."""

    at: float
    until: float


@dataclass(slots=True)
class Observations:
    """Everything that was recorded during one soak.

    Attributes
    ----------
    runs
        Requests that backend servers started to run.
    departures
        Departures of backend servers that their nodes have acknowledged.
    home_zones
        Zones that may serve a route, by its path prefix; a route without an
        entry may be served in every zone.
    callers
        Service of the host of each node; it is the one whose calls arrive at
        this node.
    cold_limit
        Maximum number of requests to a cold backend server in any second.
    faults
        Time and host of each fault of a node or its links.
    store_faults
        Start and end of each period in which the store may not have worked.
    fault_free
        Period in which requests must be served again; absent until it is over.
    stops
        Time and node of each planned stop.
    patience_s
        Time after which requests expire, if there are no faults but planned
        stops; None if there are others.
    added_routes
        Routes that the configuration has got after the start.
    services
        Only service that may run a request, by the path prefix of its route;
        a route without an entry is shared by several.
    memory_bytes
        Largest resident memory of the processes of each node.
    """

    runs: list[Run] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    zones_out: list[ZoneOut] = field(default_factory=list)
    cold: list[ColdPeriod] = field(default_factory=list)
    limits: list[StatedLimit] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    faults: list[tuple[float, str]] = field(default_factory=list)
    home_zones: dict[str, frozenset[str]] = field(default_factory=dict)
    callers: dict[str, str] = field(default_factory=dict)
    cold_limit: float = 0
    store_faults: list[tuple[float, float]] = field(default_factory=list)
    fault_free: FaultFreePeriod | None = None
    stops: list[tuple[float, str]] = field(default_factory=list)
    patience_s: float | None = None
    added_routes: list[AddedRoute] = field(default_factory=list)
    services: dict[str, str] = field(default_factory=dict)
    memory_bytes: dict[str, int] = field(default_factory=dict)


def violations(observations: Observations) -> list[str]:
    """Return a line for each violation; it starts with the kind."""
    return [
        line
        for check in (
            _at_most_once,
            _truthful_refusals,
            _complete_answers,
            _unchanged_requests,
            _services_respected,
            _departures_respected,
            _zones_out_respected,
            _home_zones_respected,
            _cold_limits_respected,
            _stated_limits_respected,
            _crashing_requests_contained,
            _newest_configuration_in_force,
            _added_routes_in_force,
            _stops_cut_nothing,
            _memory_limited,
            _recovery,
        )
        for line in check(observations)
    ]


def _at_most_once(observations: Observations) -> Iterator[str]:
    counts = Counter(run.request_id for run in observations.runs)
    for call in observations.calls:
        count = counts[call.request_id]
        if not call.route.is_idempotent and count > 1:
            yield f'twice: {call.request_id} ran {count} times'


def _truthful_refusals(observations: Observations) -> Iterator[str]:
    ran = {run.request_id for run in observations.runs}
    for call in observations.calls:
        is_false = call.promises_not_run and call.request_id in ran
        if is_false and not call.route.is_idempotent:
            yield f'refused: {call.request_id} got {call.status} but ran'


def _complete_answers(observations: Observations) -> Iterator[str]:
    for call in observations.calls:
        if call.status == HTTPStatus.OK and not call.is_complete:
            yield f'mixed: {call.request_id} got a foreign or truncated answer'


def _unchanged_requests(observations: Observations) -> Iterator[str]:
    sent = {call.request_id: call for call in observations.calls}
    for run in observations.runs:
        call = sent.get(run.request_id)
        if call is None:
            # Its caller was still waiting for the answer at the end.
            continue
        if not run.target.startswith(call.route.prefix.encode()):
            yield f'changed: {run.request_id} ran as {run.target!r}'
        caller = observations.callers.get(call.node)
        if run.caller != caller:
            yield f'caller: {run.request_id} of {caller} ran as {run.caller}'


def _services_respected(observations: Observations) -> Iterator[str]:
    for run in observations.runs:
        for prefix, service in observations.services.items():
            is_route = run.target.startswith(prefix.encode())
            if is_route and run.service != service:
                yield f'route: {run.request_id} for {service} ran at {run.service}'


def _departures_respected(observations: Observations) -> Iterator[str]:
    departed_at: dict[str, float] = {}
    for departure in observations.departures:
        departed_at.setdefault(departure.instance, departure.at)
    for run in observations.runs:
        left_at = departed_at.get(run.instance)
        if left_at is not None and run.at > left_at + MAX_DRAIN_S:
            late_s = run.at - left_at
            yield (
                f'drain: {run.request_id} reached {run.instance} '
                f'{late_s:.2f} s after its departure'
            )


def _zones_out_respected(observations: Observations) -> Iterator[str]:
    for out in observations.zones_out:
        deadline = out.at + MAX_EVACUATION_S
        if _had_store_fault(observations, out.at, deadline):
            continue
        for run in observations.runs:
            if run.zone == out.zone and deadline < run.at < out.back_at:
                yield f'zone: {run.request_id} reached {run.zone}, which is out'


def _had_store_fault(
    observations: Observations, start: float, end: float
) -> bool:
    return any(
        at < end and until > start for at, until in observations.store_faults
    )


def _home_zones_respected(observations: Observations) -> Iterator[str]:
    prefixes = {
        call.request_id: call.route.prefix for call in observations.calls
    }
    for run in observations.runs:
        prefix = prefixes.get(run.request_id, '')
        home_zones = observations.home_zones.get(prefix)
        if home_zones is not None and run.zone not in home_zones:
            yield f'home: {run.request_id} reached {run.zone}, not a home zone'


def _cold_limits_respected(observations: Observations) -> Iterator[str]:
    times: dict[str, list[float]] = defaultdict(list)
    for run in observations.runs:
        times[run.instance].append(run.at)
    for cold in observations.cold:
        starts = [
            at for at in times[cold.instance] if cold.at <= at <= cold.until
        ]
        for start in starts:
            count = sum(start <= at < start + 1 for at in starts)
            if count > observations.cold_limit:
                yield f'cold: {cold.instance} got {count} requests in 1 s'
                break


def _stated_limits_respected(observations: Observations) -> Iterator[str]:
    for limit in observations.limits:
        allowed = limit.per_s * LIMIT_WINDOW_S * LIMIT_FACTOR + LIMIT_SLACK
        holds_from = limit.at + LIMIT_WINDOW_S
        times = [
            run.at
            for run in observations.runs
            if run.instance == limit.instance
            and holds_from <= run.at <= limit.until
        ]
        most = max(
            (
                sum(start <= at < start + LIMIT_WINDOW_S for at in times)
                for start in times
            ),
            default=0,
        )
        if most > allowed:
            yield (
                f'limit: {limit.instance} got {most} requests in '
                f'{LIMIT_WINDOW_S:.0f} s, {allowed:.0f} allowed'
            )


def _crashing_requests_contained(observations: Observations) -> Iterator[str]:
    """Check that a request is not sent on after it has caused three crashes.

    Nodes are excused for a while after a fault. One that is stopped is away for
    ten seconds at most, and then has ``CRASH_WINDOW_S`` to learn of crashes.
    """
    by_target: dict[bytes, list[Run]] = defaultdict(list)
    for run in observations.runs:
        if CRASHING in run.target:
            by_target[run.target].append(run)
    for target, same in by_target.items():
        known_from = _third_crash_at(observations, same) + CRASH_WINDOW_S
        late = [
            one
            for one in same
            if one.at > known_from and not _had_fault(observations, one)
        ]
        if len(late) > MAX_CRASHES:
            yield f'crash: {target!r} was sent {len(late)} times more'


def _third_crash_at(observations: Observations, runs: list[Run]) -> float:
    """Return when runs of a request have crashed the third backend server."""
    instances = {run.instance for run in runs}
    crashed_at = sorted(
        crash.at
        for crash in observations.crashes
        if crash.instance in instances
    )
    is_over = len(crashed_at) >= MAX_CRASHES
    return crashed_at[MAX_CRASHES - 1] if is_over else math.inf


def _had_fault(observations: Observations, run: Run) -> bool:
    """Return whether the node that got a request had a fault before."""
    node = run.request_id.partition('/')[0]
    return any(
        host == node and 0 <= run.at - at < CRASH_WINDOW_S + MAX_NODE_FAULT_S
        for at, host in observations.faults
    )


def _newest_configuration_in_force(
    observations: Observations,
) -> Iterator[str]:
    fault_free = observations.fault_free
    for call in observations.calls:
        if (
            fault_free is not None
            and call.sent_at >= fault_free.at
            and call.status == HTTPStatus.NOT_FOUND
        ):
            yield f'config: {call.node} has no route for {call.route.prefix}'


def _added_routes_in_force(observations: Observations) -> Iterator[str]:
    for added in observations.added_routes:
        for call in observations.calls:
            is_due = added.at <= call.sent_at <= added.until
            is_missing = call.status == HTTPStatus.NOT_FOUND
            if call.route == added.route and is_due and is_missing:
                yield f'config: {call.node} has no route {added.route.prefix}'


def _stops_cut_nothing(observations: Observations) -> Iterator[str]:
    """Check that planned stops cut no request that a backend server has begun.

    A cut request ends before its time without an answer, or with one of a node.
    """
    if observations.patience_s is None:
        return
    patience_s = observations.patience_s - TIME_MARGIN_S
    ran = {run.request_id for run in observations.runs}
    for call in observations.calls:
        took_s = call.ended_at - call.sent_at
        is_cut = call.status in _CUT_STATUSES and took_s < patience_s
        if (
            is_cut
            and call.request_id in ran
            and not _is_excused(observations, call)
        ):
            yield (
                f'cut: {call.request_id} at {call.node} got {call.status} '
                f'after {took_s:.2f} s: {call.error}'
            )


def _is_excused(observations: Observations, call: Call) -> bool:
    """Return whether the end of the grace period may cut a request.

    Its node then got it early in a stop, when clients are still sent there.
    """
    return any(
        host == call.node
        and call.sent_at <= at + MAX_EARLY_S
        and call.ended_at >= at + GRACE_END_S
        for at, host in observations.stops
    )


def _memory_limited(observations: Observations) -> Iterator[str]:
    for node, used in observations.memory_bytes.items():
        if used > MAX_MEMORY_BYTES:
            yield f'memory: {node} used {used} bytes'


def _recovery(observations: Observations) -> Iterator[str]:
    fault_free = observations.fault_free
    if fault_free is None:
        return
    sent = [
        call
        for call in observations.calls
        if fault_free.at <= call.sent_at < fault_free.until
    ]
    served = sum(call.status == HTTPStatus.OK for call in sent)
    if not sent or served / len(sent) < MIN_SERVED_SHARE:
        yield f'recover: {served} of {len(sent)} served after the faults'

"""Checks the promises from what callers and backend servers saw."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from bilberryrail.adapter.standins.backend_server import Departure, Run
from bilberryrail.adapter.standins.caller import Call

#: Time after an acknowledged departure, or a zone that was taken out, in which
#: requests may still come.
DRAIN_S: Final = 2.5
EVACUATE_S: Final = 5.0

#: Share of requests that must be served once all faults are over.
LEAST_SERVED: Final = 0.95


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """Operators took an availability zone out, until ``back_at``."""

    zone: str
    at: float
    back_at: float


@dataclass(frozen=True, slots=True)
class Cold:
    """A backend server said that it was cold."""

    instance: str
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class Calm:
    """Time in which no fault was active or had just ended."""

    at: float
    until: float


@dataclass(slots=True)
class Records:
    """All that was seen in one soak.

    Attributes
    ----------
    home_zones
        Zones that may serve a route, by its prefix; absent if all may.
    callers
        Service beside each node.
    cold_limit
        Requests that a cold backend server may get in one second.
    store_faults
        Times in which the store did not work, as start and end.
    """

    runs: list[Run] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    zones_out: list[ZoneOut] = field(default_factory=list)
    cold: list[Cold] = field(default_factory=list)
    home_zones: dict[str, frozenset[str]] = field(default_factory=dict)
    callers: dict[str, str] = field(default_factory=dict)
    cold_limit: float = 0
    store_faults: list[tuple[float, float]] = field(default_factory=list)
    calm: Calm | None = None


def violations(records: Records) -> list[str]:
    """Return a line for each broken promise."""
    return [
        line
        for check in (
            _at_most_once,
            _truthful_refusals,
            _whole_answers,
            _unchanged_requests,
            _drained,
            _zones_out,
            _homes,
            _cold,
            _recovered,
        )
        for line in check(records)
    ]


def _at_most_once(records: Records) -> Iterator[str]:
    counts = Counter(run.request_id for run in records.runs)
    for call in records.calls:
        count = counts[call.request_id]
        if not call.route.is_idempotent and count > 1:
            yield f'twice: {call.request_id} ran {count} times'


def _truthful_refusals(records: Records) -> Iterator[str]:
    ran = {run.request_id for run in records.runs}
    for call in records.calls:
        is_false = call.promises_not_run and call.request_id in ran
        if is_false and not call.route.is_idempotent:
            yield f'refused: {call.request_id} got {call.status} and has run'


def _whole_answers(records: Records) -> Iterator[str]:
    for call in records.calls:
        if call.status == HTTPStatus.OK and not call.is_complete:
            yield f'mixed: {call.request_id} got another or a cut answer'


def _unchanged_requests(records: Records) -> Iterator[str]:
    sent = {call.request_id: call for call in records.calls}
    for run in records.runs:
        call = sent.get(run.request_id)
        if call is None:
            # Its client was still waiting when the soak ended.
            continue
        if not run.target.startswith(call.route.prefix.encode()):
            yield f'changed: {run.request_id} ran as {run.target!r}'
        caller = records.callers.get(call.node)
        if run.caller != caller:
            yield f'caller: {run.request_id} from {caller} says {run.caller}'


def _drained(records: Records) -> Iterator[str]:
    left = {one.instance: one.at for one in records.departures}
    for run in records.runs:
        left_at = left.get(run.instance)
        if left_at is not None and run.at > left_at + DRAIN_S:
            late_s = run.at - left_at
            yield f'drain: {run.request_id} reached {run.instance} {late_s:.2f}'


def _zones_out(records: Records) -> Iterator[str]:
    for out in records.zones_out:
        bound = out.at + EVACUATE_S
        if _had_store_fault(records, out.at, bound):
            continue
        for run in records.runs:
            if run.zone == out.zone and bound < run.at < out.back_at:
                yield f'zone: {run.request_id} reached {run.zone}, which is out'


def _had_store_fault(records: Records, start: float, end: float) -> bool:
    return any(at < end and until > start for at, until in records.store_faults)


def _homes(records: Records) -> Iterator[str]:
    prefixes = {call.request_id: call.route.prefix for call in records.calls}
    for run in records.runs:
        prefix = prefixes.get(run.request_id, '')
        homes = records.home_zones.get(prefix)
        if homes is not None and run.zone not in homes:
            yield f'home: {run.request_id} reached {run.zone}'


def _cold(records: Records) -> Iterator[str]:
    times: dict[str, list[float]] = defaultdict(list)
    for run in records.runs:
        times[run.instance].append(run.at)
    for cold in records.cold:
        during = [
            at for at in times[cold.instance] if cold.at <= at <= cold.until
        ]
        for start in during:
            count = sum(start <= at < start + 1 for at in during)
            if count > records.cold_limit:
                yield f'cold: {cold.instance} got {count} requests in a second'
                break


def _recovered(records: Records) -> Iterator[str]:
    calm = records.calm
    if calm is None:
        return
    ended = [
        call for call in records.calls if calm.at <= call.sent_at < calm.until
    ]
    served = sum(call.status == HTTPStatus.OK for call in ended)
    if not ended or served / len(ended) < LEAST_SERVED:
        yield f'recover: {served} of {len(ended)} served after the faults'

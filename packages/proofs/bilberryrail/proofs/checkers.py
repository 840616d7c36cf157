"""Checkers of the ten invariants, used by all proofs.

A checker is a pure function from the notes of a run to the violations found in
them, one sentence each. The invariants are numbered as in section 1.2 of the
design page.
"""

import bisect
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from bilberryrail.core.ids import RegionId, TenantId
from bilberryrail.core.load import Outcome
from bilberryrail.policy.settings import ProbeSettings
from bilberryrail.proofs import trace

#: Time in seconds after which an availability zone that was taken out, or a
#: backend server that drains, gets no new work.
NEW_WORK_STOPS_S = 3.0
#: Time in seconds within which a configuration is in force on all nodes.
IN_FORCE_S = 12.0
#: Tolerance for rounding errors in sums of floats.
ROUNDING_TOLERANCE = 1e-6

_Kind = TypeVar('_Kind')
Notes = Sequence[trace.Note]


@dataclass(frozen=True, slots=True)
class Rules:
    """Configuration of a run that the checkers depend on.

    Attributes
    ----------
    home
        Home regions of each tenant that has any.
    in_force_s
        Time within which every node applies an accepted change. Runs that
        are shorter than the 12 s of the design page set a stricter time.
    """

    home: Mapping[TenantId, tuple[RegionId, ...]]
    probes: ProbeSettings = ProbeSettings()
    in_force_s: float = IN_FORCE_S


Checker = Callable[[Notes, Rules], Iterator[str]]


def probe_budget(notes: Notes, rules: Rules) -> Iterator[str]:
    """1: Probes of an incarnation stay within the budget in every window.

    Within a window, each token bucket allows its burst plus the tokens added
    during the window. Tokens are added over time in the buckets for messages
    and for bytes, and per call in the bucket for the share of calls.
    """
    counted = _group_by(
        _of_kind(notes, trace.MessageSent),
        lambda note: (note.node, note.incarnation),
    )
    for (node, _), messages in counted.items():
        probes = [note for note in messages if note.size]
        calls_at = [note.at for note in messages if not note.size]
        for first, last in itertools.combinations(range(len(probes)), 2):
            window = probes[first : last + 1]
            if _exceeds_budget(window, calls_at, rules.probes):
                yield (
                    f'{node} sent {len(window)} probes from '
                    f'{window[0].at:.3f} s to {window[-1].at:.3f} s'
                )


def cold_limit(notes: Notes, rules: Rules) -> Iterator[str]:
    """2: No dispatch exceeds the concurrency limit of a cold backend server.

    Only dispatches after the node could know of the cold start are checked:
    it has handled a report, an answer or a health check that was made after
    the cold start, or a failed connection. Earlier dispatches are not counted
    because the node had no information about the cold start.
    """
    for run in _of_kind(notes, trace.Executed):
        if run.knows_boot and run.in_flight > run.concurrency_limit:
            yield (
                f'{run.node} runs {run.in_flight} calls at {run.at:.3f} s, '
                f'its backend server can run {run.concurrency_limit}'
            )


def zones_out(notes: Notes, rules: Rules) -> Iterator[str]:
    """3: No new work in an availability zone 3 s after it was taken out."""
    out_since: dict[str, float] = {}
    for note in notes:
        match note:
            case trace.ZoneSet(at=at, zone=zone, out=True):
                out_since.setdefault(zone, at)
            case trace.ZoneSet(zone=zone):
                out_since.pop(zone, None)
            case trace.Executed() if note.zone in out_since:
                late_s = note.at - out_since[note.zone]
                if late_s > NEW_WORK_STOPS_S:
                    yield f'{note.node} got work {late_s:.3f} s after zone out'


def home_regions(notes: Notes, rules: Rules) -> Iterator[str]:
    """4: Nothing is done for a tenant outside its home regions."""
    for used in _of_kind(notes, trace.Used):
        home = rules.home.get(used.tenant, ())
        if home and used.region not in home:
            yield (
                f'{used.use.value} of {used.tenant} by {used.node} '
                f'in {used.region}'
            )


def own_answers(notes: Notes, rules: Rules) -> Iterator[str]:
    """5: Each submission ends once; an answer is the one to its own job."""
    jobs = {
        note.submission: note.job for note in _of_kind(notes, trace.Submitted)
    }
    ends = Counter(
        note.submission
        for note in notes
        if isinstance(note, trace.SubmissionEnded | trace.CallerLeft)
    )
    for submission in jobs:
        if ends[submission] != 1:
            yield f'submission {submission} ended {ends[submission]} times'
    for ended in _of_kind(notes, trace.SubmissionEnded):
        completed = ended.outcome is Outcome.COMPLETED
        if completed and ended.answer_of != jobs.get(ended.submission):
            yield (
                f'submission {ended.submission} of job '
                f'{jobs.get(ended.submission)} got answer of {ended.answer_of}'
            )


def true_refusals(notes: Notes, rules: Rules) -> Iterator[str]:
    """6: A submission refused as "not run" has not run and never will.

    If the submission carried the token of a reservation, no submission with
    this token had run before the refusal either.
    """
    tokens = {
        note.submission: note.token for note in _of_kind(notes, trace.Submitted)
    }
    runs = _of_kind(notes, trace.Executed)
    ran = {run.submission for run in runs}
    first_run: dict[str | None, float] = {}
    for run in runs:
        first_run.setdefault(tokens.get(run.submission), run.at)
    for ended in _of_kind(notes, trace.SubmissionEnded):
        if ended.outcome is not Outcome.NOT_RUN:
            continue
        token = tokens.get(ended.submission)
        ran_at = first_run.get(token, ended.at)
        ran_before = token is not None and ended.at > ran_at
        if ended.submission in ran or ran_before:
            yield (
                f'submission {ended.submission} was refused as "not run" '
                f'although it or its reservation ran: '
                f'{ended.reason.value}'
            )


def at_most_once(notes: Notes, rules: Rules) -> Iterator[str]:
    """7: A job that must not be repeated runs at most once."""
    once = {
        note.submission: note.job
        for note in _of_kind(notes, trace.Submitted)
        if not note.idempotent
    }
    runs = Counter(
        once[run.submission]
        for run in _of_kind(notes, trace.Executed)
        if run.submission in once
    )
    for job, times in runs.items():
        if times > 1:
            yield f'job {job} ran {times} times'
    for run in _of_kind(notes, trace.Executed):
        if run.submission is None:
            yield f'{run.node} ran a call without a body'


def leaving_servers(notes: Notes, rules: Rules) -> Iterator[str]:
    """8: A draining backend server gets no new work after 3 s."""
    since: dict[tuple[str, int | None], float] = {}
    for note in notes:
        if isinstance(note, trace.Leaving):
            since.setdefault((note.node, note.incarnation), note.at)
        if not isinstance(note, trace.Executed):
            continue
        left_at = min(
            since.get((note.node, None), note.at),
            since.get((note.node, note.incarnation), note.at),
        )
        if note.at - left_at > NEW_WORK_STOPS_S:
            late_s = note.at - left_at
            yield f'{note.node} got work {late_s:.3f} s after it began to drain'


def drains(notes: Notes, rules: Rules) -> Iterator[str]:
    """9: A draining node exits only when all of its calls have ended."""
    for stopped in _of_kind(notes, trace.Stopped):
        if stopped.running or stopped.open_calls:
            yield (
                f'{stopped.node} exited with {stopped.running} running and '
                f'{stopped.open_calls} open calls'
            )


def configuration(notes: Notes, rules: Rules) -> Iterator[str]:
    """10: Accepted changes are in force in time and are never reverted.

    For each node, the time starts when the node is able to learn of the
    change: its process runs, it has links, and the log answers.
    """
    yield from _reverted_changes(notes)
    yield from _missing_changes(notes, rules)


def fresh_nodes(notes: Notes, rules: Rules) -> Iterator[str]:
    """10: A new incarnation serves only after it has caught up with the log."""
    for run in _of_kind(notes, trace.Executed):
        if run.stated_offset is None or run.applied < run.stated_offset:
            yield (
                f'{run.node} ran a call at offset {run.applied}, '
                f'newest offset stated to it: {run.stated_offset}'
            )


#: All checkers, each with the number of its invariant.
CHECKERS: tuple[tuple[int, Checker], ...] = (
    (1, probe_budget),
    (2, cold_limit),
    (3, zones_out),
    (4, home_regions),
    (5, own_answers),
    (6, true_refusals),
    (7, at_most_once),
    (8, leaving_servers),
    (9, drains),
    (10, configuration),
    (10, fresh_nodes),
)


def violations(notes: Notes, rules: Rules) -> tuple[str, ...]:
    """Run all checkers and return the violations that they found."""
    return tuple(
        f'{number} {checker.__name__}: {found}'
        for number, checker in CHECKERS
        for found in checker(notes, rules)
    )


def _reverted_changes(notes: Notes) -> Iterator[str]:
    newest: dict[tuple[str, int], int] = {}
    for applied in _of_kind(notes, trace.Applied):
        key = (applied.node, applied.incarnation)
        if applied.offset < newest.get(key, applied.offset):
            yield f'{applied.node} went back to offset {applied.offset}'
        newest[key] = applied.offset
    for final in _of_kind(notes, trace.FinalConfiguration):
        if not final.matches_log:
            yield f'{final.node} differs from the log at offset {final.offset}'


def _missing_changes(notes: Notes, rules: Rules) -> Iterator[str]:
    applied = _group_by(_of_kind(notes, trace.Applied), lambda note: note.node)
    periods = tuple(_all_reachable_periods(notes))
    changes = _of_kind(notes, trace.Accepted)
    for change, (node, since, until) in itertools.product(changes, periods):
        due = max(change.at, since) + rules.in_force_s
        if due <= until and not _has_applied(
            applied.get(node, ()), change, due
        ):
            yield f'{node} did not apply change {change.offset} by {due:.1f} s'


def _all_reachable_periods(
    notes: Notes,
) -> Iterator[tuple[object, float, float]]:
    end = max(
        (note.at for note in _of_kind(notes, trace.FinalConfiguration)),
        default=0,
    )
    reachability = _group_by(
        _of_kind(notes, trace.LogReachability), lambda note: note.node
    )
    for node, changes in reachability.items():
        for since, until in _reachable_periods(changes, end):
            yield node, since, until


def _has_applied(
    applied: Iterable[trace.Applied],
    change: trace.Accepted,
    due: float,
) -> bool:
    """Return whether a node applied a change by a given time."""
    return any(
        note.offset >= change.offset and note.at <= due for note in applied
    )


def _exceeds_budget(
    window: Sequence[trace.MessageSent],
    calls_at: Sequence[float],
    settings: ProbeSettings,
) -> bool:
    start, end = window[0].at, window[-1].at
    calls = bisect.bisect_right(calls_at, end)
    calls -= bisect.bisect_left(calls_at, start)
    by_time = settings.probes_per_s * (end - start)
    max_probes = (
        max(1, settings.probes_per_s) + by_time,
        settings.pool_size + settings.share_of_calls * calls,
    )
    size = sum(note.size for note in window)
    max_bytes = settings.bytes_per_s * (1 + end - start)
    return (
        len(window) > min(max_probes) + ROUNDING_TOLERANCE
        or size > max_bytes + ROUNDING_TOLERANCE
    )


def _reachable_periods(
    changes: Iterable[trace.LogReachability],
    end: float,
) -> Iterator[tuple[float, float]]:
    """Yield the periods in which a node was able to learn of changes."""
    since: float | None = None
    for note in changes:
        if note.reachable and since is None:
            since = note.at
        elif not note.reachable and since is not None:
            yield since, note.at
            since = None
    if since is not None:
        yield since, end


def _of_kind(notes: Notes, kind: type[_Kind]) -> list[_Kind]:
    return [note for note in notes if isinstance(note, kind)]


def _group_by(
    notes: Iterable[_Kind],
    key: Callable[[_Kind], object],
) -> dict[object, list[_Kind]]:
    groups: dict[object, list[_Kind]] = defaultdict(list)
    for note in notes:
        groups[key(note)].append(note)
    return groups

"""Runs calls of callers: reservation, submission, waits and retries."""

import random
from collections import Counter
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
from absl import logging
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from bilberryrail.standins.caller_http import (
    DEFAULT_RETRY_S,
    CallerHttp,
    Completed,
    NoAnswer,
    NotSent,
    Refused,
    Submission,
    find_answer_fault,
)
from bilberryrail.standins.caller_report import (
    US_PER_S,
    CallResult,
    new_histogram,
)
from bilberryrail.standins.load_settings import LoadNode


@dataclass(frozen=True, slots=True)
class Call:
    """A call as a caller issues it.

    Attributes
    ----------
    deadline_s
        Deadline of each submission, in seconds from its sending.
    patience_s
        Time in seconds after which the caller does not submit the call again.
    """

    request: str
    service: str
    idempotent: bool
    tenant: str
    home_regions: tuple[str, ...]
    deadline_s: float
    patience_s: float


#: Reasons with which a node refuses a submission without sending it anywhere.
NOT_SENT_REASONS = frozenset(('draining', 'catching-up', 'stale-view'))


@dataclass
class Progress:
    """What a caller knows about its call so far.

    Attributes
    ----------
    may_have_run
        Whether the answers to the submissions so far leave it possible that
        the call was executed.
    cut
        Whether a submission got no complete answer or the outcome "unknown".
    wait_s
        Time in seconds to wait before the next submission.
    """

    outcome: str = 'lost'
    final: bool = False
    may_have_run: bool = False
    cut: bool = False
    wrong: bool = False
    token: str | None = None
    wait_s: float = 0


class _Reservation(msgspec.Struct):
    """Answer to a reservation request."""

    token: str


class Caller:
    """Runs calls and records their latency.

    Attributes
    ----------
    nodes
        Nodes that receive calls; each submission goes to a random one in the
        home regions of its call.
    reasons
        Number of answers to all submissions, by outcome and reason.
    """

    def __init__(
        self,
        nodes: tuple[LoadNode, ...],
        clock: IReactorTime,
        source: random.Random,
    ) -> None:
        self.nodes = nodes
        self.clock = clock
        self.random = source
        self.http = CallerHttp(clock)
        self.latency = new_histogram()
        self.reasons: Counter[str] = Counter()

    async def run(self, call: Call) -> CallResult:
        """Submit a call until its result is final or ``patience_s`` is over."""
        started_at = self.clock.seconds()
        progress = Progress()
        while not progress.final:
            await self._step(call, progress)
            elapsed_s = self.clock.seconds() - started_at
            if elapsed_s + progress.wait_s > call.patience_s:
                break
            if not progress.final:
                await deferLater(self.clock, progress.wait_s)
        if progress.outcome == 'completed':
            elapsed_s = self.clock.seconds() - started_at
            self.latency.record_value(int(elapsed_s * US_PER_S))
        return CallResult(
            request=call.request,
            idempotent=call.idempotent,
            outcome=progress.outcome,
            may_have_run=progress.may_have_run,
            cut=progress.cut,
            wrong=progress.wrong,
        )

    async def _step(self, call: Call, progress: Progress) -> None:
        if not call.idempotent and progress.token is None:
            await self._reserve(call, progress)
        else:
            await self._submit(call, progress)

    async def _reserve(self, call: Call, progress: Progress) -> None:
        # If the answer to a reservation is lost, its unused token expires.
        match await self._post(call, 'reservations', progress):
            case Completed(body=body):
                reservation = msgspec.json.decode(body, type=_Reservation)
                progress.token = reservation.token
                progress.wait_s = 0
            case Refused() as refused:
                self._record_refusal(refused, progress)
            case NotSent() | NoAnswer():
                progress.outcome = 'lost'
                progress.wait_s = DEFAULT_RETRY_S

    async def _submit(self, call: Call, progress: Progress) -> None:
        match await self._post(call, 'calls', progress):
            case Completed() as completed:
                self._record_completion(call, completed, progress)
            case Refused(outcome='not-run') as refused:
                self._record_refusal(refused, progress)
                if not progress.may_have_run:
                    # No submission can still run, so a new reservation at
                    # another target cannot lead to a second execution.
                    progress.token = None
            case Refused() as refused:
                # If the node has sent this submission nowhere, its answer
                # "unknown" refers only to earlier submissions, whose results
                # the caller already knows.
                may_run = is_cut(refused)
                progress.may_have_run = progress.may_have_run or may_run
                self._record_refusal(refused, progress)
            case NotSent():
                progress.wait_s = DEFAULT_RETRY_S
            case NoAnswer():
                progress.may_have_run = True
                progress.outcome = 'lost'
                progress.wait_s = DEFAULT_RETRY_S

    async def _post(
        self,
        call: Call,
        kind: str,
        progress: Progress,
    ) -> Completed | Refused | NotSent | NoAnswer:
        headers = {'Bilberryrail-Tenant': call.tenant}
        if progress.token is not None:
            headers['Bilberryrail-Reservation'] = progress.token
        node = self.random.choice(self._nodes_for(call))
        answer = await self.http.post(
            f'{node.url}/v1/services/{call.service}/{kind}',
            headers,
            msgspec.json.encode({'request': call.request}),
            call.deadline_s,
        )
        self.reasons[_describe_answer(kind, answer)] += 1
        if is_cut(answer):
            progress.cut = True
        return answer

    def _nodes_for(self, call: Call) -> tuple[LoadNode, ...]:
        if not call.home_regions:
            return self.nodes
        return tuple(
            node for node in self.nodes if node.region in call.home_regions
        )

    def _record_refusal(self, refused: Refused, progress: Progress) -> None:
        progress.outcome = refused.outcome
        progress.wait_s = refused.retry_after_s
        progress.final = refused.outcome == 'invalid'

    def _record_completion(
        self,
        call: Call,
        completed: Completed,
        progress: Progress,
    ) -> None:
        progress.final = True
        progress.may_have_run = True
        if completed.status != HTTPStatus.OK:
            progress.outcome = 'failed'
            return
        progress.outcome = 'completed'
        fault = find_answer_fault(completed, call.request, call.home_regions)
        if fault is not None:
            progress.wrong = True
            logging.error(
                'event=wrong-answer request=%s fault=%r',
                call.request,
                fault,
            )


def is_cut(answer: Submission) -> bool:
    """Return whether a submission was interrupted.

    A node that is draining, or whose view is not up to date, sends a token
    nowhere. It answers "unknown" because an earlier submission of the same
    token may have run. Such a submission was not interrupted, and the caller
    can safely submit the token to another node.
    """
    match answer:
        case NoAnswer():
            return True
        case Refused(outcome='unknown', reason=reason):
            return reason not in NOT_SENT_REASONS
    return False


def _describe_answer(
    kind: str, answer: Completed | Refused | NotSent | NoAnswer
) -> str:
    match answer:
        case Completed(status=status):
            return f'{kind} {status}'
        case Refused(outcome=outcome, reason=reason):
            return f'{kind} {outcome} {reason}'
        case NotSent(reason=reason) | NoAnswer(reason=reason):
            return f'{kind} {reason}'

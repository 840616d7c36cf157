"""Answers that a node gives itself, instead of a backend server."""

from http import HTTPStatus
from random import Random
from typing import Final

from bilberryrail.forwarding.bounds import MAX_STATUS
from bilberryrail.forwarding.records import HttpAnswer

#: Retry time sent to the client when no target is known, in seconds.
NO_TARGET_RETRY_S: Final = 0.3

#: Shortest retry time sent to a client, in seconds.
MIN_RETRY_S: Final = 0.05

#: Statuses that promise the client that its request has not run and never will.
_PROMISE_NOT_RUN: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)

#: Width of the random factor on retry times, so that clients do not retry at
#: the same time.
_RETRY_JITTER: Final = 0.5


def refusal_answer(retry_after_s: float, random: Random) -> HttpAnswer:
    """Build the answer to a request that has not run.

    The retry time is randomized, so that clients do not retry at the same time.
    """
    wait_s = max(MIN_RETRY_S, retry_after_s or NO_TARGET_RETRY_S)
    wait_s *= 1 + _RETRY_JITTER * random.random()
    header = (b'Retry-After', b'%.3f' % wait_s)
    return HttpAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        (header,),
        is_own=True,
    )


def replace_misleading(answer: HttpAnswer) -> HttpAnswer:
    """Replace an answer whose status a client would misunderstand.

    It says that the request has not run, or it is no status of an answer. A
    backend server that has not run a request refuses it; any other answer may
    come after the run, whatever its status is. Targets reject an answer with an
    invalid status, but those of an earlier version pass it on.
    """
    is_final = HTTPStatus.OK <= answer.status <= MAX_STATUS
    if answer.status in _PROMISE_NOT_RUN or not is_final:
        return HttpAnswer(HTTPStatus.BAD_GATEWAY, is_own=True)
    return answer

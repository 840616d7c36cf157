"""Connections to the backend server beside this node."""

import math
from collections.abc import Callable
from typing import Any, Final

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.records import (
    Failure,
    HttpAnswer,
    InstanceId,
    Refusal,
)
from bilberryrail.forwarding.target import Target
from bilberryrail.forwarding.work_queue import Work
from bilberryrail.gateway import sockets
from bilberryrail.gateway.answer_reader import (
    AnswerError,
    AnswerReader,
    RawAnswer,
)
from bilberryrail.gateway.dialect import (
    AnswerHead,
    BackendTerms,
    Dialect,
    Verdict,
)
from bilberryrail.gateway.http_text import request_bytes
from bilberryrail.gateway.settings import Address

#: Time to open a connection on the same host.
CONNECT_TIMEOUT_S: Final = 0.5

#: Longest idle time if the backend server states none.
DEFAULT_IDLE_S: Final = 5.0

#: Time before a stated idle timeout at which a connection is given up.
IDLE_MARGIN_S: Final = 1.0

#: Longest idle time before a request that must not be repeated, while the
#: backend server drops idle connections without notice.
CAREFUL_IDLE_S: Final = 0.1

#: Least time left that a backend server is told, in seconds.
LEAST_LEFT_S: Final = 0.001

#: Time for which a dropped idle connection calls for that care.
CAREFUL_S: Final = 15.0

#: Most bytes of unfinished answers that are held at once. The smallest hosts
#: have 200 MB, and an answer is copied up to four times on its way.
MOST_HELD_BYTES: Final = 33_554_432

#: Bytes of one unfinished answer from which the sum is looked at.
_LARGE_BYTES: Final = 65536


class BackendConnection(Protocol):
    """One connection; it carries one request at a time.

    Attributes
    ----------
    work
        Request that waits for its answer.
    uses
        Requests sent over the connection.
    """

    def __init__(self, pool: 'BackendPool') -> None:
        self.pool = pool
        self.work: Work | None = None
        self.payload = b''
        self.reader: AnswerReader | None = None
        self.uses = 0
        self.idle_since = Seconds(0)
        self.idle_limit_s = DEFAULT_IDLE_S

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request that the connection was opened for."""
        sockets.watch_connection(self.transport)
        if self.work is None:
            self.transport.abortConnection()
        else:
            self.write()

    def start(self, work: Work, payload: bytes) -> None:
        """Take a request; it is written once the connection is open."""
        self.work = work
        self.payload = payload

    def write(self) -> None:
        """Write the request."""
        self.uses += 1
        is_head = self.work.message.request.method == b'HEAD'
        self.reader = AnswerReader(
            self.pool.most_body_bytes,
            without_body=is_head,
        )
        self.transport.write(self.payload)
        self.payload = b''

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read an answer; bytes that nobody waits for end the connection."""
        if self.work is None or self.reader is None:
            self.transport.abortConnection()
            return
        try:
            self.reader.feed(data)
        except AnswerError as error:
            self.give_up(str(error))
            return
        if self.reader.whole:
            self._finish(self.reader.whole)
        elif self.held_bytes > _LARGE_BYTES:
            self.pool.bound_memory()

    @property
    def held_bytes(self) -> int:
        """Bytes of an unfinished answer."""
        return self.reader.held_bytes if self.reader else 0

    def give_up(self, reason: str) -> None:
        """End a request whose answer cannot be held."""
        self.pool.log('bad_answer', reason=reason)
        self._fail(Failure.MALFORMED)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Judge a request whose connection has ended."""
        self.pool.forget(self)
        work = self.work
        if work is None:
            return
        raw = self.reader.end_of_connection() if self.reader else None
        if raw is not None and reason.check(ConnectionDone):
            self.work = None
            self.pool.judge(work, raw)
            return
        started = self.reader is not None and self.reader.has_started
        if self.uses > 1 and not started:
            self.pool.dropped_idle()
        self._fail(Failure.RESET)

    def not_opened(self, reason: str) -> None:
        """Report a request that was not sent."""
        work = self.work
        self.work = None
        if work is not None:
            self.pool.log('backend_unreachable', reason=reason)
            self.pool.connect_failed(work)

    def abort(self) -> None:
        """Give up the request and the connection."""
        self.work = None
        if self.transport is not None:
            self.transport.abortConnection()

    def _finish(self, whole: list[RawAnswer]) -> None:
        """Find the answer to the request among those that were read.

        A late second answer to an earlier request may come first.
        """
        work = self.work
        for raw in whole:
            head = self.pool.head_of(work, raw)
            if head.verdict is not Verdict.FOREIGN:
                self._leave(raw, is_last=raw is whole[-1])
                self.pool.judge(work, raw, head)
                return
        self.pool.log('foreign_answer', count=len(whole))
        whole.clear()

    def _leave(self, raw: RawAnswer, *, is_last: bool) -> None:
        """Return the connection to the pool, or close it."""
        has_rest = not is_last or self.reader.current is not None
        self.work = None
        self.reader = None
        if has_rest or not raw.keeps_alive:
            self.transport.loseConnection()
            return
        self.idle_limit_s = _stated_idle_s(raw)
        self.pool.put_back(self)

    def _fail(self, reason: Failure) -> None:
        work = self.work
        self.work = None
        self.transport.abortConnection()
        if work is not None:
            self.pool.failed(work, reason)


class BackendPool:
    """Sends each request exactly once, over an idle or a new connection.

    Attributes
    ----------
    opened
        Connections opened since the start.
    """

    def __init__(
        self,
        reactor: Any,
        dialect: Dialect,
        address: Address,
        log: Callable[..., None],
        most_body_bytes: int,
    ) -> None:
        self.reactor = reactor
        self.dialect = dialect
        self.address = address
        self.log = log
        self.most_body_bytes = most_body_bytes
        self.target: Target | None = None
        self.idle: list[BackendConnection] = []
        self.busy: dict[int, BackendConnection] = {}
        self.opened = 0
        self._careful_until = -math.inf

    def dispatch(self, work: Work, instance: InstanceId) -> None:
        """Send a request to the backend server."""
        payload = self._payload(work, instance)
        connection = self._take_idle(work)
        if connection is None:
            connection = BackendConnection(self)
            connection.start(work, payload)
            self.busy[work.number] = connection
            self.opened += 1
            self.reactor.connectTCP(
                self.address.host,
                self.address.port,
                sockets.OneConnection(connection, connection.not_opened),
                timeout=CONNECT_TIMEOUT_S,
            )
        else:
            connection.start(work, payload)
            self.busy[work.number] = connection
            connection.write()

    def abort(self, work: Work) -> None:
        """Close the connection on which a request runs."""
        connection = self.busy.pop(work.number, None)
        if connection is not None:
            connection.abort()

    def put_back(self, connection: BackendConnection) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = Seconds(self.reactor.seconds())
        self.idle.append(connection)

    def forget(self, connection: BackendConnection) -> None:
        """Drop a connection that has ended."""
        if connection in self.idle:
            self.idle.remove(connection)

    def bound_memory(self) -> None:
        """Give up the longest unfinished answer if all are too much."""
        held = {one: one.held_bytes for one in self.busy.values()}
        total = sum(held.values())
        if total > MOST_HELD_BYTES:
            longest = max(held, key=held.__getitem__)
            longest.give_up(f'{total} bytes of unfinished answers')

    def dropped_idle(self) -> None:
        """Note that the backend server drops idle connections silently."""
        self._careful_until = self.reactor.seconds() + CAREFUL_S

    def move(self, address: Address) -> None:
        """Send requests to a backend server at another address."""
        self.address = address
        for connection in tuple(self.idle):
            connection.transport.loseConnection()

    def head_of(self, work: Work, raw: RawAnswer) -> AnswerHead:
        """Judge the head of an answer."""
        return self.dialect.answer_head(
            raw.status,
            tuple(raw.headers),
            work.message.request_id,
        )

    def judge(
        self,
        work: Work,
        raw: RawAnswer,
        head: AnswerHead | None = None,
    ) -> None:
        """Report a whole answer to the target role."""
        head = head or self.head_of(work, raw)
        self.busy.pop(work.number, None)
        if head.load is not None:
            now = Seconds(self.reactor.seconds())
            self.target.backend.load_reported(head.load, now)
        match head.verdict:
            case Verdict.RAN:
                answer = HttpAnswer(raw.status, raw.end_to_end, bytes(raw.body))
                self.target.answered(work, answer)
            case Verdict.NOT_RUN:
                self.target.not_run(work, Refusal.SHED)
            case Verdict.OTHER_INSTANCE:
                self.target.not_run(work, Refusal.OTHER_INSTANCE)
            case Verdict.UNSEALED:
                self.target.failed(work, Failure.UNSEALED)
            case Verdict.FOREIGN:
                self.target.failed(work, Failure.MALFORMED)

    def failed(self, work: Work, reason: Failure) -> None:
        """Report a request that may have run."""
        self.busy.pop(work.number, None)
        self.target.failed(work, reason)

    def connect_failed(self, work: Work) -> None:
        """Report a request that was not sent."""
        self.busy.pop(work.number, None)
        self.target.not_run(work, Refusal.CONNECT_FAILED)

    def _payload(self, work: Work, instance: InstanceId) -> bytes:
        request = work.message.request
        left_s = work.expires_at - self.reactor.seconds()
        terms = BackendTerms(
            request_id=work.message.request_id,
            remaining_s=max(LEAST_LEFT_S, left_s),
            instance=instance,
        )
        headers = self.dialect.backend_headers(request, terms)
        return request_bytes(
            request.method,
            request.target,
            headers,
            request.body,
        )

    def _take_idle(self, work: Work) -> BackendConnection | None:
        """Take the connection used last, unless it has been idle too long."""
        now = self.reactor.seconds()
        is_careful = now < self._careful_until and not work.message.idempotent
        while self.idle:
            connection = self.idle.pop()
            limit_s = connection.idle_limit_s - IDLE_MARGIN_S
            if is_careful:
                limit_s = min(limit_s, CAREFUL_IDLE_S)
            if now - connection.idle_since <= limit_s:
                return connection
            connection.transport.loseConnection()
        return None


def _stated_idle_s(raw: RawAnswer) -> float:
    """Read the idle timeout that a backend server states."""
    stated = raw.header(b'keep-alive') or b''
    for word in stated.split(b','):
        name, _, number = word.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return float(number)
    return DEFAULT_IDLE_S

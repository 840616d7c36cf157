"""Connection pool for the backend server of this node."""

import math
from collections.abc import Callable
from typing import Any, Final

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import NoticeSource
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
from bilberryrail.gateway.chunk_producer import ChunkProducer, write_message
from bilberryrail.gateway.dialect import (
    AnswerHead,
    BackendTerms,
    Dialect,
    Verdict,
)
from bilberryrail.gateway.http_text import request_head
from bilberryrail.gateway.settings import Address

#: Timeout for opening a connection on the same host, in seconds.
CONNECT_TIMEOUT_S: Final = 0.5

#: Idle timeout if the backend server states none, in seconds.
DEFAULT_IDLE_TIMEOUT_S: Final = 5.0

#: Margin before the idle timeout from which a connection is no longer used, in
#: seconds.
IDLE_MARGIN_S: Final = 1.0

#: Longest idle time of a connection that may carry a non-idempotent request
#: while the backend server drops idle connections without notice, in seconds.
CAUTIOUS_IDLE_S: Final = 0.1

#: Smallest remaining time that is sent to a backend server, in seconds.
MIN_REMAINING_S: Final = 0.001

#: Time after such a drop during which that limit applies, in seconds.
CAUTION_PERIOD_S: Final = 15.0

#: Maximum size of all incomplete answers together, and of one, in bytes. The
#: limits of the configuration are for what clients send. The smallest hosts
#: have 200 MB of memory, and an answer is copied up to four times on its way.
MAX_BUFFERED_BYTES: Final = 33_554_432

#: Size of an incomplete answer, in bytes, from which the total is checked.
_LARGE_ANSWER_BYTES: Final = 65536


class BackendConnection(Protocol):
    """One connection to the backend server, for one request at a time.

    Attributes
    ----------
    work
        Request in flight; None while the connection is idle.
    request_count
        Number of requests sent over the connection.
    """

    def __init__(self, pool: 'BackendPool') -> None:
        self.pool = pool
        self.work: Work | None = None
        self.head = b''
        self.reader: AnswerReader | None = None
        self.writing: ChunkProducer | None = None
        self.request_count = 0
        self.idle_since = Seconds(0)
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request that the connection was opened for."""
        sockets.configure_socket(self.transport)
        if self.work is None:
            self.transport.abortConnection()
        else:
            self.write_request()

    def assign(self, work: Work, head: bytes) -> None:
        """Assign a request; the caller writes it if the connection is open."""
        self.work = work
        self.head = head

    def write_request(self) -> None:
        """Write the request."""
        self.request_count += 1
        request = self.work.message.request
        self.reader = AnswerReader(
            self.pool.max_body_bytes,
            without_body=request.method == b'HEAD',
        )
        self.writing = write_message(self.transport, self.head, request.body)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read an answer; unexpected bytes close the connection."""
        if self.work is None or self.reader is None:
            self.transport.abortConnection()
            return
        try:
            self.reader.feed(data)
        except AnswerError as error:
            self.reject_answer(str(error))
            return
        if self.reader.complete:
            self._finish(self.reader.complete)
        elif self.buffered_bytes > _LARGE_ANSWER_BYTES:
            self.pool.limit_memory()

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete answer, in bytes."""
        return self.reader.buffered_bytes if self.reader else 0

    def reject_answer(self, reason: str) -> None:
        """Fail a request whose answer is malformed or too large."""
        self.pool.log('bad_answer', reason=reason)
        self._fail(Failure.MALFORMED)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Determine the outcome of a request whose connection has ended.

        An answer without a stated length ends with a clean close; in all other
        cases the request may have run.
        """
        self.pool.forget(self)
        work = self.work
        if work is None:
            self._close_reader()
            return
        raw = self.reader.connection_ended() if self.reader else None
        if raw is not None and reason.check(ConnectionDone):
            self.work = None
            self._close_reader()
            self.pool.report_answer(work, raw)
            return
        started = self.reader is not None and self.reader.has_started
        if self.request_count > 1 and not started:
            self.pool.idle_connection_dropped()
        self._fail(Failure.RESET)

    def connection_failed(self, reason: str) -> None:
        """Report a request that was not sent."""
        work = self.work
        self.work = None
        if work is not None:
            self.pool.log('backend_unreachable', reason=reason)
            self.pool.connect_failed(work)

    def abort(self) -> None:
        """Abort the request and the connection without reporting an outcome."""
        self.work = None
        self._close_reader()
        if self.transport is not None:
            self.transport.abortConnection()

    def _finish(self, complete: list[RawAnswer]) -> None:
        """Find the answer to the current request among those that were read.

        A late second answer to an earlier request may precede it.
        """
        work = self.work
        for raw in complete:
            head = self.pool.read_head(work, raw)
            if head.verdict is not Verdict.FOREIGN:
                is_last = raw is complete[-1]
                is_clear = head.verdict is not Verdict.CONTRADICTORY
                self._release(
                    raw,
                    is_reusable=is_last and is_clear and head.is_identified,
                )
                self.pool.report_answer(work, raw, head)
                return
        self.pool.log('foreign_answer', count=len(complete))
        complete.clear()

    def _release(self, raw: RawAnswer, *, is_reusable: bool) -> None:
        """Return the connection to the pool if it is reusable, or close it.

        It is closed after an answer that names no request, since a late copy of
        that answer could not be told from the answer to the next request. After
        one that arrived before the whole body was written it is aborted: the
        body would stay in memory until the backend server has read it, which
        may never be, and no limit counts it any more.
        """
        has_rest = self.reader.current is not None
        self.work = None
        self._close_reader()
        if self.writing.is_active:
            self.transport.abortConnection()
            return
        if has_rest or not is_reusable or not raw.keeps_alive:
            self.transport.loseConnection()
            return
        self.idle_timeout_s = _stated_idle_s(raw)
        self.pool.put_back(self)

    def _close_reader(self) -> None:
        """Release the memory of the answer, also of one that was rejected."""
        if self.reader is not None:
            self.reader.close()
            self.reader = None

    def _fail(self, reason: Failure) -> None:
        work = self.work
        self.work = None
        self._close_reader()
        self.transport.abortConnection()
        if work is not None:
            self.pool.failed(work, reason)


class BackendPool:
    """Sends each request exactly once, over an idle or a new connection.

    Attributes
    ----------
    opened
        Number of connections opened since the start.
    """

    def __init__(
        self,
        reactor: Any,
        dialect: Dialect,
        address: Address,
        log: Callable[..., None],
        max_body_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self.reactor = reactor
        self.dialect = dialect
        self.address = address
        self.log = log
        self.max_body_bytes = max_body_bytes
        self.target: Target | None = None
        self.idle: list[BackendConnection] = []
        self.busy: dict[int, BackendConnection] = {}
        self.opened = 0
        self._cautious_until = -math.inf

    def dispatch(self, work: Work, instance: InstanceId) -> None:
        """Send a request to the backend server."""
        head = self._head(work, instance)
        connection = self._pop_idle(work)
        if connection is None:
            connection = BackendConnection(self)
            connection.assign(work, head)
            self.busy[work.number] = connection
            self.opened += 1
            self.reactor.connectTCP(
                self.address.host,
                self.address.port,
                sockets.SingleConnectionFactory(
                    connection, connection.connection_failed
                ),
                timeout=CONNECT_TIMEOUT_S,
            )
        else:
            connection.assign(work, head)
            self.busy[work.number] = connection
            connection.write_request()

    def abort(self, work: Work) -> None:
        """Close the connection on which a request is in flight."""
        connection = self.busy.pop(work.number, None)
        if connection is not None:
            connection.abort()

    def put_back(self, connection: BackendConnection) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = Seconds(self.reactor.seconds())
        self.idle.append(connection)

    def forget(self, connection: BackendConnection) -> None:
        """Remove a closed connection from the pool."""
        if connection in self.idle:
            self.idle.remove(connection)

    def limit_memory(self) -> None:
        """Fail the largest incomplete answer if the total exceeds the limit."""
        sizes = {one: one.buffered_bytes for one in self.busy.values()}
        total = sum(sizes.values())
        if total > MAX_BUFFERED_BYTES:
            largest = max(sizes, key=sizes.__getitem__)
            largest.reject_answer(f'incomplete answers total {total} bytes')

    def idle_connection_dropped(self) -> None:
        """Record that the backend server silently drops idle connections."""
        self._cautious_until = self.reactor.seconds() + CAUTION_PERIOD_S

    def change_address(self, address: Address) -> None:
        """Use the backend server at another address from now on."""
        self.address = address
        for connection in tuple(self.idle):
            connection.transport.loseConnection()

    def read_head(self, work: Work, raw: RawAnswer) -> AnswerHead:
        """Interpret the head of an answer."""
        return self.dialect.answer_head(
            raw.status,
            tuple(raw.headers),
            work.message.request_id,
        )

    def report_answer(
        self,
        work: Work,
        raw: RawAnswer,
        head: AnswerHead | None = None,
    ) -> None:
        """Report a complete answer to the target role."""
        head = head or self.read_head(work, raw)
        self.busy.pop(work.number, None)
        if head.load is not None:
            now = Seconds(self.reactor.seconds())
            self.target.backend.load_reported(head.load, now)
        if head.notice is not None:
            self.target.notice_received(
                head.notice, work.run, NoticeSource.ANSWER
            )
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
            case Verdict.FOREIGN | Verdict.CONTRADICTORY:
                self.target.failed(work, Failure.MALFORMED)

    def failed(self, work: Work, reason: Failure) -> None:
        """Report a failed request that may have run."""
        self.busy.pop(work.number, None)
        self.target.failed(work, reason)

    def connect_failed(self, work: Work) -> None:
        """Report a request that was not sent."""
        self.busy.pop(work.number, None)
        self.target.not_run(work, Refusal.CONNECT_FAILED)

    def _head(self, work: Work, instance: InstanceId) -> bytes:
        request = work.message.request
        left_s = work.expires_at - self.reactor.seconds()
        terms = BackendTerms(
            request_id=work.message.request_id,
            remaining_s=max(MIN_REMAINING_S, left_s),
            instance=instance,
        )
        headers = self.dialect.backend_headers(request, terms)
        return request_head(
            request.method,
            request.target,
            headers,
            len(request.body),
        )

    def _pop_idle(self, work: Work) -> BackendConnection | None:
        """Return the most recently used connection not idle for too long."""
        now = self.reactor.seconds()
        is_cautious = now < self._cautious_until and not work.message.idempotent
        while self.idle:
            connection = self.idle.pop()
            limit_s = connection.idle_timeout_s - IDLE_MARGIN_S
            if is_cautious:
                limit_s = min(limit_s, CAUTIOUS_IDLE_S)
            if now - connection.idle_since <= limit_s:
                return connection
            connection.transport.loseConnection()
        return None


def _stated_idle_s(raw: RawAnswer) -> float:
    """Return the idle timeout in a Keep-Alive header, or the default."""
    stated = raw.header(b'keep-alive') or b''
    for word in stated.split(b','):
        name, _, number = word.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return float(number)
    return DEFAULT_IDLE_TIMEOUT_S

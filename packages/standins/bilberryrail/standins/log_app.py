"""HTTP interface of the stand-in for the log: appends, reads and faults."""

from enum import Enum
from http import HTTPStatus
from typing import Annotated

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.iweb import IRequest

from bilberryrail.standins.answers import json_answer
from bilberryrail.standins.log_streams import Expired, Stream

#: Longest wait of a long poll in milliseconds; longer requests are capped.
MAX_WAIT_MS = 30_000
#: Most records in one answer; higher limits in requests are capped.
MAX_RECORDS_PER_READ = 10_000
MS_PER_S = 1000

_Count = Annotated[int, msgspec.Meta(ge=0)]


class Mode(Enum):
    """Whether the log answers at once, with 503, or after a delay."""

    UP = 'up'
    DOWN = 'down'
    SLOW = 'slow'


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /faults``.

    Attributes
    ----------
    delay_ms
        Delay in milliseconds before a request is handled in mode ``slow``.
    lose_answers
        Number of appends, counted from now, whose record is stored but whose
        connection is then closed without an answer.
    """

    mode: Mode = Mode.UP
    delay_ms: _Count = 0
    lose_answers: _Count = 0


class LogApp:
    """Serves streams in memory as section 8.2 of the design page specifies.

    Parameters
    ----------
    retention
        Number of records kept per stream.
    clock
        Clock for long polls and delayed answers.
    """

    app = Klein()

    def __init__(self, retention: int, clock: IReactorTime) -> None:
        self.retention = retention
        self.clock = clock
        self.streams: dict[str, Stream] = {}
        self.faults = Faults()
        self.answers_to_lose = 0
        self._waiting: set[Deferred[None]] = set()

    @app.route('/v1/streams/<stream>/records', methods=['POST'])
    async def append(self, request: IRequest, stream: str) -> bytes:
        """Store one record and answer with its offset."""
        if await self._is_down():
            return _unavailable(request)
        offset = self._stream(stream).append(request.content.read())
        self._wake_readers()
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            request.transport.abortConnection()
            return b''
        return json_answer(request, HTTPStatus.CREATED, {'offset': offset})

    @app.route('/v1/streams/<stream>/records', methods=['GET'])
    async def read(self, request: IRequest, stream: str) -> bytes:
        """Answer with records from an offset on.

        If there are none yet, wait up to ``wait_ms`` for the next append.
        """
        try:
            start, limit, wait_ms = _read_arguments(request)
        except ValueError as error:
            return json_answer(
                request, HTTPStatus.BAD_REQUEST, {'error': str(error)}
            )
        if await self._is_down():
            return _unavailable(request)
        if start > self._stream(stream).end:
            await self._next_append(min(wait_ms, MAX_WAIT_MS) / MS_PER_S)
        if self.faults.mode is Mode.DOWN:
            return _unavailable(request)
        page = self._stream(stream).read(
            start, min(limit, MAX_RECORDS_PER_READ)
        )
        if isinstance(page, Expired):
            return json_answer(request, HTTPStatus.GONE, {'first': page.first})
        request.setHeader('Content-Type', 'application/msgpack')
        return msgspec.msgpack.encode(page)

    @app.route('/faults', methods=['POST'])
    def apply_faults(self, request: IRequest) -> bytes:
        """Apply the faults in the body."""
        try:
            faults = msgspec.json.decode(request.content.read(), type=Faults)
        except msgspec.MsgspecError as error:
            return json_answer(
                request, HTTPStatus.BAD_REQUEST, {'error': str(error)}
            )
        self.faults = faults
        self.answers_to_lose = faults.lose_answers
        self._wake_readers()
        return json_answer(request, HTTPStatus.OK, faults)

    def _stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream(self.retention))

    async def _is_down(self) -> bool:
        if self.faults.mode is Mode.SLOW:
            await deferLater(self.clock, self.faults.delay_ms / MS_PER_S)
        return self.faults.mode is Mode.DOWN

    async def _next_append(self, wait_s: float) -> None:
        waiting: Deferred[None] = Deferred()
        self._waiting.add(waiting)
        # A timeout ends the wait without an error, as an append does. klein
        # cancels the wait when the reader closes its connection.
        waiting.addTimeout(wait_s, self.clock, onTimeoutCancel=_ignore_timeout)
        waiting.addBoth(self._stop_waiting, waiting)
        await waiting

    def _stop_waiting(self, outcome: object, waiting: Deferred) -> object:
        self._waiting.discard(waiting)
        return outcome

    def _wake_readers(self) -> None:
        for waiting in tuple(self._waiting):
            waiting.callback(None)


def _read_arguments(request: IRequest) -> tuple[int, int, int]:
    start = _integer(request, b'start', b'0')
    limit = _integer(request, b'limit', b'1000')
    wait_ms = _integer(request, b'wait_ms', b'0')
    if min(start, limit, wait_ms) < 0:
        raise ValueError('start, limit and wait_ms must not be negative')
    return start, limit, wait_ms


def _integer(request: IRequest, name: bytes, default: bytes) -> int:
    return int(request.args.get(name, [default])[0])


def _ignore_timeout(outcome: object, timeout_s: float) -> None:
    """End a wait without an error when its time is up."""


def _unavailable(request: IRequest) -> bytes:
    body = {'error': 'log is down'}
    return json_answer(request, HTTPStatus.SERVICE_UNAVAILABLE, body)

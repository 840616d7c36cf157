"""Client of the platform's log service; section 8.2 of the design page."""

from functools import partial
from typing import Any, Final
from urllib.parse import quote

import msgspec
from twisted.python.failure import Failure

from bilberryrail.control.messages import (
    AppendAcknowledged,
    AppendUncertain,
    LogExpired,
    LogRead,
    LogUnavailable,
    ReadLog,
)
from bilberryrail.core.codec import decode_record_leniently, encode_record
from bilberryrail.core.ids import Offset
from bilberryrail.core.records import LogEntry, Record, Unreadable
from bilberryrail.node import logs
from bilberryrail.node.engine_task import EngineTask
from bilberryrail.node.http_body import read_body
from bilberryrail.node.http_client import PooledClient
from bilberryrail.settings.node import LogSettings

#: Largest answer to one read in bytes; snapshot parts are the largest records.
MAX_READ_BYTES: Final = 268_435_456

_CREATED: Final = 201
_OK: Final = 200
_GONE: Final = 410


class LogError(Exception):
    """The log service gave an unexpected answer."""


class _Appended(msgspec.Struct):
    """JSON body of the answer to a successful append."""

    offset: int


class _Expired(msgspec.Struct):
    """JSON body of an answer with status 410."""

    first: int


class _Batch(msgspec.Struct):
    """MessagePack body of the answer to a read."""

    first: int
    end: int
    records: list[tuple[int, bytes]]


class LogClient:
    """Sends reads and appends, and submits their results to the engine.

    Each request is sent exactly once.

    Attributes
    ----------
    appending
        Number of appends that have not been answered.
    """

    def __init__(self, engine_task: EngineTask, settings: LogSettings) -> None:
        self.engine_task = engine_task
        self.settings = settings
        stream = quote(settings.stream, safe='')
        base_url = settings.url.rstrip('/')
        self.url = f'{base_url}/v1/streams/{stream}/records'
        self.http = PooledClient(engine_task.reactor, settings.timeout_s)
        self.appending = 0

    def read(self, action: ReadLog) -> None:
        """Read records from an offset on, and submit the result."""
        wait_s = self.settings.read_wait_s if action.wait else 0
        response = self.http.request(
            'GET',
            self.url,
            params={
                'start': str(max(action.start, 0)),
                'limit': str(self.settings.read_limit),
                'wait_ms': str(int(wait_s * 1000)),
            },
        )
        response.addCallback(_whole_body)
        response.addTimeout(
            wait_s + self.settings.timeout_s,
            self.engine_task.reactor,
        )
        response.addCallback(_read_event)
        response.addErrback(
            lambda failure: LogUnavailable(_describe(failure)),
        )
        response.addCallback(self.engine_task.submit)

    def append(self, record: Record) -> None:
        """Append a record once, and submit the result.

        Without an answer it is unknown whether the record was stored.
        """
        self.appending += 1
        response = self.http.request(
            'POST',
            self.url,
            data=encode_record(record),
            headers={'Content-Type': 'application/msgpack'},
        )
        response.addCallback(_whole_body)
        response.addTimeout(
            self.settings.timeout_s,
            self.engine_task.reactor,
        )
        response.addCallback(partial(_append_event, record))
        response.addErrback(
            lambda failure: AppendUncertain(
                record.record_id,
                _describe(failure),
            ),
        )
        response.addCallback(self._appended)

    def _appended(self, event: AppendAcknowledged | AppendUncertain) -> None:
        self.appending -= 1
        self.engine_task.submit(event)


def _whole_body(response: Any) -> Any:
    body = read_body(response.original, MAX_READ_BYTES)
    return body.addCallback(lambda read: (response.code, read))


def _append_event(
    record: Record,
    answer: tuple[int, bytes],
) -> AppendAcknowledged:
    status, body = answer
    if status != _CREATED:
        raise LogError(f'append was answered with status {status}')
    stored = msgspec.json.decode(body, type=_Appended)
    return AppendAcknowledged(record.record_id, Offset(stored.offset))


def _read_event(answer: tuple[int, bytes]) -> LogRead | LogExpired:
    status, body = answer
    if status == _GONE:
        expired = msgspec.json.decode(body, type=_Expired)
        return LogExpired(Offset(expired.first))
    if status != _OK:
        raise LogError(f'read was answered with status {status}')
    batch = msgspec.msgpack.decode(body, type=_Batch)
    return LogRead(
        entries=tuple(_entry(offset, raw) for offset, raw in batch.records),
        end=Offset(batch.end),
    )


def _entry(offset: int, raw: bytes) -> LogEntry:
    record = decode_record_leniently(raw)
    if isinstance(record, Unreadable):
        logs.warning('record_unreadable', offset=offset, bytes=len(raw))
    return LogEntry(Offset(offset), record)


def _describe(failure: Failure) -> str:
    return f'{failure.type.__name__}: {failure.getErrorMessage()}'

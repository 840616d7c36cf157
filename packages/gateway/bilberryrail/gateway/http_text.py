"""Formats HTTP/1.1 messages and filters their headers."""

from http import HTTPStatus
from typing import Final

from bilberryrail.forwarding.records import (
    Header,
    HttpAnswer,
    find_header,
)

#: Hop-by-hop headers, which concern one connection only (RFC 9110, section
#: 7.6.1).
_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    ),
)

_LENGTH: Final = b'content-length'

#: Statuses whose answers have no body.
_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


def end_to_end(headers: list[Header]) -> tuple[Header, ...]:
    """Return the headers without hop-by-hop headers and Content-Length."""
    dropped = {_LENGTH}
    named = find_header(headers, b'connection') or b''
    dropped.update(word.strip().lower() for word in named.split(b','))
    dropped |= _HOP_BY_HOP
    return tuple(
        (name, text) for name, text in headers if name.lower() not in dropped
    )


def request_bytes(
    method: bytes,
    target: bytes,
    headers: tuple[Header, ...],
    body: bytes,
) -> bytes:
    """Format a request."""
    return request_head(method, target, headers, len(body)) + body


def request_head(
    method: bytes,
    target: bytes,
    headers: tuple[Header, ...],
    body_bytes: int,
) -> bytes:
    """Format all of a request but its body."""
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines += [b'%b: %b' % header for header in headers]
    if body_bytes or method in {b'POST', b'PUT', b'PATCH'}:
        lines.append(b'Content-Length: %d' % body_bytes)
    return b'\r\n'.join([*lines, b'', b''])


def head_without_offer(start_line: bytes, headers: list[Header]) -> bytes:
    """Format the head of a request without its offer of another protocol.

    A server may ignore such an offer (RFC 9110, section 7.8).
    """
    lines = [start_line]
    for name, text in headers:
        match name.lower():
            case b'upgrade':
                continue
            case b'connection':
                options = [word.strip() for word in text.split(b',')]
                kept = [word for word in options if word.lower() != b'upgrade']
                lines.append(b'%b: %b' % (name, b', '.join(kept)))
            case _:
                lines.append(b'%b: %b' % (name, text))
    return b'\r\n'.join([*lines, b'', b''])


def answer_bytes(
    answer: HttpAnswer,
    *,
    closes: bool,
    is_head: bool = False,
) -> bytes:
    """Format an answer."""
    lines = [b'HTTP/1.1 %d %b' % (answer.status, reason_of(answer.status))]
    lines += [b'%b: %b' % header for header in answer.headers]
    if answer.status not in _BODILESS and not is_head:
        lines.append(b'Content-Length: %d' % len(answer.body))
    if closes:
        lines.append(b'Connection: close')
    body = b'' if is_head else answer.body
    return b'\r\n'.join([*lines, b'', body])


def reason_of(status: int) -> bytes:
    """Return the reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'

"""JSON answers of the stand-ins."""

from http import HTTPStatus

import msgspec
from twisted.web.iweb import IRequest


def json_answer(request: IRequest, status: HTTPStatus, body: object) -> bytes:
    """Set status, content type and length; return the encoded body."""
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    encoded = msgspec.json.encode(body)
    # The length lets the client detect a truncated answer.
    request.setHeader('Content-Length', str(len(encoded)))
    return encoded
